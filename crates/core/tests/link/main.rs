//! Tests of the links between instances on a simulated network.

mod bounds;
mod delivery;
mod network;
mod pause;
mod silence;
