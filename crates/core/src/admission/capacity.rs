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
/// lasting overload of half the capacity is still detected within half a second.
const TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Number of standard deviations by which the counted work must exceed the capacity before sweeps
/// are limited.
///
/// With a few dozen sweeps a second the count alone varies by a tenth, and without this margin
/// sweeps were refused at seven tenths of the capacity. Only the start of a limit is affected: the
/// share itself follows from the count without the margin.
const SIGNIFICANCE: f64 = 1.5;

/// What the servers of a service can do for one sender at present.
#[derive(Clone, Copy, Debug)]
pub struct Supply {
    /// Number of slots of the servers that accept work and are not suspect.
    pub slots: f64,
    /// Share of the slots that the work of other instances occupies, as the servers report.
    pub foreign: f64,
    /// Number of instances that may send to the servers at the same time; at least 1.
    pub senders: u32,
    /// Share of the slots that admitted sweeps may use.
    pub utilization: f64,
}

impl Supply {
    /// Returns the number of slots for the sweeps of this sender: what the other instances leave,
    /// and at least an equal part, so that no sender is displaced by one that came before it.
    fn own_slots(&self, slots: f64) -> f64 {
        let equal_part = 1.0 / f64::from(self.senders.max(1));
        let left = self.utilization - self.foreign.max(0.0);
        slots * left.max(self.utilization * equal_part)
    }
}

/// Decaying sum of the work of portions, in slot-seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    sum: f64,
    /// Sum of the squares of the summed values, from which the variance of `sum` follows.
    squares: f64,
    /// Time up to which both sums have been decayed.
    decayed_until: Instant,
}

impl Work {
    fn add(&mut self, now: Instant, work: f64) {
        let remaining = remaining_weight(self.decayed_until, now);
        self.sum = self.sum * remaining + work;
        self.squares = self.squares * remaining * remaining + work * work;
        self.decayed_until = now;
    }

    /// Number of slots that the work occupies, if all of it runs.
    fn rate(&self, now: Instant) -> f64 {
        self.sum * remaining_weight(self.decayed_until, now) / TIME_CONSTANT.as_secs_f64()
    }

    /// Variance of the rate, if the portions arrive independently of each other.
    fn variance(&self, now: Instant) -> f64 {
        let remaining = remaining_weight(self.decayed_until, now) / TIME_CONSTANT.as_secs_f64();
        self.squares * remaining * remaining
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

    /// Returns the share of the offered sweeps of each class that the servers can answer in time.
    ///
    /// Each class takes what the more urgent ones leave, so that no class has a greater share than
    /// a more urgent one.
    pub fn shares(&mut self, now: Instant, supply: Supply) -> [Share; CLASSES] {
        let slots = self.smoothed_slots(now, supply.slots);
        let mut left = (supply.own_slots(slots) - self.others.rate(now)).max(0.0);
        self.update_limit(now, left);
        if !self.is_limited {
            return [Share::ALL; CLASSES];
        }
        self.sweeps.map(|work| {
            let offered = work.rate(now);
            let taken = offered.min(left);
            left -= taken;
            let fraction = if offered > 0.0 { taken / offered } else { 1.0 };
            Share::from_fraction(fraction).max(Share::MIN)
        })
    }

    /// Starts a limit when the offered work certainly exceeds the slots `left` for it, and ends it
    /// when the work does not exceed them any more.
    fn update_limit(&mut self, now: Instant, left: f64) {
        let offered: f64 = self.sweeps.iter().map(|work| work.rate(now)).sum();
        let variance: f64 = self.sweeps.iter().map(|work| work.variance(now)).sum();
        let margin = if self.is_limited { 0.0 } else { SIGNIFICANCE * variance.sqrt() };
        self.is_limited = offered - margin > left;
    }

    /// Adds the present number of slots to the smoothed one and returns that.
    fn smoothed_slots(&mut self, now: Instant, slots: f64) -> f64 {
        let before = self.slots.unwrap_or(Smoothed { mean: slots, last: slots, at: now });
        let remaining = remaining_weight(before.at, now);
        let mean = before.last + (before.mean - before.last) * remaining;
        self.slots = Some(Smoothed { mean, last: slots, at: now });
        mean
    }
}

/// Factor by which a decaying value shrinks from one time to another.
fn remaining_weight(from: Instant, to: Instant) -> f64 {
    (-to.since(from).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}
