//! Recent call times of a service: mean and quantiles.

use std::time::Duration;

use crate::time::micros;

/// Buckets per doubling of the call time.
const PER_OCTAVE: u32 = 8;
/// Covers up to about 67 seconds.
const BUCKETS: usize = 26 * PER_OCTAVE as usize;
/// Samples after which all buckets are halved, so that old samples fade.
const WINDOW: u32 = 2048;
/// Weight of one sample in the mean.
const WEIGHT: f64 = 0.02;

/// Histogram of recent call times with logarithmic buckets.
#[derive(Clone, Debug)]
pub(super) struct Estimate {
    buckets: Vec<u32>,
    /// Invariant: the sum of `buckets`.
    total: u32,
    /// Samples ever seen.
    samples: u64,
    mean_us: f64,
}

impl Default for Estimate {
    fn default() -> Self {
        Self { buckets: vec![0; BUCKETS], total: 0, samples: 0, mean_us: 0.0 }
    }
}

impl Estimate {
    /// Takes a call time in.
    pub(super) fn add(&mut self, span: Duration) {
        let us = micros(span).max(1);
        self.buckets[bucket(us)] += 1;
        self.total += 1;
        self.samples += 1;
        let weight = WEIGHT.max(1.0 / self.samples as f64);
        self.mean_us += weight * (us as f64 - self.mean_us);
        if self.total >= WINDOW {
            self.halve();
        }
    }

    /// Samples ever seen.
    pub(super) fn samples(&self) -> u64 {
        self.samples
    }

    /// Mean of the recent call times, `None` before the first.
    pub(super) fn mean(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_micros(self.mean_us as u64))
    }

    /// The call time that a share `quantile` of recent calls does not exceed.
    pub(super) fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total == 0 {
            return None;
        }
        let rank = (quantile * f64::from(self.total)).ceil().max(1.0) as u32;
        let mut seen = 0;
        let index = self.buckets.iter().position(|count| {
            seen += count;
            seen >= rank
        });
        index.map(|index| Duration::from_micros(upper_bound(index)))
    }

    fn halve(&mut self) {
        for count in &mut self.buckets {
            *count /= 2;
        }
        self.total = self.buckets.iter().sum();
    }
}

fn bucket(us: u64) -> usize {
    let index = ((us as f64).log2() * f64::from(PER_OCTAVE)) as usize;
    index.min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> u64 {
    ((index + 1) as f64 / f64::from(PER_OCTAVE)).exp2() as u64
}
