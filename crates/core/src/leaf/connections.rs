//! Pooled connections to servers: opened ahead of work, never more than the connection share,
//! closed when no longer needed.

use std::sync::Arc;
use std::time::Duration;

use super::connection::{Connection, State};
use super::event::{Action, ConnectionKey};
use super::machine::{MAINTENANCE_INTERVAL, Machine};
use super::server::{Server, ServerKey};
use super::service::{Role, Sender, ServiceId};
use super::timer::Timer;
use crate::count;

/// Connections kept in addition to a server's slots, so that a cancellation or a load report
/// request finds an idle connection while all slots are busy and another connection is being
/// reopened.
const SPARE_CONNECTIONS: usize = 2;
/// Delay before a connection is opened again after the first failure.
const MIN_REOPEN_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a connection is opened again.
const MAX_REOPEN_DELAY: Duration = Duration::from_secs(5);
/// Longest delay before a connection is opened again while the server's service receives work. Few
/// services do, and callers wait for their answers. After a loss of all instances the servers
/// continue to count the connections of the lost instances and refuse new ones; with a longer delay
/// the instance that sends these servers' portions detected late that they accept connections
/// again.
const MAX_REOPEN_DELAY_WITH_DEMAND: Duration = Duration::from_secs(1);
/// Time for which an instance other than the owner keeps connections that it opened because of
/// work.
const KEEP_AFTER_WORK: Duration = Duration::from_secs(5);
/// Time for which a connection is kept after its last call where connections are scarce and no
/// other instance hands over work. Calls of one sweep, its retries and its hedges follow each other
/// within this time; opening a connection for each of them would cost the server milliseconds.
const RELEASE_DELAY: Duration = Duration::from_millis(250);

impl Machine {
    /// Handles an established connection, or a completed cancellation or load report request on
    /// one.
    pub(super) fn connection_opened(&mut self, key: ConnectionKey, out: &mut Vec<Action>) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let was_opening = connection.state == State::Opening;
        if !was_opening && connection.state != State::Control {
            return;
        }
        connection.state = State::Idle;
        let server = connection.server;
        if was_opening {
            connection.since = self.now;
            self.record_use(key);
            out.push(Action::Connection(count::Connection::Opened));
            self.servers[server].open_failures = 0;
            self.breaker_connection_opened(server);
            self.server_accepted_connection(server);
        }
        self.idle(key, out);
    }

    /// Handles a connection that failed or could not be opened, and schedules the next attempt with
    /// a growing delay.
    pub(super) fn closed(&mut self, key: ConnectionKey, out: &mut Vec<Action>) {
        let Some(connection) = self.connections.get(key).copied() else {
            return;
        };
        if matches!(connection.state, State::Busy(_)) {
            self.connections[key].closing = true;
            return;
        }
        self.remove_connection(key);
        out.push(Action::Connection(count::Connection::Reset));
        let server = &mut self.servers[connection.server];
        if connection.state == State::Opening {
            server.open_failures += 1;
        }
        let exponent = server.open_failures.saturating_sub(1).min(8);
        let service = server.service;
        let max_delay = match self.services[service].has_demand(self.now) {
            true => MAX_REOPEN_DELAY_WITH_DEMAND,
            false => MAX_REOPEN_DELAY,
        };
        let delay = MIN_REOPEN_DELAY.saturating_mul(1 << exponent).min(max_delay);
        server.reopen_at = self.now + self.random.jitter(delay);
        let at = server.reopen_at;
        self.schedule_dispatch(service, at);
        self.refuse_unservable(service, out);
        self.mark_changed(service);
    }

    /// Processes the service's connections and queue after a back-off of one of its servers has
    /// ended.
    pub(super) fn resume_service(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        if !self.services.contains_key(id) {
            return;
        }
        self.maintain(id, out);
        self.mark_changed(id);
    }

    /// Uses a connection that has become idle, or closes it if the server has more connections than
    /// needed.
    pub(super) fn idle(&mut self, key: ConnectionKey, out: &mut Vec<Action>) {
        let server = self.connections[key].server;
        self.send_queued_cancels(server, out);
        self.maintain_server(server, out);
        let service = self.servers[server].service;
        self.mark_changed(service);
    }

    /// Sends cancellations for calls that are no longer needed, as long as idle connections are
    /// available.
    pub(super) fn send_queued_cancels(&mut self, key: ServerKey, out: &mut Vec<Action>) {
        while let Some(attempt) = self.servers[key].queued_cancels.front().copied() {
            let Some(call) = self.attempts.get(attempt) else {
                self.servers[key].queued_cancels.pop_front();
                continue;
            };
            let id = call.id.clone();
            let Some(connection) = self.idle_connection(key) else {
                return;
            };
            self.servers[key].queued_cancels.pop_front();
            self.connections[connection].state = State::Control;
            out.push(Action::Cancel { connection, id });
        }
    }

    /// Opens and closes connections of a service's servers until each has the target number.
    pub(super) fn maintain(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        for index in 0..self.services[id].servers.len() {
            let server = self.services[id].servers[index];
            self.maintain_server(server, out);
        }
    }

    pub(super) fn maintain_server(&mut self, key: ServerKey, out: &mut Vec<Action>) {
        let desired = self.target_connections(key);
        while self.servers[key].connections.len() > desired {
            let Some(connection) = self.closable_connection(key) else {
                break;
            };
            self.remove_connection(connection);
            Self::close(connection, out);
        }
        while self.servers[key].connections.len() < desired && self.may_open_connection(key) {
            self.open_connection(key, out);
        }
    }

    /// Number of connections that the server should have now; at most the connection share.
    ///
    /// The owner keeps connections for all slots and the spare ones open, because opening a
    /// connection costs milliseconds. The first fallback owner keeps one connection and the other
    /// candidates none, until they receive work themselves.
    fn target_connections(&self, key: ServerKey) -> usize {
        let server = &self.servers[key];
        if !server.accepts_work() {
            return 0;
        }
        let service = &self.services[server.service];
        let idle_since = self.now.since(service.last_accepted);
        let worked_recently =
            service.last_accepted != Default::default() && idle_since < KEEP_AFTER_WORK;
        let has_work = !service.queue.is_empty() || worked_recently;
        let all_slots = server.slots as usize + SPARE_CONNECTIONS;
        let by_role = match service.role {
            Role::Owner if self.settings.by_need => self.connections_by_need(key).min(all_slots),
            Role::Owner => all_slots,
            Role::FirstFallback | Role::OtherCandidate if has_work => all_slots,
            Role::FirstFallback => 1,
            Role::OtherCandidate | Role::None => 0,
        };
        let wanted = match self.settings.queueing {
            true => by_role,
            false => by_role.max(self.connections_for_queued_work(key)),
        };
        wanted.min(server.share as usize)
    }

    /// Number of concurrent connections to a server that the work of the last seconds needed; at
    /// least one where the servers accept enough connections for every instance. Where they don't,
    /// a connection kept without work is missing at another instance: if none hands over work and
    /// [`Settings::gradual_startup`](super::settings::Builder::gradual_startup) is set, only connections
    /// used within [`RELEASE_DELAY`] are kept.
    ///
    /// While the service receives work, one connection to a server that could not be reached is
    /// attempted until one succeeds. As long as none of a service's servers can be reached, work is
    /// refused before it is queued: without this rule an empty queue would never cause a connection
    /// to be opened, and the refusals would never end.
    fn connections_by_need(&self, key: ServerKey) -> usize {
        let server = &self.servers[key];
        let service = &self.services[server.service];
        let queued_per_server = service.queue.len().div_ceil(service.servers.len().max(1));
        let in_use = server.in_flight as usize + queued_per_server;
        let keeps_trying = service.has_demand(self.now) && server.open_failures > 0;
        if self.releases_idle(server.service) {
            let kept = self.recently_used_connections(key);
            return in_use.max(kept).max(usize::from(keeps_trying));
        }
        let keep_one = service.keeps_idle_connection || keeps_trying;
        let by_demand = in_use.max(service.peak.get(self.now)).max(usize::from(keep_one));
        by_demand.max(if self.sends_for_zone(server) { server.slots as usize } else { 0 })
    }

    /// Whether a server is in the zone of this instance, which sends the service's work for the
    /// other instances of the zone.
    ///
    /// One connection for each slot of such a server is kept. With connections by need alone, a
    /// call that found the only connection in use went to another zone, where a connection was
    /// idle, and the second slot of the own server was never used: a third of all calls crossed
    /// zones when one aggregator sent for two zones.
    fn sends_for_zone(&self, server: &Server) -> bool {
        let service = &self.services[server.service];
        self.settings.is_zonal
            && service.has_few_connections
            && service.sender() == Some(Sender::ForAll)
            && !self.crosses_zones(server)
    }

    /// Whether connections of a service are closed [`RELEASE_DELAY`] after their last call.
    fn releases_idle(&self, id: ServiceId) -> bool {
        let service = &self.services[id];
        self.settings.gradual_startup && service.has_few_connections && service.sender().is_none()
    }

    /// Number of connections that carry a call or whose last use is less than [`RELEASE_DELAY`]
    /// ago.
    fn recently_used_connections(&self, key: ServerKey) -> usize {
        let connections = self.servers[key].connections.iter();
        let connections = connections.map(|connection| &self.connections[*connection]);
        let is_kept = |connection: &&Connection| {
            matches!(connection.state, State::Busy(_))
                || self.now.since(connection.used_at) < RELEASE_DELAY
        };
        connections.filter(is_kept).count()
    }

    /// Records that a connection was requested or opened, or that a call on it ended, and schedules
    /// its release.
    pub(super) fn record_use(&mut self, key: ConnectionKey) {
        let connection = &mut self.connections[key];
        connection.used_at = self.now;
        let service = self.servers[connection.server].service;
        if self.releases_idle(service) {
            self.schedule_dispatch(service, self.now + RELEASE_DELAY);
        }
    }

    /// Number of connections needed to send all queued work at once, without regard to slots.
    fn connections_for_queued_work(&self, key: ServerKey) -> usize {
        let server = &self.servers[key];
        let queued = self.services[server.service].queue.len();
        let demand = server.in_flight as usize + queued;
        demand.max(server.connections.len())
    }

    /// Whether a connection to the server may be opened now. After a failure to open one, only one
    /// connection at a time is attempted.
    fn may_open_connection(&self, key: ServerKey) -> bool {
        let server = &self.servers[key];
        if server.open_failures == 0 {
            return self.now >= server.reopen_at;
        }
        self.now >= server.reopen_at && !self.opens_connection(key)
    }

    /// Whether a connection to the server is being opened.
    pub(super) fn opens_connection(&self, key: ServerKey) -> bool {
        let mut connections = self.servers[key].connections.iter();
        connections.any(|connection| self.connections[*connection].state == State::Opening)
    }

    fn open_connection(&mut self, key: ServerKey, out: &mut Vec<Action>) {
        let connection = self.connections.insert(Connection {
            server: key,
            state: State::Opening,
            closing: false,
            in_doubt: false,
            since: self.now,
            used_at: self.now,
        });
        self.record_use(connection);
        let server = &mut self.servers[key];
        server.connections.push(connection);
        let name = Arc::clone(&server.name);
        out.push(Action::Open { connection, address: Arc::clone(&server.address), server: name });
    }

    /// An idle or opening connection to the server: closing it interrupts no call. Where
    /// connections are released after their last call, the one whose last use is longest ago.
    fn closable_connection(&self, key: ServerKey) -> Option<ConnectionKey> {
        let is_closable = |connection: &ConnectionKey| {
            matches!(self.connections[*connection].state, State::Idle | State::Opening)
        };
        let server = &self.servers[key];
        let mut closable = server.connections.iter().copied().rev().filter(is_closable);
        if self.releases_idle(server.service) {
            return closable.min_by_key(|connection| self.connections[*connection].used_at);
        }
        closable.next()
    }

    /// Requests the end of a connection that this instance no longer needs or cannot use further.
    pub(super) fn close(connection: ConnectionKey, out: &mut Vec<Action>) {
        out.push(Action::Close(connection));
        out.push(Action::Connection(count::Connection::Closed));
    }

    pub(super) fn remove_connection(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.remove(key) else {
            return;
        };
        self.servers[connection.server].connections.retain(|other| *other != key);
    }

    /// Periodic maintenance of a service: expiry of old records, connections, load report requests.
    pub(super) fn maintain_service(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        if !self.services.contains_key(id) {
            return;
        }
        self.records.drop_expired(self.now);
        self.services[id].expire_handover(self.now);
        self.maintain(id, out);
        self.probe(id, out);
        self.mark_changed(id);
        if !self.remove_unused(id) {
            self.timers.push(self.now + MAINTENANCE_INTERVAL, Timer::Maintenance(id));
        }
    }

    /// Requests load reports from the service's servers, at most once a second and with one open
    /// request per server. A server that does not reply would otherwise occupy one connection after
    /// the other.
    fn probe(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        if !self.settings.probing {
            return;
        }
        for index in 0..self.services[id].servers.len() {
            let key = self.services[id].servers[index];
            let server = &self.servers[key];
            let connection =
                server.probe_connection.and_then(|connection| self.connections.get(connection));
            let probe_is_open =
                connection.is_some_and(|connection| connection.state == State::Control);
            if probe_is_open || !server.accepts_work() || self.now < server.probe_at {
                continue;
            }
            let name = Arc::clone(&server.name);
            let Some(connection) = self.idle_connection(key) else {
                continue;
            };
            self.servers[key].probe_at = self.now + MAINTENANCE_INTERVAL;
            self.servers[key].probe_connection = Some(connection);
            self.connections[connection].state = State::Control;
            out.push(Action::Probe { connection, server: name });
        }
    }
}
