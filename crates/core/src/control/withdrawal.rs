//! Withdrawals of servers that are held back before they take effect.
//!
//! Servers register with the platform themselves, and the platform withdraws those that have been
//! silent for a while. After an outage of the platform, it withdraws servers that could not reach
//! it; they register again moments later. An instance that applied such withdrawals at once would
//! have no server left to send work to, although all servers are healthy. A withdrawal of many live
//! servers in a single page is just as doubtful.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::publication::Record;

use super::store::Key;
use crate::collections::Map;
use crate::time::Instant;

/// How long a doubtful withdrawal waits for a newer record. Healthy servers register again within
/// about two seconds.
pub const HOLD_BACK_TIME: Duration = Duration::from_millis(2300);
/// Largest number of withdrawals in one page that is never doubtful, whatever the number of
/// servers.
const MAX_UNDOUBTED_WITHDRAWALS: usize = 3;
/// The withdrawals of one page are doubtful if they concern more than one in this many of all live
/// servers.
const DOUBTED_SHARE_DIVISOR: usize = 4;

/// Withdrawals of servers that are held back because they may be an error of the platform.
#[derive(Clone, Debug, Default)]
pub(super) struct Withdrawals {
    /// Tombstones by key, with the time at which they take effect.
    ///
    /// Invariant: each was newer than the record in force of its key when it was added.
    held_back: Map<Key, (Instant, Record)>,
    /// When the platform last answered after a failure.
    platform_returned_at: Option<Instant>,
}

impl Withdrawals {
    /// The platform has answered again after a failure.
    pub(super) fn platform_returned(&mut self, now: Instant) {
        self.platform_returned_at = Some(now);
    }

    /// Whether the withdrawal of `count` out of `live` live servers is doubtful.
    pub(super) fn is_doubtful(&self, now: Instant, count: usize, live: usize) -> bool {
        let has_just_returned =
            self.platform_returned_at.is_some_and(|at| now.since(at) < HOLD_BACK_TIME);
        has_just_returned
            || (count > MAX_UNDOUBTED_WITHDRAWALS && count * DOUBTED_SHARE_DIVISOR > live)
    }

    /// Holds back a withdrawal. One that is already held back keeps its due time.
    pub(super) fn hold_back(&mut self, now: Instant, key: Key, tombstone: Record) {
        let due_at = self.held_back.get(&key).map_or(now + HOLD_BACK_TIME, |(due_at, _)| *due_at);
        self.held_back.insert(key, (due_at, tombstone));
    }

    /// Drops a withdrawal if a newer record of its key has arrived.
    pub(super) fn drop_superseded(&mut self, key: &Key, revision: u64) {
        let is_older = |(_, tombstone): &(Instant, Record)| tombstone.revision < revision;
        if self.held_back.get(key).is_some_and(is_older) {
            self.held_back.remove(key);
        }
    }

    /// Removes and returns the withdrawals that take effect by now, in order of revision.
    pub(super) fn due(&mut self, now: Instant) -> Vec<Record> {
        let is_due = |(_, (due_at, _)): &(&Key, &(Instant, Record))| *due_at <= now;
        let keys: Vec<Key> =
            self.held_back.iter().filter(is_due).map(|(key, _)| key.clone()).collect();
        let mut records: Vec<Record> = keys
            .iter()
            .filter_map(|key| self.held_back.remove(key))
            .map(|(_, record)| record)
            .collect();
        records.sort_by_key(|record| record.revision);
        records
    }

    /// When the next withdrawal that is held back takes effect.
    pub(super) fn next(&self) -> Option<Instant> {
        self.held_back.values().map(|(due_at, _)| *due_at).min()
    }
}

/// Creates the tombstone record of a key.
pub(super) fn tombstone(key: &Key, revision: u64) -> Record {
    use ladder_schema::publication::{Tombstone, record::Body};

    let name = Arc::clone(&key.name).to_string();
    let body = Body::Tombstone(Tombstone { kind: key.kind.into(), name });
    Record { revision, body: Some(body) }
}
