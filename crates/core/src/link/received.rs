//! Numbers of the frames received from a peer.

use std::collections::BTreeSet;

/// Most numbers above a gap that are kept; a gap below them is then given up.
const MAX_AHEAD: usize = 1024;

/// Which of a peer's numbered frames have been received.
#[derive(Clone, Debug, Default)]
pub(super) struct Received {
    /// All frames up to this number have been received or will not come.
    until: u64,
    /// Numbers above `until` that have been received.
    ///
    /// Invariant: does not contain `until + 1`.
    ahead: BTreeSet<u64>,
}

impl Received {
    /// State of a receiver whose first frame has the number `first`.
    pub(super) const fn starting_with(first: u64) -> Self {
        Self { until: first.saturating_sub(1), ahead: BTreeSet::new() }
    }

    /// All frames up to this number have been received or will not come.
    pub(super) const fn until(&self) -> u64 {
        self.until
    }

    /// Notes a frame and that the sender has given up those up to `discarded`. Returns whether the
    /// frame was received for the first time.
    pub(super) fn note(&mut self, number: u64, discarded: u64) -> bool {
        let is_new = number > self.until && self.ahead.insert(number);
        self.until = self.until.max(discarded);
        if self.ahead.len() > MAX_AHEAD {
            self.until = self.ahead.first().copied().unwrap_or(self.until).max(self.until);
        }
        self.close_gap();
        is_new
    }

    fn close_gap(&mut self) {
        while let Some(&next) = self.ahead.first().filter(|&&next| next <= self.until + 1) {
            self.ahead.remove(&next);
            self.until = self.until.max(next);
        }
    }
}
