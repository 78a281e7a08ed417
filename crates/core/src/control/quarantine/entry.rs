//! What an instance knows of a request that may crash servers.

use std::cmp::Ordering;
use std::time::Duration;

use ladder_schema::wire;

use super::{
    ANSWER_IMMUNITY, Incarnation, MAX_INCARNATIONS_PER_ENTRY, RETENTION, sort_dedup_truncate,
};
use crate::fingerprint::Fingerprint;
use crate::time::Instant;

/// Whether a request is quarantined or cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// The request is quarantined: every instance refuses it.
    Quarantined,
    /// The request was answered by a server or released by an operator, and is no longer refused.
    Cleared,
}

impl From<Standing> for wire::Standing {
    fn from(standing: Standing) -> Self {
        match standing {
            Standing::Quarantined => Self::Quarantined,
            Standing::Cleared => Self::Cleared,
        }
    }
}

/// Reason for a change of a quarantine entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Enough servers crashed under the request.
    Ends,
    /// A server crashed under a trial of the request.
    Trial,
    /// A server answered the request.
    Answer,
    /// Servers returned more errors for the request than connections were lost.
    Errors,
    /// A server that the request was reported to have crashed is still running.
    Refutation,
    /// An operator released the request.
    Operator,
    /// A peer reported the standing of the request.
    Peer,
}

impl Cause {
    /// Time for which crashes do not count against a request that was cleared for this cause.
    pub(super) const fn immunity(self) -> Duration {
        match self {
            Self::Answer => ANSWER_IMMUNITY,
            Self::Operator => RETENTION,
            Self::Ends | Self::Trial | Self::Errors | Self::Refutation | Self::Peer => {
                Duration::ZERO
            }
        }
    }
}

/// The standing of a request, and the crashes that it is based on.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Whether the request is quarantined or cleared.
    pub standing: Standing,
    /// Number of times that the request was quarantined, or 1 if it never was. The entry with the
    /// higher term is newer, and of two with the same term the cleared one.
    pub term: u32,
    /// Until when crashes do not count against the request, because it was answered or released;
    /// `None` if it never was.
    ///
    /// Invariant: if the request is quarantined, for a crash after this time.
    pub immune_until: Option<Instant>,
    /// Incarnations that the request crashed.
    ///
    /// Invariant: sorted, without duplicates, and the crash of no incarnation in it is refuted.
    pub incarnations: Vec<Incarnation>,
    /// When the request was last sent by a caller or cleared.
    pub seen: Instant,
    /// Time of the last crash that the quarantine is based on.
    pub crashed_at: Instant,
    /// Number of trials in a row under which a server crashed.
    pub failed_trials: u32,
}

impl Entry {
    pub(super) const fn cleared(now: Instant, term: u32, immune_until: Option<Instant>) -> Self {
        Self {
            standing: Standing::Cleared,
            term,
            immune_until,
            incarnations: Vec::new(),
            seen: now,
            crashed_at: now,
            failed_trials: 0,
        }
    }

    /// Orders the entries of one request from the oldest to the newest.
    pub(super) const fn version(&self) -> (u32, Standing) {
        (self.term, self.standing)
    }

    /// Whether a crash at this time does not count against the request, because it was cleared since.
    pub(super) fn clears(&self, crashed_at: Instant) -> bool {
        self.standing == Standing::Cleared
            && (crashed_at <= self.seen || self.is_immune_to(crashed_at))
    }

    fn is_immune_to(&self, crashed_at: Instant) -> bool {
        self.immune_until.is_some_and(|until| crashed_at <= until)
    }

    /// Merges what a peer knows of the same request.
    ///
    /// An immunity stands in every later term: an instance may have imposed the quarantine because it
    /// did not know of the answer.
    pub(super) fn merge(&mut self, received: Self) {
        let seen = self.seen.max(received.seen);
        let immune_until = self.immune_until.max(received.immune_until);
        match received.version().cmp(&self.version()) {
            Ordering::Greater => *self = received,
            Ordering::Equal => {
                self.failed_trials = self.failed_trials.max(received.failed_trials);
                self.incarnations.extend(received.incarnations);
                sort_dedup_truncate(&mut self.incarnations, MAX_INCARNATIONS_PER_ENTRY);
            }
            Ordering::Less => {}
        }
        (self.seen, self.immune_until) = (seen, immune_until);
        if self.standing == Standing::Quarantined && self.is_immune_to(self.crashed_at) {
            *self = Self::cleared(seen, self.term, immune_until);
        }
    }
}

/// A quarantine entry that has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::control) struct Change {
    pub(in crate::control) request: Fingerprint,
    pub(in crate::control) standing: Standing,
    pub(in crate::control) cause: Cause,
    pub(in crate::control) incarnations: Vec<Incarnation>,
}
