//! Finds parts of a sweep that a peer should collect.
//!
//! A sweep asks one server for each of its parts and keeps the greatest records of all. Where the
//! servers of a part stand in other zones, request and response cross between zones, and most of
//! what crosses is thrown away by the merge. A peer that stands near them asks the servers of many
//! such parts and sends their merged records: one message crosses each way.

use std::sync::Arc;

use ladder_schema::publication::Index;

use super::peers::Peers;
use crate::collections::{Map, Set};
use crate::time::Instant;
use crate::view::{Peer, View};

/// Parts below which a peer is not asked: two messages between instances cost about as many bytes
/// as two parts.
const PARTS: usize = 3;

/// A peer with the parts that it is to collect.
#[derive(Clone, Debug)]
pub(crate) struct Collector {
    /// The peer.
    pub(crate) peer: Peer,
    /// Names of their services.
    pub(crate) services: Arc<Set<Arc<str>>>,
}

/// Parts for one peer.
#[derive(Clone, Debug)]
struct Group {
    /// Names of their services.
    services: Arc<Set<Arc<str>>>,
    /// Instances that may collect them; not empty.
    peers: Arc<[Peer]>,
}

/// Groups that have no part in common.
type Division = Vec<Group>;

/// What is known of one index.
#[derive(Debug)]
struct Known {
    /// Keeps the address alive by which it is known.
    _index: Arc<Index>,
    /// Divisions of its far parts, each as good as the others.
    divisions: Vec<Division>,
}

/// Remembers who may collect what; valid for one view.
#[derive(Debug, Default)]
pub(crate) struct Near {
    /// By the address of the index: routes of one version may have equal names.
    known: Map<usize, Known>,
    /// Counts the sweeps, so that zones and peers take turns.
    turn: usize,
}

impl Near {
    /// Forgets what another view has changed.
    pub(crate) fn forget(&mut self) {
        self.known.clear();
    }

    /// Who collects which services of a sweep over `index` for an instance in `zone`. What is named
    /// by none, the instance asks itself.
    pub(crate) fn collectors(
        &mut self,
        now: Instant,
        view: &View,
        zone: &str,
        index: &Arc<Index>,
        peers: &Peers,
    ) -> Vec<Collector> {
        let known = self.known.entry(Arc::as_ptr(index).addr()).or_insert_with(|| Known {
            _index: Arc::clone(index),
            divisions: divisions(view, zone, index),
        });
        let divisions = &known.divisions;
        if divisions.is_empty() {
            return Vec::new();
        }
        // Zones change with every sweep and peers of a zone with every round of the zones.
        let (round, first) = (self.turn / divisions.len(), self.turn % divisions.len());
        self.turn = self.turn.wrapping_add(1);
        let collector = |group: &Group| {
            let start = round % group.peers.len();
            let mut turns = group.peers[start..].iter().chain(&group.peers[..start]);
            let peer = turns.find(|peer| !peers.is_silent(&peer.name, now))?;
            Some(Collector { peer: peer.clone(), services: Arc::clone(&group.services) })
        };
        let mut turns = divisions[first..].iter().chain(&divisions[..first]);
        let collectors = turns.find_map(|groups| {
            let collectors: Vec<_> = groups.iter().filter_map(collector).collect();
            (!collectors.is_empty()).then_some(collectors)
        });
        collectors.unwrap_or_default()
    }
}

/// Divisions of the far parts of an index, one for each zone that has most of them.
fn divisions(view: &View, zone: &str, index: &Index) -> Vec<Division> {
    let mut peers: Map<&str, Vec<Peer>> = Map::default();
    for neighbour in view.neighbours.iter().filter(|neighbour| *neighbour.zone != *zone) {
        peers.entry(&neighbour.zone).or_default().push(neighbour.peer.clone());
    }
    let mut zones: Vec<&str> = peers.keys().copied().collect();
    zones.sort_unstable();
    let far = far_parts(view, zone, index);
    let first = most(&zones, &far);
    let firsts = zones.iter().filter(|zone| first > 0 && served(zone, &far) == first);
    let divisions = firsts.map(|first| {
        let mut left = far.clone();
        let mut groups = Vec::new();
        let mut next = Some(*first);
        while let Some(zone) = next {
            groups.push(group(zone, &mut left, &peers));
            let count = most(&zones, &left);
            next = zones.iter().copied().find(|zone| count > 0 && served(zone, &left) == count);
        }
        groups
    });
    divisions.collect()
}

/// Takes the parts with a server in `zone` out of `left`, for the peers there.
fn group(zone: &str, left: &mut Vec<Part<'_>>, peers: &Map<&str, Vec<Peer>>) -> Group {
    let near = |part: &Part<'_>| part.zones.contains(zone);
    let services = left.iter().filter(|part| near(part)).map(|part| Arc::clone(part.service));
    let services = Arc::new(services.collect());
    left.retain(|part| !near(part));
    Group { services, peers: peers.get(zone).into_iter().flatten().cloned().collect() }
}

/// A part with the zones of its servers.
#[derive(Clone, Debug)]
struct Part<'a> {
    service: &'a Arc<str>,
    zones: Set<&'a str>,
}

/// Parts of which no server stands in `zone`.
fn far_parts<'a>(view: &'a View, zone: &str, index: &Index) -> Vec<Part<'a>> {
    let services = index.shards.iter().filter_map(|shard| view.service(&shard.service));
    let parts = services.map(|known| {
        let usable = known.servers.iter().filter(|server| !server.leaving);
        Part { service: &known.name, zones: usable.map(|server| &*server.zone).collect() }
    });
    parts.filter(|part| !part.zones.contains(zone)).collect()
}

/// How many of the parts have a server in a zone.
fn served(zone: &str, parts: &[Part<'_>]) -> usize {
    parts.iter().filter(|part| part.zones.contains(zone)).count()
}

/// The most that any zone serves; zero if that is too few for a peer.
fn most(zones: &[&str], parts: &[Part<'_>]) -> usize {
    let most = zones.iter().map(|zone| served(zone, parts)).max();
    most.filter(|most| *most >= PARTS).unwrap_or(0)
}
