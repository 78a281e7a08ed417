//! Tests of the control machine: alone, and many of them in concert.

mod concert;
mod disorder;
mod evacuation;
mod harness;
mod listing;
mod many;
mod membership;
mod parts;
mod placement;
mod publish;
mod quarantine;
mod reader;
mod repair;
mod replacement;
mod session;
mod silence;
mod store;
mod volume;
