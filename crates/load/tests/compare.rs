//! Tests of the comparison of results and of its report.

use std::collections::BTreeMap;

use ladder_load::compare::{self, Row, Summary};
use ladder_load::report;
use ladder_load::result::{Class, LATENCY_QUANTILES, Run};
use ladder_load::table::Table;

fn class(name: &str, headline: bool, p99_ms: f64) -> Class {
    let quantile = |share: &f64| p99_ms * share;
    Class {
        name: name.to_owned(),
        headline,
        sent: 1000,
        answered: 990,
        complete: 980,
        p50_ms: p99_ms / 4.0,
        p99_ms,
        p999_ms: p99_ms * 2.0,
        quantiles_ms: LATENCY_QUANTILES.iter().map(quantile).collect(),
        complete_share: 980.0 / 990.0,
        coverage: 0.985,
        goodput: 98.0,
        answers_per_second: 99.0,
        shards_per_second: 1970.0,
        calls: 20_200,
        needed: 20_000,
        refusals: BTreeMap::from([("REASON_QUEUE_FULL".to_owned(), 10)]),
        missing: BTreeMap::from([("REASON_TARGET_TIMEOUT".to_owned(), 12)]),
        ..Class::default()
    }
}

fn run(label: &str, load: f64, scenario: &str, p99_ms: f64) -> Run {
    Run {
        label: label.to_owned(),
        scenario: scenario.to_owned(),
        load,
        rate: load * 1000.0,
        classes: vec![class("sweep", true, p99_ms)],
        overall: class("all", false, p99_ms / 2.0),
        extra_load: 1.01,
        busy_ratio: 1.02,
        peak_connections: 24,
        connection_limit: 25,
        ..Run::default()
    }
}

/// Returns rows with three rounds of two labels, one run at a higher load, and one run with a fault
/// that loses two queries.
fn rows() -> Vec<Row> {
    let mut runs = Vec::new();
    for (round, noise) in [0.0, 400.0, 10.0].into_iter().enumerate() {
        let seed = round as f64;
        runs.push(run("baseline", 0.7, "steady", 200.0 + noise));
        runs.push(run("owner", 0.7, "steady", 100.0 + noise + seed));
    }
    runs.push(run("owner", 1.3, "steady", 300.0));
    let mut lossy = run("owner", 0.7, "server lost", 150.0);
    lossy.overall.lost = 2;
    runs.push(lossy);
    compare::group_runs(&runs)
}

#[test]
fn tables_show_medians_over_rounds() {
    let tables = report::tables(&rows());
    let texts: Vec<String> = tables.iter().map(Table::to_text).collect();
    insta::assert_snapshot!(texts.join("\n"));
}

#[test]
fn summary_compares_medians_and_sums_faulty_queries() {
    let summary = Summary::compare(&rows(), "baseline", "owner", 0.75).expect("summary");
    // The median 99th percentiles are 112 ms and 210 ms; the two queries lost in the run with the
    // fault count, too.
    assert_eq!(
        summary.to_string(),
        "p99_ratio=0.533 coverage=0.98500 extra_load=1.010 wrong=0 doubled=0 lost=2"
    );
    assert!(Summary::compare(&rows(), "absent", "owner", 0.7).is_err());
}

#[test]
fn report_page_contains_plots_and_summary() {
    let rows = rows();
    let summary = Summary::compare(&rows, "baseline", "owner", 0.7).expect("summary");
    let plots = report::plots(&rows, 0.7).expect("plots");
    assert_eq!(plots.len(), 4);
    assert!(plots.iter().all(|plot| plot.starts_with("<svg") && plot.contains("baseline")));
    let page = report::page(&report::tables(&rows), &plots, &summary);
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(page.contains(&summary.to_string()));
}
