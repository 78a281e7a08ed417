//! Status of the leaf machine for operators.

use std::sync::Arc;
use std::time::Duration;

use super::budget::Usage;
use super::exclusion::Exclusion;
use super::machine::Machine;
use super::server;
use super::service::Role;
use crate::time::Instant;

/// Status of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name of the service.
    pub name: Arc<str>,
    /// Role of this instance for the service.
    pub role: Role,
    /// Number of queued portions.
    pub queued: usize,
    /// Number of open calls, including calls whose portion already has a reply.
    pub in_flight: u32,
    /// Median of the service's recent call times.
    pub median: Option<Duration>,
    /// 99th percentile of the service's recent call times.
    pub p99: Option<Duration>,
    /// Call time after which a call is hedged; `None` until enough call times are known.
    pub hedge_delay: Option<Duration>,
    /// Number of whole extra calls left in the service's budget.
    pub budget: u32,
    /// Number of whole extra calls that can be saved up: this instance's share of the fleet's.
    pub max_budget: u32,
    /// Calls that the budget has recorded.
    pub usage: Usage,
    /// Servers of the service.
    pub servers: Vec<Server>,
}

/// Whether a server gets work, and the reason if not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The server gets work.
    Usable,
    /// The server gets less work because it has just started.
    Cold,
    /// The server sheds load and gets no work for a short time.
    Shedding,
    /// The server's calls fail; single trial calls are sent to it.
    Suspect,
    /// The server's calls fail, but so do those of too many other servers: the server still gets
    /// work.
    Tolerated,
    /// Some source reported that the server is leaving.
    Leaving,
    /// The server's availability zone is evacuated.
    Evacuated,
    /// No connection to the server can be opened.
    Unreachable,
    /// The current view doesn't list the server or allows no connection to it.
    Unlisted,
}

/// Status of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Unique name of the server.
    pub name: Arc<str>,
    /// Whether the server gets work, and the reason if not.
    pub state: State,
    /// Number of open calls at the server.
    pub in_flight: u32,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Number of connections to the server, including those being opened.
    pub connections: usize,
    /// Maximum number of connections to the server.
    pub share: u32,
    /// Failure rate of the server's recent calls.
    pub failure_rate: f64,
    /// Mean call time of the server's recent answers; `None` without recent answers.
    pub mean: Option<Duration>,
    /// Age of the server's latest load report; `None` without a report.
    pub report_age: Option<Duration>,
}

impl Machine {
    /// Status of all services, sorted by name.
    pub fn status(&self, now: Instant) -> Vec<Service> {
        let mut services: Vec<Service> =
            self.services.keys().map(|id| self.service_status(id, now)).collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        services
    }

    fn service_status(&self, id: super::service::ServiceId, now: Instant) -> Service {
        let service = &self.services[id];
        let suspects = self.suspects(id);
        let times = service.call_times.all().estimate();
        let servers = service.servers.iter().map(|key| {
            let server = &self.servers[*key];
            server_status(server, suspects.contains(key), times.mean(), now)
        });
        Service {
            name: Arc::clone(&service.name),
            role: service.role,
            queued: service.queue.len(),
            in_flight: service.in_flight,
            median: times.quantile(0.5),
            p99: times.quantile(0.99),
            hedge_delay: service.call_times.all().slow(),
            budget: service.budget.clone().refill(now).calls(),
            max_budget: service.budget.max_calls(),
            usage: service.budget.usage(),
            servers: servers.collect(),
        }
    }
}

fn server_status(
    server: &server::Server,
    is_held_back: bool,
    usual: Option<Duration>,
    now: Instant,
) -> Server {
    Server {
        name: Arc::clone(&server.name),
        state: state(server, is_held_back, now),
        in_flight: server.in_flight,
        slots: server.slots,
        connections: server.connections.len(),
        share: server.share,
        failure_rate: server.health.failure_rate(now),
        mean: server
            .health
            .relative_call_time(now)
            .zip(usual)
            .map(|(relative, usual)| usual.mul_f64(relative)),
        report_age: server.report_age(now),
    }
}

fn state(server: &server::Server, is_held_back: bool, now: Instant) -> State {
    match server.exclusion(false) {
        Some(Exclusion::Leaving) => return State::Leaving,
        Some(Exclusion::Evacuated) => return State::Evacuated,
        Some(Exclusion::Unlisted | Exclusion::NoShare | Exclusion::Warming) => {
            return State::Unlisted;
        }
        None => {}
    }
    if server.open_failures > 0 && server.in_flight == 0 {
        return State::Unreachable;
    }
    if server.health.suspect() {
        return if is_held_back { State::Suspect } else { State::Tolerated };
    }
    if now < server.health.shed_until() {
        return State::Shedding;
    }
    if server.is_cold(now) {
        return State::Cold;
    }
    State::Usable
}
