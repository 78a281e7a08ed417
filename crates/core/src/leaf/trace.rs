//! Trace of the decisions made for one portion, for the log.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};

use super::event::{Action, AttemptKey};
use super::machine::Machine;
use super::portion::PortionKey;
use super::reply::Refused;
use super::server::ServerKey;
use crate::sample;

/// Reason for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// First call of a portion.
    First,
    /// Retry after a call that ended without an answer.
    Retry,
    /// Hedged call that duplicates a slow open call.
    Copy,
}

/// Result of a finished call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallEnd {
    /// Time from the sending of the call to its end.
    pub took: Duration,
    /// Whether the work may have run at a target.
    pub verdict: Verdict,
    /// Reason why the call ended without an answer; unspecified for an answer.
    pub reason: Reason,
}

/// One call with the inputs of the decision to make it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallTrace {
    pub(super) attempt: AttemptKey,
    /// Name of the server that the call was sent to.
    pub server: Arc<str>,
    /// Reason for the call.
    pub cause: Cause,
    /// Time from the portion's arrival to the sending of the call.
    pub after: Duration,
    /// Number of this instance's calls open at the server before this call.
    pub in_flight: u32,
    /// Failure rate of the server as observed by this instance.
    pub failure_rate: f64,
    /// Fraction of calls that the server shed.
    pub shed_rate: f64,
    /// Time since the server's latest outcome: age of the information on the server.
    pub age: Duration,
    /// Number of extra calls left in the service's budget.
    pub budget: u32,
    /// Time left until the portion's deadline.
    pub left: Duration,
    /// Result of the call; `None` while the call is open.
    pub end: Option<CallEnd>,
}

/// Trace of the decisions made for one portion.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The request key of the portion.
    pub id: Arc<str>,
    /// Name of the portion's service.
    pub service: Arc<str>,
    /// Version of the routes or the index that the portion ran under.
    pub version: u64,
    /// Whether the work may have run at a target.
    pub verdict: Verdict,
    /// Reason why the portion was refused; unspecified for an answer.
    pub reason: Reason,
    /// Delay after which the entry may retry; zero: no advice.
    pub retry_after: Duration,
    /// Time from the portion's arrival to its reply.
    pub took: Duration,
    /// Calls of the portion, oldest first.
    pub calls: Vec<CallTrace>,
}

impl Machine {
    /// Captures the current inputs of the decision to send a call of a portion to a server.
    pub(super) fn call_trace(
        &self,
        key: PortionKey,
        to: ServerKey,
        attempt: AttemptKey,
    ) -> CallTrace {
        let portion = &self.portions[key];
        let server = &self.servers[to];
        let cause = match (portion.calls, portion.attempts.is_empty()) {
            (0, _) => Cause::First,
            (_, true) => Cause::Retry,
            (_, false) => Cause::Copy,
        };
        CallTrace {
            attempt,
            server: Arc::clone(&server.name),
            cause,
            after: self.now.since(portion.arrived),
            in_flight: server.in_flight,
            failure_rate: server.health.failure_rate(self.now),
            shed_rate: server.health.shed_rate(self.now),
            age: self.now.since(server.health.last_outcome_at()),
            budget: self.services[portion.service].budget.calls(),
            left: portion.deadline.since(self.now),
            end: None,
        }
    }

    /// Logs the portion's trace, unless the portion ended with the answer of its first call and its
    /// key isn't in the log sample.
    pub(super) fn log_portion(
        &self,
        portion: &super::portion::Portion,
        refused: Refused,
        out: &mut Vec<Action>,
    ) {
        let is_uneventful = refused.reason == Reason::Unspecified && portion.calls == 1;
        if is_uneventful && !sample::contains(&portion.job.key) {
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
            calls: portion.call_traces.clone(),
        })));
    }
}
