//! Trial of the leaf machine: sweeps over 20 services of small simulated servers, on a virtual
//! clock and from a seed. Prints latency and extra calls of the baseline and the chosen policy.
//!
//! `cargo run --release -p ladder-core --example sweep_trial`

#[path = "sweep_trial/fleet.rs"]
mod fleet;
#[path = "sweep_trial/messages.rs"]
mod messages;
#[path = "sweep_trial/run.rs"]
mod run;

use fleet::Times;
use ladder_core::leaf::Settings;
use ladder_core::schema::settings::Selection;
use run::{Plan, run};

/// Loads unless the command line names others.
const LOADS: [f64; 5] = [0.3, 0.5, 0.7, 0.85, 1.3];
const SEEDS: [u64; 3] = [1, 2, 3];

fn policies() -> Vec<(&'static str, Settings)> {
    let base = || Settings::builder("trial", 1).seed(1);
    let baseline = base()
        .selection(Selection::RoundRobin)
        .hedging(false)
        .queueing(false);
    vec![
        ("baseline", baseline.build()),
        ("queue only", base().hedging(false).build()),
        ("chosen", base().build()),
    ]
}

fn main() {
    println!(
        "times        load  policy       p50ms  p99ms p99.9ms  ratio  extra complete urgent99 complete portions/s"
    );
    let named: Vec<f64> = std::env::args()
        .skip(1)
        .filter_map(|load| load.parse().ok())
        .collect();
    let loads = if named.is_empty() { &LOADS[..] } else { &named };
    for times in [Times::Exponential, Times::Narrow] {
        for load in loads {
            compare(times, *load);
        }
    }
}

fn compare(times: Times, load: f64) {
    let mut baseline = None;
    for (name, settings) in policies() {
        let plan = Plan {
            times,
            load,
            sweeps: 6000,
        };
        let mut outcomes = SEEDS.map(|seed| run(&plan, settings.clone(), seed));
        let mut sum = run::Figures::default();
        for outcome in &mut outcomes {
            sum.add(outcome);
        }
        let base = *baseline.get_or_insert(sum.p99);
        println!(
            "{:<12} {load:<5} {name:<11} {:>6.1} {:>6.1} {:>7.1} {:>6.2} {:>6.3} {:>8.4} {:>8.1} {:>8.4} {:>10.0}",
            format!("{times:?}"),
            sum.p50 / 3.0,
            sum.p99 / 3.0,
            sum.p999 / 3.0,
            sum.p99 / base,
            sum.extra / 3.0,
            sum.complete / 3.0,
            sum.urgent_p99 / 3.0,
            sum.urgent_complete / 3.0,
            sum.core_rate / 3.0,
        );
    }
}
