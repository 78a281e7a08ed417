//! Compares what the callers were told with what the targets executed.

use ladder_core::collections::{Map, Set};
use ladder_schema::call;
use ladder_schema::outcome::Verdict;
use ladder_schema::standin;

use crate::caller::{self, Outcome, Record};
use crate::check;
use crate::plan::Plan;

/// What the ledgers show of one query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Finding {
    /// Executions of it at all targets.
    pub calls: u64,
    /// Executions that it needed.
    pub needed: u64,
    /// It is unrepeatable and ran more than once.
    pub doubled: bool,
    /// Something of it ran that the answer says did not run.
    pub ran_after_all: bool,
}

/// Executions by request key and shard.
#[derive(Debug, Default)]
struct Executions<'a> {
    /// Executions of a key, whatever the shards.
    calls: Map<&'a str, u64>,
    /// Executions of a key that touched a shard.
    shards: Map<(&'a str, &'a str), u64>,
}

/// A finding for each record, in the same order.
pub fn audit(plans: &[Plan], records: &[Record], ledgers: &[standin::Ledger]) -> Vec<Finding> {
    let executions = Executions::of(ledgers);
    records.iter().map(|record| executions.finding(&plans[record.class], record)).collect()
}

/// Whether any ledger holds an execution of a key that starts with `prefix`.
pub fn is_used(ledgers: &[standin::Ledger], prefix: &str) -> bool {
    let mut executions = ledgers.iter().flat_map(|ledger| &ledger.executions);
    executions.any(|execution| execution.key.starts_with(prefix))
}

impl<'a> Executions<'a> {
    fn of(ledgers: &'a [standin::Ledger]) -> Self {
        let mut all = Self::default();
        for execution in ledgers.iter().flat_map(|ledger| &ledger.executions) {
            let count = u64::from(execution.count);
            *all.calls.entry(&execution.key).or_default() += count;
            for shard in &execution.shards {
                *all.shards.entry((&execution.key, shard)).or_default() += count;
            }
        }
        all
    }

    fn finding(&self, plan: &Plan, record: &Record) -> Finding {
        let key = record.key.as_str();
        let runs = |shard: &usize| self.runs(key, &plan.shards[*shard].name);
        Finding {
            calls: self.calls.get(key).copied().unwrap_or(0),
            needed: needed(plan, record),
            doubled: plan.unrepeatable && record.shards.iter().any(|shard| runs(shard) > 1),
            ran_after_all: self.ran_after_all(record),
        }
    }

    fn runs(&self, key: &str, shard: &str) -> u64 {
        self.shards.get(&(key, shard)).copied().unwrap_or(0)
    }

    fn ran_after_all(&self, record: &Record) -> bool {
        let Outcome::Answered { answer, .. } = &record.outcome else {
            return false;
        };
        if answer.verdict() == Verdict::NotRun {
            return self.calls.contains_key(record.key.as_str());
        }
        let refused = |missing: &&call::Missing| missing.verdict() == Verdict::NotRun;
        let mut refused = answer.missing.iter().filter(refused);
        refused.any(|missing| self.runs(&record.key, &missing.shard) > 0)
    }
}

/// One call for each service of a shard that was covered or may have run.
fn needed(plan: &Plan, record: &Record) -> u64 {
    let Outcome::Answered { status, answer, .. } = &record.outcome else {
        return caller::services(plan, record).len() as u64;
    };
    if !check::is_answer(*status) {
        let none = answer.verdict() == Verdict::NotRun;
        let all = caller::services(plan, record).len() as u64;
        return if none { 0 } else { all };
    }
    let may_have_run = |missing: &&call::Missing| missing.verdict() != Verdict::NotRun;
    let missing = answer.missing.iter().filter(may_have_run);
    let missing = missing.map(|missing| missing.shard.as_str());
    let ran: Set<&str> = answer.covered.iter().map(String::as_str).chain(missing).collect();
    let shards = plan.shards.iter().filter(|shard| ran.contains(shard.name.as_str()));
    let services: Set<&str> = shards.map(|shard| shard.service.as_str()).collect();
    services.len() as u64
}
