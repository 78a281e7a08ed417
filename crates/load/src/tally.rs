//! Adds records up to figures.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use ladder_schema::call;

use crate::audit::Finding;
use crate::caller::{Outcome, Record};
use crate::check;
use crate::plan::Plan;
use crate::result::{self, Class};

/// Longest latency that the histogram tells apart, in microseconds.
const LONGEST_US: u64 = 120_000_000;
const DIGITS: u8 = 3;
const PER_MILLI: f64 = 1000.0;

/// Figures of one class while they are added up.
#[derive(Debug)]
pub struct Tally {
    class: Class,
    latency: Histogram<u64>,
    asked_shards: u64,
    covered_shards: u64,
    /// Complete answers in time.
    goodput: u64,
    /// Answers in time.
    answers: u64,
    /// Shards covered in time.
    shards: u64,
}

impl Tally {
    /// Nothing yet.
    pub fn new(name: &str, headline: bool) -> Self {
        let class = Class { name: name.to_owned(), headline, ..Class::default() };
        // The bounds are constants that the histogram accepts.
        let latency = Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("bounds");
        Self {
            class,
            latency,
            asked_shards: 0,
            covered_shards: 0,
            goodput: 0,
            answers: 0,
            shards: 0,
        }
    }

    /// Adds one query; of a query in the warm-up only what the audit of the promises needs.
    pub fn add(&mut self, plan: &Plan, record: &Record, finding: &Finding, warmup: Duration) {
        self.add_promises(record, finding);
        if record.at < warmup {
            return;
        }
        self.class.sent += 1;
        self.asked_shards += record.shards.len() as u64;
        let Outcome::Answered { status, answer, .. } = &record.outcome else {
            return;
        };
        step(&mut self.class.verdicts, answer.verdict().as_str_name());
        if check::is_answer(*status) {
            self.add_answer(plan, record, answer);
        } else {
            step(&mut self.class.refusals, answer.reason().as_str_name());
        }
    }

    fn add_promises(&mut self, record: &Record, finding: &Finding) {
        let class = &mut self.class;
        class.calls += finding.calls;
        class.needed += finding.needed;
        class.doubled += u64::from(finding.doubled);
        class.wrong += u64::from(is_wrong(record, finding));
        class.lost += u64::from(matches!(record.outcome, Outcome::Lost { .. }));
        class.retried += u64::from(record.attempts > 1);
    }

    fn add_answer(&mut self, plan: &Plan, record: &Record, answer: &call::Answer) {
        let micros = record.latency.as_micros().min(u128::from(LONGEST_US)) as u64;
        self.latency.saturating_record(micros.max(1));
        let covered = answer.covered.len() as u64;
        let complete = answer.missing.is_empty();
        self.class.answered += 1;
        self.class.complete += u64::from(complete);
        self.covered_shards += covered;
        for missing in &answer.missing {
            step(&mut self.class.missing, missing.reason().as_str_name());
        }
        if record.latency <= Duration::from_millis(u64::from(plan.deadline_ms)) {
            self.answers += 1;
            self.goodput += u64::from(complete);
            self.shards += covered;
        } else {
            self.class.late += 1;
        }
    }

    /// The figures; rates are over `seconds`.
    pub fn finish(self, seconds: f64) -> Class {
        let quantile = |share| self.latency.value_at_quantile(share) as f64 / PER_MILLI;
        Class {
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            quantiles_ms: result::SHARES.map(quantile).to_vec(),
            complete_share: ratio(self.class.complete, self.class.answered),
            coverage: ratio(self.covered_shards, self.asked_shards),
            goodput: self.goodput as f64 / seconds,
            answers_per_second: self.answers as f64 / seconds,
            shards_per_second: self.shards as f64 / seconds,
            ..self.class
        }
    }
}

/// Whether something untrue was said about a query.
pub fn is_wrong(record: &Record, finding: &Finding) -> bool {
    finding.ran_after_all
        || match &record.outcome {
            Outcome::Answered { mistakes, .. } => !mistakes.is_empty(),
            Outcome::Undecodable { .. } => true,
            Outcome::Lost { .. } => false,
        }
}

/// `part` of `whole`; 0 of nothing.
pub fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

fn step(counts: &mut BTreeMap<String, u64>, name: &str) {
    *counts.entry(name.to_owned()).or_default() += 1;
}
