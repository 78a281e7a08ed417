//! Mixes of query kinds that the simulation sends at the same time.

use crate::messages::SERVICES;

/// Kind of query.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) operation: &'static str,
    /// Number of services that one query asks.
    pub(crate) fan_out: usize,
    pub(crate) budget_ms: u64,
    pub(crate) unrepeatable: bool,
    /// Share of the capacity that queries of this kind use at load 1.
    pub(crate) share: f64,
}

const fn kind(operation: &'static str, fan_out: usize, budget_ms: u64, share: f64) -> Kind {
    Kind { operation, fan_out, budget_ms, unrepeatable: false, share }
}

/// Query kinds that are sent to the same services.
pub(crate) type Mix = &'static [Kind];

/// Mix of sweeps, of which every tenth is urgent.
const SWEEPS: Mix = &[kind("sweep", SERVICES, 1000, 0.9), kind("check", SERVICES, 1000, 0.1)];

/// Mix of sweeps and a few bookings of the same urgency.
const GATE: Mix = &[
    kind("sweep", SERVICES, 1000, 0.97),
    Kind { unrepeatable: true, ..kind("book", 1, 2000, 0.03) },
];

/// Mix of urgent sweeps, queries to half of the services, and queries to one service.
const PATROL: Mix = &[
    kind("check", SERVICES, 500, 0.3),
    kind("round", SERVICES / 2, 2000, 0.65),
    kind("lookup", 1, 2000, 0.05),
];

pub(crate) const MIXES: [(&str, Mix); 3] = [("sweeps", SWEEPS), ("gate", GATE), ("patrol", PATROL)];

/// Returns the queries per microsecond of a mix that sends `calls` calls per microsecond.
pub(crate) fn query_rate(mix: Mix, calls: f64) -> f64 {
    mix.iter().map(|kind| calls * query_weight(kind)).sum()
}

/// Returns the relative number of queries of a kind, up to a factor that all kinds share.
fn query_weight(kind: &Kind) -> f64 {
    kind.share / kind.fan_out as f64
}

/// Returns the position in the mix of the query kind for `fraction`, a uniformly distributed random
/// number from 0 to 1.
pub(crate) fn select_kind(mix: Mix, fraction: f64) -> usize {
    let total: f64 = mix.iter().map(query_weight).sum();
    let mut remaining = fraction * total;
    let found = mix.iter().position(|kind| {
        remaining -= query_weight(kind);
        remaining < 0.0
    });
    found.unwrap_or(mix.len() - 1)
}
