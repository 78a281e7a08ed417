//! Table of open requests and of the servers suspected to have crashed while running them.

use std::time::Duration;

use crate::collections::Map;
use crate::control::quarantine::{ANSWER_IMMUNITY, Incarnation};
use crate::fingerprint::Fingerprint;
use crate::leaf::recent::Recent;
use crate::leaf::server::ServerKey;
use crate::time::Instant;

/// Maximum age at which a lost connection counts as evidence against the requests that it carried.
pub(super) const EVIDENCE_MAX_AGE: Duration = Duration::from_secs(5);
/// Maximum number of lost calls kept per server. A server works on only a few requests at once.
pub(super) const MAX_LOST_CALLS_PER_SERVER: usize = 16;

/// Number of servers suspected to have crashed under a request from which all portions of the
/// request are kept queued, and minimum number of errors that outweigh suspected servers.
const MIN_SUSPECTS: usize = 3;
/// Longest time from the detection of a crash to its report while its requests may still be answered.
pub(super) const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);
/// Time for which a portion with a lost connection is kept queued while another portion of its
/// request may still be answered.
pub(super) const HOLD_TIME: Duration = Duration::from_millis(50);

/// A call whose connection was lost before an answer arrived.
#[derive(Clone, Copy, Debug)]
pub(in crate::leaf) struct LostCall {
    pub(super) request: Fingerprint,
    /// Whether the call was a trial of the request.
    pub(super) on_trial: bool,
    pub(super) at: Instant,
}

/// A server suspected to have crashed while running a request.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    server: ServerKey,
    /// Whether the server process is known to have terminated.
    terminated: bool,
    at: Instant,
}

/// A terminated incarnation of a server.
#[derive(Debug)]
pub(super) struct Crash {
    pub(super) incarnation: Incarnation,
    /// Time at which the first call at the crashed server lost its connection.
    pub(super) lost_at: Instant,
    /// Requests that were at the server when it terminated, each listed once.
    pub(super) requests: Vec<Fingerprint>,
    /// Those of the requests that were on trial.
    pub(super) trials: Vec<Fingerprint>,
    at: Instant,
}

/// Numbers of open calls and portions of a request.
///
/// Invariant: kept while at least one of the numbers is not zero.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OpenCounts {
    pub(super) calls: u32,
    /// Number of portions of the request that have no reply yet.
    pub(super) portions: u32,
}

/// Errors that servers returned for a request.
#[derive(Clone, Copy, Debug)]
struct Errors {
    count: usize,
    /// Time of the first of them.
    since: Instant,
}

/// Evidence about the requests that are at servers, by fingerprint.
#[derive(Debug)]
pub(in crate::leaf) struct Crashes {
    /// Counts of the requests that have open calls or portions at this instance.
    open: Map<Fingerprint, OpenCounts>,
    /// Requests answered by a server within [`ANSWER_IMMUNITY`].
    answered: Recent<Fingerprint>,
    /// Servers suspected to have crashed under each request that no server has answered.
    suspects: Map<Fingerprint, Vec<Suspect>>,
    /// Errors that servers returned for requests under suspicion.
    errors: Map<Fingerprint, Errors>,
    /// Crashes that are not reported yet, because another server may still answer one of their
    /// requests.
    pending: Vec<Crash>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            open: Map::default(),
            answered: Recent::with_max_age(ANSWER_IMMUNITY),
            suspects: Map::default(),
            errors: Map::default(),
            pending: Vec::new(),
        }
    }
}

impl Crashes {
    /// Counts a new call or portion of a request.
    pub(super) fn begin(&mut self, request: Fingerprint, update: impl FnOnce(&mut OpenCounts)) {
        update(self.open.entry(request).or_default());
    }

    /// Removes an ended call or portion from the counts of its request.
    pub(super) fn end(&mut self, request: Fingerprint, update: impl FnOnce(&mut OpenCounts)) {
        if let Some(open) = self.open.get_mut(&request) {
            update(open);
            if open.calls == 0 && open.portions == 0 {
                self.open.remove(&request);
            }
        }
    }

    /// Number of open calls of a request.
    fn calls(&self, request: Fingerprint) -> usize {
        self.open.get(&request).map_or(0, |open| open.calls as usize)
    }

    /// Adds a server that lost the connection of a call to the suspects of its request.
    pub(super) fn add_suspect(&mut self, now: Instant, request: Fingerprint, server: ServerKey) {
        self.suspects.retain(|_, suspects| {
            suspects.retain(|suspect| now.since(suspect.at) < EVIDENCE_MAX_AGE);
            !suspects.is_empty()
        });
        if self.answered.contains_at(now, &request) {
            return;
        }
        let suspects = self.suspects.entry(request).or_default();
        suspects.retain(|suspect| suspect.server != server);
        suspects.push(Suspect { server, terminated: false, at: now });
    }

    /// Removes a server that accepts connections from all suspects, unless its process is known to
    /// have terminated.
    pub(super) fn clear_suspect(&mut self, server: ServerKey) {
        let is_cleared = |suspect: &Suspect| suspect.server == server && !suspect.terminated;
        self.suspects
            .values_mut()
            .for_each(|suspects| suspects.retain(|suspect| !is_cleared(suspect)));
    }

    /// Records that an incarnation of a server has terminated and lost these calls.
    pub(super) fn server_terminated(
        &mut self,
        now: Instant,
        key: ServerKey,
        incarnation: Incarnation,
        lost_calls: &[LostCall],
    ) {
        let suspects = self.suspects.values_mut().flatten();
        suspects
            .filter(|suspect| suspect.server == key)
            .for_each(|suspect| suspect.terminated = true);
        let lost_at = lost_calls.iter().map(|call| call.at).min().unwrap_or(now);
        let requests = lost_calls.iter().map(|call| call.request).collect();
        let on_trial = lost_calls.iter().filter(|call| call.on_trial);
        let trials = on_trial.map(|call| call.request).collect();
        self.pending.push(Crash { incarnation, lost_at, requests, trials, at: now });
    }

    /// Records that a server answered a request. Returns whether servers were suspected to have
    /// crashed under the request.
    pub(super) fn record_answer(&mut self, now: Instant, request: Fingerprint) -> bool {
        self.answered.insert(now, request);
        self.clear(request)
    }

    /// Forgets the evidence against a request. Returns whether servers were suspected to have
    /// crashed under it.
    pub(super) fn clear(&mut self, request: Fingerprint) -> bool {
        self.errors.remove(&request);
        self.suspects.remove(&request).is_some()
    }

    /// Records that a server returned an error for a request under suspicion. Returns whether the
    /// errors outweigh the servers suspected to have crashed under the request.
    pub(super) fn record_error(&mut self, now: Instant, request: Fingerprint) -> bool {
        self.errors.retain(|_, errors| now.since(errors.since) < EVIDENCE_MAX_AGE);
        let errors = self.errors.entry(request).or_insert(Errors { count: 0, since: now });
        errors.count += 1;
        let count = errors.count;
        count >= MIN_SUSPECTS && count > self.recent_suspects(now, request, EVIDENCE_MAX_AGE)
    }

    /// Whether any server is suspected to have crashed under a request.
    pub(super) fn is_suspected(&self, request: Fingerprint) -> bool {
        self.suspects.contains_key(&request)
    }

    /// Whether a server recently answered the request.
    pub(super) fn was_answered(&self, now: Instant, request: Fingerprint) -> bool {
        self.answered.contains_at(now, &request)
    }

    /// Whether any server is suspected to have crashed under a request.
    pub(super) fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Whether so many servers are suspected to have crashed under a request that no other server
    /// may get it.
    pub(super) fn has_many_suspects(&self, now: Instant, request: Fingerprint) -> bool {
        self.recent_suspects(now, request, EVIDENCE_MAX_AGE) >= MIN_SUSPECTS
    }

    /// Whether the portions of a request are kept queued: many servers are suspected to have
    /// crashed under it, or one recently while open calls of the request may still clear it.
    pub(super) fn must_hold(&self, now: Instant, request: Fingerprint) -> bool {
        let recent = self.recent_suspects(now, request, HOLD_TIME);
        self.has_many_suspects(now, request) || (recent > 0 && self.calls(request) > 0)
    }

    /// Number of servers suspected under a request within a span of time.
    fn recent_suspects(&self, now: Instant, request: Fingerprint, span: Duration) -> usize {
        let is_recent = |suspect: &&Suspect| now.since(suspect.at) < span;
        self.suspects.get(&request).map_or(0, |suspects| suspects.iter().filter(is_recent).count())
    }

    /// Requests without an open call under which at least [`MIN_SUSPECTS`] servers are known to
    /// have crashed recently.
    pub(super) fn poison_requests(&self, now: Instant) -> Vec<Fingerprint> {
        let counts =
            |suspect: &&Suspect| suspect.terminated && now.since(suspect.at) < EVIDENCE_MAX_AGE;
        let confirmed =
            |suspects: &[Suspect]| suspects.iter().filter(counts).count() >= MIN_SUSPECTS;
        let suspects = self.suspects.iter();
        let poison = suspects
            .filter(|(request, suspects)| confirmed(suspects) && self.calls(**request) == 0);
        poison.map(|(request, _)| *request).collect()
    }

    /// Whether any crash is to be reported.
    pub(in crate::leaf) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Removes and returns the crashes whose requests have no open call or portion, or that were
    /// detected [`MAX_REPORT_DELAY`] ago. Answered requests are dropped from the crashes first.
    pub(super) fn take_settled(&mut self, now: Instant) -> Vec<Crash> {
        if self.pending.is_empty() {
            return Vec::new();
        }
        for crash in &mut self.pending {
            crash.requests.retain(|request| !self.answered.contains_at(now, request));
        }
        self.pending
            .retain(|crash| !crash.requests.is_empty() && now.since(crash.at) < EVIDENCE_MAX_AGE);
        let open = &self.open;
        let settled = |crash: &mut Crash| {
            now.since(crash.at) >= MAX_REPORT_DELAY
                || !crash.requests.iter().any(|request| open.contains_key(request))
        };
        self.pending.extract_if(.., settled).collect()
    }
}
