//! The report of a comparison: tables and plots in one HTML page.

use std::collections::BTreeMap;

use crate::compare::{self, Row, Summary};
use crate::error::Error;
use crate::plot::{self, Plot, Series};
use crate::result::{Class, Run, SHARES};
use crate::run::STEADY;
use crate::table::{Table, escape};

const STYLE: &str = "body{font-family:sans-serif;margin:2em}\
    table{border-collapse:collapse;font-size:80%}\
    td,th{border:1px solid #ccc;padding:2px 6px;text-align:right}";

/// All tables: promises and load, one for each class, refusals.
pub fn tables(rows: &[Row]) -> Vec<Table> {
    let mut tables = vec![promises(rows)];
    let classes = compare::classes(rows);
    tables.extend(classes.iter().map(|class| figures(rows, class)));
    tables.push(reasons(rows));
    tables
}

fn names(row: &Row) -> Vec<String> {
    vec![row.scenario.clone(), row.label.clone(), format!("{:.2}", row.load)]
}

fn promises(rows: &[Row]) -> Table {
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
        let most = |of: fn(&Run) -> u32| row.runs.iter().map(of).max().unwrap_or(0);
        let mut cells = names(row);
        cells.extend([
            row.runs.len().to_string(),
            format!("{:.1}", row.median(|run| run.rate)),
            format!("{:.3}", row.median(|run| run.extra_load)),
            format!("{:.3}", row.median(|run| run.busy_ratio)),
            most(|run| run.peak_connections).to_string(),
            most(|run| run.connection_limit).to_string(),
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

fn figures(rows: &[Row], class: &str) -> Table {
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
            let of = |run: &Run| compare::find(run, class).map_or(0, count);
            row.sum(of).to_string()
        };
        let refused = row.reasons(class, |class| &class.refusals);
        let mut cells = names(row);
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

fn reasons(rows: &[Row]) -> Table {
    let head = ["scenario", "label", "load", "class", "refused", "missing shards"];
    let mut table = Table::new("Refusals and missing shards by reason", &head);
    for row in rows {
        for class in compare::classes(rows).iter().skip(1) {
            let refused = row.reasons(class, |class| &class.refusals);
            let missing = row.reasons(class, |class| &class.missing);
            if refused.is_empty() && missing.is_empty() {
                continue;
            }
            let mut cells = names(row);
            cells.extend([class.clone(), list(&refused), list(&missing)]);
            table.rows.push(cells);
        }
    }
    table
}

fn list(counts: &BTreeMap<String, u64>) -> String {
    let counts = counts.iter();
    let counts = counts.map(|(reason, count)| {
        let reason = reason.strip_prefix("REASON_").unwrap_or(reason);
        format!("{reason}={count}")
    });
    counts.collect::<Vec<_>>().join(" ")
}

/// Plots of the headline class without faults; `load` is that of the quantiles.
pub fn plots(rows: &[Row], load: f64) -> Result<Vec<String>, Error> {
    let load = compare::nearest_load(rows, load);
    let against = |title: &str, unit: &str, figure: fn(&Class) -> f64| {
        let plot = Plot {
            title: title.to_owned(),
            x: "load, share of capacity".to_owned(),
            y: unit.to_owned(),
            series: against_load(rows, figure),
        };
        plot::draw(&plot)
    };
    Ok(vec![
        against("99th percentile against load", "ms", |class| class.p99_ms)?,
        against("Complete answers in time", "answers/s", |class| class.goodput)?,
        against("Coverage", "share of shards asked", |class| class.coverage)?,
        plot::draw(&Plot {
            title: format!("Latency by share of answers at load {load:.2}"),
            x: "share of answers slower: 10 to the power of -x".to_owned(),
            y: "ms".to_owned(),
            series: quantiles(rows, load),
        })?,
    ])
}

fn against_load(rows: &[Row], figure: fn(&Class) -> f64) -> Vec<Series> {
    let mut series: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for row in rows.iter().filter(|row| row.scenario == STEADY) {
        let point = (row.load, row.median(|run| figure(run.headline())));
        series.entry(row.label.clone()).or_default().push(point);
    }
    series.into_iter().map(Series::from).collect()
}

fn quantiles(rows: &[Row], load: f64) -> Vec<Series> {
    let steady = rows.iter().filter(|row| row.scenario == STEADY);
    let at_load = steady.filter(|row| (row.load - load).abs() < f64::EPSILON);
    let series = at_load.map(|row| {
        let points = SHARES.iter().enumerate().map(|(at, share)| {
            let latency = |run: &Run| run.headline().quantiles_ms.get(at).copied();
            let median = row.median(|run| latency(run).unwrap_or(f64::NAN));
            (-(1.0 - share).log10(), median)
        });
        Series::from((row.label.clone(), points.collect()))
    });
    series.collect()
}

/// The page, with nothing to load from elsewhere.
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
