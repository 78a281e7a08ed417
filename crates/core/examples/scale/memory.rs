//! Memory use of this process, and an encoded publication that uses little memory.

use std::fs;

use ladder_core::schema::publication::Record;
use prost::Message;

use crate::fleet::{Publisher, Size};

/// Returns the resident memory of this process, in mebibytes.
pub(crate) fn resident() -> f64 {
    status_field("VmRSS:")
}

/// Returns the largest resident memory of this process so far, in mebibytes.
pub(crate) fn peak() -> f64 {
    status_field("VmHWM:")
}

fn status_field(name: &str) -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    kilobytes
        .and_then(|number| number.parse::<f64>().ok())
        .map_or(f64::NAN, |number| number / 1024.0)
}

/// Encoded publication in one buffer. No decoded record is kept: memory that is released before the
/// measurement would be reused and be missing from the measured growth.
pub(crate) struct Publication {
    pub(crate) bytes: Vec<u8>,
    pub(crate) records: usize,
    /// Size of the largest encoded record in bytes.
    pub(crate) largest_bytes: usize,
    pub(crate) revision: u64,
}

impl Publication {
    pub(crate) fn new(size: &Size) -> Self {
        let mut publisher = Publisher::default();
        let mut bytes = Vec::new();
        let mut records = 0;
        let mut largest_bytes = 0;
        publisher.each(size, |record| {
            records += 1;
            largest_bytes = largest_bytes.max(record.encoded_len());
            let reserved = bytes.try_reserve(record.encoded_len() + 10);
            reserved.expect("memory for the publication");
            let encoded = record.encode_length_delimited(&mut bytes);
            encoded.expect("room was reserved");
        });
        Self { bytes, records, largest_bytes, revision: publisher.revision }
    }

    pub(crate) fn decode(&self) -> impl Iterator<Item = Record> {
        let mut remaining = &self.bytes[..];
        std::iter::from_fn(move || {
            let more = !remaining.is_empty();
            more.then(|| Record::decode_length_delimited(&mut remaining).expect("just encoded"))
        })
    }
}
