//! Selects the instance that calls the servers of each part of a sweep.
//!
//! If every instance called every server, each would see only a fraction of a server's load: the
//! server's queue would fill unnoticed while another replica is free, and every instance would
//! detect an unresponsive server by a call of its own. The parts of an index are therefore divided
//! into groups, and for all sweeps of the fleet, one instance near a group's servers (the partial
//! aggregator) calls them. It sees nearly all of their load, and sends the merged records of a
//! group in one message.
//!
//! With zonal aggregation, where servers accept too few connections for every instance, there is one
//! such instance in each zone that has servers of the group ([`zones`]), so that neither the parts
//! nor the calls cross zones without need. While the servers are busy, one instance sends for the
//! whole fleet again, because only one queue keeps the order of urgency.

mod zones;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::publication::Index;

use super::peers::Peers;
use crate::collections::{Map, Set};
use crate::control::hash;
use crate::time::Instant;
use crate::view::{Neighbour, Peer, View};

use zones::Zones;

/// Weight of one reply in the moving average of a service's utilization.
const UTILIZATION_SMOOTHING: f64 = 0.2;
/// Interval at which it is decided again whether one instance calls a group's servers for all
/// instances.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Utilization (requests in progress divided by slots) below which every instance calls a group's
/// servers itself again, and above which one instance calls them for all.
const DELEGATION_UTILIZATION: (f64, f64) = (0.3, 0.38);

/// Utilization below which the aggregators of each zone send to their servers again, and above
/// which one instance sends for the whole fleet also with zonal aggregation.
///
/// Several senders don't see each other's queues: under overload the calls of all zones wait at the
/// servers, and requests of all urgency classes are late alike.
const SHARED_UTILIZATION: (f64, f64) = (0.6, 0.8);

/// Minimum number of parts for which a peer aggregates while the servers are idle: two messages
/// between instances cost about as many bytes as two parts.
const MIN_DELEGATED_PARTS: usize = 3;

/// Processor capacity, in thousandths of a core, assumed for an instance that does not publish its
/// capacity.
const DEFAULT_MILLICORES: u32 = 1000;
/// Scales the load per processor capacity so that different loads differ as integers.
const LOAD_SCALE: u64 = 1 << 32;

/// A peer that aggregates parts of a sweep, with the parts' services.
#[derive(Clone, Debug)]
pub(crate) struct PartialAggregator {
    /// The peer that calls the servers and aggregates their responses.
    pub(crate) peer: Peer,
    /// Names of the services whose parts the peer aggregates.
    pub(crate) services: Arc<Set<Arc<str>>>,
}

/// Parts of an index that one instance can call and aggregate together.
#[derive(Clone, Debug)]
struct Group {
    /// Names of the services whose parts belong to the group.
    services: Arc<Set<Arc<str>>>,
    /// Instances that may aggregate the group, the preferred one first; `None` stands for this
    /// instance.
    aggregators: Arc<[Option<Peer>]>,
    /// Instances that may aggregate the group for the sweeps of one zone, used instead of
    /// `aggregators` while the servers are not busy; `None` without zonal aggregation.
    zonal_aggregators: Option<Arc<[Option<Peer>]>>,
    /// Whether the servers are so busy that one instance aggregates the group for all zones.
    is_shared: bool,
    /// Whether one instance calls the group's servers on behalf of all instances.
    delegated: bool,
    /// Whether some of the group's servers have too few connections for every instance to call
    /// them.
    has_few_connections: bool,
    /// When it is decided again whether one instance calls the group's servers for all instances.
    next_decision_at: Instant,
}

impl Group {
    fn update_delegated(&mut self, now: Instant, utilization: &Map<Arc<str>, f64>) {
        if now < self.next_decision_at {
            return;
        }
        self.next_decision_at = now + DECISION_INTERVAL;
        let known = self.services.iter().filter_map(|service| utilization.get(service));
        let (count, sum) =
            known.fold((0, 0.0), |(count, sum), utilization| (count + 1, sum + utilization));
        let mean = if count == 0 { 0.0 } else { sum / f64::from(count) };
        self.delegated = self.has_few_connections
            || mean
                > if self.delegated { DELEGATION_UTILIZATION.0 } else { DELEGATION_UTILIZATION.1 };
        self.is_shared =
            mean > if self.is_shared { SHARED_UTILIZATION.0 } else { SHARED_UTILIZATION.1 };
    }

    /// Returns the instances that may aggregate the group now, the preferred one first.
    fn ranked_aggregators(&self) -> &[Option<Peer>] {
        match &self.zonal_aggregators {
            Some(zonal) if !self.is_shared => zonal,
            _ => &self.aggregators,
        }
    }

    /// Returns the peer that aggregates the group's parts; `None` if this instance calls the
    /// servers itself.
    fn aggregator(&self, now: Instant, peers: &Peers) -> Option<&Peer> {
        let is_usable = |peer: &&Option<Peer>| {
            peer.as_ref().is_none_or(|peer| !peers.is_silent(&peer.name, now))
        };
        self.ranked_aggregators().iter().find(is_usable)?.as_ref()
    }
}

/// The groups of all parts whose servers are in the same set of zones.
#[derive(Debug)]
struct ZoneGroups {
    groups: Vec<Group>,
    /// Whether this instance's zone is one of the zones of the groups' servers.
    includes_own_zone: bool,
    /// Whether some peer is in one of the zones of the groups' servers.
    has_peer: bool,
}

impl ZoneGroups {
    /// Appends the peers that aggregate parts of these groups; `rotation` alternates between
    /// peers.
    ///
    /// If a group's servers are busy or have few connections, the group goes to its own
    /// aggregator. For the other groups, fewer messages matter more than a single view of each
    /// server: if the set of zones includes this instance's zone, this instance calls the servers
    /// itself; otherwise the parts of all these groups go to one peer together, provided that a
    /// peer is in one of the zones and that there are at least `MIN_DELEGATED_PARTS` parts.
    fn assign(
        &self,
        now: Instant,
        rotation: usize,
        peers: &Peers,
        out: &mut Vec<PartialAggregator>,
    ) {
        let undelegated: Vec<&Group> =
            self.groups.iter().filter(|group| !group.delegated).collect();
        let parts: usize = undelegated.iter().map(|group| group.services.len()).sum();
        let is_far = !self.includes_own_zone && self.has_peer && parts >= MIN_DELEGATED_PARTS;
        let shared_aggregator = is_far
            .then(|| undelegated[rotation % undelegated.len()].aggregator(now, peers))
            .flatten();
        out.extend(self.groups.iter().filter_map(|group| {
            let peer =
                if group.delegated { group.aggregator(now, peers) } else { shared_aggregator };
            Some(PartialAggregator { peer: peer?.clone(), services: Arc::clone(&group.services) })
        }));
    }
}

/// The services of one index by the zones of their servers, divided into groups: one instance can
/// call the servers of a group for all instances and aggregate their responses.
#[derive(Debug)]
struct IndexGroups {
    /// Kept also because its address is the key in `by_index`.
    index: Arc<Index>,
    zone_groups: Vec<ZoneGroups>,
}

/// A group of parts with the instance that aggregates it for the sweeps that arrive in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupStatus {
    /// Name of the index that the parts belong to.
    pub index: Arc<str>,
    /// Zone in which the sweeps arrive; `None` if the instance aggregates for all zones.
    pub zone: Option<Arc<str>>,
    /// Services of the group, sorted by name.
    pub services: Vec<Arc<str>>,
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Whether the instance aggregates now; otherwise each instance calls the servers itself.
    pub in_use: bool,
}

/// Assigns parts of sweeps to partial aggregators; the groups are valid for one view.
#[derive(Debug, Default)]
pub(crate) struct AggregatorSelector {
    /// Groups by the address of the index: routes of one version may have equal names.
    by_index: Map<usize, IndexGroups>,
    /// Number of sweeps so far, which selects the peers in turn.
    rotation: usize,
    /// Moving average of the utilization (requests in progress divided by slots) of each service's
    /// servers.
    utilization: Map<Arc<str>, f64>,
    /// Availability zones of the other instances, by the instance's name.
    zones: Map<Arc<str>, Arc<str>>,
}

/// This instance as a candidate for partial aggregation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalInstance<'a> {
    /// Name of this instance.
    pub(crate) name: &'a str,
    /// Availability zone of this instance.
    pub(crate) zone: &'a str,
    /// Processor capacity available to this instance, in thousandths of a core.
    pub(crate) millicores: u32,
    /// Whether each zone with servers of a group has an aggregator of its own.
    pub(crate) is_zonal: bool,
}

impl AggregatorSelector {
    /// Discards the groups of the previous view, adopts the zones of the new view's instances, and
    /// drops the utilization of services that are gone.
    pub(crate) fn reset_for_view(&mut self, view: &View) {
        self.by_index.clear();
        let zone =
            |neighbour: &Neighbour| (Arc::clone(&neighbour.peer.name), Arc::clone(&neighbour.zone));
        self.zones = view.neighbours.iter().map(zone).collect();
        self.utilization.retain(|service, _| view.service(service).is_some());
    }

    /// Returns the availability zone of another instance by its name.
    pub(crate) fn zone(&self, name: &str) -> Option<&Arc<str>> {
        self.zones.get(name)
    }

    /// Adds a reported utilization, in thousandths, to the moving average of a service.
    pub(crate) fn record_utilization(&mut self, service: &Arc<str>, permille: u32) {
        let utilization = f64::from(permille) / 1000.0;
        match self.utilization.get_mut(service) {
            Some(known) => *known += UTILIZATION_SMOOTHING * (utilization - *known),
            None => drop(self.utilization.insert(Arc::clone(service), utilization)),
        }
    }

    /// Selects the peers that aggregate parts of a sweep over `index`, with their services. This
    /// instance calls the servers of all other services itself.
    pub(crate) fn assign(
        &mut self,
        now: Instant,
        view: &View,
        own: LocalInstance<'_>,
        index: &Arc<Index>,
        peers: &Peers,
    ) -> Vec<PartialAggregator> {
        self.rotation = self.rotation.wrapping_add(1);
        let (rotation, utilization) = (self.rotation, &self.utilization);
        let index_groups = index_groups(&mut self.by_index, view, own, index);
        let mut aggregators = Vec::new();
        for in_zones in &mut index_groups.zone_groups {
            in_zones.groups.iter_mut().for_each(|group| group.update_delegated(now, utilization));
            in_zones.assign(now, rotation, peers, &mut aggregators);
        }
        aggregators
    }

    /// Returns the first aggregator of each group for the sweeps of each zone, for the indexes of the
    /// sweeps that arrived since the last change of the view.
    pub(crate) fn status(&self, view: &View, own: LocalInstance<'_>) -> Vec<GroupStatus> {
        let mut zones: Vec<&str> = view.neighbours.iter().map(|one| &*one.zone).collect();
        zones.push(own.zone);
        zones.sort_unstable();
        zones.dedup();
        zones.retain(|zone| own.is_zonal || *zone == own.zone);
        let mut all = Vec::new();
        for known in self.by_index.values() {
            let in_use = known.zone_groups.iter().flat_map(|in_zones| &in_zones.groups);
            let in_use: Vec<(bool, bool)> =
                in_use.map(|group| (group.delegated, group.is_shared)).collect();
            for zone in &zones {
                let groups = build_zone_groups(view, own, zone, &known.index);
                let groups = groups.into_iter().flat_map(|in_zones| in_zones.groups).zip(&in_use);
                all.extend(groups.filter_map(|(mut group, (in_use, is_shared))| {
                    group.is_shared = *is_shared;
                    let mut services: Vec<Arc<str>> = group.services.iter().cloned().collect();
                    services.sort_unstable();
                    let first = group.ranked_aggregators().first()?.as_ref();
                    Some(GroupStatus {
                        index: known.index.name.as_str().into(),
                        zone: own.is_zonal.then(|| (*zone).into()),
                        services,
                        instance: first.map_or_else(|| own.name.into(), |peer| peer.name.clone()),
                        in_use: *in_use,
                    })
                }));
            }
        }
        all.sort_unstable_by(|one, other| {
            (&one.index, &one.services, &one.zone).cmp(&(
                &other.index,
                &other.services,
                &other.zone,
            ))
        });
        all
    }

    /// Selects the next partial aggregator of a service whose servers have too few connections for
    /// every instance; `is_skipped` names the instances that cannot be used. `None` means that
    /// this instance calls the servers itself, or that every instance does.
    pub(crate) fn next(
        &mut self,
        view: &View,
        own: LocalInstance<'_>,
        index: &Arc<Index>,
        service: &Arc<str>,
        is_skipped: impl Fn(&str) -> bool,
    ) -> Option<&Peer> {
        let index_groups = index_groups(&mut self.by_index, view, own, index);
        let mut groups = index_groups.zone_groups.iter().flat_map(|in_zones| &in_zones.groups);
        let group =
            groups.find(|group| group.has_few_connections && group.services.contains(service))?;
        let is_usable = |aggregator: &&Option<Peer>| {
            !is_skipped(aggregator.as_ref().map_or(own.name, |peer| &*peer.name))
        };
        group.ranked_aggregators().iter().find(is_usable)?.as_ref()
    }
}

/// Returns the groups of an index, which are built at the first use of the index in a view.
fn index_groups<'a>(
    by_index: &'a mut Map<usize, IndexGroups>,
    view: &View,
    own: LocalInstance<'_>,
    index: &Arc<Index>,
) -> &'a mut IndexGroups {
    by_index.entry(Arc::as_ptr(index).addr()).or_insert_with(|| IndexGroups {
        index: Arc::clone(index),
        zone_groups: build_zone_groups(view, own, own.zone, index),
    })
}

/// An instance that may aggregate parts of a sweep.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    name: &'a str,
    zone: &'a str,
    millicores: u32,
    /// Name and address of the instance as a peer; `None` for this instance.
    peer: Option<&'a Peer>,
}

impl Candidate<'_> {
    /// Processor capacity of the instance in thousandths of a core, assumed if it is unknown.
    fn capacity(&self) -> u32 {
        if self.millicores == 0 { DEFAULT_MILLICORES } else { self.millicores }
    }
}

/// Divides the parts of an index by the zones of their servers and into groups, with the
/// aggregators for sweeps that arrive in `entry_zone`.
fn build_zone_groups(
    view: &View,
    own: LocalInstance<'_>,
    entry_zone: &str,
    index: &Index,
) -> Vec<ZoneGroups> {
    let LocalInstance { name, zone, millicores, is_zonal } = own;
    let mut candidates = vec![Candidate { name, zone, millicores, peer: None }];
    candidates.extend(view.neighbours.iter().map(|neighbour| Candidate {
        name: &neighbour.peer.name,
        zone: &neighbour.zone,
        millicores: neighbour.millicores,
        peer: Some(&neighbour.peer),
    }));
    let has_few_connections =
        |name: &Arc<str>| view.service(name).is_some_and(|known| known.has_few_connections);
    let mut assigned_groups = AssignedGroups::default();
    let mut by_zone = is_zonal.then(|| Zones::new(&candidates, entry_zone));
    let mut group = |zones: &[&str], services: &[Arc<str>]| {
        let has_few_connections = services.iter().any(has_few_connections);
        let zonal = by_zone.as_mut().filter(|_| has_few_connections);
        let zonal = zonal.and_then(|by_zone| by_zone.rank(zones, &services[0]));
        let ranked = assign_group(&candidates, zones, &services[0], &mut assigned_groups);
        let peers = |ranked: &[Candidate<'_>]| ranked.iter().map(|one| one.peer.cloned()).collect();
        Group {
            services: Arc::new(services.iter().cloned().collect()),
            aggregators: peers(&ranked),
            zonal_aggregators: zonal.map(|ranked| peers(&ranked)),
            is_shared: false,
            delegated: false,
            has_few_connections,
            next_decision_at: Instant::default(),
        }
    };
    let services_by_zone_set = services_by_zones(view, index).into_iter();
    let in_zones = |(zones, services): (Vec<&str>, Vec<Arc<str>>)| {
        let size = group_size(index.shards.len(), services.len());
        let groups = services.chunks(size).map(|services| group(&zones, services)).collect();
        let has_peer = view.neighbours.iter().any(|neighbour| zones.contains(&&*neighbour.zone));
        ZoneGroups { groups, includes_own_zone: zones.contains(&entry_zone), has_peer }
    };
    services_by_zone_set.map(in_zones).collect()
}

/// Returns the services of an index by the zones of their servers, sorted by name.
fn services_by_zones<'a>(view: &'a View, index: &Index) -> BTreeMap<Vec<&'a str>, Vec<Arc<str>>> {
    let mut services_by_zone_set: BTreeMap<Vec<&str>, Vec<Arc<str>>> = BTreeMap::new();
    let services = index.shards.iter().filter_map(|shard| view.service(&shard.service));
    for service in services {
        let servers = service.servers.iter().filter(|server| server.takes_work());
        let mut zones: Vec<&str> = servers.map(|server| &*server.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        services_by_zone_set.entry(zones).or_default().push(Arc::clone(&service.name));
    }
    for services in services_by_zone_set.values_mut() {
        services.sort_unstable();
        services.dedup();
    }
    services_by_zone_set
}

/// Returns the number of parts in one group: about the square root of the number of parts of the
/// index, so that neither the number of messages of a sweep nor the number of parts in one message
/// grows in proportion to the number of parts.
fn group_size(part_count: usize, parts_in_zones: usize) -> usize {
    let size = (part_count as f64).sqrt().ceil().max(1.0) as usize;
    parts_in_zones.div_ceil(parts_in_zones.div_ceil(size).max(1)).max(1)
}

/// Number of groups that are assigned to each instance, by name.
type AssignedGroups<'a> = Map<&'a str, usize>;

/// Ranks the instances for a group as [`rank_candidates`] does, and assigns the group to the first.
fn assign_group<'a>(
    candidates: &[Candidate<'a>],
    zones: &[&str],
    group: &str,
    assigned_groups: &mut AssignedGroups<'a>,
) -> Vec<Candidate<'a>> {
    let ranked = rank_candidates(candidates, zones, group, assigned_groups);
    if let Some(first) = ranked.first() {
        *assigned_groups.entry(first.name).or_default() += 1;
    }
    ranked
}

/// Sorts the instances in one of `zones`, or all instances if there is none: by the number of
/// groups per processor capacity that an instance would have with this group, then by rendezvous
/// hash.
///
/// A partial aggregator sends and reads a call for each part of its group. On an eighth of a core
/// that takes as long as the servers' own work: replies remain unread, and servers that have
/// already replied receive hedged calls.
fn rank_candidates<'a>(
    candidates: &[Candidate<'a>],
    zones: &[&str],
    group: &str,
    assigned_groups: &AssignedGroups<'a>,
) -> Vec<Candidate<'a>> {
    let is_in_zones = |candidate: &&Candidate<'_>| zones.contains(&candidate.zone);
    let mut ranked: Vec<Candidate<'_>> = candidates.iter().filter(is_in_zones).copied().collect();
    if ranked.is_empty() {
        ranked = candidates.to_vec();
    }
    let load = |candidate: &Candidate<'_>| {
        let groups = assigned_groups.get(candidate.name).copied().unwrap_or(0) as u64 + 1;
        groups * LOAD_SCALE / u64::from(candidate.capacity())
    };
    let score =
        |candidate: &Candidate<'_>| hash::of(&[group.as_bytes(), candidate.name.as_bytes()]);
    ranked.sort_by_cached_key(|candidate| (load(candidate), Reverse(score(candidate))));
    ranked
}
