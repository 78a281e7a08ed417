//! Selects connections for calls: none that carried a call of the same portion.
//!
//! Servers identify a request by the id that its caller gave it, which all calls of a portion have
//! in common. A server may send a second copy of a response late, when the next call on the
//! connection awaits its own. If that next call were one of the same portion, the copy of a refusal
//! would pass for proof that the call has not run.

use super::connection;
use super::event::{Action, ConnectionKey};
use super::machine::Machine;
use super::portion::PortionKey;
use super::server::ServerKey;
use super::service::ServiceId;

impl Machine {
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
