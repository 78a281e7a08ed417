//! Admission control: decides which queries a service accepts while more work arrives than its
//! servers can process.

use std::time::Duration;

use super::queue::{CLASSES, Class};
use crate::time::Instant;

/// Time constant of the decaying counts: after this time, an arrival or a dispatch keeps 37% of its
/// weight.
///
/// A longer time makes the services agree more closely: call times vary, and with them the number
/// of calls that a service can process within a second.
const DECAY_TIME: Duration = Duration::from_secs(8);
/// Number of dispatches assumed initially. The first portions of a class are not dispatched yet
/// when the next ones arrive, and this must not look like overload.
const INITIAL_DISPATCHES: f64 = 50.0;
/// Fraction of its time budget that a portion may wait before any query is refused, because a short
/// burst is no overload.
const BURST_WAIT: f64 = 0.15;
/// Fraction of its time budget that a portion may wait in overload before a service accepts less
/// than it dispatches.
const OVERLOAD_WAIT: f64 = 0.25;
/// Added to [`OVERLOAD_WAIT`] when all arriving portions are eventually dispatched. At a load of
/// about 1, the queue grows and shrinks by itself, and portions refused while it grows could have
/// been answered in time.
const EXTRA_WAIT: f64 = 0.25;
/// Ratio of dispatches to arrivals at and below which nothing is added to [`OVERLOAD_WAIT`].
const OVERLOAD_RATIO: f64 = 0.75;
/// Change of the accepted share of queries between no wait and the allowed wait; beyond the allowed
/// wait, the share falls at the same rate.
const QUEUE_GAIN: f64 = 0.25;
/// Minimum share of queries that is always accepted, so that the end of an overload is detected.
const MIN_ADMITTED_SHARE: f64 = 0.05;

/// Decaying counts of the portions of one urgency class that arrived and that were dispatched.
#[derive(Clone, Copy, Debug, Default)]
struct FlowCounts {
    /// Decaying count of arrived portions.
    offered: f64,
    /// Decaying count of dispatched portions.
    dispatched: f64,
    /// Time up to which both counts have been decayed.
    decayed_until: Instant,
}

impl FlowCounts {
    /// Reduces both counts by the time since their last decay.
    fn decay(&mut self, now: Instant) {
        let time_constants = now.since(self.decayed_until).as_secs_f64() / DECAY_TIME.as_secs_f64();
        let remaining = (-time_constants).exp();
        self.offered *= remaining;
        self.dispatched *= remaining;
        self.decayed_until = now;
    }

    /// Ratio of dispatched to arrived portions, at most 1.
    fn dispatched_ratio(&self) -> f64 {
        let dispatched_ratio =
            (self.dispatched + INITIAL_DISPATCHES) / (self.offered + INITIAL_DISPATCHES);
        dispatched_ratio.min(1.0)
    }
}

/// Admission control of one service: the share of queries that it accepts, by urgency class.
///
/// A sweep needs all of its services. If each service refused random queries in overload, then at
/// 1.3 times the capacity of 20 services hardly any sweep would be complete, and the work of the
/// other services would be wasted. Each query therefore has a fraction between 0 and 1 that is the
/// same at all services, and every service refuses the queries with the highest fractions.
///
/// The accepted share is the ratio of dispatches to arrivals over some seconds, adjusted slightly
/// by the length of the queue. A share that followed the queue alone would oscillate at a different
/// phase in each service, and the services would not refuse the same queries.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission {
    flows: [FlowCounts; CLASSES],
}

impl Admission {
    /// Counts an arriving portion, whether or not it is accepted.
    pub(super) fn record_arrival(&mut self, now: Instant, class: Class) {
        let flow = &mut self.flows[class.index()];
        flow.decay(now);
        flow.offered += 1.0;
    }

    /// Counts a portion that is sent to a server for the first time.
    pub(super) fn record_dispatch(&mut self, now: Instant, class: Class) {
        let flow = &mut self.flows[class.index()];
        flow.decay(now);
        flow.dispatched += 1.0;
    }

    /// Whether a query with this fraction is accepted, when a portion of its class waits for `wait`
    /// of its time `budget`.
    pub(super) fn admits(
        &self,
        class: Class,
        fraction: f64,
        wait: Duration,
        budget: Duration,
    ) -> bool {
        let dispatched_ratio = self.flows[class.index()].dispatched_ratio();
        let headroom = ((dispatched_ratio - OVERLOAD_RATIO) / (1.0 - OVERLOAD_RATIO)).max(0.0);
        let limit = budget.mul_f64(OVERLOAD_WAIT + EXTRA_WAIT * headroom);
        let spare_wait = 1.0 - wait.as_secs_f64() / limit.as_secs_f64().max(1e-6);
        wait < budget.mul_f64(BURST_WAIT)
            || fraction <= (dispatched_ratio + QUEUE_GAIN * spare_wait).max(MIN_ADMITTED_SHARE)
    }
}

/// Fraction of a query between 0 and 1, derived from its number and the incarnation of its entry
/// instance, so that it is the same at all services.
pub(super) fn query_fraction(incarnation: u64, query: u64) -> f64 {
    let hash = super::random::mix(incarnation.rotate_left(32) ^ query);
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
