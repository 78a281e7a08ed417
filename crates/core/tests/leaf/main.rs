//! Tests of the leaf machine.

mod bed;
mod dispatch;
mod hedge;
mod once;
mod property;
mod queue;
mod world;
