//! A bounded set of what was seen lately.

use std::hash::Hash;
use std::time::Duration;

use crate::collections::Set;
use crate::time::Instant;

/// Members of one generation; two are kept.
const GENERATION: usize = 32_768;
/// Age of one generation. Two cover the longest deadline.
const AGE: Duration = Duration::from_secs(60);

/// What was seen lately: at least the last 32,768 members of the last minute.
#[derive(Clone, Debug)]
pub(super) struct Recent<T> {
    current: Set<T>,
    previous: Set<T>,
    started: Instant,
}

impl<T> Default for Recent<T> {
    fn default() -> Self {
        Self { current: Set::default(), previous: Set::default(), started: Instant::default() }
    }
}

impl<T: Eq + Hash> Recent<T> {
    /// Adds a member, or renews it; `false` when it was there.
    pub(super) fn insert(&mut self, now: Instant, member: T) -> bool {
        self.rotate(now);
        let known = self.previous.contains(&member);
        self.current.insert(member) && !known
    }

    pub(super) fn contains(&self, member: &T) -> bool {
        self.current.contains(member) || self.previous.contains(member)
    }

    fn rotate(&mut self, now: Instant) {
        let old = now.since(self.started) >= AGE;
        if !old && self.current.len() < GENERATION {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        self.started = now;
    }
}
