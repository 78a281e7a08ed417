//! The processes of sycamoreladder. They turn socket and timer activity into events of the state
//! machines in [`ladder_core`] and carry out the actions that these return.
//!
//! `ladder-entry` is the daemon of one instance ([`entry`]); `ladderctl` is the operators'
//! command-line tool ([`ctl`]).

pub mod clock;
pub mod ctl;
pub mod driver;
pub mod entry;
pub mod http;
pub mod link;
pub mod log;
pub mod metrics;
pub mod options;
