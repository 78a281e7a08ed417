//! Selects partial aggregators per zone: an instance in the zone of the entry instance aggregates a
//! group if servers of the group are in that zone.
//!
//! With one aggregator for the whole fleet, the parts and replies of most sweeps cross zones, and so
//! do that aggregator's calls to the servers of the other zones. With one aggregator in each zone,
//! calls cross zones only for servers that cannot answer in time.
//!
//! All instances of a zone compute the same order, and an instance of another zone that needs an
//! aggregator there uses the order of that zone as well. So a server gets calls from one instance of
//! each zone that has servers of the group, whichever instances the sweeps arrive at.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::{AssignedGroups, Candidate, assign_group};
use crate::control::hash;

/// The instances of one zone.
#[derive(Debug, Default)]
struct Zone<'a> {
    candidates: Vec<Candidate<'a>>,
    /// Number of groups that the instances of the zone aggregate for it.
    assigned_groups: AssignedGroups<'a>,
    /// Processor capacity of the zone's instances, in thousandths of a core.
    millicores: u64,
}

/// A zone aggregates for itself unless its instances have less than one part in this many of the
/// mean processor capacity of the zones that have servers of the group.
///
/// An aggregator sends and reads a call for each part. If a zone has lost nearly all of its
/// instances, the last ones would aggregate all sweeps of its callers besides receiving them.
const MIN_CAPACITY_DIVISOR: u64 = 4;

/// Order in which the instances of each zone aggregate the groups of an index.
#[derive(Debug)]
pub(super) struct Zones<'a> {
    /// Zone in which the sweeps arrive.
    entry_zone: &'a str,
    by_name: BTreeMap<&'a str, Zone<'a>>,
}

impl<'a> Zones<'a> {
    /// Divides the instances by zone; the sweeps arrive in `entry_zone`.
    pub(super) fn new(candidates: &[Candidate<'a>], entry_zone: &'a str) -> Self {
        let mut by_name: BTreeMap<&str, Zone<'_>> = BTreeMap::new();
        for candidate in candidates {
            let zone = by_name.entry(candidate.zone).or_default();
            zone.candidates.push(*candidate);
            zone.millicores += u64::from(candidate.capacity());
        }
        Self { entry_zone, by_name }
    }

    /// Returns the instances that may aggregate a group whose servers are in `zones`, the preferred
    /// one first; `None` if no instance is in one of these zones.
    ///
    /// The instances of one zone come after each other: first those of the entry zone if it is
    /// one of `zones`, then those of the other zones in the order of rendezvous hashing. Zones with
    /// too little processor capacity come last.
    pub(super) fn rank(&mut self, zones: &[&str], group: &str) -> Option<Vec<Candidate<'a>>> {
        let entry_zone = self.entry_zone;
        let mut serving: Vec<(&'a str, &mut Zone<'a>)> = self
            .by_name
            .iter_mut()
            .filter(|(name, _)| zones.contains(*name))
            .map(|(name, zone)| (*name, zone))
            .collect();
        let total: u64 = serving.iter().map(|(_, zone)| zone.millicores).sum();
        let count = serving.len() as u64;
        let is_weak = |zone: &Zone<'_>| MIN_CAPACITY_DIVISOR * count * zone.millicores < total;
        let score = |name: &str| hash::of(&[group.as_bytes(), name.as_bytes()]);
        serving.sort_by_cached_key(|(name, zone)| {
            (is_weak(zone), *name != entry_zone, Reverse(score(name)))
        });
        let ranked = serving.into_iter().flat_map(|(name, zone)| {
            assign_group(&zone.candidates, &[name], group, &mut zone.assigned_groups)
        });
        let ranked: Vec<Candidate<'a>> = ranked.collect();
        (!ranked.is_empty()).then_some(ranked)
    }
}
