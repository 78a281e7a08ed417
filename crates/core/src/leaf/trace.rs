//! What was decided for one portion, for the log.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};

use super::event::{Action, AttemptKey};
use super::machine::Machine;
use super::portion::PortionKey;
use super::reply::Refused;
use super::server::ServerKey;
use crate::sample;

/// Why a call was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The first call of a portion.
    First,
    /// Another one after a call that gave no answer.
    Retry,
    /// A second copy beside a call that was slow.
    Copy,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// Time from the sending to the end.
    pub took: Duration,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why it gave no answer; unspecified for an answer.
    pub reason: Reason,
}

/// One call with what it was decided on.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    pub(super) attempt: AttemptKey,
    /// Name of the server.
    pub server: Arc<str>,
    /// Why it was made.
    pub cause: Cause,
    /// Time from the portion's arrival to the sending.
    pub after: Duration,
    /// Calls of this instance open at the server before it.
    pub in_flight: u32,
    /// Failure rate of the server as this instance saw it.
    pub failure_rate: f64,
    /// Share of calls that the server shed.
    pub shed_rate: f64,
    /// Age of what was known of the server: time since its last outcome.
    pub age: Duration,
    /// Extra calls that the service's budget had left.
    pub budget: u32,
    /// Time left for the portion.
    pub left: Duration,
    /// How it ended; `None` while it is open.
    pub end: Option<End>,
}

/// What was decided for one portion.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The request key.
    pub id: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Version of the routes or the index that it ran under.
    pub version: u64,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why it was refused; unspecified for an answer.
    pub reason: Reason,
    /// When to come back; zero: no advice.
    pub retry_after: Duration,
    /// Time from its arrival to its reply.
    pub took: Duration,
    /// Its calls, oldest first.
    pub trials: Vec<Trial>,
}

impl Machine {
    /// What a call to a server is decided on now.
    pub(super) fn trial(&self, key: PortionKey, to: ServerKey, attempt: AttemptKey) -> Trial {
        let portion = &self.portions[key];
        let server = &self.servers[to];
        let cause = match (portion.calls, portion.attempts.is_empty()) {
            (0, _) => Cause::First,
            (_, true) => Cause::Retry,
            (_, false) => Cause::Copy,
        };
        Trial {
            attempt,
            server: Arc::clone(&server.name),
            cause,
            after: self.now.since(portion.arrived),
            in_flight: server.in_flight,
            failure_rate: server.health.failure_rate(self.now),
            shed_rate: server.health.shed_rate(self.now),
            age: self.now.since(server.health.seen()),
            budget: self.services[portion.service].budget.calls(),
            left: portion.deadline.since(self.now),
            end: None,
        }
    }

    /// Logs a portion that ended otherwise than by its first call's answer, and of the others those
    /// that the sample names.
    pub(super) fn log(
        &self,
        portion: &super::portion::Portion,
        refused: Refused,
        out: &mut Vec<Action>,
    ) {
        let plain = refused.reason == Reason::Unspecified && portion.calls == 1;
        if plain && !sample::contains(&portion.job.key) {
            return;
        }
        out.push(Action::Log(Box::new(Trace {
            id: Arc::clone(&portion.job.key),
            service: Arc::clone(&self.services[portion.service].name),
            version: portion.job.work.version,
            verdict: refused.verdict,
            reason: refused.reason,
            retry_after: refused.retry_after,
            took: self.now.since(portion.arrived),
            trials: portion.trials.clone(),
        })));
    }
}
