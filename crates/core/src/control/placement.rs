//! Which instances may work on a service, and how many connections each may hold to a server.
//!
//! Both follow from the published list of instances alone. Membership, which differs between
//! instances, only decides which candidate is the owner: a wrong owner costs a second queue, but
//! never a connection above the limit.
//!
//! # Bound
//!
//! For one list the shares of a server leave room for one more primary and one more spare.
//! Instances whose lists differ hold together at most the sum, over all instances, of the larger of
//! their two shares. Replacing an instance within its zone brings in at most one primary and one
//! spare, so two lists that differ by one such replacement hold the limit together. Lists further
//! apart may exceed it; the control machine therefore grows a share only after the list has been
//! known for a while.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::hash;

/// Zones whose best instance is a primary candidate of a service: 4 cover any loss of one zone,
/// and a server is reached by a handful of instances however large the fleet is.
pub const REACH: usize = 4;
/// Candidates of a service, spares included.
pub const CANDIDATES: usize = 8;
/// Connections beyond which a primary candidate gains nothing.
const PRIMARY_CAP: u32 = 8;
/// With direct placement one part in this many is kept for instances whose list is behind.
const DIRECT_RESERVE: u32 = 5;
/// The spares have together one part in this many of a server's connections.
const SPARE_PART: u32 = 7;

/// A published instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance<'a> {
    /// Unique name.
    pub name: &'a str,
    /// Availability zone.
    pub zone: &'a str,
}

/// Candidates of a service among the published instances, best first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranking {
    /// Positions in the list of instances: the best of each zone, then the spares.
    pub order: Vec<usize>,
    /// How many of `order` are primary.
    ///
    /// Invariant: at most [`REACH`].
    pub primaries: usize,
}

/// Ranks published instances for a service by rendezvous hashing.
///
/// The best instance of each zone, for up to [`REACH`] zones in order of score, then the best of
/// the rest up to [`CANDIDATES`]. An instance that leaves the list changes only the services that
/// it was a candidate of.
pub fn rank(service: &str, fleet: &[Instance<'_>]) -> Ranking {
    let mut order: Vec<(Reverse<u64>, usize)> = (0..fleet.len())
        .map(|at| (Reverse(score(service, fleet[at].name)), at))
        .collect();
    order.sort_unstable_by_key(|&(score, at)| (score, fleet[at].name));
    let mut zones = BTreeMap::new();
    for &(_, at) in &order {
        if zones.len() < REACH || zones.contains_key(fleet[at].zone) {
            zones.entry(fleet[at].zone).or_insert(at);
        }
    }
    let is_primary = |at: &usize| zones.get(fleet[*at].zone) == Some(at);
    let ranked = || order.iter().map(|&(_, at)| at);
    let spares = ranked().filter(|at| !is_primary(at));
    let primaries = ranked().filter(is_primary);
    Ranking {
        order: primaries.chain(spares).take(CANDIDATES).collect(),
        primaries: zones.len(),
    }
}

fn score(service: &str, instance: &str) -> u64 {
    hash::of(&[service.as_bytes(), instance.as_bytes()])
}

/// Connections that each primary and each spare candidate may hold to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Of a primary candidate.
    pub primary: u32,
    /// How many primaries have it; the others have none because the limit is too low.
    pub primaries: u32,
    /// Of a spare candidate.
    pub spare: u32,
}

/// Divides a server's connections among the candidates of a ranking.
///
/// Invariant: one primary and one spare more than there are would still fit into the limit.
pub fn divide(ranking: &Ranking, limit: u32) -> Share {
    let primaries = ranking.primaries as u32;
    let spares = ranking.order.len() as u32 - primaries;
    if primaries == 0 {
        return Share::default();
    }
    let spare = spare_share(limit, primaries, spares);
    let rest = limit - (spares + 1) * spare;
    let primary = (rest / (primaries + 1)).min(PRIMARY_CAP);
    if primary > 0 {
        return Share {
            primary,
            primaries,
            spare,
        };
    }
    Share {
        primary: 1,
        primaries: limit.saturating_sub(1),
        spare: 0,
    }
}

/// About a seventh of the limit in all, but at least one each if the primaries keep more than that.
fn spare_share(limit: u32, primaries: u32, spares: u32) -> u32 {
    if spares == 0 {
        return 0;
    }
    let spare = (limit / SPARE_PART / (spares + 1)).max(1);
    let rest = limit.saturating_sub((spares + 1) * spare);
    if rest / (primaries + 1) > spare {
        spare
    } else {
        0
    }
}

impl Share {
    /// Connections of the candidate at `position` of the ranking.
    pub fn at(self, ranking: &Ranking, position: usize) -> u32 {
        if position >= ranking.primaries {
            return self.spare;
        }
        if (position as u32) < self.primaries {
            return self.primary;
        }
        0
    }
}

/// Connections that each of `instances` may hold to a server with this limit when every instance
/// asks the servers itself.
///
/// Invariant: `instances * direct_share(limit, instances) <= limit`.
pub fn direct_share(limit: u32, instances: usize) -> u32 {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    if instances == 0 || instances > limit {
        return 0;
    }
    let budget = limit - (limit / DIRECT_RESERVE).max(1);
    (budget / instances).max(1)
}
