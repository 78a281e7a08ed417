//! Entries and indexes that views share as long as they do not change.

use std::cmp::Reverse;
use std::sync::Arc;

use ladder_schema::catalogue::Entry;
use ladder_schema::publication::Index;

use crate::collections::Map;
use crate::control::store::Store;

type Lists = Map<Arc<str>, Vec<Arc<Index>>>;

/// Entries and indexes of the last view.
#[derive(Debug, Default)]
pub(super) struct Cache {
    entries: Map<Arc<str>, Arc<Entry>>,
    indexes: Map<(Arc<str>, u64), Arc<Index>>,
}

impl Cache {
    /// Takes over the entries in force.
    pub(super) fn refresh(&mut self, store: &Store) {
        let old = std::mem::take(&mut self.entries);
        for entry in store.entries() {
            let known = old
                .get(entry.service.as_str())
                .filter(|known| ***known == *entry);
            let shared = known.map_or_else(|| Arc::new(entry.clone()), Arc::clone);
            self.entries.insert(entry.service.as_str().into(), shared);
        }
        let old = std::mem::take(&mut self.indexes);
        for index in store.indexes() {
            let key = (Arc::from(index.name.as_str()), index.version);
            let known = old.get(&key).filter(|known| ***known == *index);
            let shared = known.map_or_else(|| Arc::new(index.clone()), Arc::clone);
            self.indexes.insert(key, shared);
        }
    }

    /// The entries in force, in no order.
    pub(super) fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.values()
    }

    /// Whether a service has an entry in force.
    pub(super) fn has_entry(&self, service: &str) -> bool {
        self.entries.contains_key(service)
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
