//! Runs a property on inputs that follow from one seed.

use std::fmt::Debug;

use bolero::bolero_engine::rng::Recommended;
use bolero::bolero_engine::{Failure, Seed, Test, panic};
use bolero::generator::bolero_generator::driver::Options;
use rand_core::{RngCore, SeedableRng};

use crate::input::{Recorded, Replayed};

/// Runs a property on inputs that follow from one seed.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    first: Seed,
    inputs: usize,
    /// Random bytes of an input at most; `None`: as many as the generator takes.
    bytes: Option<usize>,
}

impl Engine {
    /// An engine that tries so many inputs, the first one of this seed.
    pub const fn new(first: Seed, inputs: usize) -> Self {
        Self { first, inputs, bytes: None }
    }

    /// Bounds the random bytes of an input.
    #[must_use]
    pub const fn bytes(mut self, bytes: usize) -> Self {
        self.bytes = Some(bytes);
        self
    }
}

/// The seed of the input after the one of this seed.
fn next(seed: Seed) -> Seed {
    let mut random = Recommended::from_seed((!seed).to_le_bytes());
    let mut bytes = [0; size_of::<Seed>()];
    random.fill_bytes(&mut bytes);
    Seed::from_le_bytes(bytes)
}

impl<T> bolero::Engine<T> for Engine
where
    T: Test,
    T::Value: Debug,
{
    type Output = ();

    fn run(self, mut test: T, mut options: Options) -> Self::Output {
        if let Some(bytes) = self.bytes {
            options.set_max_len(bytes);
        }
        panic::set_hook();
        panic::forward_panic(false);
        let mut seed = self.first;
        for number in 0..self.inputs {
            let mut recorded = Recorded::new(seed, &options);
            if let Err(error) = test.test(&mut recorded) {
                let failure = shrunk(&mut test, seed, error, &options);
                panic::forward_panic(true);
                panic!(
                    "input {number} fails; it is the first one with BOLERO_RANDOM_SEED={seed}\n\
                     {failure:#}"
                );
            }
            seed = next(seed);
        }
        panic::forward_panic(true);
    }
}

/// The failure of the input of a seed, with a smaller input if one is found.
fn shrunk<T: Test>(
    test: &mut T,
    seed: Seed,
    error: panic::PanicError,
    options: &Options,
) -> Failure<T::Value> {
    let mut recorded = Recorded::new(seed, options);
    let input = test.generate_value(&mut recorded);
    let replayed = Replayed(recorded.into_bytes());
    let smaller = test.shrink(replayed, Some(seed), options);
    smaller.unwrap_or(Failure { seed: Some(seed), error, input })
}
