//! Gossip updates received from peers.

use std::sync::Arc;

use ladder_schema::wire::{Liveness, Rumour};

use super::{Evidence, Member, Membership};
use crate::time::Instant;

impl Membership {
    /// Processes a gossip update of a peer: the state of a member as that peer knows it.
    pub fn apply_update(&mut self, now: Instant, rumour: &Rumour) {
        if rumour.name == *self.own.name {
            self.refute(rumour);
            return;
        }
        let Some(member) = self.members.get_mut(rumour.name.as_str()) else {
            self.add_unknown_member(now, rumour);
            return;
        };
        if !member.is_superseded_by(rumour) {
            // The death of an earlier life is all that the sender knows. Unless it learns of the
            // later one, it does not probe the member.
            if member.is_reachable() && member.is_later_than(rumour) {
                self.gossip.push_unless_queued(&rumour.name.as_str().into());
            }
            return;
        }
        let before = member.clone();
        member.apply_update(now, rumour);
        let is_new_to_peers = before.liveness != member.liveness || before.generation > 0;
        // A refutation may also carry a new address or zone, which views contain.
        if !before.is_equivalent_in_views(member) {
            self.note_change();
        }
        if is_new_to_peers {
            self.gossip.push(&rumour.name.as_str().into());
        }
    }

    /// Adds the members that a peer knows to those of an instance that has just started.
    ///
    /// Gossip carries changes only, so an instance that joined a running fleet of 80 knew 12 others
    /// after three seconds, took the fleet for small and kept connections to all servers. The
    /// members are not passed on, because the fleet knows them.
    pub fn introduce(&mut self, now: Instant, members: &[Rumour]) {
        for member in members {
            let name = member.name.as_str();
            if *name != *self.own.name && !self.members.contains_key(name) {
                self.insert_unknown_member(now, member);
            }
        }
    }

    fn add_unknown_member(&mut self, now: Instant, rumour: &Rumour) {
        if let Some(name) = self.insert_unknown_member(now, rumour) {
            self.gossip.push(&name);
        }
    }

    /// Adds a member if it is alive; returns its name in this case.
    fn insert_unknown_member(&mut self, now: Instant, rumour: &Rumour) -> Option<Arc<str>> {
        if rumour.liveness() != Liveness::Alive || rumour.address.is_empty() {
            return None;
        }
        let name: Arc<str> = rumour.name.as_str().into();
        let mut member = Member::new(&name, now, Evidence::PeerReport);
        member.apply_update(now, rumour);
        self.members.insert(Arc::clone(&name), member);
        self.last_new_member_at = now;
        self.note_change();
        Some(name)
    }

    /// Refutes a gossip update that this instance is suspected or dead: raises its refutation,
    /// which supersedes every update of that suspicion.
    fn refute(&mut self, rumour: &Rumour) {
        if rumour.generation > self.own.generation {
            self.supersede_previous_life(rumour);
            return;
        }
        if !matches!(rumour.liveness(), Liveness::Suspect | Liveness::Dead) {
            return;
        }
        let same_generation = rumour.generation == self.own.generation;
        if same_generation && rumour.refutation >= self.own.refutation {
            self.own.refutation = rumour.refutation.saturating_add(1);
        }
        self.gossip.push(&self.own.name);
    }

    /// Raises the generation of this instance above that of an earlier process with its name.
    ///
    /// This is needed if the host's clock was set back before the instance restarted. Its
    /// incarnation is then lower than its predecessor's: peers that still know the predecessor
    /// would consider this instance dead and send it nothing until they forget it. Only a process
    /// that listens at the same address can be the successor; with another address the name has
    /// been given to another instance, and the update is ignored.
    fn supersede_previous_life(&mut self, rumour: &Rumour) {
        if *rumour.address != *self.own.address {
            return;
        }
        let Some(generation) = rumour.generation.checked_add(1) else {
            return;
        };
        self.own.generation = generation;
        self.own.refutation = 0;
        self.gossip.push(&self.own.name);
        self.note_change();
    }
}
