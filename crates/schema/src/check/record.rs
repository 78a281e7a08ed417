//! Checks of each kind of record.

mod routing;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::Error;
use crate::bounds;
use crate::catalogue::{Entry, Limits, Operation, Preference, Urgency};
use crate::publication::{
    Holding, Index, Instance, Kind, Record, Server, Shard, State, Tombstone, record::Body,
};

/// Bytes of a bad value that a message repeats.
const SHOWN_BYTES: usize = 64;
/// Slots of one server.
const SLOTS: u64 = 10_000;
/// Connections of one server. At least 2: one is the reserve that covers instances whose views
/// differ, so that a limit of 1 could not be held.
const CONNECTIONS: (u64, u64) = (2, 100_000);
/// Requests of one service at targets at once.
const IN_FLIGHT: u64 = 1_000_000;
/// Index versions one server serves.
const HOLDINGS: usize = 4096;

type Outcome = Result<(), Error>;

/// Checks a published record by itself. Services that it names may be published later and are not
/// looked up.
pub fn record(record: &Record) -> Outcome {
    range("revision", record.revision, 1, u64::MAX)?;
    match &record.body {
        None => Err(missing("body")),
        Some(Body::Entry(body)) => entry(body),
        Some(Body::Index(body)) => index(body),
        Some(Body::Server(body)) => server(body),
        Some(Body::Instance(body)) => instance(body),
        Some(Body::Tombstone(body)) => tombstone(body),
        Some(Body::Routing(body)) => routing::routing(body),
        Some(Body::Evacuation(body)) => name("evacuation.zone", &body.zone),
    }
}

fn entry(entry: &Entry) -> Outcome {
    name("entry.service", &entry.service)?;
    name("entry.owner", &entry.owner)?;
    urgency("entry.urgency", entry.urgency, false)?;
    let missing_limits = || missing("entry.limits");
    limits(entry.limits.as_ref().ok_or_else(missing_limits)?)?;
    count("entry.operations", entry.operations.len(), bounds::OPERATIONS)?;
    let names = entry.operations.iter().map(|operation| operation.name.as_str());
    unique("entry.operations", names)?;
    for (at, item) in entry.operations.iter().enumerate() {
        operation(&format!("entry.operations[{at}]"), item)?;
    }
    Ok(())
}

fn limits(limits: &Limits) -> Outcome {
    range("entry.limits.in_flight", limits.in_flight.into(), 0, IN_FLIGHT)?;
    range("entry.limits.queue", limits.queue.into(), 1, bounds::QUEUE.into())?;
    let extra = u64::from(limits.extra_percent);
    range("entry.limits.extra_percent", extra, 0, bounds::EXTRA_PERCENT.into())?;
    if limits.connections == 0 {
        return Ok(());
    }
    let connections = u64::from(limits.connections);
    range("entry.limits.connections", connections, CONNECTIONS.0, CONNECTIONS.1)
}

fn operation(path: &str, operation: &Operation) -> Outcome {
    name(&format!("{path}.name"), &operation.name)?;
    urgency(&format!("{path}.urgency"), operation.urgency, true)?;
    if Preference::try_from(operation.preference).is_err() {
        return Err(Error::Choice {
            field: format!("{path}.preference"),
            value: operation.preference,
            allowed: "PREFERENCE_TIMELY, PREFERENCE_COMPLETE",
        });
    }
    let deadline = u64::from(operation.deadline_ms);
    range(&format!("{path}.deadline_ms"), deadline, 1, bounds::DEADLINE_MS.into())
}

fn urgency(field: &str, value: i32, optional: bool) -> Outcome {
    match Urgency::try_from(value) {
        Ok(Urgency::Unspecified) if !optional => {}
        Ok(_) => return Ok(()),
        Err(_) => {}
    }
    Err(Error::Choice {
        field: field.to_owned(),
        value,
        allowed: "URGENCY_URGENT, URGENCY_ELEVATED, URGENCY_ORDINARY",
    })
}

fn index(index: &Index) -> Outcome {
    name("index.name", &index.name)?;
    range("index.version", index.version, 1, u64::MAX)?;
    count("index.shards", index.shards.len(), bounds::SHARDS)?;
    unique("index.shards", index.shards.iter().map(|shard| shard.name.as_str()))?;
    for (at, item) in index.shards.iter().enumerate() {
        shard(&format!("index.shards[{at}]"), item)?;
    }
    Ok(())
}

fn shard(path: &str, shard: &Shard) -> Outcome {
    name(&format!("{path}.name"), &shard.name)?;
    name(&format!("{path}.service"), &shard.service)
}

fn server(server: &Server) -> Outcome {
    name("server.name", &server.name)?;
    name("server.service", &server.service)?;
    name("server.zone", &server.zone)?;
    address("server.address", &server.address)?;
    state("server.state", server.state)?;
    range("server.slots", server.slots.into(), 1, SLOTS)?;
    let connections = u64::from(server.connections);
    range("server.connections", connections, CONNECTIONS.0, CONNECTIONS.1)?;
    range("server.holdings", server.holdings.len() as u64, 0, HOLDINGS as u64)?;
    let keys: Vec<String> = server.holdings.iter().map(holding_key).collect();
    unique("server.holdings", keys.iter().map(String::as_str))?;
    for (at, item) in server.holdings.iter().enumerate() {
        name(&format!("server.holdings[{at}].index"), &item.index)?;
        range(&format!("server.holdings[{at}].version"), item.version, 1, u64::MAX)?;
    }
    Ok(())
}

fn holding_key(holding: &Holding) -> String {
    format!("{}@{}", holding.index, holding.version)
}

fn instance(instance: &Instance) -> Outcome {
    name("instance.name", &instance.name)?;
    name("instance.zone", &instance.zone)?;
    address("instance.peer_address", &instance.peer_address)?;
    state("instance.state", instance.state)
}

fn tombstone(tombstone: &Tombstone) -> Outcome {
    match Kind::try_from(tombstone.kind) {
        Ok(Kind::Unspecified) | Err(_) => Err(Error::Choice {
            field: "tombstone.kind".to_owned(),
            value: tombstone.kind,
            allowed: "KIND_ENTRY, KIND_INDEX, KIND_SERVER, KIND_INSTANCE, KIND_ROUTING, \
                      KIND_EVACUATION",
        }),
        Ok(Kind::Index) => versioned("tombstone.name", &tombstone.name),
        Ok(Kind::Routing) if tombstone.name.is_empty() => Ok(()),
        Ok(Kind::Routing) => Err(text("tombstone.name", &tombstone.name, "empty")),
        Ok(_) => name("tombstone.name", &tombstone.name),
    }
}

/// An index key: name, `@`, version.
fn versioned(field: &str, value: &str) -> Outcome {
    let parts = value.rsplit_once('@');
    match parts.map(|(index, version)| (index, version.parse::<u64>())) {
        Some((index, Ok(1..))) => name(field, index),
        _ => Err(text(field, value, "an index name, @ and a version from 1")),
    }
}

fn state(field: &str, value: i32) -> Outcome {
    match State::try_from(value) {
        Ok(State::Live | State::Leaving) => Ok(()),
        _ => Err(Error::Choice {
            field: field.to_owned(),
            value,
            allowed: "STATE_LIVE, STATE_LEAVING",
        }),
    }
}

fn name(field: &str, value: &str) -> Outcome {
    if value.is_empty() {
        return Err(missing(field));
    }
    let fits = value.len() <= bounds::NAME_BYTES;
    if fits && !value.chars().any(|c| c.is_control() || c == '@') {
        return Ok(());
    }
    let allowed = "a name of 1 to 128 bytes without control characters and @";
    Err(text(field, value, allowed))
}

fn address(field: &str, value: &str) -> Outcome {
    match value.parse::<SocketAddr>() {
        Ok(address) if address.port() > 0 => Ok(()),
        _ => Err(text(field, value, "an IP number and port")),
    }
}

fn range(field: &str, value: u64, low: u64, high: u64) -> Outcome {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(Error::Range { field: field.to_owned(), value, low, high })
}

fn count(field: &str, value: usize, high: usize) -> Outcome {
    range(field, value as u64, 1, high as u64)
}

fn unique<'a>(field: &str, values: impl Iterator<Item = &'a str>) -> Outcome {
    let mut seen = BTreeSet::new();
    for value in values {
        if !seen.insert(value) {
            return Err(Error::Duplicate { field: field.to_owned(), value: shown(value) });
        }
    }
    Ok(())
}

fn missing(field: &str) -> Error {
    Error::Missing { field: field.to_owned() }
}

fn text(field: &str, value: &str, allowed: &'static str) -> Error {
    Error::Text { field: field.to_owned(), value: shown(value), allowed }
}

fn shown(value: &str) -> String {
    value.chars().take(SHOWN_BYTES).collect()
}
