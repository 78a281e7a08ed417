//! Hedging: sends a second call for a portion of a query whose first call is slow. Non-idempotent
//! portions and trials are never hedged.

use std::time::Duration;

use super::ending::MAX_EXTRA_CALLS_PER_QUERY;
use super::event::Action;
use super::machine::Machine;
use super::portion::{Portion, PortionKey};
use super::server::ServerKey;
use super::service::ServiceId;
use super::timer::Timer;
use crate::count;
use crate::time::Instant;
use ladder_schema::outcome::Reason;

/// Number of portions considered for a hedge beyond those that the budget can pay for, when no
/// server can take the first ones.
const HEDGE_SCAN_MARGIN: usize = 8;
/// Share of the target time of a message, in percent, after which a call counts as slow whatever
/// call times are learned. With sweeps over 20 services whose servers stall 4% of the time, a share
/// of 20% spends hedges on calls that would have ended anyway (a loss of 0.01 of the value of
/// answers under high load), and 40% is no better than 30%.
const HEDGE_DELAY_TARGET_PERCENT: u32 = 30;

/// Load of the servers of a service, in other calls per slot, above which no hedges are sent.
///
/// Above this load, a call is slow because it is queued at its server, and its hedge makes other
/// calls wait. With sweeps over 20 busy services (four scenarios, two seeds), the value of answers
/// was 0.61 with hedging at any load, 0.62 with a limit of 0.38 or 0.85, and 0.63 with 0.6. On a
/// lightly loaded fleet, a limit of 0.6 changes nothing, and no hedging at all loses 0.02. Hedges
/// are sent at any load when the servers do not report their load.
const MAX_HEDGING_LOAD: f64 = 0.6;

impl Machine {
    /// Schedules the time at which a portion's call counts as slow and may be hedged.
    pub(super) fn schedule_hedge(&mut self, key: PortionKey) {
        let portion = &self.portions[key];
        if !self.settings.hedging || portion.runs_once() || portion.hedged {
            return;
        }
        let overdue_at = overdue_at(portion, self.now);
        let Some(at) = self.hedge_delay(key).map(|delay| self.now + delay).or(overdue_at) else {
            return;
        };
        if at < portion.deadline {
            self.timers.push(at, Timer::Hedge(key));
        }
    }

    /// Time after which a call of a portion counts as slow; `None` if there is no target time and
    /// call times are not learned yet.
    ///
    /// A hedge sent when most of the target time has passed is too late, and before call times are
    /// learned no hedge would be sent at all. With a target time, a call therefore counts as slow
    /// after [`HEDGE_DELAY_TARGET_PERCENT`] of it at the latest.
    pub(super) fn hedge_delay(&self, key: PortionKey) -> Option<Duration> {
        let portion = &self.portions[key];
        let learned = self.slow_call_time(portion.service, portion.kind);
        let forward = portion.job.work.forward.as_ref();
        let target = forward.map_or(0, |forward| forward.target_ms);
        if target == 0 {
            return learned;
        }
        let max_delay = Duration::from_millis(target.into()) * HEDGE_DELAY_TARGET_PERCENT / 100;
        Some(learned.map_or(max_delay, |learned| learned.min(max_delay)))
    }

    /// Marks a portion with a slow call for hedging. The hedge is sent as soon as a slot and a
    /// token of the budget are free.
    pub(super) fn hedge_due(&mut self, key: PortionKey) {
        let Some(portion) = self.portions.get(key) else {
            return;
        };
        let [attempt] = portion.attempts[..] else {
            return;
        };
        if portion.hedged {
            return;
        }
        if let Some(at) = self.hedge_deferred_until(key) {
            self.timers.push(at, Timer::Hedge(key));
            return;
        }
        let id = portion.service;
        let sent = self.attempts[attempt].sent;
        if let Some(at) = overdue_at(portion, sent).filter(|at| *at > self.now) {
            self.timers.push(at, Timer::Hedge(key));
        }
        self.services[id].due_hedges.insert((sent, key));
        self.mark_changed(id);
    }

    /// Sends the hedges that are due, for the call sent longest ago first, while slots and tokens
    /// of the budget are available.
    pub(super) fn send_due_hedges(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        let service = &mut self.services[id];
        if service.due_hedges.is_empty() || service.busy.value() > MAX_HEDGING_LOAD {
            return;
        }
        let limit = HEDGE_SCAN_MARGIN + service.budget.refill(self.now).calls() as usize;
        let due_hedges: Vec<_> = service.due_hedges.iter().take(limit).copied().collect();
        for (sent, key) in due_hedges {
            if !self.has_room(id) {
                return;
            }
            if !self.affords_hedge(id, key, sent) || self.hedge_suppressed(key) {
                continue;
            }
            if !self.is_hedge_useful(key) {
                self.services[id].due_hedges.remove(&(sent, key));
                continue;
            }
            let Some(server) = self.choose_hedge_server(id, key) else {
                continue;
            };
            self.services[id].due_hedges.remove(&(sent, key));
            self.services[id].budget.spend();
            self.portions[key].hedged = true;
            Self::count(count::Event::Hedge, Reason::Hedge, out);
            self.send_call(key, server, out);
        }
    }

    /// Whether the budget pays for a hedge. The hedge of an overdue call may spend the tokens that
    /// are reserved for retries.
    fn affords_hedge(&self, id: ServiceId, key: PortionKey, sent: Instant) -> bool {
        let budget = &self.services[id].budget;
        let is_overdue = overdue_at(&self.portions[key], sent).is_some_and(|at| at <= self.now);
        budget.affords_hedge() || (is_overdue && budget.affords_retries(1))
    }

    /// Whether a hedge can still be answered in time and the query has extra calls left.
    fn is_hedge_useful(&self, key: PortionKey) -> bool {
        let portion = &self.portions[key];
        let mean = self.mean_call_time(portion.service, portion.kind).unwrap_or_default();
        let in_time = self.now + mean / 2 < portion.deadline && portion.may_be_sent_again();
        in_time && portion.job.work.extra_calls + portion.calls <= MAX_EXTRA_CALLS_PER_QUERY
    }

    /// Selects the server for a hedge: a server with a free slot and no sign of trouble to which
    /// the portion has not been sent yet. A hedge to a server that sheds load, leaves, warms up or
    /// fails would increase its trouble without helping.
    fn choose_hedge_server(&self, id: ServiceId, key: PortionKey) -> Option<ServerKey> {
        let portion = &self.portions[key];
        let work = &portion.job.work;
        let suitable = |candidate: &ServerKey| {
            let server = &self.servers[*candidate];
            let healthy = self.now >= server.health.shed_until() && !server.health.suspect();
            let free = server.in_flight < server.capacity(self.now);
            healthy
                && free
                && !server.is_cold(self.now)
                && !portion.tried_servers.contains(candidate)
                && self.is_eligible_for(key, *candidate)
                && self.can_send(*candidate)
                && self.idle_connection_for(key, *candidate).is_some()
                && self.serves_version(*candidate, work)
        };
        let candidates = self.services[id].servers.iter().copied();
        candidates.filter(suitable).min_by_key(|candidate| {
            let server = &self.servers[*candidate];
            let preference = self.preference(portion, server);
            (preference.is_zonal && preference.crosses_zones, server.in_flight)
        })
    }
}

/// Time at which a call that was sent at `sent` counts as lost with its server, although its
/// connection is open: when half of the time is over that was left to the latency objective, or to
/// the deadline if the objective is missed or there is none. `None` for work other than single
/// messages.
///
/// A server that hangs shows no other sign until the deadline. Soon after a start, or after a burst
/// of failures, the budget holds no more than the reserve for retries, and the message would stay at
/// that server although another one could answer it. A sweep is answered without the part instead.
fn overdue_at(portion: &Portion, sent: Instant) -> Option<Instant> {
    portion.job.work.forward.as_ref().filter(|forward| !forward.part)?;
    let objective = portion.timely_at.filter(|at| *at > sent);
    Some(sent + objective.unwrap_or(portion.deadline).since(sent) / 2)
}
