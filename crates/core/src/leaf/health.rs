//! What the outcomes of calls say about one server.

use std::time::Duration;

use super::random::Random;
use crate::time::{Instant, micros};

/// Weight of one outcome in the failure rate.
const WEIGHT: f64 = 0.1;
/// Weight of one call time in the mean.
const TIME_WEIGHT: f64 = 0.1;
/// Time in which what was seen loses half its weight.
const FADE: Duration = Duration::from_secs(2);
/// Time in which a pace slower than usual loses half of what it has beyond it. Servers stand still for a
/// tenth of a second now and then, and one that is slow for longer shows it again at its next call.
const SLOW_FADE: Duration = Duration::from_millis(500);
/// Failures in a row that make a server suspect.
const ROW: u32 = 3;
/// Failure rate that makes a server suspect.
const RATE: f64 = 0.5;
/// Share of calls that fail or are shed, and times the usual call time, from which on a server is poor.
const POOR_RATE: f64 = 0.15;
const POOR_PACE: f64 = 2.5;
/// First and longest pause of a suspect server.
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Pauses after a server sheds: the shortest when it gives no advice, and the longest.
const SHED_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_SHED_PAUSE: Duration = Duration::from_secs(2);

/// Failure rate, call times and pauses of one server, from outcomes only.
///
/// A server that answers errors at once looks idle and fast. It would attract all work if call
/// times of failures counted; they do not, and failures raise the rate.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Failure rate at the time of the last outcome.
    failure_rate: f64,
    /// Time of the last outcome.
    seen: Instant,
    /// Failures since the last answer.
    row: u32,
    /// Mean of call times over the usual ones of their kind of work, zero before the first.
    pace: f64,
    /// Pauses since the last answer.
    pauses: u32,
    /// End of the pause of a suspect server; after it one call at a time tries the server.
    paused_until: Instant,
    /// End of the pause that the server asked for by shedding.
    shed_until: Instant,
    /// It has shed since its last answer.
    sheds: bool,
    /// Share of calls that it shed, at the time of the last answer or shedding.
    shed_rate: f64,
}

impl Health {
    /// A call was answered; `usual` is what calls of its kind take.
    pub(super) fn answered(&mut self, now: Instant, span: Duration, usual: Option<Duration>) {
        self.failure_rate = self.failure_rate(now) * (1.0 - WEIGHT);
        self.see(now);
        if self.row >= ROW {
            self.failure_rate = self.failure_rate.min(RATE / 2.0);
        }
        self.row = 0;
        self.sheds = false;
        self.shed_rate = self.shed_rate(now) * (1.0 - WEIGHT);
        self.pauses = 0;
        self.sample(span, usual);
    }

    /// Takes in that a call took at least this long without an answer.
    pub(super) fn slow(&mut self, span: Duration, usual: Option<Duration>) {
        let usual_us = usual.map_or(0.0, |usual| micros(usual) as f64);
        if micros(span) as f64 > self.pace * usual_us {
            self.sample(span, usual);
        }
    }

    pub(super) fn failed(&mut self, now: Instant, random: &mut Random) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + WEIGHT * (1.0 - rate);
        self.see(now);
        self.row += 1;
        let paused = now < self.paused_until;
        if !self.suspect() || paused {
            return;
        }
        let pause = PAUSE.saturating_mul(1 << self.pauses.min(6)).min(LONGEST_PAUSE);
        self.pauses += 1;
        self.paused_until = now + random.jitter(pause);
    }

    pub(super) fn shed(&mut self, now: Instant, advice: Duration, random: &mut Random) -> Instant {
        self.sheds = true;
        let rate = self.shed_rate(now);
        self.shed_rate = rate + WEIGHT * (1.0 - rate);
        self.see(now);
        let pause = advice.clamp(SHED_PAUSE, LONGEST_SHED_PAUSE);
        let until = now + pause + random.jitter(pause / 4);
        self.shed_until = self.shed_until.max(until);
        self.shed_until
    }

    /// Held failing by its outcomes.
    pub(super) fn suspect(&self) -> bool {
        self.row >= ROW || self.failure_rate > RATE
    }

    /// Time of the last outcome.
    pub(super) const fn seen(&self) -> Instant {
        self.seen
    }

    pub(super) fn paused_until(&self) -> Instant {
        self.paused_until
    }

    /// Whether it has shed since its last answer.
    pub(super) fn sheds(&self) -> bool {
        self.sheds
    }

    pub(super) fn shed_until(&self) -> Instant {
        self.shed_until
    }

    /// Failure rate, halved for every [`FADE`] without an outcome.
    ///
    /// A server that is avoided shows no outcomes. Without fading it would be avoided for ever.
    pub(super) fn failure_rate(&self, now: Instant) -> f64 {
        let idle = now.since(self.seen).as_secs_f64() / FADE.as_secs_f64();
        self.failure_rate * (-idle).exp2()
    }

    /// Share of calls that it sheds, halved for every [`FADE`] without an outcome.
    ///
    /// A server that sheds part of its calls answers the others as fast as ever and looks free. Each
    /// call that it sheds costs an extra call elsewhere, and those are few.
    pub(super) fn shed_rate(&self, now: Instant) -> f64 {
        let idle = now.since(self.seen).as_secs_f64() / FADE.as_secs_f64();
        self.shed_rate * (-idle).exp2()
    }

    /// Whether another server of the service is the better choice, where there is one.
    pub(super) fn is_poor(&self, now: Instant) -> bool {
        let slow = self.pace(now).is_some_and(|pace| pace >= POOR_PACE);
        slow || self.failure_rate(now) >= POOR_RATE || self.shed_rate(now) >= POOR_RATE
    }

    /// How many times the usual time its calls take; `None` before the first answer and when the last
    /// is too long ago.
    pub(super) fn pace(&self, now: Instant) -> Option<f64> {
        let known = self.pace > 0.0 && now.since(self.seen) < FADE;
        known.then_some(self.faded_pace(now))
    }

    fn faded_pace(&self, now: Instant) -> f64 {
        let idle = now.since(self.seen).as_secs_f64() / SLOW_FADE.as_secs_f64();
        let slow = (self.pace - 1.0).max(0.0);
        self.pace - slow + slow * (-idle).exp2()
    }

    /// An outcome is there: what fades with time does so from now on.
    fn see(&mut self, now: Instant) {
        self.pace = self.faded_pace(now);
        self.seen = now;
    }

    fn sample(&mut self, span: Duration, usual: Option<Duration>) {
        let Some(usual) = usual.filter(|usual| !usual.is_zero()) else {
            return;
        };
        let pace = span.as_secs_f64() / usual.as_secs_f64();
        if self.pace == 0.0 {
            self.pace = pace;
        }
        self.pace += TIME_WEIGHT * (pace - self.pace);
    }
}
