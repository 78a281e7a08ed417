//! What the links to all peers have in common.

use bytes::Bytes;
use ladder_schema::wire::Frame;
use prost::Message;

use super::{Action, ConnectionKey};
use crate::time::{Instant, whole_millis};

/// What the links to all peers have in common.
#[derive(Debug)]
pub(super) struct Shared {
    /// Frame that contains only the sender.
    identity: Frame,
    /// When this process started, or later.
    started_at: Instant,
    last_connection: u64,
    last_verification: u64,
    /// Latest known time at which connections went silent; `None` if none ever did.
    ///
    /// A network failure silences many connections at once. Those that have not proved since then
    /// that they work are verified when they are used.
    pub(super) silent_since: Option<Instant>,
    /// When this process was last found to have been paused.
    pub(super) resumed_at: Instant,
}

impl Shared {
    pub(super) const fn new(now: Instant, identity: Frame) -> Self {
        Self {
            identity,
            started_at: now,
            last_connection: 0,
            last_verification: 0,
            silent_since: None,
            resumed_at: now,
        }
    }

    pub(super) const fn set_generation(&mut self, generation: u64) {
        self.identity.generation = generation;
    }

    fn encode(&self, now: Instant, mut frame: Frame) -> Bytes {
        let identity = &self.identity;
        frame.protocol = identity.protocol;
        frame.fleet.clone_from(&identity.fleet);
        frame.from.clone_from(&identity.from);
        frame.incarnation = identity.incarnation;
        frame.generation = identity.generation;
        frame.address.clone_from(&identity.address);
        frame.zone.clone_from(&identity.zone);
        frame.sent_us = now.as_micros();
        if frame.verified > 0 {
            frame.age_ms = whole_millis(now.since(self.started_at));
        }
        frame.encode_to_vec().into()
    }
}

/// A moment at which the state of links changes, and the actions that result.
pub(super) struct Turn<'a> {
    pub(super) now: Instant,
    pub(super) shared: &'a mut Shared,
    pub(super) out: &'a mut Vec<Action>,
}

impl Turn<'_> {
    pub(super) fn encode(&self, frame: Frame) -> Bytes {
        self.shared.encode(self.now, frame)
    }

    pub(super) const fn next_connection(&mut self) -> ConnectionKey {
        self.shared.last_connection += 1;
        ConnectionKey(self.shared.last_connection)
    }

    /// Number of the next verification, which no earlier one of this process had.
    pub(super) const fn next_verification(&mut self) -> u64 {
        self.shared.last_verification += 1;
        self.shared.last_verification
    }
}
