//! Which queries a service takes on while more arrives than its servers can do.

use std::time::Duration;

use super::queue::{CLASSES, Class};
use crate::time::Instant;

/// Time in which an arrival or a dispatch loses all but 37% of its weight.
///
/// The longer, the closer the services agree: call times vary, and with them what a service can do
/// within a second.
const MEMORY: Duration = Duration::from_secs(8);
/// Dispatches assumed at the start. The first portions of a class have not been dispatched when
/// the next ones arrive; this must not look like overload.
const ASSUMED: f64 = 50.0;
/// Part of its time that a portion may wait before anything is refused: a burst is no overload.
const SHORT: f64 = 0.15;
/// Part of its time that a portion may wait, in overload, before less is taken on than is
/// dispatched.
const WAIT: f64 = 0.25;
/// Added to [`WAIT`] when all that arrives is dispatched in the end. At a load of about one the
/// queue grows and shrinks by itself; what it refuses on its way could have been done in time.
const MORE_WAIT: f64 = 0.25;
/// Dispatched part of the arrivals at which nothing is added to [`WAIT`].
const OVERLOAD: f64 = 0.75;
/// How much the share changes from no wait to the wait allowed, and as much beyond it.
const GAIN: f64 = 0.25;
/// Some work is always taken, so that the end of the overload shows.
const LEAST: f64 = 0.05;

/// Portions of one urgency class that arrived and that were dispatched of late, as decaying counts.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    offered: f64,
    dispatched: f64,
    /// Time to which both counts have decayed.
    at: Instant,
}

impl Flow {
    fn decay(&mut self, now: Instant) {
        let elapsed = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        let left = (-elapsed).exp();
        self.offered *= left;
        self.dispatched *= left;
        self.at = now;
    }

    /// Part of the arrivals that was dispatched.
    fn done(&self) -> f64 {
        let done = (self.dispatched + ASSUMED) / (self.offered + ASSUMED);
        done.min(1.0)
    }
}

/// Share of the queries that is taken on, by urgency class.
///
/// A sweep needs all its services. If each service refused at random what it cannot do, at 1.3
/// times the capacity of 20 services hardly any sweep would be complete, and the work on the others
/// would be wasted. Each query therefore has a number between zero and one that is the same at all
/// services, and every service refuses the queries with the highest numbers. The share is what a
/// service was seen to dispatch of its arrivals over some seconds, and a little more or less as
/// its queue is short or long: a share that followed the queue alone would swing, at each service
/// at another time, and the services would not refuse the same queries.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission {
    flows: [Flow; CLASSES],
}

impl Admission {
    /// A portion arrives, whatever becomes of it.
    pub(super) fn offered(&mut self, now: Instant, class: Class) {
        let flow = &mut self.flows[class.place()];
        flow.decay(now);
        flow.offered += 1.0;
    }

    /// A portion is sent to a server for the first time.
    pub(super) fn dispatched(&mut self, now: Instant, class: Class) {
        let flow = &mut self.flows[class.place()];
        flow.decay(now);
        flow.dispatched += 1.0;
    }

    /// Whether a query with this number between zero and one is taken on, when a portion of its
    /// class waits for `wait` of the time `budget` that it has.
    pub(super) fn admits(
        &self,
        class: Class,
        number: f64,
        wait: Duration,
        budget: Duration,
    ) -> bool {
        let done = self.flows[class.place()].done();
        let near = ((done - OVERLOAD) / (1.0 - OVERLOAD)).max(0.0);
        let limit = budget.mul_f64(WAIT + MORE_WAIT * near);
        let spare = 1.0 - wait.as_secs_f64() / limit.as_secs_f64().max(1e-6);
        wait < budget.mul_f64(SHORT) || number <= (done + GAIN * spare).max(LEAST)
    }
}

/// The number of a query, the same at all services.
pub(super) fn number(incarnation: u64, query: u64) -> f64 {
    let mixed = super::random::mix(incarnation.rotate_left(32) ^ query);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}
