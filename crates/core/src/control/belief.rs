//! Changes of what an instance believes, for the log.

use std::sync::Arc;

use super::membership::Standing;

/// A change of what this instance believes, with what it rests on.
#[derive(Clone, Debug, PartialEq)]
pub enum Belief {
    /// The platform does not answer any more.
    PlatformLost {
        /// Highest revision that it had delivered.
        revision: u64,
    },
    /// The platform answers again.
    PlatformRegained {
        /// The revision that it names.
        revision: u64,
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
    /// Peers knew an earlier life of this instance under a higher generation than its own.
    Outlived {
        /// Its generation until now.
        before: u64,
        /// From now on.
        now: u64,
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
