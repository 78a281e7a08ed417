//! Changes of an instance's state of the fleet and the publication, for the log.

use std::sync::Arc;
use std::time::Duration;

use super::membership::Standing;
use super::quarantine::{self, Incarnation};
use super::reader::Failure;
use super::store::Key;
use crate::fingerprint::Fingerprint;

/// A change of this instance's state of the fleet or the publication, with its reason.
#[derive(Clone, Debug, PartialEq)]
pub enum StateChange {
    /// What the platform answers changed.
    Platform(PlatformChange),
    /// Records of the platform or of a peer came into force.
    Records {
        /// Name of the peer that sent the records; empty for the platform.
        from: Arc<str>,
        /// Highest revision among the records.
        revision: u64,
        /// Number of records that came into force.
        count: usize,
        /// Number of tombstones among the records.
        withdrawn: usize,
    },
    /// Records of the platform or of a peer were dropped because they are older than those in
    /// force, or have the same revision and other content.
    RecordsDropped {
        /// Name of the peer that sent the records; empty for the platform.
        from: Arc<str>,
        /// Number of dropped records.
        count: usize,
        /// Key of the first dropped record.
        key: Key,
        /// Revision of the first dropped record.
        revision: u64,
        /// Revision of the record in force of the same key.
        in_force: u64,
    },
    /// Withdrawals of live servers are held back, because they may be an error of the platform.
    WithdrawalsDeferred {
        /// Number of withdrawals held back.
        count: usize,
        /// Number of live servers known to this instance.
        live: usize,
    },
    /// Another version of the routes came into force.
    Routes {
        /// Version of the routes.
        version: u64,
        /// Version of the routes that were in force before; 0 if there were none.
        before: u64,
        /// Revision of the record that contains the routes.
        revision: u64,
        /// Name of the peer that sent the record; empty for the platform.
        from: Arc<str>,
        /// Time since the platform last answered any instance, as far as this instance knows;
        /// `None` if unknown.
        platform_age: Option<Duration>,
    },
    /// The evacuation of an availability zone started or ended. No work may be sent to the servers
    /// of a zone under evacuation.
    Evacuation {
        /// Name of the availability zone.
        zone: Arc<str>,
        /// Whether the zone is under evacuation.
        evacuated: bool,
        /// Revision of the order to evacuate or of its withdrawal.
        revision: u64,
        /// Number of published servers in the zone.
        servers: usize,
    },
    /// Peers knew an earlier incarnation of this instance under a higher generation than its own.
    GenerationRaised {
        /// Generation of this instance before the change.
        before: u64,
        /// Generation of this instance from now on.
        now: u64,
    },
    /// A server process is reported to have crashed.
    ServerCrash {
        /// The crashed incarnation.
        incarnation: Incarnation,
        /// Requests that were open at the server and that no server is known to have answered.
        suspects: Vec<Fingerprint>,
        /// Name of the peer that reported the crash; empty if this instance detected it.
        from: Arc<str>,
    },
    /// Enough servers crashed under a request to quarantine it, but other requests may have caused
    /// these crashes.
    Undecided {
        /// The request with its crashes and the other requests there.
        undecided: quarantine::Undecided,
        /// Name of the peer whose report made the request undecided; empty if this instance saw the
        /// crash.
        from: Arc<str>,
    },
    /// The quarantine of a request under which server processes crashed was imposed or lifted.
    Quarantine {
        /// Fingerprint of the quarantined or released request.
        request: Fingerprint,
        /// Standing of the request in the quarantine.
        standing: quarantine::Standing,
        /// Cause of the change of the quarantine.
        cause: quarantine::Cause,
        /// Server incarnations that crashed under the request.
        incarnations: Vec<Incarnation>,
        /// Name of the peer that reported the change; empty if this instance detected it.
        from: Arc<str>,
    },
    /// The count of instances has settled after the start and is trusted from now on.
    CountTrusted {
        /// Time since the start of this instance.
        age: Duration,
        /// Number of known instances, including this one.
        members: usize,
    },
    /// The standing of an instance changed: whether work may be given to it.
    Member {
        /// Name of the instance.
        name: Arc<str>,
        /// Standing of the instance before the change; `Gone` if the instance was unknown.
        before: Standing,
        /// Standing of the instance from now on.
        now: Standing,
    },
}

/// A change of what the platform answers to this instance's reads.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformChange {
    /// A read of the platform failed.
    Lost {
        /// Highest revision known to this instance.
        revision: u64,
        /// How long the failed read waited and when the next one may start.
        failure: Failure,
    },
    /// The platform answers again after failed reads.
    Regained {
        /// Highest revision of the platform, as given in its answer.
        revision: u64,
        /// Time since the platform's previous answer.
        silence: Duration,
    },
    /// The platform sent a full listing.
    Listed {
        /// Era of the platform's store; 0 if the store reports none.
        era: u64,
        /// Highest revision of the platform.
        revision: u64,
        /// Number of records in the listing.
        count: usize,
        /// Number of records that came into force.
        changed: usize,
        /// Number of records held back now, while newer ones are expected.
        waiting: usize,
    },
    /// The platform's store was restored from a copy, and its era rose.
    EraChanged {
        /// Era before the change.
        before: u64,
        /// Era from now on.
        now: u64,
        /// Highest revision in force at this instance.
        revision: u64,
        /// Name of the peer that reported the era; empty for the platform.
        from: Arc<str>,
    },
    /// An answer of the platform was ignored because its era is lower than the latest one known.
    Outdated {
        /// Era of the answer.
        era: u64,
        /// Latest era known to this instance.
        known: u64,
        /// When the next read may start.
        failure: Failure,
    },
}
