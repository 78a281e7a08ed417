//! Finds out whether the connection to a peer has gone silent.
//!
//! If a frame is not confirmed in time, either the connection has gone silent, or the peer is slow,
//! paused or gone. A second connection tells which: the peer answers a request on it, over a
//! connection that the peer has opened for the answer, and names the frames that it has received.
//! A peer that answers but lacks frames got nothing on the first connection.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::wire::Frame;

use super::connection::Connection;
use super::peer::{Build, Peer};
use super::shared::Turn;
use super::urgency::Urgency;
use super::{Action, Cause, Part};
use crate::time::Instant;

/// How long a verification waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a verification that did not find a silent connection.
const PAUSE: Duration = Duration::from_secs(1);
/// Delay before a request is answered. Frames that have reached this process on the first connection
/// before the request are received within this time.
const ANSWER_DELAY: Duration = Duration::from_millis(20);
/// A connection that was opened or verified within this time needs no verification to carry an
/// answer.
const FRESH_TIME: Duration = Duration::from_millis(100);

/// A second connection, opened to find out whether the current one has gone silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Verification {
    pub(super) connection: Connection,
    /// Number of the request, which the answer repeats.
    number: u64,
    /// Why the current connection is verified.
    cause: Cause,
    started_at: Instant,
    /// Number of the last frame that was sent on the current connection before the request.
    last_frame: u64,
}

/// A peer's request that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    number: u64,
    pub(super) answer_at: Instant,
}

impl Peer {
    /// Whether the current connection has proved that it works since others went silent.
    pub(super) fn is_proven(&self, turn: &Turn<'_>) -> bool {
        let Some(current) = self.current else {
            return true;
        };
        let silent_since = turn.shared.silent_since;
        silent_since.is_none_or(|since| self.proven_at.max(current.opened_at) >= since)
    }

    /// Notes that the current connection has gone silent before `first_lost` was sent. If it had not
    /// proved that it works since others did, it probably went silent together with them.
    pub(super) fn note_silence(&self, turn: &mut Turn<'_>, first_lost: Instant) {
        if self.is_proven(turn) {
            turn.shared.silent_since = turn.shared.silent_since.max(Some(first_lost));
        }
    }

    /// Opens a second connection and requests an answer on it. The frame also answers the peer's own
    /// request, if there is one.
    pub(super) fn verify(&mut self, turn: &mut Turn<'_>, cause: Cause) {
        self.current_connection(turn);
        // The answer shows only whether the frames sent so far have arrived, so one is sent now.
        if self.unconfirmed.last_sent_at() != Some(turn.now) {
            self.send_numbered(turn, Frame::default(), Urgency::Prompt, Part::Confirmation);
        }
        let connection = Connection::open(turn, &self.address);
        let number = turn.next_verification();
        let last_frame = self.unconfirmed.last_number();
        let started_at = turn.now;
        let verification = Verification { connection, number, cause, started_at, last_frame };
        self.send_request(turn, verification);
    }

    fn send_request(&mut self, turn: &mut Turn<'_>, verification: Verification) {
        self.verification = Some(verification);
        let verified = self.request.take().map_or(0, |request| request.number);
        let frame = Frame { verification: verification.number, verified, ..Frame::default() };
        self.send_on(turn, verification.connection.key, frame, Part::Confirmation);
    }

    /// Notes the peer's request for an answer, if the frame contains one.
    pub(super) fn note_request(&mut self, now: Instant, frame: &Frame) {
        if frame.verification > 0 {
            let answer_at = now + ANSWER_DELAY;
            self.request = Some(Request { number: frame.verification, answer_at });
        }
    }

    /// Answers the peer's request over a connection that certainly works.
    pub(super) fn answer_request(&mut self, turn: &mut Turn<'_>) {
        let Some(request) = self.request else {
            return;
        };
        self.current_connection(turn);
        let is_fresh = |since: Instant| turn.now.since(since) < FRESH_TIME;
        let verified_at = self.verified_at;
        let current = self.current.filter(|one| is_fresh(one.opened_at.max(verified_at)));
        let second = self.verification.map(|verification| verification.connection);
        let second = second.filter(|one| is_fresh(one.opened_at));
        let Some(connection) = second.or(current) else {
            return self.answer_with_request(turn);
        };
        self.request = None;
        let frame = Frame { verified: request.number, ..Frame::default() };
        self.send_on(turn, connection.key, frame, Part::Confirmation);
    }

    /// Answers the peer's request on a new connection, together with a request of the own.
    fn answer_with_request(&mut self, turn: &mut Turn<'_>) {
        let Some(mut verification) = self.verification else {
            return self.verify(turn, Cause::Requested);
        };
        verification.connection = verification.connection.redial(turn, &self.address);
        self.send_request(turn, verification);
    }

    /// Notes the end of the second connection.
    pub(super) fn abandon_verification(&mut self, now: Instant) {
        self.verification = None;
        self.next_verification_at = now + PAUSE;
    }

    /// Ends the verification that a frame answers. If the peer lacks frames that were sent before
    /// the request, the second connection takes the place of the current one, and the frames are
    /// sent again.
    pub(super) fn finish_verification(&mut self, turn: &mut Turn<'_>, frame: &Frame) {
        let is_answered = |one: &mut Verification| one.number == frame.verified;
        let Some(verification) = self.verification.take_if(is_answered) else {
            return;
        };
        if frame.received_until >= verification.last_frame && self.current.is_some() {
            self.proven_at = self.proven_at.max(verification.started_at);
            self.verified_at = turn.now;
            self.next_verification_at = turn.now + PAUSE;
            turn.out.push(Action::Close(verification.connection.key));
            turn.out.push(Action::Verified);
            return;
        }
        let first_lost = self.unconfirmed.iter().next().map(|first| first.sent_at);
        let first_lost = first_lost.unwrap_or(verification.started_at);
        if let Some(silent) = self.current {
            self.note_silence(turn, first_lost);
            turn.out.push(Action::Close(silent.key));
        }
        let connection = verification.connection.promoted(turn.now);
        self.current = Some(connection);
        self.discard_frames_for_earlier_process();
        turn.out.push(Action::Replaced {
            address: Arc::clone(&self.address),
            cause: verification.cause,
            silence: turn.now.since(first_lost),
            sent_again: self.unconfirmed.iter().count(),
        });
        self.send_kept(turn, connection.key);
    }

    /// Opens the second connection again if the answer takes too long, and ends a verification
    /// without one.
    pub(super) fn check_verification(&mut self, turn: &mut Turn<'_>) {
        let Some(mut verification) = self.verification else {
            return;
        };
        if turn.now.since(verification.started_at) >= ANSWER_TIMEOUT {
            self.abandon_verification(turn.now);
            turn.out.push(Action::Close(verification.connection.key));
        } else if verification.connection.answer_by() <= turn.now {
            verification.connection = verification.connection.redial(turn, &self.address);
            self.send_request(turn, verification);
        }
    }

    /// When [`Peer::check_verification`] has to be called.
    pub(super) fn next_verification_check(&self) -> Option<Instant> {
        let verification = self.verification?;
        Some(verification.connection.answer_by().min(verification.started_at + ANSWER_TIMEOUT))
    }

    /// Whether the current connection is open and a verification of it may begin.
    pub(super) fn may_verify(&self, now: Instant) -> bool {
        self.verification.is_none()
            && self.build != Build::Older
            && self.current.is_some_and(|current| current.is_open)
            && now >= self.next_verification_at
    }
}
