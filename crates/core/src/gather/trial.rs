//! Admits requests that may crash servers: refuses them, except for single calls on trial.

use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};

use super::answer;
use super::check::Refusal;
use super::machine::Machine;
use super::plan::Plan;
use super::query::Query;
use crate::collections::Map;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;

/// Time within which the outcome of a trial is known, and before which this instance begins no
/// other trial of the same request.
const OUTCOME_TIME: Duration = Duration::from_secs(5);

/// Trials that this instance began, by the request's fingerprint, with the time of their start.
#[derive(Debug, Default)]
pub(crate) struct Trials(Map<Fingerprint, Instant>);

impl Trials {
    fn is_open(&self, now: Instant, request: Fingerprint) -> bool {
        self.0.get(&request).is_some_and(|start| now.since(*start) < OUTCOME_TIME)
    }

    fn begin(&mut self, now: Instant, request: Fingerprint) {
        self.0.retain(|_, start| now.since(*start) < OUTCOME_TIME);
        self.0.insert(request, now);
    }
}

impl Machine {
    /// Refuses a quarantined request that is not tried now. Planning it first would take a turn of a
    /// traffic split.
    pub(super) fn check_quarantined(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
    ) -> Result<(), Refusal> {
        let is_refused = self.view.quarantine.refused.contains(&fingerprint);
        if is_refused && !self.may_try(now, fingerprint) {
            return Err(refusal(Reason::Quarantined, fingerprint));
        }
        Ok(())
    }

    /// Puts a planned request that may crash servers on trial, or refuses it.
    ///
    /// A trial is a single call, so only a request for a single service can be tried. A sweep is
    /// refused once it is quarantined, and not before: its bystanders are answered by other shards
    /// and servers, so that crashes are soon attributed.
    pub(super) fn check_suspected(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        plan: &mut Plan,
    ) -> Result<(), Refusal> {
        let is_refused = self.view.quarantine.refused.contains(&fingerprint);
        let is_suspected = self.view.quarantine.trials.contains_key(&fingerprint);
        match plan.is_for_single_service() {
            true if is_suspected && self.may_try(now, fingerprint) => {
                self.trials.begin(now, fingerprint);
                plan.terms.on_trial = true;
                Ok(())
            }
            _ if is_refused => Err(refusal(Reason::Quarantined, fingerprint)),
            true if is_suspected => Err(refusal(Reason::Suspected, fingerprint)),
            _ => Ok(()),
        }
    }

    /// Whether this instance may begin a trial of a request now.
    fn may_try(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let trial = self.view.quarantine.trials.get(&fingerprint);
        trial.is_some_and(|trial| trial.is_due(now)) && !self.trials.is_open(now, fingerprint)
    }

    /// Allows the next trial at once if this one has reached no server.
    pub(super) fn trial_ended(&mut self, query: &Query) {
        if query.terms.on_trial && answer::query_verdict(query) == Verdict::NotRun {
            self.trials.0.remove(&query.fingerprint);
        }
    }
}

fn refusal(reason: Reason, fingerprint: Fingerprint) -> Refusal {
    let detail = format!("fingerprint: {fingerprint}; servers ended under such requests");
    Refusal::new(reason, detail)
}
