//! A running estimate of a high quantile of a peer's reply times.

use std::time::Duration;

/// Buckets per doubling of the time.
const STEPS: u32 = 4;
/// Lower edge of the second bucket, in microseconds.
const FLOOR_US: f64 = 100.0;
/// Covers up to 100 µs times 2 to the 20th, about 105 s.
const BUCKETS: usize = 80;
/// Samples after which all counts are halved, so that the estimate follows the last few hundred.
const WINDOW: u32 = 1024;
/// Samples before the estimate is believed.
const ENOUGH: u32 = 32;

/// Histogram over buckets that grow by a constant factor, with halving of old counts.
#[derive(Clone, Debug)]
pub(crate) struct Quantile {
    counts: [u32; BUCKETS],
    /// Invariant: the sum of `counts`.
    total: u32,
}

impl Default for Quantile {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl Quantile {
    /// Takes a sample in.
    pub(crate) fn add(&mut self, sample: Duration) {
        let ratio = sample.as_secs_f64() * 1e6 / FLOOR_US;
        let bucket = if ratio <= 1.0 {
            0
        } else {
            // Truncation picks the bucket; the ratio is above 1, so that the logarithm is positive.
            (ratio.log2() * f64::from(STEPS)) as usize + 1
        };
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= WINDOW {
            self.halve();
        }
    }

    /// Upper edge of the bucket that holds the 99th percentile; `None` before enough samples.
    pub(crate) fn p99(&self) -> Option<Duration> {
        if self.total < ENOUGH {
            return None;
        }
        let mut above = self.total / 100;
        for (bucket, &count) in self.counts.iter().enumerate().rev() {
            if count > above {
                return Some(edge(bucket));
            }
            above -= count;
        }
        None
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn edge(bucket: usize) -> Duration {
    let exponent = bucket as f64 / f64::from(STEPS);
    Duration::from_secs_f64(FLOOR_US * exponent.exp2() / 1e6)
}
