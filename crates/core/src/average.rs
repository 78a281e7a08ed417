//! Moving averages.

use std::time::Duration;

/// Exponential moving average that starts as the plain mean of the first values.
///
/// With the fixed weight from the start the first values would hardly count: for about twenty
/// answers after each start, busy servers looked idle.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage {
    value: f64,
    /// Number of values added.
    count: u32,
}

impl MovingAverage {
    /// Adds a value; `weight` (above 0, up to 1) is the weight of the newest value in the long run.
    pub(crate) fn add(&mut self, value: f64, weight: f64) {
        self.count = self.count.saturating_add(1);
        let weight = weight.max(1.0 / f64::from(self.count));
        self.value += weight * (value - self.value);
    }

    /// The average; zero before the first value.
    pub(crate) const fn value(self) -> f64 {
        self.value
    }
}

/// Moving averages of a delay and of its deviation, as in RFC 6298.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Delay {
    /// Mean and mean deviation; `None` before the first sample.
    averages: Option<(Duration, Duration)>,
}

impl Delay {
    /// Adds a measured delay.
    pub(crate) fn add(&mut self, sample: Duration) {
        self.averages = Some(match self.averages {
            None => (sample, sample / 2),
            Some((mean, deviation)) => {
                ((mean * 7 + sample) / 8, (deviation * 3 + mean.abs_diff(sample)) / 4)
            }
        });
    }

    /// Returns a bound that few delays exceed; `None` before the first sample.
    ///
    /// The bound is never below the last sample, except by rounding.
    pub(crate) fn bound(&self) -> Option<Duration> {
        self.averages.map(|(mean, deviation)| mean + deviation * 4)
    }
}
