//! Hash collections with the project's hasher.

use std::hash::BuildHasherDefault;

/// Hasher of all maps and sets: fast and without a random seed, so that replays iterate alike.
pub type Hasher = BuildHasherDefault<rustc_hash::FxHasher>;

/// Hash map with the project's hasher.
#[allow(clippy::disallowed_types)]
pub type Map<K, V> = std::collections::HashMap<K, V, Hasher>;

/// Hash set with the project's hasher.
#[allow(clippy::disallowed_types)]
pub type Set<K> = std::collections::HashSet<K, Hasher>;
