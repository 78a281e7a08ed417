//! Capacity of the servers of a service, in calls per second.

use ladder_schema::standin;

use crate::layout::published_server;

const MICROS_PER_SECOND: f64 = 1e6;
const PERMILLE: f64 = 1000.0;

/// Returns the mean service time of a target in microseconds, including its straggler calls.
pub fn mean_service_us(target: &standin::Target) -> f64 {
    let straggler_share = f64::from(target.straggler_permille) / PERMILLE;
    let factor = f64::from(target.straggler_factor.max(1));
    f64::from(target.service_us) * (1.0 + straggler_share * (factor - 1.0))
}

/// Returns the calls per second that a set of servers can process with every slot busy.
pub fn calls_per_second(targets: &[&standin::Target]) -> f64 {
    targets.iter().map(|target| server_calls_per_second(target)).sum()
}

fn server_calls_per_second(target: &standin::Target) -> f64 {
    let mean = mean_service_us(target);
    if mean <= 0.0 {
        return 0.0;
    }
    f64::from(published_server(target).slots) * MICROS_PER_SECOND / mean
}
