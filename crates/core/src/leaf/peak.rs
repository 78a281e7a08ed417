//! The most of something over the last seconds.

use std::time::Duration;

use crate::time::Instant;

/// How long a peak is remembered, at least.
const SPAN: Duration = Duration::from_secs(4);

/// The most of something over the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Peak {
    /// Since when `recent` counts.
    since: Instant,
    recent: usize,
    /// Of the span before `since`.
    before: usize,
}

impl Peak {
    /// Takes a value in.
    pub(super) fn add(&mut self, now: Instant, value: usize) {
        if now.since(self.since) >= SPAN {
            self.before = self.get(now);
            self.recent = 0;
            self.since = now;
        }
        self.recent = self.recent.max(value);
    }

    /// The greatest value of the last [`SPAN`] at least, and of twice that at most.
    pub(super) fn get(&self, now: Instant) -> usize {
        match now.since(self.since) >= 2 * SPAN {
            true => 0,
            false if now.since(self.since) >= SPAN => self.recent,
            false => self.recent.max(self.before),
        }
    }
}
