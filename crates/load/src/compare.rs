//! Groups runs by setting and takes medians over their rounds.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::error::Error;
use crate::result::{Class, Run};
use crate::run::STEADY;

/// Loads that differ by less are the same.
const SAME_LOAD: f64 = 1e-6;

/// Runs of one label, load and scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Label.
    pub label: String,
    /// Share of the capacity.
    pub load: f64,
    /// Name of the schedule of faults.
    pub scenario: String,
    /// Rounds; not empty.
    pub runs: Vec<Run>,
}

impl Row {
    /// Median of a figure over the rounds.
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

    /// Median of a figure of one class over the rounds; not a number if no run has the class.
    pub fn class_median(&self, class: &str, figure: impl Fn(&Class) -> f64) -> f64 {
        self.median(|run| find(run, class).map_or(f64::NAN, &figure))
    }

    /// Sum of a count over the rounds.
    pub fn sum(&self, count: impl Fn(&Run) -> u64) -> u64 {
        self.runs.iter().map(count).sum()
    }

    /// Counts by reason, added up over the rounds.
    pub fn reasons(
        &self,
        class: &str,
        counts: impl Fn(&Class) -> &BTreeMap<String, u64>,
    ) -> BTreeMap<String, u64> {
        let mut all = BTreeMap::new();
        for class in self.runs.iter().filter_map(|run| find(run, class)) {
            for (reason, count) in counts(class) {
                *all.entry(reason.clone()).or_default() += count;
            }
        }
        all
    }
}

/// Figures of the class of this name, or of all classes for the name of their sum.
pub fn find<'a>(run: &'a Run, name: &str) -> Option<&'a Class> {
    let classes = std::iter::once(&run.overall).chain(&run.classes);
    classes.into_iter().find(|class| class.name == name)
}

/// Rows in order of scenario (the steady one first), load and label.
pub fn group(runs: &[Run]) -> Vec<Row> {
    let mut rows: Vec<Row> = Vec::new();
    for run in runs {
        let same = |row: &&mut Row| {
            row.label == run.label
                && row.scenario == run.scenario
                && (row.load - run.load).abs() < SAME_LOAD
        };
        match rows.iter_mut().find(same) {
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
        let steady = (a.scenario != STEADY).cmp(&(b.scenario != STEADY));
        steady
            .then_with(|| a.scenario.cmp(&b.scenario))
            .then_with(|| a.load.total_cmp(&b.load))
            .then_with(|| a.label.cmp(&b.label))
    });
    rows
}

/// Names of all classes, their sum first.
pub fn classes(rows: &[Row]) -> Vec<String> {
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

/// The load among the rows without faults that is nearest to `wanted`.
pub fn nearest_load(rows: &[Row], wanted: f64) -> f64 {
    let steady = rows.iter().filter(|row| row.scenario == STEADY);
    let loads = steady.map(|row| row.load);
    let distance = |load: &f64| (load - wanted).abs();
    loads.min_by(|a, b| distance(a).total_cmp(&distance(b))).unwrap_or(wanted)
}

/// The chosen policy against the baseline, on the headline class without faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// 99th percentile of the chosen policy over that of the baseline, medians of the rounds.
    pub p99_ratio: f64,
    /// Shards covered of those asked, chosen policy.
    pub coverage: f64,
    /// Calls at targets for each needed one, chosen policy, all classes.
    pub extra_load: f64,
    /// Queries with an untrue answer, over all runs.
    pub wrong: u64,
    /// Unrepeatable queries that ran more than once, over all runs.
    pub doubled: u64,
    /// Queries without an answer, over all runs.
    pub lost: u64,
}

impl Summary {
    /// Compares two labels at the load nearest to `load`.
    pub fn of(rows: &[Row], baseline: &str, chosen: &str, load: f64) -> Result<Self, Error> {
        let load = nearest_load(rows, load);
        let baseline = steady(rows, baseline, load)?;
        let chosen = steady(rows, chosen, load)?;
        let p99 = |row: &Row| row.median(|run| run.headline().p99_ms);
        let all = |count: fn(&Class) -> u64| {
            let sums = rows.iter().map(|row| row.sum(|run| count(&run.overall)));
            sums.sum()
        };
        Ok(Self {
            p99_ratio: p99(chosen) / p99(baseline),
            coverage: chosen.median(|run| run.headline().coverage),
            extra_load: chosen.median(|run| run.extra_load),
            wrong: all(|class| class.wrong),
            doubled: all(|class| class.doubled),
            lost: all(|class| class.lost),
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

fn steady<'a>(rows: &'a [Row], label: &str, load: f64) -> Result<&'a Row, Error> {
    let wanted = |row: &&Row| {
        row.scenario == STEADY && row.label == label && (row.load - load).abs() < SAME_LOAD
    };
    let found = rows.iter().find(wanted);
    found.ok_or_else(|| Error::Label(label.to_owned()))
}
