//! Timers of the gathering machine.

use std::collections::BTreeSet;

use super::peers::PeerKey;
use super::query::QueryKey;
use super::reservations::PendingKey;
use crate::time::Instant;

/// The query, peer or pending sweep for which a timer was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Timer of a query: check whether the query has to be answered.
    Query(QueryKey),
    /// Timer of a query's refused portions: send them again. It is not removed when the query ends.
    Resend(QueryKey),
    /// Timer of a peer: check whether the peer has exceeded its silence limit.
    Peer(PeerKey),
    /// Timer of a sweep that waits for the holder of its reservations: check whether the holder has
    /// replied.
    Reservation(PendingKey),
}

/// Timers in the order of their due times.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    set: BTreeSet<(Instant, Timer)>,
}

impl Timers {
    /// Sets a timer that is due at `at`.
    pub(crate) fn add(&mut self, at: Instant, timer: Timer) {
        self.set.insert((at, timer));
    }

    /// Removes a timer that [`Timers::add`] set.
    pub(crate) fn remove(&mut self, at: Instant, timer: Timer) {
        self.set.remove(&(at, timer));
    }

    /// Returns the due time of the earliest timer.
    pub(crate) fn next(&self) -> Option<Instant> {
        self.set.first().map(|&(at, _)| at)
    }

    /// Removes and returns the earliest timer if it is due.
    pub(crate) fn due(&mut self, now: Instant) -> Option<(Instant, Timer)> {
        let &(at, timer) = self.set.first()?;
        if at > now {
            return None;
        }
        self.set.remove(&(at, timer));
        Some((at, timer))
    }
}
