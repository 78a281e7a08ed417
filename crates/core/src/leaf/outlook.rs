//! What a service's servers can be expected to take, as far as is known before anything is sent.

use ladder_schema::outcome::Reason;
use ladder_schema::settings::Selection;
use ladder_schema::wire;

use super::dispatch::UNREACHABLE;
use super::exclusion::Exclusion;
use super::machine::Machine;
use super::reply::Refused;
use super::server::{Server, ServerKey};
use super::service::ServiceId;
use crate::eligible::Mark;
use crate::time::Instant;

impl Machine {
    /// Marks of a service's servers that are poor; none if all are.
    pub(super) fn avoided(&self, id: ServiceId) -> Vec<u32> {
        let servers = self.services[id].servers.iter().map(|key| &self.servers[*key]);
        let accepting = servers.filter(|server| server.accepts());
        let is_poor = |server: &&Server| server.health.is_poor(self.now);
        if accepting.clone().all(|server| is_poor(&server)) {
            return Vec::new();
        }
        accepting.filter(is_poor).map(|server| server.mark.0).collect()
    }

    /// Slots of the servers that may get work.
    pub(super) fn usable_slots(&self, id: ServiceId) -> u32 {
        let service = &self.services[id];
        let servers = service.servers.iter().map(|key| &self.servers[*key]);
        let accepting = servers.filter(|server| server.accepts());
        let slots: u32 = accepting.map(|server| server.capacity(self.now)).sum();
        match service.limits().in_flight {
            0 => slots,
            limit => slots.min(limit),
        }
    }

    /// Whether any of the servers that such work may run on can be expected to take it before the
    /// deadline.
    pub(super) fn outlook(
        &self,
        id: ServiceId,
        work: &wire::Work,
        eligible: Option<&[Mark]>,
        deadline: Instant,
    ) -> Result<(), Refused> {
        let servers = self.services[id].servers.iter().copied();
        let accepting: Vec<ServerKey> = servers
            .filter(|key| self.servers[*key].accepts() && self.is_eligible(eligible, *key))
            .collect();
        if accepting.is_empty() {
            return Err(Refused::because(self.excluded_for(id)));
        }
        let holders: Vec<ServerKey> =
            accepting.into_iter().filter(|key| self.holds(*key, work)).collect();
        if holders.is_empty() {
            return Err(Refused::because(Reason::VersionRetired));
        }
        let unreachable = |key: &ServerKey| {
            let server = &self.servers[*key];
            server.in_flight == 0 && server.open_failures >= UNREACHABLE
        };
        if holders.iter().all(unreachable) {
            return Err(Refused::because(Reason::ConnectFailed));
        }
        let first = |until: fn(&Self, ServerKey) -> Instant| {
            let first = holders.iter().map(|key| until(self, *key)).min();
            first.filter(|until| *until >= deadline).map(|until| until.since(self.now))
        };
        let shed = first(|machine, key| machine.servers[key].health.shed_until());
        if let Some(wait) = shed.filter(|_| self.selects_by_outcome()) {
            return Err(Refused::because(Reason::TargetShed).come_back(wait));
        }
        match first(Self::warm_at) {
            Some(wait) => Err(Refused::because(Reason::WarmingUp).come_back(wait)),
            None => Ok(()),
        }
    }

    /// Why none of a service's servers may get work.
    fn excluded_for(&self, id: ServiceId) -> Reason {
        let servers = self.services[id].servers.iter().map(|key| &self.servers[*key]);
        let mut exclusions = servers.filter_map(|server| server.exclusion(false));
        match exclusions.any(|exclusion| exclusion == Exclusion::Evacuated) {
            true => Reason::Evacuated,
            false => Reason::NoServer,
        }
    }

    fn selects_by_outcome(&self) -> bool {
        self.settings.selection != Selection::RoundRobin
    }
}
