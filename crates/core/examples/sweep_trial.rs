//! Simulation of the leaf machine: sends queries to 20 services of small simulated servers, on a
//! virtual clock and with fixed seeds. Prints latency, coverage and extra calls of the baseline and
//! of the chosen policy.
//!
//! `cargo run --release -p ladder-core --example sweep_trial [LOAD...] [sweeps|gate|patrol...]`

#[path = "sweep_trial/fleet.rs"]
mod fleet;
#[path = "sweep_trial/messages.rs"]
mod messages;
#[path = "sweep_trial/mix.rs"]
mod mix;
#[path = "sweep_trial/run.rs"]
mod run;

use fleet::ServiceTimes;
use ladder_core::leaf::Settings;
use ladder_core::schema::settings::Selection;
use messages::SERVICES;
use mix::{Kind, MIXES, Mix};
use run::{Figures, Plan, Tally, run};

/// Loads that are simulated if the command line names none, as shares of the capacity.
const DEFAULT_LOADS: [f64; 5] = [0.3, 0.5, 0.7, 0.85, 1.3];
const SEEDS: [u64; 3] = [1, 2, 3];
/// Number of queries of a run, expressed in sweeps with the same total number of calls.
const SWEEPS: u64 = 4000;

fn policies() -> Vec<(&'static str, Settings)> {
    let base = || Settings::builder("trial", 1).seed(1);
    let baseline = base().selection(Selection::RoundRobin).hedging(false).queueing(false);
    vec![
        ("baseline", baseline.build()),
        ("queue only", base().hedging(false).build()),
        ("chosen", base().build()),
    ]
}

fn main() {
    println!(
        "mix    times       load policy     extra portions/s kind       p50ms  p99ms p99.9ms complete goodput  covered"
    );
    let named_loads: Vec<f64> =
        std::env::args().skip(1).filter_map(|load| load.parse().ok()).collect();
    let loads = if named_loads.is_empty() { &DEFAULT_LOADS[..] } else { &named_loads };
    let is_selected = |name: &str| std::env::args().any(|word| word == name);
    let run_all = !MIXES.iter().any(|(name, _)| is_selected(name));
    for (name, mix) in MIXES {
        if !run_all && !is_selected(name) {
            continue;
        }
        for times in [ServiceTimes::Exponential, ServiceTimes::Narrow] {
            for load in loads {
                compare(name, mix, times, *load);
            }
        }
    }
}

fn compare(name: &str, mix: Mix, times: ServiceTimes, load: f64) {
    let per_query = mix::query_rate(mix, 1.0) * SERVICES as f64;
    for (policy, settings) in policies() {
        let plan = Plan { times, load, mix, queries: (SWEEPS as f64 * per_query) as u64 };
        let mut figures = Figures::default();
        for seed in SEEDS {
            figures.add(run(&plan, settings.clone(), seed));
        }
        let extra = figures.sent_calls as f64 / figures.portions as f64;
        let throughput = figures.portions as f64 / figures.machine_time.as_secs_f64();
        for (kind, tally) in mix.iter().zip(&mut figures.tallies) {
            let times = format!("{times:?}");
            print!("{name:<6} {times:<11} {load:<4} {policy:<10} {extra:>5.3} {throughput:>10.0} ");
            print_tally(kind, tally, load);
        }
    }
}

fn print_tally(kind: &Kind, tally: &mut Tally, load: f64) {
    tally.latencies.sort_by(f64::total_cmp);
    let quantile = |share| tally.latencies[((tally.latencies.len() - 1) as f64 * share) as usize];
    let count = tally.latencies.len() as f64;
    let complete = tally.complete as f64 / count;
    println!(
        "{:<8} {:>7.1} {:>6.1} {:>7.1} {complete:>8.4} {:>7.4} {:>8.4}",
        kind.operation,
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
        complete * load,
        1.0 - tally.missing as f64 / (count * kind.fan_out as f64),
    );
}
