//! Selects connections for the calls of a portion, so that no connection carries two of them.
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
    /// Returns an idle connection to a server that has not carried a call of the portion yet.
    pub(super) fn idle_connection_for(
        &self,
        key: PortionKey,
        server: ServerKey,
    ) -> Option<ConnectionKey> {
        let used = &self.portions[key].used_connections;
        self.idle_connections(server).find(|connection| !used.contains(connection))
    }

    /// Idle connections to a server.
    pub(super) fn idle_connections(&self, key: ServerKey) -> impl Iterator<Item = ConnectionKey> {
        let connections = self.servers[key].connections.iter().copied();
        let is_idle = |state| state == connection::State::Idle;
        connections.filter(move |connection| is_idle(self.connections[*connection].state))
    }

    /// Replaces idle connections that keep queued portions of a service waiting because they have
    /// carried calls of these portions. No other queued portion could be sent on them now.
    pub(super) fn replace_used_connections(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        let is_repeated = |key: &PortionKey| !self.portions[*key].used_connections.is_empty();
        let mut repeated = self.first_queued(id);
        repeated.retain(is_repeated);
        if repeated.is_empty() || !self.has_room(id) {
            return;
        }
        for server in self.services[id].servers.clone() {
            let waits = |key: &PortionKey| {
                self.takes(*key, server) && self.idle_connection_for(*key, server).is_none()
            };
            if let Some(used) = self.idle_connection(server)
                && repeated.iter().any(waits)
            {
                self.remove_connection(used);
                Self::close(used, out);
            }
        }
    }
}
