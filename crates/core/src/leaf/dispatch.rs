//! Dispatch: which queued portion goes to which server now.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::Reason;
use ladder_schema::settings::Selection;
use ladder_schema::{target, wire};

use super::attempt::Attempt;
use super::event::{Action, LaneKey};
use super::intake::UNLEARNED;
use super::kinds::Kind;
use super::lane;
use super::machine::Machine;
use super::portion::PortionKey;
use super::queue::Class;
use super::reply::Refused;
use super::server::{Server, ServerKey};
use super::service::ServiceId;
use super::timer::Timer;
use crate::eligible::Mark;
use crate::time::Instant;

/// Queued portions looked at when the first ones find no server.
const SCAN: usize = 8;
/// Failed openings in a row after which a server without a connection counts as unreachable.
pub(super) const UNREACHABLE: u32 = 3;
/// How much a failing server is avoided: a failure rate of one weighs like this many call times.
const FAILURE_COST: f64 = 4.0;
/// How much a server of another zone is avoided: bytes between zones are paid for, and a server
/// nearby that is as free as one far away answers a little sooner. Of 1.5, 2, 3 and 6, measured by
/// what answers are worth less what bytes cost, seven to nine instances: 3 gains 0.004 on a quiet day
/// and loses 0.03 on a loaded one, as busy servers nearby keep calls; 6 loses on both.
const FAR: f64 = 2.0;

impl Machine {
    /// Dispatches for all services that changed in the event at hand.
    pub(super) fn pump_marked(&mut self, out: &mut Vec<Action>) {
        while let Some(id) = self.marked.pop() {
            if let Some(service) = self.services.get_mut(id) {
                service.marked = false;
                self.pump(id, out);
            }
        }
    }

    fn pump(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        self.refuse_waiting(out);
        self.hedge_overdue(id, out);
        while self.dispatch_one(id, out) {}
        if !self.services[id].queue.is_empty() {
            self.maintain(id, out);
        }
    }

    /// Sends or refuses one queued portion; `false` when nothing can be done now.
    fn dispatch_one(&mut self, id: ServiceId, out: &mut Vec<Action>) -> bool {
        let service = &self.services[id];
        if service.queue.is_empty() || !self.has_room(id) {
            return false;
        }
        let order = service.queue.order().filter(|key| !self.waits_for_news(*key));
        let head: Vec<PortionKey> = order.take(SCAN).collect();
        for key in head {
            if self.too_late(key) {
                let refused = Refused::with(self.standing(key), Reason::WouldMissDeadline);
                self.finish(key, refused, out);
                return true;
            }
            if self.misses(key) {
                self.put_last(key);
                return true;
            }
            if let Some(server) = self.choose(id, key) {
                self.dispatch(key, server, out);
                return true;
            }
        }
        false
    }

    /// Whether the service may have one more call in flight and some server can take it.
    pub(super) fn has_room(&self, id: ServiceId) -> bool {
        let service = &self.services[id];
        let limit = service.limits().in_flight;
        if limit > 0 && service.in_flight >= limit {
            return false;
        }
        service.servers.iter().any(|server| self.can_send(*server))
    }

    /// Whether the server has a free slot and an idle connection.
    pub(super) fn can_send(&self, key: ServerKey) -> bool {
        let server = &self.servers[key];
        let free = !self.settings.queueing || server.in_flight < self.room_at(server);
        let spent = self.warm_at(key) > self.now;
        free && server.exclusion(spent).is_none() && self.idle_lane(key).is_some()
    }

    /// Calls that a server may hold.
    ///
    /// As many as it has slots; one more while work waits and the server moves on. With the slots alone
    /// each slot stands idle for the way there and back after every call, a tenth of the time with calls
    /// of ten milliseconds: one more raised the worth of days of slow and of shedding servers by 0.02 to
    /// 0.05. A server that stands still gets no more, as what it holds would wait with it.
    fn room_at(&self, server: &Server) -> u32 {
        let slots = server.capacity(self.now);
        let service = &self.services[server.service];
        if !self.settings.by_need || service.queue.is_empty() {
            return slots;
        }
        let usual = service.kinds.all().mean().unwrap_or(UNLEARNED);
        slots + u32::from(self.oldest_call(server) < usual)
    }

    pub(super) fn idle_lane(&self, key: ServerKey) -> Option<LaneKey> {
        let mut lanes = self.servers[key].lanes.iter().copied();
        lanes.find(|lane| self.lanes[*lane].state == lane::State::Idle)
    }

    /// Whether a portion cannot be done in time even if it is sent now.
    fn too_late(&self, key: PortionKey) -> bool {
        let portion = &self.portions[key];
        let fast = match self.settings.queueing {
            true => self.fast(portion.service, portion.kind),
            false => Duration::ZERO,
        };
        self.now + fast >= portion.deadline
    }

    /// Whether a portion that has a time to be there by can't be there any more, even if it is sent
    /// now; it then goes behind those that can.
    ///
    /// In overload every portion would wait a little too long, and hardly any be in time.
    fn misses(&self, key: PortionKey) -> bool {
        let portion = &self.portions[key];
        let fast = self.fast(portion.service, portion.kind);
        let timely = portion.place.is_some_and(|place| !place.is_late());
        timely && portion.timely_at.is_some_and(|at| self.now + fast >= at)
    }

    fn put_last(&mut self, key: PortionKey) {
        let portion = &mut self.portions[key];
        let queue = &mut self.services[portion.service].queue;
        if let Some(place) = portion.place.take() {
            queue.remove(place);
        }
        portion.place = Some(queue.push(Class::LATE, portion.arrived, key));
    }

    /// The server for a portion's next call.
    fn choose(&mut self, id: ServiceId, key: PortionKey) -> Option<ServerKey> {
        match self.settings.selection {
            Selection::RoundRobin => self.choose_in_turn(id, key),
            _ => self.choose_by_outcome(id, key),
        }
    }

    fn choose_in_turn(&mut self, id: ServiceId, key: PortionKey) -> Option<ServerKey> {
        let work = &self.portions[key].job.work;
        let service = &self.services[id];
        let count = service.servers.len();
        let turn = (0..count).map(|step| (service.cursor + step) % count);
        let found = turn.map(|place| (place, service.servers[place])).find(|(_, server)| {
            self.may_run(key, *server) && self.can_send(*server) && self.holds(*server, work)
        });
        let (place, server) = found?;
        self.services[id].cursor = place + 1;
        Some(server)
    }

    /// The server with the shortest expected call time, failures counted as delay.
    ///
    /// A server held suspect gets one call at a time after each of its pauses, so that its recovery
    /// shows. Unrepeatable work is not used for such trials.
    fn choose_by_outcome(&mut self, id: ServiceId, key: PortionKey) -> Option<ServerKey> {
        let portion = &self.portions[key];
        let service = &self.services[id];
        let suspects = self.suspects(id);
        let mut best: Option<(f64, ServerKey)> = None;
        let count = service.servers.len();
        for step in 0..count {
            let candidate = service.servers[(service.cursor + step) % count];
            let may_go =
                self.may_run(key, candidate) && self.may_send(candidate, &portion.job.work);
            if !may_go || self.shed_back(key, candidate) {
                continue;
            }
            let server = &self.servers[candidate];
            if suspects.contains(&candidate) {
                let tries = !portion.unrepeatable && !portion.tried.contains(&candidate);
                if tries && self.ready_for_trial(server) {
                    return Some(candidate);
                }
                continue;
            }
            let cost = self.cost(id, portion.kind, server, portion.tried.contains(&candidate));
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, candidate));
            }
        }
        self.services[id].cursor = (self.services[id].cursor + 1) % count.max(1);
        best.map(|(_, server)| server)
    }

    /// A free slot, an idle connection, the version, and no pause after shedding.
    fn may_send(&self, key: ServerKey, work: &wire::Work) -> bool {
        let server = &self.servers[key];
        let shedding = self.now < server.health.shed_until();
        !shedding && self.can_send(key) && self.holds(key, work)
    }

    /// Whether the server has shed what it got since it last answered, this portion too, while
    /// another may still take the portion.
    ///
    /// A shedding server looks free as soon as its pause ends. A portion that waits for a busy
    /// replica would go back and forth until its tries are used up, and its shards be missing
    /// although the replica would have answered in time. Other portions try the shedding server.
    fn shed_back(&self, key: PortionKey, candidate: ServerKey) -> bool {
        let portion = &self.portions[key];
        let sheds = |server: ServerKey| {
            self.servers[server].health.sheds() && portion.tried.contains(&server)
        };
        let takes = |key: &ServerKey| {
            let server = &self.servers[*key];
            let reachable = server.in_flight > 0 || server.open_failures < UNREACHABLE;
            let usable = server.accepts() && reachable && !server.health.suspect();
            let in_time = server.health.shed_until() < portion.deadline;
            let holds = self.holds(*key, &portion.job.work);
            usable && in_time && holds && !sheds(*key)
        };
        let takes = |server: &ServerKey| takes(server) && self.may_run(key, *server);
        sheds(candidate) && self.services[portion.service].servers.iter().any(takes)
    }

    /// Whether a server is one of those that a portion may run on.
    pub(super) fn may_run(&self, key: PortionKey, candidate: ServerKey) -> bool {
        let eligible = self.portions[key].eligible.as_deref();
        self.is_eligible(eligible, candidate)
    }

    pub(super) fn is_eligible(&self, eligible: Option<&[Mark]>, candidate: ServerKey) -> bool {
        eligible.is_none_or(|marks| marks.contains(&self.servers[candidate].mark))
    }

    pub(super) fn holds(&self, key: ServerKey, work: &wire::Work) -> bool {
        // The routes name the services of a version; their servers answer for every version.
        work.forward.is_some() || self.servers[key].holds(self.now, &work.index, work.version)
    }

    fn ready_for_trial(&self, server: &Server) -> bool {
        self.now >= server.health.paused_until() && server.in_flight == 0
    }

    /// Expected call time in microseconds, made longer by load, failures and an earlier failed try.
    fn cost(&self, id: ServiceId, kind: Kind, server: &Server, tried: bool) -> f64 {
        let expected = self.expected(id, kind, server).as_secs_f64();
        let load = f64::from(server.in_flight) / f64::from(server.capacity(self.now));
        let health = &server.health;
        let failures = FAILURE_COST * (health.failure_rate(self.now) + health.shed_rate(self.now));
        let again = if tried { 4.0 } else { 1.0 };
        let near = self.settings.zone.is_empty() || self.settings.zone == server.zone;
        let way = if near { 1.0 } else { FAR };
        expected * (1.0 + load) * (1.0 + failures) * again * way
    }

    /// Call time to expect of a server, without what waits there.
    fn expected(&self, id: ServiceId, kind: Kind, server: &Server) -> Duration {
        let usual = self.mean(id, kind).unwrap_or(UNLEARNED);
        let pace = server.health.pace(self.now).unwrap_or(1.0).max(0.5);
        usual.mul_f64(pace).max(self.oldest_call(server))
    }

    /// Age of the oldest call that a server has not answered: it takes at least as long now.
    ///
    /// A server that stands still for a moment shows it by nothing else, and the calls that go to it
    /// meanwhile all wait until it goes on.
    fn oldest_call(&self, server: &Server) -> Duration {
        let busy = server.lanes.iter().filter_map(|lane| match self.lanes[*lane].state {
            lane::State::Busy(attempt) => self.attempts.get(attempt),
            _ => None,
        });
        let oldest = busy.map(|attempt| attempt.sent).min();
        oldest.map_or(Duration::ZERO, |sent| self.now.since(sent))
    }

    /// Servers that are held back because of their outcomes: the worst half at most.
    ///
    /// When most servers look as if they fail, the fault is likely on the watcher's side, such as
    /// its network. Without the floor it would stop sending altogether.
    pub(super) fn suspects(&self, id: ServiceId) -> Vec<ServerKey> {
        let mut all = self.services[id].servers.iter();
        if !all.any(|key| self.servers[*key].health.suspect()) {
            return Vec::new();
        }
        let accepting = |key: &&ServerKey| self.servers[**key].accepts();
        let servers: Vec<ServerKey> =
            self.services[id].servers.iter().filter(accepting).copied().collect();
        let rate = |key: &ServerKey| self.servers[*key].health.failure_rate(self.now);
        let suspect = |key: &ServerKey| self.servers[*key].health.suspect();
        let mut suspects: Vec<ServerKey> = servers.iter().copied().filter(suspect).collect();
        suspects.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
        suspects.truncate(servers.len() / 2);
        suspects
    }

    /// Sends a queued portion.
    fn dispatch(&mut self, key: PortionKey, server: ServerKey, out: &mut Vec<Action>) {
        let portion = &mut self.portions[key];
        let first = portion.calls == 0;
        let id = portion.service;
        let place = portion.place.take();
        let service = &mut self.services[id];
        if let Some(place) = place {
            service.queue.dispatch(place);
        }
        if first {
            if !portion.repeated {
                service.budget.earn();
            }
            service.admission.dispatched(self.now, portion.class);
        }
        self.send(key, server, out);
        self.plan_hedge(key);
    }

    /// Sends one call of a portion on an idle connection of the server.
    pub(super) fn send(&mut self, key: PortionKey, to: ServerKey, out: &mut Vec<Action>) {
        let Some(lane) = self.idle_lane(to) else {
            return;
        };
        self.sequence += 1;
        let id = format!("{}.{}.{}", self.settings.name, self.settings.incarnation, self.sequence);
        let portion = &mut self.portions[key];
        let timeout = portion.deadline.since(self.now);
        let call = Attempt {
            portion: Some(key),
            service: portion.service,
            kind: portion.kind,
            server: to,
            lane,
            id: id.clone(),
            job: Arc::clone(&portion.job),
            shards: Arc::clone(&portion.shards),
            sent: self.now,
            timeout,
            record: portion.unrepeatable.then(|| portion.record()),
            given_up: false,
        };
        self.call_began(&call);
        self.warm(to);
        let attempt = self.attempts.insert(call);
        let trial = self.trial(key, to, attempt);
        let portion = &mut self.portions[key];
        portion.trials.push(trial);
        portion.attempts.push(attempt);
        portion.tried.push(to);
        portion.calls += 1;
        self.services[portion.service].in_flight += 1;
        self.servers[to].in_flight += 1;
        self.lanes[lane].state = lane::State::Busy(attempt);
        out.push(Action::Send {
            lane,
            attempt,
            request: request(&portion.job.work, &portion.shards, id, timeout),
            timeout,
        });
    }

    /// Asks for a look at the service's queue when a pause of one of its servers ends.
    pub(super) fn pump_at(&mut self, id: ServiceId, at: Instant) {
        if at > self.now {
            self.timers.push(at, Timer::Pump(id));
        }
    }
}

fn request(work: &wire::Work, shards: &[String], id: String, timeout: Duration) -> target::Request {
    let millis = timeout.as_millis().max(1);
    target::Request {
        id,
        key: work.key.clone(),
        index: work.index.clone(),
        version: work.version,
        shards: shards.to_vec(),
        operation: work.operation.clone(),
        deadline_ms: u32::try_from(millis).unwrap_or(u32::MAX),
        payload: work.payload.clone(),
        message: work.forward.as_ref().and_then(|forward| forward.message.clone()),
    }
}
