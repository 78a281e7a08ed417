//! Pseudorandom numbers (xorshift) that follow from a seed.

use std::time::Duration;

#[derive(Clone)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        let mut random = Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        for _ in 0..8 {
            random.next();
        }
        random
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to below 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, limit: usize) -> usize {
        (self.fraction() * limit as f64) as usize
    }

    /// Time to the next arrival if there are `per_second` on average (Poisson arrivals).
    pub fn arrival_gap(&mut self, per_second: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.fraction()).ln() / per_second)
    }
}
