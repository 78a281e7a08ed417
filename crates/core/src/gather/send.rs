//! Sends portions to owners.

use std::sync::Arc;

use ladder_schema::outcome::{Reason, Verdict};
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

/// Sendings of one portion at most.
pub(crate) const SENDINGS: usize = 3;
/// Time that a reply takes to come back from an owner, in microseconds: kept from the owner's
/// budget so that its refusal or answer arrives before this instance has to answer.
const RETURN_US: u64 = 2_000;

impl Machine {
    /// The instance that a portion of `service` goes to next: the first live candidate that it was
    /// not sent to yet, one that is not silent before one that is.
    pub(crate) fn choose(
        &self,
        now: Instant,
        service: &str,
        sendings: &[Sending],
    ) -> Option<&Candidate> {
        let service = self.view.service(service)?;
        let tried = |candidate: &Candidate| {
            let key = self.peers.find(&candidate.peer.name);
            sendings.iter().any(|sending| Some(sending.peer) == key)
        };
        let mut live =
            service.candidates.iter().filter(|candidate| candidate.live && !tried(candidate));
        let first = live.clone().next();
        live.find(|candidate| candidate.local || !self.peers.is_silent(&candidate.peer.name, now))
            .or(first)
    }

    /// Sends all portions of a query for the first time under its present number.
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
        self.history.add(query.account, now, step);
        let collectors = self.collectors(now, key);
        let query = &self.queries[key];
        let owner = |service: &Arc<str>| {
            let collector = collectors.iter().find(|one| one.services.contains(service));
            let owner = || self.choose(now, service, &[]).map(|candidate| &candidate.peer);
            collector.map(|collector| &collector.peer).or_else(owner).cloned()
        };
        let services = query.portions.iter().map(|portion| &portion.share.service);
        let owners: Vec<Option<Peer>> = services.map(owner).collect();
        let lacking = !query.missing.is_empty() || owners.iter().any(Option::is_none);
        if query.terms.unrepeatable && lacking {
            self.withhold(key, &owners, out);
            return;
        }
        let probes = self.probes(now, key, &owners);
        let mut targets = Vec::new();
        for (portion, owner) in owners.into_iter().enumerate() {
            match owner {
                Some(owner) => targets.push((portion, owner)),
                None => self.settle(key, portion, Reason::NoOwner, out),
            }
        }
        self.send(now, key, targets, again, out);
        if !probes.is_empty() {
            count(out, count::Event::Hedge, Reason::OwnerLost);
            self.send(now, key, probes, Some(Reason::OwnerLost), out);
        }
    }

    /// Refuses an unrepeatable query of which a part cannot be had, before anything is sent: half a
    /// booking helps nobody, and the caller may come back because nothing ran.
    fn withhold(&mut self, key: QueryKey, owners: &[Option<Peer>], out: &mut Vec<Action>) {
        for (portion, owner) in owners.iter().enumerate() {
            let reason = match owner {
                Some(_) => Reason::Cancelled,
                None => Reason::NoOwner,
            };
            self.settle(key, portion, reason, out);
        }
    }

    /// At most one portion that also goes to its silent owner, to see whether that is back.
    fn probes(
        &mut self,
        now: Instant,
        key: QueryKey,
        owners: &[Option<Peer>],
    ) -> Vec<(usize, Peer)> {
        let query = &self.queries[key];
        if query.terms.unrepeatable || !self.peers.any_silent(now) {
            return Vec::new();
        }
        for (position, owner) in owners.iter().enumerate() {
            let service = self.view.service(&query.portions[position].share.service);
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

    /// Sends portions, one work message for each owner. Each portion goes to one owner.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        key: QueryKey,
        targets: Vec<(usize, Peer)>,
        again: Option<Reason>,
        out: &mut Vec<Action>,
    ) {
        self.queries[key].extra_calls += u32::from(again.is_some() && !targets.is_empty());
        let mut batches: Vec<(Peer, Vec<usize>)> = Vec::new();
        let mut places = crate::collections::Map::default();
        for (portion, peer) in targets {
            let place = *places.entry(peer.name.clone()).or_insert(batches.len());
            if place == batches.len() {
                batches.push((peer, Vec::new()));
            }
            batches[place].1.push(portion);
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
        let local = state.is_some_and(|state| state.local);
        let way = state.and_then(|state| state.way);
        let zone = self.zone_of(peer, local);
        self.choose_servers(now, key, portions, &zone);
        let query = &mut self.queries[key];
        let collect = match &self.settings.zone {
            Some(_) if !local => collect::terms(now, query, way),
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
                collected: collect.is_some(),
                spoke: false,
            });
        }
        let step =
            Step::Sent { to: peer.name.clone(), round, portions: portions.len() as u32, again };
        self.history.add(query.account, now, step);
        let work = work(now, query, portions, collect);
        out.push(Action::Send { to: peer.clone(), work });
        self.peers.sent(peer_key, now, portions.len() as u32);
        self.watch(now, peer_key);
    }

    /// Chooses the servers of a sweep's parts, or of a message that may go to some regions only, that go
    /// out to an asker in this zone.
    ///
    /// What may have run keeps its servers; else an asker that can use none of them has the part chosen
    /// for anew.
    fn choose_servers(&mut self, now: Instant, key: QueryKey, portions: &[usize], home: &str) {
        let query = &mut self.queries[key];
        let Some(route) = query.route.as_ref().filter(|route| chooses_servers(route)) else {
            return;
        };
        let route = Arc::clone(route);
        let attempts = if route.is_sweep() { route.spec.attempts as usize } else { usize::MAX };
        for &portion in portions {
            let portion = &mut query.portions[portion];
            let service = self.view.service(&portion.share.service);
            let Some(service) = service.filter(|_| portion.verdict() == Verdict::NotRun) else {
                continue;
            };
            let avoid = self.avoid.of(now, &service.name);
            let passed = [&*portion.passed, avoid].concat();
            let (key, passed) = (&*query.request.key, &*passed);
            let terms = eligible::Terms { attempts, key, home, passed };
            let homes = &route.spec.homes;
            let home = service.servers.iter();
            let home = home.filter(|server| self.view.is_home(homes, &server.zone));
            portion.eligible = eligible::choose(home, terms);
        }
    }

    /// Zone of a peer; empty if it is not known.
    fn zone_of(&self, peer: &Peer, local: bool) -> Arc<str> {
        let zone = match local {
            true => self.settings.zone.as_ref(),
            false => self.near.zone(&peer.name),
        };
        zone.cloned().unwrap_or_default()
    }

    /// Sees to it that the silence of a peer that owes something is noticed.
    pub(crate) fn watch(&mut self, now: Instant, key: PeerKey) {
        if !self.settings.hedging {
            return;
        }
        let Some(state) = self.peers.get_mut(key) else {
            return;
        };
        if state.local {
            return;
        }
        let Some(overdue) = state.overdue_at() else {
            return;
        };
        let at = overdue.max(now);
        // A timer that comes too early finds that out and is set again; one that would come too
        // late, set when the peer's limit was longer, is replaced.
        match state.timer {
            Some(timer) if timer <= at => return,
            Some(timer) => self.timers.remove(timer, Timer::Peer(key)),
            None => {}
        }
        state.timer = Some(at);
        self.timers.add(at, Timer::Peer(key));
    }
}

/// The work message for some portions of a query.
fn work(
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
        budget_us: left - RETURN_US.min(left / 4),
        unrepeatable: query.terms.unrepeatable,
        portions: portions
            .iter()
            .map(|&portion| wire_portion(query, &query.portions[portion]))
            .collect(),
        extra_calls: query.extra_calls,
        forward: forward(now, query),
        collect,
        fingerprint: query.fingerprint.bytes().into(),
    }
}

/// How a message is to be forwarded; `None` for a query of the product's own.
fn forward(now: Instant, query: &Query) -> Option<Box<wire::Forward>> {
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

/// Whether the servers are chosen here that a route's messages may run on.
fn chooses_servers(route: &Route) -> bool {
    route.is_sweep() || !route.spec.homes.is_empty()
}

fn wire_portion(query: &Query, portion: &Portion) -> wire::Portion {
    let chosen = query.route.as_deref().is_some_and(chooses_servers);
    let shards = &query.index.shards;
    let name = |&position: &u32| shards[position as usize].name.clone();
    wire::Portion {
        service: portion.share.service.to_string(),
        shards: portion.share.shards.iter().map(name).collect(),
        repeated: query.exposed || portion.is_repeated(query.rounds),
        eligible: chosen.then(|| wire::Eligible {
            servers: portion.eligible.iter().map(|mark| mark.0).collect(),
        }),
    }
}
