//! Computes at the sender of a service which share of the offered sweeps its servers can answer in
//! time.

use std::time::Duration;

use super::{CLASSES, Class, Share};
use crate::time::Instant;

/// Time constant of the decaying counts of offered work and of the smoothed slots.
///
/// Callers need an answer within some tenths of a second, and a queue that long makes sweeps late.
/// A second counts enough sweeps to tell an overload from chance, and averages out a burst that
/// the queue absorbs within a latency objective and a single pause of a server of 0.1 to 0.3 s. A
/// lasting overload of half the capacity is still detected within a second.
const TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time constant of the counts that show the beginning and the end of an overload.
///
/// With the longer one alone, sweeps were still refused three seconds after twice the capacity was
/// offered, and before a limit took full effect, so many sweeps were started that urgent sweeps
/// were late for two seconds behind them.
const SHORT_TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Number of standard deviations by which the counted work must exceed the capacity before sweeps
/// are limited.
///
/// With a few dozen sweeps a second the count alone varies by a tenth, and without this margin
/// sweeps were refused at seven tenths of the capacity. Only the start of a limit is affected: the
/// share itself follows from the count without the margin.
const SIGNIFICANCE: f64 = 2.5;

/// Work of portions in slot-seconds, decaying sums over a longer and a shorter time.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    long: Sum,
    short: Sum,
    /// Time up to which the sums have been decayed.
    decayed_until: Instant,
}

/// Decaying sum of values, and of their squares, from which its variance follows.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    values: f64,
    squares: f64,
}

impl Sum {
    fn decayed(self, elapsed: Duration, time_constant: Duration) -> Self {
        let remaining = remaining_weight(elapsed, time_constant);
        Self { values: self.values * remaining, squares: self.squares * remaining * remaining }
    }

    fn with(self, value: f64) -> Self {
        Self { values: self.values + value, squares: self.squares + value * value }
    }

    /// Mean rate over the time constant of the sum, and its standard deviation if the values arrive
    /// independently of each other.
    fn rate(self, time_constant: Duration) -> (f64, f64) {
        let seconds = time_constant.as_secs_f64();
        (self.values / seconds, self.squares.sqrt() / seconds)
    }
}

impl Work {
    fn decayed(self, now: Instant) -> Self {
        let elapsed = now.since(self.decayed_until);
        Self {
            long: self.long.decayed(elapsed, TIME_CONSTANT),
            short: self.short.decayed(elapsed, SHORT_TIME_CONSTANT),
            decayed_until: now,
        }
    }

    fn add(&mut self, now: Instant, work: f64) {
        let before = self.decayed(now);
        *self = Self { long: before.long.with(work), short: before.short.with(work), ..before };
    }

    /// Number of slots that the work would occupy if all of it ran: over the longer time, unless the
    /// shorter one differs by more than chance.
    fn rate(&self, now: Instant) -> f64 {
        let work = self.decayed(now);
        let (short, deviation) = work.short.rate(SHORT_TIME_CONSTANT);
        work.long.rate(TIME_CONSTANT).0.clamp((short - deviation).max(0.0), short + deviation)
    }
}

/// Counts the work offered to the servers of one service.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    /// Work of the offered sweeps, admitted or not, by urgency class.
    sweeps: [Work; CLASSES],
    /// Work of all other requests, whose admission is not decided.
    others: Work,
    /// Smoothed number of slots, with the last number and its time; `None` until the first one.
    slots: Option<Smoothed>,
    /// Whether sweeps are limited.
    is_limited: bool,
}

#[derive(Clone, Copy, Debug)]
struct Smoothed {
    mean: f64,
    last: f64,
    at: Instant,
}

impl Capacity {
    /// Counts a received portion of a sweep that stands for `weight` offered ones, each of which
    /// occupies a slot for the time `work`.
    pub fn record_sweep(&mut self, now: Instant, class: Class, weight: f64, work: Duration) {
        self.sweeps[class.index()].add(now, weight * work.as_secs_f64());
    }

    /// Counts another request that occupies a slot for the time `work`.
    pub fn record_other(&mut self, now: Instant, work: Duration) {
        self.others.add(now, work.as_secs_f64());
    }

    /// Returns the share of the offered sweeps of each class that can be answered in time, given the
    /// number of slots that this sender's work may occupy at present.
    ///
    /// Each class takes what the more urgent ones leave, so that no class has a greater share than
    /// a more urgent one.
    pub fn shares(&mut self, now: Instant, slots: f64) -> [Share; CLASSES] {
        let slots = self.smoothed_slots(now, slots);
        let mut left = (slots - self.others.rate(now)).max(0.0);
        self.update_limit(now, left);
        if !self.is_limited {
            return [Share::ALL; CLASSES];
        }
        let mut fraction = 1.0;
        self.sweeps.map(|work| {
            let offered = work.rate(now);
            let taken = offered.min(left);
            left -= taken;
            if offered > 0.0 {
                fraction = taken / offered;
            }
            Share::from_fraction(fraction).max(Share::MIN)
        })
    }

    /// Starts a limit when the offered work certainly exceeds the slots `left` for it, over either
    /// time, and ends it when the work does not exceed them any more.
    fn update_limit(&mut self, now: Instant, left: f64) {
        if self.is_limited {
            let offered: f64 = self.sweeps.iter().map(|work| work.rate(now)).sum();
            self.is_limited = offered > left;
            return;
        }
        let lower_bound = |rates: [(f64, f64); CLASSES]| {
            let rate: f64 = rates.iter().map(|(rate, _)| rate).sum();
            let variance: f64 = rates.iter().map(|(_, deviation)| deviation * deviation).sum();
            rate - SIGNIFICANCE * variance.sqrt()
        };
        let works = self.sweeps.map(|work| work.decayed(now));
        let long = lower_bound(works.map(|work| work.long.rate(TIME_CONSTANT)));
        let short = lower_bound(works.map(|work| work.short.rate(SHORT_TIME_CONSTANT)));
        self.is_limited = long.max(short) > left;
    }

    /// Adds the present number of slots to the smoothed one and returns that.
    fn smoothed_slots(&mut self, now: Instant, slots: f64) -> f64 {
        let before = self.slots.unwrap_or(Smoothed { mean: slots, last: slots, at: now });
        let remaining = remaining_weight(now.since(before.at), TIME_CONSTANT);
        let mean = before.last + (before.mean - before.last) * remaining;
        self.slots = Some(Smoothed { mean, last: slots, at: now });
        mean
    }
}

/// Factor by which a decaying value shrinks within `elapsed`.
fn remaining_weight(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
