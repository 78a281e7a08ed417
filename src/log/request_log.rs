//! Log lines about requests: one for each decision, limited to a budget.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ladder_core::fingerprint::Fingerprint;
use ladder_core::gather::{Explanation, ResponseTime, Step};
use ladder_core::leaf::{CallTrace, Trace};
use ladder_core::time::Instant;
use slog::{Logger, info, warn};

use crate::clock::Clock;

/// Number of log lines by which the budget grows per second.
const LINES_PER_SECOND: u32 = 120;
/// Most lines that the budget can accumulate, since the first seconds of a fault are the ones that
/// explain it.
const MAX_SAVED_LINES: u32 = 1200;

/// Budget of log lines, and the number of requests whose lines were dropped.
#[derive(Debug)]
struct Budget {
    /// Lines that may be written now; at most [`MAX_SAVED_LINES`].
    available: u32,
    /// Number of requests and portions whose lines were dropped since this number was last logged.
    dropped: u32,
    /// Time up to which the budget has been refilled.
    refilled_at: Instant,
}

/// Logs the handling of requests; all clones share one budget.
///
/// In overload every request fails and would be logged in full, which would take processor time
/// from the requests. All lines of a request or portion that exceed the budget are dropped together
/// and counted.
#[derive(Clone, Debug)]
pub struct RequestLog {
    log: Logger,
    clock: Clock,
    budget: Arc<Mutex<Budget>>,
}

impl RequestLog {
    /// Creates a request log that writes to `log`.
    pub fn new(log: Logger, clock: Clock) -> Self {
        let budget = Budget { available: MAX_SAVED_LINES, dropped: 0, refilled_at: clock.now() };
        Self { log, clock, budget: Arc::new(Mutex::new(budget)) }
    }

    /// Logs the recorded steps of a query, one line for each step.
    pub fn request(&self, account: &Explanation) {
        if !self.take(account.steps.len() as u32) {
            return;
        }
        let arrived = account.steps.first().map(|timed_step| timed_step.at).unwrap_or_default();
        for timed_step in &account.steps {
            self.step(&account.key, timed_step.at.since(arrived), &timed_step.step);
        }
    }

    fn step(&self, id: &str, after: Duration, step: &Step) {
        let at = micros(after);
        match step {
            Step::Arrived { attempt, fingerprint } => {
                info!(self.log, "request received"; "id" => id, "at_us" => at, "attempt" => attempt,
                    "fingerprint" => %fingerprint);
            }
            Step::Routed { route, deadline, target, attempts, idempotent } => {
                info!(self.log, "routed"; "id" => id, "at_us" => at, "route" => &**route,
                    "deadline_us" => micros(*deadline), "target_us" => micros(*target),
                    "attempts" => attempts, "idempotent" => idempotent);
            }
            Step::Pinned { version, portions, missing } => {
                info!(self.log, "planned"; "id" => id, "at_us" => at, "version" => version,
                    "portions" => portions, "missing" => missing);
            }
            Step::Sent { to, round, portions, again, reselected } => {
                info!(self.log, "portions sent"; "id" => id, "at_us" => at, "to" => &**to,
                    "round" => round, "portions" => portions,
                    "again" => again.map(|reason| reason.as_str_name()),
                    "reselected" => reselected);
            }
            Step::Replied { from, service, verdict, reason } => {
                info!(self.log, "part received"; "id" => id, "at_us" => at, "from" => &**from,
                    "service" => &**service, "verdict" => verdict.as_str_name(),
                    "reason" => reason.as_str_name());
            }
            Step::OwnerLost { owner, portions } => {
                info!(self.log, "portions lost"; "id" => id, "at_us" => at, "owner" => &**owner,
                    "portions" => portions);
            }
            Step::ReservationRequested { holder } => {
                info!(self.log, "reservation requested"; "id" => id, "at_us" => at,
                    "holder" => &**holder);
            }
            Step::ReservationAnswered { response } => {
                info!(self.log, "reservation answered"; "id" => id, "at_us" => at,
                    "event" => response.event().name(),
                    "retry_after_us" => micros(response.retry_after()));
            }
            Step::Refused { detail } => {
                info!(self.log, "refused"; "id" => id, "at_us" => at, "detail" => &**detail);
            }
            Step::Waiting { portions, pause, reason } => {
                info!(self.log, "portions wait"; "id" => id, "at_us" => at, "portions" => portions,
                    "pause_us" => micros(*pause), "reason" => reason.as_str_name());
            }
            Step::Withdrawn { portions } => {
                info!(self.log, "portions withdrawn"; "id" => id, "at_us" => at,
                    "portions" => portions);
            }
            Step::CallerLeft => info!(self.log, "caller disconnected"; "id" => id, "at_us" => at),
            Step::Answered { verdict, reason, covered, missing } => {
                info!(self.log, "answered"; "id" => id, "at_us" => at,
                    "verdict" => verdict.as_str_name(), "reason" => reason.as_str_name(),
                    "covered" => covered, "missing" => missing);
            }
        }
    }

    /// Logs the handling of a portion: one line for each call and one for the end of the portion.
    pub fn trace(&self, trace: &Trace) {
        if !self.take(trace.calls.len() as u32 + 1) {
            return;
        }
        for call in &trace.calls {
            self.call(trace, call);
        }
        info!(self.log, "portion finished"; "id" => &*trace.id, "service" => &*trace.service,
            "version" => trace.version, "took_us" => micros(trace.took),
            "verdict" => trace.verdict.as_str_name(), "reason" => trace.reason.as_str_name(),
            "retry_after_us" => micros(trace.retry_after), "calls" => trace.calls.len());
    }

    /// Logs a response that reaches its caller after the target time.
    pub fn response(&self, response: &ResponseTime) {
        if response.late > Duration::ZERO && self.take(1) {
            info!(self.log, "response late"; "id" => &response.key, "route" => &*response.route,
                "wake_us" => micros(response.wake), "write_us" => micros(response.write),
                "transfer_us" => micros(response.transfer), "late_us" => micros(response.late));
        }
    }

    /// Logs that a server process crashed while requests were in progress there.
    pub fn crashed(&self, server: &str, incarnation: u64, requests: &[Fingerprint]) {
        if self.take(1) {
            let requests: Vec<String> = requests.iter().map(Fingerprint::to_string).collect();
            warn!(self.log, "server process crashed"; "server" => server,
                "incarnation" => incarnation, "requests" => requests.join(" "));
        }
    }

    fn call(&self, trace: &Trace, call: &CallTrace) {
        let end = call.end;
        info!(self.log, "call"; "id" => &*trace.id, "service" => &*trace.service,
            "server" => &*call.server, "cause" => ?call.cause,
            "after_us" => micros(call.after), "in_flight" => call.in_flight,
            "failure_rate" => format!("{:.2}", call.failure_rate),
            "shed_rate" => format!("{:.2}", call.shed_rate),
            "seen_us_ago" => micros(call.age), "budget" => call.budget,
            "left_us" => micros(call.left),
            "took_us" => end.map(|end| micros(end.took)),
            "verdict" => end.map(|end| end.verdict.as_str_name()),
            "reason" => end.map(|end| end.reason.as_str_name()));
    }

    /// Takes `lines` from the budget. Returns `false` and counts a dropped request if the budget
    /// has too few lines left.
    fn take(&self, lines: u32) -> bool {
        let now = self.clock.now();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = now.since(budget.refilled_at);
        if elapsed >= Duration::from_secs(1) {
            let refill = elapsed.as_secs_f64() * f64::from(LINES_PER_SECOND);
            budget.available = budget.available.saturating_add(refill as u32).min(MAX_SAVED_LINES);
            budget.refilled_at = now;
            let dropped = std::mem::take(&mut budget.dropped);
            if dropped > 0 {
                warn!(self.log, "log lines dropped, budget exhausted"; "stories" => dropped);
            }
        }
        let affordable = budget.available >= lines;
        match affordable {
            true => budget.available -= lines,
            false => budget.dropped += 1,
        }
        affordable
    }
}

/// Converts a duration to whole microseconds.
fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
