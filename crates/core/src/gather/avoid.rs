//! Servers that those who ask them would rather avoid.
//!
//! The instance that a sweep came to names the servers that each part may run on, but sees no calls. Those
//! who make them tell it which servers fail, shed or are slow, and it names others where there are some.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;
use crate::eligible::Mark;
use crate::time::Instant;

/// How long such a word counts: a server that is avoided shows nothing new.
const FRESH: Duration = Duration::from_secs(2);

/// What was last told of each service.
#[derive(Debug, Default)]
pub(crate) struct Avoid {
    /// Invariant: no list is empty.
    told: Map<Arc<str>, (Instant, Vec<Mark>)>,
}

impl Avoid {
    /// Takes in what an instance that called the service's servers says of them.
    pub(crate) fn heard(&mut self, now: Instant, service: &Arc<str>, marks: &[u32]) {
        if marks.is_empty() {
            self.told.remove(service);
            return;
        }
        let marks = marks.iter().copied().map(Mark).collect();
        self.told.insert(Arc::clone(service), (now, marks));
    }

    /// The servers of a service to avoid.
    pub(crate) fn of(&self, now: Instant, service: &str) -> &[Mark] {
        match self.told.get(service) {
            Some((at, marks)) if now.since(*at) < FRESH => marks,
            _ => &[],
        }
    }

    /// Forgets services that are gone.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.told.retain(|service, _| is_known(service));
    }
}
