//! Tests of the control machine: single machines, and simulated fleets of many.

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
