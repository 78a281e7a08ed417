//! Servers that peers report as failing, overloaded or slow.
//!
//! The entry instance of a sweep names the servers on which each part may run, but makes few of
//! the calls to servers itself. Replies report the servers that fail, shed load or are slow, and
//! the entry instance names other servers if there are any.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;
use crate::eligible::ServerHash;
use crate::time::Instant;

/// Lifetime of a peer's report. An avoided server receives no calls that could show its recovery,
/// so the report has to expire.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// The latest report of servers to avoid, for each service.
#[derive(Debug, Default)]
pub(crate) struct AvoidedServers {
    /// Reports by service, with their time of arrival.
    ///
    /// Invariant: no list of servers is empty.
    reports: Map<Arc<str>, (Instant, Vec<ServerHash>)>,
}

impl AvoidedServers {
    /// Records the report of an instance that called the servers of `service`.
    pub(crate) fn record_report(&mut self, now: Instant, service: &Arc<str>, hashes: &[u32]) {
        if hashes.is_empty() {
            self.reports.remove(service);
            return;
        }
        let hashes = hashes.iter().copied().map(ServerHash).collect();
        self.reports.insert(Arc::clone(service), (now, hashes));
    }

    /// Returns the servers of a service to avoid according to a report that has not expired.
    pub(crate) fn servers(&self, now: Instant, service: &str) -> &[ServerHash] {
        match self.reports.get(service) {
            Some((reported_at, hashes)) if now.since(*reported_at) < REPORT_LIFETIME => hashes,
            _ => &[],
        }
    }

    /// Removes the reports on services for which `is_known` is false.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.reports.retain(|service, _| is_known(service));
    }
}
