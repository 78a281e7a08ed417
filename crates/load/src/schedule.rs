//! Time and shards of each query, generated from a seed before the run.
//!
//! The schedule does not depend on events of the run: a slow answer delays no later query.

use std::time::Duration;

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use crate::plan::Plan;

/// One scheduled query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Scheduled send time, counted from the start of the schedule.
    pub start_offset: Duration,
    /// Position of the query's class in the list of plans.
    pub class: usize,
    /// Positions of the query's shards in the plan of its class, ascending.
    pub shards: Vec<usize>,
    /// Position of the query in the schedule.
    pub sequence: u64,
}

/// Generates Poisson arrivals of all query classes at `load` for a schedule of `length`, sorted by
/// time.
pub fn draw_arrivals(plans: &[Plan], load: f64, length: Duration, seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (class, plan) in plans.iter().enumerate() {
        draw_class_arrivals(&mut arrivals, plan, class, load, length, seed);
    }
    arrivals.sort_by_key(|arrival| (arrival.start_offset, arrival.class));
    for (sequence, arrival) in arrivals.iter_mut().enumerate() {
        arrival.sequence = sequence as u64;
    }
    arrivals
}

/// Generates the arrivals of one query class. Each class has its own random number stream, so a
/// change of one class leaves the arrivals of the others unchanged.
fn draw_class_arrivals(
    arrivals: &mut Vec<Arrival>,
    plan: &Plan,
    class: usize,
    load: f64,
    length: Duration,
    seed: u64,
) {
    let rate = plan.rate * load;
    if rate <= 0.0 {
        return;
    }
    let class_seed = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (class as u64 + 1);
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(class_seed);
    let mut elapsed_s = 0.0;
    loop {
        let uniform: f64 = rng.random();
        elapsed_s -= (1.0 - uniform).ln() / rate;
        if elapsed_s >= length.as_secs_f64() {
            return;
        }
        arrivals.push(Arrival {
            start_offset: Duration::from_secs_f64(elapsed_s),
            class,
            shards: sample_shards(&mut rng, plan),
            sequence: 0,
        });
    }
}

fn sample_shards(rng: &mut Xoshiro256PlusPlus, plan: &Plan) -> Vec<usize> {
    let mut shards = rand::seq::index::sample(rng, plan.shards.len(), plan.fan_out).into_vec();
    shards.sort_unstable();
    shards
}
