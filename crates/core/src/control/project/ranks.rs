//! Rankings of services over the published instances, kept up to date.
//!
//! Ranking one service reads the whole list of instances. At thousands of instances and tens of
//! thousands of services doing so for each change of the list would take seconds, so a change
//! recomputes only the services that it can affect.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::publication::Instance;

use crate::collections::{Map, Set};
use crate::control::placement::{self, CANDIDATES, REACH};
use crate::time::Instant;
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
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Ranked {
    /// The candidates.
    pub(super) instances: Vec<Arc<Listed>>,
    /// How many of them are primary.
    pub(super) primaries: usize,
    /// Least score among them; zero without any.
    lowest: u64,
}

/// Rankings of services over the published instances.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranks {
    /// Published instances by name.
    fleet: BTreeMap<Arc<str>, Arc<Listed>>,
    /// The same in order of name, by position in `prepared`.
    listed: Vec<Arc<Listed>>,
    /// The same, prepared for ranking.
    prepared: placement::Fleet,
    ranked: Map<Arc<str>, History>,
}

/// Rankings of one service, the newest last.
///
/// An instance that a new list makes the best candidate has its larger share only after the grace
/// period. Until then the order of the older lists goes before, so that no owner starts with the
/// connections of a spare.
#[derive(Clone, Debug, Default)]
struct History {
    /// Each with the time since which it holds.
    ///
    /// Invariant: unless `stale`, the last equals the ranking over the published list. All but the
    /// first began within the last period.
    lists: Vec<(Instant, Arc<Ranked>)>,
    /// The published list has changed in a way that may affect the service.
    stale: bool,
}

impl Ranks {
    /// Takes over the published list.
    ///
    /// Returns the services whose ranking may have changed.
    pub(super) fn refresh<'a>(
        &mut self,
        list: impl Iterator<Item = &'a Instance>,
    ) -> Vec<Arc<str>> {
        let old = std::mem::take(&mut self.fleet);
        let mut added = Vec::new();
        for instance in list {
            let known = old.get(instance.name.as_str()).filter(|known| known.is(instance));
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
            return Vec::new();
        }
        self.prepare();
        let mut stale = Vec::new();
        for (service, history) in &mut self.ranked {
            let newest = history.lists.last();
            let affected =
                |(_, ranked): &(_, Arc<Ranked>)| ranked.is_affected(service, &added, &removed);
            history.stale |= newest.is_none_or(affected);
            if history.stale {
                stale.push(Arc::clone(service));
            }
        }
        stale
    }

    fn prepare(&mut self) {
        let instances = self
            .fleet
            .values()
            .map(|listed| placement::Instance { name: &listed.peer.name, zone: &listed.zone });
        self.prepared = placement::Fleet::new(instances);
        self.listed = self.fleet.values().map(Arc::clone).collect();
    }

    /// Forgets what holds only while nothing was missed: all rankings are computed anew.
    pub(super) fn doubt(&mut self) {
        for history in self.ranked.values_mut() {
            history.stale = true;
        }
    }

    /// Number of published instances.
    pub(super) fn fleet_size(&self) -> usize {
        self.fleet.len()
    }

    /// Whether an instance is published.
    pub(super) fn is_listed(&self, name: &str) -> bool {
        self.fleet.contains_key(name)
    }

    /// Forgets a service.
    pub(super) fn forget(&mut self, service: &str) {
        self.ranked.remove(service);
    }

    /// Services of which an older list is to be forgotten now.
    pub(super) fn due(&self, now: Instant, period: Duration) -> impl Iterator<Item = &Arc<str>> {
        let is_due = move |history: &History| {
            let second = history.lists.get(1);
            second.is_some_and(|&(since, _)| now.since(since) >= period)
        };
        let due = self.ranked.iter().filter(move |(_, all)| is_due(all));
        due.map(|(service, _)| service)
    }

    /// The candidates of a service by the newest list, and those of lists that are younger than
    /// `period` or were replaced within it, oldest first.
    pub(super) fn of(&mut self, now: Instant, service: &Arc<str>, period: Duration) -> Lists {
        let known = self.ranked.get(service);
        let fresh = known.is_none_or(|history| history.stale).then(|| self.rank(service));
        let history = self.ranked.entry(Arc::clone(service)).or_default();
        if let Some(fresh) = fresh {
            history.push(now, fresh);
        }
        history.forget(now, period);
        let lists = history.lists.iter();
        Lists { lists: lists.map(|(_, ranked)| Arc::clone(ranked)).collect() }
    }

    /// When an older list is forgotten next.
    pub(super) fn next_change(&self, period: Duration) -> Option<Instant> {
        let histories = self.ranked.values();
        let second = histories.filter_map(|history| history.lists.get(1));
        second.map(|&(since, _)| since + period).min()
    }

    fn rank(&self, service: &str) -> Ranked {
        let ranking = self.prepared.rank(service);
        let instances = ranking.order.iter().map(|&at| Arc::clone(&self.listed[at]));
        let instances: Vec<_> = instances.collect();
        let scores = instances.iter().map(|known| known.score(service));
        Ranked { lowest: scores.min().unwrap_or(0), instances, primaries: ranking.primaries }
    }
}

impl History {
    fn push(&mut self, now: Instant, ranked: Ranked) {
        self.stale = false;
        let newest = self.lists.last();
        if newest.is_none_or(|(_, newest)| **newest != ranked) {
            self.lists.push((now, Arc::new(ranked)));
        }
    }

    /// A list is needed until its successor is a whole period old.
    fn forget(&mut self, now: Instant, period: Duration) {
        while let Some(&(since, _)) = self.lists.get(1)
            && now.since(since) >= period
        {
            self.lists.remove(0);
        }
    }
}

/// Rankings of one service by lists of different age.
pub(super) struct Lists {
    /// Oldest first.
    ///
    /// Invariant: not empty.
    lists: Vec<Arc<Ranked>>,
}

impl Lists {
    /// The ranking by the newest list.
    pub(super) fn newest(&self) -> Option<&Ranked> {
        self.lists.last().map(|ranked| &**ranked)
    }

    /// The instances of the newest list that satisfy a condition on their position in it.
    ///
    /// Those that are primary by all lists go first, as only they have a primary's connections now:
    /// a share grows late and shrinks at once. Besides, the order is that of the oldest list.
    pub(super) fn ordered(&self, usable: impl Fn(usize) -> bool) -> Vec<Arc<Listed>> {
        let Some(newest) = self.newest() else {
            return Vec::new();
        };
        let instances = newest.instances.iter().enumerate();
        let mut left: Vec<_> = instances.filter(|&(position, _)| usable(position)).collect();
        if self.lists.len() == 1 {
            return left.into_iter().map(|(_, listed)| Arc::clone(listed)).collect();
        }
        let mut ordered = Vec::with_capacity(left.len());
        for old in self.lists.iter().flat_map(|ranked| &ranked.instances) {
            let found = left.iter().position(|(_, new)| new.peer.name == old.peer.name);
            if let Some(found) = found {
                ordered.push(Arc::clone(left.remove(found).1));
            }
        }
        ordered.sort_by_key(|listed| !self.is_steady(listed));
        ordered
    }

    fn is_steady(&self, listed: &Listed) -> bool {
        let is_primary = |ranked: &Arc<Ranked>| {
            let mut primaries = ranked.instances[..ranked.primaries].iter();
            primaries.any(|primary| primary.peer.name == listed.peer.name)
        };
        self.lists.iter().all(is_primary)
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
        added.iter().any(|new| new.score(service) >= self.lowest || self.lacks_zone(&new.zone))
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
