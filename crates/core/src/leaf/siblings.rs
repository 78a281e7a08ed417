//! How far the parts of one sweep have come that were asked for together.
//!
//! The work of a request is much the same at every shard and differs between requests. By what calls of
//! its kind usually take, all parts of a heavy request are slow at once: each would get a second copy,
//! and none of them helps. So a part is slow when it lags behind the others.

use std::time::Duration;

use slotmap::new_key_type;

use super::machine::Machine;
use super::portion::{Job, Portion, PortionKey};
use super::timer::Timer;
use crate::time::Instant;

new_key_type! {
    /// Parts that were asked for together.
    pub(super) struct SiblingsKey;
}

/// Parts from which on they are compared with each other.
const LEAST: usize = 4;
/// How much longer than the typical one a call takes before it is slow: a half, and this at least.
const LEAST_LAG: Duration = Duration::from_millis(1);
/// While most have not answered there is nothing to compare with. Copies go out all the same when that
/// many times the patience with a single call has passed.
const ALONE: u32 = 2;

/// The parts of one message of work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Siblings {
    parts: usize,
    /// Parts without a reply.
    ///
    /// Invariant: removed when it gets to zero.
    open: usize,
    answered: usize,
    /// What the call took whose answer made it half of the parts.
    typical: Option<Duration>,
}

impl Siblings {
    /// Takes in that a part was answered; whether it is known from now on what is typical.
    fn answered(&mut self, took: Duration) -> bool {
        self.answered += 1;
        let now_half = self.typical.is_none() && self.answered * 2 >= self.parts;
        if now_half {
            self.typical = Some(took);
        }
        now_half
    }

    /// After how long a call lags behind.
    fn lag(&self) -> Option<Duration> {
        self.typical.map(|typical| typical + (typical / 2).max(LEAST_LAG))
    }
}

impl Machine {
    /// Begins to compare the parts of a sweep, if there are enough.
    pub(super) fn begin_siblings(&mut self, job: &Job, portions: usize) -> Option<SiblingsKey> {
        let is_sweep = job.work.forward.as_ref().is_some_and(|forward| forward.part);
        let siblings = Siblings { parts: portions, open: portions, answered: 0, typical: None };
        (is_sweep && portions >= LEAST).then(|| self.siblings.insert(siblings))
    }

    /// One part less is open.
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

    /// A part was answered by a call that took this long. When that tells what is typical, the rest is
    /// looked at when it lags behind.
    pub(super) fn sibling_answered(&mut self, job: &Job, took: Duration) {
        let known = job.siblings.and_then(|key| self.siblings.get_mut(key));
        let Some(siblings) = known else {
            return;
        };
        if !siblings.answered(took) {
            return;
        }
        let rest = self.queries.get(&job.query()).cloned().unwrap_or_default();
        for key in rest {
            let portion = &self.portions[key];
            let due = self.lags_at(portion).filter(|_| portion.job.siblings == job.siblings);
            if let Some(at) = due {
                self.timers.push(at.max(self.now), Timer::Hedge(key));
            }
        }
    }

    /// Until when a part's only call is not slow, if the other parts say so.
    ///
    /// While no part is answered the request itself may be what holds its servers up or ends them: a copy
    /// would do the same to the other replicas.
    pub(super) fn early_until(&self, key: PortionKey) -> Option<Instant> {
        let portion = &self.portions[key];
        let siblings = self.siblings.get(portion.job.siblings?)?;
        if siblings.answered == 0 {
            return Some(self.now + self.patience(key)?);
        }
        let at = match siblings.lag() {
            Some(_) => self.lags_at(portion)?,
            None => self.sent_at(portion)? + self.patience(key)? * ALONE,
        };
        (self.now < at).then_some(at)
    }

    /// When a part's only call lags behind the others.
    fn lags_at(&self, portion: &Portion) -> Option<Instant> {
        let lag = self.siblings.get(portion.job.siblings?)?.lag()?;
        Some(self.sent_at(portion)? + lag)
    }

    fn sent_at(&self, portion: &Portion) -> Option<Instant> {
        let [attempt] = portion.attempts[..] else {
            return None;
        };
        Some(self.attempts[attempt].sent)
    }
}
