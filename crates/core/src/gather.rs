//! Takes callers' requests, plans them over shards, gathers the answers.
//!
//! One query goes through these steps: [`check`] refuses what breaks a bound, [`snapshot`] pins one
//! index version, [`plan`] groups its shards by service, [`machine`] sends each service's portion
//! to the service's owner and takes the replies that [`reply`] finds valid, [`answer`] builds the
//! answer. [`peers`] learns how fast each peer replies and notices one that fell silent, [`keys`]
//! remembers the keys of unrepeatable requests, [`history`] keeps what operators ask about.
//!
//! Parts of a forwarded sweep may go to peers that stand nearer their servers: [`near`] divides
//! them, [`collect`] takes the merged replies and notices a peer that does not speak.

mod answer;
mod avoid;
mod check;
mod collect;
mod failover;
mod finish;
mod forward;
mod history;
mod keys;
mod machine;
mod merge;
mod near;
mod peers;
mod plan;
mod quantile;
mod query;
mod reply;
mod send;
mod settings;
mod snapshot;
mod take;
mod timers;
mod withdraw;

pub mod event;

pub use answer::status;
pub use event::{Action, Event};
pub use history::{Explanation, Stamp, Step};
pub use machine::Machine;
pub use settings::{Builder, Settings};
