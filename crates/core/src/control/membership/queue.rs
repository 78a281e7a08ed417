//! Rumours still to be told.

use std::sync::Arc;

/// Rumours in one frame.
pub(super) const PER_FRAME: usize = 16;
/// Tellings of a rumour, times the binary logarithm of the fleet's size. One telling per doubling
/// would reach everyone if each reached someone new; the factor pays for the overlap and for loss.
const TELLINGS: u32 = 3;
/// How often the instances of a zone tell a rumour to other zones, together, for each time that one
/// instance tells it at all.
const FAR_TELLINGS: u32 = 2;

/// How large the fleet is that rumours are told to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Size {
    /// All instances.
    pub(super) fleet: usize,
    /// Those of this instance's zone, itself included; at least 1.
    pub(super) zone: usize,
}

impl Size {
    /// Tellings of a rumour by one instance.
    fn tellings(self) -> u32 {
        TELLINGS * (usize::BITS - self.fleet.leading_zeros())
    }

    /// Tellings of a rumour to other zones by one instance.
    ///
    /// What crosses between zones is paid for by the byte. A zone of dozens that all tell everything to
    /// random peers tells every other zone the same hundreds of times; in a zone of one or two each
    /// still tells it as often as any.
    fn far_tellings(self) -> u32 {
        let zone = u32::try_from(self.zone).unwrap_or(u32::MAX).max(1);
        (self.tellings() * FAR_TELLINGS).div_ceil(zone).min(self.tellings())
    }
}

/// A member whose state is to be told.
#[derive(Clone, Debug)]
struct Topic {
    name: Arc<str>,
    told: u32,
    /// Those of `told` that went to other zones.
    far: u32,
}

/// Members whose state is to be told, with how often it was.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    /// Invariant: each name stands once, the least told first.
    topics: Vec<Topic>,
}

impl Queue {
    /// Tells the state of a member from now on, as often as a new rumour.
    pub(super) fn push(&mut self, name: &Arc<str>) {
        self.topics.retain(|topic| topic.name != *name);
        self.topics.insert(0, Topic { name: Arc::clone(name), told: 0, far: 0 });
    }

    /// Something is left to tell in the own zone.
    pub(super) const fn is_empty(&self) -> bool {
        self.topics.is_empty()
    }

    /// Something is left to tell in other zones.
    pub(super) fn has_far(&self, size: Size) -> bool {
        let most = size.far_tellings();
        self.topics.iter().any(|topic| topic.far < most)
    }

    /// Names for one frame to a peer, which may be in another zone, counted as told.
    pub(super) fn take(&mut self, size: Size, far: bool) -> Vec<Arc<str>> {
        let most_far = if far { size.far_tellings() } else { u32::MAX };
        let topics = self.topics.iter_mut().filter(|topic| topic.far < most_far);
        let names = topics.take(PER_FRAME).map(|topic| {
            topic.told += 1;
            topic.far += u32::from(far);
            Arc::clone(&topic.name)
        });
        let names = names.collect();
        let most = size.tellings();
        self.topics.retain(|topic| topic.told < most);
        self.topics.sort_by_key(|topic| topic.told);
        names
    }
}
