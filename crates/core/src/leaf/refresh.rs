//! Applies new views, load reports of servers and process pauses to the state of the machine.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::Reason;
use ladder_schema::target;

use super::connection;
use super::event::Action;
use super::machine::{MAINTENANCE_INTERVAL, Machine, Pause};
use super::portion::PortionKey;
use super::reply::Refused;
use super::server::{Server, ServerKey};
use super::service::{Role, Service, ServiceId};
use super::timer::Timer;
use crate::view::{self, View};

impl Machine {
    /// Applies a new view: updates services and servers, and refuses queued portions that can no
    /// longer be sent.
    pub(super) fn handle_view(&mut self, view: &Arc<View>, out: &mut Vec<Action>) {
        let before = std::mem::replace(&mut self.view, Arc::clone(view));
        let others = view.neighbours.iter().map(|neighbour| &neighbour.peer.name);
        if self.known_instances.observe(self.now, others.chain([&self.settings.name])) {
            self.update_warmup_quotas();
        }
        for (key, listed) in &view.services {
            // Consecutive views share the services that did not change.
            let same = |old: &Arc<view::Service>| Arc::ptr_eq(old, listed);
            if before.services.get(key).is_some_and(same) {
                continue;
            }
            if listed.is_candidate() || self.service_ids.contains_key(&listed.name) {
                self.apply_service(listed, out);
            }
        }
        let ids: Vec<ServiceId> = self.services.keys().collect();
        for id in ids {
            if view.service(&self.services[id].name).is_none() {
                self.exclude_servers(id);
            }
            if self.services[id].role == Role::None {
                self.refuse_queued(id, out);
            }
            self.refuse_unservable(id, out);
            self.maintain(id, out);
            self.mark_changed(id);
        }
        self.apply_quarantine(&before.quarantine, out);
    }

    /// Adds or updates one service from a new view, with its servers.
    fn apply_service(&mut self, listed: &view::Service, out: &mut Vec<Action>) {
        let id = match self.service_ids.get(&listed.name) {
            Some(id) => *id,
            None => self.insert_service(listed),
        };
        let service = &mut self.services[id];
        service.update_from_view(listed, &self.settings);
        let servers = service.servers.clone();
        for key in servers {
            self.servers[key].listed = false;
        }
        for server in &listed.servers {
            self.apply_server(id, server, out);
        }
        let role = self.services[id].role;
        if role == Role::None {
            self.exclude_servers(id);
        }
    }

    /// Adds a service that is new to this instance and schedules its periodic maintenance.
    fn insert_service(&mut self, listed: &view::Service) -> ServiceId {
        let id = self.services.insert(Service::new(listed, &self.settings, self.now));
        self.service_ids.insert(Arc::clone(&listed.name), id);
        let first = self.now + self.random.jitter(MAINTENANCE_INTERVAL);
        self.timers.push(first, Timer::Maintenance(id));
        id
    }

    /// Adds or updates one server from a new view. A server with another address counts as another
    /// server.
    fn apply_server(&mut self, id: ServiceId, listed: &view::Server, out: &mut Vec<Action>) {
        let known = self.server_keys.get(&listed.name).copied();
        let same = known.filter(|key| {
            let server = &self.servers[*key];
            server.service == id && server.address == listed.address
        });
        if let Some(key) = same {
            let known_incarnation = self.servers[key].incarnation;
            let warmup = self.services[id].warmup();
            self.servers[key].update_from_view(self.now, listed, warmup);
            self.update_warmup_quota(key);
            if known_incarnation < listed.incarnation {
                self.close_stale_connections(key, out);
                self.server_terminated(key, known_incarnation, out);
            }
            return;
        }
        if let Some(key) = known {
            self.servers[key].listed = false;
        }
        let warmup = self.services[id].warmup();
        let key = self.servers.insert(Server::new(self.now, id, listed, warmup));
        self.server_keys.insert(Arc::clone(&listed.name), key);
        self.services[id].servers.push(key);
        self.update_warmup_quota(key);
    }

    /// Closes all connections to a server that has started again, because they lead to a process
    /// that no longer exists.
    ///
    /// If the old process lost its power, no connection would ever be reset: calls would wait until
    /// their deadline and occupy the slots of the new process. Calls on these connections may have
    /// run.
    fn close_stale_connections(&mut self, key: ServerKey, out: &mut Vec<Action>) {
        for connection in std::mem::take(&mut self.servers[key].connections) {
            let Some(old) = self.connections.remove(connection) else {
                continue;
            };
            Self::close(connection, out);
            if let connection::State::Busy(attempt) = old.state {
                self.end_as_lost(attempt, out);
            }
        }
    }

    /// Excludes all servers of a service from new work, because the view no longer lists the
    /// service or this instance is no longer a candidate.
    fn exclude_servers(&mut self, id: ServiceId) {
        let service = &mut self.services[id];
        service.role = Role::None;
        let servers = service.servers.clone();
        for key in servers {
            self.servers[key].listed = false;
        }
    }

    /// Refuses the queued portions of a service so that their entry instances send them to the new
    /// owner.
    fn refuse_queued(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        let queued: Vec<PortionKey> = self.services[id].queue.order().collect();
        for key in queued {
            let refused = Refused::with_verdict(self.current_verdict(key), Reason::NotOwner);
            self.refuse_portion(key, refused, out);
        }
    }

    /// Removes the unlisted servers without calls and connections, and the service itself when it
    /// has no role, servers, calls or queued portions. Returns `true` when the service was removed.
    pub(super) fn remove_unused(&mut self, id: ServiceId) -> bool {
        let unused = |key: &ServerKey| {
            let server = &self.servers[*key];
            !server.listed && server.in_flight == 0 && server.connections.is_empty()
        };
        let keys = self.services[id].servers.iter().copied();
        let unused_servers: Vec<ServerKey> = keys.filter(unused).collect();
        for key in unused_servers {
            self.remove_server(id, key);
        }
        let service = &self.services[id];
        let used = service.role != Role::None || service.in_flight > 0;
        if used || !service.servers.is_empty() || !service.queue.is_empty() {
            return false;
        }
        let service = self.services.remove(id);
        if let Some(service) = service {
            self.service_ids.remove(&service.name);
        }
        true
    }

    /// Removes a server from its service and from the tables of servers.
    fn remove_server(&mut self, id: ServiceId, key: ServerKey) {
        self.services[id].servers.retain(|other| *other != key);
        let Some(server) = self.servers.remove(key) else {
            return;
        };
        if self.server_keys.get(&server.name) == Some(&key) {
            self.server_keys.remove(&server.name);
        }
    }

    /// Applies a load report of a server; a missing report changes nothing.
    pub(super) fn handle_load_report(
        &mut self,
        name: &Arc<str>,
        load: Option<target::Load>,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = self.server_keys.get(name).copied() else {
            return;
        };
        let Some(load) = load else {
            return;
        };
        let server = &mut self.servers[key];
        let known_incarnation = server.incarnation;
        server.report(self.now, load);
        let id = server.service;
        if known_incarnation < server.incarnation {
            self.server_terminated(key, known_incarnation, out);
        }
        if self.servers[key].is_leaving() {
            self.maintain_server(key, out);
            self.refuse_unservable(id, out);
        }
        self.mark_changed(id);
    }

    /// Handles the end of a process pause.
    ///
    /// Portions that were queued during the pause are late, and the view is as old as the pause:
    /// another instance may have become the owner of the services since then. Non-idempotent
    /// portions and portions past their deadline are therefore refused.
    pub(super) fn handle_pause(&mut self, length: Duration, out: &mut Vec<Action>) {
        self.last_pause = Some(Pause { ended: self.now, length });
        let ids: Vec<ServiceId> = self.services.keys().collect();
        for id in ids {
            let queued: Vec<PortionKey> = self.services[id].queue.order().collect();
            for key in queued {
                let portion = &self.portions[key];
                if portion.unrepeatable || portion.deadline <= self.now {
                    let refused = Refused::with_verdict(portion.verdict(), Reason::Paused);
                    self.refuse_portion(key, refused, out);
                }
            }
        }
    }
}
