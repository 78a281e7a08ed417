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
use crate::view::Server;

/// Lifetime of a peer's report. An avoided server receives no calls that could show its recovery,
/// so the report has to expire.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Time for which a server counts as unusable after a peer reported that it could not use it. While
/// all servers of a service count as unusable, sweeps that need it are refused, and nothing shows
/// the recovery of the servers.
const UNUSABLE_LIFETIME: Duration = Duration::from_secs(1);

/// The latest report of servers to avoid, for each service.
#[derive(Debug, Default)]
pub(crate) struct AvoidedServers {
    /// Reports by service, with their time of arrival.
    ///
    /// Invariant: no list of servers is empty.
    reports: Map<Arc<str>, (Instant, Vec<ServerHash>)>,
    /// Servers that peers could not use since the last answer of their service, with the time of
    /// the report.
    ///
    /// Invariant: no list of servers is empty.
    unusable: Map<Arc<str>, Vec<(ServerHash, Instant)>>,
}

impl AvoidedServers {
    /// Records the report of an instance that called the servers of `service`.
    pub(crate) fn record_report(&mut self, now: Instant, service: &Arc<str>, hashes: &[u32]) {
        self.unusable.remove(service);
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

    /// Records that a peer could use none of these servers of `service`.
    pub(crate) fn record_unusable(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        hashes: &[ServerHash],
    ) {
        if hashes.is_empty() {
            return;
        }
        let unusable = self.unusable.entry(Arc::clone(service)).or_default();
        unusable.retain(|(hash, _)| !hashes.contains(hash));
        unusable.extend(hashes.iter().map(|hash| (*hash, now)));
    }

    /// Returns whether a peer reported recently that it could not use a server.
    pub(crate) fn is_unusable(&self, now: Instant, service: &str, server: &Server) -> bool {
        let Some(unusable) = self.unusable.get(service) else {
            return false;
        };
        let hash = ServerHash::of(&server.name);
        let mut recent = unusable.iter().filter(|(_, at)| now.since(*at) < UNUSABLE_LIFETIME);
        recent.any(|(unusable, _)| *unusable == hash)
    }

    /// Removes the reports on services for which `is_known` is false.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.reports.retain(|service, _| is_known(service));
        self.unusable.retain(|service, _| is_known(service));
    }
}
