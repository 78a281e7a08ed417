//! Connections: opened ahead, never beyond the share, closed when no longer wanted.

use std::sync::Arc;
use std::time::Duration;

use super::event::{Action, LaneKey};
use super::lane::{Lane, State};
use super::machine::{Machine, UPKEEP};
use super::server::ServerKey;
use super::service::{Rank, ServiceId};
use super::timer::Timer;

/// Connections beyond the slots, so that a cancellation or a question for a load report finds an
/// idle one while all slots are busy and another is being reopened.
const SPARE: usize = 2;
/// Pauses before a connection is opened again.
const REOPEN: Duration = Duration::from_millis(50);
const LONGEST_REOPEN: Duration = Duration::from_secs(5);
/// Longest pause while the server's service is asked for. Few are, and callers wait for them: after a loss
/// of all instances servers go on counting the connections of the dead, and whoever is asked for their
/// parts has paused ever longer when they take new ones again.
const LONGEST_WANTED: Duration = Duration::from_secs(1);
/// How long an instance that is not the owner keeps the connections that work made it open.
const KEEP: Duration = Duration::from_secs(5);

impl Machine {
    /// A connection is ready, or its cancellation or load report is done.
    pub(super) fn opened(&mut self, key: LaneKey, out: &mut Vec<Action>) {
        let Some(lane) = self.lanes.get_mut(key) else {
            return;
        };
        let opening = lane.state == State::Opening;
        if !opening && lane.state != State::Control {
            return;
        }
        lane.state = State::Idle;
        let server = lane.server;
        if opening {
            lane.since = self.now;
            self.servers[server].open_failures = 0;
            self.server_listens(server);
        }
        self.idle(key, out);
    }

    /// A connection failed or could not be opened.
    pub(super) fn closed(&mut self, key: LaneKey, out: &mut Vec<Action>) {
        let Some(lane) = self.lanes.get(key).copied() else {
            return;
        };
        if matches!(lane.state, State::Busy(_)) {
            self.lanes[key].closing = true;
            return;
        }
        self.remove_lane(key);
        let server = &mut self.servers[lane.server];
        if lane.state == State::Opening {
            server.open_failures += 1;
        }
        let exponent = server.open_failures.saturating_sub(1).min(8);
        let service = server.service;
        let longest = match self.services[service].is_wanted(self.now) {
            true => LONGEST_WANTED,
            false => LONGEST_REOPEN,
        };
        let pause = REOPEN.saturating_mul(1 << exponent).min(longest);
        server.reopen_at = self.now + self.random.jitter(pause);
        let at = server.reopen_at;
        self.pump_at(service, at);
        self.recheck(service, out);
        self.mark(service);
    }

    /// A pause of one of the service's servers has ended.
    pub(super) fn resume(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        if !self.services.contains_key(id) {
            return;
        }
        self.maintain(id, out);
        self.mark(id);
    }

    /// Uses a connection that has become idle, or closes it when it is one too many.
    pub(super) fn idle(&mut self, key: LaneKey, out: &mut Vec<Action>) {
        let server = self.lanes[key].server;
        self.send_cancels(server, out);
        self.maintain_server(server, out);
        let service = self.servers[server].service;
        self.mark(service);
    }

    /// Cancels calls that are no longer wanted, as far as there are idle connections.
    pub(super) fn send_cancels(&mut self, key: ServerKey, out: &mut Vec<Action>) {
        while let Some(attempt) = self.servers[key].cancels.front().copied() {
            let Some(open) = self.attempts.get(attempt) else {
                self.servers[key].cancels.pop_front();
                continue;
            };
            let id = open.id.clone();
            let Some(lane) = self.idle_lane(key) else {
                return;
            };
            self.servers[key].cancels.pop_front();
            self.lanes[lane].state = State::Control;
            out.push(Action::Cancel { lane, id });
        }
    }

    /// Opens and closes connections of a service's servers.
    pub(super) fn maintain(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        for index in 0..self.services[id].servers.len() {
            let server = self.services[id].servers[index];
            self.maintain_server(server, out);
        }
    }

    pub(super) fn maintain_server(&mut self, key: ServerKey, out: &mut Vec<Action>) {
        let target = self.wanted_lanes(key);
        while self.servers[key].lanes.len() > target {
            let Some(lane) = self.closable_lane(key) else {
                break;
            };
            self.remove_lane(lane);
            out.push(Action::Close(lane));
        }
        while self.servers[key].lanes.len() < target && self.may_open(key) {
            self.open_lane(key, out);
        }
    }

    /// Connections that the server should have now; at most the share.
    ///
    /// The owner keeps slots and spare ones warm, since a new connection costs milliseconds. The
    /// next candidate keeps one, the others none, until they get work themselves.
    fn wanted_lanes(&self, key: ServerKey) -> usize {
        let server = &self.servers[key];
        if !server.accepts() {
            return 0;
        }
        let service = &self.services[server.service];
        let idle_since = self.now.since(service.last_work);
        let worked = service.last_work != Default::default() && idle_since < KEEP;
        let busy = !service.queue.is_empty() || worked;
        let full = server.slots as usize + SPARE;
        let warm = match service.rank {
            Rank::Owner if self.settings.by_need => self.needed_lanes(key).min(full),
            Rank::Owner => full,
            Rank::Next | Rank::Spare if busy => full,
            Rank::Next => 1,
            Rank::Spare | Rank::None => 0,
        };
        let wanted = match self.settings.queueing {
            true => warm,
            false => warm.max(self.lanes_for_all(key)),
        };
        wanted.min(server.share as usize)
    }

    /// Connections that the work of the last seconds needed at once; one at least where there are enough
    /// for every instance. Where there are not, one that is kept without work is missing elsewhere.
    ///
    /// A server that could not be reached is tried on while its service is asked for, until it can be. While
    /// none of a service's servers can, work is refused before it waits here: with nothing waiting no
    /// connection would be opened, and the refusals would never end.
    fn needed_lanes(&self, key: ServerKey) -> usize {
        let server = &self.servers[key];
        let service = &self.services[server.service];
        let waiting = service.queue.len().div_ceil(service.servers.len().max(1));
        let now = server.in_flight as usize + waiting;
        let tried_on = service.is_wanted(self.now) && server.open_failures > 0;
        let least = service.spare || tried_on;
        now.max(service.peak.get(self.now)).max(usize::from(least))
    }

    /// Connections for everything that waits, without regard to slots.
    fn lanes_for_all(&self, key: ServerKey) -> usize {
        let server = &self.servers[key];
        let waiting = self.services[server.service].queue.len();
        let demand = server.in_flight as usize + waiting;
        demand.max(server.lanes.len())
    }

    /// While connections fail to open, one at a time is tried.
    fn may_open(&self, key: ServerKey) -> bool {
        let server = &self.servers[key];
        if server.open_failures == 0 {
            return self.now >= server.reopen_at;
        }
        let opening = |lane: &LaneKey| self.lanes[*lane].state == State::Opening;
        self.now >= server.reopen_at && !server.lanes.iter().any(opening)
    }

    fn open_lane(&mut self, key: ServerKey, out: &mut Vec<Action>) {
        let lane = Lane { server: key, state: State::Opening, closing: false, since: self.now };
        let lane = self.lanes.insert(lane);
        let server = &mut self.servers[key];
        server.lanes.push(lane);
        let name = Arc::clone(&server.name);
        out.push(Action::Open { lane, address: Arc::clone(&server.address), server: name });
    }

    /// A connection that can be closed without cutting a call.
    fn closable_lane(&self, key: ServerKey) -> Option<LaneKey> {
        let free = |lane: &LaneKey| matches!(self.lanes[*lane].state, State::Idle | State::Opening);
        self.servers[key].lanes.iter().copied().rev().find(free)
    }

    pub(super) fn remove_lane(&mut self, key: LaneKey) {
        let Some(lane) = self.lanes.remove(key) else {
            return;
        };
        self.servers[lane.server].lanes.retain(|other| *other != key);
    }

    /// Periodic work on a service.
    pub(super) fn upkeep(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        if !self.services.contains_key(id) {
            return;
        }
        self.records.expire(self.now);
        self.services[id].expire(self.now);
        self.maintain(id, out);
        self.probe(id, out);
        self.mark(id);
        if !self.forget(id) {
            self.timers.push(self.now + UPKEEP, Timer::Upkeep(id));
        }
    }

    /// Asks servers for their load reports, each at most once a second and one question at a time.
    /// A server that does not answer would otherwise occupy one connection after the other.
    fn probe(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        if !self.settings.probing {
            return;
        }
        for index in 0..self.services[id].servers.len() {
            let key = self.services[id].servers[index];
            let server = &self.servers[key];
            let lane = server.probe_lane.and_then(|lane| self.lanes.get(lane));
            let open = lane.is_some_and(|lane| lane.state == State::Control);
            if open || !server.accepts() || self.now < server.probe_at {
                continue;
            }
            let name = Arc::clone(&server.name);
            let Some(lane) = self.idle_lane(key) else {
                continue;
            };
            self.servers[key].probe_at = self.now + UPKEEP;
            self.servers[key].probe_lane = Some(lane);
            self.lanes[lane].state = State::Control;
            out.push(Action::Probe { lane, server: name });
        }
    }
}
