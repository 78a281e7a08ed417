//! Estimate of the time that a peer takes to confirm a frame.

use std::time::Duration;

use crate::average::Delay;

/// Bounds of the time after which a frame counts as overdue, without the delay that its receiver may
/// add. The shortest covers the pauses of a process whose processor time is limited.
const BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
/// Bound before a round trip has been measured.
const INITIAL_BOUND: Duration = Duration::from_millis(200);

/// Measured round trips to a peer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoundTrip {
    delay: Delay,
}

impl RoundTrip {
    /// Adds a measured round trip.
    pub(super) fn add(&mut self, sample: Duration) {
        self.delay.add(sample);
    }

    /// Time after which a frame counts as overdue that its receiver confirms at once.
    pub(super) fn bound(&self) -> Duration {
        self.delay.bound().map_or(INITIAL_BOUND, |bound| bound.clamp(BOUNDS.0, BOUNDS.1))
    }
}
