//! Second level of digests: hashes of the parts of buckets.
//!
//! A bucket of a large publication contains over a thousand records. If a digest shows that a
//! bucket differs, the hashes of its parts show where, and only the records of the differing parts
//! are sent.

use std::sync::Arc;

use ladder_schema::publication::{Kind, Record};
use ladder_schema::wire::{Departure, Detail};

use super::{BUCKETS, Key, Store, departure_hash, wire_departure};

/// Number of parts into which a bucket of the digest is divided.
pub const PARTS: usize = 32;
/// Number of records in the store up to which differing buckets are sent whole. With so few records
/// a bucket is not much larger than the hashes of its parts.
const MAX_RECORDS_FOR_WHOLE_BUCKETS: usize = 32 * BUCKETS;

impl Store {
    /// Whether the store is so large that the hashes of parts are compared before records are sent.
    pub fn is_large(&self) -> bool {
        self.records.len() > MAX_RECORDS_FOR_WHOLE_BUCKETS
    }

    /// Hashes of the parts of some buckets.
    pub fn details(&self, buckets: &[u32]) -> Vec<Detail> {
        if buckets.is_empty() {
            return Vec::new();
        }
        let mut part_hashes = vec![0; BUCKETS * PARTS];
        for (key, record) in &self.records {
            let part = key.part();
            if buckets.contains(&((part / PARTS) as u32)) {
                part_hashes[part] ^= key.record_hash(record.revision);
            }
        }
        for (name, &incarnation) in &self.departures {
            let key = Key::new(Kind::Server, name);
            part_hashes[key.part()] ^= departure_hash(name, incarnation);
        }
        let existing = buckets.iter().filter(|&&at| (at as usize) < BUCKETS);
        let detail = |&bucket: &u32| {
            let first = bucket as usize * PARTS;
            Detail { bucket, parts: part_hashes[first..first + PARTS].to_vec() }
        };
        existing.map(detail).collect()
    }

    /// Parts in which a peer's hashes differ; all parts of a bucket that the peer divides into
    /// another number of parts.
    pub fn differing_parts(&self, details: &[Detail]) -> Vec<u32> {
        let buckets: Vec<u32> = details.iter().map(|detail| detail.bucket).collect();
        let own_details = self.details(&buckets);
        let mut differing = Vec::new();
        for own in own_details {
            let peer_detail = details.iter().find(|detail| detail.bucket == own.bucket);
            let peer_parts = peer_detail.map_or(&[][..], |detail| &detail.parts);
            let differs = |part: &usize| peer_parts.get(*part) != Some(&own.parts[*part]);
            let parts = (0..PARTS).filter(differs);
            differing.extend(parts.map(|part| own.bucket * PARTS as u32 + part as u32));
        }
        differing.sort_unstable();
        differing.dedup();
        differing
    }

    /// All records, tombstones included, of some parts of buckets, in order of key.
    pub fn records_of_parts(&self, parts: &[u32]) -> Vec<Arc<Record>> {
        let is_wanted = |key: &Key| parts.contains(&(key.part() as u32));
        let records = self.records.iter().filter(|(key, _)| is_wanted(key));
        records.map(|(_, record)| Arc::clone(record)).collect()
    }

    /// All departures of servers of some parts of buckets, in order of server name.
    pub fn departures_of_parts(&self, parts: &[u32]) -> Vec<Departure> {
        let part_of = |name: &Arc<str>| Key::new(Kind::Server, name).part() as u32;
        let all = self.departures.iter();
        let matching = all.filter(|(name, _)| parts.contains(&part_of(name)));
        let mut departures: Vec<_> =
            matching.map(|(name, &incarnation)| wire_departure(name, incarnation)).collect();
        departures.sort_by(|one, other| one.server.cmp(&other.server));
        departures
    }
}
