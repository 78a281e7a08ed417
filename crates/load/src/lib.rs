//! Open-loop load generator and experiment runner.
//!
//! - [`layout`] reads `run.json` and the settings files of the instances and stand-ins under load;
//! - [`mix`] defines which operations are called and which share of the capacity each takes,
//!   [`capacity`] calculates the capacity, [`plan`] resolves both to query rates and shards;
//! - [`schedule`] generates all query times from a seed before the first query is sent;
//! - [`caller`] sends each query at its scheduled time, however slow the answers are; [`check`]
//!   compares each answer with its request, and [`audit`] compares the answers with the executions
//!   that the targets recorded;
//! - [`tally`] aggregates query records into a [`result::Run`]; [`compare`] and [`report`] turn
//!   runs into a report.

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
