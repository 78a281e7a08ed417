//! Owns services: slots and connections of their servers, queue, hedges and retries.

pub mod event;

pub use event::{Action, Event};
