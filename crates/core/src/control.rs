//! Control plane of one instance: its state of the fleet and of the published records.
//!
//! [`Machine`] consumes [`Event`]s and emits [`Action`]s. Its parts:
//!
//! - [`store`]: the newest valid record of each published key;
//! - [`membership`]: which instances are alive;
//! - [`placement`]: which instances may work on a service, and with how many connections;
//! - [`reader`]: which instances watch the platform;
//! - [`quarantine`]: requests under which server processes crash.

mod broadcast;
mod deferral;
pub mod event;
mod exchanges;
pub mod hash;
mod machine;
pub mod membership;
pub mod placement;
mod project;
pub mod quarantine;
pub mod reader;
mod refused_routes;
pub mod settings;
pub mod startup;
pub mod state_change;
pub mod store;

pub use event::{Action, Event};
pub use machine::Machine;
pub use settings::Settings;
