//! Indexes shared between views as long as they do not change.

use std::cmp::Reverse;
use std::sync::Arc;

use ladder_schema::publication::Index;

use crate::collections::Map;
use crate::control::store::Store;

type IndexVersions = Map<Arc<str>, Vec<Arc<Index>>>;

/// Indexes of the last view, by name and version.
#[derive(Clone, Debug, Default)]
pub(super) struct IndexCache {
    indexes: Map<(Arc<str>, u64), Arc<Index>>,
}

impl IndexCache {
    /// Updates the cache to the indexes in force in `store`.
    pub(super) fn refresh(&mut self, store: &Store) {
        let old = std::mem::take(&mut self.indexes);
        for index in store.indexes() {
            let key = (Arc::from(index.name.as_str()), index.version);
            let known = old.get(&key).filter(|known| ***known == *index);
            let shared = known.map_or_else(|| Arc::new(index.clone()), Arc::clone);
            self.indexes.insert(key, shared);
        }
    }

    /// Versions of each index, newest first.
    pub(super) fn index_lists(&self) -> IndexVersions {
        let mut versions = IndexVersions::default();
        for ((name, _), index) in &self.indexes {
            let index_versions = versions.entry(Arc::clone(name)).or_default();
            index_versions.push(Arc::clone(index));
        }
        for index_versions in versions.values_mut() {
            index_versions.sort_unstable_by_key(|index| Reverse(index.version));
        }
        versions
    }
}
