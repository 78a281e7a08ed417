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
    /// Maximum age of one generation.
    max_age: Duration,
}

impl<T> Default for Recent<T> {
    fn default() -> Self {
        Self::with_max_age(GENERATION_AGE)
    }
}

impl<T> Recent<T> {
    /// A set that keeps members for at least `max_age` and at most twice as long.
    pub(super) fn with_max_age(max_age: Duration) -> Self {
        let (current, previous) = (Set::default(), Set::default());
        Self { current, previous, started: Instant::default(), max_age }
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

    /// Whether a member was added or renewed at most twice the maximum age ago.
    pub(super) fn contains_at(&self, now: Instant, member: &T) -> bool {
        let age = now.since(self.started);
        let is_current = age < self.max_age * 2 && self.current.contains(member);
        is_current || (age < self.max_age && self.previous.contains(member))
    }

    fn rotate(&mut self, now: Instant) {
        let is_old = now.since(self.started) >= self.max_age;
        if !is_old && self.current.len() < GENERATION_SIZE {
            return;
        }
        let replaced = std::mem::take(&mut self.current);
        // After a long time without insertions, the replaced members are too old as well.
        let is_outdated = now.since(self.started) >= self.max_age * 2;
        self.previous = if is_outdated { Set::default() } else { replaced };
        self.started = now;
    }
}
