//! Decides from when on a starting instance trusts its count of instances.
//!
//! After a loss of all instances each of them knows no other one for a fraction of a second. An
//! instance that acts on that count takes itself for the whole fleet and opens a connection to
//! every server, and all of them together exceed the servers' limits. Until the count can be
//! trusted, the fleet is therefore assumed to be so large that connections are scarce.

use std::time::Duration;

use super::placement;
use crate::time::Instant;

/// Time without a new member after which the count of instances is trusted, in multiples of
/// `Timing::probe`: members are learned from gossip, which is sent at every probe.
const SETTLING_PROBES: u32 = 2;
/// Number of connections that this instance may hold to a server until its count of instances is
/// trusted.
const UNTRUSTED_SHARE: u32 = 1;

/// What this instance knows of the other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Knowledge {
    /// Whether a peer has answered a digest of this instance.
    pub peer_answered: bool,
    /// When the last new member became known; the start if none has.
    pub last_new_member_at: Instant,
}

/// Whether the count of instances can be trusted, and what holds for a server's connections until
/// then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Startup {
    started_at: Instant,
    /// Time without a new member after which the count is trusted.
    settling_time: Duration,
    /// Time after the start from which on the count is trusted in any case.
    time_limit: Duration,
    trusted: bool,
}

impl Startup {
    /// An instance that trusts its count from the start.
    pub const fn immediate(now: Instant) -> Self {
        Self {
            started_at: now,
            settling_time: Duration::ZERO,
            time_limit: Duration::ZERO,
            trusted: true,
        }
    }

    /// An instance that trusts its count once no new member has appeared for two intervals of
    /// `probe` after a peer answered, or `time_limit` after its start.
    pub fn gradual(now: Instant, probe: Duration, time_limit: Duration) -> Self {
        Self { started_at: now, settling_time: probe * SETTLING_PROBES, time_limit, trusted: false }
    }

    /// Whether the count of instances is trusted.
    pub const fn is_trusted(&self) -> bool {
        self.trusted
    }

    /// Updates the decision, which is final once the count is trusted. Returns the age of this
    /// instance if the count is trusted from now on.
    pub fn update(&mut self, now: Instant, knowledge: Knowledge) -> Option<Duration> {
        if self.next_change(knowledge).is_none_or(|at| now < at) {
            return None;
        }
        self.trusted = true;
        Some(now.since(self.started_at))
    }

    /// When the count will be trusted if no further member appears; `None` if it is already.
    pub fn next_change(&self, knowledge: Knowledge) -> Option<Instant> {
        let latest = self.started_at + self.time_limit;
        let settled_at = knowledge.last_new_member_at + self.settling_time;
        let next = if knowledge.peer_answered { settled_at.min(latest) } else { latest };
        (!self.trusted).then_some(next)
    }

    /// Whether a server has too few connections for each of `instances` to hold one per slot.
    pub fn is_short_of_connections(&self, limit: u32, slots: u32, instances: usize) -> bool {
        !self.trusted || placement::is_short_of_connections(limit, slots, instances)
    }

    /// Whether a server has enough connections for each of `instances` to keep one without work.
    pub fn allows_one_connection_each(&self, limit: u32, instances: usize) -> bool {
        self.trusted && placement::allows_one_connection_each(limit, instances)
    }

    /// The connections that this instance may hold to a server, of those granted to it.
    ///
    /// The grants themselves go on as usual, so that the instance that sends the requests of all
    /// others has its share at once when the count is trusted.
    pub fn limit_share(&self, granted: u32) -> u32 {
        if self.trusted { granted } else { granted.min(UNTRUSTED_SHARE) }
    }
}
