//! News in frames of bounded size.

use ladder_schema::bounds::PROTOCOL;
use ladder_schema::publication::Record;
use ladder_schema::wire::{Departure, Frame};
use prost::Message;

use super::settings::Settings;

/// Bytes of records in one frame; one record may be larger.
const PART_BYTES: usize = 256 * 1024;

/// Records and departures that a peer may not know.
#[derive(Clone, Debug, Default)]
pub(super) struct News {
    /// Records in force.
    pub records: Vec<Record>,
    /// Servers seen leaving.
    pub departures: Vec<Departure>,
}

impl News {
    /// There is nothing in it.
    pub(super) const fn is_empty(&self) -> bool {
        self.records.is_empty() && self.departures.is_empty()
    }

    /// The same in parts that each fit a frame.
    pub(super) fn parts(&self) -> Vec<Self> {
        let mut parts = vec![Self::default()];
        let mut bytes = 0;
        for record in &self.records {
            bytes += record.encoded_len();
            if bytes > PART_BYTES && parts.last().is_some_and(|part| !part.is_empty()) {
                parts.push(Self::default());
                bytes = record.encoded_len();
            }
            parts.iter_mut().rev().take(1).for_each(|part| part.records.push(record.clone()));
        }
        for departure in &self.departures {
            bytes += departure.encoded_len();
            if bytes > PART_BYTES {
                parts.push(Self::default());
                bytes = departure.encoded_len();
            }
            parts.iter_mut().rev().take(1).for_each(|part| part.departures.push(departure.clone()));
        }
        parts
    }

    /// Puts it into a frame. Records go before departures: a departure of a server that is not yet
    /// known would be dropped.
    pub(super) fn into_frame(self, frame: Frame) -> Frame {
        Frame { records: self.records, departures: self.departures, ..frame }
    }
}

/// The frame with its sender named.
pub(super) fn signed(settings: &Settings, generation: u64, frame: Frame) -> Frame {
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
