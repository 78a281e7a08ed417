//! Hash maps and sets with a deterministic hasher.

use std::hash::BuildHasherDefault;

/// Hasher of all maps and sets: fast and without a random seed, so that a replay iterates in the
/// same order.
pub type Hasher = BuildHasherDefault<rustc_hash::FxHasher>;

/// Hash map with the deterministic [`Hasher`].
#[allow(clippy::disallowed_types)]
pub type Map<K, V> = std::collections::HashMap<K, V, Hasher>;

/// Hash set with the deterministic [`Hasher`].
#[allow(clippy::disallowed_types)]
pub type Set<K> = std::collections::HashSet<K, Hasher>;
