//! Report of a comparison: tables and plots in one HTML page.

use std::collections::BTreeMap;

use crate::compare::{self, Row, Summary};
use crate::error::Error;
use crate::plot::{self, Plot, Series};
use crate::result::{Class, LATENCY_QUANTILES, Run};
use crate::run::NO_FAULTS_SCENARIO;
use crate::table::{Table, escape};

const STYLE: &str = "body{font-family:sans-serif;margin:2em}\
    table{border-collapse:collapse;font-size:80%}\
    td,th{border:1px solid #ccc;padding:2px 6px;text-align:right}";

/// Returns all tables of the report: load and faulty queries, one table for each query class, and
/// the reasons of refusals and missing shards.
pub fn tables(rows: &[Row]) -> Vec<Table> {
    let mut tables = vec![load_table(rows)];
    let classes = compare::class_names(rows);
    tables.extend(classes.iter().map(|class| class_table(rows, class)));
    tables.push(reason_table(rows));
    tables
}

fn setting_cells(row: &Row) -> Vec<String> {
    vec![row.scenario.clone(), row.label.clone(), format!("{:.2}", row.load)]
}

fn load_table(rows: &[Row]) -> Table {
    let head = [
        "scenario",
        "label",
        "load",
        "rounds",
        "queries/s",
        "extra load",
        "busy ratio",
        "peak conn",
        "limit",
        "conn refused",
        "wrong",
        "doubled",
        "lost",
        "retried",
    ];
    let mut table = Table::new("Load on the targets, and promises", &head);
    for row in rows {
        let max = |of: fn(&Run) -> u32| row.runs.iter().map(of).max().unwrap_or(0);
        let mut cells = setting_cells(row);
        cells.extend([
            row.runs.len().to_string(),
            format!("{:.1}", row.median(|run| run.rate)),
            format!("{:.3}", row.median(|run| run.extra_load)),
            format!("{:.3}", row.median(|run| run.busy_ratio)),
            max(|run| run.peak_connections).to_string(),
            max(|run| run.connection_limit).to_string(),
            row.sum(|run| run.refused_connections).to_string(),
            row.sum(|run| run.overall.wrong).to_string(),
            row.sum(|run| run.overall.doubled).to_string(),
            row.sum(|run| run.overall.lost).to_string(),
            row.sum(|run| run.overall.retried).to_string(),
        ]);
        table.rows.push(cells);
    }
    table
}

fn class_table(rows: &[Row], class: &str) -> Table {
    let head = [
        "scenario",
        "label",
        "load",
        "sent",
        "refused",
        "late",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "complete",
        "coverage",
        "goodput/s",
        "answers/s",
        "shards/s",
        "calls/needed",
    ];
    let title = format!("Class {class}, medians over rounds");
    let mut table = Table::new(&title, &head);
    for row in rows {
        let median = |figure: fn(&Class) -> f64| row.class_median(class, figure);
        let sum = |count: fn(&Class) -> u64| {
            let class_count = |run: &Run| compare::find_class(run, class).map_or(0, count);
            row.sum(class_count).to_string()
        };
        let refused = row.counts_by_reason(class, |class| &class.refusals);
        let mut cells = setting_cells(row);
        cells.extend([
            sum(|class| class.sent),
            refused.values().sum::<u64>().to_string(),
            sum(|class| class.late),
            format!("{:.1}", median(|class| class.p50_ms)),
            format!("{:.1}", median(|class| class.p99_ms)),
            format!("{:.1}", median(|class| class.p999_ms)),
            format!("{:.4}", median(|class| class.complete_share)),
            format!("{:.5}", median(|class| class.coverage)),
            format!("{:.1}", median(|class| class.goodput)),
            format!("{:.1}", median(|class| class.answers_per_second)),
            format!("{:.0}", median(|class| class.shards_per_second)),
            format!("{:.3}", median(calls_per_needed)),
        ]);
        table.rows.push(cells);
    }
    table
}

fn calls_per_needed(class: &Class) -> f64 {
    if class.needed == 0 {
        return 0.0;
    }
    class.calls as f64 / class.needed as f64
}

fn reason_table(rows: &[Row]) -> Table {
    let head = ["scenario", "label", "load", "class", "refused", "missing shards"];
    let mut table = Table::new("Refusals and missing shards by reason", &head);
    for row in rows {
        for class in compare::class_names(rows).iter().skip(1) {
            let refused = row.counts_by_reason(class, |class| &class.refusals);
            let missing = row.counts_by_reason(class, |class| &class.missing);
            if refused.is_empty() && missing.is_empty() {
                continue;
            }
            let mut cells = setting_cells(row);
            cells.extend([class.clone(), format_counts(&refused), format_counts(&missing)]);
            table.rows.push(cells);
        }
    }
    table
}

fn format_counts(counts: &BTreeMap<String, u64>) -> String {
    let counts = counts.iter();
    let counts = counts.map(|(reason, count)| {
        let reason = reason.strip_prefix("REASON_").unwrap_or(reason);
        format!("{reason}={count}")
    });
    counts.collect::<Vec<_>>().join(" ")
}

/// Draws the plots of the headline query class in runs without faults. The latency quantiles are
/// plotted for the load nearest to `load`.
pub fn plots(rows: &[Row], load: f64) -> Result<Vec<String>, Error> {
    let load = compare::nearest_load(rows, load);
    let draw_against_load = |title: &str, unit: &str, figure: fn(&Class) -> f64| {
        let plot = Plot {
            title: title.to_owned(),
            x_label: "load, share of capacity".to_owned(),
            y_label: unit.to_owned(),
            series: against_load(rows, figure),
        };
        plot::draw(&plot)
    };
    Ok(vec![
        draw_against_load("99th percentile against load", "ms", |class| class.p99_ms)?,
        draw_against_load("Complete answers in time", "answers/s", |class| class.goodput)?,
        draw_against_load("Coverage", "share of shards asked", |class| class.coverage)?,
        plot::draw(&Plot {
            title: format!("Latency by share of answers at load {load:.2}"),
            x_label: "share of answers slower: 10 to the power of -x".to_owned(),
            y_label: "ms".to_owned(),
            series: quantile_series(rows, load),
        })?,
    ])
}

fn against_load(rows: &[Row], figure: fn(&Class) -> f64) -> Vec<Series> {
    let mut series: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for row in rows.iter().filter(|row| row.scenario == NO_FAULTS_SCENARIO) {
        let point = (row.load, row.median(|run| figure(run.headline())));
        series.entry(row.label.clone()).or_default().push(point);
    }
    series.into_iter().map(Series::from).collect()
}

fn quantile_series(rows: &[Row], load: f64) -> Vec<Series> {
    let steady = rows.iter().filter(|row| row.scenario == NO_FAULTS_SCENARIO);
    let at_load = steady.filter(|row| (row.load - load).abs() < f64::EPSILON);
    let series = at_load.map(|row| {
        let points = LATENCY_QUANTILES.iter().enumerate().map(|(at, share)| {
            let latency = |run: &Run| run.headline().quantiles_ms.get(at).copied();
            let median = row.median(|run| latency(run).unwrap_or(f64::NAN));
            (-(1.0 - share).log10(), median)
        });
        Series::from((row.label.clone(), points.collect()))
    });
    series.collect()
}

/// Returns the HTML page, which refers to no other file.
pub fn page(tables: &[Table], plots: &[String], summary: &Summary) -> String {
    let tables: Vec<String> = tables.iter().map(Table::to_html).collect();
    format!(
        "<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>Comparison</title>\
         <style>{STYLE}</style></head><body>\n<h1>Comparison</h1>\n<p>{}</p>\n{}\n{}</body></html>\n",
        escape(&summary.to_string()),
        plots.join("\n"),
        tables.join("\n"),
    )
}
