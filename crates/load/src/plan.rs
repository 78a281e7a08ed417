//! A mix resolved against a layout: index, shards, deadline and rate of each class.

use ladder_schema::{catalogue, publication};

use crate::capacity;
use crate::error::Error;
use crate::layout::Layout;
use crate::mix::{Class, Fan, Mix};

/// One class, ready to be scheduled.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The class.
    pub class: Class,
    /// Index that is asked.
    pub index: String,
    /// Shards that a query may ask, with the service of each.
    pub shards: Vec<publication::Shard>,
    /// Shards of one query; at most the length of `shards`.
    pub fan: usize,
    /// The query names no shards: it asks the whole index.
    pub whole: bool,
    /// The operation runs at most once for each key.
    pub unrepeatable: bool,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: u32,
    /// Queries a second at load 1.
    pub rate: f64,
}

/// Resolves each class of a mix.
pub fn resolve(mix: &Mix, layout: &Layout) -> Result<Vec<Plan>, Error> {
    mix.classes.iter().map(|class| one(class, layout)).collect()
}

/// The load at which all classes together send `rate` queries a second.
pub fn load_of(plans: &[Plan], rate: f64) -> Result<f64, Error> {
    let unit: f64 = plans.iter().map(|plan| plan.rate).sum();
    if unit > 0.0 { Ok(rate / unit) } else { Err(Error::EmptyMix) }
}

fn one(class: &Class, layout: &Layout) -> Result<Plan, Error> {
    let (index, shards) = shards(class, layout)?;
    let operation = operation(class, layout, &shards);
    let fan = match class.fan {
        Fan::All => shards.len(),
        Fan::Some(count) => count.clamp(1, shards.len()),
    };
    let named = class.deadline_ms;
    Ok(Plan {
        whole: class.fan == Fan::All && shards.len() == index.shards.len(),
        unrepeatable: operation.unrepeatable,
        deadline_ms: if named > 0 { named } else { operation.deadline_ms },
        rate: class.share * queries_per_second(layout, &shards, fan),
        index: index.name.clone(),
        class: class.clone(),
        shards,
        fan,
    })
}

/// The index with the most shards of services that list the class's operation, and these shards.
fn shards<'a>(
    class: &Class,
    layout: &'a Layout,
) -> Result<(&'a publication::Index, Vec<publication::Shard>), Error> {
    layout
        .indexes()
        .map(|index| (index, matching(class, layout, index)))
        .max_by_key(|(_, shards)| shards.len())
        .filter(|(_, shards)| !shards.is_empty())
        .ok_or_else(|| Error::Operation(class.operation.clone()))
}

fn matching(class: &Class, layout: &Layout, index: &publication::Index) -> Vec<publication::Shard> {
    let listed = |shard: &&publication::Shard| {
        entry(layout, &shard.service).is_some_and(|entry| {
            let mut operations = entry.operations.iter();
            operations.any(|operation| operation.name == class.operation)
        })
    };
    index.shards.iter().filter(listed).cloned().collect()
}

fn entry<'a>(layout: &'a Layout, service: &str) -> Option<&'a catalogue::Entry> {
    layout.entries().find(|entry| entry.service == service)
}

fn operation(
    class: &Class,
    layout: &Layout,
    shards: &[publication::Shard],
) -> catalogue::Operation {
    shards
        .first()
        .and_then(|shard| entry(layout, &shard.service))
        .and_then(|entry| {
            let mut operations = entry.operations.iter();
            operations.find(|operation| operation.name == class.operation)
        })
        .cloned()
        .unwrap_or_default()
}

/// Queries a second that the slowest of the services carries.
///
/// A query costs one call at each service it touches. With `fan` of `n` shards drawn evenly, a
/// service with `k` of the shards is touched by a share of `1 - C(n-k, fan) / C(n, fan)` of the
/// queries.
fn queries_per_second(layout: &Layout, shards: &[publication::Shard], fan: usize) -> f64 {
    let mut lowest = f64::INFINITY;
    for shard in shards {
        let servers = layout.servers(&shard.service);
        let same = |other: &&publication::Shard| other.service == shard.service;
        let held = shards.iter().filter(same).count();
        let touched = touched(shards.len(), held, fan);
        lowest = lowest.min(capacity::calls_per_second(&servers) / touched);
    }
    if lowest.is_finite() { lowest } else { 0.0 }
}

fn touched(shards: usize, held: usize, fan: usize) -> f64 {
    let mut missed = 1.0;
    for draw in 0..fan {
        let left = shards.saturating_sub(draw);
        let others = left.saturating_sub(held);
        missed *= others as f64 / left.max(1) as f64;
    }
    1.0 - missed
}
