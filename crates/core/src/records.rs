//! Fixed-size records in the bodies of a sweep's parts.

use std::cmp::Reverse;

use bytes::{Bytes, BytesMut};

/// Size of one record in bytes.
const RECORD_BYTES: usize = 16;

/// The greatest `top` records of all parts in descending order; trailing bytes of a part that are
/// shorter than a record are ignored.
pub(crate) fn greatest<'a>(parts: impl Iterator<Item = &'a Bytes>, top: usize) -> Bytes {
    let mut records: Vec<&[u8]> = parts.flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    if top < records.len() {
        records.select_nth_unstable_by_key(top, |&record| Reverse(record));
        records.truncate(top);
    }
    records.sort_unstable_by_key(|&record| Reverse(record));
    let mut body = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    records.iter().for_each(|record| body.extend_from_slice(record));
    body.freeze()
}
