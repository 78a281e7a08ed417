//! Builds views from the publication and the membership.

mod cache;
mod grants;
mod known_fleet;
mod neighbours;
mod rankings;

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::catalogue;
use ladder_schema::publication;

use super::membership::{Membership, Standing};
use super::placement::{self, LimitPart};
use super::settings::{Listing, Placement, Settings};
use super::startup::Startup;
use super::store::{Changes, Store};
use crate::collections::{Map, Set};
use crate::route::Table;
use crate::time::Instant;
use crate::view::{self, Candidate, Peer, Server, Service, View};

/// Standing of each instance: whether work may be given to it.
pub(super) type Standings = Map<Arc<str>, Standing>;

/// Builds views and caches what is expensive to compute.
#[derive(Debug, Default)]
pub(super) struct Projection {
    view: Arc<View>,
    rankings: rankings::RankingCache,
    grants: grants::Grants,
    cache: cache::IndexCache,
    /// Standings that the last view was built from.
    standings: Arc<Standings>,
    /// Names of availability zones, kept so that the servers of all views share one string per
    /// zone.
    zones: Set<Arc<str>>,
    /// Number of instances in each zone when the last view was built; only kept if instances are
    /// counted from gossip instead of published.
    instances_per_zone: Map<Arc<str>, usize>,
    /// Instances among which limits are divided; only kept together with `instances_per_zone`.
    known_fleet: known_fleet::KnownFleet,
    /// Whether the count of instances was trusted when the last view was built.
    count_trusted: bool,
    /// Services that the routes in force list as parts of sweeps.
    sweep_services: Set<String>,
    /// Services that the routes in force list as branches, which receive single messages.
    branch_services: Set<String>,
}

/// Inputs from which a view is built.
pub(super) struct ViewInputs<'a> {
    /// Published records in force.
    pub(super) store: &'a Store,
    /// The members and their liveness.
    pub(super) membership: &'a Membership,
    /// Requests that are refused or suspected because servers crashed while running them.
    pub(super) quarantine: &'a Arc<view::Quarantine>,
    /// Standing of each instance; an instance that is missing counts as gone.
    pub(super) standings: Arc<Standings>,
    /// The settings of this instance.
    pub(super) settings: &'a Settings,
    /// Whether the count of instances can be trusted.
    pub(super) startup: Startup,
    /// The current time.
    pub(super) now: Instant,
}

impl ViewInputs<'_> {
    fn standing(&self, name: &str) -> Standing {
        self.standings.get(name).copied().unwrap_or(Standing::Gone)
    }
}

/// Number of connections to a server that an instance may open at its start, before it can know
/// how many other instances share them. Connections are opened only when work needs them. With
/// only one, the instance that sends the requests of all others to a server used half of the
/// server's slots for seconds. In the two seconds after a loss of all instances the share of the
/// possible value of all answers (an answer after its latency objective counts less) was then 0.69
/// instead of 0.96.
const INITIAL_SHARE: u32 = 2;

/// A service by name; `None` if it has no catalogue entry.
type BuiltService = (Arc<str>, Option<Service>);

impl Projection {
    /// Standings that the last view was built from.
    pub(super) const fn standings(&self) -> &Arc<Standings> {
        &self.standings
    }

    /// The view that was built last.
    pub(super) const fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// When the next connection share grows.
    pub(super) fn next_growth(&self, settings: &Settings) -> Option<Instant> {
        self.grants.next_growth(settings.timing.grace)
    }

    /// When the candidate order of some service changes next because an older list expires.
    pub(super) fn next_order_change(&self, settings: &Settings) -> Option<Instant> {
        self.rankings.next_expiry(ranking_period(settings))
    }

    /// Updates the view and returns it if it differs from the last one.
    ///
    /// Only services that `changes` or the passing of time can affect are built. Building all of
    /// tens of thousands of services at each change would take a fifth of a core. Tests compare
    /// the result with [`Projection::build_whole`] to show that no affected service is missed.
    pub(super) fn refresh(
        &mut self,
        inputs: &ViewInputs<'_>,
        changes: Changes,
        ready: bool,
    ) -> Option<Arc<View>> {
        let indexes = changes.indexes.then(|| {
            self.cache.refresh(inputs.store);
            self.cache.index_lists()
        });
        let routing = changes.routing.then(|| inputs.store.routing().map(Table::new).map(Arc::new));
        let sweep_changes =
            if changes.routing { self.refresh_sweep_services(inputs) } else { Vec::new() };
        let mut to_build = self.services_to_build(inputs, changes);
        to_build.extend(sweep_changes);
        let built = self.build(inputs, &to_build);
        let revision = inputs.store.revision();
        let old = &self.view;
        let indexes = indexes.filter(|lists| *lists != old.indexes);
        let routing = routing.filter(|routing| *routing != old.routing);
        // The list of neighbours is also rebuilt if no standing has changed: an instance may
        // return in another zone.
        let neighbours = Some(neighbours::list(inputs)).filter(|list| **list != *old.neighbours);
        let lists_unchanged = indexes.is_none() && routing.is_none() && neighbours.is_none();
        let quarantine_unchanged = *inputs.quarantine == old.quarantine;
        let is_unchanged = built.is_empty() && lists_unchanged && quarantine_unchanged;
        if is_unchanged && old.ready == ready && old.revision == revision {
            return None;
        }
        let mut view = View::clone(old);
        view.generation += 1;
        view.revision = revision;
        view.ready = ready;
        view.indexes = indexes.unwrap_or(view.indexes);
        view.routing = routing.unwrap_or(view.routing);
        view.neighbours = neighbours.unwrap_or(view.neighbours);
        view.quarantine = Arc::clone(inputs.quarantine);
        view.regions = Arc::clone(&inputs.settings.regions);
        for (name, service) in built {
            match service {
                Some(service) => drop(view.insert(service)),
                None => view.remove(&name),
            }
        }
        self.view = Arc::new(view);
        Some(Arc::clone(&self.view))
    }

    /// Builds the whole view from the same history of rankings and grants, without the other state
    /// that [`Projection::refresh`] keeps between calls.
    pub(super) fn build_whole(&self, inputs: &ViewInputs<'_>, ready: bool) -> View {
        let mut rankings = self.rankings.clone();
        rankings.invalidate();
        let mut new = Self {
            rankings,
            grants: self.grants.clone(),
            known_fleet: self.known_fleet.clone(),
            ..Self::default()
        };
        let mut changes =
            Changes { indexes: true, instances: true, routing: true, ..Changes::default() };
        let names = inputs.store.entries().map(|entry| entry.service.as_str());
        changes.services = names.map(Arc::from).collect();
        new.refresh(inputs, changes, ready);
        View::clone(&new.view)
    }

    /// Names of the services that must be built because they may have changed.
    fn services_to_build(&mut self, inputs: &ViewInputs<'_>, changes: Changes) -> Set<Arc<str>> {
        let mut to_build = changes.services;
        if changes.instances {
            to_build.extend(self.rankings.refresh(inputs.store.instances()));
        }
        let trusted_before =
            std::mem::replace(&mut self.count_trusted, inputs.startup.is_trusted());
        if changes.evacuations || trusted_before != self.count_trusted {
            to_build.extend(self.view.service_keys.keys().cloned());
        }
        let settings = inputs.settings;
        to_build.extend(self.rankings.due(inputs.now, ranking_period(settings)).cloned());
        for server in self.grants.due(inputs.now, settings.timing.grace) {
            let server = inputs.store.server(server);
            to_build.extend(server.map(|server| server.service.as_str().into()));
        }
        let changed_standings = self.refresh_standings(inputs);
        if settings.placement == Placement::Direct {
            let counts_changed =
                settings.listing == Listing::Observed && self.refresh_zone_counts(inputs);
            let affects_all =
                changes.instances || changed_standings.contains(&settings.name) || counts_changed;
            let all_services = self.view.service_keys.keys().filter(|_| affects_all);
            to_build.extend(all_services.cloned());
        } else if !changed_standings.is_empty() {
            let services = self.view.services.values();
            let affected = services.filter(|service| is_candidate(service, &changed_standings));
            to_build.extend(affected.map(|service| Arc::clone(&service.name)));
        }
        to_build
    }

    /// Updates the sets of services that are parts of sweeps and of those that are branches of
    /// routes. Returns the services that entered or left one of the sets.
    fn refresh_sweep_services(&mut self, inputs: &ViewInputs<'_>) -> Vec<Arc<str>> {
        let routes = inputs.store.routing().into_iter().flat_map(|routing| &routing.routes);
        let sweep_services: Set<String> =
            routes.clone().flat_map(|route| &route.parts).cloned().collect();
        let branches = routes.flat_map(|route| &route.branches);
        let branch_services: Set<String> = branches.map(|branch| branch.service.clone()).collect();
        let changed = sweep_services.symmetric_difference(&self.sweep_services);
        let changed = changed.chain(branch_services.symmetric_difference(&self.branch_services));
        let changed = changed.map(|name| name.as_str().into()).collect();
        self.sweep_services = sweep_services;
        self.branch_services = branch_services;
        changed
    }

    /// Counts the instances of each zone. Returns whether the counts, or the instances among which
    /// limits are divided, differ from those of the last view.
    fn refresh_zone_counts(&mut self, inputs: &ViewInputs<'_>) -> bool {
        let mut instances_per_zone: Map<Arc<str>, usize> = Map::default();
        for member in inputs.membership.members().chain([inputs.membership.own()]) {
            *instances_per_zone.entry(Arc::clone(&member.zone)).or_default() += 1;
        }
        let differs = instances_per_zone != self.instances_per_zone;
        self.instances_per_zone = instances_per_zone;
        self.known_fleet.observe(inputs) || differs
    }

    /// Takes over the new standings. Returns the instances whose standing differs from the last
    /// view.
    fn refresh_standings(&mut self, inputs: &ViewInputs<'_>) -> Set<Arc<str>> {
        if Arc::ptr_eq(&self.standings, &inputs.standings) {
            return Set::default();
        }
        let old = std::mem::replace(&mut self.standings, Arc::clone(&inputs.standings));
        let has_changed = |name: &&Arc<str>| old.get(*name) != inputs.standings.get(*name);
        let names = old.keys().chain(inputs.standings.keys());
        names.filter(has_changed).cloned().collect()
    }

    /// Builds services. Returns those that differ from the last view, with `None` for those that
    /// no longer have a catalogue entry.
    fn build(&mut self, inputs: &ViewInputs<'_>, to_build: &Set<Arc<str>>) -> Vec<BuiltService> {
        let view = Arc::clone(&self.view);
        let known = to_build.iter().filter_map(|name| view.service(name));
        let servers = known.flat_map(|service| &service.servers);
        self.grants.begin_round(servers.map(|server| &server.name));
        let mut names: Vec<&Arc<str>> = to_build.iter().collect();
        names.sort_unstable();
        let mut built = Vec::new();
        for name in names {
            let old = view.service(name);
            let new = self.build_service(inputs, name, old);
            if old != new.as_ref() {
                built.push((Arc::clone(name), new));
            }
        }
        built
    }

    fn build_service(
        &mut self,
        inputs: &ViewInputs<'_>,
        name: &Arc<str>,
        old: Option<&Service>,
    ) -> Option<Service> {
        let Some(entry) = inputs.store.entry(name) else {
            self.rankings.remove(name);
            return None;
        };
        let rankings = self.rankings.versions(inputs.now, name, ranking_period(inputs.settings));
        let newest = rankings.newest();
        let limits = entry.limits.unwrap_or_default();
        let targets: Vec<_> = inputs.store.servers_of_service(name).collect();
        let sharer_count = self.sharer_count(inputs, name, &targets);
        let instance_count = inputs.membership.size();
        let has_few_connections = self.needs_single_sender(inputs, name, &targets, &limits);
        let allows_idle_connections = |target: &&publication::Server| {
            let limit = connection_limit(target, &limits);
            inputs.startup.allows_one_connection_each(limit, instance_count)
        };
        let zones = targets.iter().map(|target| target.zone.as_str());
        let senders = placement::sender_count(inputs.settings.is_zonal, zones);
        let observed_listing = inputs.settings.listing == Listing::Observed;
        let candidate_count = newest.map_or(1, |ranked| ranked.instances.len().max(1));
        let candidate_count = u32::try_from(candidate_count).unwrap_or(u32::MAX);
        let mut servers = Vec::with_capacity(targets.len());
        for target in &targets {
            let limit = connection_limit(target, &limits);
            let share = newest.map_or(0, |ranked| match has_few_connections {
                true => placement::single_sender_share(limit, senders),
                false => self.own_share(inputs, ranked, limit, sharer_count),
            });
            servers.push(self.build_server(inputs, target, share));
        }
        let widest_limit = targets.iter().map(|target| connection_limit(target, &limits)).max();
        let known_entry = old.filter(|old| *old.entry == *entry);
        Some(Service {
            candidates: self.candidates(inputs, &rankings, widest_limit),
            sharer_count: u32::try_from(sharer_count).unwrap_or(u32::MAX),
            limit_part: self.limit_part(inputs, name, &targets, candidate_count),
            has_few_connections,
            keeps_idle_connection: !has_few_connections
                && (!observed_listing || targets.iter().all(allows_idle_connections)),
            name: Arc::clone(name),
            entry: known_entry
                .map_or_else(|| Arc::new(entry.clone()), |old| Arc::clone(&old.entry)),
            servers,
        })
    }

    /// Whether one instance should send the requests of all others to the servers of a service,
    /// because connections are scarce.
    ///
    /// This applies to parts of sweeps, and to services that no route names yet: the servers of a
    /// future index run for seconds before the index is in force.
    fn needs_single_sender(
        &self,
        inputs: &ViewInputs<'_>,
        service: &Arc<str>,
        targets: &[&publication::Server],
        limits: &catalogue::Limits,
    ) -> bool {
        let may_be_swept =
            self.sweep_services.contains(&**service) || !self.branch_services.contains(&**service);
        let instance_count = inputs.membership.size();
        let is_short = |target: &&publication::Server| {
            let limit = connection_limit(target, limits);
            inputs.startup.is_short_of_connections(limit, target.slots, instance_count)
        };
        inputs.settings.near && may_be_swept && targets.iter().any(is_short)
    }

    /// The connection share of this instance by the newest list. An instance that is not in the
    /// list has none, because the other instances do not count it.
    fn own_share(
        &self,
        inputs: &ViewInputs<'_>,
        ranked: &rankings::RankedCandidates,
        limit: u32,
        sharer_count: usize,
    ) -> u32 {
        let own = &inputs.settings.name;
        if inputs.settings.listing == Listing::Observed {
            return placement::observed_share(limit, sharer_count);
        }
        if inputs.settings.placement == Placement::Direct {
            let listed = self.rankings.is_listed(own);
            let share = placement::direct_share(limit, self.rankings.fleet_size());
            return if listed { share } else { 0 };
        }
        let mut instances = ranked.instances.iter();
        let position = instances.position(|listed| listed.peer.name == *own);
        let role_shares = placement::divide_limit(limit);
        position.map_or(0, |position| role_shares.for_position(ranked.primaries, position))
    }

    /// Number of parts that the fleet-wide limits of a catalogue entry are divided into. This
    /// instance takes one part. With one owner per service, the owner takes the whole.
    fn sharer_count(
        &self,
        inputs: &ViewInputs<'_>,
        service: &Arc<str>,
        targets: &[&publication::Server],
    ) -> usize {
        let settings = inputs.settings;
        if settings.listing == Listing::Published {
            return 1;
        }
        let instance_count = inputs.membership.size();
        if !settings.near || !self.sweep_services.contains(&**service) {
            return instance_count;
        }
        let zones: Set<&str> = targets.iter().map(|target| target.zone.as_str()).collect();
        let zone_counts = zones.iter().filter_map(|zone| self.instances_per_zone.get(*zone));
        let near_instances = zone_counts.sum::<usize>().min(instance_count);
        placement::limit_divisor(
            near_instances,
            instance_count - near_instances,
            zones.contains(&*settings.zone),
        )
    }

    /// This instance's part of the fleet-wide limits of a catalogue entry.
    ///
    /// Where instances are published, each candidate of the service has the same part: several of
    /// them may consider themselves its owner while their views of the members differ.
    fn limit_part(
        &self,
        inputs: &ViewInputs<'_>,
        service: &Arc<str>,
        targets: &[&publication::Server],
        candidate_count: u32,
    ) -> LimitPart {
        let settings = inputs.settings;
        if settings.listing == Listing::Published {
            return LimitPart::default().divided(candidate_count);
        }
        let is_divided_by_zone = settings.near && self.sweep_services.contains(&**service);
        let near_zones: Option<Set<&str>> =
            is_divided_by_zone.then(|| targets.iter().map(|target| target.zone.as_str()).collect());
        self.known_fleet.limit_part(&settings.zone, near_zones.as_ref())
    }

    fn build_server(
        &mut self,
        inputs: &ViewInputs<'_>,
        target: &publication::Server,
        share: u32,
    ) -> Server {
        let name = target.name.as_str().into();
        let grace = inputs.settings.timing.grace;
        let first = match inputs.settings.listing {
            Listing::Published => 0,
            Listing::Observed => INITIAL_SHARE,
        };
        let granted = self.grants.update(inputs.now, &name, share, (grace, first));
        Server {
            share: inputs.startup.limit_share(granted),
            name,
            address: target.address.as_str().into(),
            zone: self.shared_zone_name(&target.zone),
            incarnation: target.incarnation,
            leaving: inputs.store.is_marked_leaving(target),
            evacuated: inputs.store.is_evacuated(&target.zone),
            slots: target.slots,
            warmup: Duration::from_millis(target.warmup_ms.into()),
            holdings: target.holdings.clone(),
        }
    }

    fn shared_zone_name(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.zones.get(name) {
            return Arc::clone(known);
        }
        let new: Arc<str> = name.into();
        self.zones.insert(Arc::clone(&new));
        new
    }

    /// The candidates of a service that have a connection share to its server with the highest
    /// connection limit, or all candidates if the service has no server.
    fn candidates(
        &self,
        inputs: &ViewInputs<'_>,
        rankings: &rankings::RankingVersions,
        widest_limit: Option<u32>,
    ) -> Vec<Candidate> {
        if inputs.settings.placement == Placement::Direct {
            return self.own_candidate(inputs);
        }
        let primaries = rankings.newest().map_or(0, |ranked| ranked.primaries);
        let role_shares = widest_limit.map(placement::divide_limit);
        let has_share = |position: usize| {
            role_shares.is_none_or(|share| share.for_position(primaries, position) > 0)
        };
        let usable = rankings.ordered_candidates(has_share);
        let standings = usable.iter().map(|listed| (listed, inputs.standing(&listed.peer.name)));
        let standings: Vec<_> = standings.collect();
        let best = standings.iter().map(|&(_, standing)| standing).max();
        let candidate =
            |&(listed, standing): &(&Arc<rankings::PublishedInstance>, Standing)| Candidate {
                peer: listed.peer.clone(),
                live: standing > Standing::Gone && Some(standing) == best,
                local: listed.peer.name == inputs.settings.name,
            };
        standings.iter().map(candidate).collect()
    }

    /// This instance as the only candidate of a service under direct placement, if it is listed.
    ///
    /// The candidate is live even while this instance is leaving. No other instance takes over the
    /// work of this instance's own callers, and they keep sending until the load balancer has
    /// noticed: without a live candidate all their requests would be refused.
    fn own_candidate(&self, inputs: &ViewInputs<'_>) -> Vec<Candidate> {
        let own = inputs.membership.own();
        let candidate = Candidate {
            peer: Peer { name: Arc::clone(&own.name), address: Arc::clone(&own.address) },
            live: true,
            local: true,
        };
        let observed = inputs.settings.listing == Listing::Observed;
        let listed = observed || self.rankings.is_listed(&own.name);
        if listed { vec![candidate] } else { Vec::new() }
    }
}

/// How long older lists of instances still take part in the order of candidates after a new list.
/// In this time connection shares grow and other instances learn of the new list.
fn ranking_period(settings: &Settings) -> Duration {
    settings.timing.grace + settings.timing.probe
}

/// Number of connections that the whole fleet may hold to a server.
fn connection_limit(server: &publication::Server, limits: &catalogue::Limits) -> u32 {
    match limits.connections {
        0 => server.connections,
        connections => connections.min(server.connections),
    }
}

fn is_candidate(service: &Service, changed_standings: &Set<Arc<str>>) -> bool {
    let mut candidates = service.candidates.iter();
    candidates.any(|candidate| changed_standings.contains(&candidate.peer.name))
}
