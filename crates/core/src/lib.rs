//! The decision core: everything that decides, as state machines without clock, socket, thread or
//! random source of their own.
//!
//! Each machine takes `(now, event)` and appends actions; seeds are given at construction. The
//! same events therefore always give the same actions, and a session can be replayed from a file.
//!
//! - [`control`] holds what one instance knows of the fleet and the publication and publishes a
//!   [`view::View`] for the other two;
//! - [`gather`] takes callers' requests, plans them over shards and gathers the answers;
//! - [`leaf`] owns services: their servers' slots and connections, queue, hedges and retries.

pub mod age;
mod average;
pub mod collections;
pub mod control;
pub mod count;
pub mod eligible;
pub mod fingerprint;
pub mod gather;
pub mod leaf;
mod records;
pub mod route;
pub mod sample;
pub mod time;
pub mod view;

pub use ladder_schema as schema;
