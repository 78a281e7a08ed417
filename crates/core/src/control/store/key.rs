//! Keys of published records.

use std::fmt;
use std::sync::Arc;

use ladder_schema::bounds;
use ladder_schema::publication::{Kind, Record, record::Body};

use super::{BUCKETS, PARTS};
use crate::control::hash;

/// Kind and name of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// What the record describes.
    pub kind: Kind,
    /// Service of an entry, `name@version` of an index, name of a server, instance or zone.
    pub name: Arc<str>,
}

impl Key {
    /// A key of its parts.
    pub fn new(kind: Kind, name: &str) -> Self {
        Self { kind, name: name.into() }
    }

    /// The key of a record. A name beyond its bound is cut, so that a refused record can be
    /// remembered in bounded memory.
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
        let longest = bounds::NAME_BYTES * 2;
        if name.len() <= longest {
            return Self::new(kind, &name);
        }
        let cut: String = name.chars().take(bounds::NAME_BYTES).collect();
        Self::new(kind, &cut)
    }

    /// The bucket of a digest that the key belongs to.
    pub(super) fn bucket(&self) -> usize {
        (self.place() % BUCKETS as u64) as usize
    }

    /// The part of a bucket that the key belongs to, numbered over all buckets.
    pub(super) fn part(&self) -> usize {
        let place = self.place();
        let bucket = place % BUCKETS as u64;
        let part = place / BUCKETS as u64 % PARTS as u64;
        bucket as usize * PARTS + part as usize
    }

    fn place(&self) -> u64 {
        hash::of(&[&[self.kind as u8], self.name.as_bytes()])
    }

    /// What a revision of the key adds to its bucket.
    pub(super) fn record_hash(&self, revision: u64) -> u64 {
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
