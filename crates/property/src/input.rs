//! Inputs of one seed, and the same again from their bytes.

use bolero::bolero_engine::rng::Recommended;
use bolero::bolero_engine::{Input, Seed, shrink};
use bolero::generator::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use rand_core::{RngCore, SeedableRng};

/// Random numbers with a record of them.
#[derive(Debug)]
pub(crate) struct Recording {
    random: Recommended,
    bytes: Vec<u8>,
}

impl RngCore for Recording {
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

/// The input of a seed.
#[derive(Debug)]
pub(crate) struct Recorded {
    driver: Rng<Recording>,
}

impl Recorded {
    pub(crate) fn new(seed: Seed, options: &Options) -> Self {
        let random = Recommended::from_seed(seed.to_le_bytes());
        Self { driver: Rng::new(Recording { random, bytes: Vec::new() }, options) }
    }

    /// The random bytes that it was made of so far.
    pub(crate) fn into_bytes(self) -> Vec<u8> {
        self.driver.as_ref().bytes.clone()
    }
}

impl<Output> Input<Output> for Recorded {
    type Driver = Rng<Recording>;

    fn with_slice<F: FnMut(&[u8]) -> Output>(&mut self, f: &mut F) -> Output {
        let bytes = Vec::<u8>::generate(&mut self.driver).unwrap_or_default();
        f(&bytes)
    }

    fn with_driver<F: FnMut(&mut Self::Driver) -> Output>(&mut self, f: &mut F) -> Output {
        f(&mut self.driver)
    }
}

/// Recorded bytes as random numbers; zeros when they are used up.
#[derive(Debug)]
pub(crate) struct Replay<'a>(&'a [u8]);

impl RngCore for Replay<'_> {
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
        let count = self.0.len().min(bytes.len());
        let (taken, rest) = self.0.split_at(count);
        bytes[..count].copy_from_slice(taken);
        bytes[count..].fill(0);
        self.0 = rest;
    }
}

/// An input made of recorded bytes, which may be changed to find a smaller one.
#[derive(Debug)]
pub(crate) struct Replayed(pub(crate) Vec<u8>);

impl AsRef<Vec<u8>> for Replayed {
    fn as_ref(&self) -> &Vec<u8> {
        &self.0
    }
}

impl AsMut<Vec<u8>> for Replayed {
    fn as_mut(&mut self) -> &mut Vec<u8> {
        &mut self.0
    }
}

impl shrink::Input for Replayed {
    type Driver<'a> = Rng<Replay<'a>>;

    fn driver(&self, len: usize, options: &Options) -> Self::Driver<'_> {
        Rng::new(Replay(&self.0[..len]), options)
    }
}
