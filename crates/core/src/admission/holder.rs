//! Selects the instance that holds the reservations of a fingerprint.

use std::sync::Arc;

use crate::control::hash;
use crate::fingerprint::Fingerprint;
use crate::view::{Neighbour, Peer};

/// The instances of one availability zone among which reservations are divided.
///
/// Callers retry at another instance of the same zone, so that the holder must not depend on the
/// instance that a sweep reaches. While two instances know different members, they disagree on the
/// holders of those fingerprints only that the member in question would hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holders {
    /// Name of this instance.
    own_name: Arc<str>,
    /// The other instances of the zone.
    peers: Vec<Peer>,
}

impl Holders {
    /// Creates the set that contains only this instance.
    pub fn new(own_name: Arc<str>) -> Self {
        Self { own_name, peers: Vec::new() }
    }

    /// Replaces the other instances by those of `neighbours` that are in `zone`.
    pub fn update(&mut self, zone: &str, neighbours: &[Neighbour]) {
        let in_zone = neighbours.iter().filter(|neighbour| *neighbour.zone == *zone);
        self.peers = in_zone.map(|neighbour| neighbour.peer.clone()).collect();
    }

    /// Returns the holder of a fingerprint by rendezvous hashing; `None` if it is this instance.
    pub fn select(&self, fingerprint: Fingerprint) -> Option<&Peer> {
        let fingerprint = fingerprint.bytes();
        let rank = |name: &Arc<str>| (hash::of(&[&fingerprint, name.as_bytes()]), Arc::clone(name));
        let best = self.peers.iter().max_by_key(|peer| rank(&peer.name))?;
        (rank(&best.name) > rank(&self.own_name)).then_some(best)
    }
}
