//! What happens to the links to a peer as time passes.

use std::time::Duration;

use super::peer::Peer;
use super::shared::Turn;
use super::unconfirmed::Kept;
use super::{Action, Cause};
use crate::time::Instant;

/// A connection that has carried no frame for this long is closed.
///
/// Digests go to random peers. Without this limit, an instance of a large fleet would in time keep a
/// connection to every other instance, including instances that have been replaced.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

impl Peer {
    /// Confirms frames, answers a request for verification and replaces connection attempts, as far
    /// as they are due.
    pub(super) fn check(&mut self, turn: &mut Turn<'_>) {
        self.unconfirmed.expire(turn.now);
        if turn.now.since(self.last_used) >= IDLE_TIMEOUT {
            self.close_idle(turn);
        }
        if self.request.is_some_and(|request| request.answer_at <= turn.now) {
            self.answer_request(turn);
        }
        if self.confirm_at.is_some_and(|at| at <= turn.now) {
            self.confirm(turn);
        }
        self.redial(turn);
        self.check_verification(turn);
        self.check_older_build(turn);
    }

    /// Whether [`Peer::check`] may have something to do.
    pub(super) const fn is_active(&self) -> bool {
        self.current.is_some()
            || self.verification.is_some()
            || self.confirm_at.is_some()
            || self.request.is_some()
    }

    fn close_idle(&mut self, turn: &mut Turn<'_>) {
        let second = self.verification.take().map(|verification| verification.connection);
        let connections = self.current.take().into_iter().chain(second);
        turn.out.extend(connections.map(|connection| Action::Close(connection.key)));
    }

    /// Replaces a connection attempt that takes too long.
    fn redial(&mut self, turn: &mut Turn<'_>) {
        let is_late = |at: Instant| at <= turn.now;
        let Some(current) = self.current.filter(|one| one.redial_at().is_some_and(is_late)) else {
            return;
        };
        if self.unconfirmed.is_empty() {
            turn.out.push(Action::Close(current.key));
            self.current = None;
            return;
        }
        let connection = current.redial(turn, &self.address);
        self.current = Some(connection);
        turn.out.push(Action::Unopened);
        self.send_kept(turn, connection.key);
    }

    /// Whether a frame should have been confirmed by now. The time in which this process was paused
    /// does not count.
    fn is_overdue(&self, now: Instant, resumed_at: Instant) -> bool {
        let mut frames = self.unconfirmed.iter();
        frames.any(|frame| self.due_at(frame, resumed_at) <= now)
    }

    /// When a frame has to be confirmed.
    fn due_at(&self, frame: &Kept, resumed_at: Instant) -> Instant {
        let opened_at = self.current.map_or(frame.sent_at, |current| current.opened_at);
        let sent_at = frame.sent_at.max(opened_at).max(resumed_at);
        sent_at + frame.urgency.delay() + self.round_trip.bound()
    }

    /// When [`Peer::check`] or a verification may next have something to do.
    pub(super) fn next_check(&self, resumed_at: Instant) -> Option<Instant> {
        let in_doubt = self.unconfirmed.iter().filter(|_| self.verification.is_none());
        let overdue = in_doubt.map(|frame| self.due_at(frame, resumed_at)).min();
        let overdue = overdue.map(|at| at.max(self.next_verification_at));
        let request = self.request.map(|request| request.answer_at);
        let redial = self.current.and_then(|current| current.redial_at());
        let verification = self.next_verification_check();
        [overdue, request, redial, verification, self.confirm_at].into_iter().flatten().min()
    }

    /// Begins a verification of the current connection if it may have gone silent. Returns whether
    /// one was begun.
    pub(super) fn verify_if_in_doubt(&mut self, turn: &mut Turn<'_>) -> bool {
        if !self.may_verify(turn.now) || self.unconfirmed.is_empty() {
            return false;
        }
        let cause = if self.is_overdue(turn.now, turn.shared.resumed_at) {
            Cause::Silent
        } else if !self.is_proven(turn) {
            Cause::Unverified
        } else {
            return false;
        };
        self.verify(turn, cause);
        true
    }
}
