//! Table of open requests and of the servers suspected to have ended under them.

use std::time::Duration;

use crate::collections::Map;
use crate::control::quarantine::Incarnation;
use crate::fingerprint::Fingerprint;
use crate::leaf::recent::Recent;
use crate::leaf::server::ServerKey;
use crate::time::Instant;

/// Age up to which a lost connection counts as evidence against the requests that it carried.
pub(super) const EVIDENCE_AGE: Duration = Duration::from_secs(5);
/// Lost calls kept of one server. Servers work on a few requests at once.
pub(super) const LOSSES: usize = 16;

/// Suspected servers from which on a request's parts wait.
const SUSPECTS: usize = 3;
/// How long a part whose connection was lost waits for an answer to another part.
pub(super) const HOLD: Duration = Duration::from_millis(50);

/// A call whose connection was lost before an answer.
#[derive(Clone, Copy, Debug)]
pub(in crate::leaf) struct Loss {
    pub(super) request: Fingerprint,
    pub(super) at: Instant,
}

/// A server suspected to have ended under a request.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    server: ServerKey,
    /// It is known to have ended.
    ended: bool,
    at: Instant,
}

/// An incarnation of a server that has ended.
#[derive(Debug)]
pub(super) struct End {
    pub(super) incarnation: Incarnation,
    /// When the first of its calls broke off.
    pub(super) lost_at: Instant,
    /// Requests at the server when it ended, each once.
    pub(super) requests: Vec<Fingerprint>,
    at: Instant,
}

/// What is open of a request.
///
/// Invariant: kept as long as one of them is not zero.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Open {
    pub(super) calls: u32,
    /// Portions without a reply.
    pub(super) portions: u32,
}

/// What is known of the requests at servers.
#[derive(Debug, Default)]
pub(in crate::leaf) struct Crashes {
    /// Requests that are open here.
    open: Map<Fingerprint, Open>,
    /// Requests that servers answered.
    answered: Recent<Fingerprint>,
    /// Servers that seem to have ended under each request that no server has answered.
    suspects: Map<Fingerprint, Vec<Suspect>>,
    /// Ends that are not told yet, as a request of theirs may still be answered by another server.
    ends: Vec<End>,
}

impl Crashes {
    /// A call or a portion of a request begins.
    pub(super) fn begin(&mut self, request: Fingerprint, begin: impl FnOnce(&mut Open)) {
        begin(self.open.entry(request).or_default());
    }

    /// A call or a portion of a request has ended.
    pub(super) fn end(&mut self, request: Fingerprint, end: impl FnOnce(&mut Open)) {
        if let Some(open) = self.open.get_mut(&request) {
            end(open);
            if open.calls == 0 && open.portions == 0 {
                self.open.remove(&request);
            }
        }
    }

    fn calls(&self, request: Fingerprint) -> usize {
        self.open.get(&request).map_or(0, |open| open.calls as usize)
    }

    /// A call of a request broke off at a server.
    pub(super) fn suspect(&mut self, now: Instant, request: Fingerprint, server: ServerKey) {
        self.suspects.retain(|_, suspects| {
            suspects.retain(|suspect| now.since(suspect.at) < EVIDENCE_AGE);
            !suspects.is_empty()
        });
        if self.answered.contains(&request) {
            return;
        }
        let suspects = self.suspects.entry(request).or_default();
        suspects.retain(|suspect| suspect.server != server);
        suspects.push(Suspect { server, ended: false, at: now });
    }

    /// A server takes connections.
    pub(super) fn trust(&mut self, server: ServerKey) {
        let alive = |suspect: &Suspect| suspect.server == server && !suspect.ended;
        self.suspects.values_mut().for_each(|suspects| suspects.retain(|suspect| !alive(suspect)));
    }

    /// An incarnation of a server has ended; these calls broke off there.
    pub(super) fn server_ended(
        &mut self,
        now: Instant,
        key: ServerKey,
        incarnation: Incarnation,
        losses: &[Loss],
    ) {
        let suspects = self.suspects.values_mut().flatten();
        suspects.filter(|suspect| suspect.server == key).for_each(|suspect| suspect.ended = true);
        let lost_at = losses.iter().map(|loss| loss.at).min().unwrap_or(now);
        let requests = losses.iter().map(|loss| loss.request).collect();
        self.ends.push(End { incarnation, lost_at, requests, at: now });
    }

    /// A server answered a request; whether servers seemed to have ended under it.
    pub(super) fn answered(&mut self, now: Instant, request: Fingerprint) -> bool {
        self.answered.insert(now, request);
        self.suspects.remove(&request).is_some()
    }

    pub(super) fn was_answered(&self, request: Fingerprint) -> bool {
        self.answered.contains(&request)
    }

    pub(super) fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Whether so many servers seem to have ended under a request that no other is to get it.
    pub(super) fn stalls(&self, now: Instant, request: Fingerprint) -> bool {
        self.fresh(now, request, EVIDENCE_AGE) >= SUSPECTS
    }

    /// The same, or one has while calls of the request that may tell are open.
    pub(super) fn waits(&self, now: Instant, request: Fingerprint) -> bool {
        let lately = self.fresh(now, request, HOLD);
        self.stalls(now, request) || (lately > 0 && self.calls(request) > 0)
    }

    /// Servers that seem to have ended under a request in a span of time.
    fn fresh(&self, now: Instant, request: Fingerprint, span: Duration) -> usize {
        let fresh = |suspect: &&Suspect| now.since(suspect.at) < span;
        self.suspects.get(&request).map_or(0, |suspects| suspects.iter().filter(fresh).count())
    }

    /// Requests without an open call under which so many servers are known to have ended.
    pub(super) fn failed(&self) -> Vec<Fingerprint> {
        let ended = |suspects: &[Suspect]| {
            suspects.iter().filter(|suspect| suspect.ended).count() >= SUSPECTS
        };
        let suspects = self.suspects.iter();
        let failed =
            suspects.filter(|(request, suspects)| ended(suspects) && self.calls(**request) == 0);
        failed.map(|(request, _)| *request).collect()
    }

    /// Ends whose requests are all settled; requests that were answered don't count among them.
    pub(super) fn take_settled(&mut self, now: Instant) -> Vec<End> {
        if self.ends.is_empty() {
            return Vec::new();
        }
        for end in &mut self.ends {
            end.requests.retain(|request| !self.answered.contains(request));
        }
        self.ends.retain(|end| !end.requests.is_empty() && now.since(end.at) < EVIDENCE_AGE);
        let open = &self.open;
        let settled = |end: &mut End| !end.requests.iter().any(|one| open.contains_key(one));
        self.ends.extract_if(.., settled).collect()
    }
}
