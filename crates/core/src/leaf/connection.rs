//! Pooled connections to servers.

use super::event::AttemptKey;
use super::server::ServerKey;
use crate::time::Instant;

/// State of a pooled connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The connection was requested and is not established yet.
    Opening,
    /// The connection is established and carries no request.
    Idle,
    /// The connection carries this call.
    Busy(AttemptKey),
    /// The connection carries a cancellation or a load report request.
    Control,
}

/// A pooled connection to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    pub(super) server: ServerKey,
    pub(super) state: State,
    /// Whether the server closes the connection after the current call.
    pub(super) closing: bool,
    /// Whether the connection was open when another one to the server broke or was refused.
    pub(super) in_doubt: bool,
    /// Time at which the connection was opened; until then, time at which it was requested.
    pub(super) since: Instant,
    /// When a call last ended on the connection; until then, when it was requested or opened.
    pub(super) used_at: Instant,
}
