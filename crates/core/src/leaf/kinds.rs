//! Call times by kind of work.
//!
//! One service answers sweeps of thirty milliseconds and of ten. With one estimate for both, the
//! second copy of a short call went out by the long one's times, when its target had passed, and a
//! queue's length in time was wrong for either.

use std::time::Duration;

use super::estimate::Estimate;
use super::machine::Machine;
use super::service::ServiceId;
use crate::collections::Map;

/// Samples before the learned call times are used.
const LEARNED: u64 = 50;
/// Samples between two computations of the quantiles.
const REFRESH: u64 = 25;
/// Least and greatest share of calls that are not held slow.
const SLOW: (f64, f64) = (0.8, 0.99);
/// Kinds that are told apart; what comes beyond is learned as one.
const MOST: usize = 16;

/// A kind of work: an operation or a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Kind(pub(super) u64);

/// What is learned of one kind.
#[derive(Clone, Debug, Default)]
pub(super) struct Times {
    estimate: Estimate,
    /// Call time that few calls exceed, `None` until it is learned.
    slow: Option<Duration>,
    /// Call time that most calls exceed, `None` until it is learned.
    fast: Option<Duration>,
}

impl Times {
    /// All call times.
    pub(super) const fn estimate(&self) -> &Estimate {
        &self.estimate
    }

    /// Mean call time once it is learned.
    pub(super) fn mean(&self) -> Option<Duration> {
        self.estimate.mean().filter(|_| self.estimate.samples() >= LEARNED)
    }

    /// The call time after which a second copy is due, once it is learned.
    pub(super) fn slow(&self) -> Option<Duration> {
        self.slow
    }

    /// The call time below which work is not worth starting, once it is learned.
    pub(super) fn fast(&self) -> Option<Duration> {
        self.fast
    }

    /// The share of calls that are slower than `slow` is a little less than the share of extra calls
    /// that the budget pays, so that the tokens are there when a straggler shows.
    fn learn(&mut self, span: Duration, extra_percent: u32) {
        self.estimate.add(span);
        let samples = self.estimate.samples();
        if samples >= LEARNED && samples.is_multiple_of(REFRESH) {
            let extra = f64::from(extra_percent) / 100.0;
            let slow = (1.0 - 0.8 * extra).clamp(SLOW.0, SLOW.1);
            self.slow = self.estimate.quantile(slow);
            self.fast = self.estimate.quantile(0.25);
        }
    }
}

/// What is learned of each kind.
#[derive(Clone, Debug, Default)]
pub(super) struct Kinds {
    times: Map<Kind, Times>,
    /// Of all kinds together.
    all: Times,
}

impl Kinds {
    /// Takes a call time in.
    pub(super) fn learn(&mut self, kind: Kind, span: Duration, extra_percent: u32) {
        self.all.learn(span, extra_percent);
        let full = self.times.len() >= MOST && !self.times.contains_key(&kind);
        let kind = if full { Kind::default() } else { kind };
        self.times.entry(kind).or_default().learn(span, extra_percent);
    }

    /// What is known of all kinds together.
    pub(super) const fn all(&self) -> &Times {
        &self.all
    }

    /// What is known of a kind.
    pub(super) fn get(&self, kind: Kind) -> Option<&Times> {
        self.times.get(&kind)
    }
}

impl Machine {
    /// Takes a call time of a service in.
    pub(super) fn learn_time(&mut self, id: ServiceId, kind: Kind, span: Duration) {
        let service = &mut self.services[id];
        service.learn(kind, span);
        let extra = service.limits().extra_percent;
        self.kinds.learn(kind, span, extra);
    }

    /// Mean call time of a kind of work, once it is learned: at the service, else at all services, else
    /// of all work at the service.
    pub(super) fn mean(&self, id: ServiceId, kind: Kind) -> Option<Duration> {
        self.known(id, kind, Times::mean)
    }

    /// The call time after which a second copy is due, once it is learned.
    pub(super) fn slow(&self, id: ServiceId, kind: Kind) -> Option<Duration> {
        self.known(id, kind, Times::slow)
    }

    /// The call time below which work is not worth starting; zero until it is learned.
    pub(super) fn fast(&self, id: ServiceId, kind: Kind) -> Duration {
        self.known(id, kind, Times::fast).unwrap_or_default()
    }

    fn known(
        &self,
        id: ServiceId,
        kind: Kind,
        what: impl Fn(&Times) -> Option<Duration>,
    ) -> Option<Duration> {
        let here = self.services[id].kinds.get(kind).and_then(&what);
        let elsewhere = || self.kinds.get(kind).and_then(&what);
        here.or_else(elsewhere).or_else(|| what(self.services[id].kinds.all()))
    }
}
