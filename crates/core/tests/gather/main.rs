//! Tests of the gathering machine.

mod any_order;
mod fleet;
mod forward;
mod full;
mod homes;
mod near;
mod oracle;
mod owners;
mod plans;
mod refusals;
mod replies;
mod session;
mod stop;
mod sweep;
mod versions;
