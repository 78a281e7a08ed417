//! Changes of what an instance believes, for the log.

use std::sync::Arc;
use std::time::Duration;

use super::membership::Standing;
use super::quarantine::{self, Incarnation};
use super::reader::Failure;
use crate::fingerprint::Fingerprint;

/// A change of what this instance believes, with what it rests on.
#[derive(Clone, Debug, PartialEq)]
pub enum Belief {
    /// A read of the platform gave nothing.
    PlatformLost {
        /// Highest revision known.
        revision: u64,
        /// How the read ended and what follows.
        failure: Failure,
    },
    /// The platform answers again.
    PlatformRegained {
        /// The revision that it names.
        revision: u64,
        /// Since its last answer.
        silence: Duration,
    },
    /// Records of the platform or a peer came into force.
    Records {
        /// Name of the peer; empty for the platform.
        from: Arc<str>,
        /// Highest revision among them.
        revision: u64,
        /// How many.
        count: usize,
        /// How many of them withdraw something.
        withdrawn: usize,
    },
    /// Withdrawals of live servers wait, since they may be the platform's error.
    Doubted {
        /// How many.
        count: usize,
        /// Live servers known.
        live: usize,
    },
    /// Another version of the routes is in force.
    Routes {
        /// The version.
        version: u64,
        /// Its revision.
        revision: u64,
    },
    /// Nothing may be sent to the servers of an availability zone from now on, or it may again.
    Evacuation {
        /// The zone.
        zone: Arc<str>,
        /// Whether it is evacuated.
        evacuated: bool,
        /// Revision of the order or of its withdrawal.
        revision: u64,
        /// Servers known there.
        servers: usize,
    },
    /// Peers knew an earlier incarnation of this instance under a higher generation than its own.
    Outlived {
        /// Its generation until now.
        before: u64,
        /// From now on.
        now: u64,
    },
    /// A request under which servers ended is refused from now on, or not any more.
    Quarantine {
        /// The request.
        request: Fingerprint,
        /// What is held of it.
        standing: quarantine::Standing,
        /// What changed it.
        cause: quarantine::Cause,
        /// Servers that it ended.
        incarnations: Vec<Incarnation>,
        /// Name of the peer that said so; empty for this instance.
        from: Arc<str>,
    },
    /// Work may be given to an instance, or not any more.
    Member {
        /// Its name.
        name: Arc<str>,
        /// Its standing until now; gone for an unknown one.
        before: Standing,
        /// Its standing from now on.
        now: Standing,
    },
}
