//! Servers that get no new work, whatever the path to them.

use bolero::TypeGenerator;
use ladder_core::collections::Set;
use ladder_core::leaf::event::Outcome;
use ladder_core::leaf::exclusion::{Exclusion, Facts};
use ladder_core::leaf::status::State;
use ladder_core::leaf::{Action, Event};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::target;
use ladder_core::view::Server;

use crate::bed::{Bed, Sent, server, service, settings, view, work};
use crate::open::{End, Open};

const GOOD: Facts =
    Facts { listed: true, share: 6, leaving: false, evacuated: false, spent: false };

struct Case {
    facts: Facts,
    exclusion: Option<Exclusion>,
}

#[test]
fn lasting_reasons_go_first() {
    let cases = [
        Case { facts: GOOD, exclusion: None },
        Case { facts: Facts { share: 0, ..GOOD }, exclusion: Some(Exclusion::NoShare) },
        Case { facts: Facts { spent: true, ..GOOD }, exclusion: Some(Exclusion::Warming) },
        Case {
            facts: Facts { spent: true, evacuated: true, ..GOOD },
            exclusion: Some(Exclusion::Evacuated),
        },
        Case { facts: Facts { evacuated: true, ..GOOD }, exclusion: Some(Exclusion::Evacuated) },
        Case {
            facts: Facts { evacuated: true, share: 0, ..GOOD },
            exclusion: Some(Exclusion::Evacuated),
        },
        Case {
            facts: Facts { evacuated: true, leaving: true, ..GOOD },
            exclusion: Some(Exclusion::Leaving),
        },
        Case {
            facts: Facts { listed: false, leaving: true, evacuated: true, share: 0, spent: true },
            exclusion: Some(Exclusion::Unlisted),
        },
    ];
    for Case { facts, exclusion } in cases {
        assert_eq!(facts.exclusion(), exclusion, "{facts:?}");
    }
}

/// Two servers in different zones; the first one's zone may be evacuated.
fn servers(evacuated: bool) -> Event {
    let first = Server { zone: "campanha".into(), evacuated, ..server(1) };
    view(service(vec![first, server(2)]))
}

/// What leads to a call at the first server unless its zone is evacuated.
struct Path {
    name: &'static str,
    /// Before the order.
    before: fn(&mut Bed),
    /// After it.
    after: fn(&mut Bed),
}

fn sweeps(bed: &mut Bed) {
    bed.sweeps(10..30);
    bed.each_sent(|bed, sent| {
        bed.advance(1);
        bed.answer(sent);
    });
}

/// Guards against sending to an evacuated zone on a path that does not look at the order.
#[test]
fn nothing_new_goes_to_an_evacuated_zone() {
    let paths = [
        Path { name: "first calls", before: |_| {}, after: sweeps },
        Path { name: "what waits", before: |bed| bed.sweeps(10..30), after: |bed| bed.advance(1) },
        Path {
            name: "retries",
            before: |bed| bed.sweeps(10..14),
            after: |bed| {
                bed.each_sent(|bed, sent| match &*sent.address {
                    "10.0.0.2:80" => bed.end(sent.attempt, Outcome::Lost),
                    _ => bed.answer(sent),
                });
            },
        },
        Path {
            name: "second copies",
            before: |bed| bed.teach(60, 5),
            after: |bed| {
                bed.sweeps([40]);
                bed.advance(200);
            },
        },
        Path { name: "load reports", before: |_| {}, after: |bed| bed.advance(5_000) },
    ];
    for Path { name, before, after } in paths {
        let mut bed = Bed::with(settings(), service(vec![]));
        bed.handle(servers(false));
        bed.connect();
        before(&mut bed);
        bed.handle(servers(true));
        let held: Set<_> = bed.opened.iter().filter(|(_, to)| &**to == "10.0.0.1:80").collect();
        let held: Set<_> = held.into_iter().map(|(lane, _)| *lane).collect();
        let calls = bed.sent();
        bed.log.clear();
        for sent in calls.iter().filter(|sent| held.contains(&sent.lane)) {
            bed.answer(sent);
        }
        after(&mut bed);
        let reaches = |action: &&Action| match action {
            Action::Send { lane, .. } | Action::Probe { lane, .. } => held.contains(lane),
            Action::Open { address, .. } => &**address == "10.0.0.1:80",
            _ => false,
        };
        let reached = bed.log.iter().filter(reaches).count();
        assert_eq!(reached, 0, "{name}");
    }
}

/// Guards against cutting what runs in a zone that is evacuated, and against never coming back.
#[test]
fn open_calls_end_and_the_zone_comes_back() {
    let mut bed = Bed::with(settings(), service(vec![]));
    bed.handle(servers(false));
    bed.connect();
    bed.sweeps(1..4);
    let open: Vec<Sent> = bed.sent();
    assert!(open.iter().any(|sent| &*sent.address == "10.0.0.1:80"));
    bed.log.clear();
    bed.handle(servers(true));
    let status = bed.machine.status(bed.now);
    assert_eq!(status[0].servers[0].state, State::Evacuated);
    bed.answer_all(open.clone());
    let answered = bed.replies().iter().filter(|(verdict, _)| *verdict == Verdict::Ran).count();
    assert_eq!(answered, open.len());
    bed.handle(servers(false));
    bed.connect();
    sweeps(&mut bed);
    assert!(bed.sent().iter().any(|sent| &*sent.address == "10.0.0.1:80"), "used again");
}

/// Guards against holding work whose only servers are evacuated until its deadline.
#[test]
fn work_without_another_zone_is_refused_at_once() {
    let all = |evacuated| {
        let one = |number| Server { evacuated, ..server(number) };
        view(service(vec![one(1), one(2)]))
    };
    let refused = (Verdict::NotRun, Reason::Evacuated);
    let mut bed = Bed::with(settings(), service(vec![]));
    bed.handle(all(false));
    bed.connect();
    bed.sweeps(1..20);
    let open = bed.sent().len();
    bed.log.clear();
    bed.handle(all(true));
    assert_eq!(bed.replies(), vec![refused; 19 - open], "what waits");
    bed.log.clear();
    bed.sweeps([30]);
    assert_eq!(bed.replies(), [refused], "what comes");
    assert!(bed.sent().is_empty());
}

/// Something that happens to a machine with servers in three zones.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Step {
    Work,
    /// The operator evacuates the zones of these bits.
    Evacuate(u8),
    End(u8, End),
    Wait(u8),
    Connect,
}

fn zones(evacuated: u8) -> Event {
    let one = |number: u8| Server { evacuated: evacuated >> number & 1 == 1, ..server(number) };
    view(service((0..3).map(one).collect()))
}

/// Guards against an order of events in which a call goes to an evacuated zone.
#[test]
fn any_order_of_events_keeps_out_of_evacuated_zones() {
    ladder_property::check(300)
        .with_generator(bolero::produce::<Vec<Step>>().with().len(0_usize..=80))
        .for_each(|steps| {
            let mut bed = Bed::with(settings(), service(vec![]));
            bed.handle(zones(0));
            bed.connect();
            let mut evacuated = 0;
            let mut open = Open::default();
            for (number, step) in (1..).zip(steps) {
                open.note(&bed);
                bed.log.clear();
                match *step {
                    Step::Work => bed.work(work(number, "sweep")),
                    Step::Evacuate(which) => {
                        evacuated = which % 8;
                        bed.handle(zones(evacuated));
                    }
                    Step::Wait(millis) => bed.advance(millis.into()),
                    Step::Connect => bed.connect(),
                    Step::End(at, end) => open.end(&mut bed, at, end),
                }
                for address in open.take(&bed) {
                    let zone: u8 = address["10.0.0.".len()..address.len() - 3].parse().unwrap();
                    assert!(evacuated >> zone & 1 == 0, "{address} in {evacuated:03b}");
                }
            }
        });
}

/// A target's word that it has no limit of its own.
#[test]
fn evacuation_outlasts_what_a_server_says_of_itself() {
    let mut bed = Bed::with(settings(), service(vec![]));
    bed.handle(servers(true));
    let load = target::Load { incarnation: 2, ..target::Load::default() };
    bed.handle(Event::Load { server: "docks-1".into(), load: Some(load) });
    assert_eq!(bed.machine.status(bed.now)[0].servers[0].state, State::Evacuated);
}
