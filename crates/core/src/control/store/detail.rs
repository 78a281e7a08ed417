//! Digests of a second level: hashes of the parts of buckets.
//!
//! A bucket of a large publication holds over a thousand records. When a digest shows that it
//! differs, the hashes of its parts show where, and only the records of those parts are sent.

use std::sync::Arc;

use ladder_schema::publication::{Kind, Record};
use ladder_schema::wire::{Departure, Detail};

use super::{BUCKETS, Key, Store, departure, departure_hash};

/// Parts of a bucket.
pub const PARTS: usize = 32;
/// Records up to which buckets are sent whole: a bucket then is no larger than its hashes by far.
const SMALL: usize = 32 * BUCKETS;

impl Store {
    /// Buckets are too large to be sent whole.
    pub fn is_large(&self) -> bool {
        self.records.len() > SMALL
    }

    /// The hashes of the parts of some buckets.
    pub fn details(&self, buckets: &[u32]) -> Vec<Detail> {
        if buckets.is_empty() {
            return Vec::new();
        }
        let mut hashes = vec![0; BUCKETS * PARTS];
        for (key, record) in &self.records {
            let part = key.part();
            if buckets.contains(&((part / PARTS) as u32)) {
                hashes[part] ^= key.record_hash(record.revision);
            }
        }
        for (name, &incarnation) in &self.departures {
            let key = Key::new(Kind::Server, name);
            hashes[key.part()] ^= departure_hash(name, incarnation);
        }
        let known = buckets.iter().filter(|&&at| (at as usize) < BUCKETS);
        let detail = |&bucket: &u32| {
            let first = bucket as usize * PARTS;
            Detail { bucket, parts: hashes[first..first + PARTS].to_vec() }
        };
        known.map(detail).collect()
    }

    /// Parts in which a peer's details differ; all of a bucket with another number of parts.
    pub fn differing_parts(&self, details: &[Detail]) -> Vec<u32> {
        let buckets: Vec<u32> = details.iter().map(|detail| detail.bucket).collect();
        let own = self.details(&buckets);
        let mut differing = Vec::new();
        for own in own {
            let peer = details.iter().find(|detail| detail.bucket == own.bucket);
            let peer = peer.map_or(&[][..], |detail| &detail.parts);
            let differs = |at: &usize| peer.get(*at) != Some(&own.parts[*at]);
            let parts = (0..PARTS).filter(differs);
            differing.extend(parts.map(|at| own.bucket * PARTS as u32 + at as u32));
        }
        differing.sort_unstable();
        differing.dedup();
        differing
    }

    /// All records of some parts, in order of key.
    pub fn records_of_parts(&self, parts: &[u32]) -> Vec<Arc<Record>> {
        let wanted = |key: &Key| parts.contains(&(key.part() as u32));
        let records = self.records.iter().filter(|(key, _)| wanted(key));
        records.map(|(_, record)| Arc::clone(record)).collect()
    }

    /// All departures of some parts, in order of name.
    pub fn departures_of_parts(&self, parts: &[u32]) -> Vec<Departure> {
        let part = |name: &Arc<str>| Key::new(Kind::Server, name).part() as u32;
        let known = self.departures.iter();
        let wanted = known.filter(|(name, _)| parts.contains(&part(name)));
        let mut departures: Vec<_> = wanted.map(|(name, &at)| departure(name, at)).collect();
        departures.sort_by(|one, other| one.server.cmp(&other.server));
        departures
    }
}
