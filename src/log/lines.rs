//! Lines about requests: one for each decision, within a budget.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ladder_core::fingerprint::Fingerprint;
use ladder_core::gather::{Explanation, Step};
use ladder_core::leaf::{Trace, Trial};
use ladder_core::time::Instant;
use slog::{Logger, info, warn};

use crate::clock::Clock;

/// Lines that a second pays for.
const PER_SECOND: u32 = 120;
/// Lines that may be saved up: the first seconds of a fault are the ones that explain it.
const BURST: u32 = 1200;

/// How many lines may be written, and how many were not.
#[derive(Debug)]
struct Budget {
    /// Lines saved up; at most [`BURST`].
    left: u32,
    /// Requests or portions whose lines were dropped since it was last said.
    dropped: u32,
    /// When the second began that has been paid for last.
    paid: Instant,
}

/// Writes lines about requests; clones share one budget.
///
/// In overload every request ends badly and would be logged in full, which would cost the processor
/// that the requests lack. What is beyond the budget is dropped whole, story by story, and counted.
#[derive(Clone, Debug)]
pub struct Lines {
    log: Logger,
    clock: Clock,
    budget: Arc<Mutex<Budget>>,
}

impl Lines {
    /// Lines to `log`.
    pub fn new(log: Logger, clock: Clock) -> Self {
        let budget = Budget { left: BURST, dropped: 0, paid: clock.now() };
        Self { log, clock, budget: Arc::new(Mutex::new(budget)) }
    }

    /// Writes the account of a query, one line for each step.
    pub fn request(&self, account: &Explanation) {
        if !self.pay(account.steps.len() as u32) {
            return;
        }
        let arrived = account.steps.first().map(|stamp| stamp.at).unwrap_or_default();
        for stamp in &account.steps {
            self.step(&account.key, stamp.at.since(arrived), &stamp.step);
        }
    }

    fn step(&self, id: &str, after: Duration, step: &Step) {
        let at = micros(after);
        match step {
            Step::Arrived { attempt, fingerprint } => {
                info!(self.log, "request"; "id" => id, "at_us" => at, "attempt" => attempt,
                    "fingerprint" => %fingerprint);
            }
            Step::Routed { route, deadline, target } => {
                info!(self.log, "routed"; "id" => id, "at_us" => at, "route" => &**route,
                    "deadline_us" => micros(*deadline), "target_us" => micros(*target));
            }
            Step::Pinned { version, portions, missing } => {
                info!(self.log, "planned"; "id" => id, "at_us" => at, "version" => version,
                    "portions" => portions, "missing" => missing);
            }
            Step::Sent { to, round, portions, again } => {
                info!(self.log, "handed over"; "id" => id, "at_us" => at, "to" => &**to,
                    "round" => round, "portions" => portions,
                    "again" => again.map(|reason| reason.as_str_name()));
            }
            Step::Replied { from, service, verdict, reason } => {
                info!(self.log, "part"; "id" => id, "at_us" => at, "from" => &**from,
                    "service" => &**service, "verdict" => verdict.as_str_name(),
                    "reason" => reason.as_str_name());
            }
            Step::Lost { owner, portions } => {
                info!(self.log, "given up"; "id" => id, "at_us" => at, "owner" => &**owner,
                    "portions" => portions);
            }
            Step::Refused { detail } => {
                info!(self.log, "refused"; "id" => id, "at_us" => at, "detail" => &**detail);
            }
            Step::Withdrawn { portions } => {
                info!(self.log, "withdrawn"; "id" => id, "at_us" => at, "portions" => portions);
            }
            Step::Gone => info!(self.log, "caller left"; "id" => id, "at_us" => at),
            Step::Answered { verdict, reason, covered, missing } => {
                info!(self.log, "answered"; "id" => id, "at_us" => at,
                    "verdict" => verdict.as_str_name(), "reason" => reason.as_str_name(),
                    "covered" => covered, "missing" => missing);
            }
        }
    }

    /// Writes what was decided for a portion: a line for each call and one for its end.
    pub fn trace(&self, trace: &Trace) {
        if !self.pay(trace.trials.len() as u32 + 1) {
            return;
        }
        for trial in &trace.trials {
            self.trial(trace, trial);
        }
        info!(self.log, "portion"; "id" => &*trace.id, "service" => &*trace.service,
            "version" => trace.version, "took_us" => micros(trace.took),
            "verdict" => trace.verdict.as_str_name(), "reason" => trace.reason.as_str_name(),
            "retry_after_us" => micros(trace.retry_after), "calls" => trace.trials.len());
    }

    /// Writes that a server ended while requests were there.
    pub fn crashed(&self, server: &str, incarnation: u64, requests: &[Fingerprint]) {
        if self.pay(1) {
            let requests: Vec<String> = requests.iter().map(Fingerprint::to_string).collect();
            warn!(self.log, "server ended"; "server" => server, "incarnation" => incarnation,
                "requests" => requests.join(" "));
        }
    }

    fn trial(&self, trace: &Trace, trial: &Trial) {
        let end = trial.end;
        info!(self.log, "call"; "id" => &*trace.id, "service" => &*trace.service,
            "server" => &*trial.server, "cause" => ?trial.cause,
            "after_us" => micros(trial.after), "in_flight" => trial.in_flight,
            "failure_rate" => format!("{:.2}", trial.failure_rate),
            "shed_rate" => format!("{:.2}", trial.shed_rate),
            "seen_us_ago" => micros(trial.age), "budget" => trial.budget,
            "left_us" => micros(trial.left),
            "took_us" => end.map(|end| micros(end.took)),
            "verdict" => end.map(|end| end.verdict.as_str_name()),
            "reason" => end.map(|end| end.reason.as_str_name()));
    }

    /// Takes lines from the budget; `false` when they are too many.
    fn pay(&self, lines: u32) -> bool {
        let now = self.clock.now();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let passed = now.since(budget.paid);
        if passed >= Duration::from_secs(1) {
            let earned = passed.as_secs_f64() * f64::from(PER_SECOND);
            budget.left = budget.left.saturating_add(earned as u32).min(BURST);
            budget.paid = now;
            let dropped = std::mem::take(&mut budget.dropped);
            if dropped > 0 {
                warn!(self.log, "lines dropped"; "stories" => dropped);
            }
        }
        let paid = budget.left >= lines;
        match paid {
            true => budget.left -= lines,
            false => budget.dropped += 1,
        }
        paid
    }
}

/// Whole microseconds.
fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
