//! A connection to a peer, or the attempt to open one.

use std::sync::Arc;
use std::time::Duration;

use super::shared::Turn;
use super::{Action, ConnectionKey};
use crate::time::Instant;

/// First and longest time that a connection attempt may take before it is replaced by a new
/// attempt; the time doubles with each attempt.
///
/// A machine without power does not answer the packet that opens a connection, and the operating
/// system resends the packet only after a second. After a power failure of the whole fleet,
/// instances that restarted early dialled machines that were still off, and knew of no other
/// instance for a second.
const DIAL_TIMEOUT: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1600));

/// A connection to a peer, or the attempt to open one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    pub(super) key: ConnectionKey,
    /// When the attempt began, or when the connection took the place of another one.
    pub(super) opened_at: Instant,
    pub(super) is_open: bool,
    /// How long the attempt may take.
    timeout: Duration,
}

impl Connection {
    pub(super) fn open(turn: &mut Turn<'_>, address: &Arc<str>) -> Self {
        Self::attempt(turn, address, DIAL_TIMEOUT.0)
    }

    fn attempt(turn: &mut Turn<'_>, address: &Arc<str>, timeout: Duration) -> Self {
        let key = turn.next_connection();
        turn.out.push(Action::Open { connection: key, address: Arc::clone(address) });
        Self { key, opened_at: turn.now, is_open: false, timeout }
    }

    /// Replaces the connection or attempt by a new attempt.
    pub(super) fn redial(&self, turn: &mut Turn<'_>, address: &Arc<str>) -> Self {
        turn.out.push(Action::Close(self.key));
        Self::attempt(turn, address, (self.timeout * 2).min(DIAL_TIMEOUT.1))
    }

    /// The connection as one that takes the place of another one.
    pub(super) const fn promoted(self, now: Instant) -> Self {
        Self { opened_at: now, is_open: true, ..self }
    }

    /// When a connection is replaced on which the peer has not answered. It may have gone silent, too.
    pub(super) fn answer_by(&self) -> Instant {
        self.opened_at + if self.is_open { self.timeout * 2 } else { self.timeout }
    }

    /// When the attempt is replaced by a new one; `None` if the connection is open.
    pub(super) fn redial_at(&self) -> Option<Instant> {
        (!self.is_open).then(|| self.opened_at + self.timeout)
    }
}
