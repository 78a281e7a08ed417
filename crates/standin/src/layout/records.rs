//! What the platform publishes at the start of a run.

use ladder_schema::catalogue::{Entry, Limits, Operation};
use ladder_schema::publication::record::Body;
use ladder_schema::publication::{self, Index, Record, Server, Shard};
use ladder_schema::settings;

use super::user::{self, Group, Sizes};

/// The version that all servers hold at the start.
pub(super) const VERSION: u64 = 1;
/// Requests waiting in a service's queue.
const QUEUE: u32 = 1000;
/// Extra calls per hundred first calls.
const EXTRA_PERCENT: u32 = 5;

/// Catalogue, indexes, servers and instances, with revisions from 1.
pub(super) fn all(
    sizes: &Sizes,
    servers: &[Server],
    instances: &[settings::Instance],
) -> Vec<Record> {
    let entries = sizes.groups.iter().flat_map(|group| entries(sizes, group));
    let indexes = sizes.groups.iter().map(index);
    let bodies = entries
        .map(Body::Entry)
        .chain(indexes.map(Body::Index))
        .chain(servers.iter().cloned().map(Body::Server))
        .chain(instances.iter().map(instance).map(Body::Instance));
    let records = (1..).zip(bodies).map(|(revision, body)| Record { revision, body: Some(body) });
    records.collect()
}

/// One entry for each service of a group.
fn entries(sizes: &Sizes, group: &Group) -> Vec<Entry> {
    let names = group.service_names().into_iter();
    let entries = names.map(|service| Entry {
        service,
        owner: sizes.owner.to_owned(),
        urgency: group.urgency.into(),
        limits: Some(Limits { queue: QUEUE, extra_percent: EXTRA_PERCENT, ..Limits::default() }),
        operations: group.operations.iter().map(operation).collect(),
    });
    entries.collect()
}

fn operation(operation: &user::Operation) -> Operation {
    Operation {
        name: operation.name.to_owned(),
        unrepeatable: operation.unrepeatable,
        urgency: operation.urgency.into(),
        preference: operation.preference.into(),
        deadline_ms: operation.deadline_ms,
    }
}

/// One shard for each service of a group.
fn index(group: &Group) -> Index {
    let names = group.service_names().into_iter();
    let shards = names.map(|service| Shard { name: service.clone(), service });
    Index { name: group.name.to_owned(), version: VERSION, shards: shards.collect() }
}

fn instance(settings: &settings::Instance) -> publication::Instance {
    publication::Instance {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        peer_address: settings.peer_address.clone(),
        state: publication::State::Live.into(),
    }
}
