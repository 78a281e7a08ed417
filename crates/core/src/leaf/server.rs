//! Servers (targets) of the services that this instance is a candidate for.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::publication::Holding;
use ladder_schema::target;
use slotmap::new_key_type;

use super::breaker::Breaker;
use super::crash::{LostCall, ReportedTermination};
use super::event::{AttemptKey, ConnectionKey};
use super::exclusion::{Exclusion, Facts};
use super::health::Health;
use super::preference::OtherCalls;
use super::service::ServiceId;
use super::warmup::Warmup;
use crate::average::MovingAverage;
use crate::eligible::ServerHash;
use crate::time::Instant;
use crate::view;

new_key_type! {
    /// Key of a server of one of the machine's services.
    pub(super) struct ServerKey;
}

/// Age from which on a load report is ignored.
const REPORT_MAX_AGE: Duration = Duration::from_secs(5);
/// Time for which a server's refusal of an index version as retired overrides the published
/// versions.
const RETIRED_MAX_AGE: Duration = Duration::from_secs(5);

/// State of one server (target).
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) service: ServiceId,
    pub(super) name: Arc<str>,
    pub(super) address: Arc<str>,
    pub(super) zone: Arc<str>,
    /// Hash of the server's name that identifies the server in messages between instances.
    pub(super) name_hash: ServerHash,
    /// Whether the current view contains the server with this address. New work goes to listed
    /// servers only.
    pub(super) listed: bool,
    /// Whether the server's availability zone is evacuated.
    evacuated: bool,
    pub(super) warmup: Warmup,
    /// Highest incarnation of the server that any source reported.
    pub(super) incarnation: u64,
    /// Highest incarnation of the server that some source reported as leaving.
    ///
    /// Sources lag behind each other. If the latest message decided, a stale list would send new
    /// work to a server that has itself reported that it is leaving. Only a newer incarnation
    /// resets this state.
    leaving: Option<u64>,
    pub(super) slots: u32,
    /// Connection share: number of connections that this instance may have to the server.
    /// Invariant: no connection is opened while `connections` contains this many.
    pub(super) share: u32,
    holdings: Vec<Holding>,
    /// Index versions that the server refused as retired, with the time of the refusal.
    retired: Vec<(Holding, Instant)>,
    report: Option<(Instant, target::Load)>,
    pub(super) health: Health,
    /// Requests of other instances at the server.
    pub(super) other_calls: OtherCalls,
    /// Moving average of the share of the slots that other instances occupy; `None` until an answer
    /// reports an occupancy.
    pub(super) foreign: Option<MovingAverage>,
    pub(super) connections: Vec<ConnectionKey>,
    /// Number of open calls at the server, including calls whose portion already has a reply.
    pub(super) in_flight: u32,
    /// Number of consecutive failures to open a connection.
    pub(super) open_failures: u32,
    /// Time before which no connection to the server is opened.
    pub(super) reopen_at: Instant,
    /// Earliest time of the next load report request.
    pub(super) probe_at: Instant,
    /// Connection of the most recent load report request.
    pub(super) probe_connection: Option<ConnectionKey>,
    /// Calls to cancel as soon as a connection is idle.
    pub(super) queued_cancels: VecDeque<AttemptKey>,
    /// Which connections calls may use after one has broken.
    pub(super) breaker: Breaker,
    /// Requests whose calls broke off recently, each request once, oldest first.
    pub(super) lost_calls: Vec<LostCall>,
    /// Reported termination of a process of this server; `None` if none was reported.
    pub(super) reported_termination: Option<ReportedTermination>,
}

impl Server {
    pub(super) fn new(
        now: Instant,
        service: ServiceId,
        listed: &view::Server,
        warmup: Duration,
    ) -> Self {
        let mut server = Self {
            service,
            name: Arc::clone(&listed.name),
            address: Arc::clone(&listed.address),
            zone: Arc::clone(&listed.zone),
            name_hash: ServerHash::of(&listed.name),
            listed: true,
            evacuated: false,
            warmup: Warmup::default(),
            incarnation: 0,
            leaving: None,
            slots: 0,
            share: 0,
            holdings: Vec::new(),
            retired: Vec::new(),
            report: None,
            health: Health::default(),
            other_calls: OtherCalls::default(),
            foreign: None,
            connections: Vec::new(),
            in_flight: 0,
            open_failures: 0,
            reopen_at: Instant::default(),
            probe_at: Instant::default(),
            probe_connection: None,
            queued_cancels: VecDeque::new(),
            breaker: Breaker::default(),
            lost_calls: Vec::new(),
            reported_termination: None,
        };
        server.update_from_view(now, listed, warmup);
        server
    }

    /// Updates the server from a view; `warmup` is the maximum warm-up time of servers of the
    /// service.
    pub(super) fn update_from_view(
        &mut self,
        now: Instant,
        listed: &view::Server,
        warmup: Duration,
    ) {
        self.listed = true;
        self.warmup.update_published(now, listed.warmup);
        if self.evacuated && !listed.evacuated {
            self.warmup.restart(now, warmup);
        }
        self.slots = listed.slots;
        self.share = listed.share;
        self.evacuated = listed.evacuated;
        self.holdings.clone_from(&listed.holdings);
        self.start(listed.incarnation);
        if listed.leaving {
            self.mark_leaving(listed.incarnation);
        }
    }

    /// Stores a load report; a report of an earlier incarnation is dropped.
    pub(super) fn report(&mut self, now: Instant, load: target::Load) {
        if load.incarnation != 0 && load.incarnation < self.incarnation {
            return;
        }
        self.start(load.incarnation);
        if load.leaving {
            self.mark_leaving(self.incarnation);
        }
        self.report = Some((now, load));
    }

    /// Resets the state observed of an earlier incarnation when a newer one is reported.
    fn start(&mut self, incarnation: u64) {
        if incarnation <= self.incarnation {
            return;
        }
        self.incarnation = incarnation;
        self.health = Health::default();
        self.report = None;
        self.retired.clear();
    }

    /// Records that some source reported this incarnation as leaving.
    pub(super) fn mark_leaving(&mut self, incarnation: u64) {
        self.leaving = self.leaving.max(Some(incarnation));
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.is_some_and(|leaving| leaving >= self.incarnation)
    }

    /// Reason why the server gets no new work; `None` if it may get work. `at_warmup_limit`: the
    /// server is in warm-up and this instance has used up its request rate.
    pub(super) fn exclusion(&self, at_warmup_limit: bool) -> Option<Exclusion> {
        let facts = Facts {
            listed: self.listed,
            share: self.share,
            leaving: self.is_leaving(),
            evacuated: self.evacuated,
            at_warmup_limit,
        };
        facts.exclusion()
    }

    /// Whether the server may get new work, warm-up rate limits aside.
    pub(super) fn accepts_work(&self) -> bool {
        self.exclusion(false).is_none()
    }

    /// Records that the server refused this index version as retired.
    pub(super) fn retire(&mut self, now: Instant, index: &str, version: u64) {
        self.retired.retain(|(_, at)| now.since(*at) < RETIRED_MAX_AGE);
        let holding = Holding { index: index.to_owned(), version };
        self.retired.push((holding, now));
    }

    /// Whether the server serves an index version, according to the publication or a fresh load
    /// report.
    pub(super) fn serves_version(&self, now: Instant, index: &str, version: u64) -> bool {
        let is_version = |holding: &Holding| holding.version == version && holding.index == index;
        let is_fresh = |at: &Instant| now.since(*at) < RETIRED_MAX_AGE;
        if self.retired.iter().any(|(holding, at)| is_version(holding) && is_fresh(at)) {
            return false;
        }
        let is_reported =
            self.fresh_load_report(now).is_some_and(|load| load.holdings.iter().any(is_version));
        is_reported || self.holdings.iter().any(is_version)
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.fresh_load_report(now).is_some_and(|load| load.cold)
    }

    /// Number of requests that the server may run concurrently; a cold server gets half its slots.
    pub(super) fn capacity(&self, now: Instant) -> u32 {
        match self.is_cold(now) {
            true => (self.slots / 2).max(1),
            false => self.slots.max(1),
        }
    }

    /// The latest load report, unless older than [`REPORT_MAX_AGE`].
    pub(super) fn fresh_load_report(&self, now: Instant) -> Option<&target::Load> {
        let (at, load) = self.report.as_ref()?;
        (now.since(*at) < REPORT_MAX_AGE).then_some(load)
    }

    /// Age of the latest load report.
    pub(super) fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report.as_ref().map(|(at, _)| now.since(*at))
    }
}
