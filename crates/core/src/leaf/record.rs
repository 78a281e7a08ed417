//! Outcomes of non-idempotent requests, by service and request key.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::bounds;

use super::service::ServiceId;
use crate::collections::Map;
use crate::time::Instant;

/// Maximum number of records; the oldest is dropped first.
const MAX_RECORDS: usize = 65_536;
/// Time for which a record is kept.
const MAX_AGE: Duration = Duration::from_millis(2 * bounds::FORWARD_MS as u64);

/// State of a non-idempotent request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The request is queued or was sent.
    Running,
    /// A target answered the request.
    Ran,
    /// There is no proof that the request ran or did not run.
    MayHaveRun,
    /// The request did not run through this instance. The entry may have sent it to another
    /// instance since.
    NotRun,
    /// The request did not run, and the entry does not send this attempt to any instance again.
    Withdrawn,
}

/// Key of a record: service and request key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Key {
    pub(super) service: ServiceId,
    pub(super) key: Arc<str>,
}

#[derive(Clone, Debug)]
struct Record {
    state: State,
    /// The caller's attempt number.
    attempt: u32,
    /// Sequence number of the newest element of `order` for this record.
    sequence: u64,
}

/// Decision on an arriving non-idempotent request, derived from the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// The request may run.
    Free,
    /// An earlier delivery of the request may have run.
    Repeated,
    /// The request is a later attempt of the caller, and no record proves that the earlier attempts
    /// did not run.
    Unproven,
}

/// Records of non-idempotent requests, bounded in number and age.
#[derive(Clone, Debug, Default)]
pub(super) struct Records {
    records: Map<Key, Record>,
    /// Record keys in order of their last change. An element whose record has changed since is
    /// stale.
    order: VecDeque<(Instant, u64, Key)>,
    sequence: u64,
}

impl Records {
    /// Decides whether a request with this attempt number may run.
    ///
    /// A caller that got no answer sends the request again through another entry instance with a
    /// higher attempt number. A record `NotRun` does not prove that the earlier attempt ran
    /// nowhere: after such a reply the entry may have sent that attempt to another candidate, where
    /// it ran. Only `Withdrawn` for the attempt just before is proof.
    pub(super) fn find(&self, key: &Key, attempt: u32) -> Finding {
        let attempt = attempt.max(1);
        let Some(record) = self.records.get(key) else {
            return match attempt {
                1 => Finding::Free,
                _ => Finding::Unproven,
            };
        };
        let is_same_attempt = attempt == record.attempt;
        let is_next_attempt = attempt == record.attempt + 1;
        match record.state {
            State::NotRun if is_same_attempt => Finding::Free,
            State::Withdrawn if is_same_attempt || is_next_attempt => Finding::Free,
            State::NotRun | State::Withdrawn if attempt > record.attempt => Finding::Unproven,
            _ => Finding::Repeated,
        }
    }

    /// Records that a request is queued.
    pub(super) fn start(&mut self, now: Instant, key: Key, attempt: u32) {
        self.write(now, key, State::Running, attempt.max(1));
    }

    /// Records the outcome of a request.
    pub(super) fn settle(&mut self, now: Instant, key: &Key, state: State) {
        let Some(record) = self.records.get(key) else {
            return;
        };
        let attempt = record.attempt;
        self.write(now, key.clone(), state, attempt);
    }

    /// Drops records older than [`MAX_AGE`].
    pub(super) fn drop_expired(&mut self, now: Instant) {
        while let Some((written, ..)) = self.order.front() {
            if now.since(*written) < MAX_AGE {
                break;
            }
            self.drop_oldest();
        }
    }

    fn write(&mut self, now: Instant, key: Key, state: State, attempt: u32) {
        self.sequence += 1;
        let sequence = self.sequence;
        let record = Record { state, attempt, sequence };
        self.order.push_back((now, sequence, key.clone()));
        self.records.insert(key, record);
        while self.records.len() > MAX_RECORDS || self.order.len() > 4 * MAX_RECORDS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, sequence, key)) = self.order.pop_front() else {
            return;
        };
        let is_current = self.records.get(&key).is_some_and(|record| record.sequence == sequence);
        if is_current {
            self.records.remove(&key);
        }
    }
}
