//! The publication as this instance knows it: the newest good record of each key.
//!
//! Records arrive from the platform and from peers in any order, late and more than once. For each
//! key the highest revision wins and tombstones are records like others, so neither a stale
//! replica of the platform nor a stale peer can bring anything back. The content therefore depends
//! on the set of records seen and not on their order.

mod changes;
mod detail;
mod key;

use std::collections::BTreeMap;
use std::sync::Arc;

use ladder_schema::publication::{
    Index, Instance, Kind, Record, Routing, Server, State, record::Body,
};
use ladder_schema::{catalogue, check, wire};

pub use changes::Changes;
pub use detail::PARTS;
pub use key::Key;

use super::hash;
use crate::collections::Map;

/// Buckets of a digest.
pub const BUCKETS: usize = 64;
/// Refused records that are remembered; beyond it the lowest revision is forgotten.
const REFUSED: usize = 1024;

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force.
    Applied,
    /// The same revision of its key is in force already, or has been refused before.
    Known,
    /// A newer revision of its key is in force.
    Stale,
    /// It fails validation; whatever was in force stays.
    Refused(Refusal),
}

/// A refused record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Key of the record.
    pub key: Key,
    /// Its revision.
    pub revision: u64,
    /// Field, value and what is allowed.
    pub detail: String,
}

/// The newest good record of each key.
#[derive(Clone, Debug)]
pub struct Store {
    /// Invariant: each record passes validation, and its revision never shrinks.
    records: BTreeMap<Key, Arc<Record>>,
    /// Invariant: each revision is above the one in force of the same key.
    refused: BTreeMap<Key, Refusal>,
    /// Highest incarnation of each server that some source has said to leave.
    ///
    /// Invariant: holds only servers with a record that is no tombstone and whose incarnation is
    /// no higher.
    departures: Map<Arc<str>, u64>,
    /// Invariant: each is the XOR of the hashes of the records and departures that belong to it.
    buckets: [u64; BUCKETS],
    /// Highest revision in force.
    revision: u64,
    /// Invariant: holds exactly the records in force of servers.
    groups: changes::Groups,
    /// Entries of the routes in force, by service.
    routed: BTreeMap<Arc<str>, catalogue::Entry>,
    /// Since [`Store::take_changes`].
    changes: Changes,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            refused: BTreeMap::new(),
            departures: Map::default(),
            buckets: [0; BUCKETS],
            revision: 0,
            groups: changes::Groups::default(),
            routed: BTreeMap::new(),
            changes: Changes::default(),
        }
    }
}

impl Store {
    /// Takes a record in if it is good and newer than the one in force of the same key.
    pub fn apply(&mut self, record: &Record) -> Outcome {
        let key = Key::of(record);
        if let Some(current) = self.records.get(&key) {
            if current.revision > record.revision {
                return Outcome::Stale;
            }
            if current.revision == record.revision {
                return Outcome::Known;
            }
        }
        if let Err(error) = check::record(record) {
            return self.refuse(key, record.revision, error.to_string());
        }
        self.put(&key, record);
        Outcome::Applied
    }

    fn refuse(&mut self, key: Key, revision: u64, detail: String) -> Outcome {
        let known = self.refused.get(&key);
        if known.is_some_and(|known| known.revision >= revision) {
            return Outcome::Known;
        }
        let refusal = Refusal { key: key.clone(), revision, detail };
        self.refused.insert(key, refusal.clone());
        if self.refused.len() > REFUSED {
            self.forget_refusal();
        }
        Outcome::Refused(refusal)
    }

    fn forget_refusal(&mut self) {
        let lowest = self.refused.values().min_by_key(|known| known.revision);
        if let Some(key) = lowest.map(|known| known.key.clone()) {
            self.refused.remove(&key);
        }
    }

    fn put(&mut self, key: &Key, record: &Record) {
        let refused = self.refused.get(key);
        if refused.is_some_and(|refused| refused.revision < record.revision) {
            self.refused.remove(key);
        }
        self.revision = self.revision.max(record.revision);
        self.toggle(key, record.revision);
        let new = Arc::new(record.clone());
        let old = self.records.insert(key.clone(), Arc::clone(&new));
        if let Some(old) = &old {
            self.toggle(key, old.revision);
        }
        self.changes.note(key);
        if key.kind == Kind::Routing {
            self.reroute(old.as_deref(), &new);
            return;
        }
        if key.kind == Kind::Server {
            self.settle_departure(&key.name, record);
            let left = old.and_then(|old| self.groups.remove(&old));
            let joined = self.groups.add(&new);
            self.changes.services.extend(left.into_iter().chain(joined));
        }
    }

    /// Notes the services whose entry came, went or changed with the routes.
    fn reroute(&mut self, old: Option<&Record>, new: &Record) {
        let entries = |record: &Record| match &record.body {
            Some(Body::Routing(routing)) => routing.entries.clone(),
            _ => Vec::new(),
        };
        let old = old.map_or_else(Vec::new, entries);
        let new = entries(new);
        let differing = |one: &[catalogue::Entry], other: &[catalogue::Entry]| {
            let lone = one.iter().filter(|entry| !other.contains(entry));
            lone.map(|entry| entry.service.as_str().into()).collect::<Vec<Arc<str>>>()
        };
        self.changes.services.extend(differing(&old, &new));
        self.changes.services.extend(differing(&new, &old));
        self.routed = new.into_iter().map(|entry| (entry.service.as_str().into(), entry)).collect();
    }

    /// What changed since the last call.
    pub fn take_changes(&mut self) -> Changes {
        std::mem::take(&mut self.changes)
    }

    /// A store of the same records and departures, taken in one by one.
    pub fn rebuilt(&self) -> Self {
        let mut new = Self::default();
        for record in self.records.values() {
            new.apply(record);
        }
        for (server, &incarnation) in &self.departures {
            new.depart(server, incarnation);
        }
        new
    }

    /// Keeps the departures' invariant after a server's record changed.
    ///
    /// A target that leaves may be listed as live again by a lagging source. What was once said to
    /// leave therefore stays leaving until a higher incarnation is published.
    fn settle_departure(&mut self, name: &Arc<str>, record: &Record) {
        let Some(Body::Server(server)) = &record.body else {
            self.set_departure(name, None);
            return;
        };
        if server.state == State::Leaving as i32 {
            let known = self.departures.get(name).copied().unwrap_or(0);
            self.set_departure(name, Some(known.max(server.incarnation)));
            return;
        }
        let known = self.departures.get(name).copied();
        if known.is_some_and(|known| known < server.incarnation) {
            self.set_departure(name, None);
        }
    }

    fn set_departure(&mut self, name: &Arc<str>, incarnation: Option<u64>) {
        let old = match incarnation {
            Some(incarnation) => self.departures.insert(Arc::clone(name), incarnation),
            None => self.departures.remove(name),
        };
        for incarnation in [old, incarnation].into_iter().flatten() {
            let server = Key::new(Kind::Server, name);
            self.buckets[server.bucket()] ^= departure_hash(name, incarnation);
        }
    }

    /// Takes in that some source saw a server leave. Returns whether that is news; it is not for a
    /// server without a record or of a higher incarnation.
    pub fn depart(&mut self, name: &str, incarnation: u64) -> bool {
        let Some(server) = self.server(name) else {
            return false;
        };
        if incarnation < server.incarnation {
            return false;
        }
        let known = self.departures.get(name);
        if known.is_some_and(|&known| known >= incarnation) {
            return false;
        }
        let service = self.groups.name(&server.service);
        self.changes.services.insert(service);
        self.set_departure(&name.into(), Some(incarnation));
        true
    }

    /// Whether some source has said that this incarnation of the server leaves.
    pub fn departed(&self, server: &Server) -> bool {
        let known = self.departures.get(server.name.as_str());
        known.is_some_and(|&incarnation| incarnation >= server.incarnation)
    }

    fn toggle(&mut self, key: &Key, revision: u64) {
        self.buckets[key.bucket()] ^= key.record_hash(revision);
    }

    /// One hash per bucket over keys, revisions and departures.
    pub fn digest(&self) -> wire::Digest {
        wire::Digest { buckets: self.buckets.to_vec(), whole: self.whole(), quarantine: 0 }
    }

    /// The hash of all buckets together alone.
    ///
    /// Nearly always it equals the peer's, and with the buckets' hashes digests would be most of what an
    /// idle fleet sends.
    pub fn summary(&self) -> wire::Digest {
        wire::Digest { whole: self.whole(), ..wire::Digest::default() }
    }

    /// Whether a peer's digest tells only that something differs.
    pub fn is_vague(&self, digest: &wire::Digest) -> bool {
        digest.buckets.is_empty() && digest.whole != self.whole()
    }

    fn whole(&self) -> u64 {
        self.buckets.iter().fold(0, |whole, bucket| whole ^ bucket)
    }

    /// Buckets in which a peer's digest differs; all for a digest of another size. One that tells only
    /// the hash of all names none.
    pub fn differing(&self, digest: &wire::Digest) -> Vec<u32> {
        if digest.buckets.is_empty() {
            return Vec::new();
        }
        let differs = |at: &usize| digest.buckets.get(*at) != Some(&self.buckets[*at]);
        (0..BUCKETS).filter(differs).map(|at| at as u32).collect()
    }

    /// All records of some buckets, in order of key.
    pub fn records_of(&self, buckets: &[u32]) -> Vec<Arc<Record>> {
        let wanted = |key: &Key| buckets.contains(&(key.bucket() as u32));
        let records = self.records.iter().filter(|(key, _)| wanted(key));
        records.map(|(_, record)| Arc::clone(record)).collect()
    }

    /// All departures of some buckets, in order of name.
    pub fn departures_of(&self, buckets: &[u32]) -> Vec<wire::Departure> {
        let wanted = |name: &Arc<str>| {
            let bucket = Key::new(Kind::Server, name).bucket();
            buckets.contains(&(bucket as u32))
        };
        let known = self.departures.iter().filter(|(name, _)| wanted(name));
        let mut departures: Vec<_> = known.map(|(name, &at)| departure(name, at)).collect();
        departures.sort_by(|one, other| one.server.cmp(&other.server));
        departures
    }

    /// Highest revision in force.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// No record is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record in force of a key; may be a tombstone.
    pub fn get(&self, key: &Key) -> Option<&Arc<Record>> {
        self.records.get(key)
    }

    /// All keys with the record in force, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = (&Key, &Arc<Record>)> {
        self.records.iter()
    }

    /// Records that failed validation and that no newer good one has replaced.
    pub fn refused(&self) -> impl Iterator<Item = &Refusal> {
        self.refused.values()
    }

    /// Catalogue entries in force.
    pub fn entries(&self) -> impl Iterator<Item = &catalogue::Entry> {
        let single = self.bodies(Kind::Entry).filter_map(|body| match body {
            Body::Entry(entry) => Some(entry),
            _ => None,
        });
        let routed = self.routed.values();
        single.chain(routed.filter(|entry| self.single_entry(&entry.service).is_none()))
    }

    /// The routes in force.
    pub fn routing(&self) -> Option<&Routing> {
        match &self.records.get(&Key::new(Kind::Routing, ""))?.body {
            Some(Body::Routing(routing)) => Some(routing),
            _ => None,
        }
    }

    /// Index versions in force.
    pub fn indexes(&self) -> impl Iterator<Item = &Index> {
        self.bodies(Kind::Index).filter_map(|body| match body {
            Body::Index(index) => Some(index),
            _ => None,
        })
    }

    /// Servers in force.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.bodies(Kind::Server).filter_map(|body| match body {
            Body::Server(server) => Some(server),
            _ => None,
        })
    }

    /// Servers of a service in force, in order of name.
    pub fn servers_of(&self, service: &str) -> impl Iterator<Item = &Server> {
        self.groups.of(service)
    }

    /// The entry in force of a service: its own record goes before the routes' entry.
    pub fn entry(&self, service: &str) -> Option<&catalogue::Entry> {
        self.single_entry(service).or_else(|| self.routed.get(service))
    }

    fn single_entry(&self, service: &str) -> Option<&catalogue::Entry> {
        match &self.records.get(&Key::new(Kind::Entry, service))?.body {
            Some(Body::Entry(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Published instances, leaving ones included.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.bodies(Kind::Instance).filter_map(|body| match body {
            Body::Instance(instance) => Some(instance),
            _ => None,
        })
    }

    /// Availability zones that are evacuated, with the revision of the order.
    pub fn evacuations(&self) -> impl Iterator<Item = (&str, u64)> {
        self.of_kind(Kind::Evacuation).filter_map(|record| match &record.body {
            Some(Body::Evacuation(evacuation)) => Some((&*evacuation.zone, record.revision)),
            _ => None,
        })
    }

    /// Whether nothing may be sent to the servers of this availability zone.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations().any(|(evacuated, _)| evacuated == zone)
    }

    /// How many published servers stand in an availability zone.
    pub fn servers_in(&self, zone: &str) -> usize {
        self.servers().filter(|server| server.zone == zone).count()
    }

    /// The published server of this name.
    pub fn server(&self, name: &str) -> Option<&Server> {
        match &self.records.get(&Key::new(Kind::Server, name))?.body {
            Some(Body::Server(server)) => Some(server),
            _ => None,
        }
    }

    fn bodies(&self, kind: Kind) -> impl Iterator<Item = &Body> {
        self.of_kind(kind).filter_map(|record| record.body.as_ref())
    }

    fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Arc<Record>> {
        let from = Key::new(kind, "");
        let records = self.records.range(from..);
        let same = records.take_while(move |(key, _)| key.kind == kind);
        same.map(|(_, record)| record)
    }
}

fn departure(server: &str, incarnation: u64) -> wire::Departure {
    wire::Departure { server: server.to_owned(), incarnation }
}

fn departure_hash(server: &str, incarnation: u64) -> u64 {
    hash::of(&[b"departure", server.as_bytes(), &incarnation.to_le_bytes()])
}
