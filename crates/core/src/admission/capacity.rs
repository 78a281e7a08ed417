//! Computes at the sender of a service which share of the offered sweeps its servers can answer in
//! time.

/// Counts the offered work of one service.
#[derive(Clone, Debug, Default)]
pub struct Capacity;
