//! Checks, before anything is sent, whether the servers of a service can be expected to take work.

use std::time::Duration;

use ladder_schema::outcome::Reason;
use ladder_schema::settings::Selection;
use ladder_schema::wire;

use super::dispatch::UNREACHABLE_OPEN_FAILURES;
use super::exclusion::Exclusion;
use super::machine::Machine;
use super::reply::Refused;
use super::server::{Server, ServerKey};
use super::service::ServiceId;
use crate::eligible::ServerHash;
use crate::time::Instant;

/// Time allowed for opening a connection in the advised delay of a refusal. A server needs about
/// 6 ms, and longer while it opens many connections.
const OPENING_TIME: Duration = Duration::from_millis(50);

impl Machine {
    /// Name hashes of the servers of a service that fail, shed load or respond slowly; empty if all
    /// of its servers do.
    ///
    /// With zonal aggregation, a server of this instance's zone that only responds slowly is not
    /// reported. A server that stalled for a moment counts as slow for about a second, and all
    /// sweeps would name servers of other zones meanwhile; this instance can send a call to the
    /// other server that the sweep names. A part that names a server that fails has no second
    /// server left if the other one stalls, so such a server is reported in any zone.
    pub(super) fn avoided(&self, id: ServiceId) -> Vec<u32> {
        let servers = self.services[id].servers.iter().map(|key| &self.servers[*key]);
        let accepting = servers.filter(|server| server.accepts_work());
        let is_zonal = self.is_sent_zonally(id);
        let is_poor = |server: &&Server| {
            let keeps_slow = is_zonal && server.zone == self.settings.zone;
            let health = &server.health;
            health.is_failing(self.now) || !keeps_slow && health.is_slow(self.now)
        };
        if accepting.clone().all(|server| is_poor(&server)) {
            return Vec::new();
        }
        accepting.filter(is_poor).map(|server| server.name_hash.0).collect()
    }

    /// Total number of slots of the servers that accept new work, within the in-flight limit of the
    /// service.
    pub(super) fn usable_slots(&self, id: ServiceId) -> u32 {
        let service = &self.services[id];
        let servers = service.servers.iter().map(|key| &self.servers[*key]);
        let accepting = servers.filter(|server| server.accepts_work());
        let slots: u32 = accepting.map(|server| server.capacity(self.now)).sum();
        match service.limits().in_flight {
            0 => slots,
            limit => slots.min(limit),
        }
    }

    /// Checks that at least one of the eligible servers can be expected to take the work before the
    /// deadline; otherwise returns the reason of the refusal.
    pub(super) fn check_servers(
        &self,
        id: ServiceId,
        work: &wire::Work,
        eligible: Option<&[ServerHash]>,
        deadline: Instant,
    ) -> Result<(), Refused> {
        let servers = self.services[id].servers.iter().copied();
        let accepting: Vec<ServerKey> = servers
            .filter(|key| self.servers[*key].accepts_work() && self.is_eligible(eligible, *key))
            .collect();
        if accepting.is_empty() {
            return Err(Refused::not_run(self.exclusion_reason(id)));
        }
        let serving: Vec<ServerKey> =
            accepting.into_iter().filter(|key| self.serves_version(*key, work)).collect();
        if serving.is_empty() {
            return Err(Refused::not_run(Reason::VersionRetired));
        }
        let unreachable = |key: &ServerKey| {
            let server = &self.servers[*key];
            server.in_flight == 0 && server.open_failures >= UNREACHABLE_OPEN_FAILURES
        };
        if serving.iter().all(unreachable) {
            return Err(self.unreachable(&serving));
        }
        let earliest = |until: fn(&Self, ServerKey) -> Instant| {
            let first = serving.iter().map(|key| until(self, *key)).min();
            first.filter(|until| *until >= deadline).map(|until| until.since(self.now))
        };
        let shed_wait = earliest(|machine, key| machine.servers[key].health.shed_until());
        if let Some(wait) = shed_wait.filter(|_| self.selects_by_outcome()) {
            return Err(Refused::not_run(Reason::TargetShed).retry_after(wait));
        }
        match earliest(Self::next_warmup_request_at) {
            Some(wait) => Err(Refused::not_run(Reason::WarmingUp).retry_after(wait)),
            None => Ok(()),
        }
    }

    /// Refusal of work because none of these servers can be reached. With gradual startup it advises
    /// to retry after the next attempt to open a connection: after a loss of all instances, servers
    /// reset new connections for as long as they count those of the lost instances.
    fn unreachable(&self, servers: &[ServerKey]) -> Refused {
        let refused = Refused::not_run(Reason::ConnectFailed);
        let next = servers.iter().map(|key| self.servers[*key].reopen_at).min();
        match next.filter(|_| self.settings.gradual_startup) {
            Some(next) => refused.retry_after(next.since(self.now) + OPENING_TIME),
            None => refused,
        }
    }

    /// Reason to refuse work when none of the servers of a service accepts work.
    fn exclusion_reason(&self, id: ServiceId) -> Reason {
        let servers = self.services[id].servers.iter().map(|key| &self.servers[*key]);
        let mut exclusions = servers.filter_map(|server| server.exclusion(false));
        match exclusions.any(|exclusion| exclusion == Exclusion::Evacuated) {
            true => Reason::Evacuated,
            false => Reason::NoServer,
        }
    }

    /// Whether servers are selected by the outcomes of their calls instead of round-robin.
    fn selects_by_outcome(&self) -> bool {
        self.settings.selection != Selection::RoundRobin
    }
}
