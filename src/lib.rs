//! The processes of sycamoreladder: shells that turn sockets and timers into events of
//! [`ladder_core`] and carry out its actions.
//!
//! `ladder-entry` is the daemon of an instance ([`entry`]); `ladderctl` is the operators' command
//! line ([`ctl`]).

pub mod clock;
pub mod ctl;
pub mod driver;
pub mod entry;
pub mod http;
pub mod link;
pub mod log;
pub mod metrics;
pub mod options;
