//! Memory of this process, and a publication that takes little of it.

use std::fs;

use ladder_core::schema::publication::Record;
use prost::Message;

use crate::fleet::{Publisher, Size};

/// Resident memory in megabytes.
pub(crate) fn resident() -> f64 {
    field("VmRSS:")
}

/// The most resident memory so far, in megabytes.
pub(crate) fn peak() -> f64 {
    field("VmHWM:")
}

fn field(name: &str) -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    kilobytes
        .and_then(|number| number.parse::<f64>().ok())
        .map_or(f64::NAN, |number| number / 1024.0)
}

/// The publication as one piece of bytes. No record is kept, as memory that was given back would
/// be counted as free.
pub(crate) struct Publication {
    pub(crate) bytes: Vec<u8>,
    pub(crate) records: usize,
    /// Bytes of the largest record.
    pub(crate) largest: usize,
    pub(crate) revision: u64,
}

impl Publication {
    pub(crate) fn new(size: &Size) -> Self {
        let mut publisher = Publisher::default();
        let mut bytes = Vec::new();
        let mut records = 0;
        let mut largest = 0;
        publisher.each(size, |record| {
            records += 1;
            largest = largest.max(record.encoded_len());
            let room = bytes.try_reserve(record.encoded_len() + 10);
            room.expect("memory for the publication");
            let encoded = record.encode_length_delimited(&mut bytes);
            encoded.expect("room was reserved");
        });
        Self { bytes, records, largest, revision: publisher.revision }
    }

    pub(crate) fn decode(&self) -> impl Iterator<Item = Record> {
        let mut left = &self.bytes[..];
        std::iter::from_fn(move || {
            let more = !left.is_empty();
            more.then(|| Record::decode_length_delimited(&mut left).expect("just encoded"))
        })
    }
}
