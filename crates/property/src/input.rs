//! Test inputs generated from a seed with a record of their random bytes, and inputs replayed from
//! recorded bytes.

use bolero::bolero_engine::rng::Recommended;
use bolero::bolero_engine::{Input, Seed, shrink};
use bolero::generator::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use rand_core::{RngCore, SeedableRng};

/// Random number generator that records the bytes it returns.
#[derive(Debug)]
pub(crate) struct RecordingRng {
    random: Recommended,
    bytes: Vec<u8>,
}

impl RngCore for RecordingRng {
    fn next_u32(&mut self) -> u32 {
        let mut bytes = [0; 4];
        self.fill_bytes(&mut bytes);
        u32::from_le_bytes(bytes)
    }

    fn next_u64(&mut self) -> u64 {
        let mut bytes = [0; 8];
        self.fill_bytes(&mut bytes);
        u64::from_le_bytes(bytes)
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        self.random.fill_bytes(bytes);
        self.bytes.extend_from_slice(bytes);
    }
}

/// Test input that is generated from a seed and records its random bytes.
#[derive(Debug)]
pub(crate) struct RecordedInput {
    driver: Rng<RecordingRng>,
}

impl RecordedInput {
    pub(crate) fn new(seed: Seed, options: &Options) -> Self {
        let random = Recommended::from_seed(seed.to_le_bytes());
        Self { driver: Rng::new(RecordingRng { random, bytes: Vec::new() }, options) }
    }

    /// Returns the random bytes from which the input has been generated so far.
    pub(crate) fn into_bytes(self) -> Vec<u8> {
        self.driver.as_ref().bytes.clone()
    }
}

impl<Output> Input<Output> for RecordedInput {
    type Driver = Rng<RecordingRng>;

    fn with_slice<F: FnMut(&[u8]) -> Output>(&mut self, f: &mut F) -> Output {
        let bytes = Vec::<u8>::generate(&mut self.driver).unwrap_or_default();
        f(&bytes)
    }

    fn with_driver<F: FnMut(&mut Self::Driver) -> Output>(&mut self, f: &mut F) -> Output {
        f(&mut self.driver)
    }
}

/// Random number generator that returns recorded bytes, and zeros after the last one.
#[derive(Debug)]
pub(crate) struct ReplayRng<'a>(&'a [u8]);

impl RngCore for ReplayRng<'_> {
    fn next_u32(&mut self) -> u32 {
        let mut bytes = [0; 4];
        self.fill_bytes(&mut bytes);
        u32::from_le_bytes(bytes)
    }

    fn next_u64(&mut self) -> u64 {
        let mut bytes = [0; 8];
        self.fill_bytes(&mut bytes);
        u64::from_le_bytes(bytes)
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        let copied_len = self.0.len().min(bytes.len());
        let (copied, rest) = self.0.split_at(copied_len);
        bytes[..copied_len].copy_from_slice(copied);
        bytes[copied_len..].fill(0);
        self.0 = rest;
    }
}

/// Test input generated from recorded bytes, which shrinking may change to find a smaller failing
/// input.
#[derive(Debug)]
pub(crate) struct ReplayedInput(pub(crate) Vec<u8>);

impl AsRef<Vec<u8>> for ReplayedInput {
    fn as_ref(&self) -> &Vec<u8> {
        &self.0
    }
}

impl AsMut<Vec<u8>> for ReplayedInput {
    fn as_mut(&mut self) -> &mut Vec<u8> {
        &mut self.0
    }
}

impl shrink::Input for ReplayedInput {
    type Driver<'a> = Rng<ReplayRng<'a>>;

    fn driver(&self, len: usize, options: &Options) -> Self::Driver<'_> {
        Rng::new(ReplayRng(&self.0[..len]), options)
    }
}
