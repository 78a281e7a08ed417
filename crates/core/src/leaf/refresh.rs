//! Changes of what the machine is told: views, load reports, suspensions.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::Reason;
use ladder_schema::target;

use super::event::Action;
use super::lane;
use super::machine::{Gap, Machine, UPKEEP};
use super::portion::PortionKey;
use super::reply::Refused;
use super::server::{Server, ServerKey};
use super::service::{Rank, Service, ServiceId};
use super::timer::Timer;
use crate::view::{self, View};

impl Machine {
    /// Takes a new view in.
    pub(super) fn refresh(&mut self, view: &Arc<View>, out: &mut Vec<Action>) {
        let before = std::mem::replace(&mut self.view, Arc::clone(view));
        let others = view.neighbours.iter().map(|neighbour| &neighbour.peer.name);
        if self.fleet.see(self.now, others.chain([&self.settings.name])) {
            self.plan_warmups();
        }
        for (key, listed) in &view.services {
            // Views share the services that did not change.
            let same = |old: &Arc<view::Service>| Arc::ptr_eq(old, listed);
            if before.services.get(key).is_some_and(same) {
                continue;
            }
            if listed.is_candidate() || self.service_ids.contains_key(&listed.name) {
                self.list(listed, out);
            }
        }
        let ids: Vec<ServiceId> = self.services.keys().collect();
        for id in ids {
            if view.service(&self.services[id].name).is_none() {
                self.withdraw(id);
            }
            if self.services[id].rank == Rank::None {
                self.refuse_queued(id, out);
            }
            self.recheck(id, out);
            self.maintain(id, out);
            self.mark(id);
        }
        self.take_quarantine(&before.quarantine, out);
    }

    /// Takes one service of a view in.
    fn list(&mut self, listed: &view::Service, out: &mut Vec<Action>) {
        let id = match self.service_ids.get(&listed.name) {
            Some(id) => *id,
            None => self.insert_service(listed),
        };
        let service = &mut self.services[id];
        service.list(listed, &self.settings.name);
        let servers = service.servers.clone();
        for key in servers {
            self.servers[key].listed = false;
        }
        for server in &listed.servers {
            self.list_server(id, server, out);
        }
        let rank = self.services[id].rank;
        if rank == Rank::None {
            self.withdraw(id);
        }
    }

    fn insert_service(&mut self, listed: &view::Service) -> ServiceId {
        let id = self.services.insert(Service::new(listed, &self.settings.name, self.now));
        self.service_ids.insert(Arc::clone(&listed.name), id);
        let first = self.now + self.random.jitter(UPKEEP);
        self.timers.push(first, Timer::Upkeep(id));
        id
    }

    /// Takes a server of a view in. One with another address is another server.
    fn list_server(&mut self, id: ServiceId, listed: &view::Server, out: &mut Vec<Action>) {
        let known = self.server_keys.get(&listed.name).copied();
        let same = known.filter(|key| {
            let server = &self.servers[*key];
            server.service == id && server.address == listed.address
        });
        if let Some(key) = same {
            let before = self.servers[key].incarnation;
            let warmup = self.services[id].warmup();
            self.servers[key].list(self.now, listed, warmup);
            self.plan_warmup(key);
            if before < listed.incarnation {
                self.cut_off(key, out);
                self.server_ended(key, before, out);
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
        self.plan_warmup(key);
    }

    /// A server has started again: its connections lead to a process that is gone.
    ///
    /// Where the old process lost its power, nothing on them would ever say so: calls would wait there
    /// to their deadline and keep the new process's slots from being used. What they carried may have
    /// run.
    fn cut_off(&mut self, key: ServerKey, out: &mut Vec<Action>) {
        for lane in std::mem::take(&mut self.servers[key].lanes) {
            let Some(old) = self.lanes.remove(lane) else {
                continue;
            };
            out.push(Action::Close(lane));
            if let lane::State::Busy(attempt) = old.state {
                self.lost(attempt, out);
            }
        }
    }

    /// The service is in the view no more, or this instance is no candidate any more.
    fn withdraw(&mut self, id: ServiceId) {
        let service = &mut self.services[id];
        service.rank = Rank::None;
        let servers = service.servers.clone();
        for key in servers {
            self.servers[key].listed = false;
        }
    }

    /// The entries send what is queued to the new owner.
    fn refuse_queued(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        let waiting: Vec<PortionKey> = self.services[id].queue.order().collect();
        for key in waiting {
            let refused = Refused::with(self.standing(key), Reason::NotOwner);
            self.finish(key, refused, out);
        }
    }

    /// Drops servers that are unlisted and have no call, and the service when it has neither
    /// rank nor servers nor portions. `true` when the service is gone.
    pub(super) fn forget(&mut self, id: ServiceId) -> bool {
        let unused = |key: &ServerKey| {
            let server = &self.servers[*key];
            !server.listed && server.in_flight == 0 && server.lanes.is_empty()
        };
        let keys = self.services[id].servers.iter().copied();
        let gone: Vec<ServerKey> = keys.filter(unused).collect();
        for key in gone {
            self.forget_server(id, key);
        }
        let service = &self.services[id];
        let used = service.rank != Rank::None || service.in_flight > 0;
        if used || !service.servers.is_empty() || !service.queue.is_empty() {
            return false;
        }
        let service = self.services.remove(id);
        if let Some(service) = service {
            self.service_ids.remove(&service.name);
        }
        true
    }

    fn forget_server(&mut self, id: ServiceId, key: ServerKey) {
        self.services[id].servers.retain(|other| *other != key);
        let Some(server) = self.servers.remove(key) else {
            return;
        };
        if self.server_keys.get(&server.name) == Some(&key) {
            self.server_keys.remove(&server.name);
        }
    }

    /// Takes a server's load report in.
    pub(super) fn load(
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
        let before = server.incarnation;
        server.report(self.now, load);
        let id = server.service;
        if before < server.incarnation {
            self.server_ended(key, before, out);
        }
        if self.servers[key].leaving() {
            self.maintain_server(key, out);
            self.recheck(id, out);
        }
        self.mark(id);
    }

    /// The process was suspended.
    ///
    /// Portions that waited through the suspension are late, and the view is as old as the
    /// suspension: another instance may own the services since. Nothing unrepeatable is sent on
    /// such knowledge, and nothing whose time is up.
    pub(super) fn resumed(&mut self, length: Duration, out: &mut Vec<Action>) {
        self.gap = Some(Gap { ended: self.now, length });
        let ids: Vec<ServiceId> = self.services.keys().collect();
        for id in ids {
            let waiting: Vec<PortionKey> = self.services[id].queue.order().collect();
            for key in waiting {
                let portion = &self.portions[key];
                if portion.unrepeatable || portion.deadline <= self.now {
                    let refused = Refused::with(portion.verdict(), Reason::Paused);
                    self.finish(key, refused, out);
                }
            }
        }
    }
}
