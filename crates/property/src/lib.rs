//! Property tests whose inputs all follow from one seed.
//!
//! The test engine of `bolero` uses a given seed for its first input alone and draws the seeds of all others
//! from the system, so that no two runs try the same. Here each input has a seed of its own that follows from
//! the one before: a run repeats, and a failure names the seed with which it repeats alone.
//!
//! `BOLERO_RANDOM_SEED` sets the first seed, `BOLERO_RANDOM_ITERATIONS` the number of inputs.

mod engine;
mod input;

use std::env;
use std::str::FromStr;

use bolero::{BorrowedInput, ByteSliceGenerator, TestTarget};

pub use engine::Engine;

/// Seed of the first input where none is set.
const FIRST: u128 = 1;

/// A property to be tested on so many inputs, unless the environment says otherwise.
pub fn check(inputs: usize) -> TestTarget<ByteSliceGenerator, Engine, BorrowedInput> {
    TestTarget::new(engine(inputs))
}

/// The same on inputs made of this many random bytes at most.
pub fn check_short(
    inputs: usize,
    bytes: usize,
) -> TestTarget<ByteSliceGenerator, Engine, BorrowedInput> {
    TestTarget::new(engine(inputs).bytes(bytes))
}

/// A property to be tested on the one input of a seed, whatever the environment says: one that failed once.
pub fn replay(seed: u128) -> TestTarget<ByteSliceGenerator, Engine, BorrowedInput> {
    TestTarget::new(Engine::new(seed, 1))
}

fn engine(inputs: usize) -> Engine {
    let first = setting("BOLERO_RANDOM_SEED").unwrap_or(FIRST);
    Engine::new(first, setting("BOLERO_RANDOM_ITERATIONS").unwrap_or(inputs))
}

fn setting<T: FromStr>(name: &str) -> Option<T> {
    env::var(name).ok()?.parse().ok()
}
