//! Services that this instance is a candidate for.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::{catalogue, target};
use slotmap::new_key_type;

use super::admission::Admission;
use super::budget::{Allowance, Budget};
use super::kinds::{CallTimesByKind, WorkKind};
use super::peak::Peak;
use super::portion::PortionKey;
use super::queue::Queue;
use super::server::ServerKey;
use super::settings::Settings;
use crate::admission::Capacity;
use crate::average::MovingAverage;
use crate::control::placement::{self, LimitPart};
use crate::time::Instant;
use crate::view;

new_key_type! {
    /// Key of a service in the leaf machine; the key stays the same across views.
    pub(super) struct ServiceId;
}

/// Time after receiving work from another instance for which this instance is considered to send a
/// service's work on behalf of others.
const HANDOVER_MEMORY: Duration = Duration::from_secs(5);
/// Time after the arrival of work for which a service is considered in demand.
const DEMAND_MEMORY: Duration = Duration::from_secs(5);
/// Weight of one answer in the moving average of a service's load.
const LOAD_WEIGHT: f64 = 0.05;

/// Role of this instance for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// This instance is the owner: the first live candidate.
    Owner,
    /// This instance is the first fallback owner: the live candidate after the owner.
    FirstFallback,
    /// This instance is another candidate.
    OtherCandidate,
    /// This instance is no longer a candidate; its calls in flight are still completed.
    None,
}

/// On whose behalf an instance sends work to a service's servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sender {
    ForAll,
    ForItself,
}

impl Role {
    /// Role of this instance for the service, according to the view.
    pub(super) fn of(service: &view::Service) -> Self {
        if !service.is_candidate() {
            return Self::None;
        }
        let live = service.candidates.iter().filter(|candidate| candidate.live);
        match live.take(2).position(|candidate| candidate.local) {
            Some(0) => Self::Owner,
            Some(_) => Self::FirstFallback,
            None => Self::OtherCandidate,
        }
    }
}

/// State of a service that this instance is or was a candidate for.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) name: Arc<str>,
    pub(super) entry: Arc<catalogue::Entry>,
    pub(super) role: Role,
    /// Servers of the service, including unlisted ones with calls in flight.
    pub(super) servers: Vec<ServerKey>,
    pub(super) queue: Queue,
    /// Number of the service's open calls, including calls whose portion already has a reply.
    pub(super) in_flight: u32,
    /// Call times by kind of work over all servers of the service.
    pub(super) call_times: CallTimesByKind,
    /// Moving average of the servers' running and waiting requests divided by their slots; zero
    /// until an answer reports an occupancy.
    pub(super) busy: MovingAverage,
    /// Whether the service's queue or servers changed while the current event was handled.
    pub(super) is_changed: bool,
    pub(super) budget: Budget,
    pub(super) admission: Admission,
    /// Counts of the offered work, from which the admissible share of the sweeps follows.
    pub(super) capacity: Capacity,
    /// Portions whose hedge is due but has found no free slot or no budget yet, by time of the
    /// first call.
    pub(super) due_hedges: BTreeSet<(Instant, PortionKey)>,
    /// Recent maximum of concurrent connections needed to one server.
    pub(super) peak: Peak,
    /// Latest time until which portions wait for a server of this instance's zone that is full.
    pub(super) yields_until: Instant,
    /// Index of the server that is considered first for the next call.
    pub(super) cursor: usize,
    /// Whether the servers accept too few connections for every instance: one instance then sends
    /// all work of the service.
    pub(super) has_few_connections: bool,
    /// Whether this instance may keep a connection without work to each server of the service.
    pub(super) keeps_idle_connection: bool,
    /// Whether the service has several candidates, of which only the owner sends work to the
    /// servers.
    owned: bool,
    /// This instance's share of the fleet's budget for extra calls.
    extra_call_shares: ExtraCallShares,
    /// Time at which another instance last handed over work; `None` if it expired.
    last_handover: Option<Instant>,
    /// Time at which work was last accepted.
    pub(super) last_accepted: Instant,
    /// Time at which work last arrived, refused or not; `None` before the first.
    pub(super) last_arrival: Option<Instant>,
}

impl Service {
    /// Creates a service from its view.
    pub(super) fn new(listed: &view::Service, settings: &Settings, now: Instant) -> Self {
        let extra_call_shares = ExtraCallShares::of(listed, settings);
        Self {
            name: Arc::clone(&listed.name),
            entry: Arc::clone(&listed.entry),
            role: Role::of(listed),
            servers: Vec::new(),
            queue: Queue::default(),
            in_flight: 0,
            call_times: CallTimesByKind::default(),
            busy: MovingAverage::default(),
            is_changed: false,
            budget: Budget::new(extra_call_shares.one_of_all, now),
            admission: Admission::default(),
            capacity: Capacity::default(),
            due_hedges: BTreeSet::new(),
            peak: Peak::default(),
            yields_until: Instant::default(),
            cursor: 0,
            has_few_connections: listed.has_few_connections,
            keeps_idle_connection: listed.keeps_idle_connection,
            owned: listed.candidates.len() > 1,
            extra_call_shares,
            last_handover: None,
            last_accepted: Instant::default(),
            last_arrival: None,
        }
    }

    pub(super) fn limits(&self) -> catalogue::Limits {
        self.entry.limits.unwrap_or_default()
    }

    /// Maximum warm-up time of the service's servers.
    pub(super) fn warmup(&self) -> Duration {
        Duration::from_millis(self.limits().warmup_ms.into())
    }

    /// On whose behalf this instance sends work to the service's servers: for all instances or for
    /// itself alone; `None` if another instance sends the work.
    pub(super) fn sender(&self) -> Option<Sender> {
        match (self.has_few_connections, self.role) {
            (true, _) if self.last_handover.is_some() => Some(Sender::ForAll),
            (true, _) => None,
            (false, Role::Owner) if self.owned => Some(Sender::ForAll),
            (false, _) if self.owned => None,
            (false, _) => Some(Sender::ForItself),
        }
    }

    /// Updates the service from a view.
    pub(super) fn update_from_view(&mut self, listed: &view::Service, settings: &Settings) {
        self.role = Role::of(listed);
        self.has_few_connections = listed.has_few_connections;
        self.keeps_idle_connection = listed.keeps_idle_connection;
        self.owned = listed.candidates.len() > 1;
        self.entry = Arc::clone(&listed.entry);
        self.extra_call_shares = ExtraCallShares::of(listed, settings);
        self.apply_extra_call_share();
    }

    /// Whether work arrived within [`DEMAND_MEMORY`], refused or not.
    pub(super) fn has_demand(&self, now: Instant) -> bool {
        self.last_arrival.is_some_and(|at| now.since(at) < DEMAND_MEMORY)
    }

    /// Records that another instance handed over work.
    pub(super) fn record_handover(&mut self, now: Instant) {
        if self.last_handover.replace(now).is_none() {
            self.apply_extra_call_share();
        }
    }

    /// Ends this instance's role of sending work for others when no instance has handed over work
    /// for [`HANDOVER_MEMORY`].
    pub(super) fn expire_handover(&mut self, now: Instant) {
        if self.last_handover.is_some_and(|at| now.since(at) >= HANDOVER_MEMORY) {
            self.last_handover = None;
            self.apply_extra_call_share();
        }
    }

    fn apply_extra_call_share(&mut self) {
        let sends_for_all = self.has_few_connections && self.last_handover.is_some();
        self.budget.set_allowance(if sends_for_all {
            self.extra_call_shares.sends_for_all
        } else {
            self.extra_call_shares.one_of_all
        });
    }

    /// Updates the service's load from the occupancy that a server reported with its answer; the
    /// answered call is counted in that occupancy and subtracted.
    pub(super) fn occupied(&mut self, occupancy: target::Occupancy) {
        let other_requests = occupancy.running.saturating_add(occupancy.waiting).saturating_sub(1);
        let load = f64::from(other_requests) / f64::from(occupancy.slots.max(1));
        self.busy.add(load, LOAD_WEIGHT);
    }

    /// Adds a call time to the service's estimates.
    pub(super) fn record_call_time(&mut self, kind: WorkKind, span: Duration) {
        let extra = self.limits().extra_percent;
        self.call_times.record_call_time(kind, span, extra);
    }
}

/// This instance's shares of the fleet's budget for extra calls.
#[derive(Clone, Copy, Debug)]
struct ExtraCallShares {
    /// Share of this instance as one of all instances.
    one_of_all: Allowance,
    /// Share of this instance while it sends the service's work for all instances.
    sends_for_all: Allowance,
}

impl ExtraCallShares {
    /// Where few instances send the work of all, half of the fleet's extra calls is theirs and the
    /// other half is divided among all instances, so that together they spend no more than the
    /// whole.
    ///
    /// An instance that sends the work of all makes nearly all calls of a service. With the share
    /// of one of sixty instances it had two extra calls, which are reserved for retries: no slow
    /// call was ever hedged.
    ///
    /// Bound: at most [`placement::sender_count`] instances send the work of all at a time, two
    /// for each zone with zonal aggregation, and each of them may spend one part of their half.
    fn of(listed: &view::Service, settings: &Settings) -> Self {
        let limits = listed.entry.limits.unwrap_or_default();
        let share_of = |part: LimitPart| Allowance::of(&limits, part, &listed.name);
        let zones = listed.servers.iter().map(|server| &*server.zone);
        let senders = placement::sender_count(settings.is_zonal, zones);
        let halves = if listed.has_few_connections { 2 } else { 1 };
        Self {
            one_of_all: share_of(listed.limit_part.divided(halves)),
            sends_for_all: share_of(LimitPart::default().divided(2 * senders)),
        }
    }
}
