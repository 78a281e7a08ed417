//! Maximum of a value over a sliding time window.

use std::time::Duration;

use crate::time::Instant;

/// Minimum time for which a maximum is remembered.
const WINDOW: Duration = Duration::from_secs(4);

/// Maximum of a value over at least the last [`WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Peak {
    /// Start of the window that `recent` covers.
    since: Instant,
    recent: usize,
    /// Maximum of the window before `since`.
    previous: usize,
}

impl Peak {
    /// Adds a value.
    pub(super) fn add(&mut self, now: Instant, value: usize) {
        if now.since(self.since) >= WINDOW {
            self.previous = self.get(now);
            self.recent = 0;
            self.since = now;
        }
        self.recent = self.recent.max(value);
    }

    /// Maximum of the values added within the last [`WINDOW`]. Values up to twice as old may be
    /// included, or up to three times as old if values are added rarely.
    pub(super) fn get(&self, now: Instant) -> usize {
        match now.since(self.since) >= 2 * WINDOW {
            true => 0,
            false if now.since(self.since) >= WINDOW => self.recent,
            false => self.recent.max(self.previous),
        }
    }
}
