//! Property tests with reproducible inputs: all inputs are derived from one seed.
//!
//! The test engine of `bolero` uses a given seed only for its first input and takes the seeds of
//! all other inputs from the operating system, so that two runs never test the same inputs. The
//! engine of this crate derives the seed of each input from the seed of the previous one. A run can
//! therefore be repeated, and the message of a failure names the seed with which that input can be
//! repeated alone.
//!
//! The environment variable `BOLERO_RANDOM_SEED` sets the first seed, `BOLERO_RANDOM_ITERATIONS`
//! the number of inputs.

mod engine;
mod input;

use std::env;
use std::str::FromStr;

use bolero::{BorrowedInput, ByteSliceGenerator, TestTarget};

pub use engine::Engine;

/// Seed of the first input if `BOLERO_RANDOM_SEED` is not set.
const DEFAULT_FIRST_SEED: u128 = 1;

/// Creates a property test with this number of inputs.
///
/// `BOLERO_RANDOM_ITERATIONS` overrides the number of inputs, `BOLERO_RANDOM_SEED` the first seed.
pub fn check(inputs: usize) -> TestTarget<ByteSliceGenerator, Engine, BorrowedInput> {
    TestTarget::new(engine_from_environment(inputs))
}

/// Creates a property test like [`check`] whose inputs are generated from at most this number of
/// random bytes.
pub fn check_short(
    inputs: usize,
    bytes: usize,
) -> TestTarget<ByteSliceGenerator, Engine, BorrowedInput> {
    TestTarget::new(engine_from_environment(inputs).bytes(bytes))
}

/// Creates a property test with the single input of this seed, such as one that failed earlier.
///
/// `BOLERO_RANDOM_SEED` and `BOLERO_RANDOM_ITERATIONS` have no effect on this test.
pub fn replay(seed: u128) -> TestTarget<ByteSliceGenerator, Engine, BorrowedInput> {
    TestTarget::new(Engine::new(seed, 1))
}

fn engine_from_environment(inputs: usize) -> Engine {
    let first_seed = environment_value("BOLERO_RANDOM_SEED").unwrap_or(DEFAULT_FIRST_SEED);
    Engine::new(first_seed, environment_value("BOLERO_RANDOM_ITERATIONS").unwrap_or(inputs))
}

fn environment_value<T: FromStr>(name: &str) -> Option<T> {
    env::var(name).ok()?.parse().ok()
}
