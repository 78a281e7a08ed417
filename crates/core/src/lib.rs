//! The decision core: all decisions are made here, in state machines without a clock, socket,
//! thread or random source of their own.
//!
//! Each machine takes `(now, event)` and appends actions; seeds are passed at construction. The
//! same events therefore always produce the same actions, and a session can be replayed from a
//! file.
//!
//! - [`control`] keeps one instance's information about the fleet and the publication, and
//!   publishes a [`view::View`] for the other two machines;
//! - [`gather`] accepts callers' requests, splits them into portions by shard and gathers the
//!   answers;
//! - [`leaf`] owns services: the slots and pooled connections of their servers, queues, hedges and
//!   retries.

pub mod admission;
pub mod age;
mod average;
pub mod collections;
pub mod control;
pub mod count;
pub mod eligible;
pub mod fingerprint;
pub mod gather;
pub mod leaf;
pub mod link;
mod records;
mod remembered;
pub mod route;
pub mod sample;
pub mod time;
pub mod view;

pub use ladder_schema as schema;
