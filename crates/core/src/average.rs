//! Moving averages.

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
