//! State of one server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ladder_core::collections::Map;
use ladder_schema::outcome::Reason;
use ladder_schema::publication::{self, Holding};
use ladder_schema::standin::{Fault, Ledger, Target};
use ladder_schema::target::{Load, Request};
use tokio::sync::{Notify, Semaphore, watch};

use super::executions::{Executions, Filter};
use super::service::Clock;

/// How many times slower a cold server is.
const COLD_FACTOR: f64 = 3.0;

/// One server; shared by the threads.
pub(super) struct Server {
    settings: Target,
    server: publication::Server,
    /// Free slots; waiters get them in order of arrival.
    pub(super) slots: Semaphore,
    /// Whether the server is dead; ends its connections.
    dead: watch::Sender<bool>,
    state: Mutex<State>,
}

/// What changes while it serves.
pub(super) struct State {
    pub(super) fault: Fault,
    pub(super) clock: Clock,
    pub(super) executions: Executions,
    /// Signals that cancel the open requests, by identifier.
    pub(super) open: Map<String, Arc<Notify>>,
    pub(super) waiting: u32,
    pub(super) in_service: u32,
    pub(super) calls: u64,
    pub(super) busy: Duration,
    /// Invariant: at most the limit of the settings.
    connections: u32,
    peak_connections: u32,
    refused_connections: u32,
    incarnation: u64,
    cold_until: Instant,
}

/// An accepted connection; gives its place back when dropped.
pub(super) struct Connection {
    server: Arc<Server>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.server.state().connections -= 1;
    }
}

impl Server {
    /// A server of checked settings.
    pub(super) fn new(settings: Target, seed: u64) -> Self {
        let server = settings.server.clone().unwrap_or_default();
        let state = State {
            fault: Fault::default(),
            clock: Clock::new(&settings, seed),
            executions: Executions::default(),
            open: Map::default(),
            waiting: 0,
            in_service: 0,
            calls: 0,
            busy: Duration::ZERO,
            connections: 0,
            peak_connections: 0,
            refused_connections: 0,
            incarnation: server.incarnation,
            cold_until: cold_until(&settings),
        };
        Self {
            slots: Semaphore::new(server.slots as usize),
            dead: watch::Sender::new(false),
            state: Mutex::new(state),
            settings,
            server,
        }
    }

    pub(super) fn name(&self) -> &str {
        &self.server.name
    }

    pub(super) fn address(&self) -> &str {
        &self.server.address
    }

    pub(super) fn settings(&self) -> &Target {
        &self.settings
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a place for a new connection; none when the server is dead or has no place left.
    pub(super) fn connect(self: &Arc<Self>) -> Option<Connection> {
        let mut state = self.state();
        if state.fault.dead {
            return None;
        }
        if state.connections >= self.server.connections {
            state.refused_connections += 1;
            return None;
        }
        state.connections += 1;
        state.peak_connections = state.peak_connections.max(state.connections);
        let server = Arc::clone(self);
        Some(Connection { server })
    }

    /// Returns once the server is dead.
    pub(super) async fn died(&self) {
        let mut dead = self.dead.subscribe();
        let _ = dead.wait_for(|dead| *dead).await;
    }

    /// Replaces the faults in force. A dead server that comes back is a new incarnation and cold.
    pub(super) fn set_fault(&self, fault: Fault) {
        let mut state = self.state();
        if state.fault.dead && !fault.dead {
            state.incarnation += 1;
            state.cold_until = cold_until(&self.settings);
        }
        self.dead.send_replace(fault.dead);
        state.fault = fault;
    }

    /// How long the server is gone when it begins to run such a request; `None`: it runs it.
    pub(super) fn ends_at(&self, request: &Request) -> Option<Duration> {
        let fault = &self.state().fault;
        let ends = !fault.ends_at.is_empty() && fault.ends_at == request.payload;
        ends.then(|| Duration::from_millis(fault.down_ms.into()))
    }

    /// Ends, and starts again later with the same faults.
    pub(super) fn end_for(self: &Arc<Self>, down: Duration) {
        let fault = self.state().fault.clone();
        self.set_fault(Fault { dead: true, ..fault.clone() });
        let server = Arc::clone(self);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(down).await;
            server.set_fault(Fault { dead: false, ..fault });
        });
    }

    /// Why the server takes no such request in its present state.
    pub(super) fn refusal(&self, request: &Request) -> Option<Reason> {
        let state = self.state();
        if state.fault.shedding {
            return Some(Reason::TargetShed);
        }
        if self.leaving(&state) {
            return Some(Reason::TargetLeaving);
        }
        let mut holdings = self.holdings(&state).iter();
        let held = holdings
            .any(|holding| holding.index == request.index && holding.version == request.version);
        (!held).then_some(Reason::VersionRetired)
    }

    /// How many times slower than usual it is now.
    pub(super) fn slowdown(&self, state: &State) -> f64 {
        let slowdown = f64::from(state.fault.slowdown.max(1));
        if Instant::now() < state.cold_until {
            return slowdown * COLD_FACTOR;
        }
        slowdown
    }

    /// What it reports; an idle server while it is to lie or fails fast.
    pub(super) fn load(&self) -> Load {
        let state = self.state();
        let idle = state.fault.lying || state.fault.failing;
        Load {
            in_service: if idle { 0 } else { state.in_service },
            queued: if idle { 0 } else { state.waiting },
            leaving: !state.fault.lying && self.leaving(&state),
            cold: !idle && Instant::now() < state.cold_until,
            incarnation: state.incarnation,
            holdings: self.holdings(&state).to_vec(),
        }
    }

    /// Whether it reports itself fit for work.
    pub(super) fn healthy(&self) -> bool {
        let state = self.state();
        state.fault.lying || !self.leaving(&state)
    }

    /// What happened since the start.
    pub(super) fn ledger(&self, filter: &Filter) -> Ledger {
        let state = self.state();
        Ledger {
            executions: state.executions.list(&self.server.name, filter),
            peak_connections: state.peak_connections,
            refused_connections: state.refused_connections,
            calls: state.calls,
            busy_us: u64::try_from(state.busy.as_micros()).unwrap_or(u64::MAX),
        }
    }

    fn leaving(&self, state: &State) -> bool {
        state.fault.leaving || self.server.state() == publication::State::Leaving
    }

    fn holdings<'a>(&'a self, state: &'a State) -> &'a [Holding] {
        if state.fault.holdings.is_empty() {
            return &self.server.holdings;
        }
        &state.fault.holdings
    }
}

fn cold_until(settings: &Target) -> Instant {
    Instant::now() + Duration::from_millis(settings.cold_ms.into())
}
