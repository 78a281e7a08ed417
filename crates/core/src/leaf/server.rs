//! Targets of owned services.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::publication::Holding;
use ladder_schema::target;
use slotmap::new_key_type;

use super::crash::{Loss, Suspicion};
use super::event::{AttemptKey, LaneKey};
use super::exclusion::{Exclusion, Facts};
use super::health::Health;
use super::service::ServiceId;
use super::warmup::Warmup;
use crate::eligible::Mark;
use crate::time::Instant;
use crate::view;

new_key_type! {
    /// A server of an owned service.
    pub(super) struct ServerKey;
}

/// Age at which a load report says nothing any more.
const REPORT_AGE: Duration = Duration::from_secs(5);
/// How long a refusal for a retired version outweighs what is published.
const RETIRED_AGE: Duration = Duration::from_secs(5);

/// A target.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) service: ServiceId,
    pub(super) name: Arc<str>,
    pub(super) address: Arc<str>,
    pub(super) zone: Arc<str>,
    /// Stands for it in messages between instances.
    pub(super) mark: Mark,
    /// In the view with this address. New work goes to listed servers only.
    pub(super) listed: bool,
    /// Its availability zone is evacuated.
    evacuated: bool,
    pub(super) warmup: Warmup,
    /// Highest incarnation any source named.
    pub(super) incarnation: u64,
    /// Highest incarnation that some source called leaving.
    ///
    /// Sources lag. Were the latest one to win, a stale list would send new work to a server that
    /// has said itself that it leaves. Only a newer incarnation lifts it.
    leaving: Option<u64>,
    pub(super) slots: u32,
    /// Invariant: no connection is opened while `lanes` has this many.
    pub(super) share: u32,
    holdings: Vec<Holding>,
    /// Versions that the server refused as retired, and when.
    retired: Vec<(Holding, Instant)>,
    report: Option<(Instant, target::Load)>,
    pub(super) health: Health,
    pub(super) lanes: Vec<LaneKey>,
    /// Open calls, also those whose portion was replied to.
    pub(super) in_flight: u32,
    /// Connections in a row that could not be opened.
    pub(super) open_failures: u32,
    /// No connection is opened before.
    pub(super) reopen_at: Instant,
    /// The next question for a load report.
    pub(super) probe_at: Instant,
    /// The connection of the last question for a load report.
    pub(super) probe_lane: Option<LaneKey>,
    /// Calls to cancel as soon as a lane is idle.
    pub(super) cancels: VecDeque<AttemptKey>,
    /// Calls that broke off lately, each request once, oldest first.
    pub(super) losses: Vec<Loss>,
    /// What is said of the end of its incarnation.
    pub(super) suspicion: Option<Suspicion>,
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
            mark: Mark::of(&listed.name),
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
            lanes: Vec::new(),
            in_flight: 0,
            open_failures: 0,
            reopen_at: Instant::default(),
            probe_at: Instant::default(),
            probe_lane: None,
            cancels: VecDeque::new(),
            losses: Vec::new(),
            suspicion: None,
        };
        server.list(now, listed, warmup);
        server
    }

    /// Takes in what a view says; `warmup` is how long servers of its service may need to warm up.
    pub(super) fn list(&mut self, now: Instant, listed: &view::Server, warmup: Duration) {
        self.listed = true;
        self.warmup.publish(now, listed.warmup);
        if self.evacuated && !listed.evacuated {
            self.warmup.restart(now, warmup);
        }
        self.slots = listed.slots;
        self.share = listed.share;
        self.evacuated = listed.evacuated;
        self.holdings.clone_from(&listed.holdings);
        self.start(listed.incarnation);
        if listed.leaving {
            self.leave(listed.incarnation);
        }
    }

    /// Takes in a load report; one of an earlier incarnation is dropped.
    pub(super) fn report(&mut self, now: Instant, load: target::Load) {
        if load.incarnation != 0 && load.incarnation < self.incarnation {
            return;
        }
        self.start(load.incarnation);
        if load.leaving {
            self.leave(self.incarnation);
        }
        self.report = Some((now, load));
    }

    /// Forgets what was known of an earlier incarnation.
    fn start(&mut self, incarnation: u64) {
        if incarnation <= self.incarnation {
            return;
        }
        self.incarnation = incarnation;
        self.health = Health::default();
        self.report = None;
        self.retired.clear();
    }

    /// Some source says that this incarnation leaves.
    pub(super) fn leave(&mut self, incarnation: u64) {
        self.leaving = self.leaving.max(Some(incarnation));
    }

    pub(super) fn leaving(&self) -> bool {
        self.leaving.is_some_and(|leaving| leaving >= self.incarnation)
    }

    /// Why it gets no new work; `None` if it may. `spent`: it warms up and may get no more for now.
    pub(super) fn exclusion(&self, spent: bool) -> Option<Exclusion> {
        let facts = Facts {
            listed: self.listed,
            share: self.share,
            leaving: self.leaving(),
            evacuated: self.evacuated,
            spent,
        };
        facts.exclusion()
    }

    /// Whether it may get new work at all.
    pub(super) fn accepts(&self) -> bool {
        self.exclusion(false).is_none()
    }

    /// The server refused this version as retired.
    pub(super) fn retire(&mut self, now: Instant, index: &str, version: u64) {
        self.retired.retain(|(_, at)| now.since(*at) < RETIRED_AGE);
        let holding = Holding { index: index.to_owned(), version };
        self.retired.push((holding, now));
    }

    /// Whether it serves an index version, by the publication or a fresh report.
    pub(super) fn holds(&self, now: Instant, index: &str, version: u64) -> bool {
        let is = |holding: &Holding| holding.version == version && holding.index == index;
        let fresh = |at: &Instant| now.since(*at) < RETIRED_AGE;
        if self.retired.iter().any(|(holding, at)| is(holding) && fresh(at)) {
            return false;
        }
        let reported = self.fresh_report(now).is_some_and(|load| load.holdings.iter().any(is));
        reported || self.holdings.iter().any(is)
    }

    pub(super) fn cold(&self, now: Instant) -> bool {
        self.fresh_report(now).is_some_and(|load| load.cold)
    }

    /// Requests it may work on at once; a cold server gets half.
    pub(super) fn capacity(&self, now: Instant) -> u32 {
        match self.cold(now) {
            true => (self.slots / 2).max(1),
            false => self.slots.max(1),
        }
    }

    /// The last load report unless it is too old.
    pub(super) fn fresh_report(&self, now: Instant) -> Option<&target::Load> {
        let (at, load) = self.report.as_ref()?;
        (now.since(*at) < REPORT_AGE).then_some(load)
    }

    /// Age of the last load report.
    pub(super) fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report.as_ref().map(|(at, _)| now.since(*at))
    }
}
