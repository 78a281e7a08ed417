//! The machine: its state and the dispatch of events.

use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use super::attempt::Attempt;
use super::collect::{Collection, CollectionKey};
use super::crash::Crashes;
use super::event::{Action, AttemptKey, Event, LaneKey};
use super::kinds::Kinds;
use super::lane::Lane;
use super::portion::{Portion, PortionKey};
use super::random::Random;
use super::recent::Recent;
use super::record::Records;
use super::server::{Server, ServerKey};
use super::service::{Service, ServiceId};
use super::settings::Settings;
use super::siblings::{Siblings, SiblingsKey};
use super::timer::{Timer, Timers};
use super::warmup::Fleet;
use crate::collections::Map;
use crate::count::{self, Count};
use crate::time::Instant;
use crate::view::View;
use ladder_schema::outcome::Reason;

/// Between two rounds of periodic work on a service.
pub(super) const UPKEEP: Duration = Duration::from_secs(1);

/// One delivery of one portion.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Delivery {
    pub(super) from: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) query: u64,
    pub(super) round: u32,
    pub(super) service: String,
}

/// A query of one entry.
///
/// The entry's name belongs to it: entries that start in the same microsecond, as after a loss of
/// power or under a stopped clock, have equal incarnations and count their queries alike. Without
/// the name, what one of them gave up was refused to the other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Query {
    pub(super) from: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) number: u64,
}

/// A suspension of the process that has just ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gap {
    pub(super) ended: Instant,
    pub(super) length: Duration,
}

/// Owns services: for each one queue, its servers' slots and connections, hedges and retries.
///
/// Every portion of [`Event::Work`] gets exactly one [`Action::Reply`], before its budget ends.
#[derive(Debug)]
pub struct Machine {
    pub(super) settings: Settings,
    /// Time of the event at hand; never goes back.
    pub(super) now: Instant,
    pub(super) view: Arc<View>,
    pub(super) services: SlotMap<ServiceId, Service>,
    /// Invariant: holds exactly the keys of `services`.
    pub(super) service_ids: Map<Arc<str>, ServiceId>,
    pub(super) servers: SlotMap<ServerKey, Server>,
    /// Keys of the listed servers by name.
    pub(super) server_keys: Map<Arc<str>, ServerKey>,
    pub(super) lanes: SlotMap<LaneKey, Lane>,
    pub(super) portions: SlotMap<PortionKey, Portion>,
    pub(super) attempts: SlotMap<AttemptKey, Attempt>,
    /// Portions not replied to by query.
    pub(super) queries: Map<Query, Vec<PortionKey>>,
    pub(super) deliveries: Recent<Delivery>,
    /// Queries given up by their entry.
    ///
    /// A cancellation may overtake the work that it cancels. The entry then holds the query closed
    /// while the work would still run; the tombstone refuses it.
    pub(super) cancelled: Recent<Query>,
    pub(super) records: Records,
    /// Call times by kind of work over all services: what a service that is new here starts with.
    pub(super) kinds: Kinds,
    pub(super) collections: SlotMap<CollectionKey, Collection>,
    pub(super) siblings: SlotMap<SiblingsKey, Siblings>,
    pub(super) crashes: Crashes,
    /// Among whom the requests of servers that warm up are divided.
    pub(super) fleet: Fleet,
    pub(super) timers: Timers,
    pub(super) random: Random,
    /// Number of the last target request.
    pub(super) sequence: u64,
    pub(super) draining: bool,
    pub(super) gap: Option<Gap>,
    /// Services whose queue or servers changed in the event at hand.
    ///
    /// Invariant: holds exactly those whose `marked` is set, and some that are gone.
    pub(super) marked: Vec<ServiceId>,
}

impl Machine {
    /// A machine that knows of no service yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            now: Instant::default(),
            view: Arc::default(),
            services: SlotMap::with_key(),
            service_ids: Map::default(),
            servers: SlotMap::with_key(),
            server_keys: Map::default(),
            lanes: SlotMap::with_key(),
            portions: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            queries: Map::default(),
            deliveries: Recent::default(),
            cancelled: Recent::default(),
            records: Records::default(),
            kinds: Kinds::default(),
            collections: SlotMap::default(),
            siblings: SlotMap::default(),
            crashes: Crashes::default(),
            fleet: Fleet::default(),
            timers: Timers::default(),
            random: Random::new(settings.seed),
            sequence: 0,
            draining: false,
            gap: None,
            marked: Vec::new(),
            settings,
        }
    }

    /// Takes an event in and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let resumed = matches!(event, Event::Paused(_));
        if !resumed {
            self.fire(out);
        }
        self.take(event, out);
        self.fire(out);
        self.pump_marked(out);
        self.drop_stale_timers();
    }

    /// When [`Event::Tick`] is wanted at the latest.
    pub fn next_wake(&self) -> Option<Instant> {
        self.timers.peek().map(|(at, _)| at)
    }

    /// Portions that have not been replied to.
    pub fn open(&self) -> usize {
        self.portions.len()
    }

    fn take(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Work { from, incarnation, work } => self.work(from, incarnation, work, out),
            Event::Cancel { from, cancel } => self.cancel(from, &cancel, out),
            Event::Opened(lane) => self.opened(lane, out),
            Event::Closed(lane) => self.closed(lane, out),
            Event::Refused(lane) => self.lane_refused(lane, out),
            Event::Ended { attempt, outcome } => self.ended(attempt, outcome, out),
            Event::Load { server, load } => self.load(&server, load, out),
            Event::View(view) => self.refresh(&view, out),
            Event::Paused(gap) => self.resumed(gap, out),
            Event::Drain => self.draining = true,
            Event::Tick => {}
        }
    }

    /// Does what is due.
    fn fire(&mut self, out: &mut Vec<Action>) {
        while let Some((at, timer)) = self.timers.peek() {
            if at > self.now {
                break;
            }
            self.timers.pop();
            match timer {
                Timer::Deadline(portion) => self.deadline(portion, out),
                Timer::Late(portion) => self.late(portion, out),
                Timer::Hedge(portion) => self.hedge_due(portion),
                Timer::Pump(service) => self.resume(service, out),
                Timer::Upkeep(service) => self.upkeep(service, out),
                Timer::Abandon(attempt) => self.abandon(attempt, out),
                Timer::Collection(key) => self.collection_due(key, out),
            }
        }
    }

    /// Keeps `next_wake` from asking for ticks on behalf of closed portions.
    fn drop_stale_timers(&mut self) {
        while let Some((_, timer)) = self.timers.peek() {
            let stale = match timer {
                Timer::Deadline(portion) => !self.portions.contains_key(portion),
                Timer::Late(portion) => !self.waits(portion),
                Timer::Hedge(portion) => !self.portions.contains_key(portion),
                Timer::Abandon(attempt) => !self.attempts.contains_key(attempt),
                Timer::Collection(key) => !self.collections.contains_key(key),
                Timer::Pump(service) | Timer::Upkeep(service) => {
                    !self.services.contains_key(service)
                }
            };
            if !stale {
                break;
            }
            self.timers.pop();
        }
    }

    /// Notes that a service's queue or servers changed.
    pub(super) fn mark(&mut self, service: ServiceId) {
        let Some(found) = self.services.get_mut(service) else {
            return;
        };
        if !found.marked {
            found.marked = true;
            self.marked.push(service);
        }
    }

    pub(super) fn count(event: count::Event, reason: Reason, out: &mut Vec<Action>) {
        out.push(Action::Count(Count { event, reason }));
    }
}
