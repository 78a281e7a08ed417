//! Links to peers of builds that do not confirm frames.
//!
//! Such a peer acknowledges probes and answers requests. Its connection is replaced if it leaves a
//! probe unanswered, and nothing is sent again, as the peer would take it for something new.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::wire::Frame;

use super::connection::Connection;
use super::peer::{Build, Peer};
use super::shared::Turn;
use super::urgency::Urgency;
use super::{Action, Cause};
use crate::time::Instant;

/// How long a peer may leave a probe unanswered. A peer that was paused for less keeps its
/// connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

impl Peer {
    /// Processes a frame of a peer whose build does not confirm frames.
    pub(super) fn receive_from_older_build(&mut self, turn: &mut Turn<'_>, frame: &Frame) {
        // A peer that confirms frames may send gossip before it has anything to confirm.
        let is_older = Urgency::of(frame).is_some()
            || !frame.acknowledgements.is_empty()
            || frame.replaces_silent;
        if self.build == Build::Confirming || !is_older {
            return;
        }
        self.build = Build::Older;
        if !(frame.acknowledgements.is_empty() && frame.replies.is_empty()) {
            self.unconfirmed.clear();
            self.proven_at = turn.now;
        }
        let is_old =
            |connection: &Connection| turn.now.since(connection.opened_at) >= ANSWER_TIMEOUT;
        if frame.replaces_silent && self.current.as_ref().is_some_and(is_old) {
            self.replace(turn, Cause::Requested);
        }
    }

    /// Replaces the connection to a peer of an older build if it may have gone silent.
    pub(super) fn check_older_build(&mut self, turn: &mut Turn<'_>) {
        if self.build != Build::Older {
            return;
        }
        if let Some(lost) = self.first_lost_probe(turn.now) {
            self.note_silence(turn, lost);
            self.replace(turn, Cause::Silent);
            self.asks_replacement = true;
        } else if !self.is_proven(turn) {
            self.replace(turn, Cause::Unverified);
            self.asks_replacement = true;
        }
    }

    /// When the first probe was sent that the peer has left unanswered for too long.
    fn first_lost_probe(&self, now: Instant) -> Option<Instant> {
        let opened_at = self.current?.opened_at;
        let mut frames = self.unconfirmed.iter();
        let probe = frames.find(|frame| frame.urgency == Urgency::Immediate)?;
        let is_lost = now.since(probe.sent_at.max(opened_at)) >= ANSWER_TIMEOUT;
        is_lost.then_some(probe.sent_at)
    }

    fn replace(&mut self, turn: &mut Turn<'_>, cause: Cause) {
        if let Some(old) = self.current.take() {
            turn.out.push(Action::Close(old.key));
        }
        let first_lost = self.unconfirmed.iter().next().map_or(turn.now, |first| first.sent_at);
        self.unconfirmed.clear();
        self.current_connection(turn);
        let address = Arc::clone(&self.address);
        let silence = turn.now.since(first_lost);
        turn.out.push(Action::Replaced { address, cause, silence, sent_again: 0 });
    }
}
