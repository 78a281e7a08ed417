//! Store of the published records: the newest record of each key.

use actix_http::StatusCode;
use ladder_core::collections::Map;
use ladder_core::control::store::Key;
use ladder_schema::publication::{Page, Record};

/// Reason why a publication is refused.
#[derive(Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub(super) enum PublishError {
    /// record {0} has no body
    NoBody(usize),
    /// record {position}: revision {revision} is not above the head {head}
    OldRevision {
        /// Position of the record in the published page.
        position: usize,
        /// Revision that the record was published with.
        revision: u64,
        /// Highest revision published so far.
        head: u64,
    },
}

impl PublishError {
    /// Returns the HTTP status that reports the refused publication.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::NoBody(_) => StatusCode::BAD_REQUEST,
            Self::OldRevision { .. } => StatusCode::CONFLICT,
        }
    }
}

/// Published records: the newest record of each key.
#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    /// Highest revision published so far.
    ///
    /// Invariant: equals the highest revision of `records`; grows with every publication.
    head: u64,
    records: Map<Key, Record>,
    /// All records published so far, in order of revision.
    history: Vec<Record>,
    /// Number of times that the store was restored from a copy.
    drills: u64,
}

impl Store {
    /// Publishes all records, or none if one is refused, and returns the new head revision.
    ///
    /// A record without a revision gets the next one. A record whose revision is not above the head
    /// is refused: when two operators publish concurrently from the same head, the second one gets
    /// an error and does not overwrite the records of the first.
    pub(super) fn publish(&mut self, records: Vec<Record>) -> Result<u64, PublishError> {
        let mut updated = self.clone();
        for (position, record) in records.into_iter().enumerate() {
            updated.insert(position, record)?;
        }
        *self = updated;
        Ok(self.head)
    }

    fn insert(&mut self, position: usize, mut record: Record) -> Result<(), PublishError> {
        if record.body.is_none() {
            return Err(PublishError::NoBody(position));
        }
        let key = Key::of(&record);
        if record.revision == 0 {
            record.revision = self.head + 1;
        }
        if record.revision <= self.head {
            return Err(PublishError::OldRevision {
                position,
                revision: record.revision,
                head: self.head,
            });
        }
        self.head = record.revision;
        self.history.push(record.clone());
        self.records.insert(key, record);
        Ok(())
    }

    /// Restores the store from a copy that lacks all records above a revision. These revisions are
    /// given out again, and the era rises.
    pub(super) fn restore(&mut self, copy: u64) {
        self.history.retain(|record| record.revision <= copy);
        let newest = self.history.iter().map(|record| (Key::of(record), record.clone()));
        self.records = newest.collect();
        self.head = self.history.last().map_or(0, |record| record.revision);
        self.drills += 1;
    }

    /// Whether the store has given out a revision, so that it can list the changes after it.
    pub(super) const fn has(&self, revision: u64) -> bool {
        revision <= self.head
    }

    /// Returns the records above a revision, sorted by revision.
    pub(super) fn page(&self, after: u64) -> Page {
        let newer = self.records.values();
        let newer = newer.filter(|record| record.revision > after);
        let mut records: Vec<Record> = newer.cloned().collect();
        records.sort_by_key(|record| record.revision);
        let (whole, era) = (after == 0, self.drills + 1);
        Page { head: self.head, records, whole, era, ..Page::default() }
    }
}
