//! Servers that peers report as failing or slow.
//!
//! The instance that a sweep came to names the servers that each part may run on, but makes few of the calls
//! itself. Replies report which servers fail, shed or are slow, and others are named where there are some.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;
use crate::eligible::Mark;
use crate::time::Instant;

/// How long a report counts: a server that is avoided shows nothing new.
const FRESH: Duration = Duration::from_secs(2);

/// The last report on each service.
#[derive(Debug, Default)]
pub(crate) struct Avoid {
    /// Invariant: no list is empty.
    reports: Map<Arc<str>, (Instant, Vec<Mark>)>,
}

impl Avoid {
    /// Records the report of an instance that called the service's servers.
    pub(crate) fn report(&mut self, now: Instant, service: &Arc<str>, marks: &[u32]) {
        if marks.is_empty() {
            self.reports.remove(service);
            return;
        }
        let marks = marks.iter().copied().map(Mark).collect();
        self.reports.insert(Arc::clone(service), (now, marks));
    }

    /// The servers of a service to avoid.
    pub(crate) fn of(&self, now: Instant, service: &str) -> &[Mark] {
        match self.reports.get(service) {
            Some((at, marks)) if now.since(*at) < FRESH => marks,
            _ => &[],
        }
    }

    /// Forgets services that are gone.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.reports.retain(|service, _| is_known(service));
    }
}
