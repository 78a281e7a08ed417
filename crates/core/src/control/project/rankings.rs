//! Rankings of services over the published instances, kept up to date.
//!
//! Ranking one service reads the whole list of instances. At thousands of instances and tens of
//! thousands of services, ranking all of them for each change of the list would take seconds. A
//! change therefore recomputes only the rankings that it can affect.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::publication::Instance;

use crate::collections::{Map, Set};
use crate::control::placement::{self, CANDIDATES, MAX_PRIMARIES};
use crate::time::Instant;
use crate::view::Peer;

/// A published instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PublishedInstance {
    /// Name and address of the instance.
    pub(super) peer: Peer,
    /// Availability zone of the instance.
    pub(super) zone: Arc<str>,
}

/// The candidates of one service, best first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RankedCandidates {
    /// Candidates of the service, best first.
    pub(super) instances: Vec<Arc<PublishedInstance>>,
    /// Number of primary candidates, the first ones in `instances`.
    pub(super) primaries: usize,
    /// Lowest rendezvous score among the candidates; zero if there are none.
    lowest_score: u64,
}

/// Rankings of services over the published instances.
#[derive(Clone, Debug, Default)]
pub(super) struct RankingCache {
    /// Published instances by name.
    instances_by_name: BTreeMap<Arc<str>, Arc<PublishedInstance>>,
    /// Published instances in order of name; positions are those in `prepared_fleet`.
    instances: Vec<Arc<PublishedInstance>>,
    /// Published instances prepared for ranking.
    prepared_fleet: placement::Fleet,
    histories: Map<Arc<str>, RankingHistory>,
}

/// Rankings of one service by successive lists of instances, the newest last.
///
/// An instance that becomes the best candidate with a new list gets its larger share only after
/// the grace period. Until then the order of the older lists takes precedence, so that no owner
/// starts with only a spare's connections.
#[derive(Clone, Debug, Default)]
struct RankingHistory {
    /// Rankings of the service, each with the time from which it applies.
    ///
    /// Invariant: unless `stale` is set, the last ranking is that over the published list. All
    /// rankings but the first began within the last ranking period.
    versions: Vec<(Instant, Arc<RankedCandidates>)>,
    /// Whether the published list has changed in a way that may affect the service.
    stale: bool,
}

impl RankingCache {
    /// Replaces the published list of instances.
    ///
    /// Returns the services whose ranking may have changed.
    pub(super) fn refresh<'a>(
        &mut self,
        instances: impl Iterator<Item = &'a Instance>,
    ) -> Vec<Arc<str>> {
        let previous = std::mem::take(&mut self.instances_by_name);
        let mut added = Vec::new();
        for instance in instances {
            let unchanged = previous
                .get(instance.name.as_str())
                .filter(|unchanged| unchanged.matches(instance));
            let listed =
                unchanged.map_or_else(|| Arc::new(PublishedInstance::of(instance)), Arc::clone);
            if unchanged.is_none() {
                added.push(Arc::clone(&listed));
            }
            self.instances_by_name.insert(Arc::clone(&listed.peer.name), listed);
        }
        let instances_by_name = &self.instances_by_name;
        let is_kept = |instance: &&Arc<PublishedInstance>| {
            let current = instances_by_name.get(&instance.peer.name);
            current.is_some_and(|current| Arc::ptr_eq(current, instance))
        };
        let removed = previous.values().filter(|instance| !is_kept(instance));
        let removed: Set<Arc<str>> =
            removed.map(|instance| Arc::clone(&instance.peer.name)).collect();
        if added.is_empty() && removed.is_empty() {
            return Vec::new();
        }
        self.prepare();
        let mut stale = Vec::new();
        for (service, history) in &mut self.histories {
            let newest = history.versions.last();
            let affected = |(_, ranked): &(_, Arc<RankedCandidates>)| {
                ranked.is_affected(service, &added, &removed)
            };
            history.stale |= newest.is_none_or(affected);
            if history.stale {
                stale.push(Arc::clone(service));
            }
        }
        stale
    }

    fn prepare(&mut self) {
        let instances = self
            .instances_by_name
            .values()
            .map(|listed| placement::Instance { name: &listed.peer.name, zone: &listed.zone });
        self.prepared_fleet = placement::Fleet::new(instances);
        self.instances = self.instances_by_name.values().map(Arc::clone).collect();
    }

    /// Marks all rankings as stale, so that each is computed anew even if a change of the list was
    /// missed.
    pub(super) fn invalidate(&mut self) {
        for history in self.histories.values_mut() {
            history.stale = true;
        }
    }

    /// Number of published instances.
    pub(super) fn fleet_size(&self) -> usize {
        self.instances_by_name.len()
    }

    /// Whether an instance is published.
    pub(super) fn is_listed(&self, name: &str) -> bool {
        self.instances_by_name.contains_key(name)
    }

    /// Removes the rankings of a service.
    pub(super) fn remove(&mut self, service: &str) {
        self.histories.remove(service);
    }

    /// Services with an older ranking that expires now.
    pub(super) fn due(&self, now: Instant, period: Duration) -> impl Iterator<Item = &Arc<str>> {
        let is_due = move |history: &RankingHistory| {
            let successor = history.versions.get(1);
            successor.is_some_and(|&(since, _)| now.since(since) >= period)
        };
        let due = self.histories.iter().filter(move |(_, all)| is_due(all));
        due.map(|(service, _)| service)
    }

    /// Rankings of a service, oldest first: that by the newest list, and those by older lists that
    /// were replaced less than `period` ago.
    pub(super) fn versions(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        period: Duration,
    ) -> RankingVersions {
        let existing = self.histories.get(service);
        let new_ranking = existing.is_none_or(|history| history.stale).then(|| self.rank(service));
        let history = self.histories.entry(Arc::clone(service)).or_default();
        if let Some(new_ranking) = new_ranking {
            history.push(now, new_ranking);
        }
        history.drop_expired(now, period);
        let versions = history.versions.iter();
        RankingVersions { versions: versions.map(|(_, ranked)| Arc::clone(ranked)).collect() }
    }

    /// When an older ranking expires next.
    pub(super) fn next_expiry(&self, period: Duration) -> Option<Instant> {
        let histories = self.histories.values();
        let successor = histories.filter_map(|history| history.versions.get(1));
        successor.map(|&(since, _)| since + period).min()
    }

    fn rank(&self, service: &str) -> RankedCandidates {
        let ranking = self.prepared_fleet.rank(service);
        let instances = ranking.order.iter().map(|&index| Arc::clone(&self.instances[index]));
        let instances: Vec<_> = instances.collect();
        let scores = instances.iter().map(|candidate| candidate.score(service));
        RankedCandidates {
            lowest_score: scores.min().unwrap_or(0),
            instances,
            primaries: ranking.primaries,
        }
    }
}

impl RankingHistory {
    fn push(&mut self, now: Instant, ranked: RankedCandidates) {
        self.stale = false;
        let newest = self.versions.last();
        if newest.is_none_or(|(_, newest)| **newest != ranked) {
            self.versions.push((now, Arc::new(ranked)));
        }
    }

    /// Removes the rankings whose successor is at least a whole period old.
    fn drop_expired(&mut self, now: Instant, period: Duration) {
        while let Some(&(since, _)) = self.versions.get(1)
            && now.since(since) >= period
        {
            self.versions.remove(0);
        }
    }
}

/// Rankings of one service by successive lists of instances.
pub(super) struct RankingVersions {
    /// Rankings of the service, oldest first.
    ///
    /// Invariant: not empty.
    versions: Vec<Arc<RankedCandidates>>,
}

impl RankingVersions {
    /// The ranking by the newest list of instances.
    pub(super) fn newest(&self) -> Option<&RankedCandidates> {
        self.versions.last().map(|ranked| &**ranked)
    }

    /// Instances of the newest list whose position in it is `usable`, in order of preference.
    ///
    /// Instances that are primary in all lists come first, because only they are granted a
    /// primary's connections now: a grant grows late and shrinks at once. Otherwise the order is
    /// that of the oldest list.
    pub(super) fn ordered_candidates(
        &self,
        usable: impl Fn(usize) -> bool,
    ) -> Vec<Arc<PublishedInstance>> {
        let Some(newest) = self.newest() else {
            return Vec::new();
        };
        let instances = newest.instances.iter().enumerate();
        let mut remaining: Vec<_> = instances.filter(|&(position, _)| usable(position)).collect();
        if self.versions.len() == 1 {
            return remaining.into_iter().map(|(_, listed)| Arc::clone(listed)).collect();
        }
        let mut result = Vec::with_capacity(remaining.len());
        for old in self.versions.iter().flat_map(|ranked| &ranked.instances) {
            let index = remaining.iter().position(|(_, new)| new.peer.name == old.peer.name);
            if let Some(index) = index {
                result.push(Arc::clone(remaining.remove(index).1));
            }
        }
        result.sort_by_key(|listed| !self.is_primary_in_all(listed));
        result
    }

    fn is_primary_in_all(&self, listed: &PublishedInstance) -> bool {
        let is_primary = |ranked: &Arc<RankedCandidates>| {
            let mut primaries = ranked.instances[..ranked.primaries].iter();
            primaries.any(|primary| primary.peer.name == listed.peer.name)
        };
        self.versions.iter().all(is_primary)
    }
}

impl PublishedInstance {
    fn of(instance: &Instance) -> Self {
        Self {
            peer: Peer {
                name: instance.name.as_str().into(),
                address: instance.peer_address.as_str().into(),
            },
            zone: instance.zone.as_str().into(),
        }
    }

    fn matches(&self, instance: &Instance) -> bool {
        *self.peer.name == *instance.name
            && *self.peer.address == *instance.peer_address
            && *self.zone == *instance.zone
    }
}

impl RankedCandidates {
    /// Whether a change of the list may change this ranking: fewer than [`CANDIDATES`] instances
    /// are ranked, a candidate was removed, or an added instance scores at least as high as the
    /// worst candidate or may become the primary of a zone without one.
    fn is_affected(
        &self,
        service: &str,
        added: &[Arc<PublishedInstance>],
        removed: &Set<Arc<str>>,
    ) -> bool {
        let is_removed =
            |candidate: &Arc<PublishedInstance>| removed.contains(&candidate.peer.name);
        if self.instances.len() < CANDIDATES || self.instances.iter().any(is_removed) {
            return true;
        }
        added
            .iter()
            .any(|new| new.score(service) >= self.lowest_score || self.has_no_primary_in(&new.zone))
    }

    fn has_no_primary_in(&self, zone: &str) -> bool {
        let primaries = &self.instances[..self.primaries];
        self.primaries < MAX_PRIMARIES && primaries.iter().all(|primary| *primary.zone != *zone)
    }
}

impl PublishedInstance {
    fn score(&self, service: &str) -> u64 {
        placement::score(service, &self.peer.name)
    }
}
