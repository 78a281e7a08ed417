//! A list of instances prepared for ranking many services.

use std::cmp::Reverse;

use super::{CANDIDATES, Instance, REACH, Ranking};
use crate::collections::Map;
use crate::control::hash::{self, Prefix};

/// Best instances to keep: the primaries may be among them.
const BEST: usize = CANDIDATES + REACH;

/// Published instances, prepared for ranking many services.
///
/// A restart ranks each service over the whole list, which at thousands of instances and tens of
/// thousands of services is most of its cost. Names are therefore cut into words and zones
/// numbered once, and one pass finds the best of each zone and of all.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    instances: Vec<Prepared>,
    /// Words of all names.
    words: Vec<u64>,
    /// Number of different zones.
    zones: usize,
}

#[derive(Clone, Copy, Debug)]
struct Prepared {
    /// Where the name's words begin and end.
    words: (u32, u32),
    /// Bytes of the name.
    length: u64,
    /// Number of its zone.
    ///
    /// Invariant: below the number of zones.
    zone: usize,
    /// Place in the order of names.
    place: u32,
}

/// An instance with its score; the best sorts first. Equal scores sort by name, as positions may
/// differ between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scored {
    score: Reverse<u64>,
    place: u32,
    at: usize,
}

impl Fleet {
    /// Prepares a list.
    pub fn new<'a>(list: impl Iterator<Item = Instance<'a>>) -> Self {
        let mut fleet = Self::default();
        let mut zones: Map<&str, usize> = Map::default();
        let mut names = Vec::new();
        for instance in list {
            let next = zones.len();
            let zone = *zones.entry(instance.zone).or_insert(next);
            names.push((instance.name, names.len()));
            fleet.push(instance.name, zone);
        }
        names.sort_unstable();
        for (place, (_, at)) in names.into_iter().enumerate() {
            fleet.instances[at].place = place as u32;
        }
        fleet.zones = zones.len();
        fleet
    }

    fn push(&mut self, name: &str, zone: usize) {
        let start = self.words.len() as u32;
        self.words.extend(hash::words(name.as_bytes()));
        self.instances.push(Prepared {
            words: (start, self.words.len() as u32),
            length: name.len() as u64,
            zone,
            place: 0,
        });
    }

    /// Ranks the instances for a service by rendezvous hashing, see [`super::rank`].
    pub fn rank(&self, service: &str) -> Ranking {
        let (mut primaries, best) = self.best(service);
        primaries.sort_unstable();
        primaries.truncate(REACH);
        let spares = best.iter().filter(|scored| !primaries.contains(scored));
        let order = primaries.iter().chain(spares).take(CANDIDATES);
        Ranking { order: order.map(|scored| scored.at).collect(), primaries: primaries.len() }
    }

    /// The best of each zone in no order, and the best of all in order.
    fn best(&self, service: &str) -> (Vec<Scored>, Vec<Scored>) {
        let mut zones: Vec<Option<Scored>> = vec![None; self.zones];
        let mut best: Vec<Scored> = Vec::with_capacity(BEST + 1);
        let prefix = Prefix::of(service.as_bytes());
        let mut begun = (0, prefix.begin(0));
        for (at, instance) in self.instances.iter().enumerate() {
            if begun.0 != instance.length {
                begun = (instance.length, prefix.begin(instance.length));
            }
            let words = instance.words.0 as usize..instance.words.1 as usize;
            let new = Scored {
                score: Reverse(begun.1.end(&self.words[words])),
                place: instance.place,
                at,
            };
            let known = &mut zones[instance.zone];
            if known.is_none_or(|known| new < known) {
                *known = Some(new);
            }
            keep(&mut best, new);
        }
        (zones.into_iter().flatten().collect(), best)
    }
}

/// Keeps the best in order.
fn keep(best: &mut Vec<Scored>, new: Scored) {
    if best.len() == BEST && best.last().is_some_and(|last| new > *last) {
        return;
    }
    let at = best.partition_point(|known| *known < new);
    best.insert(at, new);
    best.truncate(BEST);
}
