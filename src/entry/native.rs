//! The built-in dialect: JSON over HTTP with callers, servers and the platform.

mod callers;
mod connections;
mod records;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::Shared;
use super::dialect::{Dialect, Listeners, Publication, Reports, Servers};
use super::gateway::Gateway;

pub use callers::decode;
pub use connections::{broken, outcome};
pub use records::decode_page;

/// The built-in dialect.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Dialect for Native {
    fn callers(&self, gateway: Gateway, listeners: Listeners) -> LocalBoxFuture<'static, ()> {
        callers::serve(gateway, listeners).boxed_local()
    }

    fn servers(&self, reports: Reports) -> Box<dyn Servers> {
        Box::new(connections::Connections::new(reports))
    }

    fn publication(&self, shared: &Shared) -> Box<dyn Publication> {
        Box::new(records::RecordsClient::new(shared.clone()))
    }

    fn cancels(&self) -> bool {
        true
    }

    fn probes(&self) -> bool {
        true
    }
}
