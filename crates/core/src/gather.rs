//! Takes callers' requests, plans them over shards, gathers the answers.

pub mod event;

pub use event::{Action, Event};
