//! Detects the requests that were at a server when its process terminated.
//!
//! All calls at a terminating server fail alike, and the request that crashed the server is one of
//! them. A lost connection alone proves nothing. The server process is known to have terminated
//! when no process listens at its address any more, or when the server is known to have started
//! again.

mod table;

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::Reason;

use super::attempt::Attempt;
use super::completion::{Completion, Proof};
use super::event::{Action, AttemptKey, Clearance, ConnectionKey, Outcome};
use super::machine::Machine;
use super::portion::{Job, Portion, PortionKey};
use super::reply::Refused;
use super::server::ServerKey;
use super::service::ServiceId;
use super::timer::Timer;
use crate::control::quarantine::{Cause, Incarnation};
use crate::count;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use crate::view;

pub(super) use table::{Crashes, LostCall};
use table::{EVIDENCE_MAX_AGE, HOLD_TIME, MAX_LOST_CALLS_PER_SERVER, MAX_REPORT_DELAY};

/// Maximum error of the reported time of a termination: reports forwarded by peers may date it this
/// much too late.
const MAX_TIME_ERROR: Duration = Duration::from_secs(1);

/// Termination of a server that an instance reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedTermination {
    /// Time at which calls at the server lost their connections.
    terminated_at: Instant,
    /// Time at which this instance received the report.
    received_at: Instant,
}

impl Machine {
    /// Counts a new portion of a request that has a fingerprint.
    pub(super) fn portion_began(&mut self, job: &Job) {
        if let Some(request) = job.fingerprint {
            self.crashes.begin(request, |open| open.portions += 1);
        }
    }

    /// Removes a portion that has its reply from the counts of its request and reports crashes
    /// whose requests are settled.
    pub(super) fn portion_ended(&mut self, job: &Job, out: &mut Vec<Action>) {
        if let Some(request) = job.fingerprint {
            self.crashes.end(request, |open| open.portions -= 1);
            self.report_crashes(out);
        }
    }

    /// Counts a new call of a request that has a fingerprint.
    pub(super) fn call_began(&mut self, attempt: &Attempt, out: &mut Vec<Action>) {
        let Some(request) = attempt.job.fingerprint else {
            return;
        };
        self.crashes.begin(request, |open| open.calls += 1);
        let quarantine = &self.view.quarantine;
        if attempt.job.work.on_trial {
            Self::count(count::Event::SuspectCall, Reason::Suspected, out);
        } else if quarantine.refused.contains(&request) {
            Self::count(count::Event::SuspectCall, Reason::Quarantined, out);
        } else if quarantine.suspected.contains(&request) {
            Self::count(count::Event::SuspectCall, Reason::TargetLost, out);
        }
    }

    /// Updates the crash evidence when a call ends with this outcome. `complete_response` is `true`
    /// if the server sent a complete response, even one that counts as an error.
    pub(super) fn call_ended(
        &mut self,
        attempt: &Attempt,
        outcome: &Outcome,
        complete_response: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = attempt.job.fingerprint else {
            return;
        };
        self.crashes.end(request, |open| open.calls -= 1);
        if complete_response || is_from_server(outcome) {
            self.refute_termination(attempt, out);
        }
        if attempt.lost_connection(self.now, outcome) {
            let on_trial = attempt.job.work.on_trial;
            self.connection_lost(attempt.server, LostCall { request, on_trial, at: self.now });
        }
        self.report_crashes(out);
    }

    /// Clears the request of an ended call of crashing servers, if its end proves that.
    ///
    /// Errors clear a request only if there are more of them than lost connections: a server may
    /// report an error without having run the request, but a request that crashes servers loses the
    /// connections of most of its calls.
    pub(super) fn clear_if_proved(
        &mut self,
        attempt: &Attempt,
        completion: Completion,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = attempt.job.fingerprint else {
            return;
        };
        let is_concerned = self.view.quarantine.concerns(request);
        let (was_suspected, cause) = match completion.proof {
            Proof::Nothing => return,
            Proof::Finished => (self.crashes.record_answer(self.now, request), Cause::Answer),
            Proof::Failed if !is_concerned && !self.crashes.is_suspected(request) => return,
            Proof::Failed if !self.crashes.record_error(self.now, request) => return,
            Proof::Failed => (self.crashes.clear(request), Cause::Errors),
        };
        if is_concerned {
            let server = Arc::clone(&self.servers[attempt.server].name);
            let took = self.now.since(attempt.sent);
            let response = Some(Clearance { server, status: completion.status, took });
            out.push(Action::Cleared { request, cause, response });
        }
        if was_suspected {
            self.mark_waiting_services();
        }
    }

    /// Refutes the reported termination of a server that has answered a call sent after the report.
    ///
    /// An instance that is cut off from the network considers all servers terminated. Only a
    /// connection that was open before other instances lost their calls refutes the report: a later
    /// connection may lead to the next process at the same address, even if it was opened before
    /// the report arrived.
    fn refute_termination(&mut self, attempt: &Attempt, out: &mut Vec<Action>) {
        let server = &mut self.servers[attempt.server];
        let Some(termination) = server.reported_termination else {
            return;
        };
        let is_older = |since: Instant| since + MAX_TIME_ERROR < termination.terminated_at;
        let older = self
            .connections
            .get(attempt.connection)
            .is_some_and(|connection| is_older(connection.since));
        if older && attempt.sent >= termination.received_at {
            server.reported_termination = None;
            let (server, incarnation) = (Arc::clone(&server.name), server.incarnation);
            out.push(Action::Refuted { server, incarnation });
        }
    }

    /// Applies the quarantine of a new view: which requests are refused, and which servers are
    /// reported to have terminated.
    pub(super) fn apply_quarantine(
        &mut self,
        before: &Arc<view::Quarantine>,
        out: &mut Vec<Action>,
    ) {
        let quarantine = Arc::clone(&self.view.quarantine);
        if Arc::ptr_eq(before, &quarantine) {
            return;
        }
        for server in self.servers.values_mut() {
            let crash = quarantine.crashes.get(&server.name);
            let crash = crash.filter(|crash| crash.incarnation == server.incarnation);
            let received_at =
                server.reported_termination.map_or(self.now, |termination| termination.received_at);
            server.reported_termination =
                crash.map(|crash| ReportedTermination { terminated_at: crash.at, received_at });
        }
        let known = quarantine.refused.iter().chain(&quarantine.suspected);
        let answered = known.filter(|request| self.crashes.was_answered(self.now, **request));
        out.extend(answered.map(|request| Action::Cleared {
            request: *request,
            cause: Cause::Answer,
            response: None,
        }));
        if !(quarantine.refused.is_empty() && quarantine.trials.is_empty()) {
            self.stop_suspects(out);
        }
    }

    /// Why a portion of this work is refused because its request may crash servers; `None` if it is
    /// not. A trial is never refused.
    pub(super) fn refused_as_suspect(&self, job: &Job) -> Option<Reason> {
        let request = untried_request(job)?;
        let quarantine = &self.view.quarantine;
        if quarantine.refused.contains(&request) {
            return Some(Reason::Quarantined);
        }
        let is_suspect = is_single_message(job) && quarantine.trials.contains_key(&request);
        is_suspect.then_some(Reason::Suspected)
    }

    /// Refuses the open portions of quarantined requests and closes the connections of their calls,
    /// so that calls that still wait at a server are not started. Of requests that are to be tried
    /// only the queued portions are refused, which would all be sent when a server starts again:
    /// answers to open calls clear the request.
    fn stop_suspects(&mut self, out: &mut Vec<Action>) {
        let refused = |(key, portion): (PortionKey, &Portion)| {
            let reason = self.refused_as_suspect(&portion.job)?;
            let is_queued = portion.queue_position.is_some();
            (reason == Reason::Quarantined || is_queued).then_some((key, reason))
        };
        let portions: Vec<(PortionKey, Reason)> =
            self.portions.iter().filter_map(refused).collect();
        for (key, reason) in portions {
            let verdict = self.current_verdict(key);
            self.refuse_portion(key, Refused::with_verdict(verdict, reason), out);
        }
        let is_quarantined = |job: &Job| self.refused_as_suspect(job) == Some(Reason::Quarantined);
        let calls = self.attempts.iter().filter(|(_, attempt)| is_quarantined(&attempt.job));
        let calls: Vec<AttemptKey> = calls.map(|(key, _)| key).collect();
        for key in calls {
            self.abandon_call(key, out);
        }
    }

    /// Marks all services with queued portions for dispatch, because portions that were kept queued
    /// until the state of a server is known may be sent now.
    fn mark_waiting_services(&mut self) {
        let ids: Vec<ServiceId> = self.services.keys().collect();
        for id in ids {
            if !self.services[id].queue.is_empty() {
                self.mark_changed(id);
            }
        }
    }

    /// Whether a portion is kept queued for now because its request may crash servers.
    ///
    /// A poison request crashes every server that begins to run it. All of its calls fail at once,
    /// and its portions would crash the next server of each shard before the first call that could
    /// clear the request is answered. The portions are kept queued until a portion of the same
    /// sweep is answered, a server accepts connections again, or the servers are known to have
    /// terminated. A harmless request is delayed by a few milliseconds.
    pub(super) fn is_held(&self, key: PortionKey) -> bool {
        let request = untried_request(&self.portions[key].job);
        let held = |request| self.crashes.must_hold(self.now, request);
        self.crashes.has_suspects() && request.is_some_and(held)
    }

    /// Whether a portion must not be hedged now, because its request is suspected of crashing
    /// servers.
    pub(super) fn hedge_suppressed(&self, key: PortionKey) -> bool {
        let request = self.portions[key].job.fingerprint;
        let suppressed = |request| self.crashes.has_many_suspects(self.now, request);
        self.crashes.has_suspects() && request.is_some_and(suppressed)
    }

    /// Clears the suspicion of a termination when a connection to a server opens.
    pub(super) fn server_accepted_connection(&mut self, key: ServerKey) {
        if self.crashes.has_suspects() {
            self.crashes.clear_suspect(key);
            self.mark_waiting_services();
        }
    }

    /// Refuses the queued portions of requests under which servers are known to have crashed.
    pub(super) fn refuse_poison_requests(&mut self, out: &mut Vec<Action>) {
        if !self.crashes.has_suspects() {
            return;
        }
        let poison = self.crashes.poison_requests(self.now);
        let is_poison = |portion: &Portion| {
            let request = untried_request(&portion.job);
            portion.queue_position.is_some()
                && request.is_some_and(|request| poison.contains(&request))
        };
        let waiting = self.portions.iter().filter(|(_, portion)| is_poison(portion));
        let waiting: Vec<PortionKey> = waiting.map(|(key, _)| key).collect();
        for key in waiting {
            self.refuse_portion(
                key,
                Refused::with_verdict(self.current_verdict(key), Reason::TargetLost),
                out,
            );
        }
    }

    /// Removes a call that this instance abandoned from the counts of its request. The outcome of
    /// the call stays unknown.
    pub(super) fn call_abandoned(&mut self, attempt: &Attempt, out: &mut Vec<Action>) {
        if let Some(request) = attempt.job.fingerprint {
            self.crashes.end(request, |open| open.calls -= 1);
            self.report_crashes(out);
        }
    }

    /// Records a lost call as evidence against its request and schedules a dispatch after
    /// [`HOLD_TIME`], until which the portions of the request may be kept queued.
    fn connection_lost(&mut self, key: ServerKey, lost_call: LostCall) {
        let request = lost_call.request;
        let lost_calls = &mut self.servers[key].lost_calls;
        lost_calls.retain(|call| call.request != request);
        if lost_calls.len() >= MAX_LOST_CALLS_PER_SERVER {
            lost_calls.remove(0);
        }
        lost_calls.push(lost_call);
        self.crashes.add_suspect(self.now, request, key);
        self.schedule_dispatch(self.servers[key].service, self.now + HOLD_TIME);
    }

    /// Handles a refused connection: no process listens at the address of the server, so its
    /// process has terminated.
    pub(super) fn connection_refused(&mut self, key: ConnectionKey, out: &mut Vec<Action>) {
        if let Some(connection) = self.connections.get(key) {
            let server = connection.server;
            self.server_terminated(server, self.servers[server].incarnation, out);
            self.connection_was_refused(server);
        }
        self.closed(key, out);
    }

    /// Records that an incarnation of a server is known to have terminated, with the requests of
    /// its lost calls.
    pub(super) fn server_terminated(
        &mut self,
        key: ServerKey,
        incarnation: u64,
        out: &mut Vec<Action>,
    ) {
        let server = &mut self.servers[key];
        let mut lost_calls = std::mem::take(&mut server.lost_calls);
        lost_calls.retain(|call| self.now.since(call.at) < EVIDENCE_MAX_AGE);
        if lost_calls.is_empty() {
            return;
        }
        let incarnation = Incarnation { server: Arc::clone(&server.name), number: incarnation };
        self.crashes.server_terminated(self.now, key, incarnation, &lost_calls);
        self.timers.push(self.now + MAX_REPORT_DELAY, Timer::CrashReport);
        self.report_crashes(out);
    }

    /// Reports crashed servers whose requests have no open call or portion any more, or whose report
    /// is due, and schedules a dispatch of the portions that were kept queued.
    pub(super) fn report_crashes(&mut self, out: &mut Vec<Action>) {
        if self.crashes.has_suspects() {
            self.mark_waiting_services();
        }
        let settled = self.crashes.take_settled(self.now).into_iter();
        out.extend(settled.map(|crash| Action::Crashed {
            server: crash.incarnation.server,
            incarnation: crash.incarnation.number,
            at: crash.lost_at,
            requests: crash.requests,
            trials: crash.trials,
        }));
    }
}

/// Fingerprint of the request of some work, unless the work is its trial.
fn untried_request(job: &Job) -> Option<Fingerprint> {
    job.fingerprint.filter(|_| !job.work.on_trial)
}

/// Whether the work is a message to a single service, not a part of a sweep.
fn is_single_message(job: &Job) -> bool {
    job.work.forward.as_ref().is_some_and(|forward| !forward.part)
}

/// Whether the outcome of a call comes from the server to which the call was sent. Another server
/// may have taken over its address and refuse requests that are not addressed to itself.
fn is_from_server(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answer(_) => true,
        Outcome::Refusal(refusal) => refusal.reason() != Reason::TargetLeaving,
        Outcome::Error | Outcome::Lost | Outcome::Unsent => false,
    }
}
