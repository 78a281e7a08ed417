//! Messages and records of the simulation.

use std::sync::Arc;

use ladder_core::control::placement::LimitPart;
use ladder_core::leaf::event::Outcome;
use ladder_core::schema::catalogue::{Entry, Limits, Operation, Urgency};
use ladder_core::schema::outcome::Reason;
use ladder_core::schema::publication::Holding;
use ladder_core::schema::{call, target, wire};
use ladder_core::view::{Candidate, Peer, Server, Service};

use crate::fleet::SLOTS;
use crate::mix::Kind;

pub(crate) const SERVICES: usize = 20;
pub(crate) const SERVERS_PER_SERVICE: usize = 2;

pub(crate) fn answer(request: &target::Request) -> Outcome {
    let part = |shard: &String| call::Part { shard: shard.clone(), ..call::Part::default() };
    Outcome::Answer(target::Answer {
        id: request.id.clone(),
        index: request.index.clone(),
        version: request.version,
        parts: request.shards.iter().map(part).collect(),
        occupancy: None,
    })
}

pub(crate) fn refusal(request: &target::Request, reason: Reason) -> Outcome {
    Outcome::Refusal(target::Refusal {
        id: request.id.clone(),
        reason: reason.into(),
        retry_after_ms: 0,
    })
}

pub(crate) fn peer(name: &str) -> Peer {
    Peer { name: name.into(), address: "127.0.0.1:1".into() }
}

/// Returns the work of a query to `kind.fan_out` services, starting with the service `first`.
pub(crate) fn work(query: u64, kind: &Kind, first: usize) -> wire::Work {
    let portion = |step| wire::Portion {
        service: format!("service-{}", (first + step) % SERVICES),
        shards: vec!["shard".into()],
        repeated: false,
        eligible: None,
    };
    wire::Work {
        query,
        round: 1,
        key: format!("key-{query}"),
        attempt: 1,
        index: "index".into(),
        version: 1,
        operation: kind.operation.into(),
        unrepeatable: kind.unrepeatable,
        budget_us: kind.budget_ms * 1000,
        portions: (0..kind.fan_out).map(portion).collect(),
        ..wire::Work::default()
    }
}

pub(crate) fn service(number: usize) -> Service {
    let server = |place| Server {
        name: format!("server-{number}-{place}").into(),
        address: format!("10.0.{number}.{place}:80").into(),
        zone: "zone".into(),
        incarnation: 1,
        leaving: false,
        evacuated: false,
        warmup: std::time::Duration::ZERO,
        slots: SLOTS as u32,
        share: 12,
        holdings: vec![Holding { index: "index".into(), version: 1 }],
    };
    let limits = Limits { queue: 1000, extra_percent: 5, ..Limits::default() };
    Service {
        name: format!("service-{number}").into(),
        entry: Arc::new(Entry {
            limits: Some(limits),
            urgency: Urgency::Ordinary.into(),
            operations: vec![Operation {
                name: "check".into(),
                urgency: Urgency::Urgent.into(),
                ..Operation::default()
            }],
            ..Entry::default()
        }),
        servers: (0..SERVERS_PER_SERVICE).map(server).collect(),
        candidates: vec![Candidate { peer: peer("trial"), live: true, local: true }],
        sharer_count: 1,
        limit_part: LimitPart::default(),
        has_few_connections: false,
        keeps_idle_connection: true,
    }
}
