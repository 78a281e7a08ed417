//! Stand-ins (test doubles) for the platform and the targets, for tests, experiments and
//! demonstrations.
//!
//! No product code depends on this crate. It provides three binaries and, for integration tests,
//! the same functions as a library:
//!
//! - [`target`] serves many targets in one process, each on its own port;
//! - [`platform`] serves published records for reads and watches;
//! - [`layout`] writes the settings of all processes of a test run at the users' sizes;
//! - [`answer`] and [`ledger`] let a test verify answers and executions from outside;
//! - [`process`] runs a stand-in on a thread of the test process.

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
