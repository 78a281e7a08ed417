//! Services for which this instance is a candidate.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::{catalogue, target};
use slotmap::new_key_type;

use super::admission::Admission;
use super::budget::{Allowance, Budget};
use super::kinds::{Kind, Kinds};
use super::peak::Peak;
use super::portion::PortionKey;
use super::queue::Queue;
use super::server::ServerKey;
use crate::average::Average;
use crate::control::placement::CANDIDATES;
use crate::time::Instant;
use crate::view;

new_key_type! {
    /// A service held by the machine, the same in all views.
    pub(super) struct ServiceId;
}

/// How long an instance counts as one that asks for others after it got work of them.
const ASKED: Duration = Duration::from_secs(5);
/// How long a service counts as asked for after work arrived.
const WANTED: Duration = Duration::from_secs(5);
/// Weight of one answer in what is held of a service's load.
const BUSY_WEIGHT: f64 = 0.05;

/// What this instance is to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// The first live candidate.
    Owner,
    /// The live candidate after the owner.
    Next,
    /// Another candidate.
    Spare,
    /// No candidate any more; calls in flight still end.
    None,
}

/// For whom an instance asks a service's servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Asker {
    ForAll,
    ForItself,
}

impl Rank {
    /// The rank of this instance in the view's service.
    pub(super) fn of(service: &view::Service) -> Self {
        if !service.is_candidate() {
            return Self::None;
        }
        let live = service.candidates.iter().filter(|candidate| candidate.live);
        match live.take(2).position(|candidate| candidate.local) {
            Some(0) => Self::Owner,
            Some(_) => Self::Next,
            None => Self::Spare,
        }
    }
}

/// A service for which this instance is or was a candidate.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) name: Arc<str>,
    pub(super) entry: Arc<catalogue::Entry>,
    pub(super) rank: Rank,
    /// Its servers, also unlisted ones with calls in flight.
    pub(super) servers: Vec<ServerKey>,
    pub(super) queue: Queue,
    /// Open calls, also those whose portion was replied to.
    pub(super) in_flight: u32,
    /// Call times over all servers.
    pub(super) kinds: Kinds,
    /// Work that its servers held of late over their slots; zero while none said.
    pub(super) busy: Average,
    /// Its queue or servers changed in the event at hand.
    pub(super) marked: bool,
    pub(super) budget: Budget,
    pub(super) admission: Admission,
    /// Portions whose hedge is due but has found no slot or no token yet, by time of sending.
    pub(super) overdue: BTreeSet<(Instant, PortionKey)>,
    /// Connections to one server that were needed at once of late.
    pub(super) peak: Peak,
    /// Next server in turn.
    pub(super) cursor: usize,
    /// One instance asks its servers for all.
    pub(super) scarce: bool,
    /// This instance may keep a connection to each of its servers that it has no work for.
    pub(super) spare: bool,
    /// One of several candidates asks its servers, the owner.
    owned: bool,
    /// What this instance may spend of what the fleet may.
    parts: Parts,
    /// When another instance last handed work over.
    asked: Option<Instant>,
    /// When work was last taken on.
    pub(super) last_work: Instant,
    /// When work last arrived, refused or not; `None` before.
    pub(super) wanted: Option<Instant>,
}

impl Service {
    /// A service as listed, at the instance of this name.
    pub(super) fn new(listed: &view::Service, own: &str, now: Instant) -> Self {
        Self {
            name: Arc::clone(&listed.name),
            entry: Arc::clone(&listed.entry),
            rank: Rank::of(listed),
            servers: Vec::new(),
            queue: Queue::default(),
            in_flight: 0,
            kinds: Kinds::default(),
            busy: Average::default(),
            marked: false,
            budget: Budget::new(Parts::of(listed, own).usual, now),
            admission: Admission::default(),
            overdue: BTreeSet::new(),
            peak: Peak::default(),
            cursor: 0,
            scarce: listed.scarce,
            spare: listed.spare,
            owned: listed.candidates.len() > 1,
            parts: Parts::of(listed, own),
            asked: None,
            last_work: Instant::default(),
            wanted: None,
        }
    }

    pub(super) fn limits(&self) -> catalogue::Limits {
        self.entry.limits.unwrap_or_default()
    }

    /// How long its servers may need to warm up.
    pub(super) fn warmup(&self) -> Duration {
        Duration::from_millis(self.limits().warmup_ms.into())
    }

    /// Whether this instance asks the servers for others, or for itself alone; `None` if another one does.
    pub(super) fn asks(&self) -> Option<Asker> {
        match (self.scarce, self.rank) {
            (true, _) if self.asked.is_some() => Some(Asker::ForAll),
            (true, _) => None,
            (false, Rank::Owner) if self.owned => Some(Asker::ForAll),
            (false, _) if self.owned => None,
            (false, _) => Some(Asker::ForItself),
        }
    }

    /// Takes a listing of the service in, at the instance of this name.
    pub(super) fn list(&mut self, listed: &view::Service, own: &str) {
        self.rank = Rank::of(listed);
        self.scarce = listed.scarce;
        self.spare = listed.spare;
        self.owned = listed.candidates.len() > 1;
        self.entry = Arc::clone(&listed.entry);
        self.parts = Parts::of(listed, own);
        self.divide();
    }

    /// Whether work arrived of late, refused or not.
    pub(super) fn is_wanted(&self, now: Instant) -> bool {
        self.wanted.is_some_and(|at| now.since(at) < WANTED)
    }

    /// Another instance hands work over.
    pub(super) fn asked(&mut self, now: Instant) {
        if self.asked.replace(now).is_none() {
            self.divide();
        }
    }

    /// Notes that nobody has handed work over for a while.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.asked.is_some_and(|at| now.since(at) >= ASKED) {
            self.asked = None;
            self.divide();
        }
    }

    fn divide(&mut self) {
        let asker = self.scarce && self.asked.is_some();
        self.budget.allow(if asker { self.parts.asker } else { self.parts.usual });
    }

    /// Takes in what a server said that it works on as it answered a call, which is among it.
    pub(super) fn occupied(&mut self, occupancy: target::Occupancy) {
        let work = occupancy.running.saturating_add(occupancy.waiting).saturating_sub(1);
        let busy = f64::from(work) / f64::from(occupancy.slots.max(1));
        self.busy.add(busy, BUSY_WEIGHT);
    }

    /// Takes a call time in.
    pub(super) fn learn(&mut self, kind: Kind, span: Duration) {
        let extra = self.limits().extra_percent;
        self.kinds.learn(kind, span, extra);
    }
}

/// What an instance may spend of the fleet's extra calls.
#[derive(Clone, Copy, Debug)]
struct Parts {
    /// As one of all instances.
    usual: Allowance,
    /// As one of the few that ask for all.
    asker: Allowance,
}

impl Parts {
    /// Where few ask for all, half of the fleet's extra calls is theirs and the other half is divided
    /// among all, so that together they spend no more than the whole.
    ///
    /// An asker makes nearly all calls of a service. With the part of one of sixty it had two extra calls,
    /// which are kept for retries: no slow call ever got a second copy.
    fn of(listed: &view::Service, own: &str) -> Self {
        let limits = listed.entry.limits.unwrap_or_default();
        let part = |sharers: u32| Allowance::of(&limits, sharers, [&listed.name, own]);
        let all = listed.sharers.saturating_mul(if listed.scarce { 2 } else { 1 });
        Self { usual: part(all), asker: part(2 * CANDIDATES as u32) }
    }
}
