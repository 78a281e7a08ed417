//! History of the most recent queries, which operators can inspect.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};

use crate::admission::reservation::Response;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;

/// Maximum number of steps kept for one query; of a wide sweep with more steps, the first ones and
/// the answer are kept.
const MAX_STEPS_PER_QUERY: usize = 96;

/// One step in the processing of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The caller's request arrived.
    Arrived {
        /// Attempt number of the request.
        attempt: u32,
        /// Fingerprint of the request's content and user.
        fingerprint: Fingerprint,
    },
    /// The route of a forwarded message was found.
    Routed {
        /// Name of the route.
        route: Arc<str>,
        /// Time from arrival within which the message has to be answered.
        deadline: Duration,
        /// Time from arrival within which an answer has its full value; zero if the route has no
        /// target time.
        target: Duration,
        /// Number of servers of one service that the message may be sent to.
        attempts: u32,
        /// Whether the message may run more than once.
        idempotent: bool,
    },
    /// An index version was pinned.
    Pinned {
        /// Number of the pinned index version.
        version: u64,
        /// Number of portions of the query, one per service.
        portions: u32,
        /// Number of requested shards that are unavailable in the pinned version.
        missing: u32,
    },
    /// Portions were sent to an owner.
    Sent {
        /// Name of the owner's instance.
        to: Arc<str>,
        /// Number of the work message within the query.
        round: u32,
        /// Number of portions in the work message.
        portions: u32,
        /// Why the portions were sent again or sent a second time in parallel; `None` for the
        /// first sending.
        again: Option<Reason>,
        /// Number of portions that may run on other servers than at their previous sending.
        reselected: u32,
    },
    /// A valid reply to a portion arrived from an instance.
    Replied {
        /// Name of the instance that sent the reply.
        from: Arc<str>,
        /// Name of the portion's service.
        service: Arc<str>,
        /// Verdict of the reply: whether the portion ran.
        verdict: Verdict,
        /// Reason of the reply; unspecified if the reply covers the portion.
        reason: Reason,
    },
    /// The query no longer relies on its portions at an owner.
    OwnerLost {
        /// Name of the owner's instance.
        owner: Arc<str>,
        /// Number of portions that are no longer relied on.
        portions: u32,
    },
    /// The sweep is not admitted, and the holder of its reservations was asked whether one is due.
    ReservationRequested {
        /// Name of the holder, which may be this instance.
        holder: Arc<str>,
    },
    /// The holder of the sweep's reservations replied.
    ReservationAnswered {
        /// Whether the sweep is admitted after all, or when to retry.
        response: Response,
    },
    /// The request was refused before any part of it was sent.
    Refused {
        /// Message that names the field or version because of which the request was refused.
        detail: Arc<str>,
    },
    /// Refused portions wait before they are sent again.
    Waiting {
        /// Number of waiting portions.
        portions: u32,
        /// Time until the first of them are sent again.
        pause: Duration,
        /// Why one of them was refused.
        reason: Reason,
    },
    /// The query can only be refused, and its owners are asked whether the open portions ran.
    Withdrawn {
        /// Number of portions that are still open.
        portions: u32,
    },
    /// The caller closed its connection.
    CallerLeft,
    /// The caller was answered.
    Answered {
        /// Verdict of the answer: whether the request ran.
        verdict: Verdict,
        /// Reason of the answer if the request was refused; unspecified otherwise.
        reason: Reason,
        /// Number of shards that the answer covers.
        covered: u32,
        /// Number of shards that are missing from the answer.
        missing: u32,
    },
}

/// A step of a query with the time at which it happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedStep {
    /// Time at which the step happened.
    pub at: Instant,
    /// The step of the query.
    pub step: Step,
}

/// Steps of one query in order, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Request key of the query.
    pub key: String,
    /// First number of the query in messages to owners; a restart of the query on another index
    /// version assigns a new number, which is not recorded here.
    pub query: u64,
    /// Steps of the query, oldest first.
    pub steps: Vec<TimedStep>,
    /// Number of steps that were left out because the query has too many.
    pub omitted: u32,
}

impl Explanation {
    /// Returns whether all shards were covered at the first attempt and within the target time.
    pub fn is_plain(&self) -> bool {
        let first = self.steps.first().map(|timed_step| timed_step.at).unwrap_or_default();
        let mut target = Duration::ZERO;
        self.steps.iter().all(|timed_step| match &timed_step.step {
            Step::Routed { target: route_target, .. } => {
                target = *route_target;
                true
            }
            Step::Sent { again, .. } => again.is_none(),
            Step::OwnerLost { .. }
            | Step::Refused { .. }
            | Step::Waiting { .. }
            | Step::Withdrawn { .. }
            | Step::CallerLeft => false,
            Step::Answered { reason, missing, .. } => {
                let is_late = !target.is_zero() && timed_step.at.since(first) > target;
                *reason == Reason::Unspecified && *missing == 0 && !is_late
            }
            Step::Arrived { .. }
            | Step::Pinned { .. }
            | Step::Replied { .. }
            | Step::ReservationRequested { .. }
            | Step::ReservationAnswered { .. } => true,
        })
    }
}

/// Ring buffer with the histories of the most recent queries.
#[derive(Debug)]
pub(crate) struct History {
    ring: VecDeque<Explanation>,
    /// Maximum number of histories in the ring.
    ///
    /// Invariant: `ring.len() <= capacity`.
    capacity: usize,
    /// Identifier of the oldest history in the ring buffer.
    oldest: u64,
}

impl History {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { ring: VecDeque::with_capacity(capacity), capacity, oldest: 0 }
    }

    /// Starts the history of a query and returns the identifier of the history.
    pub(crate) fn begin(&mut self, key: &str, query: u64) -> u64 {
        if self.ring.len() >= self.capacity {
            self.ring.pop_front();
            self.oldest += 1;
        }
        if self.capacity > 0 {
            self.ring.push_back(Explanation {
                key: key.to_owned(),
                query,
                steps: Vec::new(),
                omitted: 0,
            });
        }
        self.oldest + self.ring.len() as u64 - u64::from(self.capacity > 0)
    }

    /// Adds a step to a history; does nothing if the history has left the ring.
    pub(crate) fn add(&mut self, id: u64, at: Instant, step: Step) {
        let Some(offset) = id.checked_sub(self.oldest) else {
            return;
        };
        let Some(explanation) = self.ring.get_mut(offset as usize) else {
            return;
        };
        let is_last = matches!(step, Step::Answered { .. });
        if explanation.steps.len() >= MAX_STEPS_PER_QUERY && !is_last {
            explanation.omitted += 1;
            return;
        }
        explanation.steps.push(TimedStep { at, step });
    }

    /// Returns the history with this identifier if it has not left the ring buffer.
    pub(crate) fn get(&self, id: u64) -> Option<&Explanation> {
        self.ring.get(id.checked_sub(self.oldest)? as usize)
    }

    /// Returns the history of the most recent query with this request key.
    pub(crate) fn find(&self, key: &str) -> Option<&Explanation> {
        self.ring.iter().rev().find(|explanation| explanation.key == key)
    }
}
