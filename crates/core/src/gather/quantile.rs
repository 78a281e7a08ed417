//! Running estimate of the 99th percentile of a peer's reply times.

use std::time::Duration;

/// Number of histogram buckets per doubling of the time.
const BUCKETS_PER_DOUBLING: u32 = 4;
/// Lower edge of the second bucket, in microseconds.
const SECOND_BUCKET_US: f64 = 100.0;
/// Number of histogram buckets, which covers up to 100 µs times 2 to the 20th, about 105 s.
const BUCKET_COUNT: usize = 80;
/// Number of samples after which all counts are halved, so that the estimate follows the last few
/// hundred samples.
const HALVING_SAMPLES: u32 = 1024;
/// Minimum number of samples before the 99th percentile is estimated.
const MIN_SAMPLES: u32 = 32;

/// Histogram of reply times with exponentially growing buckets, in which old counts are halved
/// repeatedly.
#[derive(Clone, Debug)]
pub(crate) struct QuantileEstimator {
    counts: [u32; BUCKET_COUNT],
    /// Total number of samples.
    ///
    /// Invariant: equals the sum of `counts`.
    total: u32,
}

impl Default for QuantileEstimator {
    fn default() -> Self {
        Self { counts: [0; BUCKET_COUNT], total: 0 }
    }
}

impl QuantileEstimator {
    /// Adds a sample to the histogram.
    pub(crate) fn add(&mut self, sample: Duration) {
        let ratio = sample.as_secs_f64() * 1e6 / SECOND_BUCKET_US;
        let bucket = if ratio <= 1.0 {
            0
        } else {
            // Truncation selects the bucket; the ratio is above 1, so the logarithm is positive.
            (ratio.log2() * f64::from(BUCKETS_PER_DOUBLING)) as usize + 1
        };
        self.counts[bucket.min(BUCKET_COUNT - 1)] += 1;
        self.total += 1;
        if self.total >= HALVING_SAMPLES {
            self.halve_counts();
        }
    }

    /// Returns the upper edge of the bucket that contains the 99th percentile; `None` if there are
    /// too few samples.
    pub(crate) fn p99(&self) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let mut samples_above = self.total / 100;
        for (bucket, &count) in self.counts.iter().enumerate().rev() {
            if count > samples_above {
                return Some(upper_edge(bucket));
            }
            samples_above -= count;
        }
        None
    }

    fn halve_counts(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn upper_edge(bucket: usize) -> Duration {
    let exponent = bucket as f64 / f64::from(BUCKETS_PER_DOUBLING);
    Duration::from_secs_f64(SECOND_BUCKET_US * exponent.exp2() / 1e6)
}
