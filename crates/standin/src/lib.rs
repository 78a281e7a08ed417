//! Stand-ins for the platform and the targets, for tests, experiments and demonstrations.
//!
//! No product code depends on this crate. It gives three binaries and, for integration tests, the
//! same as a library:
//!
//! - [`target`] serves many targets in one process, each on a port of its own;
//! - [`platform`] serves the publication for reads and watches;
//! - [`layout`] writes the settings of a whole run at the users' sizes;
//! - [`answer`] and [`ledger`] let a checker verify answers and executions from outside;
//! - [`process`] runs a stand-in on a thread of the test's own process.

pub mod answer;
mod command;
mod http;
pub mod layout;
pub mod ledger;
pub mod platform;
pub mod process;
pub mod settings;
pub mod target;

pub use command::run;
