//! Second copies of slow repeatable calls.

use std::time::Duration;

use super::ending::QUERY_EXTRA;
use super::event::Action;
use super::machine::Machine;
use super::portion::PortionKey;
use super::server::ServerKey;
use super::service::ServiceId;
use super::timer::Timer;
use crate::count;
use ladder_schema::outcome::Reason;

/// Overdue portions looked at beyond those that the budget pays, when the first ones find no server.
const SCAN: usize = 8;
/// Part of a message's target time after which a call counts as slow whatever is learned. Measured on
/// sweeps over 20 services whose servers stand still 4% of the time: at 20 the extra calls go to calls
/// that would have ended (0.01 of the worth of a loaded day), 40 is no better than 30.
const TARGET_PERCENT: u32 = 30;

/// Work that servers hold besides a call, over their slots, above which no second copies are sent.
///
/// A call is slow then because it waits, and its copy makes others wait. Measured on four days of sweeps
/// over 20 busy services, two seeds: 0.61 of the worth with copies at any load, 0.62 with this at 0.38 or
/// 0.85, 0.63 at 0.6; on a fleet that is hardly busy nothing changes at 0.6, and 0.02 is lost without any
/// copies. Where servers don't report their load copies go out at any load.
const COPIES_BUSY: f64 = 0.6;

impl Machine {
    /// Sets the time at which a portion's call counts as slow.
    pub(super) fn plan_hedge(&mut self, key: PortionKey) {
        let portion = &self.portions[key];
        if !self.settings.hedging || portion.unrepeatable || portion.hedged {
            return;
        }
        let Some(delay) = self.patience(key) else {
            return;
        };
        let at = self.now + delay;
        if at < portion.deadline {
            self.timers.push(at, Timer::Hedge(key));
        }
    }

    /// How long a portion's call may take before it counts as slow.
    ///
    /// A second copy that goes out when most of the target time has passed comes too late, and
    /// before call times are learned there would be none at all: with a target, a call counts as
    /// slow after a part of it at the latest.
    pub(super) fn patience(&self, key: PortionKey) -> Option<Duration> {
        let portion = &self.portions[key];
        let learned = self.slow(portion.service, portion.kind);
        let forward = portion.job.work.forward.as_ref();
        let target = forward.map_or(0, |forward| forward.target_ms);
        if target == 0 {
            return learned;
        }
        let most = Duration::from_millis(target.into()) * TARGET_PERCENT / 100;
        Some(learned.map_or(most, |learned| learned.min(most)))
    }

    /// A portion's call is slow: it gets a second copy as soon as a slot and a token are free.
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
        if let Some(at) = self.early_until(key) {
            self.timers.push(at, Timer::Hedge(key));
            return;
        }
        let id = portion.service;
        let sent = self.attempts[attempt].sent;
        self.services[id].overdue.insert((sent, key));
        self.mark(id);
    }

    /// Sends second copies, the longest-waiting portion first, while slots and tokens last.
    pub(super) fn hedge_overdue(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        let service = &mut self.services[id];
        if service.overdue.is_empty() || service.busy.value() > COPIES_BUSY {
            return;
        }
        let most = SCAN + service.budget.at(self.now).calls() as usize;
        let overdue: Vec<_> = service.overdue.iter().take(most).copied().collect();
        for (sent, key) in overdue {
            if !self.services[id].budget.affords_copy() || !self.has_room(id) {
                return;
            }
            if self.stalls(key) {
                continue;
            }
            if !self.worth_copying(key) {
                self.services[id].overdue.remove(&(sent, key));
                continue;
            }
            let Some(server) = self.choose_second(id, key) else {
                continue;
            };
            self.services[id].overdue.remove(&(sent, key));
            self.services[id].budget.spend();
            self.portions[key].hedged = true;
            Self::count(count::Event::Hedge, Reason::Hedge, out);
            self.send(key, server, out);
        }
    }

    /// Whether a second copy may still help and the query has not spent its extra calls.
    fn worth_copying(&self, key: PortionKey) -> bool {
        let portion = &self.portions[key];
        let mean = self.mean(portion.service, portion.kind).unwrap_or_default();
        let in_time = self.now + mean / 2 < portion.deadline && portion.may_go_out();
        in_time && portion.job.work.extra_calls + portion.calls <= QUERY_EXTRA
    }

    /// The server for a second copy: one that was not tried, with a free slot and no sign of
    /// trouble. A copy sent to a server that sheds, leaves, warms up or fails adds to its trouble
    /// and does not help.
    fn choose_second(&self, id: ServiceId, key: PortionKey) -> Option<ServerKey> {
        let portion = &self.portions[key];
        let work = &portion.job.work;
        let fits = |candidate: &ServerKey| {
            let server = &self.servers[*candidate];
            let calm = self.now >= server.health.shed_until() && !server.health.suspect();
            let free = server.in_flight < server.capacity(self.now);
            calm && free
                && !server.cold(self.now)
                && !portion.tried.contains(candidate)
                && self.may_run(key, *candidate)
                && self.can_send(*candidate)
                && self.holds(*candidate, work)
        };
        let candidates = self.services[id].servers.iter().copied();
        candidates.filter(fits).min_by_key(|candidate| self.servers[*candidate].in_flight)
    }
}
