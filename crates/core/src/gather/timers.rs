//! The times at which the machine wants to be woken.

use std::collections::BTreeSet;

use super::peers::PeerKey;
use super::query::QueryKey;
use crate::time::Instant;

/// Whose time comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A query wants to answer.
    Query(QueryKey),
    /// A peer has been silent for too long.
    Peer(PeerKey),
}

/// An ordered set of timers.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    set: BTreeSet<(Instant, Timer)>,
}

impl Timers {
    /// Asks to be woken.
    pub(crate) fn add(&mut self, at: Instant, timer: Timer) {
        self.set.insert((at, timer));
    }

    /// Withdraws what [`Timers::add`] asked for.
    pub(crate) fn remove(&mut self, at: Instant, timer: Timer) {
        self.set.remove(&(at, timer));
    }

    /// The earliest time asked for.
    pub(crate) fn next(&self) -> Option<Instant> {
        self.set.first().map(|&(at, _)| at)
    }

    /// Takes the earliest timer that is due.
    pub(crate) fn due(&mut self, now: Instant) -> Option<(Instant, Timer)> {
        let &(at, timer) = self.set.first()?;
        if at > now {
            return None;
        }
        self.set.remove(&(at, timer));
        Some((at, timer))
    }
}
