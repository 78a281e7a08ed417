//! Records that the platform publishes at the start of a test run.

use ladder_schema::catalogue::{Entry, Limits, Operation};
use ladder_schema::publication::record::Body;
use ladder_schema::publication::{self, Index, Record, Server, Shard};
use ladder_schema::settings;

use super::user::{self, ServiceGroup, Sizes};

/// Index version that all servers serve at the start of a run.
pub(super) const INITIAL_INDEX_VERSION: u64 = 1;
/// Maximum length of a service's queue, in requests.
const MAX_QUEUE_LENGTH: u32 = 1000;
/// Extra calls allowed per 100 first calls of a service.
const EXTRA_CALLS_PERCENT: u32 = 5;

/// Creates the records of the catalogue entries, indexes, servers and instances, with revisions
/// from 1.
pub(super) fn initial_records(
    sizes: &Sizes,
    servers: &[Server],
    instances: &[settings::Instance],
) -> Vec<Record> {
    let entries = sizes.groups.iter().flat_map(|group| catalogue_entries(sizes, group));
    let indexes = sizes.groups.iter().map(group_index);
    let bodies = entries
        .map(Body::Entry)
        .chain(indexes.map(Body::Index))
        .chain(servers.iter().cloned().map(Body::Server))
        .chain(instances.iter().map(published_instance).map(Body::Instance));
    let records = (1..).zip(bodies).map(|(revision, body)| Record {
        revision,
        body: Some(body),
        ..Record::default()
    });
    records.collect()
}

/// Creates a catalogue entry for each service of a group.
fn catalogue_entries(sizes: &Sizes, group: &ServiceGroup) -> Vec<Entry> {
    let names = group.service_names().into_iter();
    let entries = names.map(|service| Entry {
        service,
        owner: sizes.owner.to_owned(),
        urgency: group.urgency.into(),
        limits: Some(Limits {
            queue: MAX_QUEUE_LENGTH,
            extra_percent: EXTRA_CALLS_PERCENT,
            ..Limits::default()
        }),
        operations: group.operations.iter().map(catalogue_operation).collect(),
    });
    entries.collect()
}

fn catalogue_operation(operation: &user::Operation) -> Operation {
    Operation {
        name: operation.name.to_owned(),
        unrepeatable: operation.unrepeatable,
        urgency: operation.urgency.into(),
        preference: operation.preference.into(),
        deadline_ms: operation.deadline_ms,
    }
}

/// Creates the index of a group, with one shard for each service.
fn group_index(group: &ServiceGroup) -> Index {
    let names = group.service_names().into_iter();
    let shards = names.map(|service| Shard { name: service.clone(), service });
    Index { name: group.name.to_owned(), version: INITIAL_INDEX_VERSION, shards: shards.collect() }
}

fn published_instance(settings: &settings::Instance) -> publication::Instance {
    publication::Instance {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        peer_address: settings.peer_address.clone(),
        state: publication::State::Live.into(),
    }
}
