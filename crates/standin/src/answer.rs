//! Text of a stand-in target's answer for one shard.

/// Returns the body of the answer's part for `shard`: `INDEX@VERSION/SHARD/KEY/PAYLOAD`.
///
/// The body repeats the content of the request, so that the sender can detect a part that belongs
/// to another request, shard or version.
pub fn body(index: &str, version: u64, shard: &str, key: &str, payload: &str) -> String {
    format!("{index}@{version}/{shard}/{key}/{payload}")
}
