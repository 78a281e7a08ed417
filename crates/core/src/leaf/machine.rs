//! State of the leaf machine and the dispatch of incoming events to their handlers.

use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use super::aggregate::{Aggregation, AggregationKey};
use super::attempt::Attempt;
use super::connection::Connection;
use super::crash::Crashes;
use super::event::{Action, AttemptKey, ConnectionKey, Event};
use super::kinds::CallTimesByKind;
use super::portion::{Portion, PortionKey};
use super::random::Random;
use super::recent::Recent;
use super::record::Records;
use super::server::{Server, ServerKey};
use super::service::{Service, ServiceId};
use super::settings::Settings;
use super::siblings::{Siblings, SiblingsKey};
use super::timer::{Timer, Timers};
use super::warmup::KnownInstances;
use crate::collections::Map;
use crate::count::{self, Count};
use crate::time::Instant;
use crate::view::View;
use ladder_schema::outcome::Reason;

/// Interval between two rounds of periodic maintenance of a service.
pub(super) const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Identity of one delivery of one portion, for dropping duplicate deliveries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Delivery {
    pub(super) from: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) query: u64,
    pub(super) round: u32,
    pub(super) service: String,
}

/// Identity of a query: its entry instance, that instance's incarnation and the query's number.
///
/// The entry instance's name is part of the identity because incarnations are start times in
/// microseconds: instances that start in the same microsecond, as after a power loss or with a
/// stopped clock, have equal incarnations and number their queries alike. Without the name, a query
/// cancelled by one of these instances would be refused to the other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Query {
    pub(super) from: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) number: u64,
}

/// The most recent pause of the process: when the pause ended and how long it lasted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pause {
    pub(super) ended: Instant,
    pub(super) length: Duration,
}

/// State machine that owns services: for each service it keeps the queue, the slots and pooled
/// connections of the servers, hedges and retries.
///
/// Every portion of [`Event::Work`] gets exactly one [`Action::Reply`], before its budget ends.
#[derive(Debug)]
pub struct Machine {
    pub(super) settings: Settings,
    /// Time of the event being handled; never decreases.
    pub(super) now: Instant,
    pub(super) view: Arc<View>,
    pub(super) services: SlotMap<ServiceId, Service>,
    /// Keys of the services by name. Invariant: contains exactly the keys of `services`.
    pub(super) service_ids: Map<Arc<str>, ServiceId>,
    pub(super) servers: SlotMap<ServerKey, Server>,
    /// Keys of the servers in the current view, by server name.
    pub(super) server_keys: Map<Arc<str>, ServerKey>,
    pub(super) connections: SlotMap<ConnectionKey, Connection>,
    pub(super) portions: SlotMap<PortionKey, Portion>,
    pub(super) attempts: SlotMap<AttemptKey, Attempt>,
    /// Portions without a reply yet, by query.
    pub(super) queries: Map<Query, Vec<PortionKey>>,
    pub(super) recent_deliveries: Recent<Delivery>,
    /// Queries that their entry instance cancelled.
    ///
    /// A cancellation may overtake the work that it cancels. The entry then considers the query
    /// closed, while the work that arrives later would still run; this tombstone makes the machine
    /// refuse that work.
    pub(super) cancelled_queries: Recent<Query>,
    pub(super) records: Records,
    /// Call times by kind of work over all services: the initial estimate for a service that this
    /// instance has no samples of yet.
    pub(super) call_times: CallTimesByKind,
    pub(super) aggregations: SlotMap<AggregationKey, Aggregation>,
    pub(super) siblings: SlotMap<SiblingsKey, Siblings>,
    pub(super) crashes: Crashes,
    /// Instances among which the request rate of servers in warm-up is divided.
    pub(super) known_instances: KnownInstances,
    pub(super) timers: Timers,
    pub(super) random: Random,
    /// Number of the most recent target request.
    pub(super) sequence: u64,
    pub(super) draining: bool,
    pub(super) last_pause: Option<Pause>,
    /// Services whose queue or servers changed while the current event was handled.
    ///
    /// Invariant: contains every service whose `is_changed` flag is set, and possibly services that
    /// have been removed.
    pub(super) changed_services: Vec<ServiceId>,
}

impl Machine {
    /// Creates a machine without services.
    pub fn new(settings: Settings) -> Self {
        Self {
            now: Instant::default(),
            view: Arc::default(),
            services: SlotMap::with_key(),
            service_ids: Map::default(),
            servers: SlotMap::with_key(),
            server_keys: Map::default(),
            connections: SlotMap::with_key(),
            portions: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            queries: Map::default(),
            recent_deliveries: Recent::default(),
            cancelled_queries: Recent::default(),
            records: Records::default(),
            call_times: CallTimesByKind::default(),
            aggregations: SlotMap::default(),
            siblings: SlotMap::default(),
            crashes: Crashes::default(),
            known_instances: KnownInstances::default(),
            timers: Timers::default(),
            random: Random::new(settings.seed),
            sequence: 0,
            draining: false,
            last_pause: None,
            changed_services: Vec::new(),
            settings,
        }
    }

    /// Handles an event at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let is_resume = matches!(event, Event::Paused(_));
        if !is_resume {
            self.run_due_timers(out);
        }
        self.dispatch_event(event, out);
        self.run_due_timers(out);
        self.dispatch_changed(out);
        self.drop_stale_timers();
    }

    /// Latest time at which the machine needs the next [`Event::Tick`]; `None` if no timer is set.
    pub fn next_wake(&self) -> Option<Instant> {
        self.timers.peek().map(|(at, _)| at)
    }

    /// Number of portions without a reply yet.
    pub fn open(&self) -> usize {
        self.portions.len()
    }

    fn dispatch_event(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Work { from, incarnation, work } => self.recv_work(from, incarnation, work, out),
            Event::Cancel { from, cancel } => self.handle_cancel(from, &cancel, out),
            Event::Opened(connection) => self.connection_opened(connection, out),
            Event::Closed(connection) => self.closed(connection, out),
            Event::Refused(connection) => self.connection_refused(connection, out),
            Event::Ended { attempt, outcome } => self.handle_call_end(attempt, outcome, out),
            Event::Load { server, load } => self.handle_load_report(&server, load, out),
            Event::View(view) => self.handle_view(&view, out),
            Event::Paused(length) => self.handle_pause(length, out),
            Event::Drain => self.draining = true,
            Event::Tick => {}
        }
    }

    /// Runs the handlers of all timers that are due.
    fn run_due_timers(&mut self, out: &mut Vec<Action>) {
        while let Some((at, timer)) = self.timers.peek() {
            if at > self.now {
                break;
            }
            self.timers.pop();
            match timer {
                Timer::Deadline(portion) => self.refuse_at_deadline(portion, out),
                Timer::Late(portion) => self.refuse_if_too_late(portion, out),
                Timer::Hedge(portion) => self.hedge_due(portion),
                Timer::Dispatch(service) => self.resume_service(service, out),
                Timer::Maintenance(service) => self.maintain_service(service, out),
                Timer::Abandon(attempt) => self.abandon_call(attempt, out),
                Timer::CrashReport => self.report_crashes(out),
                Timer::Aggregation(key) => self.aggregation_due(key, out),
            }
        }
    }

    /// Removes timers of closed portions and ended calls from the top of the heap, so that
    /// `next_wake` doesn't request ticks for them.
    fn drop_stale_timers(&mut self) {
        while let Some((_, timer)) = self.timers.peek() {
            let is_stale = match timer {
                Timer::Deadline(portion) => !self.portions.contains_key(portion),
                Timer::Late(portion) => !self.is_queued(portion),
                Timer::Hedge(portion) => !self.portions.contains_key(portion),
                Timer::Abandon(attempt) => !self.attempts.contains_key(attempt),
                Timer::Aggregation(key) => !self.aggregations.contains_key(key),
                Timer::CrashReport => !self.crashes.has_pending(),
                Timer::Dispatch(service) | Timer::Maintenance(service) => {
                    !self.services.contains_key(service)
                }
            };
            if !is_stale {
                break;
            }
            self.timers.pop();
        }
    }

    /// Marks a service whose queue or servers changed, so that its queue is processed at the end of
    /// the event.
    pub(super) fn mark_changed(&mut self, service: ServiceId) {
        let Some(entry) = self.services.get_mut(service) else {
            return;
        };
        if !entry.is_changed {
            entry.is_changed = true;
            self.changed_services.push(service);
        }
    }

    pub(super) fn count(event: count::Event, reason: Reason, out: &mut Vec<Action>) {
        out.push(Action::Count(Count { event, reason }));
    }
}
