//! Tests of hedging by comparison with the other parts of a sweep.
//!
//! The work of a request is similar at every shard, and differs between requests by more than
//! servers differ. A request that is heavy at every shard has no straggler.

use std::sync::Arc;

use bytes::Bytes;
use ladder_core::count;
use ladder_core::leaf::event::Outcome;
use ladder_core::leaf::{Event, Settings};
use ladder_core::schema::call::{Message, Part, Response};
use ladder_core::schema::catalogue::Limits;
use ladder_core::schema::outcome::Reason;
use ladder_core::schema::{target, wire};
use ladder_core::view::{Service, View};

use crate::harness::{Harness, SentCall, limited, server, work};

/// Number of services of a sweep.
const PARTS: usize = 9;
/// Processing times of requests in milliseconds while call times are learned.
const USUAL_TIMES_MS: [u64; 5] = [7, 9, 10, 12, 14];

fn name(part: usize) -> String {
    format!("docks-{part}")
}

/// A harness with two servers for each part.
fn harness() -> Harness {
    let settings = Settings::builder("porto-1", 7).seed(1).build();
    let mut harness = Harness::unconnected(settings, limited(Limits::default(), Vec::new()));
    let mut view = View { generation: 2, ready: true, ..View::default() };
    for part in 0..PARTS {
        let replica = |number: u8| {
            let mut replica = server(number);
            replica.name = format!("{}-{number}", name(part)).into();
            replica.address = format!("{}-{number}", name(part)).into();
            replica
        };
        let limits = Limits { queue: 100, extra_percent: 20, ..Limits::default() };
        let servers = vec![replica(1), replica(2)];
        view.insert(Service { name: name(part).as_str().into(), ..limited(limits, servers) });
    }
    harness.handle(Event::View(Arc::new(view)));
    harness.connect();
    harness
}

fn sweep(query: u64) -> wire::Work {
    let forward = wire::Forward {
        message: Some(Message::default()),
        attempts: 2,
        part: true,
        target_ms: 100,
        ..wire::Forward::default()
    };
    let portion = |part| wire::Portion {
        service: name(part),
        shards: vec![name(part)],
        ..wire::Portion::default()
    };
    let portions = (0..PARTS).map(portion).collect();
    wire::Work { forward: Some(Box::new(forward)), portions, ..work(query, "sweep") }
}

fn answer(harness: &mut Harness, sent: &SentCall) {
    let response = Response {
        status: 200,
        body: Bytes::from_static(b"0123456789abcdef"),
        stamp: "signed".to_owned(),
        ..Response::default()
    };
    let shard = sent.request.shards[0].clone();
    let answer = target::Answer {
        id: sent.request.id.clone(),
        index: sent.request.index.clone(),
        version: sent.request.version,
        parts: vec![Part { shard, response: Some(response), ..Part::default() }],
        occupancy: None,
    };
    harness.end_call(sent.attempt, Outcome::Answer(answer));
}

/// A harness that has learned the usual call times.
fn learned_harness() -> Harness {
    let mut harness = harness();
    for query in 0..40 {
        harness.log.clear();
        harness.deliver_work(sweep(query));
        harness.advance(USUAL_TIMES_MS[query as usize % USUAL_TIMES_MS.len()]);
        harness.end_each_call(answer);
    }
    harness.log.clear();
    harness
}

fn hedges(harness: &Harness) -> usize {
    harness.counted(count::Event::Hedge, Reason::Hedge)
}

/// Processing times of the parts of a sweep and the expected hedges.
struct Case {
    name: &'static str,
    /// Processing time in milliseconds of all parts whose server does not stall.
    takes_ms: u64,
    /// Number of parts whose server stalls.
    stalled: usize,
    /// Expected number of hedged calls `takes_ms` milliseconds after the answers to all parts
    /// whose server does not stall.
    hedges: usize,
}

/// A request took 15 ms at each of 87 shards where others take 11 ms. All of its calls counted as
/// slow at the same moment and were hedged, most of them in the other zone: 15 of 100 calls were
/// such hedges, and the few parts that waited for a stalled server found the budget spent. A part
/// is slow when it lags behind the others of its sweep.
#[test]
fn only_parts_that_lag_behind_the_others_are_hedged() {
    let cases = [
        Case { name: "all as usual", takes_ms: 10, stalled: 0, hedges: 0 },
        Case { name: "heavy everywhere", takes_ms: 25, stalled: 0, hedges: 0 },
        Case { name: "one server stalls", takes_ms: 10, stalled: 1, hedges: 1 },
        Case { name: "heavy, and two servers stall", takes_ms: 18, stalled: 2, hedges: 2 },
    ];
    for Case { name, takes_ms, stalled, hedges: expected } in cases {
        let mut harness = learned_harness();
        harness.deliver_work(sweep(1000));
        let calls = harness.sent();
        assert_eq!(calls.len(), PARTS, "{name}");
        harness.advance(takes_ms);
        assert_eq!(hedges(&harness), 0, "{name}: before any part has answered");
        calls[stalled..].iter().for_each(|sent| answer(&mut harness, sent));
        harness.advance(takes_ms);
        assert_eq!(hedges(&harness), expected, "{name}");
    }
}

/// The other parts of a light request are answered within 4 ms. Its part at a stalled server must
/// be detected by this time and not by the usual call time.
#[test]
fn straggler_of_a_light_request_is_hedged_early() {
    let mut harness = learned_harness();
    harness.deliver_work(sweep(1000));
    let calls = harness.sent();
    harness.advance(4);
    calls[1..].iter().for_each(|sent| answer(&mut harness, sent));
    harness.advance(4);
    assert_eq!(hedges(&harness), 1);
}

/// Guards against hedges that bring a poison request to the other replica of each shard.
#[test]
fn no_part_is_hedged_before_one_is_answered() {
    let mut harness = learned_harness();
    harness.deliver_work(sweep(1000));
    let calls = harness.sent();
    harness.advance(100);
    assert_eq!(hedges(&harness), 0);
    answer(&mut harness, &calls[0]);
    harness.advance(30);
    assert!(hedges(&harness) > 0, "an answered request crashes no server");
}

/// Most servers stall, so there is no median call time to compare with. Hedges must still be sent
/// while they can be in time.
#[test]
fn stalled_parts_are_hedged_when_most_servers_stall() {
    let mut harness = learned_harness();
    harness.deliver_work(sweep(1000));
    let calls = harness.sent();
    harness.advance(10);
    calls[6..].iter().for_each(|sent| answer(&mut harness, sent));
    harness.advance(50);
    assert_eq!(hedges(&harness), 6);
}
