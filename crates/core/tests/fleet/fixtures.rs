//! Builders of published records and peer frames for tests.

use ladder_core::control::Machine;
use ladder_core::schema::bounds::PROTOCOL;
use ladder_core::schema::catalogue::{Entry, Limits, Operation, Urgency};
use ladder_core::schema::publication::{
    Bounds, Index, Instance, Kind, Record, Routing, Server, Shard, State, Tombstone, record::Body,
};
use ladder_core::schema::wire::{Frame, Liveness, Rumour};

pub(crate) fn record(revision: u64, body: Body) -> Record {
    Record { revision, body: Some(body), ..Record::default() }
}

pub(crate) fn entry(service: &str, queue: u32) -> Body {
    Body::Entry(Entry {
        service: service.to_owned(),
        owner: "porto".to_owned(),
        urgency: Urgency::Urgent as i32,
        limits: Some(Limits { queue, extra_percent: 10, ..Limits::default() }),
        operations: vec![operation("find", 90)],
    })
}

/// Routes of one version with one service.
pub(crate) fn routes(version: u64) -> Body {
    let Body::Entry(entry) = entry("docks", 10) else {
        unreachable!("the fixture is an entry");
    };
    Body::Routing(Routing {
        version,
        entries: vec![entry],
        bounds: Some(Bounds { header_bytes: 1, body_bytes: 1, header_ms: 1, idle_ms: 1 }),
        ..Routing::default()
    })
}

/// Routes of one version with a record of at least this size.
pub(crate) fn long_routes(version: u64, bytes: usize) -> Body {
    let Body::Routing(mut routing) = routes(version) else {
        unreachable!("the fixture is a routing record");
    };
    routing.entries[0].owner = "o".repeat(bytes);
    Body::Routing(routing)
}

pub(crate) fn operation(name: &str, deadline_ms: u32) -> Operation {
    Operation { name: name.to_owned(), deadline_ms, ..Operation::default() }
}

pub(crate) fn index(name: &str, version: u64, services: &[&str]) -> Body {
    let shard =
        |service: &&str| Shard { name: format!("{service}-shard"), service: (*service).to_owned() };
    let shards = services.iter().map(shard).collect();
    Body::Index(Index { name: name.to_owned(), version, shards })
}

pub(crate) fn server(name: &str, service: &str, incarnation: u64, state: State) -> Body {
    Body::Server(Server {
        name: name.to_owned(),
        service: service.to_owned(),
        zone: "campanha".to_owned(),
        address: "127.0.0.1:9000".to_owned(),
        incarnation,
        state: state as i32,
        slots: 2,
        connections: 25,
        holdings: Vec::new(),
        warmup_ms: 0,
    })
}

pub(crate) fn instance(name: &str, zone: &str, state: State) -> Body {
    Body::Instance(Instance {
        name: name.to_owned(),
        zone: zone.to_owned(),
        peer_address: address(name),
        state: state as i32,
    })
}

pub(crate) fn tombstone(kind: Kind, name: &str) -> Body {
    Body::Tombstone(Tombstone { kind: kind as i32, name: name.to_owned() })
}

/// Peer address of an instance whose name ends in a number.
pub(crate) fn address(name: &str) -> String {
    let digits: String = name.chars().filter(char::is_ascii_digit).collect();
    let number: u16 = digits.parse().expect("an instance's name ends in a number");
    format!("127.0.0.1:{}", 10_000 + number)
}

/// Records of these bodies, with consecutive revisions from `first`.
pub(crate) fn records(first: u64, bodies: impl IntoIterator<Item = Body>) -> Vec<Record> {
    bodies.into_iter().zip(first..).map(|(body, revision)| record(revision, body)).collect()
}

/// A frame that contains nothing but its sender.
pub(crate) fn frame(name: &str, zone: &str, generation: u64) -> Frame {
    Frame {
        protocol: PROTOCOL,
        from: name.to_owned(),
        incarnation: generation,
        generation,
        address: address(name),
        zone: zone.to_owned(),
        ..Frame::default()
    }
}

/// A gossip update: the liveness of an instance at a version, which is its generation and
/// refutation.
pub(crate) fn gossip_update(
    name: &str,
    zone: &str,
    version: (u64, u32),
    liveness: Liveness,
) -> Rumour {
    Rumour {
        name: name.to_owned(),
        generation: version.0,
        refutation: version.1,
        liveness: liveness as i32,
        address: address(name),
        zone: zone.to_owned(),
        ..Rumour::default()
    }
}

/// Keys and revisions of the records of a machine.
pub(crate) fn known_revisions(machine: &Machine) -> Vec<(String, u64)> {
    let records = machine.records();
    records.map(|(key, record)| (key.to_string(), record.revision)).collect()
}
