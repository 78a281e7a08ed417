//! Tests of the leaf machine.

mod aggregate;
mod attempts;
mod connections;
mod crash;
mod dispatch;
mod exclusion;
mod extra_calls;
mod forward;
mod harness;
mod hedge;
mod idempotency;
mod linked_attempts;
mod open_calls;
mod overload;
mod property;
mod queue;
mod reuse;
mod servers;
mod session;
mod siblings;
mod simulation;
mod single_requests;
mod stop;
mod sweeps;
mod warmup;
mod zonal;
