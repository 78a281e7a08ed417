//! Sends refused portions again, at once or after a pause.
//!
//! The portions of a query that are refused in one message are sent again together: if each were
//! sent on its own, the next partial aggregator could not merge their replies.

use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};

use super::event::Action;
use super::history::Step;
use super::machine::{Machine, count};
use super::query::{QueryKey, Refused};
use super::reply_handling::may_send_again;
use super::send::MAX_SENDINGS;
use super::timers::Timer;
use crate::count;
use crate::time::Instant;
use crate::view::Peer;

/// Divisor of a sweep's latency objective that gives the time by which its parts are sent for the
/// last time if none of them has run.
///
/// Such a sweep can still be refused as not run, and its caller can use the rest of the time for a
/// retry. The refusal is due within a quarter of the objective; half of that is left for the last
/// sending and its reply.
const NOT_RUN_PAUSE_DIVISOR: u32 = 8;

/// What is known about a refused portion on which no reply is awaited.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Reason of the last refusal.
    pub reason: Reason,
    /// Whether the portion belongs to a sweep.
    pub is_sweep: bool,
    /// Whether the last refusal proves that no server received the portion through its sender.
    pub is_before_call: bool,
    /// Whether some part of the query ran or may have run.
    pub may_have_run: bool,
    /// Whether an instance to which the portion was not sent yet may receive it.
    pub has_next: bool,
    /// Number of times that the portion was sent.
    pub sendings: usize,
    /// When the query arrived.
    pub arrived: Instant,
    /// When the portion was refused.
    pub refused_at: Instant,
    /// Time by which the query's answer meets its latency objective.
    pub timely_at: Instant,
}

/// How to proceed with a refused portion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resend {
    /// Send the portion to the next instance now.
    Next,
    /// Send the portion to the instance that refused it last, which had time to recover.
    Same,
    /// Decide again at this time.
    Wait(Instant),
    /// Refuse the portion.
    Refuse,
}

impl Resend {
    /// Decides how to proceed.
    ///
    /// A portion goes to the next instance at once. The last sending of a sweep's part is made
    /// after a pause if the refusal costs the servers nothing and its cause passes with time, such
    /// as a missing connection: after a loss of many instances the next one mostly has the same
    /// trouble, and all sendings would be used up within a few milliseconds of an objective of
    /// hundreds. The pause ends while the part can still be answered in time. A sweep that can
    /// still be refused as not run pauses less (see [`NOT_RUN_PAUSE_DIVISOR`]). A sweep of which a
    /// part ran could only fail, so it uses half of the time left.
    pub fn decide(now: Instant, refusal: Refusal) -> Self {
        if refusal.sendings >= MAX_SENDINGS {
            return Self::Refuse;
        }
        let passes = refusal.is_sweep && refusal.is_before_call && passes_with_time(refusal.reason);
        let is_last = refusal.sendings + 1 >= MAX_SENDINGS || !refusal.has_next;
        let resume_at = resume_at(refusal);
        if passes && is_last && now < resume_at {
            return Self::Wait(resume_at);
        }
        let was_paused = now > refusal.refused_at && now < refusal.timely_at;
        match refusal.has_next {
            true => Self::Next,
            false if passes && was_paused => Self::Same,
            false => Self::Refuse,
        }
    }
}

/// Returns when the pause before the last sending of a sweep's part ends.
fn resume_at(refusal: Refusal) -> Instant {
    let objective = refusal.timely_at.since(refusal.arrived);
    if refusal.may_have_run {
        let left: Duration = refusal.timely_at.since(refusal.refused_at);
        return refusal.refused_at + left / 2;
    }
    refusal.arrived + objective / NOT_RUN_PAUSE_DIVISOR
}

/// Returns whether the cause of a refusal passes within tens of milliseconds: the instance opens
/// connections, or receives what it does not know yet.
const fn passes_with_time(reason: Reason) -> bool {
    matches!(reason, Reason::ConnectFailed | Reason::NotReady | Reason::NotOwner)
}

impl Machine {
    /// Sends the refused portions of the queries that had refusals in the current event again.
    pub(super) fn resend_refused(&mut self, now: Instant, out: &mut Vec<Action>) {
        for key in std::mem::take(&mut self.refused_queries) {
            self.resend(now, key, out);
        }
    }

    /// Sends the refused portions of a query again that may be sent now, refuses those that must
    /// not be, and sets a timer for the others.
    pub(super) fn resend(&mut self, now: Instant, key: QueryKey, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get(key) else {
            return;
        };
        let portions = query.portions.iter().enumerate();
        let refused: Vec<(usize, Refused)> = portions
            .filter(|(_, portion)| portion.is_open() && !portion.awaits_reply())
            .filter_map(|(position, portion)| Some((position, portion.refused?)))
            .collect();
        let mut destinations = Vec::new();
        let mut again = None;
        let mut waits: Option<(Instant, Reason, u32)> = None;
        for (position, refused) in refused {
            let reason = refused.reason;
            match self.decide_resend(now, key, position, refused) {
                (Resend::Wait(until), _) => {
                    let (at, _, portions) = waits.unwrap_or((until, reason, 0));
                    waits = Some((at.min(until), reason, portions + 1));
                }
                (Resend::Next | Resend::Same, Some(peer)) => {
                    self.queries[key].portions[position].refused = None;
                    count(out, count::Event::Retry, reason);
                    again = again.or(Some(reason));
                    destinations.push((position, peer));
                }
                _ => self.refuse_portion(key, position, reason, out),
            }
        }
        if !destinations.is_empty() {
            self.send(now, key, destinations, again, out);
        }
        if let Some((until, reason, portions)) = waits {
            let step = Step::Waiting { portions, pause: until.since(now), reason };
            self.history.add(self.queries[key].history_id, now, step);
            self.timers.add(until, Timer::Resend(key));
        }
        self.finish_if_settled(now, key, out);
    }

    /// Decides how to proceed with a refused portion, and selects the instance that receives it
    /// next.
    fn decide_resend(
        &mut self,
        now: Instant,
        key: QueryKey,
        position: usize,
        refused: Refused,
    ) -> (Resend, Option<Peer>) {
        let query = &self.queries[key];
        let portion = &query.portions[position];
        let is_ended = query.withdrawn || now >= query.answer_at;
        if is_ended || !may_send_again(query.terms, portion) {
            return (Resend::Refuse, None);
        }
        let next = self.next_peer(now, key, position);
        let query = &self.queries[key];
        let portion = &query.portions[position];
        let refusal = Refusal {
            reason: refused.reason,
            is_sweep: query.route.as_ref().is_some_and(|route| route.is_sweep()),
            is_before_call: refused.is_before_call && portion.verdict() == Verdict::NotRun,
            may_have_run: !query.is_proved_not_run(),
            has_next: next.is_some(),
            sendings: portion.sendings.len(),
            arrived: query.deadline - query.terms.deadline,
            refused_at: refused.at,
            timely_at: query.timely_at,
        };
        let last = portion.sendings.last().and_then(|sending| self.peers.get(sending.peer));
        let last = last.filter(|state| !self.peers.is_silent(&state.peer.name, now));
        match Resend::decide(now, refusal) {
            Resend::Same => (Resend::Same, last.map(|state| state.peer.clone())),
            decision => (decision, next),
        }
    }

    /// Refuses the portions of a query that wait to be sent again.
    pub(super) fn refuse_waiting(&mut self, key: QueryKey, out: &mut Vec<Action>) {
        let portions = self.queries[key].portions.iter().enumerate();
        let waiting = portions.filter(|(_, portion)| portion.is_open() && !portion.awaits_reply());
        let waiting: Vec<(usize, Reason)> = waiting
            .filter_map(|(position, portion)| Some((position, portion.refused?.reason)))
            .collect();
        for (position, reason) in waiting {
            self.refuse_portion(key, position, reason, out);
        }
    }
}
