//! Silence of the probed neighbours, and when it is this instance's own fault.

use std::collections::BTreeMap;
use std::sync::Arc;

use ladder_schema::wire::Liveness;

use super::Member;
use crate::control::settings::Timing;
use crate::time::Instant;

/// Whose fault a broken link is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Blame {
    /// The peer's.
    Peer,
    /// This instance's.
    Own,
}

/// Suspicions are withheld.
#[derive(Clone, Copy, Debug)]
struct Hold {
    since: Instant,
    /// A frame has come since.
    answered: bool,
}

/// Which neighbours are silent, and whether that can be believed.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    /// Probed members with the time from which their silence counts.
    neighbours: BTreeMap<Arc<str>, Instant>,
    /// Silence of most neighbours at once, or a suspension, puts the blame on this instance: its
    /// link is down or it did not run. It shows as a flood of suspects. No suspicion is raised
    /// until a frame proves that others can be heard, or a full window has passed in which this
    /// instance did run.
    hold: Option<Hold>,
    /// Members whose link broke within the last window. Named, as one lost peer may be dialled and
    /// lost many times.
    broken: BTreeMap<Arc<str>, Instant>,
    last_tick: Instant,
}

impl Watch {
    /// Watches nobody yet.
    pub(super) const fn new(now: Instant) -> Self {
        Self { neighbours: BTreeMap::new(), hold: None, broken: BTreeMap::new(), last_tick: now }
    }

    /// Names of the probed members.
    pub(super) fn neighbours(&self) -> impl Iterator<Item = &Arc<str>> {
        self.neighbours.keys()
    }

    /// Probes these members from now on; for those probed already, silence counts on.
    pub(super) fn set_neighbours(&mut self, now: Instant, names: Vec<Arc<str>>) {
        let old = std::mem::take(&mut self.neighbours);
        for name in names {
            let since = old.get(&name).copied().unwrap_or(now);
            self.neighbours.insert(name, since);
        }
    }

    /// A frame of some peer came.
    pub(super) const fn answered(&mut self) {
        if let Some(hold) = &mut self.hold {
            hold.answered = true;
        }
    }

    /// Counts all silences from now and withholds suspicions.
    pub(super) fn resumed(&mut self, now: Instant) {
        for since in self.neighbours.values_mut() {
            *since = now;
        }
        self.broken.clear();
        self.hold = Some(Hold { since: now, answered: false });
        self.last_tick = now;
    }

    /// Whether this tick comes so late that this instance cannot have listened meanwhile.
    pub(super) fn overslept(&mut self, now: Instant, timing: Timing) -> bool {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        gap > timing.probe * 2 + timing.suspect / 2
    }

    /// Whether suspicions are withheld.
    pub(super) fn is_held(&mut self, now: Instant, timing: Timing) -> bool {
        let Some(hold) = self.hold else {
            return false;
        };
        if hold.answered || now.since(hold.since) >= timing.suspect {
            self.hold = None;
        }
        self.hold.is_some()
    }

    /// Neighbours to suspect now.
    pub(super) fn suspects(
        &mut self,
        now: Instant,
        members: &BTreeMap<Arc<str>, Member>,
        timing: Timing,
    ) -> Vec<Arc<str>> {
        let silent = |(name, since): &(&Arc<str>, &Instant)| {
            let heard = members.get(*name).and_then(|member| member.heard);
            let from = heard.map_or(**since, |heard| heard.max(**since));
            now.since(from) >= timing.suspect
        };
        let names = self.neighbours.iter().filter(silent).map(|(name, _)| name);
        let silent: Vec<Arc<str>> = names.cloned().collect();
        let flood = silent.len() >= 2 && silent.len() * 2 > self.neighbours.len();
        let fresh: Vec<_> = silent.into_iter().filter(|name| is_alive(members, name)).collect();
        if fresh.is_empty() {
            return fresh;
        }
        let was_held = self.hold.is_some();
        if self.is_held(now, timing) {
            return Vec::new();
        }
        if flood && !was_held {
            self.hold = Some(Hold { since: now, answered: false });
            return Vec::new();
        }
        fresh
    }

    /// Whose fault a broken link is: this instance's while suspicions are withheld, and when most
    /// links break within one window.
    pub(super) fn link_broke(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        reachable: usize,
        timing: Timing,
    ) -> Blame {
        self.broken.retain(|_, at| now.since(*at) <= timing.suspect);
        self.broken.insert(Arc::clone(name), now);
        let flood = self.broken.len() >= 2 && self.broken.len() * 2 > reachable;
        if flood || self.is_held(now, timing) { Blame::Own } else { Blame::Peer }
    }
}

fn is_alive(members: &BTreeMap<Arc<str>, Member>, name: &str) -> bool {
    members.get(name).is_some_and(|member| member.liveness == Liveness::Alive)
}
