//! Anti-entropy digests: hashes that show in which buckets the records of two instances differ.
//!
//! Each bucket has two hashes. One covers keys and revisions, which suffices within one era of the
//! platform's store, and is the only one that builds before it hash. The other one also covers the
//! contents of the records, because a revision may be given out again with other content.

use std::sync::Arc;

use ladder_schema::publication::{Kind, Record};
use ladder_schema::wire::{Departure, Digest};

use super::{Held, Key, Store};
use crate::control::hash;

/// Number of buckets of an anti-entropy digest.
pub const BUCKETS: usize = 64;

/// Hashes of the buckets of a digest.
///
/// Invariant: each is the XOR of the hashes of the records and departures of its bucket.
#[derive(Clone, Debug)]
pub(super) struct Hashes {
    /// Hashes over keys and revisions.
    revisions: [u64; BUCKETS],
    /// Hashes over keys, revisions and contents.
    contents: [u64; BUCKETS],
}

impl Default for Hashes {
    fn default() -> Self {
        Self { revisions: [0; BUCKETS], contents: [0; BUCKETS] }
    }
}

impl Hashes {
    /// Adds a record to its bucket, or removes it.
    pub(super) fn toggle_record(&mut self, key: &Key, held: &Held) {
        let hash = RecordHash::of(key, held);
        self.revisions[key.bucket()] ^= hash.revision;
        self.contents[key.bucket()] ^= hash.content;
    }

    /// Adds a departure to the bucket of its server, or removes it.
    pub(super) fn toggle_departure(&mut self, server: &Arc<str>, incarnation: u64) {
        let key = Key::new(Kind::Server, server);
        let hash = departure_hash(server, incarnation);
        self.revisions[key.bucket()] ^= hash;
        self.contents[key.bucket()] ^= hash;
    }
}

/// Hashes of one record.
pub(super) struct RecordHash {
    /// Hash over key and revision.
    pub revision: u64,
    /// Hash over key, revision and content.
    pub content: u64,
}

impl RecordHash {
    pub(super) fn of(key: &Key, held: &Held) -> Self {
        let revision = key.revision_hash(held.record.revision);
        let content = hash::of(&[&revision.to_le_bytes(), &held.content.to_le_bytes()]);
        Self { revision, content }
    }
}

impl Store {
    /// Digest with the hashes of each bucket: over contents for a peer that hashes them, over
    /// revisions for one that may not.
    pub fn digest(&self, over_contents: bool) -> Digest {
        let total = self.total_digest();
        match over_contents {
            true => Digest { contents: self.hashes.contents.to_vec(), ..total },
            false => Digest { buckets: self.hashes.revisions.to_vec(), ..total },
        }
    }

    /// Digest with only the hashes over all buckets.
    ///
    /// These hashes nearly always equal the peer's. With the hashes of all buckets, digests would
    /// make up most of the traffic of an idle fleet.
    pub fn total_digest(&self) -> Digest {
        Digest {
            whole: total(&self.hashes.revisions),
            whole_contents: self.contents_hash(),
            ..Digest::default()
        }
    }

    /// Hash over keys, revisions and contents of all records and over all departures; 0 if there are
    /// none.
    pub fn contents_hash(&self) -> u64 {
        total(&self.hashes.contents)
    }

    /// Whether a peer's digest shows the same records as this store has.
    pub fn equals(&self, digest: &Digest) -> bool {
        match hashes_contents(digest) {
            true => digest.whole_contents == self.contents_hash(),
            false => digest.whole == total(&self.hashes.revisions),
        }
    }

    /// Whether a peer's digest shows that its records differ, but not in which buckets.
    pub fn lacks_buckets(&self, digest: &Digest) -> bool {
        if !digest.contents.is_empty() {
            return false;
        }
        let revisions_differ = digest.whole != total(&self.hashes.revisions);
        let contents_differ =
            hashes_contents(digest) && digest.whole_contents != self.contents_hash();
        match digest.buckets.is_empty() {
            true => revisions_differ || contents_differ,
            false => contents_differ && !revisions_differ,
        }
    }

    /// Buckets in which a peer's digest differs: all buckets for a digest with another number of
    /// buckets, none for a digest that has only the total hashes.
    pub fn differing_buckets(&self, digest: &Digest) -> Vec<u32> {
        let own = match digest.contents.is_empty() {
            true => &self.hashes.revisions,
            false => &self.hashes.contents,
        };
        let peer = bucket_hashes(digest);
        if peer.is_empty() {
            return Vec::new();
        }
        let differs = |bucket: &usize| peer.get(*bucket) != Some(&own[*bucket]);
        (0..BUCKETS).filter(differs).map(|bucket| bucket as u32).collect()
    }

    /// All records, tombstones included, of some buckets of the digest, in order of key.
    pub fn records_of(&self, buckets: &[u32]) -> Vec<Record> {
        let is_wanted = |key: &Key| buckets.contains(&(key.bucket() as u32));
        let records = self.records.iter().filter(|(key, _)| is_wanted(key));
        records.map(|(_, held)| held.to_record()).collect()
    }

    /// All departures of servers of some buckets of the digest, in order of server name.
    pub fn departures_of(&self, buckets: &[u32]) -> Vec<Departure> {
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
}

/// Whether the sender of a digest hashes contents.
pub const fn hashes_contents(digest: &Digest) -> bool {
    digest.whole_contents != 0
}

/// Hashes of the buckets that a digest contains; empty if it has only the total hashes.
pub fn bucket_hashes(digest: &Digest) -> &[u64] {
    if digest.contents.is_empty() { &digest.buckets } else { &digest.contents }
}

fn total(buckets: &[u64]) -> u64 {
    buckets.iter().fold(0, |total, bucket| total ^ bucket)
}

pub(super) fn wire_departure(server: &str, incarnation: u64) -> Departure {
    Departure { server: server.to_owned(), incarnation }
}

pub(super) fn departure_hash(server: &str, incarnation: u64) -> u64 {
    hash::of(&[b"departure", server.as_bytes(), &incarnation.to_le_bytes()])
}
