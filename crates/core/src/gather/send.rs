//! Sends the portions of queries to the owners of their services.

use std::sync::Arc;

use ladder_schema::outcome::Reason;
use ladder_schema::wire;

use super::collect;
use super::event::Action;
use super::history::Step;
use super::machine::{Machine, count};
use super::peers::PeerKey;
use super::query::{Portion, Progress, Query, QueryKey, Sending};
use super::timers::Timer;
use crate::count;
use crate::eligible;
use crate::route::Route;
use crate::time::{Instant, micros};
use crate::view::{Candidate, Peer};

/// Maximum number of times that one portion is sent.
pub(crate) const MAX_SENDINGS: usize = 3;
/// Time for a reply to return from an owner, in microseconds. It is subtracted from the owner's
/// budget, so that the owner's reply arrives before this instance has to answer.
const RETURN_TIME_US: u64 = 2_000;

impl Machine {
    /// Selects the next instance for a portion of `service`: the first live candidate that the
    /// portion was not sent to yet; candidates that are not silent are preferred.
    pub(crate) fn choose_owner(
        &self,
        now: Instant,
        service: &str,
        sendings: &[Sending],
    ) -> Option<&Candidate> {
        let service = self.view.service(service)?;
        let was_sent = |candidate: &Candidate| {
            let key = self.peers.find(&candidate.peer.name);
            sendings.iter().any(|sending| Some(sending.peer) == key)
        };
        let mut live =
            service.candidates.iter().filter(|candidate| candidate.live && !was_sent(candidate));
        let first = live.clone().next();
        live.find(|candidate| candidate.local || !self.peers.is_silent(&candidate.peer.name, now))
            .or(first)
    }

    /// Sends all portions of a query for the first time under its current query number.
    pub(crate) fn send_all(
        &mut self,
        now: Instant,
        key: QueryKey,
        again: Option<Reason>,
        out: &mut Vec<Action>,
    ) {
        let query = &self.queries[key];
        let step = Step::Pinned {
            version: query.index.version,
            portions: query.portions.len() as u32,
            missing: query.missing.len() as u32,
        };
        self.history.add(query.history_id, now, step);
        let aggregators = self.partial_aggregators(now, key);
        let query = &self.queries[key];
        let owner = |service: &Arc<str>| {
            let aggregator = aggregators.iter().find(|one| one.services.contains(service));
            let owner = || self.choose_owner(now, service, &[]).map(|candidate| &candidate.peer);
            aggregator.map(|aggregator| &aggregator.peer).or_else(owner).cloned()
        };
        let services = query.portions.iter().map(|portion| &portion.requested.service);
        let owners: Vec<Option<Peer>> = services.map(owner).collect();
        let is_incomplete = !query.missing.is_empty() || owners.iter().any(Option::is_none);
        if query.terms.unrepeatable && is_incomplete {
            self.refuse_all_unsent(key, &owners, out);
            return;
        }
        let probes = self.probes(now, key, &owners);
        let mut destinations = Vec::new();
        for (portion, owner) in owners.into_iter().enumerate() {
            match owner {
                Some(owner) => destinations.push((portion, owner)),
                None => self.refuse_portion(key, portion, Reason::NoOwner, out),
            }
        }
        self.send(now, key, destinations, again, out);
        if !probes.is_empty() {
            count(out, count::Event::Hedge, Reason::OwnerLost);
            self.send(now, key, probes, Some(Reason::OwnerLost), out);
        }
    }

    /// Refuses a non-idempotent query of which a part is unavailable, before anything is sent:
    /// half a booking is useless, and the caller may retry because nothing ran.
    fn refuse_all_unsent(&mut self, key: QueryKey, owners: &[Option<Peer>], out: &mut Vec<Action>) {
        for (portion, owner) in owners.iter().enumerate() {
            let reason = match owner {
                Some(_) => Reason::Cancelled,
                None => Reason::NoOwner,
            };
            self.refuse_portion(key, portion, reason, out);
        }
    }

    /// Selects at most one portion to send to its silent owner in addition, in order to check
    /// whether the owner replies again.
    fn probes(
        &mut self,
        now: Instant,
        key: QueryKey,
        owners: &[Option<Peer>],
    ) -> Vec<(usize, Peer)> {
        let query = &self.queries[key];
        if query.terms.runs_once() || !self.peers.any_silent(now) {
            return Vec::new();
        }
        for (position, owner) in owners.iter().enumerate() {
            let service = self.view.service(&query.portions[position].requested.service);
            let Some(first) = service.and_then(|service| service.owner()) else {
                continue;
            };
            let passed_over = owner.as_ref().is_some_and(|owner| *owner != first.peer);
            if passed_over && self.peers.take_probe(&first.peer.name, now) {
                return vec![(position, first.peer.clone())];
            }
        }
        Vec::new()
    }

    /// Sends portions to their destinations, in one work message for each destination.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        key: QueryKey,
        destinations: Vec<(usize, Peer)>,
        again: Option<Reason>,
        out: &mut Vec<Action>,
    ) {
        let query = &mut self.queries[key];
        let reached_no_server = |(position, _): &(usize, Peer)| {
            let portion = &query.portions[*position];
            !portion.sendings.is_empty() && !portion.is_repeated(query.rounds + 1)
        };
        let is_extra = again.is_some()
            && (query.earlier_version_may_have_run || !destinations.iter().all(reached_no_server));
        query.extra_calls += u32::from(is_extra);
        let mut batches: Vec<(Peer, Vec<usize>)> = Vec::new();
        let mut batch_by_peer = crate::collections::Map::default();
        for (portion, peer) in destinations {
            let batch = *batch_by_peer.entry(peer.name.clone()).or_insert(batches.len());
            if batch == batches.len() {
                batches.push((peer, Vec::new()));
            }
            batches[batch].1.push(portion);
        }
        for (peer, portions) in batches {
            self.send_batch(now, key, &peer, &portions, again, out);
        }
    }

    fn send_batch(
        &mut self,
        now: Instant,
        key: QueryKey,
        peer: &Peer,
        portions: &[usize],
        again: Option<Reason>,
        out: &mut Vec<Action>,
    ) {
        let peer_key = self.peers.key(peer);
        let state = self.peers.get(peer_key);
        let is_local = state.is_some_and(|state| state.is_local);
        let round_trip = state.and_then(|state| state.round_trip);
        let zone = self.zone_of(peer, is_local);
        let reselected = self.select_portion_servers(now, key, portions, &zone);
        for _ in 0..reselected {
            count(out, count::Event::Reselection, again.unwrap_or_default());
        }
        let query = &mut self.queries[key];
        let collect = match &self.settings.zone {
            Some(_) if !is_local => collect::aggregation_terms(now, query, round_trip),
            _ => None,
        };
        query.rounds += 1;
        let round = query.rounds;
        for &portion in portions {
            let portion = &mut query.portions[portion];
            portion.sendings.push(Sending {
                round,
                peer: peer_key,
                at: now,
                progress: Progress::Open,
                is_aggregated: collect.is_some(),
                has_reported: false,
            });
        }
        let (to, portion_count) = (peer.name.clone(), portions.len() as u32);
        let step = Step::Sent { to, round, portions: portion_count, again, reselected };
        self.history.add(query.history_id, now, step);
        let work = wire_work(now, query, portions, collect);
        if collect.is_some() && self.settings.is_zonal && self.settings.zone.as_ref() != Some(&zone)
        {
            let reason = again.unwrap_or_else(|| self.crossing_reason(key, portions));
            count(out, count::Event::ZoneCall(count::Crossing::Peer), reason);
        }
        out.push(Action::Send { to: peer.clone(), work });
        self.peers.record_sent(peer_key, now, portions.len() as u32);
        self.arm_silence_timer(now, peer_key);
    }

    /// Why portions of a query are sent to an instance of another zone for the first time: the own
    /// zone has no server of them, or no instance that can aggregate them.
    fn crossing_reason(&self, key: QueryKey, portions: &[usize]) -> Reason {
        let query = &self.queries[key];
        let services = portions
            .iter()
            .filter_map(|&portion| self.view.service(&query.portions[portion].requested.service));
        let servers = services.flat_map(|service| &service.servers);
        let mut own =
            servers.filter(|server| self.settings.zone.as_ref() == Some(&server.zone)).peekable();
        match own.peek().is_some() {
            false => Reason::NoServer,
            true if own.all(|server| server.evacuated) => Reason::Evacuated,
            true => Reason::OwnerLost,
        }
    }

    /// Selects the servers on which portions may run that are sent to an instance in the zone
    /// `preferred_zone`; applies to sweeps and to messages that are restricted to some regions.
    /// Returns the number of portions that may run on other servers than at their previous sending.
    ///
    /// A portion that a server may have received keeps its servers, whatever the verdicts of the
    /// replies. Otherwise servers are selected again, since an instance reported that it can use
    /// none of the previous ones.
    fn select_portion_servers(
        &mut self,
        now: Instant,
        key: QueryKey,
        portions: &[usize],
        preferred_zone: &str,
    ) -> u32 {
        let query = &mut self.queries[key];
        let Some(route) = query.route.as_ref().filter(|route| restricts_servers(route)) else {
            return 0;
        };
        let mut reselected = 0;
        let route = Arc::clone(route);
        let attempts = if route.is_sweep() { route.spec.attempts as usize } else { usize::MAX };
        for &portion in portions {
            let portion = &mut query.portions[portion];
            let service = self.view.service(&portion.requested.service);
            let Some(service) = service.filter(|_| portion.is_proved_unreceived()) else {
                continue;
            };
            let avoid = self.avoided_servers.servers(now, &service.name);
            let all_avoided = [&*portion.unusable, avoid].concat();
            let (key, avoided) = (&*query.request.key, &*all_avoided);
            let terms = eligible::Terms { attempts, key, preferred_zone, avoided };
            let homes = &route.spec.homes;
            let home_servers = service.servers.iter();
            let home_servers = home_servers.filter(|server| self.view.is_home(homes, &server.zone));
            let selected = eligible::select_servers(home_servers, terms);
            let is_changed = selected.iter().any(|server| !portion.eligible.contains(server));
            reselected += u32::from(!portion.sendings.is_empty() && is_changed);
            portion.eligible = selected;
        }
        reselected
    }

    /// Returns the zone of a peer; empty if the zone is unknown.
    fn zone_of(&self, peer: &Peer, is_local: bool) -> Arc<str> {
        let zone = match is_local {
            true => self.settings.zone.as_ref(),
            false => self.aggregator_selector.zone(&peer.name),
        };
        zone.cloned().unwrap_or_default()
    }

    /// Sets the timer that detects the silence of a peer from which a reply is due.
    pub(crate) fn arm_silence_timer(&mut self, now: Instant, key: PeerKey) {
        if !self.settings.hedging {
            return;
        }
        let Some(state) = self.peers.get_mut(key) else {
            return;
        };
        if state.is_local {
            return;
        }
        let Some(overdue) = state.overdue_at() else {
            return;
        };
        let at = overdue.max(now);
        // A timer that is due too early is set again when it is handled. A timer that would be due
        // too late, because it was set when the peer's silence limit was longer, is replaced.
        match state.timer {
            Some(timer) if timer <= at => return,
            Some(timer) => self.timers.remove(timer, Timer::Peer(key)),
            None => {}
        }
        state.timer = Some(at);
        self.timers.add(at, Timer::Peer(key));
    }
}

/// Builds the work message for some portions of a query.
fn wire_work(
    now: Instant,
    query: &Query,
    portions: &[usize],
    collect: Option<wire::Collect>,
) -> wire::Work {
    let left = micros(query.answer_at.since(now));
    wire::Work {
        query: query.number,
        round: query.rounds,
        key: query.request.key.clone(),
        attempt: query.request.attempt.max(1),
        index: query.index.name.clone(),
        version: query.index.version,
        operation: query.request.operation.clone(),
        payload: query.request.payload.clone(),
        budget_us: left - RETURN_TIME_US.min(left / 4),
        unrepeatable: query.terms.unrepeatable,
        portions: portions
            .iter()
            .map(|&portion| wire_portion(query, &query.portions[portion]))
            .collect(),
        extra_calls: query.extra_calls,
        forward: wire_forward(now, query),
        collect,
        fingerprint: query.fingerprint.bytes().into(),
        admitted_permille: query.admitted_permille,
        on_trial: query.terms.on_trial,
    }
}

/// Builds the terms under which the owner forwards a message; `None` for a query that is not a
/// forwarded message.
fn wire_forward(now: Instant, query: &Query) -> Option<Box<wire::Forward>> {
    let route = query.route.as_ref()?;
    Some(Box::new(wire::Forward {
        message: query.request.message.as_deref().cloned(),
        urgency: route.spec.urgency,
        attempts: route.spec.attempts,
        part: route.is_sweep(),
        target_ms: route.spec.target_ms,
        timely_us: match route.spec.target_ms {
            0 => 0,
            _ => micros(query.timely_at.since(now)).max(1),
        },
        kind: route.kind,
    }))
}

/// Returns whether the entry instance selects the servers on which a route's messages may run.
fn restricts_servers(route: &Route) -> bool {
    route.is_sweep() || !route.spec.homes.is_empty()
}

fn wire_portion(query: &Query, portion: &Portion) -> wire::Portion {
    let chosen = query.route.as_deref().is_some_and(restricts_servers);
    let shards = &query.index.shards;
    let name = |&position: &u32| shards[position as usize].name.clone();
    wire::Portion {
        service: portion.requested.service.to_string(),
        shards: portion.requested.shards.iter().map(name).collect(),
        repeated: query.earlier_version_may_have_run || portion.is_repeated(query.rounds),
        eligible: chosen.then(|| wire::Eligible {
            servers: portion.eligible.iter().map(|server_hash| server_hash.0).collect(),
        }),
    }
}
