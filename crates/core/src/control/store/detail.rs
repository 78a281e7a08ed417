//! Second level of digests: hashes of the parts of buckets.
//!
//! A bucket of a large publication contains over a thousand records. If a digest shows that a
//! bucket differs, the hashes of its parts show where, and only the records of the differing parts
//! are sent.

use std::sync::Arc;

use ladder_schema::publication::{Kind, Record};
use ladder_schema::wire::{Departure, Detail};

use super::digest::{RecordHash, departure_hash, wire_departure};
use super::{BUCKETS, Key, Store};

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

    /// Hashes of the parts of some buckets: over contents if the peer hashes them, over revisions
    /// otherwise.
    pub fn details(&self, buckets: &[u32], over_contents: bool) -> Vec<Detail> {
        if buckets.is_empty() {
            return Vec::new();
        }
        let mut part_hashes = vec![0; BUCKETS * PARTS];
        for (key, held) in &self.records {
            let part = key.part();
            if buckets.contains(&((part / PARTS) as u32)) {
                let hash = RecordHash::of(key, held);
                part_hashes[part] ^= if over_contents { hash.content } else { hash.revision };
            }
        }
        for (name, &incarnation) in &self.departures {
            let key = Key::new(Kind::Server, name);
            part_hashes[key.part()] ^= departure_hash(name, incarnation);
        }
        let existing = buckets.iter().filter(|&&at| (at as usize) < BUCKETS);
        let detail = |&bucket: &u32| {
            let first = bucket as usize * PARTS;
            let hashes = part_hashes[first..first + PARTS].to_vec();
            match over_contents {
                true => Detail { bucket, contents: hashes, ..Detail::default() },
                false => Detail { bucket, parts: hashes, ..Detail::default() },
            }
        };
        existing.map(detail).collect()
    }

    /// Parts in which a peer's hashes differ; all parts of a bucket that the peer divides into
    /// another number of parts.
    pub fn differing_parts(&self, details: &[Detail]) -> Vec<u32> {
        let buckets: Vec<u32> = details.iter().map(|detail| detail.bucket).collect();
        let over_contents = details.iter().any(|detail| !detail.contents.is_empty());
        let hashes = |detail: &Detail| match over_contents {
            true => detail.contents.clone(),
            false => detail.parts.clone(),
        };
        let own_details = self.details(&buckets, over_contents);
        let mut differing = Vec::new();
        for own in own_details {
            let peer_detail = details.iter().find(|detail| detail.bucket == own.bucket);
            let (own_parts, peer_parts) = (hashes(&own), peer_detail.map(hashes));
            let peer_parts = peer_parts.unwrap_or_default();
            let differs = |part: &usize| peer_parts.get(*part) != Some(&own_parts[*part]);
            let parts = (0..PARTS).filter(differs);
            differing.extend(parts.map(|part| own.bucket * PARTS as u32 + part as u32));
        }
        differing.sort_unstable();
        differing.dedup();
        differing
    }

    /// All records, tombstones included, of some parts of buckets, in order of key.
    pub fn records_of_parts(&self, parts: &[u32]) -> Vec<Record> {
        let is_wanted = |key: &Key| parts.contains(&(key.part() as u32));
        let records = self.records.iter().filter(|(key, _)| is_wanted(key));
        records.map(|(_, held)| held.to_record()).collect()
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
