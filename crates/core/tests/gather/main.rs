//! Tests of the gathering machine.

mod fleet;
mod owners;
mod plans;
mod session;
mod sweep;
mod versions;
