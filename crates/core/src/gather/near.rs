//! Chooses who asks the servers of each part of a sweep.
//!
//! Were every instance to ask every server, each would see a fraction of a server's work: the
//! server's queue would fill unseen while its sibling is free, and every instance would learn of a
//! standing server by a call of its own. The parts of an index are therefore cut into groups, and
//! each group is asked for by one instance near its servers for all sweeps of the fleet. It sees
//! nearly all of their work, and sends the merged records of a group in one message.

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

/// Weight of one reply in what is held of a service's load.
const BUSY_WEIGHT: f64 = 0.2;
/// Between two decisions who asks.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Work over slots below which every instance asks for itself again, and above which one asks for all.
const BUSY: (f64, f64) = (0.3, 0.38);

/// Parts below which a peer is not asked where servers are idle: two messages between instances cost
/// about as many bytes as two parts.
const PARTS: usize = 3;

/// Taken for the processor of an instance that does not say what it has, in thousandths of a core.
const ONE_CORE: u32 = 1000;
/// So that loads of different processors differ as whole numbers.
const LOAD_SCALE: u64 = 1 << 32;

/// Parts with the peer that is to collect them.
#[derive(Clone, Debug)]
pub(crate) struct Collector {
    /// The peer.
    pub(crate) peer: Peer,
    /// Names of their services.
    pub(crate) services: Arc<Set<Arc<str>>>,
}

/// Parts that are asked for together.
#[derive(Clone, Debug)]
struct Group {
    /// Names of their services.
    services: Arc<Set<Arc<str>>>,
    /// Instances that may collect them, the preferred one first; `None` is this instance.
    askers: Arc<[Option<Peer>]>,
    /// One instance asks for them on behalf of all.
    steady: bool,
    /// Some of its servers have too few connections for every instance.
    scarce: bool,
    /// When `steady` is decided anew.
    look_at: Instant,
}

impl Group {
    fn decide(&mut self, now: Instant, busy: &Map<Arc<str>, f64>) {
        if now < self.look_at {
            return;
        }
        self.look_at = now + LOOK_EVERY;
        let known = self.services.iter().filter_map(|service| busy.get(service));
        let (count, sum) = known.fold((0, 0.0), |(count, sum), busy| (count + 1, sum + busy));
        let mean = if count == 0 { 0.0 } else { sum / f64::from(count) };
        self.steady = self.scarce || mean > if self.steady { BUSY.0 } else { BUSY.1 };
    }

    /// Who collects its parts; `None` if this instance asks itself.
    fn asker(&self, now: Instant, peers: &Peers) -> Option<&Peer> {
        let heard = |peer: &&Option<Peer>| {
            peer.as_ref().is_none_or(|peer| !peers.is_silent(&peer.name, now))
        };
        self.askers.iter().find(heard)?.as_ref()
    }
}

/// The parts whose servers stand in the same zones.
#[derive(Debug)]
struct Block {
    groups: Vec<Group>,
    /// One of the zones is this instance's.
    here: bool,
    /// Some peer stands in one of the zones.
    there: bool,
}

impl Block {
    /// Who collects the parts; `turn` lets peers take turns.
    ///
    /// Where the servers have much to do or few connections, each group goes to its own asker.
    /// Elsewhere few messages are worth more than one view of each server: what has a server in this zone is asked for from
    /// here, and the rest goes to one peer together.
    fn collectors(&self, now: Instant, turn: usize, peers: &Peers, out: &mut Vec<Collector>) {
        let idle: Vec<&Group> = self.groups.iter().filter(|group| !group.steady).collect();
        let parts: usize = idle.iter().map(|group| group.services.len()).sum();
        let is_far = !self.here && self.there && parts >= PARTS;
        let shared = is_far.then(|| idle[turn % idle.len()].asker(now, peers)).flatten();
        out.extend(self.groups.iter().filter_map(|group| {
            let peer = if group.steady { group.asker(now, peers) } else { shared };
            Some(Collector { peer: peer?.clone(), services: Arc::clone(&group.services) })
        }));
    }
}

/// What is known of one index.
#[derive(Debug)]
struct Known {
    /// Keeps the address alive by which it is known.
    _index: Arc<Index>,
    blocks: Vec<Block>,
}

/// Remembers who collects what; valid for one view.
#[derive(Debug, Default)]
pub(crate) struct Near {
    /// By the address of the index: routes of one version may have equal names.
    known: Map<usize, Known>,
    /// Counts the sweeps, so that peers take turns.
    turn: usize,
    /// Work that services' servers held of late over their slots.
    busy: Map<Arc<str>, f64>,
    /// Zones of the other instances.
    zones: Map<Arc<str>, Arc<str>>,
}

/// This instance, as the one that chooses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Own<'a> {
    /// Its name.
    pub(crate) name: &'a str,
    /// Its availability zone.
    pub(crate) zone: &'a str,
    /// Thousandths of a processor core that it may use.
    pub(crate) millicores: u32,
}

impl Near {
    /// Forgets what another view has changed.
    pub(crate) fn forget(&mut self, view: &View) {
        self.known.clear();
        let zone = |one: &Neighbour| (Arc::clone(&one.peer.name), Arc::clone(&one.zone));
        self.zones = view.neighbours.iter().map(zone).collect();
        self.busy.retain(|service, _| view.service(service).is_some());
    }

    /// Zone of another instance.
    pub(crate) fn zone(&self, name: &str) -> Option<&Arc<str>> {
        self.zones.get(name)
    }

    /// Takes in how much work the servers of a service held.
    pub(crate) fn heard_of(&mut self, service: &Arc<str>, permille: u32) {
        let busy = f64::from(permille) / 1000.0;
        match self.busy.get_mut(service) {
            Some(known) => *known += BUSY_WEIGHT * (busy - *known),
            None => drop(self.busy.insert(Arc::clone(service), busy)),
        }
    }

    /// Who collects which services of a sweep over `index`. What is named by none, the instance
    /// asks itself.
    pub(crate) fn collectors(
        &mut self,
        now: Instant,
        view: &View,
        own: Own<'_>,
        index: &Arc<Index>,
        peers: &Peers,
    ) -> Vec<Collector> {
        self.turn = self.turn.wrapping_add(1);
        let (turn, busy) = (self.turn, &self.busy);
        let known = known(&mut self.known, view, own, index);
        let mut collectors = Vec::new();
        for block in &mut known.blocks {
            block.groups.iter_mut().for_each(|group| group.decide(now, busy));
            block.collectors(now, turn, peers, &mut collectors);
        }
        collectors
    }

    /// The peer that asks for a service next, where few are to ask for all; `passed` says who can't.
    /// `None`: that is this instance, or everyone asks for itself.
    pub(crate) fn next(
        &mut self,
        view: &View,
        own: Own<'_>,
        index: &Arc<Index>,
        service: &Arc<str>,
        passed: impl Fn(&str) -> bool,
    ) -> Option<&Peer> {
        let known = known(&mut self.known, view, own, index);
        let mut groups = known.blocks.iter().flat_map(|block| &block.groups);
        let group = groups.find(|group| group.scarce && group.services.contains(service))?;
        let usable =
            |asker: &&Option<Peer>| !passed(asker.as_ref().map_or(own.name, |peer| &*peer.name));
        group.askers.iter().find(usable)?.as_ref()
    }
}

/// Blocks and groups of an index, made when it is first asked about in a view.
fn known<'a>(
    all: &'a mut Map<usize, Known>,
    view: &View,
    own: Own<'_>,
    index: &Arc<Index>,
) -> &'a mut Known {
    all.entry(Arc::as_ptr(index).addr())
        .or_insert_with(|| Known { _index: Arc::clone(index), blocks: blocks(view, own, index) })
}

/// An instance that may collect.
#[derive(Clone, Copy, Debug)]
struct Asker<'a> {
    name: &'a str,
    zone: &'a str,
    millicores: u32,
    /// `None` for this instance.
    peer: Option<&'a Peer>,
}

/// The parts of an index in blocks and groups.
fn blocks(view: &View, own: Own<'_>, index: &Index) -> Vec<Block> {
    let Own { name, zone, millicores } = own;
    let mut askers = vec![Asker { name, zone, millicores, peer: None }];
    askers.extend(view.neighbours.iter().map(|neighbour| Asker {
        name: &neighbour.peer.name,
        zone: &neighbour.zone,
        millicores: neighbour.millicores,
        peer: Some(&neighbour.peer),
    }));
    let is_scarce = |name: &Arc<str>| view.service(name).is_some_and(|known| known.scarce);
    let mut taken: Map<&str, usize> = Map::default();
    let mut group = |zones: &[&str], services: &[Arc<str>]| {
        let order = order(&askers, zones, &services[0], &taken);
        if let Some(first) = order.first() {
            *taken.entry(first.name).or_default() += 1;
        }
        Group {
            services: Arc::new(services.iter().cloned().collect()),
            askers: order.iter().map(|asker| asker.peer.cloned()).collect(),
            steady: false,
            scarce: services.iter().any(is_scarce),
            look_at: Instant::default(),
        }
    };
    let sets = by_zones(view, index).into_iter();
    let block = |(zones, services): (Vec<&str>, Vec<Arc<str>>)| {
        let size = group_size(index.shards.len(), services.len());
        let groups = services.chunks(size).map(|services| group(&zones, services)).collect();
        let there = view.neighbours.iter().any(|neighbour| zones.contains(&&*neighbour.zone));
        Block { groups, here: zones.contains(&own.zone), there }
    };
    sets.map(block).collect()
}

/// Services of an index by the zones of their servers, in order of name.
fn by_zones<'a>(view: &'a View, index: &Index) -> BTreeMap<Vec<&'a str>, Vec<Arc<str>>> {
    let mut sets: BTreeMap<Vec<&str>, Vec<Arc<str>>> = BTreeMap::new();
    let services = index.shards.iter().filter_map(|shard| view.service(&shard.service));
    for service in services {
        let usable = service.servers.iter().filter(|server| server.takes_work());
        let mut zones: Vec<&str> = usable.map(|server| &*server.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        sets.entry(zones).or_default().push(Arc::clone(&service.name));
    }
    for services in sets.values_mut() {
        services.sort_unstable();
        services.dedup();
    }
    sets
}

/// Parts that go into one group: about as many as there are groups, so that neither the messages of
/// a sweep nor the parts of one message grow with the number of parts alone.
fn group_size(all: usize, same_zones: usize) -> usize {
    let size = (all as f64).sqrt().ceil().max(1.0) as usize;
    same_zones.div_ceil(same_zones.div_ceil(size).max(1)).max(1)
}

/// Instances in some of these zones, or all if there is none: those first that would have the fewest
/// groups for their processors with this one, then by rendezvous.
///
/// An asker sends and reads a call for each part of its group. On an eighth of a core that takes as long
/// as the servers' work: answers lie unread, and servers that had answered get second copies.
fn order<'a>(
    askers: &[Asker<'a>],
    zones: &[&str],
    group: &str,
    taken: &Map<&str, usize>,
) -> Vec<Asker<'a>> {
    let near = |asker: &&Asker<'_>| zones.contains(&asker.zone);
    let mut order: Vec<Asker<'_>> = askers.iter().filter(near).copied().collect();
    if order.is_empty() {
        order = askers.to_vec();
    }
    let load = |asker: &Asker<'_>| {
        let groups = taken.get(asker.name).copied().unwrap_or(0) as u64 + 1;
        let millicores = if asker.millicores == 0 { ONE_CORE } else { asker.millicores };
        groups * LOAD_SCALE / u64::from(millicores)
    };
    let score = |asker: &Asker<'_>| hash::of(&[group.as_bytes(), asker.name.as_bytes()]);
    order.sort_by_cached_key(|asker| (load(asker), Reverse(score(asker))));
    order
}
