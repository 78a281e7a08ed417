//! Tests of the leaf machine.

mod bed;
mod dispatch;
mod hedge;
mod property;
mod world;
