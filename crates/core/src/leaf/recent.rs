//! A set of recently added members, bounded in size and age.

use std::hash::Hash;
use std::time::Duration;

use crate::collections::Set;
use crate::time::Instant;

/// Maximum number of members of one generation; two generations are kept.
const GENERATION_SIZE: usize = 32_768;
/// Maximum age of one generation. Two generations cover the longest deadline.
const GENERATION_AGE: Duration = Duration::from_secs(60);

/// Set of recently added members: keeps at least the last 32,768 members of the last minute.
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
    /// Adds or renews a member; returns `false` if the set already contained the member.
    pub(super) fn insert(&mut self, now: Instant, member: T) -> bool {
        self.rotate(now);
        let was_known = self.previous.contains(&member);
        self.current.insert(member) && !was_known
    }

    pub(super) fn contains(&self, member: &T) -> bool {
        self.current.contains(member) || self.previous.contains(member)
    }

    fn rotate(&mut self, now: Instant) {
        let is_old = now.since(self.started) >= GENERATION_AGE;
        if !is_old && self.current.len() < GENERATION_SIZE {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        self.started = now;
    }
}
