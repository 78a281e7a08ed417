//! Which requests were at a server that ended.
//!
//! All calls at a server that ends break off alike, and the request that ended it is one of them. A broken
//! connection proves nothing: the server has ended when nothing listens at its address any more, or when
//! it is known to have started again.

use std::sync::Arc;
use std::time::Duration;

use super::attempt::Attempt;
use super::event::{Action, LaneKey, Outcome};
use super::machine::Machine;
use super::recent::Recent;
use super::server::ServerKey;
use crate::collections::Map;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;

/// How long after a call broke off its server's end is still taken for the cause.
const PROOF: Duration = Duration::from_secs(5);
/// Broken calls kept of one server. Servers work on a few requests at once.
const LOSSES: usize = 16;

/// A call that broke off without an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loss {
    request: Fingerprint,
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
            Outcome::Answer(_) => drop(self.crashes.answered.insert(self.now, request)),
            Outcome::Error if whole => drop(self.crashes.answered.insert(self.now, request)),
            Outcome::Lost if !timed_out => self.broke_off(attempt.server, request),
            _ => {}
        }
        self.tell_ends(out);
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
        let server = Arc::clone(&server.name);
        self.crashes.ends.push(End { server, incarnation, requests, at: self.now });
        self.tell_ends(out);
    }

    fn tell_ends(&mut self, out: &mut Vec<Action>) {
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
