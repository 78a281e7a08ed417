//! Compares the progress of the portions of one sweep that arrived together.
//!
//! The work of a request is similar at every shard and differs between requests. Judged by the
//! usual call times of its kind, all portions of a heavy request are slow at once; each would be
//! hedged, and no hedge would help. A portion therefore counts as slow when it lags behind the
//! other portions of its sweep.

use std::time::Duration;

use slotmap::new_key_type;

use super::machine::Machine;
use super::portion::{Job, Portion, PortionKey};
use super::timer::Timer;
use crate::time::Instant;

new_key_type! {
    /// Key of a group of portions of one sweep that arrived together.
    pub(super) struct SiblingsKey;
}

/// Minimum number of portions of a sweep that are compared with each other.
const MIN_COMPARED_PORTIONS: usize = 4;
/// Minimum lag behind the median call time after which a call counts as slow; the lag is half of
/// the median if that is longer.
const MIN_LAG: Duration = Duration::from_millis(1);
/// While fewer than half of the portions of a sweep are answered, there is no median call time to
/// compare with, and a portion is hedged after this multiple of the usual hedge delay.
const NO_MEDIAN_DELAY_FACTOR: u32 = 2;

/// Progress of the portions of one message of work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Siblings {
    total: usize,
    /// Number of portions of the group that have no reply yet.
    ///
    /// Invariant: the group is removed when this number becomes zero.
    open: usize,
    answered: usize,
    /// Median call time: the time of the call whose answer completed half of the portions.
    median: Option<Duration>,
}

impl Siblings {
    /// Records that a portion was answered. Returns whether the median call time is known from this
    /// answer on.
    fn record_answer(&mut self, took: Duration) -> bool {
        self.answered += 1;
        let reaches_half = self.median.is_none() && self.answered * 2 >= self.total;
        if reaches_half {
            self.median = Some(took);
        }
        reaches_half
    }

    /// Time after which a call lags behind the others; `None` until the median call time is known.
    fn lag_threshold(&self) -> Option<Duration> {
        self.median.map(|median| median + (median / 2).max(MIN_LAG))
    }
}

impl Machine {
    /// Starts to compare the portions of a sweep, if there are enough of them.
    pub(super) fn track_siblings(&mut self, job: &Job, portions: usize) -> Option<SiblingsKey> {
        let is_sweep = job.work.forward.as_ref().is_some_and(|forward| forward.part);
        let siblings = Siblings { total: portions, open: portions, answered: 0, median: None };
        (is_sweep && portions >= MIN_COMPARED_PORTIONS).then(|| self.siblings.insert(siblings))
    }

    /// Removes a portion that got its reply from the open portions of its group.
    pub(super) fn settle_sibling(&mut self, job: &Job) {
        let Some(key) = job.siblings else {
            return;
        };
        let Some(siblings) = self.siblings.get_mut(key) else {
            return;
        };
        siblings.open = siblings.open.saturating_sub(1);
        if siblings.open == 0 {
            self.siblings.remove(key);
        }
    }

    /// Records that a portion was answered by a call that took this long. If this determines the
    /// median call time, schedules the hedges of the other portions.
    pub(super) fn sibling_answered(&mut self, job: &Job, took: Duration) {
        let siblings = job.siblings.and_then(|key| self.siblings.get_mut(key));
        let Some(siblings) = siblings else {
            return;
        };
        if !siblings.record_answer(took) {
            return;
        }
        let open_portions = self.queries.get(&job.query()).cloned().unwrap_or_default();
        for key in open_portions {
            let portion = &self.portions[key];
            let due = self.lags_at(portion).filter(|_| portion.job.siblings == job.siblings);
            if let Some(at) = due {
                self.timers.push(at.max(self.now), Timer::Hedge(key));
            }
        }
    }

    /// Returns the time until which the only call of a portion does not count as slow, judged by
    /// the other portions of its sweep; `None` if the call is slow now.
    ///
    /// While no portion is answered, the request itself may be what stalls or crashes its servers,
    /// and a hedge would do the same to the other replicas.
    pub(super) fn hedge_deferred_until(&self, key: PortionKey) -> Option<Instant> {
        let portion = &self.portions[key];
        let siblings = self.siblings.get(portion.job.siblings?)?;
        if siblings.answered == 0 {
            return Some(self.now + self.hedge_delay(key)?);
        }
        let at = match siblings.lag_threshold() {
            Some(_) => self.lags_at(portion)?,
            None => self.sent_at(portion)? + self.hedge_delay(key)? * NO_MEDIAN_DELAY_FACTOR,
        };
        (self.now < at).then_some(at)
    }

    /// Time at which the only open call of a portion lags behind the others.
    fn lags_at(&self, portion: &Portion) -> Option<Instant> {
        let lag = self.siblings.get(portion.job.siblings?)?.lag_threshold()?;
        Some(self.sent_at(portion)? + lag)
    }

    /// Send time of the only open call of a portion; `None` if it has no call or several.
    fn sent_at(&self, portion: &Portion) -> Option<Instant> {
        let [attempt] = portion.attempts[..] else {
            return None;
        };
        Some(self.attempts[attempt].sent)
    }
}
