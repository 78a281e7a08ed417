//! What the machine did with its last queries, for operators.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};

use crate::fingerprint::Fingerprint;
use crate::time::Instant;

/// Steps kept of one query; a wide sweep has more and keeps its first ones and its answer.
const STEPS: usize = 96;

/// One thing that happened to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The caller's request arrived.
    Arrived {
        /// Its attempt number.
        attempt: u32,
        /// What is asked and by whom.
        fingerprint: Fingerprint,
    },
    /// The route of a forwarded message was found.
    Routed {
        /// Its name.
        route: Arc<str>,
        /// Time that the message has.
        deadline: Duration,
        /// Time within which its answer is worth its full price; zero: none.
        target: Duration,
    },
    /// An index version was pinned.
    Pinned {
        /// The version.
        version: u64,
        /// Number of portions, one per service.
        portions: u32,
        /// Asked shards that cannot be had in it.
        missing: u32,
    },
    /// Portions were sent to an owner.
    Sent {
        /// Name of the owner's instance.
        to: Arc<str>,
        /// Number of the sending in the query.
        round: u32,
        /// Number of portions.
        portions: u32,
        /// Why they were sent again or twice; `None` for the first sending.
        again: Option<Reason>,
    },
    /// A valid reply came.
    Replied {
        /// Name of the instance that sent it.
        from: Arc<str>,
        /// Service of the portion.
        service: Arc<str>,
        /// Its verdict.
        verdict: Verdict,
        /// Its reason; unspecified when the portion is covered.
        reason: Reason,
    },
    /// Portions at an owner are no longer relied on.
    Lost {
        /// Name of the owner's instance.
        owner: Arc<str>,
        /// Number of portions.
        portions: u32,
    },
    /// The request was refused whole.
    Refused {
        /// Names the field or the version that it was refused by.
        detail: Arc<str>,
    },
    /// The query can only be refused; its owners are asked what became of the rest.
    Withdrawn {
        /// Number of portions still out.
        portions: u32,
    },
    /// The caller closed its connection.
    Gone,
    /// The caller was answered.
    Answered {
        /// The verdict.
        verdict: Verdict,
        /// The reason of a refusal.
        reason: Reason,
        /// Shards covered.
        covered: u32,
        /// Shards missing.
        missing: u32,
    },
}

/// A step with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// When it happened.
    pub at: Instant,
    /// What happened.
    pub step: Step,
}

/// The account of one query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// The request key.
    pub key: String,
    /// The query number, as in the messages to owners, of its first snapshot.
    pub query: u64,
    /// The steps in order.
    pub steps: Vec<Stamp>,
    /// Steps left out because the query has too many.
    pub omitted: u32,
}

impl Explanation {
    /// All shards were covered at the first attempt and within the target time.
    pub fn is_plain(&self) -> bool {
        let first = self.steps.first().map(|stamp| stamp.at).unwrap_or_default();
        let mut target = Duration::ZERO;
        self.steps.iter().all(|stamp| match &stamp.step {
            Step::Routed { target: of_route, .. } => {
                target = *of_route;
                true
            }
            Step::Sent { again, .. } => again.is_none(),
            Step::Lost { .. } | Step::Refused { .. } | Step::Withdrawn { .. } | Step::Gone => false,
            Step::Answered { reason, missing, .. } => {
                let late = !target.is_zero() && stamp.at.since(first) > target;
                *reason == Reason::Unspecified && *missing == 0 && !late
            }
            Step::Arrived { .. } | Step::Pinned { .. } | Step::Replied { .. } => true,
        })
    }
}

/// A ring of the accounts of the last queries.
#[derive(Debug)]
pub(crate) struct History {
    ring: VecDeque<Explanation>,
    /// Invariant: `ring.len() <= capacity`.
    capacity: usize,
    /// Number of the oldest account in the ring.
    oldest: u64,
}

impl History {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { ring: VecDeque::with_capacity(capacity), capacity, oldest: 0 }
    }

    /// Starts an account and returns its number.
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

    /// Adds a step to an account that may have left the ring.
    pub(crate) fn add(&mut self, account: u64, at: Instant, step: Step) {
        let Some(place) = account.checked_sub(self.oldest) else {
            return;
        };
        let Some(account) = self.ring.get_mut(place as usize) else {
            return;
        };
        let last = matches!(step, Step::Answered { .. });
        if account.steps.len() >= STEPS && !last {
            account.omitted += 1;
            return;
        }
        account.steps.push(Stamp { at, step });
    }

    /// An account that has not left the ring.
    pub(crate) fn get(&self, account: u64) -> Option<&Explanation> {
        self.ring.get(account.checked_sub(self.oldest)? as usize)
    }

    /// The account of the last query with this key.
    pub(crate) fn find(&self, key: &str) -> Option<&Explanation> {
        self.ring.iter().rev().find(|account| account.key == key)
    }
}
