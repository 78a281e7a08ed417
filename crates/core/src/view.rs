//! Immutable snapshot of the information that one instance uses at a time: catalogue, indexes,
//! servers, owners.
//!
//! The control machine builds a [`View`] whenever something changes and publishes it as one
//! immutable value. The traffic machines never see a partial change.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::catalogue;
use ladder_schema::publication;
use slotmap::{SlotMap, new_key_type};

use crate::collections::{Map, Set};
use crate::control::placement::LimitPart;
use crate::control::quarantine::Trial;
use crate::fingerprint::Fingerprint;
use crate::route;
use crate::time::Instant;

new_key_type! {
    /// Key of a service in one view; keys of different views can't be mixed.
    pub struct ServiceKey;
}

/// Name and address of an instance, for messages between instances.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Unique name of the instance.
    pub name: Arc<str>,
    /// IP address and port of the instance's peer socket.
    pub address: Arc<str>,
}

/// Another instance with its zone and processor share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// Name and address of the instance.
    pub peer: Peer,
    /// Availability zone of the instance.
    pub zone: Arc<str>,
    /// Processor cores available to the instance, in thousandths of a core; 0 if unknown.
    pub millicores: u32,
}

/// An instance that may send the work of a service, in order of preference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name and address of the instance.
    pub peer: Peer,
    /// Whether this instance's membership considers the candidate alive and not leaving.
    pub live: bool,
    /// Whether the candidate is the local instance.
    pub local: bool,
}

/// A server (target) of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Unique name of the server.
    pub name: Arc<str>,
    /// IP address and port of the server.
    pub address: Arc<str>,
    /// Availability zone of the server.
    pub zone: Arc<str>,
    /// Incarnation of the server; increases with every start.
    pub incarnation: u64,
    /// Whether some source reported that the server is leaving; a leaving server must receive no
    /// new work.
    pub leaving: bool,
    /// Whether an operator evacuated the server's zone, so that the server must receive no new
    /// work.
    pub evacuated: bool,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Connection share: number of connections that this instance may have to the server.
    ///
    /// Invariant: over all instances that compute it from publications that differ by no more than
    /// the reserve, the shares sum to at most the server's published limit.
    pub share: u32,
    /// Remaining warm-up time, as last published.
    pub warmup: Duration,
    /// Index versions that the server serves, as published.
    pub holdings: Vec<publication::Holding>,
}

impl Server {
    /// Whether the server may receive new work, according to the publication.
    pub const fn takes_work(&self) -> bool {
        !self.leaving && !self.evacuated
    }
}

/// A search service with its catalogue entry, servers and candidates.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name of the service.
    pub name: Arc<str>,
    /// The catalogue entry in force.
    pub entry: Arc<catalogue::Entry>,
    /// Servers of the service, sorted by name.
    pub servers: Vec<Server>,
    /// Instances that may send the service's work; the first live one is the owner.
    pub candidates: Vec<Candidate>,
    /// Number of instances among which the entry's limits for the whole fleet are divided; at least
    /// 1.
    pub sharer_count: u32,
    /// Part of this instance in what the entry grants the whole fleet in each window.
    pub limit_part: LimitPart,
    /// Whether the servers accept too few connections for every instance to have one per slot: one
    /// instance then sends the work of all.
    pub has_few_connections: bool,
    /// Whether each instance may keep a connection without work to each of the service's servers.
    pub keeps_idle_connection: bool,
}

impl Service {
    /// The instance that owns the service in this view.
    pub fn owner(&self) -> Option<&Candidate> {
        self.candidates.iter().find(|candidate| candidate.live)
    }

    /// Whether this instance is a candidate of the service.
    pub fn is_candidate(&self) -> bool {
        self.candidates.iter().any(|candidate| candidate.local)
    }

    /// Finds the operation with this name in the catalogue entry.
    pub fn operation(&self, name: &str) -> Option<&catalogue::Operation> {
        self.entry.operations.iter().find(|operation| operation.name == name)
    }
}

/// An incarnation of a server whose process was reported as terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerCrash {
    /// Incarnation of the server process.
    pub incarnation: u64,
    /// Time at which the server's calls broke off, as far as this instance knows.
    pub at: Instant,
}

/// Requests that were running on server processes that terminated, and these servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quarantine {
    /// Fingerprints of quarantined requests, which are refused.
    pub refused: Set<Fingerprint>,
    /// Fingerprints of requests that were running on a server process when it terminated, until an
    /// answer clears them.
    pub suspected: Set<Fingerprint>,
    /// When this instance may try each request that is refused, or that was running on so many
    /// server processes when they terminated that it may be to blame.
    pub trials: Map<Fingerprint, Trial>,
    /// Reported terminations of server processes, by server name.
    pub crashes: Map<Arc<str>, ServerCrash>,
}

impl Quarantine {
    /// Whether other instances must be notified that this request was answered.
    pub fn concerns(&self, request: Fingerprint) -> bool {
        self.refused.contains(&request) || self.suspected.contains(&request)
    }
}

/// Immutable snapshot of the information that one instance uses at a time.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Generation of the view; increases with every view of this instance.
    pub generation: u64,
    /// Highest catalogue revision in force.
    pub revision: u64,
    /// Whether this instance has enough information to serve callers.
    pub ready: bool,
    /// Services that have a catalogue entry, by key.
    ///
    /// Successive views share the services that did not change, because a change concerns few of
    /// many thousands.
    pub services: SlotMap<ServiceKey, Arc<Service>>,
    /// Keys of the services by name.
    ///
    /// Invariant: contains exactly the keys of `services`.
    pub service_keys: Arc<Map<Arc<str>, ServiceKey>>,
    /// Published versions of each index, newest first.
    pub indexes: Map<Arc<str>, Vec<Arc<publication::Index>>>,
    /// The routes in force; `None` if none are published.
    pub routing: Option<Arc<route::Table>>,
    /// Other instances that are alive and have passed the settling time, sorted by name; filled
    /// under direct placement only.
    pub neighbours: Arc<[Neighbour]>,
    /// Quarantined and suspected requests, and reported server terminations.
    pub quarantine: Arc<Quarantine>,
    /// Region of each availability zone, from the settings.
    pub regions: Arc<Map<Arc<str>, Arc<str>>>,
}

impl View {
    /// Adds a service; a service of the same name is replaced and its key reused.
    pub fn insert(&mut self, service: impl Into<Arc<Service>>) -> ServiceKey {
        let service = service.into();
        let known_key = self.service_keys.get(&service.name).copied();
        if let Some(key) = known_key
            && let Some(existing) = self.services.get_mut(key)
        {
            *existing = service;
            return key;
        }
        let name = Arc::clone(&service.name);
        let key = self.services.insert(service);
        Arc::make_mut(&mut self.service_keys).insert(name, key);
        key
    }

    /// Removes the service of this name.
    pub fn remove(&mut self, name: &str) {
        if !self.service_keys.contains_key(name) {
            return;
        }
        if let Some(key) = Arc::make_mut(&mut self.service_keys).remove(name) {
            self.services.remove(key);
        }
    }

    /// Whether messages of a route with these home regions may go to servers or instances of an
    /// availability zone. An empty list allows every zone.
    pub fn is_home(&self, homes: &[String], zone: &str) -> bool {
        let region = self.regions.get(zone);
        homes.is_empty() || region.is_some_and(|region| homes.iter().any(|home| **home == **region))
    }

    /// Finds the service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(*self.service_keys.get(name)?).map(|service| &**service)
    }
}
