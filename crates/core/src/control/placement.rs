//! Which instances may work on a service, and how many connections each may hold to a server.
//!
//! Both follow from the published list of instances alone. Membership, which differs between
//! instances, only decides which candidate is the owner: a wrong owner costs a second queue, but
//! never a connection above the limit.
//!
//! # Bound
//!
//! Let a server's limit be `n`, a primary's share `p` and a spare's `s`. [`divide`] chooses them so
//! that `(REACH + 1) * (p + s) <= n` and `p >= s`; a list has at most [`REACH`] primaries among
//! [`CANDIDATES`] candidates, so its shares sum to at most `REACH * (p + s)`.
//!
//! Instances whose lists differ hold together at most the sum, over all instances, of the larger
//! of their two shares. Shares depend on the role alone, and removing, adding or replacing one
//! instance within its zone brings in at most one primary and one spare. Two lists that differ by
//! one such change therefore hold the limit together, and two that differ by `r` changes do if
//! `(REACH + r) * (p + s) <= n`. Lists further apart may exceed it; the control machine therefore
//! grows a share only after the list has been known for a while.

mod fleet;

pub use fleet::Fleet;

use super::hash;

/// Zones whose best instance is a primary candidate of a service: 4 cover any loss of one zone,
/// and a server is reached by a handful of instances however large the fleet is.
pub const REACH: usize = 4;
/// Candidates of a service, spares included.
pub const CANDIDATES: usize = 2 * REACH;
/// Parts of a limit: one for each primary with its spare, and one for a list that differs.
const PLACES: u32 = REACH as u32 + 1;
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
    Fleet::new(fleet.iter().copied()).rank(service)
}

/// Rendezvous score of an instance for a service; the highest wins.
pub(super) fn score(service: &str, instance: &str) -> u64 {
    hash::of(&[service.as_bytes(), instance.as_bytes()])
}

/// Connections that a primary and a spare candidate may hold to one server.
///
/// Invariant: `(REACH + 1) * (primary + spare)` fits into the server's limit, and a primary has no
/// less than a spare.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Of a primary candidate.
    pub primary: u32,
    /// How many primaries have it; under a limit too low for all, the others have none.
    pub primaries: usize,
    /// Of a spare candidate.
    pub spare: u32,
}

/// Divides a server's connections, as if there were always [`REACH`] primaries and as many spares:
/// a share must not grow because some other candidate is gone.
pub fn divide(limit: u32) -> Share {
    let spare = spare_share(limit);
    let primary = (limit - PLACES * spare) / PLACES;
    if primary > 0 {
        return Share { primary: primary.min(PRIMARY_CAP), primaries: REACH, spare };
    }
    Share { primary: 1, primaries: limit.saturating_sub(1) as usize, spare: 0 }
}

/// About a seventh of the limit for all spares, but at least one each if the primaries keep more.
fn spare_share(limit: u32) -> u32 {
    let spare = (limit / SPARE_PART / PLACES).clamp(1, PRIMARY_CAP);
    let rest = limit.saturating_sub(PLACES * spare);
    if rest / PLACES > spare { spare } else { 0 }
}

impl Share {
    /// Connections of the candidate at `position` of a ranking with this many primaries.
    pub const fn at(self, primaries: usize, position: usize) -> u32 {
        if position >= primaries {
            return self.spare;
        }
        if position < self.primaries {
            return self.primary;
        }
        0
    }
}

/// How many times as much of a service's limits an instance takes that stands near its servers, when
/// such instances collect the parts of a sweep for the others.
///
/// The others ask the servers only while no peer collects for them. With equal parts, half of the
/// retries that a service may have were never used on a deployment of four zones, and twice as many
/// parts were refused for want of them while answers were lost.
const NEAR: usize = 4;

/// Into how many parts a limit is divided of which an instance takes one, so that all together take
/// no more than the whole: `near` instances stand near the servers of a service, `far` ones do not.
pub fn parts(near: usize, far: usize, is_near: bool) -> usize {
    if near == 0 || far == 0 {
        return near + far;
    }
    let whole = NEAR * near + far;
    if is_near { whole.div_ceil(NEAR) } else { whole }
}

/// Connections that each of `instances` may hold to a server with this limit when the instances are
/// counted and not published; at least one.
///
/// A server does not notice that the other end of a connection has lost its power. After a loss of
/// all instances it still counts their connections while the same instances open new ones, and
/// resets what goes beyond its limit. Shares that fill three quarters of the limit leave room for the
/// new, as connections are opened only as work needs them. With half of it an instance that asks for
/// all others had a connection for each slot and none for the call after it.
pub fn observed_share(limit: u32, instances: usize) -> u32 {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
    let most = limit * 3 / 4;
    ((most + instances / 2) / instances).max(1)
}

/// Whether three quarters of a server's connections are too few for each of `instances` to hold one
/// for each of its slots.
///
/// Then one instance asks the server for all, and who has no work for it holds no connection.
pub fn is_scarce(limit: u32, slots: u32, instances: usize) -> bool {
    u64::from(limit) * 3 / 4 < u64::from(slots) * instances as u64
}

/// Whether three quarters of a server's connections are enough for each of `instances` to hold one.
///
/// Where they are not, connections that are kept without work take those of whoever has some: the servers
/// reset what is beyond their limit, and it is opened again and again.
pub fn is_enough(limit: u32, instances: usize) -> bool {
    u64::from(limit) * 3 / 4 >= instances as u64
}

/// Connections that an instance may hold to a server which few ask for all; at least one.
///
/// Who asks follows from whom an instance has heard of. Views differ for a moment after a change, so
/// the share is small enough that [`CANDIDATES`] instances together hold three quarters of the limit.
pub fn asker_share(limit: u32) -> u32 {
    (limit * 3 / 4 / CANDIDATES as u32).max(1)
}

/// Connections that each of `instances` may hold to a server with this limit when every instance
/// asks the servers itself.
///
/// Invariant: for lists of `n` and of `n + 1` instances, `n + 1` times the larger of the two shares
/// fits into the limit, so that two lists one instance apart hold it together.
pub fn direct_share(limit: u32, instances: usize) -> u32 {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    if instances == 0 || instances >= limit {
        return 0;
    }
    let reserve = (limit / DIRECT_RESERVE).max(1);
    let part = (limit - reserve) / instances;
    part.min(reserve).max(1)
}
