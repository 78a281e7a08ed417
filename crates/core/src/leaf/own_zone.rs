//! Calls of the parts of sweeps to servers of this instance's zone and of other zones, where each
//! zone has an instance that sends for the instances of the zone.

use std::time::Duration;

use ladder_schema::outcome::Reason;

use super::attempt::Attempt;
use super::crossing::OwnServer;
use super::event::Action;
use super::intake::DEFAULT_CALL_TIME;
use super::machine::Machine;
use super::portion::{Portion, PortionKey};
use super::preference::Preference;
use super::server::{Server, ServerKey};
use super::service::ServiceId;
use crate::count::{self, Crossing};
use crate::time::Instant;

impl Machine {
    /// What the preference for a server depends on when a portion is sent.
    pub(super) fn preference(&self, portion: &Portion, server: &Server) -> Preference {
        Preference {
            is_zonal: self.is_sent_by_zone(portion),
            crosses_zones: self.crosses_zones(server),
            own_calls: server.in_flight,
            other_calls: server.other_calls.value(self.now),
            slots: server.capacity(self.now),
        }
    }

    /// Whether a portion is part of a sweep that an instance of each zone sends for its zone.
    fn is_sent_by_zone(&self, portion: &Portion) -> bool {
        let forward = portion.job.work.forward.as_ref();
        let is_part = forward.is_some_and(|forward| forward.part);
        is_part && self.is_sent_zonally(portion.service)
    }

    /// Whether an instance of each zone sends the work of a service: with zonal aggregation, where
    /// the servers accept too few connections for every instance.
    pub(super) fn is_sent_zonally(&self, id: ServiceId) -> bool {
        self.settings.is_zonal && self.services[id].has_few_connections
    }

    /// Whether a server is in another zone than this instance.
    pub(super) fn crosses_zones(&self, server: &Server) -> bool {
        !self.settings.zone.is_empty() && self.settings.zone != server.zone
    }

    /// Time until which a portion waits for a server of this instance's zone instead of being sent
    /// to a server of another zone that is full; `None` if it does not wait.
    ///
    /// The own server must make progress, so that the portion does not wait for a server that
    /// stalls.
    pub(super) fn yields_until(&self, key: PortionKey, candidate: ServerKey) -> Option<Instant> {
        let portion = &self.portions[key];
        if !self.preference(portion, &self.servers[candidate]).yields_to_own_zone() {
            return None;
        }
        let mean = self.mean_call_time(portion.service, portion.kind).unwrap_or(DEFAULT_CALL_TIME);
        let free_soon = |key: &ServerKey| {
            let server = &self.servers[*key];
            let takes_work = server.accepts_work() && !server.health.suspect();
            let is_candidate = takes_work
                && server.in_flight > 0
                && !self.crosses_zones(server)
                && !portion.tried_servers.contains(key);
            let left = (2 * mean).saturating_sub(self.oldest_call_age(server));
            (is_candidate && left > Duration::ZERO).then(|| self.now + left)
        };
        let servers = self.services[portion.service].servers.iter();
        servers.filter(|server| self.is_eligible_for(key, **server)).filter_map(free_soon).max()
    }

    /// Schedules a dispatch for the time until which portions of a service wait for a server of
    /// this instance's zone: if the server stalls, no end of a call causes one.
    pub(super) fn schedule_end_of_yielding(&mut self, id: ServiceId, until: Instant) {
        let service = &mut self.services[id];
        if until > service.yields_until {
            service.yields_until = until;
            self.schedule_dispatch(id, until);
        }
    }

    /// Counts a call of a part of a sweep by whether it crosses zones and why.
    pub(super) fn count_zone_call(&self, call: &Attempt, out: &mut Vec<Action>) {
        let Some(key) = call.portion.filter(|key| self.is_sent_by_zone(&self.portions[*key]))
        else {
            return;
        };
        let (crossing, reason) = match self.crosses_zones(&self.servers[call.server]) {
            false => (Crossing::None, Reason::Unspecified),
            true => (Crossing::Server, self.crossing_reason(key)),
        };
        Self::count(count::Event::ZoneCall(crossing), reason, out);
    }

    /// Why a portion is sent to a server of another zone.
    fn crossing_reason(&self, key: PortionKey) -> Reason {
        let portion = &self.portions[key];
        let own = |server: &&ServerKey| !self.crosses_zones(&self.servers[**server]);
        let servers = self.services[portion.service].servers.iter();
        let Some(key) =
            servers.filter(own).max_by_key(|server| self.is_eligible_for(key, **server))
        else {
            return Reason::NoServer;
        };
        let server = &self.servers[*key];
        let facts = OwnServer {
            exclusion: server.exclusion(self.next_warmup_request_at(*key) > self.now),
            is_tried: portion.tried_servers.contains(key),
            is_hedge: portion.hedged,
            is_suspect: server.health.suspect(),
            sheds: self.now < server.health.shed_until(),
            has_free_slot: server.in_flight < server.capacity(self.now),
            is_connected: self.idle_connection(*key).is_some(),
        };
        facts.reason()
    }
}
