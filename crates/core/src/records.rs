//! Records in the bodies of a sweep's parts.

use std::cmp::Reverse;

use bytes::{Bytes, BytesMut};

/// Bytes of one record in a part.
const RECORD: usize = 16;

/// The greatest `top` records of all parts, falling; a rest shorter than a record is left out.
pub(crate) fn greatest<'a>(parts: impl Iterator<Item = &'a Bytes>, top: usize) -> Bytes {
    let mut records: Vec<&[u8]> = parts.flat_map(|part| part.chunks_exact(RECORD)).collect();
    if top < records.len() {
        records.select_nth_unstable_by_key(top, |&record| Reverse(record));
        records.truncate(top);
    }
    records.sort_unstable_by_key(|&record| Reverse(record));
    let mut body = BytesMut::with_capacity(records.len() * RECORD);
    records.iter().for_each(|record| body.extend_from_slice(record));
    body.freeze()
}
