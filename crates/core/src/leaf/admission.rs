//! Which queries a service takes on while more arrives than its servers can do.

use std::time::Duration;

use super::queue::{CLASSES, Class};
use crate::time::Instant;

/// Between two adjustments.
const STEP: Duration = Duration::from_millis(50);
/// Part of the share given up while the queue is as long as it may be; more while it is longer, up
/// to [`MUCH`] times.
const LESS: f64 = 0.015;
const MUCH: f64 = 6.0;
/// Added to the share while the queue is short, and while it is empty.
const MORE: f64 = 0.005;
const MUCH_MORE: f64 = 0.05;
/// Some work is always taken, so that the end of the overload shows.
const LEAST: f64 = 0.05;

/// Share of the queries that is taken on, by urgency class.
///
/// A sweep needs all its services. If each service refused at random what it cannot do, at 1.3
/// times the capacity of 20 services hardly any sweep would be complete, and the work on the others
/// would be wasted. Each query therefore has a number between zero and one that is the same at all
/// services, and every service refuses the queries with the highest numbers.
#[derive(Clone, Debug)]
pub(super) struct Admission {
    /// Invariant: between [`LEAST`] and one.
    shares: [f64; CLASSES],
    adjusted: [Instant; CLASSES],
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            shares: [1.0; CLASSES],
            adjusted: [Instant::default(); CLASSES],
        }
    }
}

impl Admission {
    /// Takes in how long work of this class waits, and how long it should wait at most.
    pub(super) fn adjust(&mut self, now: Instant, class: Class, wait: Duration, limit: Duration) {
        let place = class.place();
        if now.since(self.adjusted[place]) < STEP {
            return;
        }
        self.adjusted[place] = now;
        let share = &mut self.shares[place];
        if wait > limit {
            let excess = wait.as_secs_f64() / limit.as_secs_f64().max(1e-6);
            *share *= 1.0 - LESS * excess.min(MUCH);
        } else if wait.is_zero() {
            *share += MUCH_MORE;
        } else if wait < limit / 2 {
            *share += MORE;
        }
        *share = share.clamp(LEAST, 1.0);
    }

    /// Whether a query with this number between zero and one is taken on.
    pub(super) fn admits(&self, class: Class, number: f64) -> bool {
        number <= self.shares[class.place()]
    }
}

/// The number of a query, the same at all services.
pub(super) fn number(incarnation: u64, query: u64) -> f64 {
    let mixed = super::random::mix(incarnation.rotate_left(32) ^ query);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}
