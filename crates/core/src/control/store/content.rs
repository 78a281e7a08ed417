//! Hash of the content of a record, equal on all instances and builds.

use ladder_schema::publication::{Record, Server, record::Body};
use prost::Message;

use crate::control::hash;

/// Hash of the content that distinguishes a record from another one of the same key and revision.
///
/// Routes count by their version. Servers count by the fields listed in `server_hash`, so that a
/// build whose schema has further fields gets the same hash.
pub(super) fn hash_of(record: &Record) -> u64 {
    match &record.body {
        Some(Body::Server(server)) => server_hash(server),
        Some(Body::Routing(routing)) => hash::of(&[b"routing", &routing.version.to_le_bytes()]),
        Some(Body::Entry(entry)) => hash::of(&[b"entry", &entry.encode_to_vec()]),
        Some(Body::Index(index)) => hash::of(&[b"index", &index.encode_to_vec()]),
        Some(Body::Instance(instance)) => hash::of(&[b"instance", &instance.encode_to_vec()]),
        Some(Body::Evacuation(_)) => hash::of(&[b"evacuation"]),
        Some(Body::Tombstone(_)) | None => hash::of(&[b"tombstone"]),
    }
}

fn server_hash(server: &Server) -> u64 {
    let numbers = [
        server.incarnation,
        server.state as u64,
        server.slots.into(),
        server.connections.into(),
        server.warmup_ms.into(),
    ]
    .map(u64::to_le_bytes);
    let versions: Vec<[u8; 8]> =
        server.holdings.iter().map(|holding| holding.version.to_le_bytes()).collect();
    let names = [&server.service, &server.zone, &server.address];
    let indexes = server.holdings.iter().map(|holding| &holding.index);
    let texts = names.into_iter().chain(indexes).map(String::as_bytes);
    let numbers = numbers.iter().chain(&versions).map(|number| &number[..]);
    hash::of(&texts.chain(numbers).collect::<Vec<&[u8]>>())
}
