//! When each query is sent and which shards it asks, drawn from a seed before the run.
//!
//! Nothing that happens in the run changes the schedule: a slow answer delays no later query.

use std::time::Duration;

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use crate::plan::Plan;

/// One query to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When, after the start.
    pub at: Duration,
    /// Position of its class in the plans.
    pub class: usize,
    /// Positions of its shards in the class's plan, ascending.
    pub shards: Vec<usize>,
    /// Position in the schedule.
    pub sequence: u64,
}

/// Poisson arrivals of all classes at `load`, in order of time, for `length`.
pub fn draw(plans: &[Plan], load: f64, length: Duration, seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (class, plan) in plans.iter().enumerate() {
        draw_class(&mut arrivals, plan, class, load, length, seed);
    }
    arrivals.sort_by_key(|arrival| (arrival.at, arrival.class));
    for (sequence, arrival) in arrivals.iter_mut().enumerate() {
        arrival.sequence = sequence as u64;
    }
    arrivals
}

/// Each class has its own stream of random numbers: a change of one leaves the others as they are.
fn draw_class(
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
    let stream = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (class as u64 + 1);
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(stream);
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random();
        at -= (1.0 - uniform).ln() / rate;
        if at >= length.as_secs_f64() {
            return;
        }
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            class,
            shards: pick(&mut rng, plan),
            sequence: 0,
        });
    }
}

fn pick(rng: &mut Xoshiro256PlusPlus, plan: &Plan) -> Vec<usize> {
    let mut shards = rand::seq::index::sample(rng, plan.shards.len(), plan.fan).into_vec();
    shards.sort_unstable();
    shards
}
