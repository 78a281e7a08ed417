//! The end of a call: what is learned, what is retried, what is replied.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};

use super::attempt::{Attempt, Mismatch};
use super::event::{Action, AttemptKey, Outcome};
use super::lane;
use super::machine::Machine;
use super::portion::PortionKey;
use super::record;
use super::reply::Refused;
use super::server::ServerKey;
use super::trace::End;
use super::verdict;
use crate::count;

/// Calls of one portion that may end without an answer.
const FAILURES: u32 = 6;
/// Extra calls of one query, over all layers, after which no further one is made.
pub(super) const QUERY_EXTRA: u32 = 8;

/// Whether the connection of a call that ended like this may carry another one.
fn is_whole(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answer(_) | Outcome::Refusal(_))
}

/// Takes a forwarded message's response for a failure where another server may do better; whether
/// it was a whole response all the same.
///
/// The response of an unrepeatable message stands as it is: it ran, and whoever asked must know how
/// it ended.
fn judged(attempt: &Attempt, outcome: Outcome) -> (Outcome, bool) {
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

impl Machine {
    pub(super) fn ended(&mut self, key: AttemptKey, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        let (outcome, mismatched) = Self::checked(&attempt, outcome, out);
        let (outcome, answered) = judged(&attempt, outcome);
        let suspect = self.servers[attempt.server].health.suspect();
        self.call_ended(&attempt, &outcome, answered, out);
        self.release(&attempt, answered || is_whole(&outcome), mismatched, out);
        self.learn(&attempt, &outcome, out);
        self.note_suspicion(attempt.server, suspect, out);
        self.close_call(key, &attempt, outcome, out);
    }

    /// Tells a call's portion, or its record if it was replied to before, how the call ended.
    fn close_call(
        &mut self,
        key: AttemptKey,
        attempt: &Attempt,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        match attempt.portion {
            Some(portion) => self.conclude(portion, key, attempt, outcome, out),
            None => self.settle(attempt, &outcome, out),
        }
        self.mark(attempt.service);
    }

    /// A call's connection is closed from here.
    pub(super) fn lost(&mut self, key: AttemptKey, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        self.services[attempt.service].in_flight -= 1;
        self.servers[attempt.server].in_flight -= 1;
        self.call_ended(&attempt, &Outcome::Lost, false, out);
        self.close_call(key, &attempt, Outcome::Lost, out);
    }

    /// Treats an answer to something else as an error.
    fn checked(attempt: &Attempt, outcome: Outcome, out: &mut Vec<Action>) -> (Outcome, bool) {
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

    /// Frees the call's slot and its connection. A connection whose call did not end properly is
    /// not used again: an answer still on its way would be taken for the next request's.
    fn release(&mut self, attempt: &Attempt, whole: bool, mismatched: bool, out: &mut Vec<Action>) {
        self.services[attempt.service].in_flight -= 1;
        let server = &mut self.servers[attempt.server];
        server.in_flight -= 1;
        if whole && !self.lanes[attempt.lane].closing {
            self.lanes[attempt.lane].state = lane::State::Idle;
            self.idle(attempt.lane, out);
            return;
        }
        self.remove_lane(attempt.lane);
        if mismatched {
            out.push(Action::Close(attempt.lane));
        }
        self.maintain_server(attempt.server, out);
    }

    /// Logs that a server is held back from now on, or not any more.
    fn note_suspicion(&self, key: ServerKey, before: bool, out: &mut Vec<Action>) {
        let server = &self.servers[key];
        let suspect = server.health.suspect();
        if suspect != before {
            out.push(Action::Server {
                name: Arc::clone(&server.name),
                suspect,
                failure_rate: server.health.failure_rate(self.now),
            });
        }
    }

    /// Takes what the call's end says of the server.
    fn learn(&mut self, attempt: &Attempt, outcome: &Outcome, out: &mut Vec<Action>) {
        let elapsed = self.now.since(attempt.sent);
        match outcome {
            Outcome::Answer(answer) => {
                let usual = self.mean(attempt.service, attempt.kind);
                if let Some(occupancy) = answer.occupancy {
                    self.services[attempt.service].occupied(occupancy);
                }
                let server = &mut self.servers[attempt.server];
                server.health.answered(self.now, elapsed, usual);
                if !attempt.given_up {
                    self.learn_time(attempt.service, attempt.kind, elapsed);
                }
            }
            Outcome::Refusal(refusal) => {
                let reason = verdict::reason(outcome, false);
                let advice = Duration::from_millis(refusal.retry_after_ms.into());
                self.learn_refusal(attempt, reason, advice, out);
            }
            Outcome::Error | Outcome::Lost if !attempt.given_up => {
                let server = &mut self.servers[attempt.server];
                server.health.failed(self.now, &mut self.random);
                let until = server.health.paused_until();
                self.pump_at(attempt.service, until);
            }
            Outcome::Error | Outcome::Lost | Outcome::Unsent => {}
        }
    }

    fn learn_refusal(
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
                server.leave(incarnation);
                self.maintain_server(attempt.server, out);
                self.recheck(attempt.service, out);
            }
            Reason::VersionRetired => {
                let work = &attempt.job.work;
                server.retire(self.now, &work.index, work.version);
                self.recheck(attempt.service, out);
            }
            Reason::TargetShed => {
                let until = server.health.shed(self.now, advice, &mut self.random);
                self.pump_at(attempt.service, until);
            }
            _ => {}
        }
    }

    /// Decides what becomes of a portion one of whose calls has ended.
    fn conclude(
        &mut self,
        key: PortionKey,
        ended: AttemptKey,
        attempt: &Attempt,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let verdict = verdict::of(&outcome);
        let timed_out = self.now.since(attempt.sent) >= attempt.timeout;
        let reason = verdict::reason(&outcome, timed_out);
        let portion = &mut self.portions[key];
        let took = self.now.since(attempt.sent);
        if let Some(trial) = portion.trials.iter_mut().find(|trial| trial.attempt == ended) {
            trial.end = Some(End { took, verdict, reason });
        }
        portion.attempts.retain(|other| *other != ended);
        let service = &mut self.services[attempt.service];
        service.overdue.remove(&(attempt.sent, key));
        if let Outcome::Answer(answer) = outcome {
            self.sibling_answered(&attempt.job, took);
            self.answer(key, answer.parts, out);
            return;
        }
        portion.failures += 1;
        portion.spared += u32::from(verdict == Verdict::NotRun);
        portion.may_have_run |= verdict == Verdict::MayHaveRun;
        if !portion.attempts.is_empty() {
            return;
        }
        match self.retry(key, verdict, reason) {
            Ok(()) => self.again(key, reason, out),
            Err(refused) => self.finish(key, refused, out),
        }
    }

    /// Whether a portion without an open call may be sent again.
    ///
    /// A call that did not run costs its target nothing and is paced by the server's pauses. A call
    /// that may have run is repeated at the expense of the service's budget, and never when the
    /// portion is unrepeatable.
    fn retry(&mut self, key: PortionKey, verdict: Verdict, reason: Reason) -> Result<(), Refused> {
        let portion = &self.portions[key];
        let standing = portion.verdict();
        let work = &portion.job.work;
        if portion.unrepeatable && portion.may_have_run {
            return Err(Refused::with(standing, reason));
        }
        if portion.failures >= FAILURES || self.now >= portion.deadline {
            return Err(Refused::with(standing, reason));
        }
        let eligible = portion.eligible.as_deref();
        let outlook = self.outlook(portion.service, work, eligible, portion.deadline);
        outlook.map_err(|refused| Refused { verdict: standing, ..refused })?;
        if !portion.may_go_out() {
            return Err(Refused::with(standing, reason));
        }
        let limits = self.services[portion.service].limits();
        let arrived = reason != Reason::ConnectFailed;
        if verdict == Verdict::NotRun && !(limits.count_refused && arrived) {
            return Ok(());
        }
        let spent = work.extra_calls + portion.calls;
        let budget = self.services[portion.service].budget.at(self.now);
        match spent <= QUERY_EXTRA && budget.spend() {
            true => Ok(()),
            false => Err(Refused::with(standing, Reason::RetryBudget)),
        }
    }

    fn again(&mut self, key: PortionKey, reason: Reason, out: &mut Vec<Action>) {
        Self::count(count::Event::Retry, reason, out);
        self.queue(key);
    }

    /// Records what became of an unrepeatable call whose portion was replied to before.
    fn settle(&mut self, attempt: &Attempt, outcome: &Outcome, out: &mut Vec<Action>) {
        if matches!(outcome, Outcome::Answer(_)) {
            Self::count(count::Event::Drop, Reason::StaleAnswer, out);
        }
        let Some(name) = &attempt.record else {
            return;
        };
        let state = match verdict::of(outcome) {
            Verdict::Ran => record::State::Ran,
            // The entry was told that it may have run; it does not send it anywhere again.
            Verdict::NotRun => record::State::Withdrawn,
            _ => record::State::MayHaveRun,
        };
        self.records.settle(self.now, name, state);
    }

    /// Refuses queued portions that no server can take any more.
    pub(super) fn recheck(&mut self, id: super::service::ServiceId, out: &mut Vec<Action>) {
        let waiting: Vec<PortionKey> = self.services[id].queue.order().collect();
        for key in waiting {
            let portion = &self.portions[key];
            let eligible = portion.eligible.as_deref();
            let outlook = self.outlook(id, &portion.job.work, eligible, portion.deadline);
            let Err(refused) = outlook else {
                continue;
            };
            let verdict = portion.verdict();
            self.finish(key, Refused { verdict, ..refused }, out);
        }
    }
}
