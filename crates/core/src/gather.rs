//! Accepts callers' requests, plans them over shards, sends the portions to their owners and
//! gathers the replies into answers.
//!
//! A portion is the sub-request of a query to one service. The owner of a service is the instance
//! that queues and sends all calls to the service's servers. A sending is one transmission of a
//! portion to an instance; a portion may have several sendings. A sweep is a query that is fanned
//! out over many services.
//!
//! A query passes through these modules: [`check`] refuses requests that exceed a limit,
//! [`snapshot`] pins one index version, [`plan`] groups the version's shards by service,
//! [`machine`] sends each service's portion to the owner of the service and takes the replies that
//! [`reply`] finds valid, [`resend`] sends refused portions again, [`answer`] builds the answer. [`peers`] tracks the reply times of each
//! peer and detects silent peers, [`keys`] remembers the request keys of non-idempotent requests,
//! [`history`] keeps the steps of recent queries for operators.
//!
//! Portions of a forwarded sweep may be aggregated by peers that are closer to the servers:
//! [`aggregator_selection`] assigns portions to such peers, [`collect`] takes the merged replies and
//! detects a peer that sends none in time.
//!
//! Before a sweep is refused because too many arrive, [`reservations`] asks the holder of its
//! reservations whether its caller was refused before and is due.

mod aggregator_selection;
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
mod peers;
mod plan;
mod quantile;
mod query;
mod reply;
mod reply_handling;
mod reservations;
mod response_time;
mod send;
mod settings;
mod snapshot;
mod sweep_admission;
mod timers;
mod trial;
mod withdraw;

pub mod event;
pub mod resend;

pub use aggregator_selection::GroupStatus;
pub use answer::status;
pub use event::{Action, Event};
pub use history::{Explanation, Step, TimedStep};
pub use machine::Machine;
pub use response_time::ResponseTime;
pub use settings::{Builder, Settings};
pub use sweep_admission::ShareChange;
