//! Resolves a mix against a layout: index, shards, deadline and rate of each query class.

use ladder_schema::{catalogue, publication};

use crate::capacity;
use crate::error::Error;
use crate::layout::Layout;
use crate::mix::{Class, FanOut, Mix};

/// Query class with everything that is needed to schedule its queries.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Query class as defined in the mix.
    pub class: Class,
    /// Name of the index that the queries of the class ask.
    pub index: String,
    /// Shards that a query of the class may ask, with the service of each.
    pub shards: Vec<publication::Shard>,
    /// Number of shards that one query asks; at most the length of `shards`.
    pub fan_out: usize,
    /// Whether a query asks the whole index and therefore names no shards.
    pub whole_index: bool,
    /// Whether the operation is non-idempotent: it may run at most once for each request key.
    pub unrepeatable: bool,
    /// Deadline of a query in milliseconds.
    pub deadline_ms: u32,
    /// Queries per second of the class at load 1.
    pub rate: f64,
}

/// Resolves each query class of a mix.
pub fn resolve(mix: &Mix, layout: &Layout) -> Result<Vec<Plan>, Error> {
    mix.classes.iter().map(|class| resolve_class(class, layout)).collect()
}

/// Returns the load at which all query classes together send `rate` queries per second.
pub fn load_of(plans: &[Plan], rate: f64) -> Result<f64, Error> {
    let rate_at_full_load: f64 = plans.iter().map(|plan| plan.rate).sum();
    if rate_at_full_load > 0.0 { Ok(rate / rate_at_full_load) } else { Err(Error::EmptyMix) }
}

fn resolve_class(class: &Class, layout: &Layout) -> Result<Plan, Error> {
    let (index, shards) = shards_for(class, layout)?;
    let operation = operation(class, layout, &shards);
    let fan_out = match class.fan {
        FanOut::All => shards.len(),
        FanOut::Some(count) => count.clamp(1, shards.len()),
    };
    let class_deadline_ms = class.deadline_ms;
    Ok(Plan {
        whole_index: class.fan == FanOut::All && shards.len() == index.shards.len(),
        unrepeatable: operation.unrepeatable,
        deadline_ms: if class_deadline_ms > 0 { class_deadline_ms } else { operation.deadline_ms },
        rate: class.share * queries_per_second(layout, &shards, fan_out),
        index: index.name.clone(),
        class: class.clone(),
        shards,
        fan_out,
    })
}

/// Returns the index with the most shards of services that list the operation of the class, and
/// these shards.
fn shards_for<'a>(
    class: &Class,
    layout: &'a Layout,
) -> Result<(&'a publication::Index, Vec<publication::Shard>), Error> {
    layout
        .indexes()
        .map(|index| (index, shards_with_operation(class, layout, index)))
        .max_by_key(|(_, shards)| shards.len())
        .filter(|(_, shards)| !shards.is_empty())
        .ok_or_else(|| Error::Operation(class.operation.clone()))
}

fn shards_with_operation(
    class: &Class,
    layout: &Layout,
    index: &publication::Index,
) -> Vec<publication::Shard> {
    let lists_operation = |shard: &&publication::Shard| {
        entry(layout, &shard.service).is_some_and(|entry| {
            let mut operations = entry.operations.iter();
            operations.any(|operation| operation.name == class.operation)
        })
    };
    index.shards.iter().filter(lists_operation).cloned().collect()
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

/// Returns the queries per second that the service with the least capacity can process.
///
/// A query costs one call at each service that it asks. If the query asks `fan_out` of `n` shards,
/// selected uniformly, the probability that it asks a service with `k` of these shards is
/// `1 - C(n-k, fan_out) / C(n, fan_out)`.
fn queries_per_second(layout: &Layout, shards: &[publication::Shard], fan_out: usize) -> f64 {
    let mut lowest_rate = f64::INFINITY;
    for shard in shards {
        let servers = layout.servers(&shard.service);
        let same = |other: &&publication::Shard| other.service == shard.service;
        let service_shards = shards.iter().filter(same).count();
        let probability = touch_probability(shards.len(), service_shards, fan_out);
        lowest_rate = lowest_rate.min(capacity::calls_per_second(&servers) / probability);
    }
    if lowest_rate.is_finite() { lowest_rate } else { 0.0 }
}

fn touch_probability(shards: usize, service_shards: usize, fan_out: usize) -> f64 {
    let mut miss_probability = 1.0;
    for drawn in 0..fan_out {
        let remaining = shards.saturating_sub(drawn);
        let remaining_others = remaining.saturating_sub(service_shards);
        miss_probability *= remaining_others as f64 / remaining.max(1) as f64;
    }
    1.0 - miss_probability
}
