//! Means that follow what is new.

/// The plain mean of the first values, then one in which the newest has a fixed weight.
///
/// With the fixed weight from the start the first values would hardly count: for some twenty answers
/// after every start busy servers looked idle.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Average {
    value: f64,
    /// Values taken in.
    count: u32,
}

impl Average {
    /// Takes a value in; `weight` is the newest one's in the long run, above 0 and up to 1.
    pub(crate) fn add(&mut self, value: f64, weight: f64) {
        self.count = self.count.saturating_add(1);
        let weight = weight.max(1.0 / f64::from(self.count));
        self.value += weight * (value - self.value);
    }

    /// The mean; zero while nothing was taken in.
    pub(crate) const fn value(self) -> f64 {
        self.value
    }
}
