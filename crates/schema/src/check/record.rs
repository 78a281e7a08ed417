//! Checks of the fields of each kind of published record.

mod routing;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use prost::Message;

use super::Error;
use crate::bounds;
use crate::catalogue::{Entry, Limits, Operation, Preference, Urgency};
use crate::publication::{
    Holding, Index, Instance, Kind, Record, Server, Shard, State, Tombstone, record::Body,
};

/// Maximum number of characters of an invalid value that an error message repeats.
const MAX_SHOWN_CHARS: usize = 64;
/// Lowest and highest connection limit of one server.
const CONNECTIONS_RANGE: (u64, u64) =
    (bounds::MIN_CONNECTIONS as u64, bounds::MAX_CONNECTIONS as u64);
/// Maximum number of requests of one service that may be in flight to its targets at once.
const MAX_IN_FLIGHT: u64 = 1_000_000;
/// Maximum number of index versions that one server may serve.
const MAX_HOLDINGS: usize = 4096;

type CheckResult = Result<(), Error>;

/// Checks the fields of one published record.
///
/// Services that the record names are not looked up, because they may be published later.
///
/// # Errors
///
/// [`Error`] describes the first invalid field.
pub fn record(record: &Record) -> CheckResult {
    check_range("revision", record.revision, 1, u64::MAX)?;
    check_size(record)?;
    match &record.body {
        None => Err(missing_field_error("body")),
        Some(Body::Entry(body)) => check_entry(body),
        Some(Body::Index(body)) => check_index(body),
        Some(Body::Server(body)) => check_server(body),
        Some(Body::Instance(body)) => check_instance(body),
        Some(Body::Tombstone(body)) => check_tombstone(body),
        Some(Body::Routing(body)) => routing::check_routing(body),
        Some(Body::Evacuation(body)) => check_record_name("evacuation.zone", &body.zone),
    }
}

fn check_size(record: &Record) -> CheckResult {
    let (bytes, limit) = (record.encoded_len(), bounds::RECORD_BYTES);
    if bytes <= limit { Ok(()) } else { Err(Error::TooLarge { bytes, limit }) }
}

fn check_entry(entry: &Entry) -> CheckResult {
    check_name("entry.service", &entry.service)?;
    check_name("entry.owner", &entry.owner)?;
    check_entry_terms(entry)
}

/// Checks all fields of a catalogue entry but its names.
fn check_entry_terms(entry: &Entry) -> CheckResult {
    check_urgency("entry.urgency", entry.urgency, false)?;
    let missing_limits = || missing_field_error("entry.limits");
    check_limits(entry.limits.as_ref().ok_or_else(missing_limits)?)?;
    check_count("entry.operations", entry.operations.len(), bounds::OPERATIONS)?;
    let names = entry.operations.iter().map(|operation| operation.name.as_str());
    check_unique("entry.operations", names)?;
    for (position, operation) in entry.operations.iter().enumerate() {
        check_operation(&format!("entry.operations[{position}]"), operation)?;
    }
    Ok(())
}

fn check_limits(limits: &Limits) -> CheckResult {
    check_range("entry.limits.in_flight", limits.in_flight.into(), 0, MAX_IN_FLIGHT)?;
    check_range("entry.limits.queue", limits.queue.into(), 1, bounds::QUEUE.into())?;
    let extra_percent = u64::from(limits.extra_percent);
    check_range("entry.limits.extra_percent", extra_percent, 0, bounds::EXTRA_PERCENT.into())?;
    if limits.connections == 0 {
        return Ok(());
    }
    let connections = u64::from(limits.connections);
    check_range("entry.limits.connections", connections, CONNECTIONS_RANGE.0, CONNECTIONS_RANGE.1)
}

fn check_operation(path: &str, operation: &Operation) -> CheckResult {
    check_name(&format!("{path}.name"), &operation.name)?;
    check_urgency(&format!("{path}.urgency"), operation.urgency, true)?;
    if Preference::try_from(operation.preference).is_err() {
        return Err(Error::Choice {
            field: format!("{path}.preference"),
            value: operation.preference,
            allowed: "PREFERENCE_TIMELY, PREFERENCE_COMPLETE",
        });
    }
    let deadline_ms = u64::from(operation.deadline_ms);
    check_range(&format!("{path}.deadline_ms"), deadline_ms, 1, bounds::DEADLINE_MS.into())
}

fn check_urgency(field: &str, value: i32, optional: bool) -> CheckResult {
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

fn check_index(index: &Index) -> CheckResult {
    check_name("index.name", &index.name)?;
    check_range("index.version", index.version, 1, u64::MAX)?;
    check_count("index.shards", index.shards.len(), bounds::SHARDS)?;
    check_unique("index.shards", index.shards.iter().map(|shard| shard.name.as_str()))?;
    for (position, shard) in index.shards.iter().enumerate() {
        check_shard(&format!("index.shards[{position}]"), shard)?;
    }
    Ok(())
}

fn check_shard(path: &str, shard: &Shard) -> CheckResult {
    check_name(&format!("{path}.name"), &shard.name)?;
    check_name(&format!("{path}.service"), &shard.service)
}

fn check_server(server: &Server) -> CheckResult {
    check_record_name("server.name", &server.name)?;
    check_present("server.service", &server.service)?;
    check_present("server.zone", &server.zone)?;
    check_address("server.address", &server.address)?;
    check_state("server.state", server.state)?;
    check_range("server.slots", server.slots.into(), 1, bounds::MAX_SLOTS.into())?;
    let connections = u64::from(server.connections);
    check_range("server.connections", connections, CONNECTIONS_RANGE.0, CONNECTIONS_RANGE.1)?;
    check_range("server.holdings", server.holdings.len() as u64, 0, MAX_HOLDINGS as u64)?;
    let keys: Vec<String> = server.holdings.iter().map(holding_key).collect();
    check_unique("server.holdings", keys.iter().map(String::as_str))?;
    for (position, holding) in server.holdings.iter().enumerate() {
        check_name(&format!("server.holdings[{position}].index"), &holding.index)?;
        check_range(&format!("server.holdings[{position}].version"), holding.version, 1, u64::MAX)?;
    }
    Ok(())
}

fn holding_key(holding: &Holding) -> String {
    format!("{}@{}", holding.index, holding.version)
}

fn check_instance(instance: &Instance) -> CheckResult {
    check_name("instance.name", &instance.name)?;
    check_name("instance.zone", &instance.zone)?;
    check_address("instance.peer_address", &instance.peer_address)?;
    check_state("instance.state", instance.state)
}

fn check_tombstone(tombstone: &Tombstone) -> CheckResult {
    match Kind::try_from(tombstone.kind) {
        Ok(Kind::Unspecified) | Err(_) => Err(Error::Choice {
            field: "tombstone.kind".to_owned(),
            value: tombstone.kind,
            allowed: "KIND_ENTRY, KIND_INDEX, KIND_SERVER, KIND_INSTANCE, KIND_ROUTING, \
                      KIND_EVACUATION",
        }),
        Ok(Kind::Index) => check_index_key("tombstone.name", &tombstone.name),
        Ok(Kind::Routing) if tombstone.name.is_empty() => Ok(()),
        Ok(Kind::Routing) => Err(invalid_text_error("tombstone.name", &tombstone.name, "empty")),
        Ok(Kind::Server | Kind::Evacuation) => check_record_name("tombstone.name", &tombstone.name),
        Ok(_) => check_name("tombstone.name", &tombstone.name),
    }
}

/// Checks an index key of the form `NAME@VERSION` with a version of at least 1.
fn check_index_key(field: &str, value: &str) -> CheckResult {
    let key_parts = value.rsplit_once('@');
    match key_parts.map(|(index, version)| (index, version.parse::<u64>())) {
        Some((index, Ok(1..))) => check_name(field, index),
        _ => Err(invalid_text_error(field, value, "an index name, @ and a version from 1")),
    }
}

fn check_state(field: &str, value: i32) -> CheckResult {
    match State::try_from(value) {
        Ok(State::Live | State::Leaving) => Ok(()),
        _ => Err(Error::Choice {
            field: field.to_owned(),
            value,
            allowed: "STATE_LIVE, STATE_LEAVING",
        }),
    }
}

fn check_name(field: &str, value: &str) -> CheckResult {
    if value.is_empty() {
        return Err(missing_field_error(field));
    }
    let length_allowed = value.len() <= bounds::NAME_BYTES;
    if length_allowed && !value.chars().any(|c| c.is_control() || c == '@') {
        return Ok(());
    }
    let allowed = "a name of 1 to 128 bytes without control characters and @";
    Err(invalid_text_error(field, value, allowed))
}

/// Checks the name of a published server or zone, which the platform chooses. It becomes the key of
/// a record and the value of a header field.
fn check_record_name(field: &str, value: &str) -> CheckResult {
    check_present(field, value)?;
    if value.len() <= bounds::RECORD_NAME_BYTES && !value.chars().any(char::is_control) {
        return Ok(());
    }
    let allowed = "a name of 1 to 256 bytes without control characters";
    Err(invalid_text_error(field, value, allowed))
}

fn check_present(field: &str, value: &str) -> CheckResult {
    if value.is_empty() { Err(missing_field_error(field)) } else { Ok(()) }
}

fn check_address(field: &str, value: &str) -> CheckResult {
    match value.parse::<SocketAddr>() {
        Ok(address) if address.port() > 0 => Ok(()),
        _ => Err(invalid_text_error(field, value, "an IP number and port")),
    }
}

fn check_range(field: &str, value: u64, low: u64, high: u64) -> CheckResult {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(Error::Range { field: field.to_owned(), value, low, high })
}

fn check_count(field: &str, value: usize, high: usize) -> CheckResult {
    check_range(field, value as u64, 1, high as u64)
}

fn check_unique<'a>(field: &str, values: impl Iterator<Item = &'a str>) -> CheckResult {
    let mut seen = BTreeSet::new();
    for value in values {
        if !seen.insert(value) {
            return Err(Error::Duplicate { field: field.to_owned(), value: truncated(value) });
        }
    }
    Ok(())
}

fn missing_field_error(field: &str) -> Error {
    Error::Missing { field: field.to_owned() }
}

fn invalid_text_error(field: &str, value: &str, allowed: &'static str) -> Error {
    Error::Text { field: field.to_owned(), value: truncated(value), allowed }
}

fn truncated(value: &str) -> String {
    value.chars().take(MAX_SHOWN_CHARS).collect()
}
