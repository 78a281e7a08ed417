//! Keys of published records.

use std::fmt;
use std::sync::Arc;

use ladder_schema::bounds;
use ladder_schema::publication::{Kind, Record, record::Body};

use super::{BUCKETS, PARTS};
use crate::control::hash;

/// Kind and name of a published record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Kind of object that the record describes.
    pub kind: Kind,
    /// Name of the object: the service of a catalogue entry, `name@version` of an index, or the
    /// name of a server, instance or zone.
    pub name: Arc<str>,
}

impl Key {
    /// Creates the key of a record from its kind and name.
    pub fn new(kind: Kind, name: &str) -> Self {
        Self { kind, name: name.into() }
    }

    /// Key of a record. A name above its length limit is truncated, so that refused records take
    /// bounded memory.
    pub fn of(record: &Record) -> Self {
        let (kind, name) = match &record.body {
            None => (Kind::Unspecified, String::new()),
            Some(Body::Entry(entry)) => (Kind::Entry, entry.service.clone()),
            Some(Body::Index(index)) => (Kind::Index, format!("{}@{}", index.name, index.version)),
            Some(Body::Server(server)) => (Kind::Server, server.name.clone()),
            Some(Body::Instance(instance)) => (Kind::Instance, instance.name.clone()),
            Some(Body::Routing(_)) => (Kind::Routing, String::new()),
            Some(Body::Evacuation(evacuation)) => (Kind::Evacuation, evacuation.zone.clone()),
            Some(Body::Tombstone(tombstone)) => (tombstone.kind(), tombstone.name.clone()),
        };
        if name.len() <= bounds::RECORD_NAME_BYTES {
            return Self::new(kind, &name);
        }
        let truncated: String = name.chars().take(bounds::NAME_BYTES).collect();
        Self::new(kind, &truncated)
    }

    /// Bucket of a digest that the key belongs to.
    pub(super) fn bucket(&self) -> usize {
        (self.key_hash() % BUCKETS as u64) as usize
    }

    /// Part of a bucket that the key belongs to, numbered over all buckets.
    pub(super) fn part(&self) -> usize {
        let key_hash = self.key_hash();
        let bucket = key_hash % BUCKETS as u64;
        let part = key_hash / BUCKETS as u64 % PARTS as u64;
        bucket as usize * PARTS + part as usize
    }

    fn key_hash(&self) -> u64 {
        hash::of(&[&[self.kind as u8], self.name.as_bytes()])
    }

    /// Hash of the key and a revision.
    pub(super) fn revision_hash(&self, revision: u64) -> u64 {
        let kind = [self.kind as u8];
        hash::of(&[&kind, self.name.as_bytes(), &revision.to_le_bytes()])
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            Kind::Unspecified => "record",
            Kind::Entry => "entry",
            Kind::Index => "index",
            Kind::Server => "server",
            Kind::Instance => "instance",
            Kind::Routing => "routing",
            Kind::Evacuation => "evacuation",
        };
        write!(f, "{kind} {}", self.name)
    }
}
