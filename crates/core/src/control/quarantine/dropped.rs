//! Crashes that were dropped for lack of room.

use std::collections::VecDeque;

use super::Incarnation;
use crate::collections::Set;

/// Maximum number of crashes remembered as dropped.
const MAX_DROPPED: usize = 1024;

/// Incarnations whose crashes were dropped for lack of room, and replace no others.
///
/// An instance dates a crash by the age that a peer reports, which does not include the time on the
/// way. A crash that came back would be dated later each time, and so replace another one.
#[derive(Clone, Debug, Default)]
pub(super) struct Dropped {
    /// Invariant: the same incarnations as in `known`, each once, the oldest first.
    order: VecDeque<Incarnation>,
    known: Set<Incarnation>,
}

impl Dropped {
    pub(super) fn contains(&self, incarnation: &Incarnation) -> bool {
        self.known.contains(incarnation)
    }

    pub(super) fn add(&mut self, incarnation: Incarnation) {
        if !self.known.insert(incarnation.clone()) {
            return;
        }
        self.order.push_back(incarnation);
        if self.order.len() > MAX_DROPPED
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}
