//! Timers of the leaf machine.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::aggregate::AggregationKey;
use super::event::AttemptKey;
use super::portion::PortionKey;
use super::service::ServiceId;
use crate::time::Instant;

/// Work that a timer triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The portion must get a reply now.
    Deadline(PortionKey),
    /// The portion is still queued and can no longer be finished before its deadline.
    Late(PortionKey),
    /// The portion's first call has taken longer than the service's usual calls and may be hedged.
    Hedge(PortionKey),
    /// The back-off of one of the service's servers ends.
    Dispatch(ServiceId),
    /// Periodic maintenance of a service: load reports, idle connections, old records.
    Maintenance(ServiceId),
    /// The connection of an abandoned call is to be closed.
    Abandon(AttemptKey),
    /// A crash must be reported now.
    CrashReport,
    /// The replies gathered by a partial aggregation must be sent to the entry.
    Aggregation(AggregationKey),
}

/// Timers in order of time. Timers of closed portions remain in the heap until they reach the top.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Instant, u64, Timer)>>,
    /// Number of timers added so far; orders equal times by insertion.
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
