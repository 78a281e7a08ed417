//! Kinds of queries that run side by side.

use crate::messages::SERVICES;

/// One kind of query.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) operation: &'static str,
    /// Services that one query asks.
    pub(crate) fan: usize,
    pub(crate) budget_ms: u64,
    pub(crate) unrepeatable: bool,
    /// Part of the capacity at load 1.
    pub(crate) share: f64,
}

const fn kind(operation: &'static str, fan: usize, budget_ms: u64, share: f64) -> Kind {
    Kind { operation, fan, budget_ms, unrepeatable: false, share }
}

/// Kinds on the same services.
pub(crate) type Mix = &'static [Kind];

/// Sweeps, every tenth of them urgent.
const SWEEPS: Mix = &[kind("sweep", SERVICES, 1000, 0.9), kind("check", SERVICES, 1000, 0.1)];

/// Sweeps beside a few bookings of the same urgency.
const GATE: Mix = &[
    kind("sweep", SERVICES, 1000, 0.97),
    Kind { unrepeatable: true, ..kind("book", 1, 2000, 0.03) },
];

/// Urgent sweeps beside rounds over half of the services and single look-ups.
const PATROL: Mix = &[
    kind("check", SERVICES, 500, 0.3),
    kind("round", SERVICES / 2, 2000, 0.65),
    kind("lookup", 1, 2000, 0.05),
];

pub(crate) const MIXES: [(&str, Mix); 3] = [("sweeps", SWEEPS), ("gate", GATE), ("patrol", PATROL)];

/// Queries per microsecond that a mix starts while it asks for `calls` calls per microsecond.
pub(crate) fn rate(mix: Mix, calls: f64) -> f64 {
    mix.iter().map(|kind| calls * weight(kind)).sum()
}

/// Part of the queries, up to a factor common to all kinds.
fn weight(kind: &Kind) -> f64 {
    kind.share / kind.fan as f64
}

/// The kind at `place`, between zero and one, among the queries of a mix.
pub(crate) fn pick(mix: Mix, place: f64) -> usize {
    let total: f64 = mix.iter().map(weight).sum();
    let mut left = place * total;
    let found = mix.iter().position(|kind| {
        left -= weight(kind);
        left < 0.0
    });
    found.unwrap_or(mix.len() - 1)
}
