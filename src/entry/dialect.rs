//! What a deployment speaks with callers, servers and the platform.
//!
//! The daemon decides the same whatever is spoken. [`super::native`] is the product's own dialect; a
//! deployment brings another one by implementing [`Dialect`] and handing it to
//! [`entry::run`](super::run).

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use ladder_core::control;
use ladder_core::control::reader::Read;
use ladder_core::leaf;
use ladder_core::leaf::event::{AttemptKey, LaneKey};
use ladder_core::time::Instant;
use ladder_schema::target;

use super::Shared;
use super::door::Door;
use crate::clock::Clock;
use crate::driver::Handle;

/// How a deployment speaks. Each part is made on the thread that uses it.
pub trait Dialect: Send + Sync {
    /// Serves callers and the balancer's question until the process ends.
    fn callers(&self, door: Door, listeners: Listeners) -> LocalBoxFuture<'static, ()>;
    /// Connections to servers.
    fn servers(&self, reports: Reports) -> Box<dyn Servers>;
    /// Reads of the platform.
    fn publication(&self, shared: &Shared) -> Box<dyn Publication>;
    /// Whether servers take cancellations; elsewhere closing its connection ends a call.
    fn cancels(&self) -> bool;
    /// Whether servers are asked for load reports.
    fn probes(&self) -> bool;
}

/// Where callers and the balancer come in.
#[derive(Debug)]
pub struct Listeners {
    /// Callers.
    pub callers: TcpListener,
    /// The balancer, if it asks at an address of its own.
    pub ready: Option<TcpListener>,
}

/// Time spans of a connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spans {
    /// Longest time to open it.
    pub opening: Duration,
    /// How long a new one is watched before it carries a call.
    ///
    /// A server that has too many accepts one more and resets it; a call on it would be lost without
    /// a trace of whether it ran.
    pub proving: Duration,
    /// How long before its server would close it an idle one is closed here: a call that crosses the
    /// server's close would be lost.
    pub spare: Duration,
}

impl Default for Spans {
    fn default() -> Self {
        Self {
            opening: Duration::from_millis(1000),
            proving: Duration::from_millis(8),
            spare: Duration::from_millis(1000),
        }
    }
}

/// Where connections report what happens to them.
#[derive(Clone)]
pub struct Reports {
    /// Time spans that connections keep to.
    pub spans: Spans,
    /// To the leaf machine.
    pub leaf: Handle<leaf::Machine>,
    /// To the control machine.
    pub control: Handle<control::Machine>,
    /// The process's clock.
    pub clock: Clock,
}

/// Connections to servers: carries out what the leaf machine asks for and reports how it ended, as
/// [`leaf::Action`] says.
pub trait Servers {
    /// Opens a connection to the server of this name.
    fn open(&self, lane: LaneKey, address: &Arc<str>, server: &Arc<str>);
    /// Closes a connection; nothing more is reported of it.
    fn close(&self, lane: LaneKey);
    /// Sends a request; `until` is when it counts as lost.
    fn send(&self, lane: LaneKey, attempt: AttemptKey, request: target::Request, until: Instant);
    /// Asks the server to cancel a request.
    fn cancel(&self, lane: LaneKey, id: &str);
    /// Asks the server for its load.
    fn probe(&self, lane: LaneKey, server: Arc<str>);
}

/// Reads of the platform, each answered by exactly one page, failure or expiry to the control
/// machine.
pub trait Publication {
    /// Starts a read. What takes several calls may be patient with each.
    fn read(&self, read: Read);
}
