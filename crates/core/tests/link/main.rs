//! Tests of the links between instances on a simulated network.

mod delivery;
mod network;
mod pause;
mod silence;
