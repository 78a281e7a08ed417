//! The text that a target answers for one shard.

/// The body of the part for `shard`: `INDEX@VERSION/SHARD/KEY/PAYLOAD`.
///
/// It repeats everything that the target was asked, so that whoever sent the request can tell its
/// own part from any other request's, shard's or version's.
pub fn body(index: &str, version: u64, shard: &str, key: &str, payload: &str) -> String {
    format!("{index}@{version}/{shard}/{key}/{payload}")
}
