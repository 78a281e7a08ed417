//! What one instance knows of the fleet and the publication.

pub mod event;

pub use event::{Action, Event};
