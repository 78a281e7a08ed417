//! Deterministic pseudo-random numbers for jitter.

use std::time::Duration;

/// SplitMix64 generator: small, seeded, with the same sequence on every machine.
#[derive(Clone, Debug)]
pub(super) struct Random(u64);

impl Random {
    pub(super) fn new(seed: u64) -> Self {
        Self(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(1);
        mix(self.0)
    }

    /// A pseudo-random duration between half of `span` and `span`.
    pub(super) fn jitter(&mut self, span: Duration) -> Duration {
        let half = crate::time::micros(span) / 2;
        Duration::from_micros(half + self.next() % (half + 1))
    }
}

/// SplitMix64 output function: maps each `number` to a pseudo-random number.
pub(super) fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
