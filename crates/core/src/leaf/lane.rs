//! Connections to servers.

use super::event::AttemptKey;
use super::server::ServerKey;
use crate::time::Instant;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Asked for.
    Opening,
    /// Connected, without a request.
    Idle,
    /// Carries a call.
    Busy(AttemptKey),
    /// Carries a cancellation or a question for a load report.
    Control,
}

/// A connection to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lane {
    pub(super) server: ServerKey,
    pub(super) state: State,
    /// The server ends it after the call at hand.
    pub(super) closing: bool,
    /// When it was asked for, and from when it is open, when it was opened.
    pub(super) since: Instant,
}
