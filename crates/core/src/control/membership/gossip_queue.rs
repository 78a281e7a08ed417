//! Queue of gossip updates that are still to be sent.

use std::sync::Arc;

/// Number of gossip updates in one frame.
pub(super) const UPDATES_PER_FRAME: usize = 16;
/// Each instance sends a gossip update this many times the binary logarithm of the fleet size. A
/// factor of 1 would reach every instance only if each transmission reached a new one; the rest
/// compensates for overlap and lost frames.
const TRANSMIT_FACTOR: u32 = 3;
/// How often all instances of a zone together send a gossip update to other zones, as a multiple
/// of how often one instance sends it at all.
const CROSS_ZONE_TRANSMIT_FACTOR: u32 = 2;

/// Numbers of instances that a gossip update must reach.
#[derive(Clone, Copy, Debug)]
pub(super) struct GossipScope {
    /// Number of instances in the fleet.
    pub(super) fleet: usize,
    /// Number of instances in this instance's zone, itself included; at least 1.
    pub(super) zone: usize,
}

impl GossipScope {
    /// How often one instance sends a gossip update in total.
    fn transmit_limit(self) -> u32 {
        TRANSMIT_FACTOR * (usize::BITS - self.fleet.leading_zeros())
    }

    /// How often one instance sends a gossip update to other zones.
    ///
    /// Traffic between zones is billed by the byte. If each of dozens of instances in a zone sent
    /// every update to random peers, every other zone would receive it hundreds of times. In a
    /// zone of one or two instances this limit equals that of all transmissions.
    fn cross_zone_transmit_limit(self) -> u32 {
        let zone = u32::try_from(self.zone).unwrap_or(u32::MAX).max(1);
        (self.transmit_limit() * CROSS_ZONE_TRANSMIT_FACTOR)
            .div_ceil(zone)
            .min(self.transmit_limit())
    }
}

/// A member whose state is to be sent to peers.
#[derive(Clone, Debug)]
struct QueuedUpdate {
    name: Arc<str>,
    transmits: u32,
    /// Number of transmissions of the update that went to other zones; included in `transmits`.
    cross_zone_transmits: u32,
}

/// Members whose state is to be sent to peers, with the number of transmissions so far.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    /// Invariant: contains each member name once, in order of transmissions, fewest first.
    updates: Vec<QueuedUpdate>,
}

impl GossipQueue {
    /// Queues the state of a member to be sent as often as a new gossip update.
    pub(super) fn push(&mut self, name: &Arc<str>) {
        self.updates.retain(|update| update.name != *name);
        self.updates.insert(
            0,
            QueuedUpdate { name: Arc::clone(name), transmits: 0, cross_zone_transmits: 0 },
        );
    }

    /// Queues the state of a member unless it is queued already.
    pub(super) fn push_unless_queued(&mut self, name: &Arc<str>) {
        if !self.updates.iter().any(|update| update.name == *name) {
            self.push(name);
        }
    }

    /// Whether no update is left to send within this instance's zone.
    pub(super) const fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// Whether some update is left to send to other zones.
    pub(super) fn has_cross_zone(&self, scope: GossipScope) -> bool {
        let limit = scope.cross_zone_transmit_limit();
        self.updates.iter().any(|update| update.cross_zone_transmits < limit)
    }

    /// Takes member names for one frame to a peer and counts them as sent. `cross_zone`: the peer
    /// is in another zone.
    pub(super) fn take(&mut self, scope: GossipScope, cross_zone: bool) -> Vec<Arc<str>> {
        let cross_zone_limit =
            if cross_zone { scope.cross_zone_transmit_limit() } else { u32::MAX };
        let updates =
            self.updates.iter_mut().filter(|update| update.cross_zone_transmits < cross_zone_limit);
        let names = updates.take(UPDATES_PER_FRAME).map(|update| {
            update.transmits += 1;
            update.cross_zone_transmits += u32::from(cross_zone);
            Arc::clone(&update.name)
        });
        let names = names.collect();
        let limit = scope.transmit_limit();
        self.updates.retain(|update| update.transmits < limit);
        self.updates.sort_by_key(|update| update.transmits);
        names
    }
}
