//! Tests of the partial aggregation of the replies of a sweep.

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

use crate::harness::{Harness, SentCall, cancel, server, service, settings, work};

/// Number of parts of the sweep, each at its own service.
const PARTS: usize = 4;
/// Number of records that the sweep wants.
const TOP: usize = 2;
/// Time in milliseconds after which the entry instance wants the replies collected so far.
const TIMELY_MS: u64 = 60;

fn part(number: usize) -> String {
    format!("part-{number}")
}

/// A harness that owns the services of all parts, each with one server.
fn harness() -> Harness {
    let mut harness = Harness::unconnected(settings(), service(vec![server(9)]));
    let mut view = View { generation: 2, ready: true, ..View::default() };
    for number in 0..PARTS {
        let mut only = server(number as u8);
        only.name = format!("{}-1", part(number)).into();
        view.insert(Service { name: part(number).as_str().into(), ..service(vec![only]) });
    }
    harness.handle(Event::View(Arc::new(view)));
    harness.connect();
    harness.log.clear();
    harness
}

/// The work of a sweep: one portion for each part.
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

/// A record of 16 equal bytes.
fn record(byte: u8) -> Vec<u8> {
    vec![byte; 16]
}

/// A response with one record for each of these bytes.
fn response(sent: &SentCall, bytes: &[u8]) -> Outcome {
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

/// Summary of one reply: its part, the number of merged replies, and the first byte of each record.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReplySummary {
    part: String,
    verdict: Verdict,
    merged: u32,
    records: Vec<u8>,
    stamp: String,
}

fn summaries(harness: &Harness) -> Vec<ReplySummary> {
    let replies = harness.log.iter().filter_map(|action| match action {
        Action::Reply { reply, .. } => Some(reply),
        _ => None,
    });
    let summaries = replies.map(|reply| {
        let response = reply.parts.first().and_then(|part| part.response.clone());
        let response = response.unwrap_or_default();
        ReplySummary {
            part: reply.service.clone(),
            verdict: reply.verdict(),
            merged: reply.merged,
            records: response.body.chunks_exact(16).map(|record| record[0]).collect(),
            stamp: response.stamp,
        }
    });
    summaries.collect()
}

fn pending_reports(harness: &Harness) -> usize {
    harness.log.iter().filter(|action| matches!(action, Action::Pending { .. })).count()
}

/// Starts a sweep and returns its calls in the order of their parts.
fn start_sweep(harness: &mut Harness, query: u64) -> Vec<SentCall> {
    harness.deliver_work(sweep(query, 1));
    let mut sent = harness.sent();
    sent.sort_by(|a, b| a.request.shards.cmp(&b.request.shards));
    harness.log.clear();
    sent
}

fn ran(part: &str, merged: u32, records: &[u8]) -> ReplySummary {
    ReplySummary {
        part: part.to_owned(),
        verdict: Verdict::Ran,
        merged,
        records: records.to_vec(),
        stamp: format!("signed by {part}"),
    }
}

/// The entry instance is in another zone. It gets one message when all parts are answered: the
/// signature of each part, and once the greatest records of all parts.
#[test]
fn complete_sweep_is_sent_as_one_merged_group() {
    let mut harness = harness();
    let sent = start_sweep(&mut harness, 1);
    let bodies: [&[u8]; PARTS] = [&[5, 1], &[9, 3], &[], &[7]];
    for (call, body) in sent.iter().zip(bodies) {
        assert!(summaries(&harness).is_empty(), "no reply is sent before all parts are answered");
        harness.end_call(call.attempt, response(call, body));
    }
    let expected = [
        ran("part-0", 4, &[9, 7]),
        ran("part-1", 0, &[]),
        ran("part-2", 0, &[]),
        ran("part-3", 0, &[]),
    ];
    assert_eq!(summaries(&harness), expected);
    assert_eq!(pending_reports(&harness), 0);
}

/// The entry instance computes the network delay between the instances from the time for which the
/// replies were held.
#[test]
fn aggregation_reports_how_long_it_held_replies() {
    let mut harness = harness();
    let sent = start_sweep(&mut harness, 1);
    harness.advance(25);
    for call in &sent {
        harness.end_call(call.attempt, response(call, &[1]));
    }
    let held = harness.log.iter().filter_map(|action| match action {
        Action::Reply { reply, .. } => Some(reply.held_us),
        _ => None,
    });
    assert_eq!(held.collect::<Vec<_>>(), [25_000, 0, 0, 0]);
}

/// Some servers are slow. When the time of the aggregation is over, the entry instance gets the
/// replies collected so far and a report that others are pending; later replies are sent as they
/// arrive.
#[test]
fn collected_replies_are_sent_when_the_time_is_over() {
    let mut harness = harness();
    let sent = start_sweep(&mut harness, 1);
    harness.advance(10);
    for call in &sent[..2] {
        harness.end_call(call.attempt, response(call, &[4, 2]));
    }
    harness.advance(TIMELY_MS - 11);
    assert!(summaries(&harness).is_empty());
    harness.advance(2);
    assert_eq!(summaries(&harness), [ran("part-0", 2, &[4, 4]), ran("part-1", 0, &[])]);
    assert_eq!(pending_reports(&harness), 1);
    harness.log.clear();
    for call in &sent[2..] {
        harness.end_call(call.attempt, response(call, &[3, 6]));
        assert_eq!(summaries(&harness).len(), 1, "a late reply is sent at once");
        assert_eq!(summaries(&harness)[0].merged, 0);
        harness.log.clear();
    }
    assert_eq!(harness.machine.open(), 0);
}

/// Without any reply, the entry instance still gets a report at the end of the time, which shows
/// that this instance is alive.
#[test]
fn pending_is_reported_without_any_reply() {
    let mut harness = harness();
    start_sweep(&mut harness, 1);
    harness.advance(TIMELY_MS + 1);
    assert_eq!((summaries(&harness).len(), pending_reports(&harness)), (0, 1));
}

/// A refusal is sent at once, because the entry instance may send the part to another instance and
/// has little time left.
#[test]
fn refusals_are_sent_at_once() {
    let mut harness = harness();
    let mut work = sweep(1, 1);
    work.portions[0].service = "unknown".to_owned();
    harness.deliver_work(work);
    let refused = summaries(&harness);
    assert_eq!(refused.len(), 1);
    assert_eq!((&*refused[0].part, refused[0].verdict), ("unknown", Verdict::NotRun));
    let sent = harness.sent();
    harness.log.clear();
    for call in &sent {
        harness.end_call(call.attempt, response(call, &[1]));
    }
    let merged: Vec<u32> = summaries(&harness).iter().map(|summary| summary.merged).collect();
    assert_eq!(merged, [3, 0, 0], "the refusal does not delay the other replies");
}

/// When the entry instance cancels its query, the collected replies are dropped.
#[test]
fn cancelled_query_drops_its_aggregation() {
    let mut harness = harness();
    let sent = start_sweep(&mut harness, 1);
    harness.end_call(sent[0].attempt, response(&sent[0], &[1]));
    harness.handle(cancel(1));
    let verdicts: Vec<Verdict> =
        summaries(&harness).iter().map(|summary| summary.verdict).collect();
    assert_eq!(verdicts, [Verdict::MayHaveRun; PARTS - 1]);
    harness.log.clear();
    harness.advance(TIMELY_MS + 1);
    assert_eq!((summaries(&harness).len(), pending_reports(&harness)), (0, 0));
}

/// The network delivers the work twice. The aggregation must not wait for portions that will never
/// get a reply.
#[test]
fn repeated_delivery_is_not_awaited() {
    let mut harness = harness();
    let sent = start_sweep(&mut harness, 1);
    harness.deliver_work(sweep(1, 1));
    assert!(harness.sent().is_empty());
    for call in &sent {
        harness.end_call(call.attempt, response(call, &[1]));
    }
    assert_eq!(summaries(&harness).len(), PARTS);
    harness.log.clear();
    harness.advance(TIMELY_MS + 1);
    assert_eq!((summaries(&harness).len(), pending_reports(&harness)), (0, 0));
}

/// One step of the simulation; each number selects among the existing items, modulo their count.
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

/// Checks all replies of a simulation.
#[derive(Default)]
struct ReplyChecker {
    /// Records in the answer of each part, by query and part.
    answered: Map<(u64, String), Vec<u8>>,
    replied: Map<(u64, String), u32>,
}

impl ReplyChecker {
    fn check(&mut self, actions: &[Action]) {
        let mut replies = actions.iter().filter_map(|action| match action {
            Action::Reply { reply, .. } => Some(reply),
            _ => None,
        });
        while let Some(first) = replies.next() {
            let count = first.merged.max(1) as usize;
            let mut group = vec![first];
            group.extend(replies.by_ref().take(count - 1));
            assert_eq!(group.len(), count, "an aggregation is sent as a whole");
            self.check_group(&group);
        }
    }

    fn check_group(&mut self, group: &[&wire::Reply]) {
        let mut expected = Vec::new();
        for reply in group {
            let name = (reply.query, reply.service.clone());
            *self.replied.entry(name.clone()).or_default() += 1;
            assert_eq!(self.replied[&name], 1, "{name:?} gets one reply");
            if reply.verdict() == Verdict::Ran {
                expected.extend(self.answered[&name].iter().copied());
            }
        }
        let bodies = group.iter().flat_map(|reply| &reply.parts);
        let bodies = bodies.filter_map(|part| part.response.as_ref());
        let mut actual: Vec<u8> = bodies
            .flat_map(|response| response.body.chunks_exact(16))
            .map(|record| record[0])
            .collect();
        if group.len() > 1 {
            expected.sort_unstable_by(|a, b| b.cmp(a));
            expected.truncate(TOP);
        }
        actual.sort_unstable();
        expected.sort_unstable();
        assert_eq!(actual, expected, "the greatest records, each as often as it was answered");
    }
}

fn simulate(steps: &[Step]) {
    let mut harness = harness();
    let mut checker = ReplyChecker::default();
    let mut calls: Vec<SentCall> = Vec::new();
    let mut queries = Map::default();
    for step in steps {
        harness.log.clear();
        match *step {
            Step::Sweep { query } => {
                harness.deliver_work(sweep(query.into(), 1));
                queries.insert(u64::from(query), ());
            }
            Step::Answer { call, records } => {
                if let Some(call) = take_call(&mut calls, call) {
                    let name = (query_number(&call), call.request.shards[0].clone());
                    // If a part was hedged, its first answer counts.
                    checker.answered.entry(name).or_insert_with(|| records.to_vec());
                    harness.end_call(call.attempt, response(&call, &records));
                }
            }
            Step::Shed(call) => {
                if let Some(call) = take_call(&mut calls, call) {
                    harness.end_call(call.attempt, call.refusal(Reason::TargetShed, 1));
                }
            }
            Step::Fail(call) => {
                if let Some(call) = take_call(&mut calls, call) {
                    harness.end_call(call.attempt, Outcome::Lost);
                }
            }
            Step::Wait(millis) => harness.advance(millis.into()),
            Step::Cancel { query } => harness.handle(cancel(query.into())),
            Step::Drain => harness.handle(Event::Drain),
        }
        calls.extend(harness.sent());
        checker.check(&harness.log);
        harness.log.clear();
        harness.connect();
    }
    harness.log.clear();
    harness.advance(1000);
    checker.check(&harness.log);
    assert_eq!(harness.machine.open(), 0);
    let cancelled = |query: &u64| {
        let query = u8::try_from(*query).unwrap_or_default();
        steps
            .iter()
            .any(|step| matches!(step, Step::Cancel { query: cancelled } if *cancelled == query))
    };
    for query in queries.keys().filter(|query| !cancelled(query)) {
        let replied = (0..PARTS).filter(|at| checker.replied.contains_key(&(*query, part(*at))));
        assert_eq!(replied.count(), PARTS, "every part of query {query} gets a reply");
    }
}

fn take_call(calls: &mut Vec<SentCall>, which: u8) -> Option<SentCall> {
    (!calls.is_empty()).then(|| calls.remove(usize::from(which) % calls.len()))
}

/// Query number of a call, from its request key.
fn query_number(sent: &SentCall) -> u64 {
    let key = sent.request.key.trim_start_matches("key-");
    key.parse().expect("a number")
}

/// Whichever way and whenever calls end, every part gets exactly one reply, and the records of an
/// aggregation are the greatest of exactly the parts that it names.
#[test]
fn every_part_gets_one_reply_and_records_merge_exactly() {
    ladder_property::check(3000).with_type::<Vec<Step>>().for_each(|steps| simulate(steps));
}
