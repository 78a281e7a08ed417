//! Groups runs of the same label, load and scenario, and calculates medians over their rounds.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::error::Error;
use crate::result::{Class, Run};
use crate::run::NO_FAULTS_SCENARIO;

/// Loads that differ by less than this are treated as equal.
const LOAD_TOLERANCE: f64 = 1e-6;

/// Runs of the same label, load and scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Label of the runs.
    pub label: String,
    /// Load of the runs, as a share of the capacity.
    pub load: f64,
    /// Name of the fault schedule.
    pub scenario: String,
    /// Runs of the group, one for each round; not empty.
    pub runs: Vec<Run>,
}

impl Row {
    /// Returns the median of a figure over the rounds.
    pub fn median(&self, figure: impl Fn(&Run) -> f64) -> f64 {
        let mut values: Vec<f64> = self.runs.iter().map(figure).collect();
        values.sort_by(f64::total_cmp);
        let middle = values.len() / 2;
        match values.len() {
            0 => f64::NAN,
            length if length % 2 == 1 => values[middle],
            _ => f64::midpoint(values[middle - 1], values[middle]),
        }
    }

    /// Returns the median of a figure of one query class over the rounds; not a number if no run
    /// has the class.
    pub fn class_median(&self, class: &str, figure: impl Fn(&Class) -> f64) -> f64 {
        self.median(|run| find_class(run, class).map_or(f64::NAN, &figure))
    }

    /// Returns the sum of a counter over the rounds.
    pub fn sum(&self, count: impl Fn(&Run) -> u64) -> u64 {
        self.runs.iter().map(count).sum()
    }

    /// Returns the counts by reason of one query class, added up over the rounds.
    pub fn counts_by_reason(
        &self,
        class: &str,
        counts: impl Fn(&Class) -> &BTreeMap<String, u64>,
    ) -> BTreeMap<String, u64> {
        let mut totals = BTreeMap::new();
        for class in self.runs.iter().filter_map(|run| find_class(run, class)) {
            for (reason, count) in counts(class) {
                *totals.entry(reason.clone()).or_default() += count;
            }
        }
        totals
    }
}

/// Returns the figures of the query class with this name; the name of `Run::overall` selects the
/// figures of all classes.
pub fn find_class<'a>(run: &'a Run, name: &str) -> Option<&'a Class> {
    let classes = std::iter::once(&run.overall).chain(&run.classes);
    classes.into_iter().find(|class| class.name == name)
}

/// Groups runs into rows, sorted by scenario (the one without faults first), load and label.
pub fn group_runs(runs: &[Run]) -> Vec<Row> {
    let mut rows: Vec<Row> = Vec::new();
    for run in runs {
        let is_same_setting = |row: &&mut Row| {
            row.label == run.label
                && row.scenario == run.scenario
                && (row.load - run.load).abs() < LOAD_TOLERANCE
        };
        match rows.iter_mut().find(is_same_setting) {
            Some(row) => row.runs.push(run.clone()),
            None => rows.push(Row {
                label: run.label.clone(),
                load: run.load,
                scenario: run.scenario.clone(),
                runs: vec![run.clone()],
            }),
        }
    }
    rows.sort_by(|a, b| {
        let scenario_order =
            (a.scenario != NO_FAULTS_SCENARIO).cmp(&(b.scenario != NO_FAULTS_SCENARIO));
        scenario_order
            .then_with(|| a.scenario.cmp(&b.scenario))
            .then_with(|| a.load.total_cmp(&b.load))
            .then_with(|| a.label.cmp(&b.label))
    });
    rows
}

/// Returns the names of all query classes; the name of the overall figures comes first.
pub fn class_names(rows: &[Row]) -> Vec<String> {
    let mut seen = BTreeSet::new();
    let mut names = Vec::new();
    for run in rows.iter().flat_map(|row| &row.runs) {
        for class in std::iter::once(&run.overall).chain(&run.classes) {
            if seen.insert(class.name.clone()) {
                names.push(class.name.clone());
            }
        }
    }
    names
}

/// Returns the load nearest to `wanted` among the rows without faults, or `wanted` if there are
/// none.
pub fn nearest_load(rows: &[Row], wanted: f64) -> f64 {
    let without_faults = rows.iter().filter(|row| row.scenario == NO_FAULTS_SCENARIO);
    let loads = without_faults.map(|row| row.load);
    let distance = |load: &f64| (load - wanted).abs();
    loads.min_by(|a, b| distance(a).total_cmp(&distance(b))).unwrap_or(wanted)
}

/// Comparison of the chosen policy with the baseline, for the headline query class in runs without
/// faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// 99th percentile latency of the chosen policy divided by that of the baseline; each is the
    /// median over the rounds.
    pub p99_ratio: f64,
    /// Share of the asked shards that the answers covered, with the chosen policy.
    pub coverage: f64,
    /// Calls that the targets started divided by the needed calls, with the chosen policy, over all
    /// query classes.
    pub extra_load: f64,
    /// Number of queries with a wrong answer, over all runs.
    pub wrong: u64,
    /// Number of non-idempotent queries that ran more than once, over all runs.
    pub doubled: u64,
    /// Number of queries without a response, over all runs.
    pub lost: u64,
}

impl Summary {
    /// Compares the runs of two labels at the load nearest to `load`.
    pub fn compare(rows: &[Row], baseline: &str, chosen: &str, load: f64) -> Result<Self, Error> {
        let load = nearest_load(rows, load);
        let baseline = find_row_without_faults(rows, baseline, load)?;
        let chosen = find_row_without_faults(rows, chosen, load)?;
        let p99 = |row: &Row| row.median(|run| run.headline().p99_ms);
        let total = |count: fn(&Class) -> u64| {
            let sums = rows.iter().map(|row| row.sum(|run| count(&run.overall)));
            sums.sum()
        };
        Ok(Self {
            p99_ratio: p99(chosen) / p99(baseline),
            coverage: chosen.median(|run| run.headline().coverage),
            extra_load: chosen.median(|run| run.extra_load),
            wrong: total(|class| class.wrong),
            doubled: total(|class| class.doubled),
            lost: total(|class| class.lost),
        })
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "p99_ratio={:.3} coverage={:.5} extra_load={:.3} wrong={} doubled={} lost={}",
            self.p99_ratio, self.coverage, self.extra_load, self.wrong, self.doubled, self.lost
        )
    }
}

fn find_row_without_faults<'a>(rows: &'a [Row], label: &str, load: f64) -> Result<&'a Row, Error> {
    let is_wanted = |row: &&Row| {
        row.scenario == NO_FAULTS_SCENARIO
            && row.label == label
            && (row.load - load).abs() < LOAD_TOLERANCE
    };
    let found = rows.iter().find(is_wanted);
    found.ok_or_else(|| Error::Label(label.to_owned()))
}
