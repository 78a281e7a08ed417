//! Tests of the leaf machine.

mod aggregate;
mod attempts;
mod bed;
mod crash;
mod dispatch;
mod exclusion;
mod forward;
mod hedge;
mod lanes;
mod load;
mod once;
mod open;
mod property;
mod queue;
mod servers;
mod session;
mod siblings;
mod stop;
mod warmup;
mod world;
