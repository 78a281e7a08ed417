//! Suspicion and death of members by silence and broken links.

use std::sync::Arc;

use ladder_schema::wire::Liveness;

use super::failure_detector::LinkFault;
use super::{Evidence, Member, Membership};
use crate::time::Instant;

impl Membership {
    /// Processes the loss of the link to a member.
    pub fn link_down(&mut self, now: Instant, name: &str) {
        let reachable = self.reachable().count();
        let Some(member) = self.members.get(name) else {
            return;
        };
        if member.liveness != Liveness::Alive {
            return;
        }
        let key = member.key();
        match self.detector.classify_link_loss(now, &key, reachable, self.timing) {
            LinkFault::Peer => self.set_liveness(now, &key, Liveness::Suspect, Evidence::LinkDown),
            LinkFault::Own => self.withdraw_link_suspicions(now),
        }
    }

    /// Withdraws the suspicions based on links that broke because of this instance's own network
    /// fault.
    fn withdraw_link_suspicions(&mut self, now: Instant) {
        let is_link_suspicion = |member: &&Member| {
            member.liveness == Liveness::Suspect && member.why == Evidence::LinkDown
        };
        let names: Vec<_> =
            self.members.values().filter(is_link_suspicion).map(Member::key).collect();
        for name in names {
            self.set_liveness(now, &name, Liveness::Alive, Evidence::OwnNetworkFault);
        }
    }

    /// Restarts all silence and suspicion periods after a process pause, because this instance may
    /// itself have caused every silence.
    pub fn restart_silence_periods(&mut self, now: Instant) {
        self.detector.restart_silence_periods(now);
        for member in self.members.values_mut() {
            if member.liveness == Liveness::Suspect {
                member.liveness_since = now;
            }
        }
    }

    /// Advances time: raises suspicions, declares suspects dead and forgets expired members.
    pub fn tick(&mut self, now: Instant) {
        if self.detector.tick_is_late(now, self.timing) {
            self.restart_silence_periods(now);
        }
        self.refresh_probe_ring(now);
        for name in self.detector.newly_silent(now, &self.members, self.timing) {
            self.set_liveness(now, &name, Liveness::Suspect, Evidence::Silent);
        }
        if self.detector.withholds_suspicions(now, self.timing) {
            return;
        }
        let dead = self.timing.dead;
        let expired = |member: &&Member| {
            member.liveness == Liveness::Suspect && now.since(member.liveness_since) >= dead
        };
        let expired_names: Vec<_> =
            self.members.values().filter(expired).map(Member::key).collect();
        for name in expired_names {
            self.set_liveness(now, &name, Liveness::Dead, Evidence::Unrefuted);
        }
        self.forget_expired(now);
        self.refresh_probe_ring(now);
    }

    fn set_liveness(&mut self, now: Instant, name: &Arc<str>, liveness: Liveness, why: Evidence) {
        if let Some(member) = self.members.get_mut(name) {
            member.set_liveness(now, liveness, why);
            self.gossip.push(name);
            self.note_change();
        }
    }
}
