//! The product's own dialect: JSON over HTTP with callers, servers and the platform.

mod callers;
mod lanes;
mod records;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::Shared;
use super::dialect::{Dialect, Listeners, Publication, Reports, Servers};
use super::door::Door;

pub use callers::decode;
pub use lanes::{broken, outcome};

/// The product's own dialect.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Dialect for Native {
    fn callers(&self, door: Door, listeners: Listeners) -> LocalBoxFuture<'static, ()> {
        callers::serve(door, listeners).boxed_local()
    }

    fn servers(&self, reports: Reports) -> Box<dyn Servers> {
        Box::new(lanes::Lanes::new(reports))
    }

    fn publication(&self, shared: &Shared) -> Box<dyn Publication> {
        Box::new(records::Records::new(shared.clone()))
    }

    fn cancels(&self) -> bool {
        true
    }

    fn probes(&self) -> bool {
        true
    }
}
