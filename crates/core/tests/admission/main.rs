//! Tests of the admission of sweeps.

mod capacity;
mod decision;
mod fleet;
mod overload;
mod retries;
mod simulation;
