//! Capacity, rates and the schedule drawn from them.

#[path = "fixture/layout.rs"]
mod fixture;

use std::time::Duration;

use ladder_load::capacity;
use ladder_load::mix::Fan;
use ladder_load::plan::{self, Plan};
use ladder_load::schedule;

fn plans() -> Vec<Plan> {
    fixture::plans(&[
        ("sweep", Fan::All, 0.9),
        ("book", Fan::Some(1), 0.1),
        ("tariff", Fan::Some(1), 0.5),
    ])
}

#[test]
fn capacity_is_slots_over_mean_service_time_with_stragglers() {
    let layout = fixture::layout("127.0.0.1:1");
    let servers = layout.servers("gate-1");
    // 20 ms times 1 + 0.01 * 9, on 4 slots.
    assert!((capacity::mean_service_us(servers[0]) - 21_800.0).abs() < 1e-9);
    assert!((capacity::calls_per_second(&servers) - 4.0 / 0.0218).abs() < 1e-9);
}

/// What a class of the mix becomes.
struct Rate {
    index: &'static str,
    fan: usize,
    whole: bool,
    unrepeatable: bool,
    rate: f64,
}

#[test]
fn rates_keep_the_share_of_the_slots_busy() {
    let gate = 4.0 / 0.0218;
    let tariff = 6.0 / 0.0109;
    let docks = Rate { index: "docks", fan: 2, whole: true, unrepeatable: false, rate: 0.0 };
    let cases = [
        // Each sweep costs each of both services a call.
        Rate { rate: 0.9 * gate, ..docks },
        // Each booking costs one of both services a call.
        Rate { fan: 1, whole: false, unrepeatable: true, rate: 0.1 * 2.0 * gate, ..docks },
        Rate { index: "tariffs", fan: 1, whole: false, rate: 0.5 * tariff, ..docks },
    ];
    let plans = plans();
    assert_eq!(plans.len(), cases.len());
    for (plan, case) in plans.iter().zip(cases) {
        assert_eq!(plan.index, case.index);
        assert_eq!((plan.fan, plan.whole), (case.fan, case.whole));
        assert_eq!(plan.unrepeatable, case.unrepeatable);
        assert_eq!(plan.deadline_ms, 400);
        assert!((plan.rate - case.rate).abs() < 1e-6, "{} {}", plan.rate, case.rate);
    }
    let sum: f64 = plans.iter().map(|plan| plan.rate).sum();
    let load = plan::load_of(&plans, sum * 0.7).expect("load");
    assert!((load - 0.7).abs() < 1e-9);
}

#[test]
fn the_schedule_is_poisson_and_a_function_of_the_seed_alone() {
    let plans = plans();
    let length = Duration::from_secs(60);
    let first = schedule::draw(&plans, 0.7, length, 7);
    assert_eq!(first, schedule::draw(&plans, 0.7, length, 7));
    assert_ne!(first, schedule::draw(&plans, 0.7, length, 8));
    assert!(first.is_sorted_by_key(|arrival| arrival.at));
    for (class, plan) in plans.iter().enumerate() {
        let own: Vec<_> = first.iter().filter(|arrival| arrival.class == class).collect();
        let expected = plan.rate * 0.7 * 60.0;
        // Six standard deviations of a Poisson count.
        assert!((own.len() as f64 - expected).abs() < 6.0 * expected.sqrt(), "{class}");
        assert!(own.iter().all(|arrival| arrival.shards.len() == plan.fan));
        let gaps = own.windows(2).map(|pair| (pair[1].at - pair[0].at).as_secs_f64());
        let square = gaps.map(|gap| gap * gap).sum::<f64>() / own.len() as f64;
        // The second moment of exponential gaps is twice the square of their mean.
        let moment = square * (plan.rate * 0.7).powi(2);
        assert!((1.6..2.4).contains(&moment), "{class}: {moment}");
    }
}
