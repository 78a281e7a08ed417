//! Service times: exponential with stragglers, exact in the mean.

use std::time::Duration;

use ladder_schema::standin::Target;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Most lateness that later sleeps make up for, so that a stall of the machine is not followed by
/// a burst of requests without service time.
const LATENESS: Duration = Duration::from_millis(5);

/// Draws service times of one server.
///
/// Timers fire up to two milliseconds late, which would lower the capacity of a server with short
/// service times. The lateness of each sleep is taken from the following ones, so that the mean
/// stays what the settings say.
#[derive(Debug)]
pub(super) struct Clock {
    random: StdRng,
    mean_us: f64,
    straggler: f64,
    straggler_factor: f64,
    /// Invariant: at most [`LATENESS`].
    late: Duration,
}

impl Clock {
    pub(super) fn new(settings: &Target, seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            mean_us: settings.service_us.into(),
            straggler: f64::from(settings.straggler_permille) / 1000.0,
            straggler_factor: settings.straggler_factor.max(1).into(),
            late: Duration::ZERO,
        }
    }

    /// The next service time, `factor` times the usual.
    pub(super) fn draw(&mut self, factor: f64) -> Duration {
        let uniform: f64 = self.random.random();
        let mut time_us = -(1.0 - uniform).ln() * self.mean_us * factor;
        if self.random.random::<f64>() < self.straggler {
            time_us *= self.straggler_factor;
        }
        Duration::from_secs_f64(time_us / 1e6)
    }

    /// How long to sleep for a service time.
    pub(super) fn shorten(&mut self, time: Duration) -> Duration {
        let made_up = self.late.min(time);
        self.late -= made_up;
        time - made_up
    }

    /// A sleep took longer than it should have.
    pub(super) fn overslept(&mut self, by: Duration) {
        self.late = (self.late + by).min(LATENESS);
    }
}
