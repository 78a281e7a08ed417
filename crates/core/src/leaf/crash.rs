//! Which requests were at a server that ended.
//!
//! All calls at a server that ends break off alike, and the request that ended it is one of them. A broken
//! connection proves nothing: the server has ended when nothing listens at its address any more, or when
//! it is known to have started again.

mod table;

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::Reason;

use super::attempt::Attempt;
use super::event::{Action, AttemptKey, LaneKey, Outcome};
use super::machine::Machine;
use super::portion::{Job, Portion, PortionKey};
use super::reply::Refused;
use super::server::ServerKey;
use super::service::ServiceId;
use crate::collections::Set;
use crate::control::quarantine::Incarnation;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use crate::view;

pub(super) use table::{Crashes, Loss};
use table::{EVIDENCE_AGE, HOLD, LOSSES};

/// How much later than it happened an end may be dated by news that came through peers.
const DATING_ERROR: Duration = Duration::from_secs(1);

/// An end of a server that somebody reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    /// When calls broke off.
    ended: Instant,
    /// When this instance heard of it.
    heard: Instant,
}

impl Machine {
    pub(super) fn portion_began(&mut self, job: &Job) {
        if let Some(request) = job.fingerprint {
            self.crashes.begin(request, |open| open.portions += 1);
        }
    }

    pub(super) fn portion_ended(&mut self, job: &Job, out: &mut Vec<Action>) {
        if let Some(request) = job.fingerprint {
            self.crashes.end(request, |open| open.portions -= 1);
            self.tell_ends(out);
        }
    }

    pub(super) fn call_began(&mut self, attempt: &Attempt) {
        if let Some(request) = attempt.job.fingerprint {
            self.crashes.begin(request, |open| open.calls += 1);
        }
    }

    /// A call has ended like this; `whole` when the server gave a whole response all the same.
    pub(super) fn call_ended(
        &mut self,
        attempt: &Attempt,
        outcome: &Outcome,
        whole: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = attempt.job.fingerprint else {
            return;
        };
        self.crashes.end(request, |open| open.calls -= 1);
        let timed_out = self.now.since(attempt.sent) >= attempt.timeout;
        if whole || is_of_server(outcome) {
            self.refute_end(attempt, out);
        }
        match outcome {
            Outcome::Answer(_) => self.request_answered(request, out),
            Outcome::Error if whole => self.request_answered(request, out),
            Outcome::Lost if !timed_out => self.connection_lost(attempt.server, request),
            _ => {}
        }
        self.tell_ends(out);
    }

    /// A server answered a request, which therefore ends none.
    fn request_answered(&mut self, request: Fingerprint, out: &mut Vec<Action>) {
        let doubted = self.crashes.answered(self.now, request);
        if self.view.quarantine.concerns(request) {
            out.push(Action::Cleared(request));
        }
        if doubted {
            self.look_at_parts();
        }
    }

    /// A server has answered a call; if it is said to have ended, it did not.
    ///
    /// Whoever is cut off takes all servers for ended. Only a connection counts that was open when the calls
    /// of others broke off: a later one may lead to the next process at the same address, also when it is
    /// older than the news.
    fn refute_end(&mut self, attempt: &Attempt, out: &mut Vec<Action>) {
        let server = &mut self.servers[attempt.server];
        let Some(suspicion) = server.suspicion else {
            return;
        };
        let older = |since: Instant| since + DATING_ERROR < suspicion.ended;
        let older = self.lanes.get(attempt.lane).is_some_and(|lane| older(lane.since));
        if older && attempt.sent >= suspicion.heard {
            server.suspicion = None;
            let (server, incarnation) = (Arc::clone(&server.name), server.incarnation);
            out.push(Action::Refuted { server, incarnation });
        }
    }

    /// Takes over which requests are refused, and which servers are said to have ended.
    pub(super) fn take_quarantine(
        &mut self,
        before: &Arc<view::Quarantine>,
        out: &mut Vec<Action>,
    ) {
        let now = Arc::clone(&self.view.quarantine);
        if Arc::ptr_eq(before, &now) {
            return;
        }
        for server in self.servers.values_mut() {
            let end = now.ended.get(&server.name);
            let end = end.filter(|end| end.incarnation == server.incarnation);
            let heard = server.suspicion.map_or(self.now, |suspicion| suspicion.heard);
            server.suspicion = end.map(|end| Suspicion { ended: end.at, heard });
        }
        let known = now.refused.iter().chain(&now.suspected);
        let answered = known.filter(|request| self.crashes.was_answered(**request));
        out.extend(answered.map(|request| Action::Cleared(*request)));
        if !now.refused.is_empty() {
            self.stop_refused(&now.refused, out);
        }
    }

    /// Ends what is open of refused requests. Calls that wait at servers end with their connections.
    fn stop_refused(&mut self, refused: &Set<Fingerprint>, out: &mut Vec<Action>) {
        let is_refused = |job: &Job| job.fingerprint.is_some_and(|one| refused.contains(&one));
        let open = self.portions.iter().filter(|(_, portion)| is_refused(&portion.job));
        let open: Vec<PortionKey> = open.map(|(key, _)| key).collect();
        for key in open {
            self.finish(key, Refused::with(self.standing(key), Reason::Quarantined), out);
        }
        let calls = self.attempts.iter().filter(|(_, attempt)| is_refused(&attempt.job));
        let calls: Vec<AttemptKey> = calls.map(|(key, _)| key).collect();
        for key in calls {
            self.abandon(key, out);
        }
    }

    /// Parts that waited for news of a server may go on.
    fn look_at_parts(&mut self) {
        let ids: Vec<ServiceId> = self.services.keys().collect();
        for id in ids {
            if !self.services[id].queue.is_empty() {
                self.mark(id);
            }
        }
    }

    /// Whether a portion is not to be sent now.
    ///
    /// The failure: a request ends each server that begins to run it. All its calls break off at once, and
    /// its parts would end the next server of each shard before the first call that could tell is answered.
    /// They wait until a sibling is answered, a server takes connections again, or it is known that the
    /// servers ended. A harmless request loses a few milliseconds by it.
    pub(super) fn waits_for_news(&self, key: PortionKey) -> bool {
        let request = self.portions[key].job.fingerprint;
        let waits = |request| self.crashes.waits(self.now, request);
        self.crashes.has_suspects() && request.is_some_and(waits)
    }

    /// Whether a portion gets no second copy now.
    pub(super) fn stalls(&self, key: PortionKey) -> bool {
        let request = self.portions[key].job.fingerprint;
        let stalls = |request| self.crashes.stalls(self.now, request);
        self.crashes.has_suspects() && request.is_some_and(stalls)
    }

    /// A connection to a server is open.
    pub(super) fn server_listens(&mut self, key: ServerKey) {
        if self.crashes.has_suspects() {
            self.crashes.trust(key);
            self.look_at_parts();
        }
    }

    /// Refuses the waiting parts of requests under which servers are known to have ended.
    pub(super) fn refuse_waiting(&mut self, out: &mut Vec<Action>) {
        if !self.crashes.has_suspects() {
            return;
        }
        let failed = self.crashes.failed();
        let of_failed = |portion: &Portion| {
            let request = portion.job.fingerprint;
            portion.place.is_some() && request.is_some_and(|request| failed.contains(&request))
        };
        let waiting = self.portions.iter().filter(|(_, portion)| of_failed(portion));
        let waiting: Vec<PortionKey> = waiting.map(|(key, _)| key).collect();
        for key in waiting {
            self.finish(key, Refused::with(self.standing(key), Reason::TargetLost), out);
        }
    }

    /// A call was given up here: nothing is known of its end.
    pub(super) fn call_abandoned(&mut self, attempt: &Attempt, out: &mut Vec<Action>) {
        if let Some(request) = attempt.job.fingerprint {
            self.crashes.end(request, |open| open.calls -= 1);
            self.tell_ends(out);
        }
    }

    fn connection_lost(&mut self, key: ServerKey, request: Fingerprint) {
        let losses = &mut self.servers[key].losses;
        losses.retain(|loss| loss.request != request);
        if losses.len() >= LOSSES {
            losses.remove(0);
        }
        losses.push(Loss { request, at: self.now });
        self.crashes.suspect(self.now, request, key);
        self.pump_at(self.servers[key].service, self.now + HOLD);
    }

    /// Nothing listens at a server's address.
    pub(super) fn lane_refused(&mut self, key: LaneKey, out: &mut Vec<Action>) {
        if let Some(lane) = self.lanes.get(key) {
            let server = lane.server;
            self.server_ended(server, self.servers[server].incarnation, out);
        }
        self.closed(key, out);
    }

    /// An incarnation of a server is known to have ended.
    pub(super) fn server_ended(&mut self, key: ServerKey, incarnation: u64, out: &mut Vec<Action>) {
        let server = &mut self.servers[key];
        let mut losses = std::mem::take(&mut server.losses);
        losses.retain(|loss| self.now.since(loss.at) < EVIDENCE_AGE);
        if losses.is_empty() {
            return;
        }
        let incarnation = Incarnation { server: Arc::clone(&server.name), number: incarnation };
        self.crashes.server_ended(self.now, key, incarnation, &losses);
        self.tell_ends(out);
    }

    fn tell_ends(&mut self, out: &mut Vec<Action>) {
        if self.crashes.has_suspects() {
            self.look_at_parts();
        }
        let ends = self.crashes.take_settled(self.now).into_iter();
        out.extend(ends.map(|end| Action::Crashed {
            server: end.incarnation.server,
            incarnation: end.incarnation.number,
            at: end.lost_at,
            requests: end.requests,
        }));
    }
}

/// Whether a call's end was the word of the server that it was sent to: another one may have its address and
/// refuse what is not for it.
fn is_of_server(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answer(_) => true,
        Outcome::Refusal(refusal) => refusal.reason() != Reason::TargetLeaving,
        Outcome::Error | Outcome::Lost | Outcome::Unsent => false,
    }
}
