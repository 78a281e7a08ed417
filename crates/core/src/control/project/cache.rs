//! Indexes that views share as long as they do not change.

use std::cmp::Reverse;
use std::sync::Arc;

use ladder_schema::publication::Index;

use crate::collections::Map;
use crate::control::store::Store;

type Lists = Map<Arc<str>, Vec<Arc<Index>>>;

/// Indexes of the last view.
#[derive(Clone, Debug, Default)]
pub(super) struct Cache {
    indexes: Map<(Arc<str>, u64), Arc<Index>>,
}

impl Cache {
    /// Takes over the indexes in force.
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
    pub(super) fn index_lists(&self) -> Lists {
        let mut lists = Lists::default();
        for ((name, _), index) in &self.indexes {
            let list = lists.entry(Arc::clone(name)).or_default();
            list.push(Arc::clone(index));
        }
        for list in lists.values_mut() {
            list.sort_unstable_by_key(|index| Reverse(index.version));
        }
        lists
    }
}
