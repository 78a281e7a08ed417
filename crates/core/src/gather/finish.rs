//! Ends queries: when all is settled, when the time has come, when enough is there.

use std::sync::Arc;

use ladder_schema::outcome::Reason;
use ladder_schema::wire;

use super::answer;
use super::event::Action;
use super::machine::{Machine, count};
use super::merge;
use super::peers::PeerKey;
use super::query::{Progress, Query, QueryKey, State};
use super::timers::Timer;
use crate::count;
use crate::time::Instant;

impl Machine {
    /// Answers every query whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Instant, reason: Reason, out: &mut Vec<Action>) {
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

    /// Answers every open query with what it has and says which of the rest may have run.
    ///
    /// Without it a caller of an instance that stops at its bound would see a broken connection and
    /// could not tell a request that ran from one that did not.
    pub(crate) fn cut(&mut self, now: Instant, out: &mut Vec<Action>) {
        let open: Vec<QueryKey> = self.queries.keys().collect();
        for key in open {
            self.finish(now, key, Reason::Draining, out);
        }
    }

    /// Answers the open queries that are refused from now on.
    pub(crate) fn stop_refused(&mut self, now: Instant, out: &mut Vec<Action>) {
        let refused = Arc::clone(&self.view.quarantine);
        let is_refused = |query: &Query| refused.refused.contains(&query.fingerprint);
        let open = self.queries.iter().filter(|(_, query)| is_refused(query));
        let open: Vec<QueryKey> = open.map(|(key, _)| key).collect();
        for key in open {
            self.finish(now, key, Reason::Quarantined, out);
        }
    }

    /// Serves the timers that are due.
    pub(crate) fn wake(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some((at, timer)) = self.timers.due(now) {
            match timer {
                Timer::Query(key) => self.query_due(now, key, out),
                Timer::Peer(key) => self.peer_due(now, at, key, out),
            }
        }
    }

    fn query_due(&mut self, now: Instant, key: QueryKey, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get(key) else {
            return;
        };
        if query.withdrawn {
            self.finish(now, key, Reason::Cancelled, out);
            return;
        }
        if now >= query.answer_at || query.is_enough(now) {
            self.finish(now, key, Reason::Deadline, out);
            return;
        }
        let next = self.hear_collectors(now, key, out);
        self.queries[key].timer = next;
        self.timers.add(next, Timer::Query(key));
    }

    /// Answers a query that waits for nothing more, or has enough for its time.
    pub(crate) fn finish_if_settled(&mut self, now: Instant, key: QueryKey, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get(key) else {
            return;
        };
        if query.open == 0 {
            // An unrepeatable query waits until no portion can run any more before it starts again.
            let retired = State::Refused(Reason::VersionRetired);
            let is_retired = query.portions.iter().any(|portion| portion.state == retired);
            if query.terms.unrepeatable && is_retired && self.restart(now, key, out) {
                // Nothing may have been sent; each restart gives up a version, so that this ends.
                self.finish_if_settled(now, key, out);
                return;
            }
            self.finish(now, key, Reason::Unspecified, out);
        } else if query.is_enough(now) {
            self.finish(now, key, Reason::Deadline, out);
        } else if query.is_hopeless() && !self.withdraw(now, key, out) {
            self.finish(now, key, Reason::Cancelled, out);
        }
    }

    /// Answers a query with what it has; `reason` explains the portions that are still open.
    fn finish(&mut self, now: Instant, key: QueryKey, reason: Reason, out: &mut Vec<Action>) {
        self.cancel(key, out);
        let Some(mut query) = self.remove(key) else {
            return;
        };
        for portion in query.portions.iter().filter(|portion| portion.is_open()) {
            let reason = answer::open_reason(portion, reason);
            count(out, count::Event::Refusal, reason);
        }
        if query.terms.unrepeatable {
            let verdict = answer::verdict(&query);
            self.keys.end(&query.request.key, verdict);
        }
        let mut answer = answer::answer(&mut query, reason);
        if let Some(route) = &query.route {
            merge::respond(route, &mut answer);
        }
        self.answer(now, query.caller, query.account, answer, out);
    }

    /// Tells the owners that may hold something of a query that it is given up.
    pub(crate) fn cancel(&mut self, key: QueryKey, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get(key) else {
            return;
        };
        self.tell_cancelled(key, &query.holders(), out);
        let portions = query.portions.iter();
        for sending in portions.flat_map(|portion| &portion.sendings) {
            if sending.progress == Progress::Open {
                self.peers.ended(sending.peer);
            }
        }
    }

    /// Tells these owners that a query is given up.
    pub(super) fn tell_cancelled(&self, key: QueryKey, holders: &[PeerKey], out: &mut Vec<Action>) {
        let (query, incarnation) = (self.queries[key].number, self.settings.incarnation);
        for state in holders.iter().filter_map(|holder| self.peers.get(*holder)) {
            let cancel = wire::Cancel { query, incarnation };
            out.push(Action::Cancel { to: state.peer.clone(), cancel });
        }
    }

    /// Takes a query whose owners have been told out of all tables.
    pub(crate) fn remove(&mut self, key: QueryKey) -> Option<Query> {
        let query = self.queries.remove(key)?;
        self.numbers.remove(&query.number);
        if self.callers.get(&query.caller) == Some(&key) {
            self.callers.remove(&query.caller);
        }
        self.timers.remove(query.timer, Timer::Query(key));
        Some(query)
    }
}
