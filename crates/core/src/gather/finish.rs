//! Ends queries: when no portion is open, when the time has passed, or when enough shards are
//! covered.

use std::sync::Arc;

use ladder_schema::outcome::Reason;
use ladder_schema::wire;

use super::answer;
use super::event::Action;
use super::machine::{Machine, count};
use super::merge;
use super::peers::PeerKey;
use super::query::{PortionState, Progress, Query, QueryKey};
use super::timers::Timer;
use crate::count;
use crate::time::Instant;

impl Machine {
    /// Answers every query whose deadline has passed.
    pub(crate) fn finish_expired(&mut self, now: Instant, reason: Reason, out: &mut Vec<Action>) {
        if self.timers.next().is_none_or(|next| next > now) {
            return;
        }
        let expired: Vec<QueryKey> = self
            .queries
            .iter()
            .filter(|(_, query)| query.deadline <= now)
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.finish(now, key, reason, out);
        }
    }

    /// Answers every open query with the replies received so far and a verdict on the portions
    /// without a reply.
    ///
    /// Without this answer, the caller of an instance that reaches the time limit of its shutdown
    /// would see a broken connection and could not tell whether its request ran.
    pub(crate) fn finish_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        let open: Vec<QueryKey> = self.queries.keys().collect();
        for key in open {
            self.finish(now, key, Reason::Draining, out);
        }
        self.cut_pending(now, out);
    }

    /// Answers the open queries whose fingerprint is quarantined in the present view.
    pub(crate) fn finish_quarantined(&mut self, now: Instant, out: &mut Vec<Action>) {
        let quarantine = Arc::clone(&self.view.quarantine);
        let is_quarantined = |query: &Query| {
            quarantine.refused.contains(&query.fingerprint) && !query.terms.on_trial
        };
        let open = self.queries.iter().filter(|(_, query)| is_quarantined(query));
        let open: Vec<QueryKey> = open.map(|(key, _)| key).collect();
        for key in open {
            self.finish(now, key, Reason::Quarantined, out);
        }
    }

    /// Handles the timers of queries, peers and pending sweeps that are due.
    pub(crate) fn serve_timers(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some((at, timer)) = self.timers.due(now) {
            match timer {
                Timer::Query(key) => self.query_timer_due(now, key, out),
                Timer::Resend(key) => self.resend(now, key, out),
                Timer::Peer(key) => self.peer_timer_due(now, at, key, out),
                Timer::Reservation(key) => self.pending_timer_due(now, at, key, out),
            }
        }
    }

    fn query_timer_due(&mut self, now: Instant, key: QueryKey, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        query.served_timer = Some(query.timer);
        if query.withdrawn {
            self.finish(now, key, Reason::Cancelled, out);
            return;
        }
        if now >= query.answer_at || query.has_enough(now) {
            self.finish(now, key, Reason::Deadline, out);
            return;
        }
        let next = self.check_aggregators(now, key, out);
        let query = &mut self.queries[key];
        query.timer = next;
        query.served_timer = None;
        self.timers.add(next, Timer::Query(key));
    }

    /// Answers a query if no portion is open or if its replies suffice at the present time.
    pub(crate) fn finish_if_settled(&mut self, now: Instant, key: QueryKey, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get(key) else {
            return;
        };
        if query.is_floor_unreachable() {
            self.refuse_waiting(key, out);
        }
        let query = &self.queries[key];
        if query.open_portions == 0 {
            // A non-idempotent query restarts only after no portion can run any more.
            let retired = PortionState::Refused(Reason::VersionRetired);
            let is_retired = query.portions.iter().any(|portion| portion.state == retired);
            if query.terms.unrepeatable && is_retired && self.restart(now, key, out) {
                // The restart may have sent nothing. The recursion ends, as each restart abandons
                // one version.
                self.finish_if_settled(now, key, out);
                return;
            }
            self.finish(now, key, Reason::Unspecified, out);
        } else if query.has_enough(now) {
            self.finish(now, key, Reason::Deadline, out);
        } else if query.is_floor_unreachable() && !self.withdraw(now, key, out) {
            self.finish(now, key, Reason::Cancelled, out);
        }
    }

    /// Answers a query with the replies received so far; `reason` explains the portions that are
    /// still open.
    fn finish(&mut self, now: Instant, key: QueryKey, reason: Reason, out: &mut Vec<Action>) {
        self.cancel_query(key, out);
        let Some(mut query) = self.remove_query(key) else {
            return;
        };
        for portion in query.portions.iter().filter(|portion| portion.is_open()) {
            let reason = answer::open_portion_reason(portion, reason);
            count(out, count::Event::Refusal, reason);
        }
        if query.terms.unrepeatable {
            let verdict = answer::query_verdict(&query);
            self.request_keys.end(&query.request.key, verdict);
        }
        self.measure_response(now, &query);
        let mut answer = answer::build_answer(&mut query, reason);
        if let Some(route) = &query.route {
            merge::fill_response(route, &mut answer);
        }
        self.send_answer(now, query.caller, query.history_id, answer, out);
    }

    /// Sends a cancellation to every owner that may still hold portions of a query.
    pub(crate) fn cancel_query(&mut self, key: QueryKey, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get(key) else {
            return;
        };
        self.send_cancel(key, &query.unanswered_peers(), out);
        let portions = query.portions.iter();
        for sending in portions.flat_map(|portion| &portion.sendings) {
            if sending.progress == Progress::Open {
                self.peers.record_closed(sending.peer);
            }
        }
    }

    /// Sends a cancellation of a query to each of the peers in `receivers`.
    pub(super) fn send_cancel(&self, key: QueryKey, receivers: &[PeerKey], out: &mut Vec<Action>) {
        let (query, incarnation) = (self.queries[key].number, self.settings.incarnation);
        for state in receivers.iter().filter_map(|peer| self.peers.get(*peer)) {
            let cancel = wire::Cancel { query, incarnation };
            out.push(Action::Cancel { to: state.peer.clone(), cancel });
        }
    }

    /// Removes a query from all tables; its owners have received a cancellation before if needed.
    pub(crate) fn remove_query(&mut self, key: QueryKey) -> Option<Query> {
        let query = self.queries.remove(key)?;
        self.query_by_number.remove(&query.number);
        if self.query_by_caller.get(&query.caller) == Some(&key) {
            self.query_by_caller.remove(&query.caller);
        }
        self.timers.remove(query.timer, Timer::Query(key));
        self.trial_ended(&query);
        Some(query)
    }
}
