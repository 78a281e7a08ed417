//! Meter of the extra arrivals at the servers of a fleet.
//!
//! The meter knows nothing of the instances: it sees which requests callers sent to a service and
//! which requests reached the service's servers. All test drivers judge by it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use displaydoc::Display;

/// Allowance of extra arrivals at the servers of each service, over all instances.
///
/// In every window, at most `ratio` of the requests for the service and `slack` more may arrive
/// beyond the first arrival of each request. The requests are those that callers sent in the
/// window, in the one before it or in the one half a window before it, whichever has most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Extra arrivals for each request.
    pub ratio: f64,
    /// Extra arrivals in each window, whatever the number of requests.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// {service}: {extra} arrivals beyond the first of their request within a window from {start:?}, for {requests} requests; allowed {allowed}
#[derive(Clone, Debug, PartialEq)]
#[derive(Display)]
pub struct Excess {
    /// Name of the service.
    pub service: String,
    /// Start of the window.
    pub start: Duration,
    /// Number of extra arrivals in the window.
    pub extra: usize,
    /// Number of requests that the allowance is computed from.
    pub requests: usize,
    /// Number of extra arrivals allowed.
    pub allowed: f64,
}

/// Requests and arrivals of one service, by time.
#[derive(Clone, Debug, Default)]
struct Service {
    requests: Vec<Duration>,
    arrived: BTreeSet<String>,
    extra: Vec<Duration>,
}

/// Records requests and arrivals in any order of time, and finds windows above the allowance.
#[derive(Clone, Debug)]
pub struct Meter {
    allowance: Allowance,
    services: BTreeMap<String, Service>,
}

impl Meter {
    /// Creates a meter without records.
    pub const fn new(allowance: Allowance) -> Self {
        Self { allowance, services: BTreeMap::new() }
    }

    /// Records that a caller sent a request for a service.
    pub fn record_request(&mut self, service: &str, at: Duration) {
        self.service(service).requests.push(at);
    }

    /// Records that a request reached a server of a service, whether or not the server ran it.
    /// Arrivals of one request have to be recorded in their order.
    pub fn record_arrival(&mut self, service: &str, request: &str, at: Duration) {
        let service = self.service(service);
        if !service.arrived.insert(request.to_owned()) {
            service.extra.push(at);
        }
    }

    /// Number of arrivals beyond the first of their request, over all services.
    pub fn extra_arrivals(&self) -> usize {
        self.services.values().map(|service| service.extra.len()).sum()
    }

    /// The window of each service that exceeds the allowance most, for services with such a window.
    pub fn excesses(&self) -> Vec<Excess> {
        let services = self.services.iter();
        services.filter_map(|(name, service)| self.worst_window(name, service)).collect()
    }

    fn service(&mut self, name: &str) -> &mut Service {
        if !self.services.contains_key(name) {
            self.services.insert(name.to_owned(), Service::default());
        }
        self.services.get_mut(name).expect("the service was inserted")
    }

    /// The number of extra arrivals in a window changes only where one enters or leaves it, so that
    /// windows that start or end with an extra arrival contain the most of them.
    fn worst_window(&self, name: &str, service: &Service) -> Option<Excess> {
        let mut requests = service.requests.clone();
        let mut extra = service.extra.clone();
        requests.sort_unstable();
        extra.sort_unstable();
        let window = self.allowance.window;
        let last_start = |at: &Duration| (*at + Duration::from_nanos(1)).saturating_sub(window);
        let starts = extra.iter().copied().chain(extra.iter().map(last_start));
        let windows = starts.map(|start| self.window(name, &requests, &extra, start));
        let excess = |window: &Excess| window.extra as f64 - window.allowed;
        let exceeding = windows.filter(|window| excess(window) > 0.0);
        exceeding.max_by(|a, b| excess(a).total_cmp(&excess(b)))
    }

    fn window(
        &self,
        name: &str,
        requests: &[Duration],
        extra: &[Duration],
        start: Duration,
    ) -> Excess {
        let window = self.allowance.window;
        let count = |times: &[Duration], start: Duration, end: Duration| {
            times.partition_point(|at| *at < end) - times.partition_point(|at| *at < start)
        };
        let offsets = [Duration::ZERO, window / 2, window];
        let requests = offsets.map(|offset| {
            let end = (start + window).saturating_sub(offset);
            count(requests, start.saturating_sub(offset), end)
        });
        let requests = requests.into_iter().max().unwrap_or_default();
        Excess {
            service: name.to_owned(),
            start,
            extra: count(extra, start, start + window),
            requests,
            allowed: self.allowance.ratio * requests as f64 + self.allowance.slack,
        }
    }
}
