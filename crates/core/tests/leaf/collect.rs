//! Portions of a sweep whose replies are collected and merged.

use std::sync::Arc;

use bolero::TypeGenerator;
use bytes::Bytes;
use ladder_core::collections::Map;
use ladder_core::leaf::event::Outcome;
use ladder_core::leaf::{Action, Event};
use ladder_core::schema::call::{Message, Part, Response};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::{target, wire};
use ladder_core::view::{Service, View};

use crate::bed::{Bed, Sent, cancel, server, service, settings, work};

/// Services of the sweep.
const PARTS: usize = 4;
/// Records that the sweep wants.
const TOP: usize = 2;
/// Time until the entry wants what is there.
const TIMELY_MS: u64 = 60;

fn part(number: usize) -> String {
    format!("part-{number}")
}

/// A machine that may work on all parts, each with one server.
fn bed() -> Bed {
    let mut bed = Bed::cold(settings(), service(vec![server(9)]));
    let mut view = View { generation: 2, ready: true, ..View::default() };
    for number in 0..PARTS {
        let mut only = server(number as u8);
        only.name = format!("{}-1", part(number)).into();
        view.insert(Service { name: part(number).as_str().into(), ..service(vec![only]) });
    }
    bed.handle(Event::View(Arc::new(view)));
    bed.connect();
    bed.log.clear();
    bed
}

/// The sweep's work: one portion for each part.
fn sweep(query: u64, round: u32) -> wire::Work {
    let forward = wire::Forward {
        message: Some(Message::default()),
        attempts: 2,
        part: true,
        ..wire::Forward::default()
    };
    let portion = |number| wire::Portion {
        service: part(number),
        shards: vec![part(number)],
        repeated: false,
        eligible: None,
    };
    wire::Work {
        round,
        forward: Some(Box::new(forward)),
        portions: (0..PARTS).map(portion).collect(),
        collect: Some(wire::Collect { top: TOP as u32, timely_us: TIMELY_MS * 1000 }),
        ..work(query, "sweep")
    }
}

/// A record of one kind of byte.
fn record(byte: u8) -> Vec<u8> {
    vec![byte; 16]
}

/// A response of the records named by these bytes.
fn response(sent: &Sent, bytes: &[u8]) -> Outcome {
    let body: Vec<u8> = bytes.iter().flat_map(|byte| record(*byte)).collect();
    let response = Response {
        status: 200,
        body: Bytes::from(body),
        stamp: format!("signed by {}", sent.request.shards[0]),
        ..Response::default()
    };
    let shard = sent.request.shards[0].clone();
    Outcome::Answer(target::Answer {
        id: sent.request.id.clone(),
        index: sent.request.index.clone(),
        version: sent.request.version,
        parts: vec![Part { shard, response: Some(response), ..Part::default() }],
        occupancy: None,
    })
}

/// One reply in short: its part, how many it is merged of, the first byte of each record.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Told {
    part: String,
    verdict: Verdict,
    merged: u32,
    records: Vec<u8>,
    stamp: String,
}

fn told(bed: &Bed) -> Vec<Told> {
    let replies = bed.log.iter().filter_map(|action| match action {
        Action::Reply { reply, .. } => Some(reply),
        _ => None,
    });
    let told = replies.map(|reply| {
        let response = reply.parts.first().and_then(|part| part.response.clone());
        let response = response.unwrap_or_default();
        Told {
            part: reply.service.clone(),
            verdict: reply.verdict(),
            merged: reply.merged,
            records: response.body.chunks_exact(16).map(|record| record[0]).collect(),
            stamp: response.stamp,
        }
    });
    told.collect()
}

fn pending(bed: &Bed) -> usize {
    bed.log.iter().filter(|action| matches!(action, Action::Pending { .. })).count()
}

/// The calls of a sweep in order of their parts.
fn started(bed: &mut Bed, query: u64) -> Vec<Sent> {
    bed.work(sweep(query, 1));
    let mut sent = bed.sent();
    sent.sort_by(|a, b| a.request.shards.cmp(&b.request.shards));
    bed.log.clear();
    sent
}

fn ran(part: &str, merged: u32, records: &[u8]) -> Told {
    Told {
        part: part.to_owned(),
        verdict: Verdict::Ran,
        merged,
        records: records.to_vec(),
        stamp: format!("signed by {part}"),
    }
}

/// The entry stands in another zone. It gets one message when all parts are there: each with its
/// signature, and the greatest records of all of them once.
#[test]
fn parts_go_back_together() {
    let mut bed = bed();
    let sent = started(&mut bed, 1);
    let bodies: [&[u8]; PARTS] = [&[5, 1], &[9, 3], &[], &[7]];
    for (call, body) in sent.iter().zip(bodies) {
        assert!(told(&bed).is_empty(), "nothing goes back early");
        bed.end(call.attempt, response(call, body));
    }
    let expected = [
        ran("part-0", 4, &[9, 7]),
        ran("part-1", 0, &[]),
        ran("part-2", 0, &[]),
        ran("part-3", 0, &[]),
    ];
    assert_eq!(told(&bed), expected);
    assert_eq!(pending(&bed), 0);
}

/// Both ways between the instances are what a collection took beside the time that it was held for.
#[test]
fn collection_says_how_long_it_was_held() {
    let mut bed = bed();
    let sent = started(&mut bed, 1);
    bed.advance(25);
    for call in &sent {
        bed.end(call.attempt, response(call, &[1]));
    }
    let held = bed.log.iter().filter_map(|action| match action {
        Action::Reply { reply, .. } => Some(reply.held_us),
        _ => None,
    });
    assert_eq!(held.collect::<Vec<_>>(), [25_000, 0, 0, 0]);
}

/// Some servers are slow. When the entry's time comes it gets what is there and hears that the rest
/// is still awaited; the rest goes back as it comes.
#[test]
fn what_is_there_goes_back_in_time() {
    let mut bed = bed();
    let sent = started(&mut bed, 1);
    bed.advance(10);
    for call in &sent[..2] {
        bed.end(call.attempt, response(call, &[4, 2]));
    }
    bed.advance(TIMELY_MS - 11);
    assert!(told(&bed).is_empty());
    bed.advance(2);
    assert_eq!(told(&bed), [ran("part-0", 2, &[4, 4]), ran("part-1", 0, &[])]);
    assert_eq!(pending(&bed), 1);
    bed.log.clear();
    for call in &sent[2..] {
        bed.end(call.attempt, response(call, &[3, 6]));
        assert_eq!(told(&bed).len(), 1, "at once");
        assert_eq!(told(&bed)[0].merged, 0);
        bed.log.clear();
    }
    assert_eq!(bed.machine.open(), 0);
}

/// The entry hears at its time that nothing is there yet, so that it knows that this instance lives.
#[test]
fn empty_collection_speaks() {
    let mut bed = bed();
    started(&mut bed, 1);
    bed.advance(TIMELY_MS + 1);
    assert_eq!((told(&bed).len(), pending(&bed)), (0, 1));
}

/// A refusal goes back at once: another instance may do better, and there is little time.
#[test]
fn refusals_are_not_collected() {
    let mut bed = bed();
    let mut work = sweep(1, 1);
    work.portions[0].service = "unknown".to_owned();
    bed.work(work);
    let refused = told(&bed);
    assert_eq!(refused.len(), 1);
    assert_eq!((&*refused[0].part, refused[0].verdict), ("unknown", Verdict::NotRun));
    let sent = bed.sent();
    bed.log.clear();
    for call in &sent {
        bed.end(call.attempt, response(call, &[1]));
    }
    let merged: Vec<u32> = told(&bed).iter().map(|told| told.merged).collect();
    assert_eq!(merged, [3, 0, 0], "the others are not held up by it");
}

/// The entry gives its query up: what was collected for it is of no use.
#[test]
fn cancelled_collection_is_dropped() {
    let mut bed = bed();
    let sent = started(&mut bed, 1);
    bed.end(sent[0].attempt, response(&sent[0], &[1]));
    bed.handle(cancel(1));
    let verdicts: Vec<Verdict> = told(&bed).iter().map(|told| told.verdict).collect();
    assert_eq!(verdicts, [Verdict::MayHaveRun; PARTS - 1]);
    bed.log.clear();
    bed.advance(TIMELY_MS + 1);
    assert_eq!((told(&bed).len(), pending(&bed)), (0, 0));
}

/// The network delivers the work twice. No part is waited for that will never be replied to.
#[test]
fn second_delivery_is_not_waited_for() {
    let mut bed = bed();
    let sent = started(&mut bed, 1);
    bed.work(sweep(1, 1));
    assert!(bed.sent().is_empty());
    for call in &sent {
        bed.end(call.attempt, response(call, &[1]));
    }
    assert_eq!(told(&bed).len(), PARTS);
    bed.log.clear();
    bed.advance(TIMELY_MS + 1);
    assert_eq!((told(&bed).len(), pending(&bed)), (0, 0));
}

/// One step of a run; numbers choose among what there is.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Step {
    Sweep { query: u8 },
    Answer { call: u8, records: [u8; 3] },
    Shed(u8),
    Fail(u8),
    Wait(u8),
    Cancel { query: u8 },
    Drain,
}

/// Checks all replies of a run.
#[derive(Default)]
struct Ledger {
    /// Records that each part of each query answered.
    answered: Map<(u64, String), Vec<u8>>,
    replied: Map<(u64, String), u32>,
}

impl Ledger {
    fn check(&mut self, actions: &[Action]) {
        let mut replies = actions.iter().filter_map(|action| match action {
            Action::Reply { reply, .. } => Some(reply),
            _ => None,
        });
        while let Some(first) = replies.next() {
            let count = first.merged.max(1) as usize;
            let mut group = vec![first];
            group.extend(replies.by_ref().take(count - 1));
            assert_eq!(group.len(), count, "a collection is whole");
            self.check_group(&group);
        }
    }

    fn check_group(&mut self, group: &[&wire::Reply]) {
        let mut expected = Vec::new();
        for reply in group {
            let name = (reply.query, reply.service.clone());
            *self.replied.entry(name.clone()).or_default() += 1;
            assert_eq!(self.replied[&name], 1, "{name:?} is replied to once");
            if reply.verdict() == Verdict::Ran {
                expected.extend(self.answered[&name].iter().copied());
            }
        }
        let bodies = group.iter().flat_map(|reply| &reply.parts);
        let bodies = bodies.filter_map(|part| part.response.as_ref());
        let mut given: Vec<u8> = bodies
            .flat_map(|response| response.body.chunks_exact(16))
            .map(|record| record[0])
            .collect();
        if group.len() > 1 {
            expected.sort_unstable_by(|a, b| b.cmp(a));
            expected.truncate(TOP);
        }
        given.sort_unstable();
        expected.sort_unstable();
        assert_eq!(given, expected, "the greatest records, each as often as it was answered");
    }
}

fn run(steps: &[Step]) {
    let mut bed = bed();
    let mut ledger = Ledger::default();
    let mut calls: Vec<Sent> = Vec::new();
    let mut asked = Map::default();
    for step in steps {
        bed.log.clear();
        match *step {
            Step::Sweep { query } => {
                bed.work(sweep(query.into(), 1));
                asked.insert(u64::from(query), ());
            }
            Step::Answer { call, records } => {
                if let Some(call) = take(&mut calls, call) {
                    let name = (query_of(&call), call.request.shards[0].clone());
                    // Of two copies of one part the first answer counts.
                    ledger.answered.entry(name).or_insert_with(|| records.to_vec());
                    bed.end(call.attempt, response(&call, &records));
                }
            }
            Step::Shed(call) => {
                if let Some(call) = take(&mut calls, call) {
                    bed.end(call.attempt, call.refusal(Reason::TargetShed, 1));
                }
            }
            Step::Fail(call) => {
                if let Some(call) = take(&mut calls, call) {
                    bed.end(call.attempt, Outcome::Lost);
                }
            }
            Step::Wait(millis) => bed.advance(millis.into()),
            Step::Cancel { query } => bed.handle(cancel(query.into())),
            Step::Drain => bed.handle(Event::Drain),
        }
        calls.extend(bed.sent());
        ledger.check(&bed.log);
        bed.log.clear();
        bed.connect();
    }
    bed.log.clear();
    bed.advance(1000);
    ledger.check(&bed.log);
    assert_eq!(bed.machine.open(), 0);
    let cancelled = |query: &u64| {
        let query = u8::try_from(*query).unwrap_or_default();
        steps.iter().any(|step| matches!(step, Step::Cancel { query: given } if *given == query))
    };
    for query in asked.keys().filter(|query| !cancelled(query)) {
        let replied = (0..PARTS).filter(|at| ledger.replied.contains_key(&(*query, part(*at))));
        assert_eq!(replied.count(), PARTS, "every part of {query} is replied to");
    }
}

fn take(calls: &mut Vec<Sent>, which: u8) -> Option<Sent> {
    (!calls.is_empty()).then(|| calls.remove(usize::from(which) % calls.len()))
}

/// The key of a request names its query.
fn query_of(sent: &Sent) -> u64 {
    let key = sent.request.key.trim_start_matches("key-");
    key.parse().expect("a number")
}

/// Whatever ends how and when: every part is replied to once, and the records of a collection are
/// the greatest of exactly the parts that it names.
#[test]
fn any_order_of_ends_keeps_collections_whole() {
    ladder_property::check(3000).with_type::<Vec<Step>>().for_each(|steps| run(steps));
}
