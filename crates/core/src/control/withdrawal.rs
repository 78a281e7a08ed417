//! Withdrawals that are not believed at once.
//!
//! Servers register at the platform themselves and are withdrawn when they have been silent for a
//! while. When the platform was away, it withdraws servers that could not reach it; they are back
//! some moments later. An instance that believed it would have nobody left to ask, although all
//! servers are well. The same shows when many servers that were live are withdrawn at one stroke.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::publication::Record;

use super::store::Key;
use crate::collections::Map;
use crate::time::Instant;

/// How long a doubted withdrawal waits for a newer record: servers that are well register again
/// within about two seconds.
pub const DOUBT: Duration = Duration::from_millis(2300);
/// Withdrawals of one page that are few whatever the number of servers.
const FEW: usize = 3;
/// One in this many of all live servers withdrawn by one page is many.
const MANY_PART: usize = 4;

/// Withdrawals that wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Withdrawals {
    /// Tombstones by key with the time at which they come into force.
    ///
    /// Invariant: each is newer than the record in force of its key when it was put in.
    waiting: Map<Key, (Instant, Record)>,
    /// When the platform last answered after it had not.
    regained: Option<Instant>,
}

impl Withdrawals {
    /// The platform answers again.
    pub(super) fn regained(&mut self, now: Instant) {
        self.regained = Some(now);
    }

    /// Whether withdrawals of `count` out of `live` servers that were live are doubted.
    pub(super) fn doubts(&self, now: Instant, count: usize, live: usize) -> bool {
        let returning = self.regained.is_some_and(|at| now.since(at) < DOUBT);
        returning || (count > FEW && count * MANY_PART > live)
    }

    /// Lets a withdrawal wait; one that waits already keeps its time.
    pub(super) fn wait(&mut self, now: Instant, key: Key, tombstone: Record) {
        let at = self.waiting.get(&key).map_or(now + DOUBT, |(at, _)| *at);
        self.waiting.insert(key, (at, tombstone));
    }

    /// Forgets a withdrawal that a newer record has overtaken.
    pub(super) fn overtaken(&mut self, key: &Key, revision: u64) {
        let older = |(_, tombstone): &(Instant, Record)| tombstone.revision < revision;
        if self.waiting.get(key).is_some_and(older) {
            self.waiting.remove(key);
        }
    }

    /// Withdrawals whose time has come.
    pub(super) fn due(&mut self, now: Instant) -> Vec<Record> {
        let due = |(_, (at, _)): &(&Key, &(Instant, Record))| *at <= now;
        let keys: Vec<Key> = self.waiting.iter().filter(due).map(|(key, _)| key.clone()).collect();
        let mut records: Vec<Record> = keys
            .iter()
            .filter_map(|key| self.waiting.remove(key))
            .map(|(_, record)| record)
            .collect();
        records.sort_by_key(|record| record.revision);
        records
    }

    /// When the next withdrawal comes into force.
    pub(super) fn next(&self) -> Option<Instant> {
        self.waiting.values().map(|(at, _)| *at).min()
    }
}

/// A tombstone of a key.
pub(super) fn tombstone(key: &Key, revision: u64) -> Record {
    use ladder_schema::publication::{Tombstone, record::Body};

    let name = Arc::clone(&key.name).to_string();
    let body = Body::Tombstone(Tombstone { kind: key.kind.into(), name });
    Record { revision, body: Some(body) }
}
