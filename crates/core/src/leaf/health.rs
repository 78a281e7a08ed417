//! Health of one server, derived from the outcomes of its calls.

use std::time::Duration;

use super::random::Random;
use crate::time::{Instant, micros};

/// Weight of one outcome in the failure rate and the shed rate.
const OUTCOME_WEIGHT: f64 = 0.1;
/// Weight of one call time in the moving average of the relative call time.
const TIME_WEIGHT: f64 = 0.1;
/// Half-life of the failure rate and the shed rate while no outcome arrives.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Half-life of the part of a server's relative call time above 1. Servers occasionally stall for a
/// tenth of a second, and a server that is slow for longer shows it again at its next call.
const SLOW_HALF_LIFE: Duration = Duration::from_millis(500);
/// Number of consecutive failures that make a server suspect.
const SUSPECT_CONSECUTIVE_FAILURES: u32 = 3;
/// Failure rate above which a server is suspect.
const SUSPECT_FAILURE_RATE: f64 = 0.5;
/// Failure or shed rate from which a server is considered poor.
const POOR_RATE: f64 = 0.15;
/// Relative call time, as a multiple of the usual one, from which a server is considered poor.
const POOR_RELATIVE_CALL_TIME: f64 = 2.5;
/// Shortest pause of a suspect server.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause of a suspect server.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Shortest pause after a server sheds, also used if the server gives no advice.
const MIN_SHED_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause after a server sheds.
const MAX_SHED_PAUSE: Duration = Duration::from_secs(2);

/// Failure rate, relative call time and pauses of one server, derived from call outcomes only.
///
/// A server that immediately answers with errors looks idle and fast. If the call times of failures
/// counted, the server would attract all work; they don't count, and failures raise the rate.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Failure rate at the time of the latest outcome.
    failure_rate: f64,
    /// Time of the latest outcome.
    last_outcome_at: Instant,
    /// Number of failures since the last answer.
    consecutive_failures: u32,
    /// Moving average of call time divided by the usual call time of the same kind of work; zero
    /// before the first answer.
    relative_call_time: f64,
    /// Number of pauses since the last answer.
    consecutive_pauses: u32,
    /// End of the pause of a suspect server; after the pause, one call at a time is sent to the
    /// server.
    paused_until: Instant,
    /// End of the pause that the server caused by shedding.
    shed_until: Instant,
    /// Whether the server has shed a call since its last answer.
    has_shed: bool,
    /// Fraction of calls that the server shed, at the time of the latest answer or shed call.
    shed_rate: f64,
}

impl Health {
    /// Records an answered call; `usual` is the mean call time of its kind of work.
    pub(super) fn answered(&mut self, now: Instant, span: Duration, usual: Option<Duration>) {
        self.failure_rate = self.failure_rate(now) * (1.0 - OUTCOME_WEIGHT);
        self.record_outcome_time(now);
        if self.consecutive_failures >= SUSPECT_CONSECUTIVE_FAILURES {
            self.failure_rate = self.failure_rate.min(SUSPECT_FAILURE_RATE / 2.0);
        }
        self.consecutive_failures = 0;
        self.has_shed = false;
        self.shed_rate = self.shed_rate(now) * (1.0 - OUTCOME_WEIGHT);
        self.consecutive_pauses = 0;
        self.add_relative_call_time(span, usual);
    }

    /// Records that a call took at least `span` without an answer.
    pub(super) fn slow(&mut self, span: Duration, usual: Option<Duration>) {
        let usual_us = usual.map_or(0.0, |usual| micros(usual) as f64);
        if micros(span) as f64 > self.relative_call_time * usual_us {
            self.add_relative_call_time(span, usual);
        }
    }

    pub(super) fn failed(&mut self, now: Instant, random: &mut Random) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + OUTCOME_WEIGHT * (1.0 - rate);
        self.record_outcome_time(now);
        self.consecutive_failures += 1;
        let is_paused = now < self.paused_until;
        if !self.suspect() || is_paused {
            return;
        }
        let pause = MIN_PAUSE.saturating_mul(1 << self.consecutive_pauses.min(6)).min(MAX_PAUSE);
        self.consecutive_pauses += 1;
        self.paused_until = now + random.jitter(pause);
    }

    pub(super) fn shed(&mut self, now: Instant, advice: Duration, random: &mut Random) -> Instant {
        self.has_shed = true;
        let rate = self.shed_rate(now);
        self.shed_rate = rate + OUTCOME_WEIGHT * (1.0 - rate);
        self.record_outcome_time(now);
        let pause = advice.clamp(MIN_SHED_PAUSE, MAX_SHED_PAUSE);
        let until = now + pause + random.jitter(pause / 4);
        self.shed_until = self.shed_until.max(until);
        self.shed_until
    }

    /// Whether the server is considered failing because of its call outcomes.
    pub(super) fn suspect(&self) -> bool {
        self.consecutive_failures >= SUSPECT_CONSECUTIVE_FAILURES
            || self.failure_rate > SUSPECT_FAILURE_RATE
    }

    /// Time of the server's latest call outcome.
    pub(super) const fn last_outcome_at(&self) -> Instant {
        self.last_outcome_at
    }

    pub(super) fn paused_until(&self) -> Instant {
        self.paused_until
    }

    /// Whether the server has shed a call since its last answer.
    pub(super) fn has_shed(&self) -> bool {
        self.has_shed
    }

    pub(super) fn shed_until(&self) -> Instant {
        self.shed_until
    }

    /// Failure rate, halved for every [`HALF_LIFE`] without an outcome.
    ///
    /// An avoided server produces no outcomes. Without the decay the server would be avoided for
    /// ever.
    pub(super) fn failure_rate(&self, now: Instant) -> f64 {
        let idle = now.since(self.last_outcome_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * (-idle).exp2()
    }

    /// Fraction of calls that the server sheds, halved for every [`HALF_LIFE`] without an outcome.
    ///
    /// A server that sheds some of its calls answers the others as fast as usual and looks free.
    /// Each shed call costs an extra call at another server, and the number of extra calls is
    /// limited.
    pub(super) fn shed_rate(&self, now: Instant) -> f64 {
        let idle = now.since(self.last_outcome_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.shed_rate * (-idle).exp2()
    }

    /// Whether the server is so slow that another server of the service is the better choice, if
    /// there is one.
    pub(super) fn is_slow(&self, now: Instant) -> bool {
        let relative = self.relative_call_time(now);
        relative.is_some_and(|relative| relative >= POOR_RELATIVE_CALL_TIME)
    }

    /// Whether the server fails or sheds so many calls that another server of the service is the
    /// better choice, if there is one.
    pub(super) fn is_failing(&self, now: Instant) -> bool {
        self.failure_rate(now) >= POOR_RATE || self.shed_rate(now) >= POOR_RATE
    }

    /// Relative call time: multiple of the usual time that the server's calls take; `None` before
    /// the first answer and if the latest outcome is older than [`HALF_LIFE`].
    pub(super) fn relative_call_time(&self, now: Instant) -> Option<f64> {
        let is_known = self.relative_call_time > 0.0 && now.since(self.last_outcome_at) < HALF_LIFE;
        is_known.then_some(self.decayed_relative_call_time(now))
    }

    fn decayed_relative_call_time(&self, now: Instant) -> f64 {
        let idle = now.since(self.last_outcome_at).as_secs_f64() / SLOW_HALF_LIFE.as_secs_f64();
        let excess = (self.relative_call_time - 1.0).max(0.0);
        self.relative_call_time - excess + excess * (-idle).exp2()
    }

    /// Registers the time of a new outcome; the relative call time and the rates decay from then
    /// on.
    fn record_outcome_time(&mut self, now: Instant) {
        self.relative_call_time = self.decayed_relative_call_time(now);
        self.last_outcome_at = now;
    }

    fn add_relative_call_time(&mut self, span: Duration, usual: Option<Duration>) {
        let Some(usual) = usual.filter(|usual| !usual.is_zero()) else {
            return;
        };
        let sample = span.as_secs_f64() / usual.as_secs_f64();
        if self.relative_call_time == 0.0 {
            self.relative_call_time = sample;
        }
        self.relative_call_time += TIME_WEIGHT * (sample - self.relative_call_time);
    }
}
