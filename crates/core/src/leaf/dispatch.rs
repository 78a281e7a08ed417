//! Dispatch: decides which queued portion (the part of a query for one service) is sent to which
//! server now.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::Reason;
use ladder_schema::settings::Selection;
use ladder_schema::{target, wire};

use super::attempt::Attempt;
use super::connection;
use super::event::{Action, ConnectionKey};
use super::intake::DEFAULT_CALL_TIME;
use super::kinds::WorkKind;
use super::machine::Machine;
use super::portion::{Portion, PortionKey};
use super::queue::Class;
use super::reply::Refused;
use super::server::{Server, ServerKey};
use super::service::ServiceId;
use super::timer::Timer;
use crate::eligible::ServerHash;
use crate::time::Instant;

/// Number of queued portions considered for dispatch when no server can take the first ones.
const DISPATCH_SCAN_LIMIT: usize = 8;
/// Number of consecutive failures to connect after which a server without a connection counts as
/// unreachable.
pub(super) const UNREACHABLE_OPEN_FAILURES: u32 = 3;
/// Weight of failed and shed calls in the cost of a server: a rate of 1 adds this many times the
/// expected call time.
const FAILURE_COST_FACTOR: f64 = 4.0;

impl Machine {
    /// Dispatches queued portions of all services that changed during the current event.
    pub(super) fn dispatch_changed(&mut self, out: &mut Vec<Action>) {
        while let Some(id) = self.changed_services.pop() {
            if let Some(service) = self.services.get_mut(id) {
                service.is_changed = false;
                self.dispatch_service(id, out);
            }
        }
    }

    /// Sends the hedged calls that are due and queued portions of one service, as far as its
    /// servers can take them.
    fn dispatch_service(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        self.refuse_poison_requests(out);
        self.send_due_hedges(id, out);
        while self.dispatch_one(id, out) {}
        if !self.services[id].queue.is_empty() {
            self.replace_used_connections(id, out);
            self.maintain(id, out);
        }
    }

    /// Sends, refuses or requeues one queued portion. Returns `false` when no portion can be
    /// handled now.
    fn dispatch_one(&mut self, id: ServiceId, out: &mut Vec<Action>) -> bool {
        let service = &self.services[id];
        if service.queue.is_empty() || !self.has_room(id) {
            return false;
        }
        let head: Vec<PortionKey> = self.first_queued(id).collect();
        for key in head {
            if self.too_late(key) {
                let refused =
                    Refused::with_verdict(self.current_verdict(key), Reason::WouldMissDeadline);
                self.refuse_portion(key, refused, out);
                return true;
            }
            if self.misses_objective(key) {
                self.move_to_late_class(key);
                return true;
            }
            if let Some(server) = self.choose_server(id, key) {
                self.dispatch(key, server, out);
                return true;
            }
        }
        false
    }

    /// The first queued portions of a service that may be sent now.
    pub(super) fn first_queued(&self, id: ServiceId) -> impl Iterator<Item = PortionKey> {
        let order = self.services[id].queue.order().filter(|key| !self.is_held(*key));
        order.take(DISPATCH_SCAN_LIMIT)
    }

    /// Whether the limits of the service allow one more call in flight and some server can take the
    /// call.
    pub(super) fn has_room(&self, id: ServiceId) -> bool {
        let service = &self.services[id];
        let limit = service.limits().in_flight;
        if limit > 0 && service.in_flight >= limit {
            return false;
        }
        service.servers.iter().any(|server| self.can_send(*server))
    }

    /// Whether a server has a free slot and an idle connection, and is not excluded from new work.
    pub(super) fn can_send(&self, key: ServerKey) -> bool {
        let server = &self.servers[key];
        let free = !self.settings.queueing || server.in_flight < self.max_calls(server);
        let warmup_limited = self.next_warmup_request_at(key) > self.now;
        free && server.exclusion(warmup_limited).is_none() && self.idle_connection(key).is_some()
    }

    /// Maximum number of calls in flight at a server.
    ///
    /// The limit is the number of slots, plus one call while work is queued and the server makes
    /// progress. With the slots alone, each slot is idle for a network round trip after every call:
    /// a tenth of the time with calls of 10 ms. The extra call raised the value of answers by 0.02
    /// to 0.05 in scenarios with slow and with load-shedding servers. A stalled server gets no
    /// extra call, because the call would wait with the others.
    fn max_calls(&self, server: &Server) -> u32 {
        let slots = server.capacity(self.now);
        let service = &self.services[server.service];
        if !self.settings.by_need || service.queue.is_empty() {
            return slots;
        }
        let mean = service.call_times.all().mean().unwrap_or(DEFAULT_CALL_TIME);
        slots + u32::from(self.oldest_call_age(server) < mean)
    }

    /// Returns an idle pooled connection to a server.
    pub(super) fn idle_connection(&self, key: ServerKey) -> Option<ConnectionKey> {
        self.idle_connections(key).next()
    }

    /// Whether a portion could not be answered by its deadline even if it were sent now.
    fn too_late(&self, key: PortionKey) -> bool {
        let portion = &self.portions[key];
        let fast_call = match self.settings.queueing {
            true => self.fast_call_time(portion.service, portion.kind),
            false => Duration::ZERO,
        };
        self.now + fast_call >= portion.deadline
    }

    /// Whether a portion with a latency objective would miss it even if the portion were sent now.
    /// Such a portion is moved behind those that can still meet theirs.
    ///
    /// Without this rule, in overload every portion would wait slightly too long and hardly any
    /// would meet its objective.
    fn misses_objective(&self, key: PortionKey) -> bool {
        let portion = &self.portions[key];
        let fast_call = self.fast_call_time(portion.service, portion.kind);
        let timely = portion.queue_position.is_some_and(|position| !position.is_late());
        timely && portion.timely_at.is_some_and(|at| self.now + fast_call >= at)
    }

    /// Moves a queued portion to the class of portions that miss their latency objective.
    fn move_to_late_class(&mut self, key: PortionKey) {
        let portion = &mut self.portions[key];
        let queue = &mut self.services[portion.service].queue;
        if let Some(position) = portion.queue_position.take() {
            queue.remove(position);
        }
        portion.queue_position = Some(queue.push(Class::LATE, portion.arrived, key));
    }

    /// Selects the server for the next call of a portion, with the configured strategy.
    fn choose_server(&mut self, id: ServiceId, key: PortionKey) -> Option<ServerKey> {
        match self.settings.selection {
            Selection::RoundRobin => self.choose_round_robin(id, key),
            _ => self.choose_by_outcome(id, key),
        }
    }

    /// Selects the next server in round-robin order that can take the portion.
    fn choose_round_robin(&mut self, id: ServiceId, key: PortionKey) -> Option<ServerKey> {
        let work = &self.portions[key].job.work;
        let service = &self.services[id];
        let count = service.servers.len();
        let order = (0..count).map(|step| (service.cursor + step) % count);
        let found = order.map(|index| (index, service.servers[index])).find(|(_, server)| {
            self.is_eligible_for(key, *server)
                && self.can_send(*server)
                && self.idle_connection_for(key, *server).is_some()
                && self.serves_version(*server, work)
        });
        let (index, server) = found?;
        self.services[id].cursor = index + 1;
        Some(server)
    }

    /// Selects the server with the lowest cost: its expected call time, increased by load and
    /// failures.
    ///
    /// A suspected server gets one call at a time after each of its pauses, so that its recovery is
    /// detected. Non-idempotent work is not used for these trial calls.
    fn choose_by_outcome(&mut self, id: ServiceId, key: PortionKey) -> Option<ServerKey> {
        let portion = &self.portions[key];
        let service = &self.services[id];
        let suspects = self.suspects(id);
        let mut best: Option<(f64, ServerKey)> = None;
        let mut yields_until = None;
        let count = service.servers.len();
        for step in 0..count {
            let candidate = service.servers[(service.cursor + step) % count];
            if !self.takes(key, candidate) || self.idle_connection_for(key, candidate).is_none() {
                continue;
            }
            if let Some(until) = self.yields_until(key, candidate) {
                yields_until = yields_until.max(Some(until));
                continue;
            }
            let server = &self.servers[candidate];
            if suspects.contains(&candidate) {
                let trial_allowed =
                    !portion.unrepeatable && !portion.tried_servers.contains(&candidate);
                if trial_allowed && self.ready_for_trial(server) {
                    return Some(candidate);
                }
                continue;
            }
            let cost = self.cost(portion, server, portion.tried_servers.contains(&candidate));
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, candidate));
            }
        }
        self.services[id].cursor = (self.services[id].cursor + 1) % count.max(1);
        if let (None, Some(until)) = (best, yields_until) {
            self.schedule_end_of_yielding(id, until);
        }
        best.map(|(_, server)| server)
    }

    /// Whether a server can take a portion now, on whichever of its connections.
    pub(super) fn takes(&self, key: PortionKey, candidate: ServerKey) -> bool {
        let work = &self.portions[key].job.work;
        let usable = self.is_eligible_for(key, candidate) && self.can_take(candidate, work);
        usable && !self.already_shed(key, candidate) && !self.already_lost(key, candidate)
    }

    /// Whether a server can take this work now: it has a free slot, an idle connection and the
    /// index version, and no pause after load shedding is in force.
    fn can_take(&self, key: ServerKey, work: &wire::Work) -> bool {
        let server = &self.servers[key];
        let shedding = self.now < server.health.shed_until();
        !shedding && self.can_send(key) && self.serves_version(key, work)
    }

    /// Whether a server already shed this portion and has answered no call since its last shedding,
    /// while another server may still take the portion.
    ///
    /// A shedding server looks free as soon as its pause ends. A portion that waits for a busy
    /// replica would be sent to the shedding server again and again until its attempts are used up,
    /// and its shards would be missing although the replica would have answered in time. Other
    /// portions still try the shedding server.
    fn already_shed(&self, key: PortionKey, candidate: ServerKey) -> bool {
        let portion = &self.portions[key];
        let has_shed = |server: ServerKey| {
            self.servers[server].health.has_shed() && portion.tried_servers.contains(&server)
        };
        let takes = |key: &ServerKey| {
            let server = &self.servers[*key];
            let reachable =
                server.in_flight > 0 || server.open_failures < UNREACHABLE_OPEN_FAILURES;
            let usable = server.accepts_work() && reachable && !server.health.suspect();
            let in_time = server.health.shed_until() < portion.deadline;
            let serves_version = self.serves_version(*key, &portion.job.work);
            usable && in_time && serves_version && !has_shed(*key)
        };
        let takes = |server: &ServerKey| takes(server) && self.is_eligible_for(key, *server);
        has_shed(candidate) && self.services[portion.service].servers.iter().any(takes)
    }

    /// Whether a call of this portion may have run at the server, while another server to which the
    /// portion was not sent yet can be expected to take it.
    ///
    /// If all slots of the other servers are busy for a moment, a portion whose server has just
    /// lost the connection would be sent to the same server again, and with two attempts it would
    /// fail although another server could answer it. A server that has terminated may keep other
    /// connections open for tens of milliseconds. A server whose oldest call has taken twice the
    /// usual time is not waited for.
    fn already_lost(&self, key: PortionKey, candidate: ServerKey) -> bool {
        let portion = &self.portions[key];
        if !portion.may_have_run || !portion.tried_servers.contains(&candidate) {
            return false;
        }
        let usual = self.mean_call_time(portion.service, portion.kind);
        let usual = usual.unwrap_or(DEFAULT_CALL_TIME);
        let takes = |key: &ServerKey| {
            let server = &self.servers[*key];
            let reachable =
                server.in_flight > 0 || server.open_failures < UNREACHABLE_OPEN_FAILURES;
            let in_time = server.health.shed_until() < portion.deadline;
            let is_usable = server.accepts_work() && reachable && !server.health.suspect();
            let is_untried = !portion.tried_servers.contains(key);
            is_usable && in_time && is_untried && self.oldest_call_age(server) < usual * 2
        };
        let mut servers = self.services[portion.service].servers.iter();
        servers.any(|server| takes(server) && self.is_eligible_for(key, *server))
    }

    /// Whether a portion may run on a server, according to the servers that its entry instance
    /// selected.
    pub(super) fn is_eligible_for(&self, key: PortionKey, candidate: ServerKey) -> bool {
        let eligible = self.portions[key].eligible.as_deref();
        self.is_eligible(eligible, candidate)
    }

    /// Whether the list of eligible servers contains a server; `None` allows every server.
    pub(super) fn is_eligible(
        &self,
        eligible: Option<&[ServerHash]>,
        candidate: ServerKey,
    ) -> bool {
        eligible.is_none_or(|hashes| hashes.contains(&self.servers[candidate].name_hash))
    }

    /// Whether a server serves the index version that the work requires.
    pub(super) fn serves_version(&self, key: ServerKey, work: &wire::Work) -> bool {
        // A routing version determines the services of a forwarded message; their servers answer
        // requests under every routing version.
        work.forward.is_some()
            || self.servers[key].serves_version(self.now, &work.index, work.version)
    }

    /// Whether a suspected server may get a trial call: its pause has ended and it has no call in
    /// flight.
    fn ready_for_trial(&self, server: &Server) -> bool {
        self.now >= server.health.paused_until() && server.in_flight == 0
    }

    /// Cost of sending a call to a server: the expected call time in seconds, multiplied by factors
    /// for load, failures, an earlier failed attempt and another zone.
    fn cost(&self, portion: &Portion, server: &Server, tried: bool) -> f64 {
        let expected_call_time = self.expected_call_time(portion.service, portion.kind, server);
        let health = &server.health;
        let failures =
            FAILURE_COST_FACTOR * (health.failure_rate(self.now) + health.shed_rate(self.now));
        let retry_factor = if tried { 4.0 } else { 1.0 };
        let factor = self.preference(portion, server).cost_factor();
        expected_call_time.as_secs_f64() * factor * (1.0 + failures) * retry_factor
    }

    /// Expected call time at a server, without the calls that already wait there.
    fn expected_call_time(&self, id: ServiceId, kind: WorkKind, server: &Server) -> Duration {
        let mean = self.mean_call_time(id, kind).unwrap_or(DEFAULT_CALL_TIME);
        let relative = server.health.relative_call_time(self.now).unwrap_or(1.0).max(0.5);
        mean.mul_f64(relative).max(self.oldest_call_age(server))
    }

    /// Age of the oldest unanswered call at a server, a lower bound of its current call time.
    ///
    /// A server that stalls for a moment gives no other sign of it, and all calls sent to it
    /// meanwhile wait until it continues.
    pub(super) fn oldest_call_age(&self, server: &Server) -> Duration {
        let oldest = self.open_calls(server).map(|call| call.sent).min();
        oldest.map_or(Duration::ZERO, |sent| self.now.since(sent))
    }

    /// Unanswered calls at a server.
    pub(super) fn open_calls(&self, server: &Server) -> impl Iterator<Item = &Attempt> {
        let connections = server.connections.iter().map(|key| &self.connections[*key]);
        connections.filter_map(|connection| match connection.state {
            connection::State::Busy(attempt) => self.attempts.get(attempt),
            _ => None,
        })
    }

    /// Returns the servers that are suspected because of their call outcomes: at most the worst
    /// half.
    ///
    /// When most servers appear to fail, the cause is probably on the side of this instance, such
    /// as its network. Without the limit, the instance would stop sending altogether.
    pub(super) fn suspects(&self, id: ServiceId) -> Vec<ServerKey> {
        let mut all = self.services[id].servers.iter();
        if !all.any(|key| self.servers[*key].health.suspect()) {
            return Vec::new();
        }
        let accepting = |key: &&ServerKey| self.servers[**key].accepts_work();
        let servers: Vec<ServerKey> =
            self.services[id].servers.iter().filter(accepting).copied().collect();
        let rate = |key: &ServerKey| self.servers[*key].health.failure_rate(self.now);
        let suspect = |key: &ServerKey| self.servers[*key].health.suspect();
        let mut suspects: Vec<ServerKey> = servers.iter().copied().filter(suspect).collect();
        suspects.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
        suspects.truncate(servers.len() / 2);
        suspects
    }

    /// Removes a portion from the queue, sends it to a server and schedules its hedge.
    fn dispatch(&mut self, key: PortionKey, server: ServerKey, out: &mut Vec<Action>) {
        let portion = &mut self.portions[key];
        let first = portion.calls == 0;
        let id = portion.service;
        let position = portion.queue_position.take();
        let service = &mut self.services[id];
        if let Some(position) = position {
            service.queue.dispatch(position);
        }
        if first {
            if !portion.repeated {
                service.budget.earn_for_call();
            }
            service.admission.record_dispatch(self.now, portion.class);
        }
        self.send_call(key, server, out);
        self.schedule_hedge(key);
    }

    /// Sends one call of a portion on an idle pooled connection to the server.
    pub(super) fn send_call(&mut self, key: PortionKey, to: ServerKey, out: &mut Vec<Action>) {
        let Some(connection) = self.idle_connection_for(key, to) else {
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
            connection,
            id: id.clone(),
            job: Arc::clone(&portion.job),
            shards: Arc::clone(&portion.shards),
            sent: self.now,
            timeout,
            record: portion.unrepeatable.then(|| portion.record()),
            abandoned: false,
        };
        self.count_zone_call(&call, out);
        self.call_began(&call, out);
        self.record_warmup_request(to);
        let attempt = self.attempts.insert(call);
        self.record_trial(to, attempt);
        let call_trace = self.call_trace(key, to, attempt);
        let portion = &mut self.portions[key];
        portion.call_traces.push(call_trace);
        portion.attempts.push(attempt);
        portion.tried_servers.push(to);
        portion.used_connections.push(connection);
        portion.calls += 1;
        self.services[portion.service].in_flight += 1;
        self.servers[to].in_flight += 1;
        self.connections[connection].state = connection::State::Busy(attempt);
        out.push(Action::Send {
            connection,
            attempt,
            request: target_request(&portion.job.work, &portion.shards, id, timeout),
            timeout,
        });
    }

    /// Schedules a dispatch of the service for the time at which a pause of one of its servers
    /// ends.
    pub(super) fn schedule_dispatch(&mut self, id: ServiceId, at: Instant) {
        if at > self.now {
            self.timers.push(at, Timer::Dispatch(id));
        }
    }
}

/// Builds the request to the target server for the given shards.
fn target_request(
    work: &wire::Work,
    shards: &[String],
    id: String,
    timeout: Duration,
) -> target::Request {
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
