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
        let was = (member.liveness, member.incarnation);
        member.accept(now, rumour);
        let is_news = was.0 != member.liveness || was.1 > 0;
        if was != (member.liveness, member.incarnation) {
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
        let doubted = matches!(rumour.liveness(), Liveness::Suspect | Liveness::Dead);
        if !doubted || rumour.incarnation > self.own.incarnation {
            return;
        }
        let same = rumour.incarnation == self.own.incarnation;
        if same && rumour.refutation >= self.own.refutation {
            self.own.refutation = rumour.refutation.saturating_add(1);
        }
        self.rumours.push(&self.own.name);
    }
}
