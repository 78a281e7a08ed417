//! Tests of the control machine: single machines, and simulated fleets of many.

mod connection_limits;
mod cross_zone_traffic;
mod cut_watches;
mod evacuation;
mod fixtures;
mod harness;
mod late_changes;
mod membership;
mod observed_fleet;
mod parts;
mod placement;
mod quarantine;
mod random_failures;
mod reader;
mod repair;
mod replacement;
mod session;
mod silence;
mod silent_connections;
mod simulation;
mod startup;
mod store;
mod store_drill;
mod wiring;
mod zonal_aggregation;
mod zonal_fleet;
