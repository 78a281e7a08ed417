//! Builds views from the publication and the membership.

use std::collections::BTreeMap;
use std::sync::Arc;

use ladder_schema::catalogue;
use ladder_schema::publication::{self, Index};
use ladder_schema::wire::Liveness;

use super::membership::Membership;
use super::placement::{self, Ranking};
use super::settings::{Placement, Settings};
use super::store::Store;
use crate::collections::Map;
use crate::view::{Candidate, Peer, Server, Service, View};

/// A published instance.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Listed {
    peer: Peer,
    zone: Arc<str>,
}

/// Builds views and remembers what is costly to compute.
#[derive(Debug, Default)]
pub(super) struct Projection {
    view: Arc<View>,
    /// Published instances in order of name.
    fleet: Vec<Listed>,
    /// Rankings of services over `fleet`.
    rankings: Map<Arc<str>, Arc<Ranking>>,
    entries: Map<Arc<str>, Arc<catalogue::Entry>>,
    indexes: Map<(Arc<str>, u64), Arc<Index>>,
}

/// What the parts of one view are built from.
struct Source<'a> {
    store: &'a Store,
    membership: &'a Membership,
    settings: &'a Settings,
}

impl Projection {
    /// The last view.
    pub(super) const fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Builds the view anew and returns it if it differs from the last one.
    pub(super) fn refresh(
        &mut self,
        store: &Store,
        membership: &Membership,
        settings: &Settings,
        ready: bool,
    ) -> Option<Arc<View>> {
        let source = Source {
            store,
            membership,
            settings,
        };
        self.refresh_fleet(store);
        let mut view = View {
            generation: self.view.generation + 1,
            revision: store.revision(),
            ready,
            ..View::default()
        };
        for service in self.services(&source) {
            view.insert(service);
        }
        view.indexes = self.index_lists(store);
        if is_same(&self.view, &view) {
            return None;
        }
        self.view = Arc::new(view);
        Some(Arc::clone(&self.view))
    }

    fn refresh_fleet(&mut self, store: &Store) {
        let listed = |instance: &publication::Instance| Listed {
            peer: Peer {
                name: instance.name.as_str().into(),
                address: instance.peer_address.as_str().into(),
            },
            zone: instance.zone.as_str().into(),
        };
        let fleet: Vec<_> = store.instances().map(listed).collect();
        if fleet != self.fleet {
            self.fleet = fleet;
            self.rankings.clear();
        }
    }

    fn services(&mut self, source: &Source<'_>) -> Vec<Service> {
        let mut servers: BTreeMap<&str, Vec<&publication::Server>> = BTreeMap::new();
        for server in source.store.servers() {
            servers.entry(&server.service).or_default().push(server);
        }
        let entries = source.store.entries();
        let build = |entry: &catalogue::Entry| {
            let targets = servers.get(entry.service.as_str());
            self.service(source, entry, targets.map_or(&[], Vec::as_slice))
        };
        entries.map(build).collect()
    }

    fn service(
        &mut self,
        source: &Source<'_>,
        entry: &catalogue::Entry,
        targets: &[&publication::Server],
    ) -> Service {
        let name: Arc<str> = entry.service.as_str().into();
        let ranking = self.ranking(&name);
        let own = ranking.order.iter().position(|&at| self.is_own(source, at));
        let place = Place {
            ranking: &ranking,
            own,
            fleet: self.fleet.len(),
            listed: self
                .fleet
                .iter()
                .any(|listed| listed.peer.name == source.settings.name),
            placement: source.settings.placement,
        };
        let limits = entry.limits.unwrap_or_default();
        let servers = targets.iter().map(|target| {
            let limit = limit(target, &limits);
            server(source.store, target, place.share(limit))
        });
        let widest = targets.iter().map(|target| limit(target, &limits)).max();
        Service {
            servers: servers.collect(),
            candidates: self.candidates(source, &place, widest),
            entry: self.entry(entry),
            name,
        }
    }

    fn is_own(&self, source: &Source<'_>, at: usize) -> bool {
        self.fleet[at].peer.name == source.settings.name
    }

    fn ranking(&mut self, service: &Arc<str>) -> Arc<Ranking> {
        if let Some(known) = self.rankings.get(service) {
            return Arc::clone(known);
        }
        let instances = self.fleet.iter().map(|listed| placement::Instance {
            name: &listed.peer.name,
            zone: &listed.zone,
        });
        let instances: Vec<_> = instances.collect();
        let ranking = Arc::new(placement::rank(service, &instances));
        self.rankings
            .insert(Arc::clone(service), Arc::clone(&ranking));
        ranking
    }

    fn candidates(
        &self,
        source: &Source<'_>,
        place: &Place<'_>,
        widest: Option<u32>,
    ) -> Vec<Candidate> {
        if place.placement == Placement::Direct {
            return own_candidate(source, place.listed);
        }
        let ranking = place.ranking;
        let usable = |position: &usize| {
            widest.is_none_or(|limit| placement::divide(ranking, limit).at(ranking, *position) > 0)
        };
        let positions = (0..ranking.order.len()).filter(usable);
        let standings: Vec<(usize, Liveness)> = positions
            .map(|position| {
                let at = ranking.order[position];
                (at, source.membership.standing(&self.fleet[at].peer.name))
            })
            .collect();
        let floor = floor(&standings);
        let candidate = |&(at, standing): &(usize, Liveness)| Candidate {
            peer: self.fleet[at].peer.clone(),
            live: standing == floor,
            local: self.is_own(source, at),
        };
        standings.iter().map(candidate).collect()
    }

    fn entry(&mut self, entry: &catalogue::Entry) -> Arc<catalogue::Entry> {
        if let Some(known) = self.entries.get(entry.service.as_str())
            && **known == *entry
        {
            return Arc::clone(known);
        }
        let entry = Arc::new(entry.clone());
        self.entries
            .insert(entry.service.as_str().into(), Arc::clone(&entry));
        entry
    }

    fn index_lists(&mut self, store: &Store) -> Map<Arc<str>, Vec<Arc<Index>>> {
        let mut lists: Map<Arc<str>, Vec<Arc<Index>>> = Map::default();
        for index in store.indexes() {
            let key = (Arc::from(index.name.as_str()), index.version);
            let known = self.indexes.get(&key).filter(|known| ***known == *index);
            let index = known.map_or_else(|| Arc::new(index.clone()), Arc::clone);
            self.indexes.insert(key, Arc::clone(&index));
            lists
                .entry(index.name.as_str().into())
                .or_default()
                .push(index);
        }
        for list in lists.values_mut() {
            list.sort_by_key(|index| std::cmp::Reverse(index.version));
        }
        self.indexes.retain(|(name, version), _| {
            let list = lists.get(name);
            list.is_some_and(|list| list.iter().any(|index| index.version == *version))
        });
        lists
    }
}

/// Which liveness counts as live: that of the best candidate, as long as it is not dead. When all
/// candidates of a service are suspected, the suspicion is more likely wrong than not, and a
/// suspect that is asked in vain costs no more than no owner at all.
fn floor(standings: &[(usize, Liveness)]) -> Liveness {
    let any_alive = standings
        .iter()
        .any(|&(_, standing)| standing == Liveness::Alive);
    if any_alive {
        Liveness::Alive
    } else {
        Liveness::Suspect
    }
}

/// Where this instance stands for one service.
struct Place<'a> {
    ranking: &'a Ranking,
    /// Position of this instance in the ranking.
    own: Option<usize>,
    /// Number of published instances.
    fleet: usize,
    /// This instance is published. One that is not has no share: nobody counts it.
    listed: bool,
    placement: Placement,
}

impl Place<'_> {
    fn share(&self, limit: u32) -> u32 {
        match self.placement {
            Placement::Direct if self.listed => placement::direct_share(limit, self.fleet),
            Placement::Direct => 0,
            Placement::Owner => self.own.map_or(0, |position| {
                placement::divide(self.ranking, limit).at(self.ranking, position)
            }),
        }
    }
}

fn own_candidate(source: &Source<'_>, listed: bool) -> Vec<Candidate> {
    let own = source.membership.own();
    let standing = source.membership.standing(&own.name);
    let candidate = Candidate {
        peer: Peer {
            name: Arc::clone(&own.name),
            address: Arc::clone(&own.address),
        },
        live: standing == Liveness::Alive,
        local: true,
    };
    if listed { vec![candidate] } else { Vec::new() }
}

/// Connections to the server that the fleet may hold together.
fn limit(server: &publication::Server, limits: &catalogue::Limits) -> u32 {
    match limits.connections {
        0 => server.connections,
        connections => connections.min(server.connections),
    }
}

fn server(store: &Store, target: &publication::Server, share: u32) -> Server {
    Server {
        name: target.name.as_str().into(),
        address: target.address.as_str().into(),
        zone: target.zone.as_str().into(),
        incarnation: target.incarnation,
        leaving: store.departed(target),
        slots: target.slots,
        share,
        holdings: target.holdings.clone(),
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
