//! Withdraws queries that can no longer be answered, so that their callers can be told that
//! nothing ran.

use std::time::Duration;

use super::collect::ASSUMED_ROUND_TRIP;
use super::event::Action;
use super::history::Step;
use super::machine::Machine;
use super::query::{Portion, PortionState, Progress, Query, QueryKey, Sending};
use super::timers::Timer;
use crate::time::Instant;

/// Number of round trips to the most distant owner for which a withdrawn query waits for
/// confirmations.
const CONFIRMATION_ROUND_TRIPS: u32 = 4;

impl Machine {
    /// Cancels the open portions of a query that can only be refused.
    ///
    /// Owners confirm for each portion whether it was sent to a server. While nothing is known to
    /// have run, the query waits for these confirmations: they arrive within milliseconds, and
    /// without them the caller must be told that the request may have run.
    ///
    /// Returns whether there are confirmations to wait for.
    pub(super) fn withdraw(&mut self, now: Instant, key: QueryKey, out: &mut Vec<Action>) -> bool {
        let query = &self.queries[key];
        if !may_prove_not_run(query) {
            return false;
        }
        if query.withdrawn {
            return true;
        }
        let unanswered_peers = query.unanswered_peers();
        let round_trip = |peer| {
            let state = self.peers.get(peer);
            state.and_then(|state| state.round_trip).unwrap_or(ASSUMED_ROUND_TRIP)
        };
        let longest_round_trip =
            unanswered_peers.iter().map(|peer| round_trip(*peer)).max().unwrap_or(Duration::ZERO);
        let wait_until = (now + longest_round_trip * CONFIRMATION_ROUND_TRIPS).min(query.answer_at);
        self.send_cancel(key, &unanswered_peers, out);
        let step = Step::Withdrawn { portions: self.queries[key].open_portions as u32 };
        self.history.add(self.queries[key].history_id, now, step);
        let query = &mut self.queries[key];
        query.withdrawn = true;
        let timer = std::mem::replace(&mut query.timer, wait_until);
        self.timers.remove(timer, Timer::Query(key));
        self.timers.add(wait_until, Timer::Query(key));
        true
    }
}

/// Returns whether nothing of the query is known to have run and a confirmation for every open
/// portion may still arrive.
fn may_prove_not_run(query: &Query) -> bool {
    let is_lost = |sending: &Sending| sending.progress == Progress::Lost;
    let may_prove = |portion: &Portion| {
        let ran = portion.ran || matches!(portion.state, PortionState::Covered(_));
        !ran && !portion.may_have_run && !portion.sendings.iter().any(is_lost)
    };
    !query.earlier_version_may_have_run && query.portions.iter().all(may_prove)
}
