//! What one instance holds true at one moment: catalogue, indexes, servers, owners.
//!
//! The control machine builds a [`View`] whenever something changes and publishes it as one
//! immutable value. The traffic machines never see half a change.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::catalogue;
use ladder_schema::publication;
use slotmap::{SlotMap, new_key_type};

use crate::collections::{Map, Set};
use crate::fingerprint::Fingerprint;
use crate::route;
use crate::time::Instant;

new_key_type! {
    /// A service in one view; keys of different views do not mix.
    pub struct ServiceKey;
}

/// An instance as a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Unique name.
    pub name: Arc<str>,
    /// IP number and port of its peer socket.
    pub address: Arc<str>,
}

/// Another instance with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// The instance.
    pub peer: Peer,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Thousandths of a processor core that it may use; 0 if that is not known.
    pub millicores: u32,
}

/// An instance that may work on a service, in order of preference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The instance.
    pub peer: Peer,
    /// Held alive and not leaving by the membership of this instance.
    pub live: bool,
    /// It is this very instance.
    pub local: bool,
}

/// A target of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Unique name.
    pub name: Arc<str>,
    /// IP number and port.
    pub address: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Grows with every start of the target.
    pub incarnation: u64,
    /// Some source says that it leaves; it must receive no new work.
    pub leaving: bool,
    /// An operator wants nothing sent to the servers of its zone.
    pub evacuated: bool,
    /// Requests it works on at once.
    pub slots: u32,
    /// Connections this instance may hold to it.
    ///
    /// Invariant: over all instances that compute it from publications that differ by no more than
    /// the reserve, the shares sum to at most the server's published limit.
    pub share: u32,
    /// How much longer it warms up, as last published.
    pub warmup: Duration,
    /// Index versions it serves, as published.
    pub holdings: Vec<publication::Holding>,
}

impl Server {
    /// Whether it may receive new work, by what is published.
    pub const fn takes_work(&self) -> bool {
        !self.leaving && !self.evacuated
    }
}

/// A search service with its catalogue entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// The entry in force.
    pub entry: Arc<catalogue::Entry>,
    /// Its targets, in order of name.
    pub servers: Vec<Server>,
    /// Instances that may work on it; the first live one is the owner.
    pub candidates: Vec<Candidate>,
    /// Instances that share what the entry grants the fleet as a whole; at least 1.
    pub sharers: u32,
    /// Its servers' connections don't suffice for every instance to hold one for each slot: one
    /// instance asks for all.
    pub scarce: bool,
    /// Each instance may keep a connection to each of its servers that it has no work for.
    pub spare: bool,
}

impl Service {
    /// The instance that owns the service in this view.
    pub fn owner(&self) -> Option<&Candidate> {
        self.candidates.iter().find(|candidate| candidate.live)
    }

    /// Whether this instance may work on the service at all.
    pub fn is_candidate(&self) -> bool {
        self.candidates.iter().any(|candidate| candidate.local)
    }

    /// The operation of this name in the entry.
    pub fn operation(&self, name: &str) -> Option<&catalogue::Operation> {
        self.entry.operations.iter().find(|operation| operation.name == name)
    }
}

/// An incarnation of a server that is said to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// The incarnation.
    pub incarnation: u64,
    /// When its calls broke off, as far as this instance knows.
    pub at: Instant,
}

/// Requests under which servers ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quarantine {
    /// Requests that are refused.
    pub refused: Set<Fingerprint>,
    /// Requests that were at servers that ended, as long as nothing clears them.
    pub suspected: Set<Fingerprint>,
    /// Servers that are said to have ended.
    pub ended: Map<Arc<str>, End>,
}

impl Quarantine {
    /// Whether it matters to others that a request is answered.
    pub fn concerns(&self, request: Fingerprint) -> bool {
        self.refused.contains(&request) || self.suspected.contains(&request)
    }
}

/// What one instance holds true at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Grows with every view of this instance.
    pub generation: u64,
    /// Highest catalogue revision in force.
    pub revision: u64,
    /// Enough is known to serve callers.
    pub ready: bool,
    /// Services that have a catalogue entry.
    ///
    /// Views share those in which they do not differ, as a change concerns few of many thousands.
    pub services: SlotMap<ServiceKey, Arc<Service>>,
    /// Keys of the services by name.
    ///
    /// Invariant: holds exactly the keys of `services`.
    pub service_keys: Arc<Map<Arc<str>, ServiceKey>>,
    /// Published versions of each index, newest first.
    pub indexes: Map<Arc<str>, Vec<Arc<publication::Index>>>,
    /// The routes in force.
    pub routing: Option<Arc<route::Table>>,
    /// Other instances that have settled, in order of name; kept under direct placement only.
    pub neighbours: Arc<[Neighbour]>,
    /// Requests under which servers ended.
    pub quarantine: Arc<Quarantine>,
    /// The region of each availability zone, by the settings.
    pub regions: Arc<Map<Arc<str>, Arc<str>>>,
}

impl View {
    /// Adds a service; one of the same name is replaced and leaves its key to it.
    pub fn insert(&mut self, service: impl Into<Arc<Service>>) -> ServiceKey {
        let service = service.into();
        let known = self.service_keys.get(&service.name).copied();
        if let Some(key) = known
            && let Some(old) = self.services.get_mut(key)
        {
            *old = service;
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

    /// Whether messages of a route with these homes may go to an availability zone.
    pub fn is_home(&self, homes: &[String], zone: &str) -> bool {
        let region = self.regions.get(zone);
        homes.is_empty() || region.is_some_and(|region| homes.iter().any(|home| **home == **region))
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(*self.service_keys.get(name)?).map(|service| &**service)
    }
}
