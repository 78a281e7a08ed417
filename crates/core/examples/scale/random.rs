//! Seeded random numbers.

use ladder_core::control::hash;

/// Uniformly distributed random numbers from a seed.
pub(crate) struct Random(hash::Random);

impl Random {
    pub(crate) const fn new(seed: u64) -> Self {
        Self(hash::Random::new(seed))
    }

    pub(crate) const fn below(&mut self, bound: usize) -> usize {
        self.0.below(bound as u64) as usize
    }
}

/// Returns the median of some figures; zero if there are none.
pub(crate) fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}
