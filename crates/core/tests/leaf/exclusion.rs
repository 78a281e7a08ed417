//! Tests that excluded servers get no new work, whatever the kind of call.

use bolero::TypeGenerator;
use ladder_core::collections::Set;
use ladder_core::leaf::event::Outcome;
use ladder_core::leaf::exclusion::{Exclusion, Facts};
use ladder_core::leaf::status::State;
use ladder_core::leaf::{Action, Event};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::target;
use ladder_core::view::Server;

use crate::harness::{Harness, SentCall, server, service, settings, view, work};
use crate::open_calls::{End, OpenCalls};

const USABLE: Facts =
    Facts { listed: true, share: 6, leaving: false, evacuated: false, at_warmup_limit: false };

struct Case {
    facts: Facts,
    exclusion: Option<Exclusion>,
}

#[test]
fn longest_lasting_reason_is_returned() {
    let cases = [
        Case { facts: USABLE, exclusion: None },
        Case { facts: Facts { share: 0, ..USABLE }, exclusion: Some(Exclusion::NoShare) },
        Case {
            facts: Facts { at_warmup_limit: true, ..USABLE },
            exclusion: Some(Exclusion::Warming),
        },
        Case {
            facts: Facts { at_warmup_limit: true, evacuated: true, ..USABLE },
            exclusion: Some(Exclusion::Evacuated),
        },
        Case { facts: Facts { evacuated: true, ..USABLE }, exclusion: Some(Exclusion::Evacuated) },
        Case {
            facts: Facts { evacuated: true, share: 0, ..USABLE },
            exclusion: Some(Exclusion::Evacuated),
        },
        Case {
            facts: Facts { evacuated: true, leaving: true, ..USABLE },
            exclusion: Some(Exclusion::Leaving),
        },
        Case {
            facts: Facts {
                listed: false,
                leaving: true,
                evacuated: true,
                share: 0,
                at_warmup_limit: true,
            },
            exclusion: Some(Exclusion::Unlisted),
        },
    ];
    for Case { facts, exclusion } in cases {
        assert_eq!(facts.exclusion(), exclusion, "{facts:?}");
    }
}

/// View of two servers in different zones; the zone of the first server may be evacuated.
fn servers(evacuated: bool) -> Event {
    let first = Server { zone: "campanha".into(), evacuated, ..server(1) };
    view(service(vec![first, server(2)]))
}

/// Actions that lead to a call at the first server unless its zone is evacuated.
struct CallPath {
    name: &'static str,
    /// Actions before the evacuation.
    before: fn(&mut Harness),
    /// Actions after the evacuation.
    after: fn(&mut Harness),
}

fn sweeps(harness: &mut Harness) {
    harness.deliver_sweeps(10..30);
    harness.end_each_call(|harness, sent| {
        harness.advance(1);
        harness.answer(sent);
    });
}

/// Guards against sending to an evacuated zone by a kind of call that does not check the
/// evacuation.
#[test]
fn evacuated_zone_gets_no_new_calls() {
    let call_paths = [
        CallPath { name: "first calls", before: |_| {}, after: sweeps },
        CallPath {
            name: "queued work",
            before: |harness| harness.deliver_sweeps(10..30),
            after: |harness| harness.advance(1),
        },
        CallPath {
            name: "retries",
            before: |harness| harness.deliver_sweeps(10..14),
            after: |harness| {
                harness.end_each_call(|harness, sent| match &*sent.address {
                    "10.0.0.2:80" => harness.end_call(sent.attempt, Outcome::Lost),
                    _ => harness.answer(sent),
                });
            },
        },
        CallPath {
            name: "hedges",
            before: |harness| harness.learn_call_times(60, 5),
            after: |harness| {
                harness.deliver_sweeps([40]);
                harness.advance(200);
            },
        },
        CallPath { name: "load reports", before: |_| {}, after: |harness| harness.advance(5_000) },
    ];
    for CallPath { name, before, after } in call_paths {
        let mut harness = Harness::connected(settings(), service(vec![]));
        harness.handle(servers(false));
        harness.connect();
        before(&mut harness);
        harness.handle(servers(true));
        let connections: Set<_> =
            harness.opened.iter().filter(|(_, to)| &**to == "10.0.0.1:80").collect();
        let connections: Set<_> =
            connections.into_iter().map(|(connection, _)| *connection).collect();
        let calls = harness.sent();
        harness.log.clear();
        for sent in calls.iter().filter(|sent| connections.contains(&sent.connection)) {
            harness.answer(sent);
        }
        after(&mut harness);
        let reaches = |action: &&Action| match action {
            Action::Send { connection, .. } | Action::Probe { connection, .. } => {
                connections.contains(connection)
            }
            Action::Open { address, .. } => &**address == "10.0.0.1:80",
            _ => false,
        };
        let reached = harness.log.iter().filter(reaches).count();
        assert_eq!(reached, 0, "{name}");
    }
}

/// Guards against aborting calls that run in a zone when it is evacuated, and against never using
/// the zone again.
#[test]
fn evacuation_keeps_open_calls_and_can_be_lifted() {
    let mut harness = Harness::connected(settings(), service(vec![]));
    harness.handle(servers(false));
    harness.connect();
    harness.deliver_sweeps(1..4);
    let open: Vec<SentCall> = harness.sent();
    assert!(open.iter().any(|sent| &*sent.address == "10.0.0.1:80"));
    harness.log.clear();
    harness.handle(servers(true));
    let status = harness.machine.status(harness.now);
    assert_eq!(status[0].servers[0].state, State::Evacuated);
    harness.answer_all(open.clone());
    let answered = harness.replies().iter().filter(|(verdict, _)| *verdict == Verdict::Ran).count();
    assert_eq!(answered, open.len());
    harness.handle(servers(false));
    harness.connect();
    sweeps(&mut harness);
    assert!(harness.sent().iter().any(|sent| &*sent.address == "10.0.0.1:80"), "used again");
}

/// Guards against keeping work in the queue until its deadline when all of its servers are
/// evacuated.
#[test]
fn work_without_another_zone_is_refused_at_once() {
    let all = |evacuated| {
        let one = |number| Server { evacuated, ..server(number) };
        view(service(vec![one(1), one(2)]))
    };
    let refused = (Verdict::NotRun, Reason::Evacuated);
    let mut harness = Harness::connected(settings(), service(vec![]));
    harness.handle(all(false));
    harness.connect();
    harness.deliver_sweeps(1..20);
    let open = harness.sent().len();
    harness.log.clear();
    harness.handle(all(true));
    assert_eq!(harness.replies(), vec![refused; 19 - open], "queued work");
    harness.log.clear();
    harness.deliver_sweeps([30]);
    assert_eq!(harness.replies(), [refused], "new work");
    assert!(harness.sent().is_empty());
}

/// Event for a machine with servers in three zones.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Step {
    Work,
    /// The operator evacuates the zones with these bits set.
    Evacuate(u8),
    End(u8, End),
    Wait(u8),
    Connect,
}

/// View of three servers in one zone each; the bits of `evacuated` select the evacuated zones.
fn zones(evacuated: u8) -> Event {
    let one = |number: u8| Server { evacuated: evacuated >> number & 1 == 1, ..server(number) };
    view(service((0..3).map(one).collect()))
}

/// Guards against an order of events in which a call goes to an evacuated zone.
#[test]
fn no_order_of_events_sends_to_an_evacuated_zone() {
    ladder_property::check(300)
        .with_generator(bolero::produce::<Vec<Step>>().with().len(0_usize..=80))
        .for_each(|steps| {
            let mut harness = Harness::connected(settings(), service(vec![]));
            harness.handle(zones(0));
            harness.connect();
            let mut evacuated = 0;
            let mut open = OpenCalls::default();
            for (number, step) in (1..).zip(steps) {
                open.record_connections(&harness);
                harness.log.clear();
                match *step {
                    Step::Work => harness.deliver_work(work(number, "sweep")),
                    Step::Evacuate(which) => {
                        evacuated = which % 8;
                        harness.handle(zones(evacuated));
                    }
                    Step::Wait(millis) => harness.advance(millis.into()),
                    Step::Connect => harness.connect(),
                    Step::End(at, end) => open.end_call(&mut harness, at, end),
                }
                for address in open.add_sent_calls(&harness) {
                    let zone: u8 = address["10.0.0.".len()..address.len() - 3].parse().unwrap();
                    assert!(evacuated >> zone & 1 == 0, "{address} in {evacuated:03b}");
                }
            }
        });
}

/// A server may report by itself that it is not leaving; such a report must not lift the evacuation
/// of its zone.
#[test]
fn load_report_does_not_lift_an_evacuation() {
    let mut harness = Harness::connected(settings(), service(vec![]));
    harness.handle(servers(true));
    let load = target::Load { incarnation: 2, ..target::Load::default() };
    harness.handle(Event::Load { server: "docks-1".into(), load: Some(load) });
    assert_eq!(harness.machine.status(harness.now)[0].servers[0].state, State::Evacuated);
}
