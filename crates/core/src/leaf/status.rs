//! What operators may see of the machine.

use std::sync::Arc;
use std::time::Duration;

use super::exclusion::Exclusion;
use super::machine::Machine;
use super::server;
use super::service::Rank;
use crate::time::Instant;

/// State of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// What this instance is to it.
    pub rank: Rank,
    /// Portions that wait.
    pub queued: usize,
    /// Open calls, also those whose portion was replied to.
    pub in_flight: u32,
    /// Median of recent call times.
    pub median: Option<Duration>,
    /// 99th percentile of recent call times.
    pub p99: Option<Duration>,
    /// Call time after which a second copy is due, once it is learned.
    pub hedge_delay: Option<Duration>,
    /// Whole extra calls saved up.
    pub budget: u32,
    /// Its servers.
    pub servers: Vec<Server>,
}

/// Whether a server gets work, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It gets work.
    Usable,
    /// It gets less work: it has just started.
    Cold,
    /// It sheds load and is left alone for a moment.
    Shedding,
    /// Its calls fail; it is tried with single calls.
    Suspect,
    /// Its calls fail, but so do those of too many others: it gets work.
    Tolerated,
    /// Some source says that it leaves.
    Leaving,
    /// Its availability zone is evacuated.
    Evacuated,
    /// No connection to it can be opened.
    Unreachable,
    /// The view lists it no more or allows no connection.
    Unlisted,
}

/// State of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Unique name.
    pub name: Arc<str>,
    /// Whether it gets work, and why not.
    pub state: State,
    /// Open calls.
    pub in_flight: u32,
    /// Requests it works on at once.
    pub slots: u32,
    /// Connections, also those being opened.
    pub connections: usize,
    /// Connections allowed.
    pub share: u32,
    /// Failure rate of recent calls.
    pub failure_rate: f64,
    /// Mean call time of recent answers, `None` without any.
    pub mean: Option<Duration>,
    /// Age of its last load report.
    pub report_age: Option<Duration>,
}

impl Machine {
    /// State of all services, in order of name.
    pub fn status(&self, now: Instant) -> Vec<Service> {
        let mut services: Vec<Service> =
            self.services.keys().map(|id| self.service_status(id, now)).collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        services
    }

    fn service_status(&self, id: super::service::ServiceId, now: Instant) -> Service {
        let service = &self.services[id];
        let suspects = self.suspects(id);
        let times = service.kinds.all().estimate();
        let servers = service.servers.iter().map(|key| {
            let server = &self.servers[*key];
            server_status(server, suspects.contains(key), times.mean(), now)
        });
        Service {
            name: Arc::clone(&service.name),
            rank: service.rank,
            queued: service.queue.len(),
            in_flight: service.in_flight,
            median: times.quantile(0.5),
            p99: times.quantile(0.99),
            hedge_delay: service.kinds.all().slow(),
            budget: service.budget.calls(),
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
        connections: server.lanes.len(),
        share: server.share,
        failure_rate: server.health.failure_rate(now),
        mean: server.health.pace(now).zip(usual).map(|(pace, usual)| usual.mul_f64(pace)),
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
    if server.cold(now) {
        return State::Cold;
    }
    State::Usable
}
