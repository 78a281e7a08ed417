//! Statistics of a service's recent call times: mean and quantiles.

use std::time::Duration;

use crate::time::micros;

/// Number of histogram buckets per doubling of the call time.
const BUCKETS_PER_DOUBLING: u32 = 8;
/// Number of histogram buckets; they cover call times up to about 67 seconds.
const BUCKETS: usize = 26 * BUCKETS_PER_DOUBLING as usize;
/// Number of samples after which all bucket counts are halved, so that old samples lose weight.
const MAX_TOTAL: u32 = 2048;
/// Minimum weight of one sample in the moving average of call times.
const MEAN_WEIGHT: f64 = 0.02;

/// Histogram of recent call times with logarithmic buckets.
#[derive(Clone, Debug)]
pub(super) struct Estimate {
    buckets: Vec<u32>,
    /// Number of samples in the histogram, halvings included. Invariant: the sum of `buckets`.
    total: u32,
    /// Number of samples added since the start, halvings ignored.
    samples: u64,
    mean_us: f64,
}

impl Default for Estimate {
    fn default() -> Self {
        Self { buckets: vec![0; BUCKETS], total: 0, samples: 0, mean_us: 0.0 }
    }
}

impl Estimate {
    /// Adds a call time.
    pub(super) fn add(&mut self, span: Duration) {
        let us = micros(span).max(1);
        self.buckets[bucket_index(us)] += 1;
        self.total += 1;
        self.samples += 1;
        let weight = MEAN_WEIGHT.max(1.0 / self.samples as f64);
        self.mean_us += weight * (us as f64 - self.mean_us);
        if self.total >= MAX_TOTAL {
            self.halve_counts();
        }
    }

    /// Number of samples added since the start, halvings ignored.
    pub(super) fn samples(&self) -> u64 {
        self.samples
    }

    /// Mean of the recent call times, `None` before the first sample.
    pub(super) fn mean(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_micros(self.mean_us as u64))
    }

    /// Upper bound of the call times of the fastest `quantile` (0 to 1) of recent calls; `None`
    /// without samples.
    pub(super) fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total == 0 {
            return None;
        }
        let rank = (quantile * f64::from(self.total)).ceil().max(1.0) as u32;
        let mut cumulative = 0;
        let index = self.buckets.iter().position(|count| {
            cumulative += count;
            cumulative >= rank
        });
        index.map(|index| Duration::from_micros(upper_bound_us(index)))
    }

    fn halve_counts(&mut self) {
        for count in &mut self.buckets {
            *count /= 2;
        }
        self.total = self.buckets.iter().sum();
    }
}

fn bucket_index(us: u64) -> usize {
    let index = ((us as f64).log2() * f64::from(BUCKETS_PER_DOUBLING)) as usize;
    index.min(BUCKETS - 1)
}

fn upper_bound_us(index: usize) -> u64 {
    ((index + 1) as f64 / f64::from(BUCKETS_PER_DOUBLING)).exp2() as u64
}
