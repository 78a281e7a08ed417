//! Frames sent to a peer that the peer has not confirmed yet.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;

use super::urgency::Urgency;
use crate::time::Instant;

/// Most bytes of frames that are kept for one peer.
const MAX_BYTES: usize = 256 * 1024;
/// How long a frame is kept. It is longer than the longest regular time to its confirmation; what it
/// carries has been sent again or given up by then.
const MAX_AGE: Duration = Duration::from_secs(4);

/// A frame that is kept until the peer confirms it.
#[derive(Clone, Debug)]
pub(super) struct Kept {
    pub(super) number: u64,
    pub(super) sent_at: Instant,
    pub(super) urgency: Urgency,
    pub(super) bytes: Bytes,
}

/// The frames that are kept for one peer, and the numbers of all.
#[derive(Clone, Debug, Default)]
pub(super) struct Unconfirmed {
    /// Invariant: numbers increase, and all are above `discarded` and at most `last`.
    frames: VecDeque<Kept>,
    bytes: usize,
    /// Number of the last frame that was sent; 0 if none was.
    last: u64,
    /// Highest number that was confirmed or given up.
    discarded: u64,
    /// Highest number that the peer has confirmed.
    confirmed: u64,
}

impl Unconfirmed {
    /// Number of the last frame; 0 if none was sent.
    pub(super) const fn last_number(&self) -> u64 {
        self.last
    }

    /// Highest number that was given up, if the peer does not know that yet; otherwise 0.
    pub(super) const fn given_up(&self) -> u64 {
        if self.discarded > self.confirmed { self.discarded } else { 0 }
    }

    /// Whether the peer has confirmed all frames that were not given up.
    pub(super) fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    /// Keeps a frame, whose number is the next one.
    pub(super) fn keep(&mut self, frame: Kept) {
        self.last = frame.number;
        self.bytes += frame.bytes.len();
        self.frames.push_back(frame);
        while self.bytes > MAX_BYTES {
            self.discard_first();
        }
    }

    /// Removes the frames up to `number`, which the peer has received, and returns the last of them.
    pub(super) fn confirm(&mut self, number: u64) -> Option<Kept> {
        let number = number.min(self.last);
        self.confirmed = self.confirmed.max(number);
        let mut confirmed = None;
        while self.frames.front().is_some_and(|frame| frame.number <= number) {
            confirmed = self.discard_first();
        }
        confirmed
    }

    /// Discards the frames that are too old.
    pub(super) fn expire(&mut self, now: Instant) {
        while self.frames.front().is_some_and(|frame| now.since(frame.sent_at) > MAX_AGE) {
            self.discard_first();
        }
    }

    /// Discards the frames that were sent before a time.
    pub(super) fn discard_sent_before(&mut self, time: Instant) {
        while self.frames.front().is_some_and(|frame| frame.sent_at < time) {
            self.discard_first();
        }
    }

    /// Discards all frames.
    pub(super) fn clear(&mut self) {
        self.frames.clear();
        self.bytes = 0;
        self.discarded = self.last;
    }

    fn discard_first(&mut self) -> Option<Kept> {
        let frame = self.frames.pop_front()?;
        self.bytes -= frame.bytes.len();
        self.discarded = frame.number;
        Some(frame)
    }

    /// When the latest kept frame was sent; `None` if no frame is kept.
    pub(super) fn last_sent_at(&self) -> Option<Instant> {
        self.frames.back().map(|frame| frame.sent_at)
    }

    /// The kept frames, the oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Kept> {
        self.frames.iter()
    }
}
