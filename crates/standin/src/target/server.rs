//! State of one stand-in server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ladder_core::collections::Map;
use ladder_schema::outcome::Reason;
use ladder_schema::publication::{self, Holding};
use ladder_schema::standin::{Fault, Ledger, Target};
use ladder_schema::target::{Load, Request};
use tokio::sync::{Notify, Semaphore, watch};

use super::executions::{Executions, Filter};
use super::service::ServiceTimes;

/// Factor by which the service times of a cold server (shortly after its start) are multiplied.
const COLD_FACTOR: f64 = 3.0;

/// One stand-in server; shared by all worker threads.
pub(super) struct Server {
    settings: Target,
    record: publication::Server,
    /// Free slots of the server; waiting requests get them in order of arrival.
    pub(super) slots: Semaphore,
    /// Whether a fault makes the server dead; a change to `true` closes its connections.
    is_dead: watch::Sender<bool>,
    state: Mutex<ServerState>,
}

/// Mutable state of a stand-in server.
pub(super) struct ServerState {
    pub(super) fault: Fault,
    pub(super) service_times: ServiceTimes,
    pub(super) executions: Executions,
    /// Signals that cancel the open (queued or running) requests, by request identifier.
    pub(super) cancel_signals: Map<String, Arc<Notify>>,
    pub(super) queued: u32,
    pub(super) in_service: u32,
    pub(super) calls: u64,
    pub(super) busy_time: Duration,
    /// Number of open connections.
    ///
    /// Invariant: at most the connection limit in the settings.
    connections: u32,
    peak_connections: u32,
    refused_connections: u32,
    incarnation: u64,
    cold_until: Instant,
}

/// Accepted connection; reduces the server's number of open connections when dropped.
pub(super) struct Connection {
    server: Arc<Server>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.server.state().connections -= 1;
    }
}

impl Server {
    /// Creates a server from settings that have been checked.
    pub(super) fn new(settings: Target, seed: u64) -> Self {
        let record = settings.server.clone().unwrap_or_default();
        let state = ServerState {
            fault: Fault::default(),
            service_times: ServiceTimes::new(&settings, seed),
            executions: Executions::default(),
            cancel_signals: Map::default(),
            queued: 0,
            in_service: 0,
            calls: 0,
            busy_time: Duration::ZERO,
            connections: 0,
            peak_connections: 0,
            refused_connections: 0,
            incarnation: record.incarnation,
            cold_until: cold_end(&settings),
        };
        Self {
            slots: Semaphore::new(record.slots as usize),
            is_dead: watch::Sender::new(false),
            state: Mutex::new(state),
            settings,
            record,
        }
    }

    pub(super) fn name(&self) -> &str {
        &self.record.name
    }

    pub(super) fn address(&self) -> &str {
        &self.record.address
    }

    pub(super) fn settings(&self) -> &Target {
        &self.settings
    }

    pub(super) fn state(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts a new connection. Returns `None` when the server is dead or at its connection limit.
    pub(super) fn accept_connection(self: &Arc<Self>) -> Option<Connection> {
        let mut state = self.state();
        if state.fault.dead {
            return None;
        }
        if state.connections >= self.record.connections {
            state.refused_connections += 1;
            return None;
        }
        state.connections += 1;
        state.peak_connections = state.peak_connections.max(state.connections);
        let server = Arc::clone(self);
        Some(Connection { server })
    }

    /// Waits until a fault makes the server dead.
    pub(super) async fn wait_until_dead(&self) {
        let mut is_dead = self.is_dead.subscribe();
        let _ = is_dead.wait_for(|dead| *dead).await;
    }

    /// Replaces the active faults. When a dead server becomes alive again, it has a new incarnation
    /// and is cold.
    pub(super) fn set_fault(&self, fault: Fault) {
        let mut state = self.state();
        if state.fault.dead && !fault.dead {
            state.incarnation += 1;
            state.cold_until = cold_end(&self.settings);
        }
        self.is_dead.send_replace(fault.dead);
        state.fault = fault;
    }

    /// Returns how long the server is down if executing this request crashes it, or `None` if it
    /// does not.
    pub(super) fn crash_duration(&self, request: &Request) -> Option<Duration> {
        let fault = &self.state().fault;
        let crashes = !fault.ends_at.is_empty() && fault.ends_at == request.payload;
        crashes.then(|| Duration::from_millis(fault.down_ms.into()))
    }

    /// Crashes the server and starts it again after `down`, with the same faults.
    pub(super) fn crash_for(self: &Arc<Self>, down: Duration) {
        let fault = self.state().fault.clone();
        self.set_fault(Fault { dead: true, ..fault.clone() });
        let server = Arc::clone(self);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(down).await;
            server.set_fault(Fault { dead: false, ..fault });
        });
    }

    /// Returns the reason for which the server refuses the request in its current state, or `None`
    /// if it accepts the request.
    pub(super) fn refusal_reason(&self, request: &Request) -> Option<Reason> {
        let state = self.state();
        if state.fault.shedding {
            return Some(Reason::TargetShed);
        }
        if self.is_leaving(&state) {
            return Some(Reason::TargetLeaving);
        }
        let mut holdings = self.served_holdings(&state).iter();
        let is_served = holdings
            .any(|holding| holding.index == request.index && holding.version == request.version);
        (!is_served).then_some(Reason::VersionRetired)
    }

    /// Returns the factor by which the server's service times are currently longer than usual.
    pub(super) fn slowdown(&self, state: &ServerState) -> f64 {
        let slowdown = f64::from(state.fault.slowdown.max(1));
        if Instant::now() < state.cold_until {
            return slowdown * COLD_FACTOR;
        }
        slowdown
    }

    /// Returns the load that the server reports. Under the faults `lying` and `failing` it reports
    /// an idle server.
    pub(super) fn load(&self) -> Load {
        let state = self.state();
        let reports_idle = state.fault.lying || state.fault.failing;
        Load {
            in_service: if reports_idle { 0 } else { state.in_service },
            queued: if reports_idle { 0 } else { state.queued },
            leaving: !state.fault.lying && self.is_leaving(&state),
            cold: !reports_idle && Instant::now() < state.cold_until,
            incarnation: state.incarnation,
            holdings: self.served_holdings(&state).to_vec(),
        }
    }

    /// Returns whether the server reports itself healthy.
    pub(super) fn reports_healthy(&self) -> bool {
        let state = self.state();
        state.fault.lying || !self.is_leaving(&state)
    }

    /// Returns the executions that match `filter` and the counters since the start of the process.
    pub(super) fn ledger(&self, filter: &Filter) -> Ledger {
        let state = self.state();
        Ledger {
            executions: state.executions.list(&self.record.name, filter),
            peak_connections: state.peak_connections,
            refused_connections: state.refused_connections,
            calls: state.calls,
            busy_us: u64::try_from(state.busy_time.as_micros()).unwrap_or(u64::MAX),
        }
    }

    fn is_leaving(&self, state: &ServerState) -> bool {
        state.fault.leaving || self.record.state() == publication::State::Leaving
    }

    fn served_holdings<'a>(&'a self, state: &'a ServerState) -> &'a [Holding] {
        if state.fault.holdings.is_empty() {
            return &self.record.holdings;
        }
        &state.fault.holdings
    }
}

fn cold_end(settings: &Target) -> Instant {
    Instant::now() + Duration::from_millis(settings.cold_ms.into())
}
