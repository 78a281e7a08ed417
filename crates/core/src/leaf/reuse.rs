//! Selects connections for calls: none that carried a call of the same portion, and none that may
//! have broken with another one.
//!
//! Servers identify a request by the id that its caller gave it, which all calls of a portion have
//! in common. A server may send a second copy of a response late, when the next call on the
//! connection awaits its own. If that next call were one of the same portion, the copy of a refusal
//! would pass for proof that the call has not run.

use std::time::Duration;

use super::connection;
use super::event::{Action, ConnectionKey};
use super::machine::Machine;
use super::portion::PortionKey;
use super::server::ServerKey;
use super::service::ServiceId;

/// Time within which the ends of a server's connections are reported after one of several open calls
/// has lost its connection.
///
/// If the server's process has terminated, all of its connections have ended, but the ends are
/// reported one after the other. Calls sent on the remaining connections would be lost as well, and
/// the retries of all these calls would exceed the budget of the service.
const SETTLING_TIME: Duration = Duration::from_millis(5);

impl Machine {
    /// Records that a call has lost its connection to a server, beside other open calls.
    pub(super) fn connection_broke(&mut self, key: ServerKey) {
        let server = &mut self.servers[key];
        let is_settling =
            server.connection_broke_at.is_some_and(|at| self.now.since(at) < SETTLING_TIME);
        if server.in_flight == 0 && !is_settling {
            return;
        }
        server.connection_broke_at = Some(self.now);
        let service = server.service;
        self.schedule_dispatch(service, self.now + SETTLING_TIME);
    }

    /// Returns an idle connection to a server on which a call of the portion can be sent.
    pub(super) fn idle_connection_for(
        &self,
        key: PortionKey,
        server: ServerKey,
    ) -> Option<ConnectionKey> {
        let mut unused = self.unused_connections(key, server);
        unused.find(|connection| self.is_settled(key, *connection))
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

    /// Whether a connection is not likely to have ended together with another one of its server. A
    /// single message that has lost a call is sent at once: it has waited for other servers already.
    fn is_settled(&self, key: PortionKey, connection: ConnectionKey) -> bool {
        let connection = &self.connections[connection];
        let broke_at = self.servers[connection.server].connection_broke_at;
        let settles =
            broke_at.is_some_and(|at| self.now.since(at) < SETTLING_TIME && connection.since <= at);
        !settles || self.portions[key].is_single() && self.portions[key].may_have_run
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
