//! What one instance knows of the fleet and the publication.
//!
//! [`Machine`] is driven by [`Event`]s and asks for [`Action`]s. Its parts:
//!
//! - [`store`]: the newest good record of each published key;
//! - [`membership`]: who is alive;
//! - [`placement`]: which instances may work on a service, and with how many connections;
//! - [`reader`]: which instances watch the platform;
//! - [`quarantine`]: requests that end the servers that run them.

pub mod belief;
pub mod event;
pub mod hash;
mod machine;
pub mod membership;
pub mod placement;
mod project;
pub mod quarantine;
pub mod reader;
pub mod settings;
mod spread;
pub mod store;
pub mod withdrawal;

pub use event::{Action, Event};
pub use machine::Machine;
pub use settings::Settings;
