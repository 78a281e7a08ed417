//! Compares the answers that callers received with the executions that the targets recorded.

use ladder_core::collections::{Map, Set};
use ladder_schema::call;
use ladder_schema::outcome::Verdict;
use ladder_schema::standin;

use crate::caller::{self, Outcome, Record};
use crate::check;
use crate::plan::Plan;

/// Audit result of one query: its answer compared with the target ledgers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Finding {
    /// Number of executions of the query at all targets.
    pub calls: u64,
    /// Number of executions that the query needed.
    pub needed: u64,
    /// Whether the query is non-idempotent and ran more than once.
    pub doubled: bool,
    /// Whether a target executed work that the answer reports as not run.
    pub ran_after_all: bool,
}

/// Numbers of executions in the target ledgers, by request key and by shard.
#[derive(Debug, Default)]
struct Executions<'a> {
    /// Number of executions by request key, over all shards.
    calls: Map<&'a str, u64>,
    /// Number of executions by request key and shard.
    shards: Map<(&'a str, &'a str), u64>,
}

/// Returns one finding for each record, in the order of the records.
pub fn audit(plans: &[Plan], records: &[Record], ledgers: &[standin::Ledger]) -> Vec<Finding> {
    let executions = Executions::from_ledgers(ledgers);
    records.iter().map(|record| executions.finding(&plans[record.class], record)).collect()
}

/// Whether any ledger contains an execution whose request key starts with `prefix`.
pub fn is_prefix_used(ledgers: &[standin::Ledger], prefix: &str) -> bool {
    let mut executions = ledgers.iter().flat_map(|ledger| &ledger.executions);
    executions.any(|execution| execution.key.starts_with(prefix))
}

impl<'a> Executions<'a> {
    fn from_ledgers(ledgers: &'a [standin::Ledger]) -> Self {
        let mut executions = Self::default();
        for execution in ledgers.iter().flat_map(|ledger| &ledger.executions) {
            let count = u64::from(execution.count);
            *executions.calls.entry(&execution.key).or_default() += count;
            for shard in &execution.shards {
                *executions.shards.entry((&execution.key, shard)).or_default() += count;
            }
        }
        executions
    }

    fn finding(&self, plan: &Plan, record: &Record) -> Finding {
        let key = record.key.as_str();
        let executions_of = |shard: &usize| self.shard_executions(key, &plan.shards[*shard].name);
        Finding {
            calls: self.calls.get(key).copied().unwrap_or(0),
            needed: needed_calls(plan, record),
            doubled: plan.unrepeatable
                && record.shards.iter().any(|shard| executions_of(shard) > 1),
            ran_after_all: self.ran_after_all(record),
        }
    }

    fn shard_executions(&self, key: &str, shard: &str) -> u64 {
        self.shards.get(&(key, shard)).copied().unwrap_or(0)
    }

    fn ran_after_all(&self, record: &Record) -> bool {
        let Outcome::Answered { answer, .. } = &record.outcome else {
            return false;
        };
        if answer.verdict() == Verdict::NotRun {
            return self.calls.contains_key(record.key.as_str());
        }
        let is_not_run = |missing: &&call::Missing| missing.verdict() == Verdict::NotRun;
        let mut not_run = answer.missing.iter().filter(is_not_run);
        not_run.any(|missing| self.shard_executions(&record.key, &missing.shard) > 0)
    }
}

/// Returns the number of calls that a query needed: one for each service with a shard that was
/// covered or may have run.
fn needed_calls(plan: &Plan, record: &Record) -> u64 {
    let Outcome::Answered { status, answer, .. } = &record.outcome else {
        return caller::services_of(plan, record).len() as u64;
    };
    if !check::is_answer(*status) {
        let not_run = answer.verdict() == Verdict::NotRun;
        let all_services = caller::services_of(plan, record).len() as u64;
        return if not_run { 0 } else { all_services };
    }
    let may_have_run = |missing: &&call::Missing| missing.verdict() != Verdict::NotRun;
    let missing = answer.missing.iter().filter(may_have_run);
    let missing = missing.map(|missing| missing.shard.as_str());
    let executed_shards: Set<&str> =
        answer.covered.iter().map(String::as_str).chain(missing).collect();
    let shards = plan.shards.iter().filter(|shard| executed_shards.contains(shard.name.as_str()));
    let services: Set<&str> = shards.map(|shard| shard.service.as_str()).collect();
    services.len() as u64
}
