//! Second copies of the parts of one sweep, judged by the other parts.
//!
//! The pattern: the work of a request is much the same at every shard, and differs between requests by
//! more than servers differ. A request that is heavy everywhere is no straggler anywhere.

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

use crate::bed::{Bed, Sent, limited, server, work};

/// Services of a sweep.
const PARTS: usize = 9;
/// What requests take at a server while call times are learned, in milliseconds.
const USUAL: [u64; 5] = [7, 9, 10, 12, 14];

fn name(part: usize) -> String {
    format!("docks-{part}")
}

/// A machine that asks two servers for each part.
fn bed() -> Bed {
    let settings = Settings::builder("porto-1", 7).seed(1).build();
    let mut bed = Bed::cold(settings, limited(Limits::default(), Vec::new()));
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
    bed.handle(Event::View(Arc::new(view)));
    bed.connect();
    bed
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

fn answer(bed: &mut Bed, sent: &Sent) {
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
    bed.end(sent.attempt, Outcome::Answer(answer));
}

/// A bed that has learned how long requests usually take.
fn learned() -> Bed {
    let mut bed = bed();
    for query in 0..40 {
        bed.log.clear();
        bed.work(sweep(query));
        bed.advance(USUAL[query as usize % USUAL.len()]);
        bed.each_sent(answer);
    }
    bed.log.clear();
    bed
}

fn copies(bed: &Bed) -> usize {
    bed.counted(count::Event::Hedge, Reason::Hedge)
}

/// What a sweep's parts take, and which copies follow.
struct Case {
    name: &'static str,
    /// What all parts take but those that stand still, in milliseconds.
    takes: u64,
    /// Parts whose server stands still.
    still: usize,
    /// Copies when the others have long answered.
    copies: usize,
}

/// A request took 15 ms at each of 87 shards where others take 11. All of its calls counted as slow at
/// the same moment and got second copies, most of them to the other zone: 15 in 100 calls were such
/// copies, and the few parts that waited for a server that stood still found the budget spent. A part is
/// slow when it lags behind the others of its sweep.
#[test]
fn parts_are_copied_that_lag_behind_the_others() {
    let cases = [
        Case { name: "all as usual", takes: 10, still: 0, copies: 0 },
        Case { name: "heavy everywhere", takes: 25, still: 0, copies: 0 },
        Case { name: "one stands still", takes: 10, still: 1, copies: 1 },
        Case { name: "heavy, and two stand still", takes: 18, still: 2, copies: 2 },
    ];
    for Case { name, takes, still, copies: expected } in cases {
        let mut bed = learned();
        bed.work(sweep(1000));
        let calls = bed.sent();
        assert_eq!(calls.len(), PARTS, "{name}");
        bed.advance(takes);
        assert_eq!(copies(&bed), 0, "{name}: before any part has answered");
        calls[still..].iter().for_each(|sent| answer(&mut bed, sent));
        bed.advance(takes);
        assert_eq!(copies(&bed), expected, "{name}");
    }
}

/// A light request is over elsewhere in 4 ms. Its part at a server that stands still is found out by
/// that, and not by what requests usually take.
#[test]
fn stragglers_of_light_requests_are_found_out_early() {
    let mut bed = learned();
    bed.work(sweep(1000));
    let calls = bed.sent();
    bed.advance(4);
    calls[1..].iter().for_each(|sent| answer(&mut bed, sent));
    bed.advance(4);
    assert_eq!(copies(&bed), 1);
}

/// Guards against a request that ends its servers and reaches the other replica of each shard by copies.
#[test]
fn parts_are_not_copied_before_one_is_answered() {
    let mut bed = learned();
    bed.work(sweep(1000));
    let calls = bed.sent();
    bed.advance(100);
    assert_eq!(copies(&bed), 0);
    answer(&mut bed, &calls[0]);
    bed.advance(30);
    assert!(copies(&bed) > 0, "it harms no server");
}

/// Most servers stand still, so that there is nothing to compare with. Copies go out all the same while
/// they can still be in time.
#[test]
fn parts_are_copied_when_most_stand_still() {
    let mut bed = learned();
    bed.work(sweep(1000));
    let calls = bed.sent();
    bed.advance(10);
    calls[6..].iter().for_each(|sent| answer(&mut bed, sent));
    bed.advance(50);
    assert_eq!(copies(&bed), 6);
}
