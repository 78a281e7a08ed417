//! Points in time at which the machine has something to do.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::collect::CollectionKey;
use super::event::AttemptKey;
use super::portion::PortionKey;
use super::service::ServiceId;
use crate::time::Instant;

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A portion must be replied to.
    Deadline(PortionKey),
    /// A portion that still waits cannot be done any more.
    Late(PortionKey),
    /// A portion's first call has taken longer than the service's usual calls.
    Hedge(PortionKey),
    /// A back-off of one of the service's servers ends.
    Pump(ServiceId),
    /// Periodic work on a service: load reports, idle connections, old records.
    Upkeep(ServiceId),
    /// A call that nobody waits for is given up.
    Abandon(AttemptKey),
    /// What a collection has must go back.
    Collection(CollectionKey),
}

/// Timers in order of time. Timers of closed portions stay until they reach the top.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Instant, u64, Timer)>>,
    /// Grows with every timer, so that equal times keep their order of insertion.
    sequence: u64,
}

impl Timers {
    pub(super) fn push(&mut self, at: Instant, timer: Timer) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, timer)));
    }

    pub(super) fn peek(&self) -> Option<(Instant, Timer)> {
        self.heap.peek().map(|Reverse((at, _, timer))| (*at, *timer))
    }

    pub(super) fn pop(&mut self) {
        self.heap.pop();
    }
}
