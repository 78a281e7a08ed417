//! Which instances may send work of a service to its servers, and how many connections each may
//! hold to a server.
//!
//! Both follow from the published list of instances alone. Membership, which differs between
//! instances, only decides which candidate is the owner: a wrong owner causes a second queue, but
//! never connections above a server's limit.
//!
//! # Bound
//!
//! Let a server's connection limit be `n`, the share of a primary candidate `p` and that of a
//! spare candidate `s`. [`divide_limit`] chooses them so that `(MAX_PRIMARIES + 1) * (p + s) <= n`
//! and `p >= s`. A list has at most [`MAX_PRIMARIES`] primaries among [`CANDIDATES`] candidates,
//! so its shares sum to at most `MAX_PRIMARIES * (p + s)`.
//!
//! Instances whose lists differ together hold at most the sum, over all instances, of the larger
//! of their two shares. A share depends only on the candidate's role, and removing, adding or
//! replacing one instance within its zone adds at most one primary and one spare. The shares of
//! two lists that differ by one such change therefore stay within the limit together, and those of
//! two lists that differ by `r` changes do if `(MAX_PRIMARIES + r) * (p + s) <= n`. Lists that
//! differ more may exceed the limit; the control machine therefore increases a share only after
//! the list has been known for a grace period.

mod fleet;
mod limit_part;

pub use fleet::Fleet;
pub use limit_part::{Group, LimitPart};

use super::hash;
use crate::collections::Set;

/// Maximum number of primary candidates of a service, each the best instance of its zone. With 4,
/// the loss of any one zone is covered, and a server has connections from only a few instances
/// however large the fleet is.
pub const MAX_PRIMARIES: usize = 4;
/// Number of candidates of a service, spares included.
pub const CANDIDATES: usize = 2 * MAX_PRIMARIES;
/// Number of equal parts of a connection limit: one for each primary with its spare, and one in
/// reserve for instances whose list of instances differs.
const LIMIT_PARTS: u32 = MAX_PRIMARIES as u32 + 1;
/// Upper bound of a candidate's connections to one server; a primary candidate gains nothing from
/// more.
const MAX_PRIMARY_SHARE: u32 = 8;
/// With direct placement, one part in this many of a server's connections is reserved for
/// instances whose list of instances is outdated.
const DIRECT_RESERVE_DIVISOR: u32 = 5;
/// The spare candidates together get one part in this many of a server's connections.
const SPARE_DIVISOR: u32 = 7;

/// A published instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance<'a> {
    /// Unique name of the instance.
    pub name: &'a str,
    /// Availability zone of the instance.
    pub zone: &'a str,
}

/// Candidates of a service among the published instances, best first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranking {
    /// Positions of the candidates in the list of instances: the best of each zone, then the
    /// spares.
    pub order: Vec<usize>,
    /// Number of primary candidates, the first ones in `order`.
    ///
    /// Invariant: at most [`MAX_PRIMARIES`].
    pub primaries: usize,
}

/// Ranks published instances for a service by rendezvous hashing.
///
/// The ranking contains the best instance of each zone, for up to [`MAX_PRIMARIES`] zones in order
/// of score, then the best of the other instances up to [`CANDIDATES`]. Removing an instance from
/// the list changes only the services that it was a candidate of.
pub fn rank(service: &str, fleet: &[Instance<'_>]) -> Ranking {
    Fleet::new(fleet.iter().copied()).rank(service)
}

/// Rendezvous score of an instance for a service; the highest score ranks first.
pub(super) fn score(service: &str, instance: &str) -> u64 {
    hash::of(&[service.as_bytes(), instance.as_bytes()])
}

/// Numbers of connections that a primary and a spare candidate may each hold to one server.
///
/// Invariant: `(MAX_PRIMARIES + 1) * (primary + spare)` does not exceed the server's limit, and a
/// primary's share is not less than a spare's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoleShares {
    /// Connections of a primary candidate.
    pub primary: u32,
    /// Number of primaries that get `primary` connections. If the limit is too low for all of
    /// them, the others get none.
    pub primaries: usize,
    /// Connections of a spare candidate.
    pub spare: u32,
}

/// Divides a server's connection limit as if there were always [`MAX_PRIMARIES`] primaries and as
/// many spares, because a share must not grow when another candidate disappears.
pub fn divide_limit(limit: u32) -> RoleShares {
    let spare = spare_share(limit);
    let primary = (limit - LIMIT_PARTS * spare) / LIMIT_PARTS;
    if primary > 0 {
        return RoleShares {
            primary: primary.min(MAX_PRIMARY_SHARE),
            primaries: MAX_PRIMARIES,
            spare,
        };
    }
    RoleShares { primary: 1, primaries: limit.saturating_sub(1) as usize, spare: 0 }
}

/// Share of each spare candidate, in connections: about a seventh of the limit for all spares
/// together, and at least one each. Zero if the primaries would not keep more than that each.
fn spare_share(limit: u32) -> u32 {
    let spare = (limit / SPARE_DIVISOR / LIMIT_PARTS).clamp(1, MAX_PRIMARY_SHARE);
    let primaries_part = limit.saturating_sub(LIMIT_PARTS * spare);
    if primaries_part / LIMIT_PARTS > spare { spare } else { 0 }
}

impl RoleShares {
    /// Number of connections of the candidate at `position` in a ranking with this many primaries.
    pub const fn for_position(self, primaries: usize, position: usize) -> u32 {
        if position >= primaries {
            return self.spare;
        }
        if position < self.primaries {
            return self.primary;
        }
        0
    }
}

/// Divisor of a service's connections that gives the part of one instance, such that all instances
/// together take no more than all of them. `near` instances are in a zone with servers of the
/// service, `far` ones are not; `is_near` tells to which group the instance belongs.
pub fn limit_divisor(near: usize, far: usize, is_near: bool) -> usize {
    if near == 0 || far == 0 {
        return near + far;
    }
    let weighted_total = limit_part::NEAR_WEIGHT as usize * near + far;
    match is_near {
        true => weighted_total.div_ceil(limit_part::NEAR_WEIGHT as usize),
        false => weighted_total,
    }
}

/// Number of connections that each of `instances` may hold to a server with this limit when
/// instances are counted from gossip instead of published; at least one.
///
/// A server does not notice that the other end of a connection has lost power. After a loss of all
/// instances it still counts their old connections while the same instances open new ones, and
/// resets those above its limit. Shares that add up to three quarters of the limit leave room for
/// the new connections, because connections are opened only when work needs them. With half of the
/// limit, an instance that sends the requests of all others had one connection per slot and none
/// for the next call.
pub fn observed_share(limit: u32, instances: usize) -> u32 {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
    let usable = limit * 3 / 4;
    ((usable + instances / 2) / instances).max(1)
}

/// Whether three quarters of a server's connections are too few for each of `instances` to hold
/// one connection per slot of the server.
///
/// If so, one instance sends the requests of all others to the server, and instances without work
/// hold no connection to it.
pub fn is_short_of_connections(limit: u32, slots: u32, instances: usize) -> bool {
    u64::from(limit) * 3 / 4 < u64::from(slots) * instances as u64
}

/// Whether three quarters of a server's connections are enough for each of `instances` to hold one
/// connection.
///
/// If not, connections kept open without work would displace those of instances with work: the
/// server resets connections above its limit, and they would be reopened again and again.
pub fn allows_one_connection_each(limit: u32, instances: usize) -> bool {
    u64::from(limit) * 3 / 4 >= instances as u64
}

/// Number of instances that a service's limits leave room for if few instances send to its
/// servers, with the requests of all others. `zones` are the zones of its servers.
///
/// One instance sends for the whole fleet, or, with zonal aggregation, one for each of the zones.
/// Views differ briefly after a change, and the instance that sent before keeps its part for some
/// seconds. With zonal aggregation, there is therefore room for two instances for each zone, and in
/// both cases for at least [`CANDIDATES`]. Up to four zones the limits are the same in both cases.
pub fn sender_count<'a>(is_zonal: bool, zones: impl Iterator<Item = &'a str>) -> u32 {
    let zones = if is_zonal { zones.collect::<Set<&str>>().len() } else { 0 };
    u32::try_from(CANDIDATES.max(2 * zones)).unwrap_or(u32::MAX)
}

/// Number of connections that an instance may hold to a server if only few instances send to it,
/// with the requests of all others; at least one. `senders` is their [`sender_count`].
///
/// An instance decides by the members that it knows whether it is one of these few. The share is
/// small enough that `senders` instances together hold at most three quarters of the limit.
pub fn single_sender_share(limit: u32, senders: u32) -> u32 {
    (limit * 3 / 4 / senders.max(1)).max(1)
}

/// Number of connections that each of `instances` may hold to a server with this limit when every
/// instance sends to the servers itself.
///
/// Invariant: for lists of `n` and of `n + 1` instances, `n + 1` times the larger of the two
/// shares does not exceed the limit, so that instances with two lists that differ by one instance
/// hold no more than the limit together.
pub fn direct_share(limit: u32, instances: usize) -> u32 {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    if instances == 0 || instances >= limit {
        return 0;
    }
    let reserve = (limit / DIRECT_RESERVE_DIVISOR).max(1);
    let share = (limit - reserve) / instances;
    share.min(reserve).max(1)
}
