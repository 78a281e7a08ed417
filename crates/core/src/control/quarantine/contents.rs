//! Hashes over the crashes and entries of the quarantine, for comparison.

use super::Incarnation;
use crate::collections::Map;
use crate::fingerprint::Fingerprint;

/// What a part of the quarantine is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Item {
    /// The crash of this incarnation.
    Crash(Incarnation),
    /// The entry of this request.
    Entry(Fingerprint),
}

/// Hashes of the crashes and entries of the quarantine at some time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(in crate::control) struct Contents(Map<Item, u64>);

impl Contents {
    pub(super) fn insert(&mut self, item: Item, hash: u64) {
        self.0.insert(item, hash);
    }

    pub(super) fn contains(&self, item: &Item) -> bool {
        self.0.contains_key(item)
    }

    pub(in crate::control) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// What is new or different compared to earlier contents.
    pub(in crate::control) fn since(mut self, earlier: &Self) -> Self {
        self.0.retain(|item, hash| earlier.0.get(item) != Some(hash));
        self
    }

    /// Hash over all items that meet a condition; 0 if there are none.
    pub(super) fn hash(&self, condition: impl Fn(&Item) -> bool) -> u64 {
        let items = self.0.iter().filter(|(item, _)| condition(item));
        items.fold(0, |combined, (_, hash)| combined ^ hash)
    }
}
