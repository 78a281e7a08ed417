//! Replies to entry instances.

use std::time::Duration;

use ladder_schema::call;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire;

use super::event::{Action, AttemptKey};
use super::machine::Machine;
use super::portion::{Job, Portion, PortionKey};
use super::record::State;
use super::service::Role;
use super::timer::Timer;
use crate::count;

/// Verdict, reason and retry advice of a portion without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refused {
    pub(super) verdict: Verdict,
    pub(super) reason: Reason,
    /// Delay after which the entry may retry; zero: no advice.
    pub(super) retry_after: Duration,
}

impl Refused {
    /// A refusal of work that did not run.
    pub(super) fn not_run(reason: Reason) -> Self {
        Self::with_verdict(Verdict::NotRun, reason)
    }

    pub(super) fn with_verdict(verdict: Verdict, reason: Reason) -> Self {
        Self { verdict, reason, retry_after: Duration::ZERO }
    }

    /// A refusal of a request whose earlier delivery may have run.
    pub(super) fn repeated() -> Self {
        Self::with_verdict(Verdict::MayHaveRun, Reason::RepeatedKey)
    }

    /// Sets the delay after which the entry may retry, at least 1 ms.
    pub(super) fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = after.max(Duration::from_millis(1));
        self
    }
}

impl Machine {
    /// Replies with a refusal to a portion that was never queued.
    pub(super) fn refuse(
        &mut self,
        job: &Job,
        service: String,
        refused: Refused,
        out: &mut Vec<Action>,
    ) {
        Self::count(count::Event::Refusal, refused.reason, out);
        let id = self.service_ids.get(service.as_str()).copied();
        let id = id.filter(|id| self.services[*id].role != Role::None);
        let mut reply = reply(job, service, refused, 0, Vec::new());
        reply.admissible_permille = id.map_or(0, |id| self.admissible_permille(id, job));
        self.reply_or_aggregate(job, reply, out);
    }

    /// Replies to a queued or sent portion with a refusal and removes the portion.
    pub(super) fn refuse_portion(
        &mut self,
        key: PortionKey,
        refused: Refused,
        out: &mut Vec<Action>,
    ) {
        Self::count(count::Event::Refusal, refused.reason, out);
        let calls_too_slow = refused.reason == Reason::Deadline;
        self.close_portion(key, refused, Vec::new(), calls_too_slow, out);
    }

    /// Replies to a portion with a target's answer and removes the portion.
    pub(super) fn answer(
        &mut self,
        key: PortionKey,
        parts: Vec<call::Part>,
        out: &mut Vec<Action>,
    ) {
        let answered = Refused::with_verdict(Verdict::Ran, Reason::Unspecified);
        self.close_portion(key, answered, parts, true, out);
    }

    /// Removes a portion from the machine's state and replies to it. Its open calls are cancelled
    /// where that is allowed. With `slow` (after a missed deadline or the answer of another call),
    /// open calls that exceed the usual call time count as slow and as failed calls of their
    /// servers.
    fn close_portion(
        &mut self,
        key: PortionKey,
        refused: Refused,
        parts: Vec<call::Part>,
        slow: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(portion) = self.portions.remove(key) else {
            return;
        };
        self.remove_references(key, &portion);
        self.log_portion(&portion, refused, out);
        for attempt in &portion.attempts {
            self.detach_call(*attempt, slow, out);
        }
        if portion.unrepeatable {
            let state = recorded_state(refused);
            self.records.settle(self.now, &portion.record(), state);
        }
        let service = &self.services[portion.service];
        let (name, busy) = (service.name.to_string(), service.busy.value());
        self.mark_changed(portion.service);
        let calls = portion.calls - portion.unsent;
        let mut reply = reply(&portion.job, name, refused, calls, parts);
        reply.busy_permille = (busy * 1000.0) as u32;
        reply.admissible_permille = self.admissible_permille(portion.service, &portion.job);
        if portion.eligible.is_some() {
            reply.avoid = self.avoided(portion.service);
        }
        self.reply_or_aggregate(&portion.job, reply, out);
        self.portion_ended(&portion.job, out);
    }

    fn remove_references(&mut self, key: PortionKey, portion: &Portion) {
        let service = &mut self.services[portion.service];
        if let Some(position) = portion.queue_position {
            service.queue.remove(position);
        }
        for attempt in &portion.attempts {
            let sent = self.attempts[*attempt].sent;
            service.due_hedges.remove(&(sent, key));
        }
        let query = portion.job.query();
        let Some(keys) = self.queries.get_mut(&query) else {
            return;
        };
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            self.queries.remove(&query);
        }
    }

    /// Detaches an open call from its portion, which has a reply. The call keeps its slot and
    /// pooled connection until it ends.
    fn detach_call(&mut self, key: AttemptKey, slow: bool, out: &mut Vec<Action>) {
        let attempt = &mut self.attempts[key];
        attempt.portion = None;
        if attempt.record.is_some() {
            return;
        }
        attempt.abandoned = true;
        let elapsed = self.now.since(attempt.sent);
        let (service, server, kind) = (attempt.service, attempt.server, attempt.kind);
        let slow_after = self.slow_call_time(service, kind);
        if slow && slow_after.is_some_and(|slow_after| elapsed >= slow_after) {
            let usual = self.mean_call_time(service, kind);
            self.record_call_time(service, kind, elapsed);
            let health = &mut self.servers[server].health;
            health.slow(elapsed, usual);
            health.failed(self.now, &mut self.random);
        }
        if let Some(linger) = self.settings.linger {
            self.timers.push(self.now + linger, Timer::Abandon(key));
            return;
        }
        self.servers[server].queued_cancels.push_back(key);
        self.send_queued_cancels(server, out);
    }

    /// Abandons a call whose portion has had a reply for some time: closes the call's connection,
    /// the only way to end a call at a server that supports no cancellations.
    ///
    /// Most calls end before this timer, and their connections stay open. Without the timer a call
    /// at a hanging server would occupy its connection until the caller's deadline, and the server
    /// would go on working for a caller that has left.
    pub(super) fn abandon_call(&mut self, key: AttemptKey, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        self.services[attempt.service].in_flight -= 1;
        self.servers[attempt.server].in_flight -= 1;
        self.call_abandoned(&attempt, out);
        self.remove_connection(attempt.connection);
        Self::close(attempt.connection, out);
        self.maintain_server(attempt.server, out);
        self.mark_changed(attempt.service);
    }
}

/// State to record for a non-idempotent request, given the reply to its portion. Later deliveries
/// of the same key are checked against this state.
fn recorded_state(refused: Refused) -> State {
    match (refused.verdict, refused.reason) {
        (Verdict::Ran, _) => State::Ran,
        (Verdict::NotRun, Reason::Cancelled) => State::Withdrawn,
        (Verdict::NotRun, _) => State::NotRun,
        _ => State::MayHaveRun,
    }
}

fn reply(
    job: &Job,
    service: String,
    refused: Refused,
    calls: u32,
    parts: Vec<call::Part>,
) -> wire::Reply {
    let millis = refused.retry_after.as_millis();
    wire::Reply {
        query: job.work.query,
        round: job.work.round,
        incarnation: job.incarnation,
        service,
        verdict: refused.verdict.into(),
        reason: refused.reason.into(),
        version: job.work.version,
        parts,
        retry_after_ms: u32::try_from(millis).unwrap_or(u32::MAX),
        calls,
        merged: 0,
        held_us: 0,
        busy_permille: 0,
        avoid: Vec::new(),
        admissible_permille: 0,
    }
}
