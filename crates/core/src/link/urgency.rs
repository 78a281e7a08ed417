//! How soon the receiver of a frame confirms it.

use std::time::Duration;

use ladder_schema::wire::Frame;

/// How soon a frame is confirmed. The receiver may wait, because most frames are followed by another
/// one in the opposite direction, which confirms them without a message of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Urgency {
    /// The receiver answers the frame at once.
    Immediate,
    /// The frame carries requests or changes; most requests are answered within this time.
    Prompt,
    /// The frame carries only answers.
    Relaxed,
}

impl Urgency {
    /// Urgency of a frame; `None` if nothing is lost with the frame, as it only carries gossip and
    /// acknowledgements of probes.
    pub(super) fn of(frame: &Frame) -> Option<Self> {
        if !frame.probes.is_empty() {
            return Some(Self::Immediate);
        }
        if has_requests(frame) || has_changes(frame) {
            return Some(Self::Prompt);
        }
        has_answers(frame).then_some(Self::Relaxed)
    }

    /// Longest time from the receipt of a frame to its confirmation.
    pub(super) const fn delay(self) -> Duration {
        match self {
            Self::Immediate => Duration::ZERO,
            Self::Prompt => Duration::from_millis(100),
            Self::Relaxed => Duration::from_secs(2),
        }
    }
}

fn has_requests(frame: &Frame) -> bool {
    !frame.work.is_empty()
        || !frame.reservation_requests.is_empty()
        || !frame.wanted.is_empty()
        || !frame.wanted_parts.is_empty()
        || !frame.details.is_empty()
        || frame.digest.is_some()
}

fn has_changes(frame: &Frame) -> bool {
    !frame.records.is_empty()
        || !frame.departures.is_empty()
        || !frame.crashes.is_empty()
        || !frame.quarantines.is_empty()
}

fn has_answers(frame: &Frame) -> bool {
    !frame.replies.is_empty()
        || !frame.cancels.is_empty()
        || !frame.pending.is_empty()
        || !frame.reservation_replies.is_empty()
        || !frame.members.is_empty()
}
