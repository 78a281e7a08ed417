//! Withdraws queries that cannot be answered any more, so that their callers may hear that nothing ran.

use std::time::Duration;

use super::collect::ASSUMED_WAY;
use super::event::Action;
use super::history::Step;
use super::machine::Machine;
use super::query::{Portion, Progress, Query, QueryKey, Sending, State};
use super::timers::Timer;
use crate::time::Instant;

/// Round trips to the farthest peer that its confirmation may take.
const PATIENCE: u32 = 4;

impl Machine {
    /// Cancels what is still open of a query that can only be refused.
    ///
    /// Owners confirm of each part whether it was sent to a server. While nothing is known to have run, their
    /// confirmation is waited for: it comes within milliseconds, and without it the caller must be told that
    /// the request may have run.
    ///
    /// Returns whether there is anything to wait for.
    pub(super) fn withdraw(&mut self, now: Instant, key: QueryKey, out: &mut Vec<Action>) -> bool {
        let query = &self.queries[key];
        if !is_unproved(query) {
            return false;
        }
        if query.withdrawn {
            return true;
        }
        let holders = query.holders();
        let way = |peer| {
            let state = self.peers.get(peer);
            state.and_then(|state| state.way).unwrap_or(ASSUMED_WAY)
        };
        let longest = holders.iter().map(|peer| way(*peer)).max().unwrap_or(Duration::ZERO);
        let until = (now + longest * PATIENCE).min(query.answer_at);
        self.tell_cancelled(key, &holders, out);
        let step = Step::Withdrawn { portions: self.queries[key].open as u32 };
        self.history.add(self.queries[key].account, now, step);
        let query = &mut self.queries[key];
        query.withdrawn = true;
        let timer = std::mem::replace(&mut query.timer, until);
        self.timers.remove(timer, Timer::Query(key));
        self.timers.add(until, Timer::Query(key));
        true
    }
}

/// Nothing of the query is known to have run, and every open part may still be confirmed.
fn is_unproved(query: &Query) -> bool {
    let lost = |sending: &Sending| sending.progress == Progress::Lost;
    let unproved = |portion: &Portion| {
        let ran = portion.ran || matches!(portion.state, State::Covered(_));
        !ran && !portion.exposed && !portion.sendings.iter().any(lost)
    };
    !query.exposed && query.portions.iter().all(unproved)
}
