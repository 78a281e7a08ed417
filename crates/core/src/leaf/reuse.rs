//! Selects connections for calls: none that carried a call of the same portion, and none that may
//! have broken with another one.
//!
//! Servers identify a request by the id that its caller gave it, which all calls of a portion have
//! in common. A server may send a second copy of a response late, when the next call on the
//! connection awaits its own. If that next call were one of the same portion, the copy of a refusal
//! would pass for proof that the call has not run.

use super::attempt::Attempt;
use super::connection;
use super::event::{Action, AttemptKey, ConnectionKey};
use super::machine::Machine;
use super::portion::PortionKey;
use super::server::ServerKey;
use super::service::ServiceId;

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

    fn doubt_connections(&mut self, key: ServerKey) {
        for connection in &self.servers[key].connections {
            let connection = &mut self.connections[*connection];
            connection.in_doubt |= connection.state != connection::State::Opening;
        }
    }

    /// Returns an idle connection to a server on which a call of the portion can be sent.
    pub(super) fn idle_connection_for(
        &self,
        key: PortionKey,
        server: ServerKey,
    ) -> Option<ConnectionKey> {
        let mut unused = self.unused_connections(key, server);
        unused.find(|connection| self.admits_call(key, *connection))
    }

    /// Idle connections to a server that have not carried a call of the portion.
    fn unused_connections(
        &self,
        key: PortionKey,
        server: ServerKey,
    ) -> impl Iterator<Item = ConnectionKey> {
        let used = &self.portions[key].used_connections;
        self.idle_connections(server).filter(|connection| !used.contains(connection))
    }

    /// Idle connections to a server.
    pub(super) fn idle_connections(&self, key: ServerKey) -> impl Iterator<Item = ConnectionKey> {
        let connections = self.servers[key].connections.iter().copied();
        let is_idle = |key: ConnectionKey| self.connections[key].state == connection::State::Idle;
        connections.filter(move |connection| is_idle(*connection))
    }

    /// Whether the server's breaker admits a call on a connection. A single message that has lost a
    /// call is sent at once: it has waited for other servers already.
    fn admits_call(&self, key: PortionKey, connection: ConnectionKey) -> bool {
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

    /// Replaces idle connections that keep queued portions of a service waiting because they have
    /// carried calls of these portions. No other queued portion could be sent on them now.
    pub(super) fn replace_used_connections(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        let is_repeated = |key: &PortionKey| !self.portions[*key].used_connections.is_empty();
        let repeated: Vec<PortionKey> = self.first_queued(id).filter(is_repeated).collect();
        if repeated.is_empty() || !self.has_room(id) {
            return;
        }
        for server in self.services[id].servers.clone() {
            let waits = |key: &PortionKey| {
                self.takes(*key, server) && self.unused_connections(*key, server).next().is_none()
            };
            if !self.opens_connection(server)
                && let Some(used) = self.idle_connection(server)
                && repeated.iter().any(waits)
            {
                self.remove_connection(used);
                Self::close(used, out);
            }
        }
    }
}
