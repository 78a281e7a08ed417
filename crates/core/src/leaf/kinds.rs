//! Learned call times by kind of work.
//!
//! One service may answer sweeps that take 30 ms and sweeps that take 10 ms. With one estimate for
//! both, the hedge of a short call was sent by the times of the long ones, after its target time
//! had passed, and the estimated waiting time in the queue was wrong for either.

use std::time::Duration;

use super::estimate::Estimate;
use super::machine::Machine;
use super::service::ServiceId;
use crate::average::MovingAverage;
use crate::collections::Map;

/// Number of samples needed before the learned call times are used.
const MIN_SAMPLES: u64 = 50;
/// Number of samples between two computations of the quantiles.
const QUANTILE_REFRESH_SAMPLES: u64 = 25;
/// Minimum and maximum share of calls that do not count as slow.
const SLOW_QUANTILE_RANGE: (f64, f64) = (0.8, 0.99);
/// Maximum number of kinds of work learned separately; all further kinds are learned as one.
const MAX_KINDS: usize = 16;

/// Weight of one call in the mean time for which a call occupies a slot, in the long run.
const WORK_WEIGHT: f64 = 0.01;
/// Multiple of the mean slot time up to which one call counts.
///
/// Calls that a pause of their server delays take ten times as long as others, and a few of them
/// must not look like more work. A lasting change still shows within some hundred calls.
const MAX_WORK_FACTOR: f64 = 4.0;

/// A kind of work: an operation or a route, by an identifier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct WorkKind(pub(super) u64);

/// Learned call times of one kind of work.
#[derive(Clone, Debug, Default)]
pub(super) struct CallTimes {
    estimate: Estimate,
    /// Call time that few calls exceed; `None` until it is learned.
    slow: Option<Duration>,
    /// Call time that most calls exceed; `None` until it is learned.
    fast: Option<Duration>,
    /// Moving average of the time in seconds for which one call occupies a slot.
    work: MovingAverage,
    /// Number of calls that `work` was learned from.
    work_samples: u64,
}

impl CallTimes {
    /// Histogram of all call times.
    pub(super) const fn estimate(&self) -> &Estimate {
        &self.estimate
    }

    /// Mean call time; `None` until it is learned.
    pub(super) fn mean(&self) -> Option<Duration> {
        self.estimate.mean().filter(|_| self.estimate.samples() >= MIN_SAMPLES)
    }

    /// Mean time for which one call occupies a slot; `None` until it is learned.
    pub(super) fn work(&self) -> Option<Duration> {
        (self.work_samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(self.work.value()))
    }

    /// Adds the time for which one call occupied a slot.
    fn record_work(&mut self, span: Duration) {
        let seconds = match self.work_samples {
            0 => span.as_secs_f64(),
            _ => span.as_secs_f64().min(self.work.value() * MAX_WORK_FACTOR),
        };
        self.work_samples += 1;
        self.work.add(seconds, WORK_WEIGHT);
    }

    /// Call time after which a call counts as slow and may be hedged; `None` until it is learned.
    pub(super) fn slow(&self) -> Option<Duration> {
        self.slow
    }

    /// Call time that most calls exceed: work with less time left is not started. `None` until it
    /// is learned.
    pub(super) fn fast(&self) -> Option<Duration> {
        self.fast
    }

    /// Adds a call time and recomputes the quantiles at intervals.
    ///
    /// The share of calls that count as slow is slightly less than the share of extra calls that
    /// the budget pays for, so that tokens are available when a straggler appears.
    fn record_call_time(&mut self, span: Duration, extra_percent: u32) {
        self.estimate.add(span);
        let samples = self.estimate.samples();
        if samples >= MIN_SAMPLES && samples.is_multiple_of(QUANTILE_REFRESH_SAMPLES) {
            let extra = f64::from(extra_percent) / 100.0;
            let slow_quantile =
                (1.0 - 0.8 * extra).clamp(SLOW_QUANTILE_RANGE.0, SLOW_QUANTILE_RANGE.1);
            self.slow = self.estimate.quantile(slow_quantile);
            self.fast = self.estimate.quantile(0.25);
        }
    }
}

/// Learned call times of all kinds of work.
#[derive(Clone, Debug, Default)]
pub(super) struct CallTimesByKind {
    times: Map<WorkKind, CallTimes>,
    /// Call times of all kinds of work together.
    all: CallTimes,
}

impl CallTimesByKind {
    /// Adds a call time of one kind of work.
    pub(super) fn record_call_time(&mut self, kind: WorkKind, span: Duration, extra_percent: u32) {
        self.all.record_call_time(span, extra_percent);
        let full = self.times.len() >= MAX_KINDS && !self.times.contains_key(&kind);
        let kind = if full { WorkKind::default() } else { kind };
        self.times.entry(kind).or_default().record_call_time(span, extra_percent);
    }

    /// Adds the time for which one call of a kind of work occupied a slot.
    fn record_work(&mut self, kind: WorkKind, span: Duration) {
        self.all.record_work(span);
        if let Some(times) = self.times.get_mut(&kind) {
            times.record_work(span);
        }
    }

    /// Call times of all kinds of work together.
    pub(super) const fn all(&self) -> &CallTimes {
        &self.all
    }

    /// Call times of one kind of work; `None` if the kind is unknown.
    pub(super) fn get(&self, kind: WorkKind) -> Option<&CallTimes> {
        self.times.get(&kind)
    }
}

impl Machine {
    /// Adds a call time of a service.
    pub(super) fn record_call_time(&mut self, id: ServiceId, kind: WorkKind, span: Duration) {
        let service = &mut self.services[id];
        service.record_call_time(kind, span);
        let extra = service.limits().extra_percent;
        self.call_times.record_call_time(kind, span, extra);
    }

    /// Mean call time of a kind of work; `None` until it is learned. Taken from the service, else
    /// from all services, else from all work of the service.
    pub(super) fn mean_call_time(&self, id: ServiceId, kind: WorkKind) -> Option<Duration> {
        self.lookup(id, kind, CallTimes::mean)
    }

    /// Adds the time for which one call of a service occupied a slot.
    pub(super) fn record_work_time(&mut self, id: ServiceId, kind: WorkKind, span: Duration) {
        self.services[id].call_times.record_work(kind, span);
        self.call_times.record_work(kind, span);
    }

    /// Mean time for which one call of a kind of work occupies a slot; `None` until it is learned.
    pub(super) fn mean_work(&self, id: ServiceId, kind: WorkKind) -> Option<Duration> {
        self.lookup(id, kind, CallTimes::work)
    }

    /// Call time after which a call counts as slow and may be hedged; `None` until it is learned.
    pub(super) fn slow_call_time(&self, id: ServiceId, kind: WorkKind) -> Option<Duration> {
        self.lookup(id, kind, CallTimes::slow)
    }

    /// Call time that most calls exceed: work with less time left is not started. Zero until it is
    /// learned.
    pub(super) fn fast_call_time(&self, id: ServiceId, kind: WorkKind) -> Duration {
        self.lookup(id, kind, CallTimes::fast).unwrap_or_default()
    }

    /// Looks up a statistic of a kind of work: at the service, else at all services, else of all
    /// work of the service.
    fn lookup(
        &self,
        id: ServiceId,
        kind: WorkKind,
        statistic: impl Fn(&CallTimes) -> Option<Duration>,
    ) -> Option<Duration> {
        let at_service = self.services[id].call_times.get(kind).and_then(&statistic);
        let at_all_services = || self.call_times.get(kind).and_then(&statistic);
        at_service
            .or_else(at_all_services)
            .or_else(|| statistic(self.services[id].call_times.all()))
    }
}
