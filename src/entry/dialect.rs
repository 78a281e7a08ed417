//! The protocols that a deployment uses with callers, servers and the platform.
//!
//! The decisions of the daemon do not depend on these protocols. [`super::native`] is the built-in
//! dialect; a deployment adds another one by implementing [`Dialect`] and passing it to
//! [`entry::run`](super::run).

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use ladder_core::control;
use ladder_core::control::reader::Read;
use ladder_core::leaf;
use ladder_core::leaf::event::{AttemptKey, ConnectionKey};
use ladder_core::time::Instant;
use ladder_schema::target;

use super::Shared;
use super::gateway::Gateway;
use crate::clock::Clock;
use crate::driver::Handle;

/// The protocols of one deployment. Each part is created on the thread that uses it.
pub trait Dialect: Send + Sync {
    /// Serves callers and the load balancer's readiness checks until the process ends.
    fn callers(&self, gateway: Gateway, listeners: Listeners) -> LocalBoxFuture<'static, ()>;
    /// Creates the connections to servers.
    fn servers(&self, reports: Reports) -> Box<dyn Servers>;
    /// Creates the client that reads records from the platform.
    fn publication(&self, shared: &Shared) -> Box<dyn Publication>;
    /// Whether servers accept cancellation requests. If not, a call is cancelled by closing its
    /// connection.
    fn cancels(&self) -> bool;
    /// Whether this instance polls servers for load reports.
    fn probes(&self) -> bool;
}

/// Listeners for callers and the load balancer.
#[derive(Debug)]
pub struct Listeners {
    /// Listener for callers.
    pub callers: TcpListener,
    /// Listener for the load balancer's readiness checks, if they have their own address.
    pub readiness: Option<TcpListener>,
}

/// Timeouts of a connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Longest time to open a connection.
    pub connect: Duration,
    /// How long a new connection is observed before it carries a call.
    ///
    /// A server that is over its connection limit accepts one more connection and then resets it. A
    /// call on that connection would be lost without any information on whether it was executed.
    pub probation: Duration,
    /// An idle connection is closed this long before the server would close it. Otherwise a call
    /// could be sent while the server closes the connection, and would be lost.
    pub idle_margin: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(1000),
            probation: Duration::from_millis(8),
            idle_margin: Duration::from_millis(1000),
        }
    }
}

/// Handles through which connections to servers report their events.
#[derive(Clone)]
pub struct Reports {
    /// Timeouts of the connections.
    pub timeouts: Timeouts,
    /// Handle of the leaf machine.
    pub leaf: Handle<leaf::Machine>,
    /// Handle of the control machine.
    pub control: Handle<control::Machine>,
    /// Clock of the process.
    pub clock: Clock,
}

/// Connections to servers. Carries out the connection actions of the leaf machine and reports how
/// each one ended, as described at [`leaf::Action`].
pub trait Servers {
    /// Opens a connection to the server `server` at `address`.
    fn open(&self, connection: ConnectionKey, address: &Arc<str>, server: &Arc<str>);
    /// Closes a connection; no further event is reported for it.
    fn close(&self, connection: ConnectionKey);
    /// Sends a request on a connection. The request counts as lost if no response has arrived by
    /// `until`.
    fn send(
        &self,
        connection: ConnectionKey,
        attempt: AttemptKey,
        request: target::Request,
        until: Instant,
    );
    /// Asks the server to cancel the request `id`.
    fn cancel(&self, connection: ConnectionKey, id: &str);
    /// Asks the server for a load report.
    fn probe(&self, connection: ConnectionKey, server: Arc<str>);
}

/// Reads records from the platform. Each read ends with exactly one event to the control machine: a
/// page, a failure or an expired watch.
pub trait Publication {
    /// Starts a read. An implementation that needs several calls for one read may apply the read's
    /// timeout to each call.
    fn read(&self, read: Read);
}
