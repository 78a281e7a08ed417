//! Builds views from the publication and the membership.

mod cache;
mod grants;
mod ranks;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::catalogue;
use ladder_schema::publication;

use super::membership::{Membership, Standing};
use super::placement;
use super::settings::{Placement, Settings};
use super::store::Store;
use crate::collections::Map;
use crate::time::Instant;
use crate::view::{Candidate, Peer, Server, Service, View};

/// Builds views and remembers what is costly to compute.
#[derive(Debug, Default)]
pub(super) struct Projection {
    view: Arc<View>,
    ranks: ranks::Ranks,
    grants: grants::Grants,
    cache: cache::Cache,
}

/// What a view is built from.
pub(super) struct Source<'a> {
    /// The publication.
    pub(super) store: &'a Store,
    /// Who is alive.
    pub(super) membership: &'a Membership,
    /// Whether work may be given to an instance; one that is missing is gone.
    pub(super) standings: Map<Arc<str>, Standing>,
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

type Targets<'a> = BTreeMap<&'a str, Vec<&'a publication::Server>>;

impl Projection {
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

    /// Builds the view anew and returns it if it differs from the last one.
    pub(super) fn refresh(&mut self, source: &Source<'_>, ready: bool) -> Option<Arc<View>> {
        self.ranks.refresh(source.store.instances());
        self.cache.refresh(source.store);
        let cache = &self.cache;
        self.ranks.retain(|service| cache.has_entry(service));
        self.grants.begin();
        let mut view = View {
            generation: self.view.generation + 1,
            revision: source.store.revision(),
            ready,
            indexes: self.cache.index_lists(),
            ..View::default()
        };
        for service in self.services(source) {
            view.insert(service);
        }
        if is_same(&self.view, &view) {
            return None;
        }
        self.view = Arc::new(view);
        Some(Arc::clone(&self.view))
    }

    fn services(&mut self, source: &Source<'_>) -> Vec<Service> {
        let mut targets = Targets::new();
        for server in source.store.servers() {
            targets.entry(&server.service).or_default().push(server);
        }
        let mut entries: Vec<_> = self.cache.entries().map(Arc::clone).collect();
        entries.sort_unstable_by(|one, other| one.service.cmp(&other.service));
        let build = |entry: Arc<catalogue::Entry>| {
            let targets = targets.get(entry.service.as_str());
            self.service(source, entry, targets.map_or(&[], Vec::as_slice))
        };
        entries.into_iter().map(build).collect()
    }

    fn service(
        &mut self,
        source: &Source<'_>,
        entry: Arc<catalogue::Entry>,
        targets: &[&publication::Server],
    ) -> Service {
        let name: Arc<str> = entry.service.as_str().into();
        let lists = self.ranks.of(source.now, &name, period(source.settings));
        let newest = lists.newest();
        let limits = entry.limits.unwrap_or_default();
        let mut servers = Vec::with_capacity(targets.len());
        for target in targets {
            let limit = limit(target, &limits);
            let share = newest.map_or(0, |ranked| self.share(source, ranked, limit));
            servers.push(self.server(source, target, share));
        }
        let widest = targets.iter().map(|target| limit(target, &limits)).max();
        Service {
            candidates: self.candidates(source, &lists, widest),
            name,
            entry,
            servers,
        }
    }

    /// The share of this instance by the newest list. An instance that is not in the list has
    /// none, as no other counts it.
    fn share(&self, source: &Source<'_>, ranked: &ranks::Ranked, limit: u32) -> u32 {
        let own = &source.settings.name;
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

    fn server(&mut self, source: &Source<'_>, target: &publication::Server, share: u32) -> Server {
        let name = target.name.as_str().into();
        let grace = source.settings.timing.grace;
        Server {
            share: self.grants.settle(source.now, &name, share, grace),
            name,
            address: target.address.as_str().into(),
            zone: target.zone.as_str().into(),
            incarnation: target.incarnation,
            leaving: source.store.departed(target),
            slots: target.slots,
            holdings: target.holdings.clone(),
        }
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
        let standings = usable
            .iter()
            .map(|listed| (listed, source.standing(&listed.peer.name)));
        let standings: Vec<_> = standings.collect();
        let best = standings.iter().map(|&(_, standing)| standing).max();
        let candidate = |&(listed, standing): &(&Arc<ranks::Listed>, Standing)| Candidate {
            peer: listed.peer.clone(),
            live: standing > Standing::Gone && Some(standing) == best,
            local: listed.peer.name == source.settings.name,
        };
        standings.iter().map(candidate).collect()
    }

    fn own_candidate(&self, source: &Source<'_>) -> Vec<Candidate> {
        let own = source.membership.own();
        let standing = source.standing(&own.name);
        let candidate = Candidate {
            peer: Peer {
                name: Arc::clone(&own.name),
                address: Arc::clone(&own.address),
            },
            live: standing > Standing::Gone,
            local: true,
        };
        let listed = self.ranks.is_listed(&own.name);
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

/// Whether two views differ in nothing but their generation.
fn is_same(old: &View, new: &View) -> bool {
    old.ready == new.ready
        && old.revision == new.revision
        && old.services.len() == new.services.len()
        && old.indexes == new.indexes
        && new
            .services
            .values()
            .all(|service| is_same_service(old, service))
}

fn is_same_service(old: &View, service: &Service) -> bool {
    old.service(&service.name).is_some_and(|old| {
        old.entry == service.entry
            && old.servers == service.servers
            && old.candidates == service.candidates
    })
}
