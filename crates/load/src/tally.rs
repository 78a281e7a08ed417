//! Aggregates query records into the figures of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use ladder_schema::call;

use crate::audit::Finding;
use crate::caller::{Outcome, Record};
use crate::check;
use crate::plan::Plan;
use crate::result::{self, Class};

/// Largest latency that the histogram can distinguish, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1000.0;

/// Counters of one query class, from which its figures are calculated.
#[derive(Debug)]
pub struct Tally {
    class: Class,
    latency: Histogram<u64>,
    asked_shards: u64,
    covered_shards: u64,
    /// Number of complete answers before the deadline.
    complete_in_time: u64,
    /// Number of complete and partial answers before the deadline.
    answers_in_time: u64,
    /// Number of shards covered by answers before the deadline.
    shards_in_time: u64,
}

impl Tally {
    /// Creates a tally with all counters at zero.
    pub fn new(name: &str, headline: bool) -> Self {
        let class = Class { name: name.to_owned(), headline, ..Class::default() };
        // The histogram accepts these bounds, so the creation cannot fail.
        let latency =
            Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("bounds");
        Self {
            class,
            latency,
            asked_shards: 0,
            covered_shards: 0,
            complete_in_time: 0,
            answers_in_time: 0,
            shards_in_time: 0,
        }
    }

    /// Adds one query. A query of the warm-up counts only for the audit figures: executions, needed
    /// calls, and wrong, repeated, lost and retried queries.
    pub fn add(&mut self, plan: &Plan, record: &Record, finding: &Finding, warmup: Duration) {
        self.add_audit_figures(record, finding);
        if record.start_offset < warmup {
            return;
        }
        self.class.sent += 1;
        self.asked_shards += record.shards.len() as u64;
        let Outcome::Answered { status, answer, .. } = &record.outcome else {
            return;
        };
        increment(&mut self.class.verdicts, answer.verdict().as_str_name());
        if check::is_answer(*status) {
            self.add_answer(plan, record, answer);
        } else {
            increment(&mut self.class.refusals, answer.reason().as_str_name());
        }
    }

    fn add_audit_figures(&mut self, record: &Record, finding: &Finding) {
        let class = &mut self.class;
        class.calls += finding.calls;
        class.needed += finding.needed;
        class.doubled += u64::from(finding.doubled);
        class.wrong += u64::from(is_wrong(record, finding));
        class.lost += u64::from(matches!(record.outcome, Outcome::Lost { .. }));
        class.retried += u64::from(record.attempts > 1);
    }

    fn add_answer(&mut self, plan: &Plan, record: &Record, answer: &call::Answer) {
        let micros = record.latency.as_micros().min(u128::from(MAX_LATENCY_US)) as u64;
        self.latency.saturating_record(micros.max(1));
        let covered = answer.covered.len() as u64;
        let complete = answer.missing.is_empty();
        self.class.answered += 1;
        self.class.complete += u64::from(complete);
        self.covered_shards += covered;
        for missing in &answer.missing {
            increment(&mut self.class.missing, missing.reason().as_str_name());
        }
        if record.latency <= Duration::from_millis(u64::from(plan.deadline_ms)) {
            self.answers_in_time += 1;
            self.complete_in_time += u64::from(complete);
            self.shards_in_time += covered;
        } else {
            self.class.late += 1;
        }
    }

    /// Returns the figures of the query class; rates are averages over `seconds`.
    pub fn finish(self, seconds: f64) -> Class {
        let quantile_ms =
            |quantile| self.latency.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        Class {
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            quantiles_ms: result::LATENCY_QUANTILES.map(quantile_ms).to_vec(),
            complete_share: ratio(self.class.complete, self.class.answered),
            coverage: ratio(self.covered_shards, self.asked_shards),
            goodput: self.complete_in_time as f64 / seconds,
            answers_per_second: self.answers_in_time as f64 / seconds,
            shards_per_second: self.shards_in_time as f64 / seconds,
            ..self.class
        }
    }
}

/// Whether the answer or refusal of a query contains a mistake or contradicts the target ledgers.
pub fn is_wrong(record: &Record, finding: &Finding) -> bool {
    finding.ran_after_all
        || match &record.outcome {
            Outcome::Answered { mistakes, .. } => !mistakes.is_empty(),
            Outcome::Undecodable { .. } => true,
            Outcome::Lost { .. } => false,
        }
}

/// Returns `part` divided by `whole`, or 0 if `whole` is 0.
pub fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

fn increment(counts: &mut BTreeMap<String, u64>, name: &str) {
    *counts.entry(name.to_owned()).or_default() += 1;
}
