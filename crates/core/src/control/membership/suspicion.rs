//! Suspicion and death by silence and broken links.

use std::sync::Arc;

use ladder_schema::wire::Liveness;

use super::watch::Blame;
use super::{Member, Membership, Why};
use crate::time::Instant;

impl Membership {
    /// Takes in that the link to a member broke.
    pub fn link_down(&mut self, now: Instant, name: &str) {
        let reachable = self.reachable().count();
        let Some(member) = self.members.get(name) else {
            return;
        };
        if member.liveness != Liveness::Alive {
            return;
        }
        let key = member.key();
        match self.watch.link_broke(now, &key, reachable, self.timing) {
            Blame::Peer => self.turn(now, &key, Liveness::Suspect, Why::LinkDown),
            Blame::Own => self.withdraw(now),
        }
    }

    /// Takes back the suspicions that rest on links that this instance itself lost.
    fn withdraw(&mut self, now: Instant) {
        let on_link =
            |member: &&Member| member.liveness == Liveness::Suspect && member.why == Why::LinkDown;
        let names: Vec<_> = self.members.values().filter(on_link).map(Member::key).collect();
        for name in names {
            self.turn(now, &name, Liveness::Alive, Why::OwnFault);
        }
    }

    /// After a suspension every silence may be this instance's own: start to count anew.
    pub fn resumed(&mut self, now: Instant) {
        self.watch.resumed(now);
        for member in self.members.values_mut() {
            if member.liveness == Liveness::Suspect {
                member.since = now;
            }
        }
    }

    /// Lets time pass: suspicions, deaths, what may be forgotten.
    pub fn tick(&mut self, now: Instant) {
        if self.watch.overslept(now, self.timing) {
            self.resumed(now);
        }
        self.refresh_ring(now);
        for name in self.watch.suspects(now, &self.members, self.timing) {
            self.turn(now, &name, Liveness::Suspect, Why::Silent);
        }
        if self.watch.is_held(now, self.timing) {
            return;
        }
        let dead = self.timing.dead;
        let expired = |member: &&Member| {
            member.liveness == Liveness::Suspect && now.since(member.since) >= dead
        };
        let gone: Vec<_> = self.members.values().filter(expired).map(Member::key).collect();
        for name in gone {
            self.turn(now, &name, Liveness::Dead, Why::Unrefuted);
        }
        self.forget(now);
        self.refresh_ring(now);
    }

    fn turn(&mut self, now: Instant, name: &Arc<str>, liveness: Liveness, why: Why) {
        if let Some(member) = self.members.get_mut(name) {
            member.turn(now, liveness, why);
            self.rumours.push(name);
            self.note_change();
        }
    }
}
