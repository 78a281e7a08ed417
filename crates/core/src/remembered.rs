//! Lists of instances that shrink only some time after the instances were last known.
//!
//! An instance that sends nothing may have ended, or it may be behind a network partition and
//! still use its part of what the fleet shares. If the others divided that part among themselves at
//! once, both sides of the partition would use it.

use std::sync::Arc;
use std::time::Duration;

use crate::time::Instant;

/// Time for which instances count that are not known any more.
pub(crate) const MEMORY: Duration = Duration::from_secs(600);

/// The largest list of instances that was known within [`MEMORY`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Instances {
    names: Vec<Arc<str>>,
    /// Since when fewer instances are known than listed; `None` while the list is current.
    smaller_since: Option<Instant>,
}

impl Instances {
    /// Takes over the instances known now, unless a larger list is remembered. Returns whether the
    /// list has changed.
    pub(crate) fn observe(&mut self, now: Instant, names: Vec<Arc<str>>) -> bool {
        if names.len() < self.names.len() {
            let since = *self.smaller_since.get_or_insert(now);
            if now.since(since) < MEMORY {
                return false;
            }
        }
        self.smaller_since = None;
        let differs = names != self.names;
        self.names = names;
        differs
    }

    /// Names of the instances, in the order in which they were passed.
    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(|name| &**name)
    }

    /// Number of instances.
    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }
}
