//! Splits changes of the publication into frames of bounded size.

use ladder_schema::bounds::PROTOCOL;
use ladder_schema::publication::Record;
use ladder_schema::wire::{Departure, Frame};
use prost::Message;

use super::settings::Settings;

/// Maximum size of the records and departures in one frame, in bytes; a single record may be
/// larger.
const MAX_RECORD_BYTES_PER_FRAME: usize = 256 * 1024;

/// Records and departures that a peer may not know yet.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingChanges {
    /// Published records in force.
    pub records: Vec<Record>,
    /// Servers that announced that they are leaving.
    pub departures: Vec<Departure>,
}

impl PendingChanges {
    /// Whether the changes contain no records and no departures.
    pub(super) const fn is_empty(&self) -> bool {
        self.records.is_empty() && self.departures.is_empty()
    }

    /// Splits the changes into chunks that each fit into a frame.
    pub(super) fn to_chunks(&self) -> Vec<Self> {
        let mut chunks = vec![Self::default()];
        let mut chunk_bytes = 0;
        for record in &self.records {
            chunk_bytes += record.encoded_len();
            if chunk_bytes > MAX_RECORD_BYTES_PER_FRAME
                && chunks.last().is_some_and(|chunk| !chunk.is_empty())
            {
                chunks.push(Self::default());
                chunk_bytes = record.encoded_len();
            }
            chunks.iter_mut().rev().take(1).for_each(|chunk| chunk.records.push(record.clone()));
        }
        for departure in &self.departures {
            chunk_bytes += departure.encoded_len();
            if chunk_bytes > MAX_RECORD_BYTES_PER_FRAME {
                chunks.push(Self::default());
                chunk_bytes = departure.encoded_len();
            }
            chunks
                .iter_mut()
                .rev()
                .take(1)
                .for_each(|chunk| chunk.departures.push(departure.clone()));
        }
        chunks
    }

    /// Puts the changes into a frame. Records are sent before departures, because a receiver drops
    /// the departure of a server that it does not know.
    pub(super) fn into_frame(self, frame: Frame) -> Frame {
        Frame { records: self.records, departures: self.departures, ..frame }
    }
}

/// Completes a frame with this instance as its sender.
pub(super) fn with_sender(settings: &Settings, generation: u64, frame: Frame) -> Frame {
    Frame {
        protocol: PROTOCOL,
        fleet: settings.fleet.to_string(),
        from: settings.name.to_string(),
        incarnation: settings.incarnation,
        generation,
        address: settings.address.to_string(),
        zone: settings.zone.to_string(),
        millicores: settings.millicores,
        ..frame
    }
}
