//! Sample of the requests that are logged in full although they succeeded.

use std::hash::{BuildHasher, BuildHasherDefault};

use rustc_hash::FxHasher;

/// One in this many requests is logged in full regardless of its outcome.
const ONE_IN: u64 = 64;

/// Whether the sample contains a request. The decision depends only on the request key, so that all
/// instances log the same requests and the log lines of one request are complete.
pub fn contains(key: &str) -> bool {
    let hash = BuildHasherDefault::<FxHasher>::default().hash_one(key);
    (hash >> 32).is_multiple_of(ONE_IN)
}
