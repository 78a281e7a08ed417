//! How many calls a second the servers of a service can carry.

use ladder_schema::standin;

use crate::layout::server;

const MICROSECONDS: f64 = 1e6;
const PERMILLE: f64 = 1000.0;

/// Mean service time in microseconds, stragglers included.
pub fn mean_service_us(target: &standin::Target) -> f64 {
    let share = f64::from(target.straggler_permille) / PERMILLE;
    let factor = f64::from(target.straggler_factor.max(1));
    f64::from(target.service_us) * (1.0 + share * (factor - 1.0))
}

/// Calls a second that a set of servers carries with every slot busy.
pub fn calls_per_second(targets: &[&standin::Target]) -> f64 {
    targets.iter().map(|target| one(target)).sum()
}

fn one(target: &standin::Target) -> f64 {
    let mean = mean_service_us(target);
    if mean <= 0.0 {
        return 0.0;
    }
    f64::from(server(target).slots) * MICROSECONDS / mean
}
