//! Detects silent probed members, and whether this instance itself is the cause of the silence.

use std::collections::BTreeMap;
use std::sync::Arc;

use ladder_schema::wire::Liveness;

use super::Member;
use crate::control::settings::Timing;
use crate::time::Instant;

/// Which end of a broken link is at fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkFault {
    /// The peer of the link is at fault.
    Peer,
    /// This instance is at fault, because its network failed.
    Own,
}

/// A period during which no member is newly suspected.
#[derive(Clone, Copy, Debug)]
struct SuspicionHold {
    since: Instant,
    /// Whether a frame of any peer has been received since suspicions began to be withheld.
    frame_received: bool,
}

/// Tracks which probed members are silent, and whether their silence is reliable evidence.
#[derive(Clone, Debug)]
pub(super) struct FailureDetector {
    /// Probed members, each with the time from which its silence counts.
    probed: BTreeMap<Arc<str>, Instant>,
    /// Set while suspicions are withheld. If most probed members are silent at once, or after a
    /// process pause, the cause is this instance: its network is down or it did not run. The
    /// failure shows as many simultaneous suspects. No suspicion is raised until a received frame
    /// proves that this instance receives again, or until a full suspicion period has passed
    /// during which this instance ran.
    hold: Option<SuspicionHold>,
    /// Members whose link broke within the last suspicion period, with the time of the break. Kept
    /// by name, because a crashed peer may be dialled and lost many times.
    broken_links: BTreeMap<Arc<str>, Instant>,
    last_tick: Instant,
}

impl FailureDetector {
    /// Creates a detector that watches no member yet.
    pub(super) const fn new(now: Instant) -> Self {
        Self { probed: BTreeMap::new(), hold: None, broken_links: BTreeMap::new(), last_tick: now }
    }

    /// Names of the probed members.
    pub(super) fn probed(&self) -> impl Iterator<Item = &Arc<str>> {
        self.probed.keys()
    }

    /// Sets the members to probe. The silence of members that were already probed continues to
    /// count.
    pub(super) fn set_probed(&mut self, now: Instant, names: Vec<Arc<str>>) {
        let previous = std::mem::take(&mut self.probed);
        for name in names {
            let since = previous.get(&name).copied().unwrap_or(now);
            self.probed.insert(name, since);
        }
    }

    /// Records that a frame of some peer was received.
    pub(super) const fn note_frame(&mut self) {
        if let Some(hold) = &mut self.hold {
            hold.frame_received = true;
        }
    }

    /// Restarts all silence periods now and withholds suspicions.
    pub(super) fn restart_silence_periods(&mut self, now: Instant) {
        for since in self.probed.values_mut() {
            *since = now;
        }
        self.broken_links.clear();
        self.hold = Some(SuspicionHold { since: now, frame_received: false });
        self.last_tick = now;
    }

    /// Whether this tick is so late that the process must have been paused and could not receive
    /// frames in the meantime.
    pub(super) fn tick_is_late(&mut self, now: Instant, timing: Timing) -> bool {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        gap > timing.probe * 2 + timing.suspect / 2
    }

    /// Whether suspicions are withheld. Ends the hold if a frame was received or a suspicion
    /// period has passed since it began.
    pub(super) fn withholds_suspicions(&mut self, now: Instant, timing: Timing) -> bool {
        let Some(hold) = self.hold else {
            return false;
        };
        if hold.frame_received || now.since(hold.since) >= timing.suspect {
            self.hold = None;
        }
        self.hold.is_some()
    }

    /// Probed members to suspect now: alive so far, but silent for the suspicion period.
    pub(super) fn newly_silent(
        &mut self,
        now: Instant,
        members: &BTreeMap<Arc<str>, Member>,
        timing: Timing,
    ) -> Vec<Arc<str>> {
        let is_silent = |(name, since): &(&Arc<str>, &Instant)| {
            let last_frame_at = members.get(*name).and_then(|member| member.last_frame_at);
            let from = last_frame_at.map_or(**since, |last_frame_at| last_frame_at.max(**since));
            now.since(from) >= timing.suspect
        };
        let names = self.probed.iter().filter(is_silent).map(|(name, _)| name);
        let silent: Vec<Arc<str>> = names.cloned().collect();
        let is_majority = silent.len() >= 2 && silent.len() * 2 > self.probed.len();
        let newly_silent: Vec<_> =
            silent.into_iter().filter(|name| is_alive(members, name)).collect();
        if newly_silent.is_empty() {
            return newly_silent;
        }
        let was_held = self.hold.is_some();
        if self.withholds_suspicions(now, timing) {
            return Vec::new();
        }
        if is_majority && !was_held {
            self.hold = Some(SuspicionHold { since: now, frame_received: false });
            return Vec::new();
        }
        newly_silent
    }

    /// Which end is at fault for a broken link: this instance while suspicions are withheld or if
    /// most links break within one suspicion period, otherwise the peer.
    pub(super) fn classify_link_loss(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        reachable: usize,
        timing: Timing,
    ) -> LinkFault {
        self.broken_links.retain(|_, at| now.since(*at) <= timing.suspect);
        self.broken_links.insert(Arc::clone(name), now);
        let is_majority = self.broken_links.len() >= 2 && self.broken_links.len() * 2 > reachable;
        if is_majority || self.withholds_suspicions(now, timing) {
            LinkFault::Own
        } else {
            LinkFault::Peer
        }
    }
}

fn is_alive(members: &BTreeMap<Arc<str>, Member>, name: &str) -> bool {
    members.get(name).is_some_and(|member| member.liveness == Liveness::Alive)
}
