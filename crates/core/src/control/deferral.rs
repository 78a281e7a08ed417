//! Records of the platform that are held back before they take effect.
//!
//! Servers register with the platform themselves, and the platform withdraws those that have been
//! silent for a while. After an outage of the platform, it withdraws servers that could not reach
//! it; they register again moments later. An instance that applied such withdrawals at once would
//! have no server left to send work to, although all servers are healthy. A withdrawal of many live
//! servers in a single page is just as doubtful.
//!
//! A store that was restored from a copy lists records as they were some seconds before. What was
//! written since is written again moments later, so what is in force stays meanwhile.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::publication::{Record, State, Tombstone, record::Body};

use super::store::{Key, Position};
use crate::collections::Map;
use crate::time::Instant;

/// How long a doubtful record waits for a newer one. Healthy servers register again within about
/// two seconds.
pub(super) const HOLD_BACK_TIME: Duration = Duration::from_millis(2300);
/// How long the return of a withdrawn server waits, if only a copy of the store shows it. By then
/// the platform has withdrawn it again unless it is alive.
const RETURN_HOLD_BACK_TIME: Duration = Duration::from_millis(4600);
/// Largest number of withdrawals in one page that is never doubtful, whatever the number of
/// servers.
const MAX_UNDOUBTED_WITHDRAWALS: usize = 3;
/// The withdrawals of one page are doubtful if they concern more than one in this many of all live
/// servers.
const DOUBTED_SHARE_DIVISOR: usize = 4;

/// A record that is held back.
#[derive(Clone, Debug)]
struct Deferral {
    due_at: Instant,
    position: Position,
    record: Record,
    /// Whether this instance has read the record from the platform itself.
    read_here: bool,
}

/// Records that are held back because newer ones are expected.
#[derive(Clone, Debug, Default)]
pub(super) struct Deferrals {
    /// Records by key, with the time at which they take effect.
    ///
    /// Invariant: each was newer by position than the record in force of its key when it was added.
    held_back: Map<Key, Deferral>,
    /// When the platform last answered after a failure, or in a new era of its store.
    platform_returned_at: Option<Instant>,
}

impl Deferrals {
    /// The platform has answered again after a failure, or its store was restored from a copy. What
    /// is held back waits at least as long as after any other return.
    pub(super) fn platform_returned(&mut self, now: Instant) {
        self.platform_returned_at = Some(now);
        for deferral in self.held_back.values_mut() {
            deferral.due_at = deferral.due_at.max(now + HOLD_BACK_TIME);
        }
    }

    /// Whether the withdrawal of `count` out of `live` live servers is doubtful.
    pub(super) fn is_doubtful(&self, now: Instant, count: usize, live: usize) -> bool {
        self.has_just_returned(now)
            || (count > MAX_UNDOUBTED_WITHDRAWALS && count * DOUBTED_SHARE_DIVISOR > live)
    }

    /// Whether the platform returned so recently that lost records may not be written again yet.
    pub(super) fn has_just_returned(&self, now: Instant) -> bool {
        self.platform_returned_at.is_some_and(|at| now.since(at) < HOLD_BACK_TIME)
    }

    /// Holds back a record. One that is already held back in the same era keeps its due time.
    pub(super) fn hold_back(
        &mut self,
        due_at: Instant,
        key: Key,
        position: Position,
        record: Record,
        read_here: bool,
    ) {
        let known = self.held_back.get(&key);
        let known = known.filter(|known| known.position.era == position.era);
        let due_at = known.map_or(due_at, |known| known.due_at);
        // When it is due, the record takes effect like one that was not listed.
        let record = Record { listed: false, ..record };
        self.held_back.insert(key, Deferral { due_at, position, record, read_here });
    }

    /// Drops a record if a newer one of its key has arrived.
    pub(super) fn drop_superseded(&mut self, key: &Key, position: Position) {
        if self.held_back.get(key).is_some_and(|held_back| held_back.position < position) {
            self.held_back.remove(key);
        }
    }

    /// Removes and returns the records that take effect by now, in order of position. While the
    /// platform does not answer, records that were read from it wait on.
    pub(super) fn due(&mut self, now: Instant, platform_answers: bool) -> Vec<Record> {
        let is_due = |(_, deferral): &(&Key, &Deferral)| {
            deferral.due_at <= now && (platform_answers || !deferral.read_here)
        };
        let keys: Vec<Key> =
            self.held_back.iter().filter(is_due).map(|(key, _)| key.clone()).collect();
        let mut due: Vec<Deferral> =
            keys.iter().filter_map(|key| self.held_back.remove(key)).collect();
        due.sort_by_key(|deferral| deferral.position);
        due.into_iter().map(|deferral| deferral.record).collect()
    }

    /// When the next record that is held back takes effect, given whether the platform answers.
    pub(super) fn next(&self, platform_answers: bool) -> Option<Instant> {
        let waiting = self.held_back.values();
        let waiting = waiting.filter(|deferral| platform_answers || !deferral.read_here);
        waiting.map(|deferral| deferral.due_at).min()
    }

    /// Whether a record is held back that this instance has read from the platform itself, so that
    /// it must go on reading to learn whether a newer one follows.
    pub(super) fn await_platform(&self) -> bool {
        self.held_back.values().any(|deferral| deferral.read_here)
    }

    /// Number of records that are held back.
    pub(super) fn len(&self) -> usize {
        self.held_back.len()
    }
}

/// How long a listed record of a later era waits that may be older than the record in force;
/// `None` if it takes effect at once.
///
/// Routes of a lower version never take effect, and a server that leaves gets no work while it
/// waits for anything.
pub(super) fn listed_wait(listed: &Record, in_force: &Record) -> Option<Duration> {
    match (&listed.body, &in_force.body) {
        (Some(Body::Routing(_)), _) => None,
        (Some(Body::Server(server)), Some(Body::Server(known)))
            if server.state() == State::Leaving && server.incarnation >= known.incarnation =>
        {
            None
        }
        (Some(Body::Server(_)), Some(Body::Tombstone(_))) => Some(RETURN_HOLD_BACK_TIME),
        _ => Some(HOLD_BACK_TIME),
    }
}

/// Creates the tombstone record of a key that a listing does not contain.
pub(super) fn tombstone(key: &Key, listing: Position) -> Record {
    let name = Arc::clone(&key.name).to_string();
    let body = Body::Tombstone(Tombstone { kind: key.kind.into(), name });
    let Position { era, revision } = listing;
    Record { revision, body: Some(body), era, listed: true }
}
