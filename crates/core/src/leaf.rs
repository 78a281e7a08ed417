//! The leaf machine: owns search services and sends their work to the servers. The machine keeps
//! each service's queue, the slots and pooled connections of its servers, hedges and retries.

mod admission;
mod aggregate;
mod attempt;
mod budget;
mod completion;
mod connection;
mod connections;
mod crash;
pub mod crossing;
mod dispatch;
mod ending;
mod estimate;
pub mod event;
pub mod exclusion;
mod health;
mod hedge;
mod intake;
mod kinds;
mod machine;
mod outlook;
mod own_zone;
mod peak;
mod portion;
pub mod preference;
mod queue;
mod random;
mod recent;
mod record;
mod refresh;
mod reply;
mod server;
mod service;
mod settings;
mod siblings;
pub mod status;
mod sweeps;
mod timer;
mod trace;
mod verdict;
pub mod warmup;

pub use event::{Action, Event};
pub use machine::Machine;
pub use service::Role;
pub use settings::{Builder, Settings};
pub use trace::{CallEnd, CallTrace, Cause, Trace};
