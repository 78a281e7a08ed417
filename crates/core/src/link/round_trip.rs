//! Estimate of the time that a peer takes to confirm a frame.

use std::time::Duration;

/// Bounds of the time after which a frame counts as overdue, without the delay that its receiver may
/// add. The shortest covers the pauses of a process whose processor time is limited.
const BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
/// Bound before a round trip has been measured.
const INITIAL_BOUND: Duration = Duration::from_millis(200);

/// Moving averages of a round-trip time and its deviation, as in RFC 6298.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoundTrip {
    /// Mean and mean deviation; `None` until a round trip has been measured.
    averages: Option<(Duration, Duration)>,
}

impl RoundTrip {
    /// Adds a measured round trip.
    pub(super) fn add(&mut self, sample: Duration) {
        self.averages = Some(match self.averages {
            None => (sample, sample / 2),
            Some((mean, deviation)) => {
                ((mean * 7 + sample) / 8, (deviation * 3 + mean.abs_diff(sample)) / 4)
            }
        });
    }

    /// Time after which a frame counts as overdue that its receiver confirms at once.
    pub(super) fn bound(&self) -> Duration {
        self.averages.map_or(INITIAL_BOUND, |(mean, deviation)| {
            (mean + deviation * 4).clamp(BOUNDS.0, BOUNDS.1)
        })
    }
}
