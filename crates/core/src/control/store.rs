//! The published records of this instance: the newest valid record of each key.
//!
//! Records arrive from the platform and from peers in any order, late and more than once. For each
//! key the latest [`Position`] wins, except that routes of a higher version always replace those of
//! a lower one. A tombstone is a record like any other, so neither a stale replica of the platform
//! nor a stale peer can restore an old record. The content therefore depends on the set of records
//! received and not on their order.

mod changes;
mod content;
mod detail;
mod digest;
mod key;
mod position;

use std::collections::BTreeMap;
use std::sync::Arc;

use ladder_schema::publication::{
    Index, Instance, Kind, Record, Routing, Server, State, record::Body,
};
use ladder_schema::{catalogue, check};

pub use changes::Changes;
pub use detail::PARTS;
pub use digest::{BUCKETS, bucket_hashes, hashes_contents};
pub use key::Key;
pub use position::Position;

use crate::collections::Map;
use digest::Hashes;
use position::Relation;

/// Maximum number of refused records kept; beyond it the oldest one is dropped.
const MAX_REFUSALS: usize = 1024;

/// Result of applying a record to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record is in force now.
    Applied,
    /// The same record is already in force or was refused before.
    Known,
    /// The same record is in force, and was now read in a later era of the platform's store.
    Confirmed,
    /// A newer record of the same key is in force.
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
    /// Era of the platform's store in which the record was read; 0 if unknown.
    pub era: u64,
    /// Revision of the refused record.
    pub revision: u64,
    /// Version of the refused routes; 0 for other records.
    pub version: u64,
    /// Kind of the error, as in metrics.
    pub reason: &'static str,
    /// Name of the invalid field, its value, and the values allowed.
    pub detail: String,
}

/// A record in force.
#[derive(Clone, Debug)]
struct Held {
    record: Arc<Record>,
    /// Latest era in which the record was read from the platform's store; 0 if unknown.
    era: u64,
    /// Whether the record may have been written in an earlier era than `era`.
    listed: bool,
    /// Hash of the record's content.
    content: u64,
}

impl Held {
    /// The record as it is sent to peers.
    fn to_record(&self) -> Record {
        Record { era: self.era, listed: self.listed, ..Record::clone(&self.record) }
    }
}

/// The newest valid record of each key.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Records in force.
    ///
    /// Invariant: each record passes validation, and the position of a key never decreases, except
    /// that routes replace an older version whatever their position is.
    records: BTreeMap<Key, Held>,
    /// Refused records.
    ///
    /// Invariant: the position of each is above that of the record in force of the same key.
    refused: BTreeMap<Key, Refusal>,
    /// Highest incarnation of each server that some source has reported as leaving.
    ///
    /// Invariant: contains only servers whose record is not a tombstone and whose published
    /// incarnation is no higher than the one reported.
    departures: Map<Arc<str>, u64>,
    /// Incarnations of withdrawn servers that had been reported as leaving.
    ///
    /// Invariant: contains only servers whose record is a tombstone.
    past_departures: Map<Arc<str>, u64>,
    /// Hashes of the records and departures in force.
    hashes: Hashes,
    /// First known era of the platform's store, which also counts as the era of records without
    /// one; 0 if no era is known.
    first_era: u64,
    /// Latest position in force.
    latest: Position,
    /// Server records in force, by service.
    ///
    /// Invariant: contains exactly the server records in force.
    servers_by_service: changes::ServersByService,
    /// Catalogue entries of the routes in force, by service.
    routed_entries: BTreeMap<Arc<str>, catalogue::Entry>,
    /// Changes since the last call of [`Store::take_changes`].
    changes: Changes,
}

impl Store {
    /// Puts a record in force if it is valid and newer than the one in force of the same key.
    pub fn apply(&mut self, record: &Record) -> Outcome {
        self.learn_era(record.era);
        let key = Key::of(record);
        let relation = self.relation(&key, record);
        match relation {
            Relation::Newer | Relation::OlderVersion => {}
            Relation::Confirmed => {
                self.confirm(&key, record);
                return Outcome::Confirmed;
            }
            Relation::Same => return Outcome::Known,
            Relation::Reused => return Outcome::Reused,
            Relation::Older => return Outcome::Stale,
        }
        if let Err(error) = check::record(record) {
            return self.refuse(key, record, &error);
        }
        if relation == Relation::OlderVersion {
            return Outcome::Stale;
        }
        self.insert(&key, record);
        Outcome::Applied
    }

    fn relation(&self, key: &Key, record: &Record) -> Relation {
        let Some(held) = self.records.get(key) else {
            return Relation::Newer;
        };
        position::relate(record, self.position(record), &held.record, self.held_position(held))
    }

    /// Notes an era of the platform's store. Records without an era count as records of the first
    /// known one.
    pub fn learn_era(&mut self, era: u64) {
        if self.first_era == 0 {
            self.first_era = era;
            self.latest.era = self.known_era(self.latest.era);
        }
    }

    /// Place of a record in the history of the platform's store.
    pub const fn position(&self, record: &Record) -> Position {
        Position { era: self.known_era(record.era), revision: record.revision }
    }

    /// Place of the record in force of a key, if there is one.
    pub fn position_in_force(&self, key: &Key) -> Option<Position> {
        self.records.get(key).map(|held| self.held_position(held))
    }

    fn held_position(&self, held: &Held) -> Position {
        Position { era: self.known_era(held.era), revision: held.record.revision }
    }

    const fn known_era(&self, era: u64) -> u64 {
        if era == 0 { self.first_era } else { era }
    }

    fn confirm(&mut self, key: &Key, record: &Record) {
        self.latest = self.latest.max(self.position(record));
        if let Some(held) = self.records.get_mut(key) {
            held.era = record.era;
            held.listed = record.listed;
        }
    }

    fn refuse(&mut self, key: Key, record: &Record, error: &check::Error) -> Outcome {
        let recorded = self.refused.get(&key).map(|refusal| self.refused_position(refusal));
        if recorded.is_some_and(|recorded| recorded >= self.position(record)) {
            return Outcome::Known;
        }
        let refusal = Refusal {
            key: key.clone(),
            era: record.era,
            revision: record.revision,
            version: position::route_version(record).unwrap_or(0),
            reason: error.reason(),
            detail: error.to_string(),
        };
        self.refused.insert(key, refusal.clone());
        if self.refused.len() > MAX_REFUSALS {
            self.evict_refusal();
        }
        Outcome::Refused(refusal)
    }

    const fn refused_position(&self, refusal: &Refusal) -> Position {
        Position { era: self.known_era(refusal.era), revision: refusal.revision }
    }

    fn evict_refusal(&mut self) {
        let oldest = self.refused.values().min_by_key(|refusal| self.refused_position(refusal));
        if let Some(key) = oldest.map(|refusal| refusal.key.clone()) {
            self.refused.remove(&key);
        }
    }

    fn insert(&mut self, key: &Key, record: &Record) {
        let position = self.position(record);
        let refused = self.refused.get(key);
        if refused.is_some_and(|refused| self.refused_position(refused) < position) {
            self.refused.remove(key);
        }
        self.latest = self.latest.max(position);
        let new_record = Arc::new(record.clone());
        let held = Held {
            record: Arc::clone(&new_record),
            era: record.era,
            listed: record.listed,
            content: content::hash_of(record),
        };
        self.hashes.toggle_record(key, &held);
        let replaced = self.records.insert(key.clone(), held);
        if let Some(replaced) = &replaced {
            self.hashes.toggle_record(key, replaced);
        }
        let replaced = replaced.map(|replaced| replaced.record);
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
        let mut store = Self { first_era: self.first_era, ..Self::default() };
        for held in self.records.values() {
            store.apply(&held.to_record());
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
            if let Some(incarnation) = self.departures.get(name) {
                self.past_departures.insert(Arc::clone(name), *incarnation);
            }
            self.set_departure(name, None);
            return;
        };
        // An entry written before the server left may be carried out after its removal.
        let past_incarnation = self.past_departures.remove(name);
        if past_incarnation == Some(server.incarnation) {
            self.set_departure(name, past_incarnation);
            return;
        }
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
            self.hashes.toggle_departure(name, incarnation);
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

    /// Highest revision in force of the latest era in force.
    pub const fn revision(&self) -> u64 {
        self.latest.revision
    }

    /// Number of records, tombstones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the store has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record in force of a key, which may be a tombstone.
    pub fn get(&self, key: &Key) -> Option<&Arc<Record>> {
        self.records.get(key).map(|held| &held.record)
    }

    /// All keys with the record in force, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = (&Key, &Arc<Record>)> {
        self.records.iter().map(|(key, held)| (key, &held.record))
    }

    /// Records that failed validation and that no newer valid record has replaced.
    pub fn refused(&self) -> impl Iterator<Item = &Refusal> {
        self.refused.values()
    }

    /// The version of the routes that was refused, if none in force is newer.
    pub fn refused_routes(&self) -> Option<&Refusal> {
        self.refused.get(&Key::new(Kind::Routing, ""))
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
        match &self.get(&Key::new(Kind::Routing, ""))?.body {
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
        match &self.get(&Key::new(Kind::Entry, service))?.body {
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
        match &self.get(&Key::new(Kind::Server, name))?.body {
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
        of_kind.map(|(_, held)| &held.record)
    }
}
