//! What became of unrepeatable requests, by service and request key.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::service::ServiceId;
use crate::collections::Map;
use crate::time::Instant;

/// Most records kept; the oldest goes first.
const RECORDS: usize = 65_536;
/// How long a record is kept.
const AGE: Duration = Duration::from_secs(600);

/// What is known of an unrepeatable request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Queued or sent.
    Running,
    /// A target answered.
    Ran,
    /// Nothing proves either way.
    MayHaveRun,
    /// It did not run here. The entry may have sent it to another instance since.
    NotRun,
    /// It did not run, and the entry does not send this attempt again anywhere.
    Withdrawn,
}

/// Name of a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Name {
    pub(super) service: ServiceId,
    pub(super) key: Arc<str>,
}

#[derive(Clone, Debug)]
struct Record {
    state: State,
    /// The caller's attempt number.
    attempt: u32,
    /// Number of the record's entry in the order of age.
    sequence: u64,
}

/// What the records say of an arriving unrepeatable request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// It may run.
    Free,
    /// An earlier delivery may have run.
    Repeated,
    /// It is a later attempt and nothing here proves that the earlier ones did not run.
    Unproven,
}

/// Records of unrepeatable requests, bounded in number and age.
#[derive(Clone, Debug, Default)]
pub(super) struct Records {
    records: Map<Name, Record>,
    /// Names in order of their last change; entries of changed records are stale.
    order: VecDeque<(Instant, u64, Name)>,
    sequence: u64,
}

impl Records {
    /// Whether a request of this attempt number may run.
    ///
    /// A caller that got no answer asks again through another entry with a higher attempt number.
    /// A record `NotRun` does not prove that the earlier attempt ran nowhere: after such a reply
    /// the entry may have sent it to another candidate, where it ran. Only `Withdrawn` of the
    /// attempt just before is proof.
    pub(super) fn find(&self, name: &Name, attempt: u32) -> Finding {
        let attempt = attempt.max(1);
        let Some(record) = self.records.get(name) else {
            return match attempt {
                1 => Finding::Free,
                _ => Finding::Unproven,
            };
        };
        let same = attempt == record.attempt;
        let next = attempt == record.attempt + 1;
        match record.state {
            State::NotRun if same => Finding::Free,
            State::Withdrawn if same || next => Finding::Free,
            State::NotRun | State::Withdrawn if attempt > record.attempt => Finding::Unproven,
            _ => Finding::Repeated,
        }
    }

    /// Records that a request is queued.
    pub(super) fn start(&mut self, now: Instant, name: Name, attempt: u32) {
        self.write(now, name, State::Running, attempt.max(1));
    }

    /// Records what became of a request.
    pub(super) fn settle(&mut self, now: Instant, name: &Name, state: State) {
        let Some(record) = self.records.get(name) else {
            return;
        };
        let attempt = record.attempt;
        self.write(now, name.clone(), state, attempt);
    }

    /// Drops what is too old.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((written, ..)) = self.order.front() {
            if now.since(*written) < AGE {
                break;
            }
            self.drop_oldest();
        }
    }

    fn write(&mut self, now: Instant, name: Name, state: State, attempt: u32) {
        self.sequence += 1;
        let sequence = self.sequence;
        let record = Record { state, attempt, sequence };
        self.order.push_back((now, sequence, name.clone()));
        self.records.insert(name, record);
        while self.records.len() > RECORDS || self.order.len() > 4 * RECORDS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, sequence, name)) = self.order.pop_front() else {
            return;
        };
        let current = self.records.get(&name).is_some_and(|record| record.sequence == sequence);
        if current {
            self.records.remove(&name);
        }
    }
}
