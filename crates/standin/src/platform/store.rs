//! The published records: the newest of each key.

use actix_http::StatusCode;
use ladder_core::collections::Map;
use ladder_core::control::store::Key;
use ladder_schema::publication::{Page, Record};

/// Why a publication is refused.
#[derive(Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub(super) enum Refusal {
    /// record {0} has no body
    NoBody(usize),
    /// record {position}: revision {revision} is not above the head {head}
    OldRevision {
        /// Position in the page.
        position: usize,
        /// Revision of the record.
        revision: u64,
        /// Highest revision published.
        head: u64,
    },
}

impl Refusal {
    /// How the refusal is answered.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::NoBody(_) => StatusCode::BAD_REQUEST,
            Self::OldRevision { .. } => StatusCode::CONFLICT,
        }
    }
}

/// The newest record of each key.
#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    /// Invariant: the highest revision of `records`; grows with every publication.
    head: u64,
    records: Map<Key, Record>,
}

impl Store {
    /// Publishes all records or none; a record without a revision gets the next one. Gives the new
    /// head.
    ///
    /// A revision that is not above the head is refused: of two operators who publish at once from
    /// the same head, the second is told so and does not overwrite the first.
    pub(super) fn publish(&mut self, records: Vec<Record>) -> Result<u64, Refusal> {
        let mut next = self.clone();
        for (position, record) in records.into_iter().enumerate() {
            next.insert(position, record)?;
        }
        *self = next;
        Ok(self.head)
    }

    fn insert(&mut self, position: usize, mut record: Record) -> Result<(), Refusal> {
        if record.body.is_none() {
            return Err(Refusal::NoBody(position));
        }
        let key = Key::of(&record);
        if record.revision == 0 {
            record.revision = self.head + 1;
        }
        if record.revision <= self.head {
            return Err(Refusal::OldRevision {
                position,
                revision: record.revision,
                head: self.head,
            });
        }
        self.head = record.revision;
        self.records.insert(key, record);
        Ok(())
    }

    /// Records above a revision, oldest first.
    pub(super) fn page(&self, after: u64) -> Page {
        let newer = self.records.values();
        let newer = newer.filter(|record| record.revision > after);
        let mut records: Vec<Record> = newer.cloned().collect();
        records.sort_by_key(|record| record.revision);
        Page { head: self.head, records, ..Page::default() }
    }
}
