//! What peers say of members.

use std::sync::Arc;

use ladder_schema::wire::{Liveness, Rumour};

use super::{Member, Membership, Why};
use crate::time::Instant;

impl Membership {
    /// Takes in what a peer holds true of a member.
    pub fn rumour(&mut self, now: Instant, rumour: &Rumour) {
        if rumour.name == *self.own.name {
            self.refute(rumour);
            return;
        }
        let Some(member) = self.members.get_mut(rumour.name.as_str()) else {
            self.introduce(now, rumour);
            return;
        };
        if !member.is_beaten_by(rumour) {
            return;
        }
        let was = member.clone();
        member.accept(now, rumour);
        let is_news = was.liveness != member.liveness || was.generation > 0;
        // A refutation may tell of another address or zone too, which views list.
        if !was.stands_as(member) {
            self.note_change();
        }
        if is_news {
            self.rumours.push(&rumour.name.as_str().into());
        }
    }

    fn introduce(&mut self, now: Instant, rumour: &Rumour) {
        if rumour.liveness() != Liveness::Alive || rumour.address.is_empty() {
            return;
        }
        let name: Arc<str> = rumour.name.as_str().into();
        let mut member = Member::new(&name, now, Why::Rumour);
        member.accept(now, rumour);
        self.members.insert(Arc::clone(&name), member);
        self.rumours.push(&name);
        self.note_change();
    }

    /// A member that hears itself suspected or held dead says with a raised refutation that it is
    /// not, which beats every rumour of the suspicion.
    fn refute(&mut self, rumour: &Rumour) {
        if rumour.generation > self.own.generation {
            self.outlive(rumour);
            return;
        }
        if !matches!(rumour.liveness(), Liveness::Suspect | Liveness::Dead) {
            return;
        }
        let same = rumour.generation == self.own.generation;
        if same && rumour.refutation >= self.own.refutation {
            self.own.refutation = rumour.refutation.saturating_add(1);
        }
        self.rumours.push(&self.own.name);
    }

    /// Puts this life above an earlier one of its name.
    ///
    /// The failure: the time of day is set back and the instance restarts. Its incarnation is lower
    /// than its predecessor's; peers that still know that one would hold this one dead and tell it
    /// nothing until they forget it. Only the process that listens at the address can be the
    /// successor: under another address the name has been given to another instance.
    fn outlive(&mut self, rumour: &Rumour) {
        if *rumour.address != *self.own.address {
            return;
        }
        let Some(generation) = rumour.generation.checked_add(1) else {
            return;
        };
        self.own.generation = generation;
        self.own.refutation = 0;
        self.rumours.push(&self.own.name);
        self.note_change();
    }
}
