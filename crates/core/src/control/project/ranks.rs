//! Rankings of services over the published instances, kept up to date.
//!
//! Ranking one service reads the whole list of instances. At thousands of instances and tens of
//! thousands of services doing so for each change of the list would take seconds, so a change
//! recomputes only the services that it can affect.

use std::collections::BTreeMap;
use std::sync::Arc;

use ladder_schema::publication::Instance;

use crate::collections::{Map, Set};
use crate::control::placement::{self, CANDIDATES, REACH};
use crate::view::Peer;

/// A published instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Listed {
    /// Name and address.
    pub(super) peer: Peer,
    /// Availability zone.
    pub(super) zone: Arc<str>,
}

/// The candidates of one service, best first.
#[derive(Clone, Debug)]
pub(super) struct Ranked {
    /// The candidates.
    pub(super) instances: Vec<Arc<Listed>>,
    /// How many of them are primary.
    pub(super) primaries: usize,
}

/// Rankings of services over the published instances.
#[derive(Debug, Default)]
pub(super) struct Ranks {
    /// Published instances by name.
    fleet: BTreeMap<Arc<str>, Arc<Listed>>,
    /// Invariant: each equals the ranking of its service over `fleet`.
    ranked: Map<Arc<str>, Arc<Ranked>>,
}

impl Ranks {
    /// Takes over the published list.
    pub(super) fn refresh<'a>(&mut self, list: impl Iterator<Item = &'a Instance>) {
        let old = std::mem::take(&mut self.fleet);
        let mut added = Vec::new();
        for instance in list {
            let known = old
                .get(instance.name.as_str())
                .filter(|known| known.is(instance));
            let listed = known.map_or_else(|| Arc::new(Listed::of(instance)), Arc::clone);
            if known.is_none() {
                added.push(Arc::clone(&listed));
            }
            self.fleet.insert(Arc::clone(&listed.peer.name), listed);
        }
        let fleet = &self.fleet;
        let kept = |known: &&Arc<Listed>| {
            let now = fleet.get(&known.peer.name);
            now.is_some_and(|now| Arc::ptr_eq(now, known))
        };
        let removed = old.values().filter(|known| !kept(known));
        let removed: Set<Arc<str>> = removed.map(|known| Arc::clone(&known.peer.name)).collect();
        if added.is_empty() && removed.is_empty() {
            return;
        }
        self.ranked
            .retain(|service, ranked| !ranked.is_affected(service, &added, &removed));
    }

    /// Number of published instances.
    pub(super) fn fleet_size(&self) -> usize {
        self.fleet.len()
    }

    /// Whether an instance is published.
    pub(super) fn is_listed(&self, name: &str) -> bool {
        self.fleet.contains_key(name)
    }

    /// The candidates of a service.
    pub(super) fn of(&mut self, service: &Arc<str>) -> Arc<Ranked> {
        if let Some(known) = self.ranked.get(service) {
            return Arc::clone(known);
        }
        let fleet: Vec<_> = self.fleet.values().collect();
        let instances = fleet.iter().map(|listed| placement::Instance {
            name: &listed.peer.name,
            zone: &listed.zone,
        });
        let ranking = placement::rank(service, &instances.collect::<Vec<_>>());
        let ranked = Arc::new(Ranked {
            instances: ranking
                .order
                .iter()
                .map(|&at| Arc::clone(fleet[at]))
                .collect(),
            primaries: ranking.primaries,
        });
        self.ranked.insert(Arc::clone(service), Arc::clone(&ranked));
        ranked
    }
}

impl Listed {
    fn of(instance: &Instance) -> Self {
        Self {
            peer: Peer {
                name: instance.name.as_str().into(),
                address: instance.peer_address.as_str().into(),
            },
            zone: instance.zone.as_str().into(),
        }
    }

    fn is(&self, instance: &Instance) -> bool {
        *self.peer.name == *instance.name
            && *self.peer.address == *instance.peer_address
            && *self.zone == *instance.zone
    }
}

impl Ranked {
    /// Whether a change of the list may change this ranking: a candidate is gone, or one of the new
    /// instances scores above the worst candidate or may stand for a zone that has none.
    fn is_affected(&self, service: &str, added: &[Arc<Listed>], removed: &Set<Arc<str>>) -> bool {
        let gone = |known: &Arc<Listed>| removed.contains(&known.peer.name);
        if self.instances.len() < CANDIDATES || self.instances.iter().any(gone) {
            return true;
        }
        let scores = self.instances.iter().map(|known| known.score(service));
        let lowest = scores.min().unwrap_or(0);
        added
            .iter()
            .any(|new| new.score(service) >= lowest || self.lacks_zone(&new.zone))
    }

    fn lacks_zone(&self, zone: &str) -> bool {
        let primaries = &self.instances[..self.primaries];
        self.primaries < REACH && primaries.iter().all(|known| *known.zone != *zone)
    }
}

impl Listed {
    fn score(&self, service: &str) -> u64 {
        placement::score(service, &self.peer.name)
    }
}
