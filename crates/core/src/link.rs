//! Decides over which connections frames go to the peers, and which connections have gone silent.
//!
//! Each instance sends to a peer over a connection of its own, and the peer answers over another one.
//! An open connection can stop carrying data without an error at either end, in one direction or in
//! both, while new connections work. Frames that must arrive are therefore numbered; every frame
//! names the number up to which its sender has received the receiver's frames. A frame is kept until
//! it is confirmed. If that takes too long, a second connection to the peer is opened and used in
//! place of the first one, provided that the peer answers on it and has not received the frame. The
//! kept frames are then sent again; the receiver drops those that it already has.

mod connection;
mod older_build;
mod peer;
mod received;
mod round_trip;
mod shared;
mod unconfirmed;
mod upkeep;
mod urgency;
mod verification;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ladder_schema::wire::Frame;

use crate::collections::Map;
use crate::time::Instant;

use peer::Peer;
use shared::{Shared, Turn};

/// Longest time between two checks of the links.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two checks of the links.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// A check that comes later than this shows that the process was paused. Confirmations may have
/// arrived and not been read yet.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);
/// Most verifications that wait for an answer at the same time.
const MAX_VERIFICATIONS: usize = 64;

/// Identifies a connection of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey(u64);

/// Why a connection to a peer was replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The peer left a frame unconfirmed.
    Silent,
    /// The connection had not proved that it works since another one fell silent.
    Unverified,
    /// The peer found a connection silent.
    Requested,
}

/// What a frame carries, for accounting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Requests of callers or what is decided about them.
    Traffic,
    /// Membership, records and whatever else keeps the fleet together.
    Control,
    /// Nothing but the confirmation of frames or the verification of a connection.
    Confirmation,
    /// A frame that is sent again.
    Repeated,
}

impl Part {
    fn of(frame: &Frame) -> Self {
        let has_work = !frame.work.is_empty() || !frame.replies.is_empty();
        let has_reservations =
            !frame.reservation_requests.is_empty() || !frame.reservation_replies.is_empty();
        if has_work || has_reservations { Self::Traffic } else { Self::Control }
    }
}

/// What the link has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection to a peer.
    Open {
        /// The connection.
        connection: ConnectionKey,
        /// Peer address.
        address: Arc<str>,
    },
    /// Close a connection.
    Close(ConnectionKey),
    /// Send an encoded frame.
    Send {
        /// The connection.
        connection: ConnectionKey,
        /// What the frame carries.
        part: Part,
        /// The encoded frame.
        bytes: Bytes,
    },
    /// Report that a connection was replaced because it may have gone silent.
    Replaced {
        /// Peer address.
        address: Arc<str>,
        /// Why it was replaced.
        cause: Cause,
        /// Age of the oldest frame that was lost.
        silence: Duration,
        /// Number of frames that are sent again.
        sent_again: usize,
    },
    /// Report that a verified connection works.
    Verified,
    /// Report that a connection attempt took too long and is repeated.
    Unopened,
}

/// The links to and from all peers.
#[derive(Debug)]
pub struct Links {
    shared: Shared,
    peers: Map<Arc<str>, Peer>,
    /// Addresses of the peers that have connections or wait for a confirmation.
    ///
    /// Invariant: contains exactly the peers with `is_listed`, each once.
    active: Vec<Arc<str>>,
    /// Address of the peer of each connection.
    owners: Map<ConnectionKey, Arc<str>>,
    checked_at: Instant,
}

impl Links {
    /// Creates links without connections; `identity` is a frame that contains only the sender.
    pub fn new(now: Instant, identity: Frame) -> Self {
        Self {
            shared: Shared::new(now, identity),
            peers: Map::default(),
            active: Vec::new(),
            owners: Map::default(),
            checked_at: now,
        }
    }

    /// Sets the generation that every later frame contains.
    pub const fn set_generation(&mut self, generation: u64) {
        self.shared.set_generation(generation);
    }

    /// Sends a frame to the peer at `address`.
    pub fn send(&mut self, now: Instant, address: &str, frame: Frame, out: &mut Vec<Action>) {
        let first = out.len();
        let is_proven = self.with_peer(now, address, out, |peer, turn| {
            peer.check_older_build(turn);
            peer.send(turn, frame);
            peer.is_proven(turn)
        });
        if !is_proven && self.verifications() < MAX_VERIFICATIONS {
            self.with_peer(now, address, out, Peer::verify_if_in_doubt);
        }
        self.note_connections(&out[first..]);
    }

    /// Processes a frame of a peer. Returns `false` if the frame was received before.
    pub fn receive(&mut self, now: Instant, frame: &Frame, out: &mut Vec<Action>) -> bool {
        if frame.address.is_empty() {
            return true;
        }
        let first = out.len();
        let is_new =
            self.with_peer(now, &frame.address, out, |peer, turn| peer.receive(turn, frame));
        self.note_connections(&out[first..]);
        is_new
    }

    /// Notes that a connection has been opened.
    pub fn opened(&mut self, connection: ConnectionKey) {
        let peer = self.owners.get(&connection).and_then(|address| self.peers.get_mut(address));
        if let Some(peer) = peer {
            peer.opened(connection);
        }
    }

    /// Notes that a connection has ended and was not closed by this instance.
    pub fn broken(&mut self, now: Instant, connection: ConnectionKey) {
        let owner = self.owners.remove(&connection);
        if let Some(peer) = owner.and_then(|address| self.peers.get_mut(&address)) {
            peer.broken(now, connection);
        }
    }

    /// Does what is due, and returns when to check again.
    pub fn check(&mut self, now: Instant, out: &mut Vec<Action>) -> Instant {
        if now.since(self.checked_at) > PAUSE_THRESHOLD {
            self.shared.resumed_at = now;
        }
        self.checked_at = now;
        let first = out.len();
        let mut verifications = self.verifications();
        let mut turn = Turn { now, shared: &mut self.shared, out };
        let mut next = now + CHECK_INTERVAL;
        for address in &self.active {
            let Some(peer) = self.peers.get_mut(address) else {
                continue;
            };
            peer.check(&mut turn);
            if verifications < MAX_VERIFICATIONS {
                verifications += usize::from(peer.verify_if_in_doubt(&mut turn));
            }
            next = next.min(peer.next_check(turn.shared.resumed_at).unwrap_or(next));
        }
        let peers = &mut self.peers;
        self.active.retain(|address| {
            peers.get_mut(address).is_some_and(|peer| {
                peer.is_listed = peer.is_active();
                peer.is_listed
            })
        });
        self.note_connections(&out[first..]);
        next.max(now + MIN_CHECK_INTERVAL)
    }

    fn verifications(&self) -> usize {
        let active = self.active.iter().filter_map(|address| self.peers.get(address));
        active.filter(|peer| peer.verification.is_some()).count()
    }

    fn with_peer<T>(
        &mut self,
        now: Instant,
        address: &str,
        out: &mut Vec<Action>,
        change: impl FnOnce(&mut Peer, &mut Turn<'_>) -> T,
    ) -> T {
        if !self.peers.contains_key(address) {
            self.peers.insert(address.into(), Peer::new(address));
        }
        let peer = self.peers.get_mut(address).expect("inserted above if it was missing");
        if !peer.is_listed {
            peer.is_listed = true;
            self.active.push(Arc::clone(&peer.address));
        }
        change(peer, &mut Turn { now, shared: &mut self.shared, out })
    }

    /// Takes over which connections the actions open and close.
    fn note_connections(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Open { connection, address } => {
                    self.owners.insert(*connection, Arc::clone(address));
                }
                Action::Close(connection) => drop(self.owners.remove(connection)),
                _ => {}
            }
        }
    }
}
