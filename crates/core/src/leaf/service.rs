//! Services for which this instance is a candidate.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::catalogue;
use slotmap::new_key_type;

use super::admission::Admission;
use super::budget::Budget;
use super::estimate::Estimate;
use super::portion::PortionKey;
use super::queue::Queue;
use super::server::ServerKey;
use crate::time::Instant;
use crate::view;

new_key_type! {
    /// A service held by the machine, the same in all views.
    pub(super) struct ServiceId;
}

/// Samples before the learned call times are used.
pub(super) const LEARNED: u64 = 50;
/// Samples between two computations of the quantiles.
const REFRESH: u64 = 25;
/// Extra calls that may be saved up where the entry does not say, so that a quiet hour does not pay
/// for a burst.
const BURST: u32 = 10;
/// Least and greatest share of calls that are not held slow.
const SLOW: (f64, f64) = (0.8, 0.99);

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
    pub(super) times: Estimate,
    /// Call time that few calls exceed, `None` until it is learned.
    slow: Option<Duration>,
    /// Call time that most calls exceed, `None` until it is learned.
    fast: Option<Duration>,
    /// Its queue or servers changed in the event at hand.
    pub(super) marked: bool,
    pub(super) budget: Budget,
    /// Instances that share the fleet's limits.
    pub(super) sharers: u32,
    pub(super) admission: Admission,
    /// Portions whose hedge is due but has found no slot or no token yet, by time of sending.
    pub(super) overdue: BTreeSet<(Instant, PortionKey)>,
    /// Next server in turn.
    pub(super) cursor: usize,
    pub(super) last_work: Instant,
}

impl Service {
    pub(super) fn new(listed: &view::Service) -> Self {
        Self {
            name: Arc::clone(&listed.name),
            entry: Arc::clone(&listed.entry),
            rank: Rank::of(listed),
            servers: Vec::new(),
            queue: Queue::default(),
            in_flight: 0,
            times: Estimate::default(),
            slow: None,
            fast: None,
            marked: false,
            budget: Budget::new(listed.entry.limits.unwrap_or_default().extra_percent),
            sharers: listed.sharers,
            admission: Admission::default(),
            overdue: BTreeSet::new(),
            cursor: 0,
            last_work: Instant::default(),
        }
    }

    pub(super) fn limits(&self) -> catalogue::Limits {
        self.entry.limits.unwrap_or_default()
    }

    /// Extra calls that this instance may save up: its part of what the fleet may.
    pub(super) fn burst(&self) -> u32 {
        match self.limits().extra_burst {
            0 => BURST,
            burst => burst / self.sharers.max(1),
        }
    }

    /// Mean call time once it is learned.
    pub(super) fn mean(&self) -> Option<Duration> {
        self.times.mean().filter(|_| self.times.samples() >= LEARNED)
    }

    /// Takes a call time in.
    pub(super) fn learn(&mut self, span: Duration) {
        self.times.add(span);
        let samples = self.times.samples();
        if samples >= LEARNED && samples.is_multiple_of(REFRESH) {
            self.refresh_quantiles();
        }
    }

    /// The share of calls that are slower than the hedge delay is a little less than the share of
    /// extra calls that the budget pays, so that the tokens are there when a straggler shows.
    fn refresh_quantiles(&mut self) {
        let extra = f64::from(self.limits().extra_percent) / 100.0;
        let slow = (1.0 - 0.8 * extra).clamp(SLOW.0, SLOW.1);
        self.slow = self.times.quantile(slow);
        self.fast = self.times.quantile(0.25);
    }

    /// The call time after which a second copy is due, once it is learned.
    pub(super) fn hedge_delay(&self) -> Option<Duration> {
        self.slow
    }

    /// The call time below which work is not worth starting; zero until it is learned.
    pub(super) fn fast(&self) -> Duration {
        self.fast.unwrap_or_default()
    }
}
