//! Admission of sweeps: which of them start while more arrive than the servers can answer within
//! their latency objectives.
//!
//! - [`reservation`]: reservations for callers that were refused and retry at the advised time.

pub mod reservation;
