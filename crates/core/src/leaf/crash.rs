//! Which requests were at a server that ended.
//!
//! All calls at a server that ends break off alike, and the request that ended it is one of them. A broken
//! connection proves nothing: the server has ended when nothing listens at its address any more, or when
//! it is known to have started again.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::Reason;

use super::attempt::Attempt;
use super::event::{Action, LaneKey, Outcome};
use super::machine::Machine;
use super::portion::{Portion, PortionKey};
use super::recent::Recent;
use super::reply::Refused;
use super::server::ServerKey;
use super::service::ServiceId;
use crate::collections::Map;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;

/// How long after a call broke off its server's end is still taken for the cause.
const PROOF: Duration = Duration::from_secs(5);
/// Broken calls kept of one server. Servers work on a few requests at once.
const LOSSES: usize = 16;

/// Servers that seem to have ended under a request from which on its parts wait.
const WAITS: usize = 3;
/// How long a part whose call broke off waits for its siblings, while so many of them may do the same.
const MOMENT: Duration = Duration::from_millis(5);

/// A call that broke off without an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loss {
    request: Fingerprint,
    at: Instant,
}

/// A server that seems to have ended under a request.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    server: ServerKey,
    /// It is known to have ended.
    ended: bool,
    at: Instant,
}

/// A life of a server that has ended.
#[derive(Debug)]
struct End {
    server: Arc<str>,
    incarnation: u64,
    /// Requests at the server when it ended, each once.
    requests: Vec<Fingerprint>,
    at: Instant,
}

/// What is known of the requests at servers.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Open calls of each request.
    ///
    /// Invariant: none of them is zero.
    open: Map<Fingerprint, u32>,
    /// Requests that servers answered.
    answered: Recent<Fingerprint>,
    /// Servers that seem to have ended under each request that no server has answered.
    doubts: Map<Fingerprint, Vec<Doubt>>,
    /// Ends that are not told yet, as a request of theirs may still be answered by another server.
    ends: Vec<End>,
}

impl Crashes {
    /// A call of a request was sent.
    fn begin(&mut self, request: Fingerprint) {
        *self.open.entry(request).or_default() += 1;
    }

    /// A call of a request has ended.
    fn end(&mut self, request: Fingerprint) {
        if let Some(open) = self.open.get_mut(&request) {
            *open -= 1;
            if *open == 0 {
                self.open.remove(&request);
            }
        }
    }

    /// A call of a request broke off at a server.
    fn doubt(&mut self, now: Instant, request: Fingerprint, server: ServerKey) {
        self.doubts.retain(|_, doubts| {
            doubts.retain(|doubt| now.since(doubt.at) < PROOF);
            !doubts.is_empty()
        });
        if self.answered.contains(&request) {
            return;
        }
        let doubts = self.doubts.entry(request).or_default();
        doubts.retain(|doubt| doubt.server != server);
        doubts.push(Doubt { server, ended: false, at: now });
    }

    /// A server takes connections.
    fn trust(&mut self, server: ServerKey) {
        let lives = |doubt: &Doubt| doubt.server == server && !doubt.ended;
        self.doubts.values_mut().for_each(|doubts| doubts.retain(|doubt| !lives(doubt)));
    }

    fn ended(&mut self, server: ServerKey) {
        let doubts = self.doubts.values_mut().flatten();
        doubts.filter(|doubt| doubt.server == server).for_each(|doubt| doubt.ended = true);
    }

    /// Whether so many servers seem to have ended under a request that no other is to get it.
    fn stalls(&self, now: Instant, request: Fingerprint) -> bool {
        self.fresh(now, request, PROOF) >= WAITS
    }

    /// The same, or so many may have within a moment.
    fn waits(&self, now: Instant, request: Fingerprint) -> bool {
        let open = self.open.get(&request).map_or(0, |open| *open as usize);
        let lately = self.fresh(now, request, MOMENT);
        self.stalls(now, request) || (lately > 0 && lately + open >= WAITS)
    }

    /// Servers that seem to have ended under a request in a span of time.
    fn fresh(&self, now: Instant, request: Fingerprint, span: Duration) -> usize {
        let fresh = |doubt: &&Doubt| now.since(doubt.at) < span;
        self.doubts.get(&request).map_or(0, |doubts| doubts.iter().filter(fresh).count())
    }

    /// Requests without an open call under which so many servers are known to have ended.
    fn failed(&self) -> Vec<Fingerprint> {
        let ended = |doubts: &[Doubt]| doubts.iter().filter(|doubt| doubt.ended).count() >= WAITS;
        let open = |request| self.open.contains_key(request);
        let failed = self.doubts.iter().filter(|(request, doubts)| ended(doubts) && !open(request));
        failed.map(|(request, _)| *request).collect()
    }

    /// Ends whose requests are all settled; requests that were answered don't count among them.
    fn take_settled(&mut self, now: Instant) -> Vec<End> {
        for end in &mut self.ends {
            end.requests.retain(|request| !self.answered.contains(request));
        }
        self.ends.retain(|end| !end.requests.is_empty() && now.since(end.at) < PROOF);
        let open = &self.open;
        let settled = |end: &mut End| !end.requests.iter().any(|one| open.contains_key(one));
        self.ends.extract_if(.., settled).collect()
    }
}

impl Machine {
    pub(super) fn call_began(&mut self, attempt: &Attempt) {
        if let Some(request) = attempt.job.fingerprint {
            self.crashes.begin(request);
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
        self.crashes.end(request);
        let timed_out = self.now.since(attempt.sent) >= attempt.timeout;
        match outcome {
            Outcome::Answer(_) => self.request_answered(request),
            Outcome::Error if whole => self.request_answered(request),
            Outcome::Lost if !timed_out => self.broke_off(attempt.server, request),
            _ => {}
        }
        self.tell_ends(out);
    }

    /// A server answered a request, which therefore ends none.
    fn request_answered(&mut self, request: Fingerprint) {
        self.crashes.answered.insert(self.now, request);
        if self.crashes.doubts.remove(&request).is_some() {
            self.look_at_parts();
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
        !self.crashes.doubts.is_empty() && request.is_some_and(waits)
    }

    /// Whether a portion gets no second copy now.
    pub(super) fn stalls(&self, key: PortionKey) -> bool {
        let request = self.portions[key].job.fingerprint;
        let stalls = |request| self.crashes.stalls(self.now, request);
        !self.crashes.doubts.is_empty() && request.is_some_and(stalls)
    }

    /// A connection to a server is open.
    pub(super) fn server_listens(&mut self, key: ServerKey) {
        if !self.crashes.doubts.is_empty() {
            self.crashes.trust(key);
            self.look_at_parts();
        }
    }

    /// Refuses the waiting parts of requests under which servers are known to have ended.
    pub(super) fn refuse_waiting(&mut self, out: &mut Vec<Action>) {
        if self.crashes.doubts.is_empty() {
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
            self.crashes.end(request);
            self.tell_ends(out);
        }
    }

    fn broke_off(&mut self, key: ServerKey, request: Fingerprint) {
        let losses = &mut self.servers[key].losses;
        losses.retain(|loss| loss.request != request);
        if losses.len() >= LOSSES {
            losses.remove(0);
        }
        losses.push(Loss { request, at: self.now });
        self.crashes.doubt(self.now, request, key);
        self.pump_at(self.servers[key].service, self.now + MOMENT);
    }

    /// Nothing listens at a server's address.
    pub(super) fn refused(&mut self, key: LaneKey, out: &mut Vec<Action>) {
        if let Some(lane) = self.lanes.get(key) {
            let server = lane.server;
            self.server_ended(server, self.servers[server].incarnation, out);
        }
        self.closed(key, out);
    }

    /// A life of a server is known to have ended.
    pub(super) fn server_ended(&mut self, key: ServerKey, incarnation: u64, out: &mut Vec<Action>) {
        let server = &mut self.servers[key];
        let mut losses = std::mem::take(&mut server.losses);
        losses.retain(|loss| self.now.since(loss.at) < PROOF);
        if losses.is_empty() {
            return;
        }
        let requests = losses.iter().map(|loss| loss.request).collect();
        self.crashes.ended(key);
        let server = Arc::clone(&server.name);
        self.crashes.ends.push(End { server, incarnation, requests, at: self.now });
        self.tell_ends(out);
    }

    fn tell_ends(&mut self, out: &mut Vec<Action>) {
        if !self.crashes.doubts.is_empty() {
            self.look_at_parts();
        }
        if self.crashes.ends.is_empty() {
            return;
        }
        let ends = self.crashes.take_settled(self.now).into_iter();
        out.extend(ends.map(|end| Action::Crashed {
            server: end.server,
            incarnation: end.incarnation,
            requests: end.requests,
        }));
    }
}
