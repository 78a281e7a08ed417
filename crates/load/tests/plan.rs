//! Tests of the capacity, the query rates and the schedule.

#[path = "fixture/layout.rs"]
mod fixture;

use std::time::Duration;

use ladder_load::capacity;
use ladder_load::mix::FanOut;
use ladder_load::plan::{self, Plan};
use ladder_load::schedule;

fn plans() -> Vec<Plan> {
    fixture::plans(&[
        ("sweep", FanOut::All, 0.9),
        ("book", FanOut::Some(1), 0.1),
        ("tariff", FanOut::Some(1), 0.5),
    ])
}

#[test]
fn capacity_is_slots_divided_by_mean_service_time_with_stragglers() {
    let layout = fixture::layout("127.0.0.1:1");
    let servers = layout.servers("gate-1");
    // Mean service time: 20 ms times 1 + 0.01 * 9, because 1 % of the calls are 10 times slower;
    // the two servers have 4 slots together.
    assert!((capacity::mean_service_us(servers[0]) - 21_800.0).abs() < 1e-9);
    assert!((capacity::calls_per_second(&servers) - 4.0 / 0.0218).abs() < 1e-9);
}

/// Expected plan of a query class.
struct ExpectedPlan {
    index: &'static str,
    fan_out: usize,
    whole_index: bool,
    unrepeatable: bool,
    rate: f64,
}

#[test]
fn rates_match_the_share_of_the_capacity() {
    let gate = 4.0 / 0.0218;
    let tariff = 6.0 / 0.0109;
    let docks = ExpectedPlan {
        index: "docks",
        fan_out: 2,
        whole_index: true,
        unrepeatable: false,
        rate: 0.0,
    };
    let cases = [
        // Each sweep costs one call at each of the two services.
        ExpectedPlan { rate: 0.9 * gate, ..docks },
        // Each booking costs one call at one of the two services.
        ExpectedPlan {
            fan_out: 1,
            whole_index: false,
            unrepeatable: true,
            rate: 0.1 * 2.0 * gate,
            ..docks
        },
        ExpectedPlan {
            index: "tariffs",
            fan_out: 1,
            whole_index: false,
            rate: 0.5 * tariff,
            ..docks
        },
    ];
    let plans = plans();
    assert_eq!(plans.len(), cases.len());
    for (plan, case) in plans.iter().zip(cases) {
        assert_eq!(plan.index, case.index);
        assert_eq!((plan.fan_out, plan.whole_index), (case.fan_out, case.whole_index));
        assert_eq!(plan.unrepeatable, case.unrepeatable);
        assert_eq!(plan.deadline_ms, 400);
        assert!((plan.rate - case.rate).abs() < 1e-6, "{} {}", plan.rate, case.rate);
    }
    let sum: f64 = plans.iter().map(|plan| plan.rate).sum();
    let load = plan::load_of(&plans, sum * 0.7).expect("load");
    assert!((load - 0.7).abs() < 1e-9);
}

#[test]
fn schedule_is_poisson_and_depends_only_on_the_seed() {
    let plans = plans();
    let length = Duration::from_secs(60);
    let first = schedule::draw_arrivals(&plans, 0.7, length, 7);
    assert_eq!(first, schedule::draw_arrivals(&plans, 0.7, length, 7));
    assert_ne!(first, schedule::draw_arrivals(&plans, 0.7, length, 8));
    assert!(first.is_sorted_by_key(|arrival| arrival.start_offset));
    for (class, plan) in plans.iter().enumerate() {
        let class_arrivals: Vec<_> =
            first.iter().filter(|arrival| arrival.class == class).collect();
        let expected = plan.rate * 0.7 * 60.0;
        // The bound is six standard deviations of a Poisson-distributed count.
        assert!((class_arrivals.len() as f64 - expected).abs() < 6.0 * expected.sqrt(), "{class}");
        assert!(class_arrivals.iter().all(|arrival| arrival.shards.len() == plan.fan_out));
        let gaps = class_arrivals
            .windows(2)
            .map(|pair| (pair[1].start_offset - pair[0].start_offset).as_secs_f64());
        let mean_square = gaps.map(|gap| gap * gap).sum::<f64>() / class_arrivals.len() as f64;
        // The second moment of exponentially distributed gaps is twice the square of their mean.
        let moment = mean_square * (plan.rate * 0.7).powi(2);
        assert!((1.6..2.4).contains(&moment), "{class}: {moment}");
    }
}
