//! Service times of a stand-in server: exponentially distributed, with stragglers, and corrected
//! for late timers so that the mean is exact.

use std::time::Duration;

use ladder_schema::standin::Target;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Maximum lateness of sleeps that later sleeps compensate. The limit prevents a burst of requests
/// without service time after the machine has stalled.
const MAX_LATENESS: Duration = Duration::from_millis(5);

/// Generator of one server's random service times.
///
/// Timers fire up to 2 ms late. Uncorrected, the lateness would lower the capacity of a server with
/// short service times. The lateness of each sleep is therefore subtracted from the following
/// sleeps, so that the mean service time equals the setting.
#[derive(Debug)]
pub(super) struct ServiceTimes {
    random: StdRng,
    mean_us: f64,
    straggler_probability: f64,
    straggler_factor: f64,
    /// Lateness of earlier sleeps that has not been compensated yet.
    ///
    /// Invariant: at most [`MAX_LATENESS`].
    uncompensated: Duration,
}

impl ServiceTimes {
    pub(super) fn new(settings: &Target, seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            mean_us: settings.service_us.into(),
            straggler_probability: f64::from(settings.straggler_permille) / 1000.0,
            straggler_factor: settings.straggler_factor.max(1).into(),
            uncompensated: Duration::ZERO,
        }
    }

    /// Generates the next service time, multiplied by `factor`.
    pub(super) fn sample(&mut self, factor: f64) -> Duration {
        let uniform: f64 = self.random.random();
        let mut time_us = -(1.0 - uniform).ln() * self.mean_us * factor;
        if self.random.random::<f64>() < self.straggler_probability {
            time_us *= self.straggler_factor;
        }
        Duration::from_secs_f64(time_us / 1e6)
    }

    /// Returns the duration to sleep for a service time, reduced by uncompensated lateness.
    pub(super) fn compensate(&mut self, time: Duration) -> Duration {
        let compensated = self.uncompensated.min(time);
        self.uncompensated -= compensated;
        time - compensated
    }

    /// Records that a sleep took longer than requested by `lateness`.
    pub(super) fn record_lateness(&mut self, lateness: Duration) {
        self.uncompensated = (self.uncompensated + lateness).min(MAX_LATENESS);
    }
}
