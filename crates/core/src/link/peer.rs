//! State of the links to and from one peer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ladder_schema::wire::Frame;

use super::connection::Connection;
use super::received::Received;
use super::round_trip::RoundTrip;
use super::shared::Turn;
use super::unconfirmed::{Kept, Unconfirmed};
use super::urgency::Urgency;
use super::verification::{Request, Verification};
use super::{Action, ConnectionKey, Part};
use crate::time::Instant;

/// Whether the peer's build confirms frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Build {
    /// No frame of the peer has been received.
    Unknown,
    Confirming,
    Older,
}

/// State of the links to and from one peer.
///
/// It is kept as long as the process lives: if the sequence numbers restarted, the peer would drop new
/// frames as duplicates.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: Arc<str>,
    /// Whether the peer is among those that are checked.
    pub(super) is_listed: bool,
    pub(super) build: Build,
    /// Incarnation of the peer's process; 0 until a frame has been received.
    incarnation: u64,
    /// Earliest time at which that process is known to have been running.
    running_since: Instant,
    pub(super) current: Option<Connection>,
    /// Verification of the current connection that is waiting for its answer.
    pub(super) verification: Option<Verification>,
    /// Earliest time of the next verification.
    pub(super) next_verification_at: Instant,
    /// When a verification last showed that the current connection works.
    pub(super) verified_at: Instant,
    /// The peer's latest request for verification that has not been answered.
    pub(super) request: Option<Request>,
    pub(super) unconfirmed: Unconfirmed,
    /// Which frames of the peer have been received; `None` before the first numbered one.
    received: Option<Received>,
    pub(super) round_trip: RoundTrip,
    /// When the received frames are confirmed at the latest; `None` if they are.
    pub(super) confirm_at: Option<Instant>,
    /// Latest time at which the current connection certainly worked, by what the peer has confirmed.
    pub(super) proven_at: Instant,
    /// When a frame was last sent to the peer.
    pub(super) last_used: Instant,
    /// Whether the next frame asks a peer of an older build to replace its connection.
    pub(super) asks_replacement: bool,
}

impl Peer {
    pub(super) fn new(address: &str) -> Self {
        Self {
            address: address.into(),
            is_listed: false,
            build: Build::Unknown,
            incarnation: 0,
            running_since: Instant::default(),
            current: None,
            verification: None,
            next_verification_at: Instant::default(),
            verified_at: Instant::default(),
            request: None,
            unconfirmed: Unconfirmed::default(),
            received: None,
            round_trip: RoundTrip::default(),
            confirm_at: None,
            proven_at: Instant::default(),
            last_used: Instant::default(),
            asks_replacement: false,
        }
    }

    /// Sends a frame on the current connection, and keeps it if it has to be confirmed.
    pub(super) fn send(&mut self, turn: &mut Turn<'_>, mut frame: Frame) {
        frame.replaces_silent = std::mem::take(&mut self.asks_replacement);
        let part = Part::of(&frame);
        match Urgency::of(&frame) {
            Some(urgency) => self.send_numbered(turn, frame, urgency, part),
            None => self.send_unnumbered(turn, frame, part),
        }
    }

    pub(super) fn send_numbered(
        &mut self,
        turn: &mut Turn<'_>,
        mut frame: Frame,
        urgency: Urgency,
        part: Part,
    ) {
        let connection = self.current_connection(turn);
        let number = self.unconfirmed.last_number() + 1;
        frame.sequence = number;
        let bytes = self.encode(turn, frame);
        let kept = Kept { number, sent_at: turn.now, urgency, bytes: bytes.clone() };
        self.unconfirmed.keep(kept);
        turn.out.push(Action::Send { connection, part, bytes });
    }

    fn send_unnumbered(&mut self, turn: &mut Turn<'_>, frame: Frame, part: Part) {
        let connection = self.current_connection(turn);
        self.send_on(turn, connection, frame, part);
    }

    /// Sends a frame that is not kept on the given connection.
    pub(super) fn send_on(
        &mut self,
        turn: &mut Turn<'_>,
        connection: ConnectionKey,
        frame: Frame,
        part: Part,
    ) {
        let bytes = self.encode(turn, frame);
        turn.out.push(Action::Send { connection, part, bytes });
    }

    /// Sends all kept frames again.
    pub(super) fn send_kept(&self, turn: &mut Turn<'_>, connection: ConnectionKey) {
        turn.out.extend(self.unconfirmed.iter().map(|frame| Action::Send {
            connection,
            part: Part::Repeated,
            bytes: frame.bytes.clone(),
        }));
    }

    /// Confirms the received frames without any other content.
    pub(super) fn confirm(&mut self, turn: &mut Turn<'_>) {
        self.send_unnumbered(turn, Frame::default(), Part::Confirmation);
    }

    /// Adds to a frame which frames this instance has received and which it will not send again.
    fn encode(&mut self, turn: &Turn<'_>, mut frame: Frame) -> Bytes {
        self.confirm_at = None;
        self.last_used = turn.now;
        frame.received_until = self.received.as_ref().map_or(0, Received::until);
        frame.discarded_until = self.unconfirmed.given_up();
        turn.encode(frame)
    }

    /// The current connection; it is opened if there is none.
    pub(super) fn current_connection(&mut self, turn: &mut Turn<'_>) -> ConnectionKey {
        let address = &self.address;
        self.current.get_or_insert_with(|| Connection::open(turn, address)).key
    }

    /// Processes a frame of the peer. Returns whether it was received for the first time.
    pub(super) fn receive(&mut self, turn: &mut Turn<'_>, frame: &Frame) -> bool {
        self.note_incarnation(turn.now, frame.incarnation);
        self.note_age(turn.now, frame);
        let confirms = frame.sequence > 0 || frame.received_until > 0;
        if !confirms && frame.verification == 0 && frame.verified == 0 {
            self.receive_from_older_build(turn, frame);
            return true;
        }
        self.build = Build::Confirming;
        self.note_confirmed(turn.now, frame.received_until);
        self.finish_verification(turn, frame);
        self.note_request(turn.now, frame);
        frame.sequence == 0 || self.note_received(turn.now, frame)
    }

    /// Forgets what concerns the peer's previous process. Another process must not receive what was
    /// sent to that one, which may have carried it out.
    fn note_incarnation(&mut self, now: Instant, incarnation: u64) {
        if self.incarnation == incarnation {
            return;
        }
        if self.incarnation > 0 {
            self.unconfirmed.clear();
        }
        self.incarnation = incarnation;
        self.running_since = now;
        self.build = Build::Unknown;
        self.received = None;
        self.confirm_at = None;
        self.request = None;
    }

    /// Notes for how long the peer's process has been running, if the frame contains it.
    fn note_age(&mut self, now: Instant, frame: &Frame) {
        if frame.age_ms > 0 {
            let started_at = now - Duration::from_millis(frame.age_ms.into());
            self.running_since = self.running_since.min(started_at);
        }
    }

    /// Discards the kept frames that may have been sent to a process before the current one.
    pub(super) fn discard_frames_for_earlier_process(&mut self) {
        self.unconfirmed.discard_sent_before(self.running_since);
    }

    /// Notes that the peer has received all frames up to a number.
    fn note_confirmed(&mut self, now: Instant, until: u64) {
        let Some(confirmed) = self.unconfirmed.confirm(until) else {
            return;
        };
        if self.current.is_none_or(|current| confirmed.sent_at < current.opened_at) {
            return;
        }
        self.proven_at = self.proven_at.max(confirmed.sent_at);
        if confirmed.urgency == Urgency::Immediate {
            self.round_trip.add(now.since(confirmed.sent_at));
        }
    }

    /// Notes a numbered frame. Returns whether it was received for the first time.
    fn note_received(&mut self, now: Instant, frame: &Frame) -> bool {
        let first = || Received::starting_with(frame.sequence);
        let received = self.received.get_or_insert_with(first);
        let is_new = received.note(frame.sequence, frame.discarded_until);
        // The machine that handles a frame of the highest urgency sends its answer.
        let delay = Urgency::of(frame).map_or(Duration::ZERO, Urgency::delay);
        let confirm_at = now + delay.max(Urgency::Prompt.delay());
        self.confirm_at = Some(self.confirm_at.map_or(confirm_at, |at| at.min(confirm_at)));
        is_new
    }

    /// Notes that a connection attempt has succeeded.
    pub(super) fn opened(&mut self, key: ConnectionKey) {
        let verification = self.verification.as_mut().map(|one| &mut one.connection);
        let connections = self.current.iter_mut().chain(verification);
        connections.filter(|one| one.key == key).for_each(|one| one.is_open = true);
    }

    /// Notes that a connection has ended. What was sent on the current one is discarded: the machines
    /// are notified of the end and retry what is safe to retry.
    pub(super) fn broken(&mut self, now: Instant, key: ConnectionKey) {
        if self.current.is_some_and(|current| current.key == key) {
            self.current = None;
            self.unconfirmed.clear();
        }
        if self.verification.is_some_and(|one| one.connection.key == key) {
            self.abandon_verification(now);
        }
    }
}
