//! The published records of this instance: the newest valid record of each key.
//!
//! Records arrive from the platform and from peers in any order, late and more than once. For each
//! key the highest revision wins, and a tombstone is a record like any other, so neither a stale
//! replica of the platform nor a stale peer can restore an old record. The content therefore
//! depends on the set of records received and not on their order.

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

/// Number of buckets of an anti-entropy digest.
pub const BUCKETS: usize = 64;
/// Maximum number of refused records kept; beyond it the one of the lowest revision is dropped.
const MAX_REFUSALS: usize = 1024;

/// Result of applying a record to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record is in force now.
    Applied,
    /// The same revision of the record's key is already in force or was refused before.
    Known,
    /// A newer revision of the record's key is in force.
    Stale,
    /// The same revision of the record's key is in force with other content.
    Reused,
    /// The record fails validation; the record in force stays.
    Refused(Refusal),
}

/// A record that failed validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Key of the record.
    pub key: Key,
    /// Revision of the refused record.
    pub revision: u64,
    /// Name of the invalid field, its value, and the values allowed.
    pub detail: String,
}

/// The newest valid record of each key.
#[derive(Clone, Debug)]
pub struct Store {
    /// Records in force.
    ///
    /// Invariant: each record passes validation, and the revision of a key never decreases.
    records: BTreeMap<Key, Arc<Record>>,
    /// Refused records.
    ///
    /// Invariant: the revision of each is above that of the record in force of the same key.
    refused: BTreeMap<Key, Refusal>,
    /// Highest incarnation of each server that some source has reported as leaving.
    ///
    /// Invariant: contains only servers whose record is not a tombstone and whose published
    /// incarnation is no higher than the one reported.
    departures: Map<Arc<str>, u64>,
    /// Hashes of the buckets of a digest.
    ///
    /// Invariant: each is the XOR of the hashes of the records and departures of its bucket.
    buckets: [u64; BUCKETS],
    /// Highest revision in force.
    revision: u64,
    /// Server records in force, by service.
    ///
    /// Invariant: contains exactly the server records in force.
    servers_by_service: changes::ServersByService,
    /// Catalogue entries of the routes in force, by service.
    routed_entries: BTreeMap<Arc<str>, catalogue::Entry>,
    /// Changes since the last call of [`Store::take_changes`].
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
            servers_by_service: changes::ServersByService::default(),
            routed_entries: BTreeMap::new(),
            changes: Changes::default(),
        }
    }
}

impl Store {
    /// Puts a record in force if it is valid and newer than the one in force of the same key.
    pub fn apply(&mut self, record: &Record) -> Outcome {
        let key = Key::of(record);
        if let Some(in_force) = self.records.get(&key) {
            if in_force.revision > record.revision {
                return Outcome::Stale;
            }
            if in_force.revision == record.revision {
                let is_same = in_force.body == record.body;
                return if is_same { Outcome::Known } else { Outcome::Reused };
            }
        }
        if let Err(error) = check::record(record) {
            return self.refuse(key, record.revision, error.to_string());
        }
        self.insert(&key, record);
        Outcome::Applied
    }

    fn refuse(&mut self, key: Key, revision: u64, detail: String) -> Outcome {
        let recorded = self.refused.get(&key);
        if recorded.is_some_and(|recorded| recorded.revision >= revision) {
            return Outcome::Known;
        }
        let refusal = Refusal { key: key.clone(), revision, detail };
        self.refused.insert(key, refusal.clone());
        if self.refused.len() > MAX_REFUSALS {
            self.evict_refusal();
        }
        Outcome::Refused(refusal)
    }

    fn evict_refusal(&mut self) {
        let oldest = self.refused.values().min_by_key(|refusal| refusal.revision);
        if let Some(key) = oldest.map(|refusal| refusal.key.clone()) {
            self.refused.remove(&key);
        }
    }

    fn insert(&mut self, key: &Key, record: &Record) {
        let refused = self.refused.get(key);
        if refused.is_some_and(|refused| refused.revision < record.revision) {
            self.refused.remove(key);
        }
        self.revision = self.revision.max(record.revision);
        self.xor_record_hash(key, record.revision);
        let new_record = Arc::new(record.clone());
        let replaced = self.records.insert(key.clone(), Arc::clone(&new_record));
        if let Some(replaced) = &replaced {
            self.xor_record_hash(key, replaced.revision);
        }
        self.changes.note(key);
        if key.kind == Kind::Routing {
            self.note_route_changes(replaced.as_deref(), &new_record);
            return;
        }
        if key.kind == Kind::Server {
            self.update_departure(&key.name, record);
            let left_service =
                replaced.and_then(|replaced| self.servers_by_service.remove(&replaced));
            let joined_service = self.servers_by_service.add(&new_record);
            self.changes.services.extend(left_service.into_iter().chain(joined_service));
        }
    }

    /// Notes the services whose catalogue entry was added, removed or changed with the routes.
    fn note_route_changes(&mut self, old: Option<&Record>, new: &Record) {
        let entries = |record: &Record| match &record.body {
            Some(Body::Routing(routing)) => routing.entries.clone(),
            _ => Vec::new(),
        };
        let old_entries = old.map_or_else(Vec::new, entries);
        let new_entries = entries(new);
        let services_without_match = |one: &[catalogue::Entry], other: &[catalogue::Entry]| {
            let unmatched = one.iter().filter(|entry| !other.contains(entry));
            unmatched.map(|entry| entry.service.as_str().into()).collect::<Vec<Arc<str>>>()
        };
        self.changes.services.extend(services_without_match(&old_entries, &new_entries));
        self.changes.services.extend(services_without_match(&new_entries, &old_entries));
        self.routed_entries =
            new_entries.into_iter().map(|entry| (entry.service.as_str().into(), entry)).collect();
    }

    /// Changes since the last call of this method.
    pub fn take_changes(&mut self) -> Changes {
        std::mem::take(&mut self.changes)
    }

    /// Builds a new store by applying the same records and departures one by one.
    pub fn rebuilt_store(&self) -> Self {
        let mut store = Self::default();
        for record in self.records.values() {
            store.apply(record);
        }
        for (server, &incarnation) in &self.departures {
            store.mark_leaving(server, incarnation);
        }
        store
    }

    /// Restores the invariant of the departures after a server's record changed.
    ///
    /// A lagging source may list a leaving target as live again. A server that was once reported as
    /// leaving therefore stays leaving until a higher incarnation is published.
    fn update_departure(&mut self, name: &Arc<str>, record: &Record) {
        let Some(Body::Server(server)) = &record.body else {
            self.set_departure(name, None);
            return;
        };
        if server.state == State::Leaving as i32 {
            let known_incarnation = self.departures.get(name).copied().unwrap_or(0);
            self.set_departure(name, Some(known_incarnation.max(server.incarnation)));
            return;
        }
        let known_incarnation = self.departures.get(name).copied();
        if known_incarnation.is_some_and(|known_incarnation| known_incarnation < server.incarnation)
        {
            self.set_departure(name, None);
        }
    }

    fn set_departure(&mut self, name: &Arc<str>, incarnation: Option<u64>) {
        let old_incarnation = match incarnation {
            Some(incarnation) => self.departures.insert(Arc::clone(name), incarnation),
            None => self.departures.remove(name),
        };
        for incarnation in [old_incarnation, incarnation].into_iter().flatten() {
            let key = Key::new(Kind::Server, name);
            self.buckets[key.bucket()] ^= departure_hash(name, incarnation);
        }
    }

    /// Notes that some source reported a server as leaving. Returns whether the report changed the
    /// store; it does not if the server has no record or a higher incarnation is published.
    pub fn mark_leaving(&mut self, name: &str, incarnation: u64) -> bool {
        let Some(server) = self.server(name) else {
            return false;
        };
        if incarnation < server.incarnation {
            return false;
        }
        let known_incarnation = self.departures.get(name);
        if known_incarnation.is_some_and(|&known_incarnation| known_incarnation >= incarnation) {
            return false;
        }
        let service = self.servers_by_service.shared_name(&server.service);
        self.changes.services.insert(service);
        self.set_departure(&name.into(), Some(incarnation));
        true
    }

    /// Whether some source has reported this incarnation of the server as leaving.
    pub fn is_marked_leaving(&self, server: &Server) -> bool {
        let known_incarnation = self.departures.get(server.name.as_str());
        known_incarnation.is_some_and(|&incarnation| incarnation >= server.incarnation)
    }

    fn xor_record_hash(&mut self, key: &Key, revision: u64) {
        self.buckets[key.bucket()] ^= key.record_hash(revision);
    }

    /// Digest with one hash per bucket, over keys, revisions and departures.
    pub fn digest(&self) -> wire::Digest {
        wire::Digest { buckets: self.buckets.to_vec(), whole: self.total_hash(), quarantine: 0 }
    }

    /// Digest with only one hash over all buckets.
    ///
    /// This hash nearly always equals the peer's. With the hashes of all buckets, digests would
    /// make up most of the traffic of an idle fleet.
    pub fn total_digest(&self) -> wire::Digest {
        wire::Digest { whole: self.total_hash(), ..wire::Digest::default() }
    }

    /// Whether a peer's digest shows that its records differ, but not in which buckets.
    pub fn lacks_buckets(&self, digest: &wire::Digest) -> bool {
        digest.buckets.is_empty() && digest.whole != self.total_hash()
    }

    fn total_hash(&self) -> u64 {
        self.buckets.iter().fold(0, |total, bucket| total ^ bucket)
    }

    /// Buckets in which a peer's digest differs: all buckets for a digest with another number of
    /// buckets, none for a digest that has only the total hash.
    pub fn differing_buckets(&self, digest: &wire::Digest) -> Vec<u32> {
        if digest.buckets.is_empty() {
            return Vec::new();
        }
        let differs = |bucket: &usize| digest.buckets.get(*bucket) != Some(&self.buckets[*bucket]);
        (0..BUCKETS).filter(differs).map(|bucket| bucket as u32).collect()
    }

    /// All records, tombstones included, of some buckets of the digest, in order of key.
    pub fn records_of(&self, buckets: &[u32]) -> Vec<Arc<Record>> {
        let is_wanted = |key: &Key| buckets.contains(&(key.bucket() as u32));
        let records = self.records.iter().filter(|(key, _)| is_wanted(key));
        records.map(|(_, record)| Arc::clone(record)).collect()
    }

    /// All departures of servers of some buckets of the digest, in order of server name.
    pub fn departures_of(&self, buckets: &[u32]) -> Vec<wire::Departure> {
        let is_wanted = |name: &Arc<str>| {
            let bucket = Key::new(Kind::Server, name).bucket();
            buckets.contains(&(bucket as u32))
        };
        let matching = self.departures.iter().filter(|(name, _)| is_wanted(name));
        let mut departures: Vec<_> =
            matching.map(|(name, &incarnation)| wire_departure(name, incarnation)).collect();
        departures.sort_by(|one, other| one.server.cmp(&other.server));
        departures
    }

    /// Highest revision in force.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the store has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record in force of a key, which may be a tombstone.
    pub fn get(&self, key: &Key) -> Option<&Arc<Record>> {
        self.records.get(key)
    }

    /// All keys with the record in force, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = (&Key, &Arc<Record>)> {
        self.records.iter()
    }

    /// Records that failed validation and that no newer valid record has replaced.
    pub fn refused(&self) -> impl Iterator<Item = &Refusal> {
        self.refused.values()
    }

    /// Catalogue entries in force.
    pub fn entries(&self) -> impl Iterator<Item = &catalogue::Entry> {
        let single_entries = self.bodies_of_kind(Kind::Entry).filter_map(|body| match body {
            Body::Entry(entry) => Some(entry),
            _ => None,
        });
        let routed_entries = self.routed_entries.values();
        single_entries
            .chain(routed_entries.filter(|entry| self.single_entry(&entry.service).is_none()))
    }

    /// Routes in force.
    pub fn routing(&self) -> Option<&Routing> {
        match &self.records.get(&Key::new(Kind::Routing, ""))?.body {
            Some(Body::Routing(routing)) => Some(routing),
            _ => None,
        }
    }

    /// Index versions in force.
    pub fn indexes(&self) -> impl Iterator<Item = &Index> {
        self.bodies_of_kind(Kind::Index).filter_map(|body| match body {
            Body::Index(index) => Some(index),
            _ => None,
        })
    }

    /// Servers in force.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.bodies_of_kind(Kind::Server).filter_map(|body| match body {
            Body::Server(server) => Some(server),
            _ => None,
        })
    }

    /// Servers in force of a service, in order of name.
    pub fn servers_of_service(&self, service: &str) -> impl Iterator<Item = &Server> {
        self.servers_by_service.servers_of_service(service)
    }

    /// Catalogue entry in force of a service; its own record takes precedence over the entry of the
    /// routes.
    pub fn entry(&self, service: &str) -> Option<&catalogue::Entry> {
        self.single_entry(service).or_else(|| self.routed_entries.get(service))
    }

    fn single_entry(&self, service: &str) -> Option<&catalogue::Entry> {
        match &self.records.get(&Key::new(Kind::Entry, service))?.body {
            Some(Body::Entry(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Published instances, leaving ones included.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.bodies_of_kind(Kind::Instance).filter_map(|body| match body {
            Body::Instance(instance) => Some(instance),
            _ => None,
        })
    }

    /// Availability zones under evacuation, with the revision of the order.
    pub fn evacuations(&self) -> impl Iterator<Item = (&str, u64)> {
        self.records_of_kind(Kind::Evacuation).filter_map(|record| match &record.body {
            Some(Body::Evacuation(evacuation)) => Some((&*evacuation.zone, record.revision)),
            _ => None,
        })
    }

    /// Whether an availability zone is under evacuation, so that no work may be sent to its
    /// servers.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations().any(|(evacuated_zone, _)| evacuated_zone == zone)
    }

    /// Number of published servers in an availability zone.
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

    fn bodies_of_kind(&self, kind: Kind) -> impl Iterator<Item = &Body> {
        self.records_of_kind(kind).filter_map(|record| record.body.as_ref())
    }

    fn records_of_kind(&self, kind: Kind) -> impl Iterator<Item = &Arc<Record>> {
        let first_key = Key::new(kind, "");
        let records = self.records.range(first_key..);
        let of_kind = records.take_while(move |(key, _)| key.kind == kind);
        of_kind.map(|(_, record)| record)
    }
}

fn wire_departure(server: &str, incarnation: u64) -> wire::Departure {
    wire::Departure { server: server.to_owned(), incarnation }
}

fn departure_hash(server: &str, incarnation: u64) -> u64 {
    hash::of(&[b"departure", server.as_bytes(), &incarnation.to_le_bytes()])
}
