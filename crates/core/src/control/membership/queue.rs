//! Rumours still to be told.

use std::sync::Arc;

/// Rumours in one frame.
pub(super) const PER_FRAME: usize = 16;
/// Tellings of a rumour, times the binary logarithm of the fleet's size. One telling per doubling
/// would reach everyone if each reached someone new; the factor pays for the overlap and for loss.
const TELLINGS: u32 = 3;

/// Names of members whose state is to be told, with how often it was.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    /// Invariant: each name stands once, the least told first.
    told: Vec<(u32, Arc<str>)>,
}

impl Queue {
    /// Tells the state of a member from now on, as often as a new rumour.
    pub(super) fn push(&mut self, name: &Arc<str>) {
        self.told.retain(|(_, other)| other != name);
        self.told.insert(0, (0, Arc::clone(name)));
    }

    /// Nothing is left to tell.
    pub(super) const fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// Names for one frame in a fleet of this size, counted as told.
    pub(super) fn take(&mut self, fleet: usize) -> Vec<Arc<str>> {
        let most = TELLINGS * (usize::BITS - fleet.leading_zeros());
        let count = self.told.len().min(PER_FRAME);
        let names = self.told[..count].iter().map(|(_, name)| Arc::clone(name)).collect();
        for (told, _) in &mut self.told[..count] {
            *told += 1;
        }
        self.told.retain(|&(told, _)| told < most);
        self.told.sort_by_key(|&(told, _)| told);
        names
    }
}
