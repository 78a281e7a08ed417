//! A list of instances prepared for ranking many services.

use std::cmp::Reverse;

use super::{CANDIDATES, Instance, MAX_PRIMARIES, Ranking};
use crate::collections::Map;
use crate::control::hash::{self, PrefixHash};

/// Number of best-scored instances to keep while ranking; enough for all candidates even if the
/// primaries are among them.
const KEPT_INSTANCES: usize = CANDIDATES + MAX_PRIMARIES;

/// Published instances, prepared for ranking many services.
///
/// A restart ranks each service over the whole list. At thousands of instances and tens of
/// thousands of services this is most of the restart's cost. Names are therefore split into words
/// and zones numbered once, and one pass finds both the best instance of each zone and the best of
/// all.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    instances: Vec<PreparedInstance>,
    /// Names of all instances as 64-bit words for hashing, concatenated.
    words: Vec<u64>,
    /// Number of different availability zones of the instances.
    zones: usize,
}

#[derive(Clone, Copy, Debug)]
struct PreparedInstance {
    /// Start and end of the instance name's words in `Fleet::words`.
    word_range: (u32, u32),
    /// Length of the instance's name in bytes.
    length: u64,
    /// Index of the instance's availability zone.
    ///
    /// Invariant: less than `Fleet::zones`.
    zone: usize,
    /// Position of the instance in the order of all names.
    name_rank: u32,
}

/// An instance with its score; the best sorts first. Equal scores sort by name, because the
/// position in the list may differ between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scored {
    score: Reverse<u64>,
    name_rank: u32,
    index: usize,
}

impl Fleet {
    /// Prepares a list of published instances.
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
        for (name_rank, (_, index)) in names.into_iter().enumerate() {
            fleet.instances[index].name_rank = name_rank as u32;
        }
        fleet.zones = zones.len();
        fleet
    }

    fn push(&mut self, name: &str, zone: usize) {
        let start = self.words.len() as u32;
        self.words.extend(hash::words(name.as_bytes()));
        self.instances.push(PreparedInstance {
            word_range: (start, self.words.len() as u32),
            length: name.len() as u64,
            zone,
            name_rank: 0,
        });
    }

    /// Ranks the instances for a service by rendezvous hashing, see [`super::rank`].
    pub fn rank(&self, service: &str) -> Ranking {
        let (mut primaries, best) = self.best(service);
        primaries.sort_unstable();
        primaries.truncate(MAX_PRIMARIES);
        let spares = best.iter().filter(|scored| !primaries.contains(scored));
        let order = primaries.iter().chain(spares).take(CANDIDATES);
        Ranking { order: order.map(|scored| scored.index).collect(), primaries: primaries.len() }
    }

    /// Returns the best instance of each zone in no particular order, and the best of all
    /// instances in order.
    fn best(&self, service: &str) -> (Vec<Scored>, Vec<Scored>) {
        let mut zones: Vec<Option<Scored>> = vec![None; self.zones];
        let mut best: Vec<Scored> = Vec::with_capacity(KEPT_INSTANCES + 1);
        let prefix = PrefixHash::of(service.as_bytes());
        let mut length_prefix = (0, prefix.with_length(0));
        for (index, instance) in self.instances.iter().enumerate() {
            if length_prefix.0 != instance.length {
                length_prefix = (instance.length, prefix.with_length(instance.length));
            }
            let words = instance.word_range.0 as usize..instance.word_range.1 as usize;
            let new = Scored {
                score: Reverse(length_prefix.1.finish(&self.words[words])),
                name_rank: instance.name_rank,
                index,
            };
            let known = &mut zones[instance.zone];
            if known.is_none_or(|known| new < known) {
                *known = Some(new);
            }
            insert_bounded(&mut best, new);
        }
        (zones.into_iter().flatten().collect(), best)
    }
}

/// Inserts an instance into the ordered list, which keeps the [`KEPT_INSTANCES`] best.
fn insert_bounded(best: &mut Vec<Scored>, new: Scored) {
    if best.len() == KEPT_INSTANCES && best.last().is_some_and(|last| new > *last) {
        return;
    }
    let position = best.partition_point(|known| *known < new);
    best.insert(position, new);
    best.truncate(KEPT_INSTANCES);
}
