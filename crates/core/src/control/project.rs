//! Builds views from the publication and the membership.

mod cache;
mod grants;
mod neighbours;
mod ranks;

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::catalogue;
use ladder_schema::publication;

use super::membership::{Membership, Standing};
use super::placement;
use super::settings::{Listing, Placement, Settings};
use super::store::{Changes, Store};
use crate::collections::{Map, Set};
use crate::route::Table;
use crate::time::Instant;
use crate::view::{self, Candidate, Peer, Server, Service, View};

/// Whether work may be given to each instance.
pub(super) type Standings = Map<Arc<str>, Standing>;

/// Builds views and remembers what is costly to compute.
#[derive(Debug, Default)]
pub(super) struct Projection {
    view: Arc<View>,
    ranks: ranks::Ranks,
    grants: grants::Grants,
    cache: cache::Cache,
    /// Standings that the view was built from.
    standings: Arc<Standings>,
    /// Names of zones, shared by the servers.
    zones: Set<Arc<str>>,
    /// Instances in each zone that the last view was built for, where they are counted and not
    /// published.
    observed: Map<Arc<str>, usize>,
    /// Services that are parts of sweeps.
    swept: Set<String>,
    /// Services that messages go to singly.
    single: Set<String>,
}

/// What a view is built from.
pub(super) struct Source<'a> {
    /// The publication.
    pub(super) store: &'a Store,
    /// Who is alive.
    pub(super) membership: &'a Membership,
    /// Requests under which servers ended.
    pub(super) quarantine: &'a Arc<view::Quarantine>,
    /// Whether work may be given to an instance; one that is missing is gone.
    pub(super) standings: Arc<Standings>,
    /// The instance's settings.
    pub(super) settings: &'a Settings,
    /// The present.
    pub(super) now: Instant,
}

impl Source<'_> {
    fn standing(&self, name: &str) -> Standing {
        self.standings.get(name).copied().unwrap_or(Standing::Gone)
    }
}

/// Connections to a server that an instance may take at its start, before it can know how many others
/// share them. They are opened as work needs them: with one only, the instance that asks a server for
/// all others used half of its slots for seconds, and two seconds after a loss of all instances were
/// worth 0.69 in place of 0.96.
const FIRST_SHARE: u32 = 2;

/// A service by name; none if it has no entry.
type Built = (Arc<str>, Option<Service>);

impl Projection {
    /// Standings that the last view was built from.
    pub(super) const fn standings(&self) -> &Arc<Standings> {
        &self.standings
    }

    /// The last view.
    pub(super) const fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// When a share grows.
    pub(super) fn next_growth(&self, settings: &Settings) -> Option<Instant> {
        self.grants.next_growth(settings.timing.grace)
    }

    /// When the order of some candidates changes.
    pub(super) fn next_order(&self, settings: &Settings) -> Option<Instant> {
        self.ranks.next_change(period(settings))
    }

    /// Brings the view up to date and returns it if it differs from the last one.
    ///
    /// Only services that something of `changes` or the passing of time can concern are built. At
    /// tens of thousands of services building all of them at each change would take a fifth of a
    /// core; that nothing is missed shows in [`Projection::whole`].
    pub(super) fn refresh(
        &mut self,
        source: &Source<'_>,
        changes: Changes,
        ready: bool,
    ) -> Option<Arc<View>> {
        let indexes = changes.indexes.then(|| {
            self.cache.refresh(source.store);
            self.cache.index_lists()
        });
        let routing = changes.routing.then(|| source.store.routing().map(Table::new).map(Arc::new));
        let swept = if changes.routing { self.sweep(source) } else { Vec::new() };
        let mut stale = self.stale(source, changes);
        stale.extend(swept);
        let built = self.build(source, &stale);
        let revision = source.store.revision();
        let old = &self.view;
        let indexes = indexes.filter(|lists| *lists != old.indexes);
        let routing = routing.filter(|routing| *routing != old.routing);
        // Also where no standing has changed: an instance may come back in another zone.
        let neighbours = Some(neighbours::of(source)).filter(|list| **list != *old.neighbours);
        let lists_same = indexes.is_none() && routing.is_none() && neighbours.is_none();
        let same_requests = *source.quarantine == old.quarantine;
        let is_same = built.is_empty() && lists_same && same_requests;
        if is_same && old.ready == ready && old.revision == revision {
            return None;
        }
        let mut view = View::clone(old);
        view.generation += 1;
        view.revision = revision;
        view.ready = ready;
        view.indexes = indexes.unwrap_or(view.indexes);
        view.routing = routing.unwrap_or(view.routing);
        view.neighbours = neighbours.unwrap_or(view.neighbours);
        view.quarantine = Arc::clone(source.quarantine);
        view.regions = Arc::clone(&source.settings.regions);
        for (name, service) in built {
            match service {
                Some(service) => drop(view.insert(service)),
                None => view.remove(&name),
            }
        }
        self.view = Arc::new(view);
        Some(Arc::clone(&self.view))
    }

    /// The view of the same past, but built whole: all that [`Projection::refresh`] keeps and finds
    /// out is found out again.
    pub(super) fn whole(&self, source: &Source<'_>, ready: bool) -> View {
        let mut ranks = self.ranks.clone();
        ranks.doubt();
        let mut new = Self { ranks, grants: self.grants.clone(), ..Self::default() };
        let mut changes =
            Changes { indexes: true, instances: true, routing: true, ..Changes::default() };
        let names = source.store.entries().map(|entry| entry.service.as_str());
        changes.services = names.map(Arc::from).collect();
        new.refresh(source, changes, ready);
        View::clone(&new.view)
    }

    /// Services to build.
    fn stale(&mut self, source: &Source<'_>, changes: Changes) -> Set<Arc<str>> {
        let mut stale = changes.services;
        if changes.instances {
            stale.extend(self.ranks.refresh(source.store.instances()));
        }
        if changes.evacuations {
            stale.extend(self.view.service_keys.keys().cloned());
        }
        let settings = source.settings;
        stale.extend(self.ranks.due(source.now, period(settings)).cloned());
        for server in self.grants.due(source.now, settings.timing.grace) {
            let server = source.store.server(server);
            stale.extend(server.map(|server| server.service.as_str().into()));
        }
        let turned = self.turned(source);
        if settings.placement == Placement::Direct {
            let counted = settings.listing == Listing::Observed && self.count(source);
            let concerns_all = changes.instances || turned.contains(&settings.name) || counted;
            let all = self.view.service_keys.keys().filter(|_| concerns_all);
            stale.extend(all.cloned());
        } else if !turned.is_empty() {
            let services = self.view.services.values();
            let concerned = services.filter(|service| is_candidate(service, &turned));
            stale.extend(concerned.map(|service| Arc::clone(&service.name)));
        }
        stale
    }

    /// Finds out which services are parts of sweeps and which have routes of their own; returns those
    /// for which that has changed.
    fn sweep(&mut self, source: &Source<'_>) -> Vec<Arc<str>> {
        let routes = source.store.routing().into_iter().flat_map(|routing| &routing.routes);
        let swept: Set<String> = routes.clone().flat_map(|route| &route.parts).cloned().collect();
        let branches = routes.flat_map(|route| &route.branches);
        let single: Set<String> = branches.map(|branch| branch.service.clone()).collect();
        let turned = swept.symmetric_difference(&self.swept);
        let turned = turned.chain(single.symmetric_difference(&self.single));
        let turned = turned.map(|name| name.as_str().into()).collect();
        self.swept = swept;
        self.single = single;
        turned
    }

    /// Counts the instances of each zone; whether they differ from the last view's.
    fn count(&mut self, source: &Source<'_>) -> bool {
        let mut observed: Map<Arc<str>, usize> = Map::default();
        for member in source.membership.members().chain([source.membership.own()]) {
            *observed.entry(Arc::clone(&member.zone)).or_default() += 1;
        }
        let differs = observed != self.observed;
        self.observed = observed;
        differs
    }

    /// Instances whose standing differs from the last view.
    fn turned(&mut self, source: &Source<'_>) -> Set<Arc<str>> {
        if Arc::ptr_eq(&self.standings, &source.standings) {
            return Set::default();
        }
        let old = std::mem::replace(&mut self.standings, Arc::clone(&source.standings));
        let turned = |name: &&Arc<str>| old.get(*name) != source.standings.get(*name);
        let names = old.keys().chain(source.standings.keys());
        names.filter(turned).cloned().collect()
    }

    /// Builds services; returns those that differ, without those that have no entry any more.
    fn build(&mut self, source: &Source<'_>, stale: &Set<Arc<str>>) -> Vec<Built> {
        let view = Arc::clone(&self.view);
        let known = stale.iter().filter_map(|name| view.service(name));
        let servers = known.flat_map(|service| &service.servers);
        self.grants.begin(servers.map(|server| &server.name));
        let mut names: Vec<&Arc<str>> = stale.iter().collect();
        names.sort_unstable();
        let mut built = Vec::new();
        for name in names {
            let old = view.service(name);
            let new = self.service(source, name, old);
            if old != new.as_ref() {
                built.push((Arc::clone(name), new));
            }
        }
        built
    }

    fn service(
        &mut self,
        source: &Source<'_>,
        name: &Arc<str>,
        old: Option<&Service>,
    ) -> Option<Service> {
        let Some(entry) = source.store.entry(name) else {
            self.ranks.forget(name);
            return None;
        };
        let lists = self.ranks.of(source.now, name, period(source.settings));
        let newest = lists.newest();
        let limits = entry.limits.unwrap_or_default();
        let targets: Vec<_> = source.store.servers_of(name).collect();
        let sharers = self.sharers(source, name, &targets);
        let all = source.membership.size();
        let scarce = self.is_scarce(source, name, &targets, &limits);
        let enough =
            |target: &&publication::Server| placement::is_enough(limit(target, &limits), all);
        let counted = source.settings.listing == Listing::Observed;
        let mut servers = Vec::with_capacity(targets.len());
        for target in &targets {
            let limit = limit(target, &limits);
            let share = newest.map_or(0, |ranked| match scarce {
                true => placement::asker_share(limit),
                false => self.share(source, ranked, limit, sharers),
            });
            servers.push(self.server(source, target, share));
        }
        let widest = targets.iter().map(|target| limit(target, &limits)).max();
        let known = old.filter(|old| *old.entry == *entry);
        Some(Service {
            candidates: self.candidates(source, &lists, widest),
            sharers: u32::try_from(sharers).unwrap_or(u32::MAX),
            scarce,
            spare: !scarce && (!counted || targets.iter().all(enough)),
            name: Arc::clone(name),
            entry: known.map_or_else(|| Arc::new(entry.clone()), |old| Arc::clone(&old.entry)),
            servers,
        })
    }

    /// Whether one instance is to ask the service's servers for all.
    ///
    /// That holds for parts of sweeps, and for what no route names yet: the servers of an index to come
    /// run for seconds before it is in force.
    fn is_scarce(
        &self,
        source: &Source<'_>,
        service: &Arc<str>,
        targets: &[&publication::Server],
        limits: &catalogue::Limits,
    ) -> bool {
        let swept = self.swept.contains(&**service) || !self.single.contains(&**service);
        let all = source.membership.size();
        let scarce = |target: &&publication::Server| {
            placement::is_scarce(limit(target, limits), target.slots, all)
        };
        source.settings.near && swept && targets.iter().any(scarce)
    }

    /// The share of this instance by the newest list. An instance that is not in the list has
    /// none, as no other counts it.
    fn share(
        &self,
        source: &Source<'_>,
        ranked: &ranks::Ranked,
        limit: u32,
        sharers: usize,
    ) -> u32 {
        let own = &source.settings.name;
        if source.settings.listing == Listing::Observed {
            return placement::observed_share(limit, sharers);
        }
        if source.settings.placement == Placement::Direct {
            let listed = self.ranks.is_listed(own);
            let share = placement::direct_share(limit, self.ranks.fleet_size());
            return if listed { share } else { 0 };
        }
        let mut instances = ranked.instances.iter();
        let position = instances.position(|listed| listed.peer.name == *own);
        let divided = placement::divide(limit);
        position.map_or(0, |position| divided.at(ranked.primaries, position))
    }

    /// Parts that what an entry grants the fleet is divided into, of which this instance takes one:
    /// with one owner for each service it takes the whole.
    fn sharers(
        &self,
        source: &Source<'_>,
        service: &Arc<str>,
        targets: &[&publication::Server],
    ) -> usize {
        let settings = source.settings;
        if settings.listing == Listing::Published {
            return 1;
        }
        let all = source.membership.size();
        if !settings.near || !self.swept.contains(&**service) {
            return all;
        }
        let zones: Set<&str> = targets.iter().map(|target| target.zone.as_str()).collect();
        let counts = zones.iter().filter_map(|zone| self.observed.get(*zone));
        let near = counts.sum::<usize>().min(all);
        placement::parts(near, all - near, zones.contains(&*settings.zone))
    }

    fn server(&mut self, source: &Source<'_>, target: &publication::Server, share: u32) -> Server {
        let name = target.name.as_str().into();
        let grace = source.settings.timing.grace;
        let first = match source.settings.listing {
            Listing::Published => 0,
            Listing::Observed => FIRST_SHARE,
        };
        Server {
            share: self.grants.settle(source.now, &name, share, (grace, first)),
            name,
            address: target.address.as_str().into(),
            zone: self.zone(&target.zone),
            incarnation: target.incarnation,
            leaving: source.store.departed(target),
            evacuated: source.store.is_evacuated(&target.zone),
            slots: target.slots,
            warmup: Duration::from_millis(target.warmup_ms.into()),
            holdings: target.holdings.clone(),
        }
    }

    fn zone(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.zones.get(name) {
            return Arc::clone(known);
        }
        let new: Arc<str> = name.into();
        self.zones.insert(Arc::clone(&new));
        new
    }

    /// The candidates that have a share of the server with the widest limit; all if the service
    /// has no server.
    fn candidates(
        &self,
        source: &Source<'_>,
        lists: &ranks::Lists,
        widest: Option<u32>,
    ) -> Vec<Candidate> {
        if source.settings.placement == Placement::Direct {
            return self.own_candidate(source);
        }
        let primaries = lists.newest().map_or(0, |ranked| ranked.primaries);
        let divided = widest.map(placement::divide);
        let has_share =
            |position: usize| divided.is_none_or(|share| share.at(primaries, position) > 0);
        let usable = lists.ordered(has_share);
        let standings = usable.iter().map(|listed| (listed, source.standing(&listed.peer.name)));
        let standings: Vec<_> = standings.collect();
        let best = standings.iter().map(|&(_, standing)| standing).max();
        let candidate = |&(listed, standing): &(&Arc<ranks::Listed>, Standing)| Candidate {
            peer: listed.peer.clone(),
            live: standing > Standing::Gone && Some(standing) == best,
            local: listed.peer.name == source.settings.name,
        };
        standings.iter().map(candidate).collect()
    }

    /// This instance, for services that every instance asks by itself.
    ///
    /// It is live also while it leaves. Nobody else takes over the work of its own callers, who come
    /// until the balancer has noticed: without a live candidate it would refuse them all.
    fn own_candidate(&self, source: &Source<'_>) -> Vec<Candidate> {
        let own = source.membership.own();
        let candidate = Candidate {
            peer: Peer { name: Arc::clone(&own.name), address: Arc::clone(&own.address) },
            live: true,
            local: true,
        };
        let observed = source.settings.listing == Listing::Observed;
        let listed = observed || self.ranks.is_listed(&own.name);
        if listed { vec![candidate] } else { Vec::new() }
    }
}

/// How long a new list does not decide alone who is preferred: shares must have grown, and others
/// must have learnt of it.
fn period(settings: &Settings) -> Duration {
    settings.timing.grace + settings.timing.probe
}

/// Connections to the server that the fleet may hold together.
fn limit(server: &publication::Server, limits: &catalogue::Limits) -> u32 {
    match limits.connections {
        0 => server.connections,
        connections => connections.min(server.connections),
    }
}

fn is_candidate(service: &Service, turned: &Set<Arc<str>>) -> bool {
    let mut candidates = service.candidates.iter();
    candidates.any(|candidate| turned.contains(&candidate.peer.name))
}
