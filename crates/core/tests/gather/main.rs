//! Tests of the gathering machine.

mod event_order;
mod fleet;
mod forward;
mod harness;
mod homes;
mod invalid_requests;
mod open_query_limit;
mod oracle;
mod owners;
mod partial_aggregation;
mod refusals;
mod replies;
mod resend;
mod reservations;
mod response_time;
mod shutdown;
mod sweep;
mod sweep_admission;
mod trial;
mod versions;
mod zonal;
