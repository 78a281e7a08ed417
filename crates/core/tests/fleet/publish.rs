//! Published records for tests.

use ladder_core::schema::catalogue::{Entry, Limits, Operation, Urgency};
use ladder_core::schema::publication::{
    Index, Instance, Kind, Record, Server, Shard, State, Tombstone, record::Body,
};

pub(crate) fn record(revision: u64, body: Body) -> Record {
    Record { revision, body: Some(body) }
}

pub(crate) fn entry(service: &str, queue: u32) -> Body {
    Body::Entry(Entry {
        service: service.to_owned(),
        owner: "porto".to_owned(),
        urgency: Urgency::Urgent as i32,
        limits: Some(Limits { queue, extra_percent: 10, ..Limits::default() }),
        operations: vec![Operation {
            name: "find".to_owned(),
            deadline_ms: 90,
            ..Operation::default()
        }],
    })
}

pub(crate) fn index(name: &str, version: u64, services: &[&str]) -> Body {
    let shard =
        |service: &&str| Shard { name: format!("{service}-shard"), service: (*service).to_owned() };
    Body::Index(Index {
        name: name.to_owned(),
        version,
        shards: services.iter().map(shard).collect(),
    })
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
    let number: u16 = digits.parse().expect("names end in a number");
    format!("127.0.0.1:{}", 10_000 + number)
}
