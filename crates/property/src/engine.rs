//! Test engine that runs a property on inputs derived from one seed.

use std::fmt::Debug;

use bolero::bolero_engine::rng::Recommended;
use bolero::bolero_engine::{Failure, Seed, Test, panic};
use bolero::generator::bolero_generator::driver::Options;
use rand_core::{RngCore, SeedableRng};

use crate::input::{RecordedInput, ReplayedInput};

/// Test engine that runs a property on inputs derived from one seed.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    first_seed: Seed,
    inputs: usize,
    /// Maximum number of random bytes per input. With `None`, a generator may use
    /// as many as it takes.
    max_bytes: Option<usize>,
}

impl Engine {
    /// Creates an engine that tests this number of inputs. `first_seed` is the seed of the first
    /// input.
    pub const fn new(first_seed: Seed, inputs: usize) -> Self {
        Self { first_seed, inputs, max_bytes: None }
    }

    /// Limits the number of random bytes from which an input is generated.
    #[must_use]
    pub const fn bytes(mut self, max_bytes: usize) -> Self {
        self.max_bytes = Some(max_bytes);
        self
    }
}

/// Returns the seed of the next input, derived from the seed of the current one.
fn next_seed(seed: Seed) -> Seed {
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
        if let Some(max_bytes) = self.max_bytes {
            options.set_max_len(max_bytes);
        }
        panic::set_hook();
        panic::forward_panic(false);
        let mut seed = self.first_seed;
        for number in 0..self.inputs {
            let mut recorded = RecordedInput::new(seed, &options);
            if let Err(error) = test.test(&mut recorded) {
                let failure = shrunk_failure(&mut test, seed, error, &options);
                panic::forward_panic(true);
                panic!(
                    "input {number} fails; it is the first one with BOLERO_RANDOM_SEED={seed}\n\
                     {failure:#}"
                );
            }
            seed = next_seed(seed);
        }
        panic::forward_panic(true);
    }
}

/// Returns the failure of the input of a seed. If shrinking finds a smaller failing input, the
/// failure is that of the smaller input.
fn shrunk_failure<T: Test>(
    test: &mut T,
    seed: Seed,
    error: panic::PanicError,
    options: &Options,
) -> Failure<T::Value> {
    let mut recorded = RecordedInput::new(seed, options);
    let input = test.generate_value(&mut recorded);
    let replayed = ReplayedInput(recorded.into_bytes());
    let smaller_failure = test.shrink(replayed, Some(seed), options);
    smaller_failure.unwrap_or(Failure { seed: Some(seed), error, input })
}
