//! Circuit breaker of a server after a call has lost its connection, or after a connection was
//! refused.
//!
//! If the server's process has terminated, all of its connections have ended, but the ends are
//! reported one after the other, in up to some hundred milliseconds. Each call on one of the
//! remaining connections would be lost as well, and the retries of all these calls would exceed the
//! budget of the service. A connection that opens meanwhile proves nothing: the server may have
//! accepted it before its process terminated.

use std::time::Duration;

use super::attempt::Attempt;
use super::connection::{Connection, State};
use super::event::{AttemptKey, ConnectionKey};
use super::machine::Machine;
use super::portion::PortionKey;
use super::server::ServerKey;
use super::service::ServiceId;
use crate::time::Instant;

/// First pause after a lost call.
const MIN_PAUSE: Duration = Duration::from_millis(5);
/// Longest pause after lost calls; each trial call that is lost doubles the pause.
const MAX_PAUSE: Duration = Duration::from_millis(80);
/// Pause after a refused connection, as no process listens at the server's address, and while the
/// loss of a trial call could not be made up for.
const LONG_PAUSE: Duration = Duration::from_secs(1);
/// A connection that has stayed open for this time since it was opened after the break, or since a
/// call was sent on it, works.
const PROVING_TIME: Duration = Duration::from_millis(250);

/// Whether a server may get calls after one of its connections broke.
///
/// After a pause one call at a time is admitted (half-open) until a response shows that the server's
/// process still runs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Breaker(Option<Open>);

#[derive(Clone, Copy, Debug)]
struct Open {
    /// When the latest connection broke or was refused.
    since: Instant,
    pause: Duration,
    /// Latest call since then.
    trial: Option<Trial>,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    call: AttemptKey,
    sent: Instant,
}

impl Breaker {
    /// Whether a connection has broken or was refused, and nothing has shown since that the server
    /// still runs.
    pub(super) const fn is_open(&self) -> bool {
        self.0.is_some()
    }

    /// Records that a call has lost its connection. `is_only`: no other call was open at the
    /// server. Returns when the next call is admitted, if its loss can be made up for and if not.
    pub(super) fn trip(&mut self, now: Instant, lost: AttemptKey, is_only: bool) -> [Instant; 2] {
        let pause = match self.0 {
            None if is_only => Duration::ZERO,
            None => MIN_PAUSE,
            Some(open) if open.trial.is_some_and(|trial| trial.call == lost) => {
                (open.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE).max(open.pause)
            }
            Some(open) => open.pause,
        };
        let trial = self.0.and_then(|open| open.trial);
        self.0 = Some(Open { since: now, pause, trial });
        [now + pause, now + LONG_PAUSE]
    }

    /// Records that the server has refused a connection. Returns when the next call is admitted.
    pub(super) fn refuse(&mut self, now: Instant) -> Instant {
        self.0 = Some(Open { since: now, pause: LONG_PAUSE, trial: None });
        now + LONG_PAUSE
    }

    /// Records that the server has responded.
    pub(super) const fn close(&mut self) {
        self.0 = None;
    }

    /// Whether a call may use a connection. `may_lose`: the loss of a trial call can be made up for.
    /// `is_open` returns whether an earlier call is still open.
    pub(super) fn admits(
        &self,
        now: Instant,
        connection: &Connection,
        may_lose: bool,
        is_open: impl Fn(AttemptKey) -> bool,
    ) -> bool {
        let Some(open) = self.0 else {
            return true;
        };
        let is_proven = !connection.in_doubt && now >= connection.since + PROVING_TIME;
        if is_proven && may_lose {
            return true;
        }
        let pause = match (may_lose, connection.in_doubt) {
            (true, false) => Duration::ZERO,
            (true, true) => open.pause,
            (false, _) => LONG_PAUSE,
        };
        let keeps_back = |trial: Trial| is_open(trial.call) && now < trial.sent + PROVING_TIME;
        now >= open.since + pause && !open.trial.is_some_and(keeps_back)
    }

    /// Records that a call was sent. Returns when the next one is admitted at the latest.
    pub(super) fn call_sent(&mut self, now: Instant, call: AttemptKey) -> Option<Instant> {
        let open = self.0.as_mut()?;
        open.trial = Some(Trial { call, sent: now });
        Some(now + PROVING_TIME)
    }

    /// Records that a connection has opened. Returns when it counts as working, if the breaker is
    /// open.
    pub(super) fn connection_opened(&self, now: Instant) -> Option<Instant> {
        self.0.map(|_| now + PROVING_TIME)
    }
}

impl Machine {
    /// Records that a call has lost its connection to a server.
    pub(super) fn connection_broke(&mut self, key: AttemptKey, attempt: &Attempt) {
        self.doubt_connections(attempt.server);
        let server = &mut self.servers[attempt.server];
        let is_only = server.in_flight == 0;
        for next_call_at in server.breaker.trip(self.now, key, is_only) {
            self.schedule_dispatch(attempt.service, next_call_at);
        }
    }

    /// Records that a server has refused a connection.
    pub(super) fn connection_was_refused(&mut self, key: ServerKey) {
        self.doubt_connections(key);
        let next_call_at = self.servers[key].breaker.refuse(self.now);
        self.schedule_dispatch(self.servers[key].service, next_call_at);
    }

    /// Records a call to a server, which may be on trial.
    pub(super) fn record_trial(&mut self, key: ServerKey, call: AttemptKey) {
        let server = &mut self.servers[key];
        let service = server.service;
        if let Some(next_call_at) = server.breaker.call_sent(self.now, call) {
            self.schedule_dispatch(service, next_call_at);
        }
    }

    /// Records that a connection to a server has opened.
    pub(super) fn breaker_connection_opened(&mut self, key: ServerKey) {
        let server = &self.servers[key];
        let service = server.service;
        if let Some(works_at) = server.breaker.connection_opened(self.now) {
            self.schedule_dispatch(service, works_at);
        }
    }

    /// Marks the open connections to a server, one of which has broken or was refused.
    fn doubt_connections(&mut self, key: ServerKey) {
        for connection in &self.servers[key].connections {
            let connection = &mut self.connections[*connection];
            connection.in_doubt |= connection.state != State::Opening;
        }
    }

    /// Whether the server's breaker admits a call on a connection. A single message that has lost a
    /// call is sent at once: it has waited for other servers already.
    pub(super) fn admits_call(&self, key: PortionKey, connection: ConnectionKey) -> bool {
        let connection = &self.connections[connection];
        let server = &self.servers[connection.server];
        if !server.breaker.is_open() {
            return true;
        }
        let may_lose =
            self.affords_trial(server.service) || !self.has_server_with_closed_breaker(key);
        let is_open = |attempt| self.attempts.contains_key(attempt);
        server.breaker.admits(self.now, connection, may_lose, is_open)
            || self.portions[key].is_single() && self.portions[key].may_have_run
    }

    /// Whether the service could retry a trial call and all open calls that may be lost before it.
    fn affords_trial(&self, id: ServiceId) -> bool {
        let service = &self.services[id];
        let servers = service.servers.iter().map(|key| &self.servers[*key]);
        let doubtful = servers.filter(|server| server.breaker.is_open());
        let open_calls = doubtful.flat_map(|server| self.open_calls(server));
        let at_risk = open_calls.filter(|call| call.portion.is_some()).count();
        service.budget.affords_retries(at_risk + 1)
    }

    /// Whether a portion has a server that works as far as is known, so that it can wait for that one.
    fn has_server_with_closed_breaker(&self, key: PortionKey) -> bool {
        let mut servers = self.services[self.portions[key].service].servers.iter();
        servers.any(|candidate| {
            let server = &self.servers[*candidate];
            let is_working = !server.breaker.is_open() && server.accepts_work();
            is_working && !server.connections.is_empty() && self.is_eligible_for(key, *candidate)
        })
    }
}
