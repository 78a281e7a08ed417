//! Open-loop load and experiment tool.
//!
//! - [`layout`] reads what the stand-ins' layout tool wrote;
//! - [`mix`] says which operations are called and how much of the capacity each takes,
//!   [`capacity`] how much there is, [`plan`] resolves both to rates and shards;
//! - [`schedule`] draws the arrivals from a seed, before anything is sent;
//! - [`caller`] sends them on time whatever the answers do, [`check`] compares each answer with
//!   its request, [`audit`] compares the answers with what the targets executed;
//! - [`tally`] turns records into a [`result::Run`], [`compare`] and [`report`] runs into a report.

pub mod admin;
pub mod audit;
pub mod caller;
pub mod capacity;
pub mod check;
pub mod command;
pub mod compare;
pub mod demo;
pub mod error;
pub mod fault;
pub mod layout;
pub mod mix;
pub mod overhead;
pub mod plan;
pub mod plot;
pub mod ready;
pub mod report;
pub mod result;
pub mod rotation;
pub mod run;
pub mod schedule;
pub mod table;
pub mod tally;
pub mod upkeep;
