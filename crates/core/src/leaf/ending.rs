//! Handles the end of a call to a server: updates statistics, then retries the portion of the query
//! or replies to it.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};

use super::attempt::{Attempt, Mismatch};
use super::completion::Completion;
use super::connection;
use super::event::{Action, AttemptKey, Outcome};
use super::machine::Machine;
use super::portion::PortionKey;
use super::record;
use super::reply::Refused;
use super::server::ServerKey;
use super::trace::CallEnd;
use super::verdict;
use crate::count;

/// Maximum number of calls of one portion that may end without an answer.
const MAX_FAILED_CALLS: u32 = 6;
/// Maximum number of extra calls of one query, over all layers. No further extra call is made
/// beyond this number.
pub(super) const MAX_EXTRA_CALLS_PER_QUERY: u32 = 8;

/// Whether the connection can be reused after a call with this outcome.
fn is_complete(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answer(_) | Outcome::Refusal(_))
}

/// Treats the response to a forwarded message as a failure where another server may answer better.
/// Also returns whether such a failure was a complete response, so that the connection can be
/// reused.
///
/// The response to a non-idempotent message is never changed: the message ran, and the caller must
/// learn its result.
fn classify_response(attempt: &Attempt, outcome: Outcome) -> (Outcome, bool) {
    let Some(forward) = &attempt.job.work.forward else {
        return (outcome, false);
    };
    let Outcome::Answer(answer) = &outcome else {
        return (outcome, false);
    };
    let mut responses = answer.parts.iter().filter_map(|part| part.response.as_ref());
    let success = |status: u32| (200..300).contains(&status);
    let failed = responses.any(|response| match forward.part {
        true => !success(response.status),
        false => response.status >= 500,
    });
    if failed && attempt.record.is_none() {
        return (Outcome::Error, true);
    }
    (outcome, false)
}

/// Returns whether a call that ended for this reason reached its target.
fn reached_target(reason: Reason) -> bool {
    reason != Reason::ConnectFailed
}

impl Machine {
    /// Handles the end of a call with its outcome: releases its slot, updates statistics and
    /// decides on its portion.
    pub(super) fn handle_call_end(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        let (outcome, mismatched) = Self::reject_mismatch(&attempt, outcome, out);
        let completion = Completion::of(&outcome);
        let (outcome, complete) = classify_response(&attempt, outcome);
        let was_suspect = self.servers[attempt.server].health.suspect();
        self.clear_if_proved(&attempt, completion, out);
        self.call_ended(&attempt, &outcome, complete, out);
        let is_complete = complete || is_complete(&outcome);
        if is_complete {
            self.servers[attempt.server].breaker.close();
        }
        self.release_connection(&attempt, is_complete, mismatched, out);
        if attempt.lost_connection(self.now, &outcome) {
            self.connection_broke(key, &attempt);
        }
        self.record_outcome(&attempt, &outcome, out);
        self.log_suspicion_change(attempt.server, was_suspect, out);
        self.resolve_call(key, &attempt, outcome, out);
    }

    /// Passes the outcome of a call to its portion, or to the record of its request key if the
    /// portion already has a reply.
    fn resolve_call(
        &mut self,
        key: AttemptKey,
        attempt: &Attempt,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        match attempt.portion {
            Some(portion) => self.resolve_portion(portion, key, attempt, outcome, out),
            None => self.settle_record(attempt, &outcome, out),
        }
        self.mark_changed(attempt.service);
    }

    /// Ends a call as lost, because this instance closed its connection.
    pub(super) fn end_as_lost(&mut self, key: AttemptKey, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        self.services[attempt.service].in_flight -= 1;
        self.servers[attempt.server].in_flight -= 1;
        self.call_ended(&attempt, &Outcome::Lost, false, out);
        self.resolve_call(key, &attempt, Outcome::Lost, out);
    }

    /// Treats an answer that does not match the request as an error. Also returns whether there was
    /// such a mismatch.
    fn reject_mismatch(
        attempt: &Attempt,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) -> (Outcome, bool) {
        let Outcome::Answer(answer) = &outcome else {
            return (outcome, false);
        };
        let reason = match attempt.check(answer) {
            Ok(()) => return (outcome, false),
            Err(Mismatch::Version) => Reason::WrongVersion,
            Err(Mismatch::Request) => Reason::WrongAnswer,
        };
        Self::count(count::Event::Drop, reason, out);
        (Outcome::Error, true)
    }

    /// Frees the slot and the connection of an ended call. The connection is closed unless the
    /// response was complete: a late answer on it would be taken for the answer to the next
    /// request.
    fn release_connection(
        &mut self,
        attempt: &Attempt,
        reusable: bool,
        mismatched: bool,
        out: &mut Vec<Action>,
    ) {
        self.services[attempt.service].in_flight -= 1;
        let server = &mut self.servers[attempt.server];
        server.in_flight -= 1;
        if reusable && !self.connections[attempt.connection].closing {
            self.connections[attempt.connection].state = connection::State::Idle;
            self.record_use(attempt.connection);
            self.idle(attempt.connection, out);
            return;
        }
        self.remove_connection(attempt.connection);
        if mismatched {
            Self::close(attempt.connection, out);
        } else {
            out.push(Action::Connection(count::Connection::Closed));
        }
        self.maintain_server(attempt.server, out);
    }

    /// Logs that a server became suspected, or is no longer suspected.
    fn log_suspicion_change(&self, key: ServerKey, was_suspect: bool, out: &mut Vec<Action>) {
        let server = &self.servers[key];
        let suspect = server.health.suspect();
        if suspect != was_suspect {
            out.push(Action::Server {
                name: Arc::clone(&server.name),
                suspect,
                failure_rate: server.health.failure_rate(self.now),
            });
        }
    }

    /// Updates the health, load and call-time statistics of a server from the outcome of a call.
    fn record_outcome(&mut self, attempt: &Attempt, outcome: &Outcome, out: &mut Vec<Action>) {
        let elapsed = self.now.since(attempt.sent);
        match outcome {
            Outcome::Answer(answer) => {
                let usual = self.mean_call_time(attempt.service, attempt.kind);
                if let Some(occupancy) = answer.occupancy {
                    self.services[attempt.service].occupied(occupancy);
                }
                self.record_work(attempt, elapsed, answer.occupancy);
                let server = &mut self.servers[attempt.server];
                if let Some(occupancy) = answer.occupancy {
                    let requests = occupancy.running.saturating_add(occupancy.waiting);
                    server.other_calls.report(self.now, requests, server.in_flight + 1);
                }
                server.health.answered(self.now, elapsed, usual);
                if !attempt.abandoned {
                    self.record_call_time(attempt.service, attempt.kind, elapsed);
                }
            }
            Outcome::Refusal(refusal) => {
                let reason = verdict::reason(outcome, false);
                let advice = Duration::from_millis(refusal.retry_after_ms.into());
                self.record_refusal(attempt, reason, advice, out);
            }
            Outcome::Error | Outcome::Lost if !attempt.abandoned => {
                let server = &mut self.servers[attempt.server];
                server.health.failed(self.now, &mut self.random);
                let until = server.health.paused_until();
                self.schedule_dispatch(attempt.service, until);
            }
            Outcome::Error | Outcome::Lost | Outcome::Unsent => {}
        }
    }

    /// Applies the refusal of a call to the state of its server: leaving, version retired or
    /// shedding load.
    fn record_refusal(
        &mut self,
        attempt: &Attempt,
        reason: Reason,
        advice: Duration,
        out: &mut Vec<Action>,
    ) {
        let server = &mut self.servers[attempt.server];
        match reason {
            Reason::TargetLeaving => {
                let incarnation = server.incarnation;
                server.mark_leaving(incarnation);
                self.maintain_server(attempt.server, out);
                self.refuse_unservable(attempt.service, out);
            }
            Reason::VersionRetired => {
                let work = &attempt.job.work;
                server.retire(self.now, &work.index, work.version);
                self.refuse_unservable(attempt.service, out);
            }
            Reason::TargetShed => {
                let until = server.health.shed(self.now, advice, &mut self.random);
                self.schedule_dispatch(attempt.service, until);
            }
            _ => {}
        }
    }

    /// Handles a portion after one of its calls has ended: replies, retries, or waits for its other
    /// calls.
    fn resolve_portion(
        &mut self,
        key: PortionKey,
        ended: AttemptKey,
        attempt: &Attempt,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let verdict = verdict::of(&outcome);
        let reason = verdict::reason(&outcome, attempt.timed_out(self.now));
        let portion = &mut self.portions[key];
        let took = self.now.since(attempt.sent);
        if let Some(call_trace) =
            portion.call_traces.iter_mut().find(|call_trace| call_trace.attempt == ended)
        {
            call_trace.end = Some(CallEnd { took, verdict, reason });
        }
        portion.attempts.retain(|other| *other != ended);
        let service = &mut self.services[attempt.service];
        service.due_hedges.remove(&(attempt.sent, key));
        if let Outcome::Answer(answer) = outcome {
            self.sibling_answered(&attempt.job, took);
            self.answer(key, answer.parts, out);
            return;
        }
        portion.failures += 1;
        portion.unsent += u32::from(!reached_target(reason));
        portion.proved_not_run += u32::from(verdict == Verdict::NotRun);
        portion.may_have_run |= verdict == Verdict::MayHaveRun;
        if !portion.attempts.is_empty() {
            return;
        }
        match self.authorize_retry(key, verdict, reason) {
            Ok(()) => self.requeue(key, reason, out),
            Err(refused) => self.refuse_portion(key, refused, out),
        }
    }

    /// Checks whether a portion without an open call may be sent again, and spends an extra call if
    /// it needs one.
    ///
    /// A call that did not run costs the server nothing, and the pauses of the server limit its
    /// repetition. Repeating a call that may have run spends the extra-call budget of the service,
    /// and never happens when the portion is non-idempotent or a trial.
    fn authorize_retry(
        &mut self,
        key: PortionKey,
        verdict: Verdict,
        reason: Reason,
    ) -> Result<(), Refused> {
        let portion = &self.portions[key];
        let portion_verdict = portion.verdict();
        let work = &portion.job.work;
        if portion.runs_once() && portion.may_have_run {
            return Err(Refused::with_verdict(portion_verdict, reason));
        }
        if portion.failures >= MAX_FAILED_CALLS || self.now >= portion.deadline {
            return Err(Refused::with_verdict(portion_verdict, reason));
        }
        let eligible = portion.eligible.as_deref();
        let check = self.check_servers(portion.service, work, eligible, portion.deadline);
        check.map_err(|refused| Refused { verdict: portion_verdict, ..refused })?;
        if !portion.may_be_sent_again() {
            return Err(Refused::with_verdict(portion_verdict, reason));
        }
        let limits = self.services[portion.service].limits();
        if verdict == Verdict::NotRun && !(limits.count_refused && reached_target(reason)) {
            return Ok(());
        }
        let extra_calls = work.extra_calls + portion.calls;
        let budget = self.services[portion.service].budget.refill(self.now);
        match extra_calls <= MAX_EXTRA_CALLS_PER_QUERY && budget.spend() {
            true => Ok(()),
            false => Err(Refused::with_verdict(portion_verdict, Reason::RetryBudget)),
        }
    }

    /// Counts a retry and puts the portion back into the queue.
    fn requeue(&mut self, key: PortionKey, reason: Reason, out: &mut Vec<Action>) {
        Self::count(count::Event::Retry, reason, out);
        self.push_to_queue(key);
    }

    /// Records the outcome of a non-idempotent call whose portion already has a reply.
    fn settle_record(&mut self, attempt: &Attempt, outcome: &Outcome, out: &mut Vec<Action>) {
        if matches!(outcome, Outcome::Answer(_)) {
            Self::count(count::Event::Drop, Reason::StaleAnswer, out);
        }
        let Some(key) = &attempt.record else {
            return;
        };
        let state = match verdict::of(outcome) {
            Verdict::Ran => record::State::Ran,
            // The entry instance got the verdict that the portion may have run, so it does not send
            // the portion to any other instance.
            Verdict::NotRun => record::State::Withdrawn,
            _ => record::State::MayHaveRun,
        };
        self.records.settle(self.now, key, state);
    }

    /// Refuses queued portions that no server of the service can take any more.
    pub(super) fn refuse_unservable(
        &mut self,
        id: super::service::ServiceId,
        out: &mut Vec<Action>,
    ) {
        let queued: Vec<PortionKey> = self.services[id].queue.order().collect();
        for key in queued {
            let portion = &self.portions[key];
            let eligible = portion.eligible.as_deref();
            let check = self.check_servers(id, &portion.job.work, eligible, portion.deadline);
            let Err(refused) = check else {
                continue;
            };
            let verdict = portion.verdict();
            self.refuse_portion(key, Refused { verdict, ..refused }, out);
        }
    }
}
