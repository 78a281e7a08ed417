//! Servers that end while requests are there.
//!
//! The pattern: a request ends each server that begins to run it. A sweep of it is at a server of every
//! shard at once, beside requests that have nothing to do with it.

use std::sync::Arc;

use ladder_core::fingerprint::Fingerprint;
use ladder_core::leaf::event::Outcome;
use ladder_core::leaf::{Action, Event, Settings};
use ladder_core::schema::call::{Message, Request};
use ladder_core::schema::catalogue::Limits;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire;
use ladder_core::view::{Quarantine, Service, View};

use crate::bed::{Bed, Sent, limited, server, work};

/// Services of a sweep.
const PARTS: usize = 5;

fn name(part: usize) -> String {
    format!("docks-{part}")
}

/// A machine that asks two servers for each part, with these incarnations.
fn view(incarnation: u64) -> Event {
    view_with(incarnation, Quarantine::default())
}

fn view_with(incarnation: u64, quarantine: Quarantine) -> Event {
    let quarantine = Arc::new(quarantine);
    let mut view = View { generation: incarnation, ready: true, quarantine, ..View::default() };
    for part in 0..PARTS {
        let replica = |number: u8| {
            let mut replica = server(number);
            replica.name = format!("{}-{number}", name(part)).into();
            replica.address = Arc::clone(&replica.name);
            replica.incarnation = incarnation;
            replica
        };
        let limits = Limits { queue: 100, extra_percent: 20, ..Limits::default() };
        let servers = vec![replica(1), replica(2)];
        view.insert(Service { name: name(part).as_str().into(), ..limited(limits, servers) });
    }
    Event::View(Arc::new(view))
}

fn bed() -> Bed {
    let settings = Settings::builder("porto-1", 7).seed(1).build();
    let mut bed = Bed::cold(settings, limited(Limits::default(), Vec::new()));
    bed.handle(view(1));
    bed.connect();
    bed.log.clear();
    bed
}

fn fingerprint(asked: &str) -> Fingerprint {
    let message = Message { target: asked.to_owned(), ..Message::default() };
    Fingerprint::of(&Request { message: Some(Box::new(message)), ..Request::default() })
}

/// Hands over a sweep; gives its calls.
fn sweep(bed: &mut Bed, query: u64, asked: &str) -> Vec<Sent> {
    let forward = wire::Forward {
        message: Some(Message { target: asked.to_owned(), ..Message::default() }),
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
    let before = bed.sent().len();
    bed.work(wire::Work {
        forward: Some(Box::new(forward)),
        portions: (0..PARTS).map(portion).collect(),
        fingerprint: fingerprint(asked).bytes().into(),
        ..work(query, "sweep")
    });
    bed.sent().split_off(before)
}

fn lose(bed: &mut Bed, sent: &Sent) {
    bed.end(sent.attempt, Outcome::Lost);
}

/// Fails all connections that are being opened at a server.
fn refuse(bed: &mut Bed, address: &str) {
    let opening = |action: &Action| match action {
        Action::Open { lane, address: to, .. } if **to == *address => Some(*lane),
        _ => None,
    };
    let lanes: Vec<_> = bed.log.iter().filter_map(opening).collect();
    for lane in lanes {
        bed.handle(Event::Refused(lane));
    }
}

/// What was told of ends: the requests that were at each server.
fn told(bed: &Bed) -> Vec<Vec<Fingerprint>> {
    let requests = |action: &Action| match action {
        Action::Crashed { requests, .. } => Some(requests.clone()),
        _ => None,
    };
    bed.log.iter().filter_map(requests).collect()
}

/// A call broke off; what shows then whether its server has ended.
struct Case {
    name: &'static str,
    then: fn(&mut Bed, &Sent),
    /// Whether it counts as an end.
    ended: bool,
}

/// Guards against taking lost answers, closed connections and cut links for the end of a server.
#[test]
fn broken_connection_alone_is_no_end_of_a_server() {
    let cases = [
        Case { name: "nothing", then: |_, _| {}, ended: false },
        Case { name: "listens", then: |bed, _| bed.connect(), ended: false },
        Case {
            name: "closes all",
            then: |bed, _| {
                bed.close_all();
            },
            ended: false,
        },
        Case { name: "refuses", then: |bed, sent| refuse(bed, &sent.address), ended: true },
        Case { name: "started again", then: |bed, _| bed.handle(view(2)), ended: true },
        Case {
            name: "refuses much later",
            then: |bed, sent| {
                bed.advance(6000);
                refuse(bed, &sent.address);
            },
            ended: false,
        },
    ];
    for Case { name, then, ended } in cases {
        let mut bed = bed();
        let calls = sweep(&mut bed, 1, "/docks/1");
        bed.log.clear();
        calls.iter().for_each(|sent| lose(&mut bed, sent));
        then(&mut bed, &calls[0]);
        bed.each_sent(lose);
        bed.advance(1000);
        let told = told(&bed).contains(&vec![fingerprint("/docks/1")]);
        assert_eq!(told, ended, "{name}");
    }
}

/// Guards against suspecting a request that another server answered.
#[test]
fn answered_request_is_not_told_among_those_at_a_server_that_ended() {
    let mut bed = bed();
    let poison = sweep(&mut bed, 1, "/docks/1");
    let other = sweep(&mut bed, 2, "/docks/2");
    lose(&mut bed, &poison[0]);
    let same = other.iter().find(|sent| sent.address == poison[0].address);
    let also = same.unwrap_or(&other[0]).clone();
    lose(&mut bed, &also);
    for address in [&poison[0].address, &also.address] {
        refuse(&mut bed, address);
    }
    assert!(told(&bed).is_empty(), "siblings are open");
    let rest = other.iter().filter(|sent| sent.attempt != also.attempt);
    bed.answer_all(rest.cloned());
    poison[1..].iter().for_each(|sent| lose(&mut bed, sent));
    bed.each_sent(|bed, sent| {
        if !poison.iter().chain(&other).any(|first| first.attempt == sent.attempt) {
            lose(bed, sent);
        }
    });
    bed.advance(1000);
    let told = told(&bed);
    assert!(!told.is_empty());
    assert!(told.iter().all(|requests| *requests == [fingerprint("/docks/1")]), "{told:?}");
}

/// Guards against ending the second server of each shard before the first calls tell anything.
#[test]
fn parts_are_not_sent_on_while_all_their_servers_seem_to_end() {
    let mut bed = bed();
    let calls = sweep(&mut bed, 1, "/docks/1");
    calls.iter().for_each(|sent| lose(&mut bed, sent));
    assert_eq!(bed.sent().len(), PARTS, "sent on before anything is known");
    calls.iter().for_each(|sent| refuse(&mut bed, &sent.address));
    bed.advance(1000);
    assert_eq!(bed.sent().len(), PARTS, "sent on although the servers ended");
}

/// What becomes of the other calls of a sweep of which some broke off at the same moment.
struct Harmless {
    name: &'static str,
    lost: usize,
    /// What shows that the request is not what ended the servers, or that they have not ended.
    then: fn(&mut Bed, &[Sent]),
}

/// Guards against holding back a harmless sweep whose servers end or whose links break.
#[test]
fn parts_of_a_harmless_request_are_sent_on() {
    let cases = [
        Harmless { name: "two ended", lost: 2, then: |bed, lost| refuse_all(bed, lost) },
        Harmless { name: "a sibling is answered", lost: 3, then: |_, _| {} },
        Harmless { name: "and they ended", lost: 4, then: |bed, lost| refuse_all(bed, lost) },
        Harmless { name: "they take connections", lost: PARTS, then: |bed, _| bed.connect() },
    ];
    for Harmless { name, lost, then } in cases {
        let mut bed = bed();
        let calls = sweep(&mut bed, 1, "/docks/1");
        let (broken, whole) = calls.split_at(lost);
        broken.iter().for_each(|sent| lose(&mut bed, sent));
        bed.answer_all(whole.iter().cloned());
        then(&mut bed, broken);
        bed.advance(20);
        assert_eq!(bed.sent().len(), PARTS + lost, "{name}");
    }
}

fn refuse_all(bed: &mut Bed, calls: &[Sent]) {
    calls.iter().for_each(|sent| refuse(bed, &sent.address));
}

fn refused(asked: &str) -> Quarantine {
    Quarantine { refused: [fingerprint(asked)].into_iter().collect(), ..Quarantine::default() }
}

/// Guards against ending the servers at which calls of a refused request still wait.
#[test]
fn refused_request_is_stopped_where_it_is_open() {
    let mut bed = bed();
    sweep(&mut bed, 1, "/docks/1");
    sweep(&mut bed, 2, "/docks/2");
    bed.log.clear();
    bed.handle(view_with(1, refused("/docks/1")));
    let closed = bed.log.iter().filter(|action| matches!(action, Action::Close(_))).count();
    assert_eq!(closed, PARTS, "its connections are closed");
    assert_eq!(bed.replies(), vec![(Verdict::MayHaveRun, Reason::Quarantined); PARTS]);
    bed.log.clear();
    sweep(&mut bed, 3, "/docks/1");
    assert!(bed.sent().is_empty(), "sent again");
    assert_eq!(bed.replies(), vec![(Verdict::NotRun, Reason::Quarantined); PARTS]);
}

/// Guards against refusing a popular request that was at servers that ended.
#[test]
fn answered_request_is_cleared() {
    let cleared = |bed: &Bed| bed.log.contains(&Action::Cleared(fingerprint("/docks/1")));
    let suspected = || Quarantine {
        suspected: [fingerprint("/docks/1")].into_iter().collect(),
        ..Quarantine::default()
    };
    for (name, quarantine) in [("refused", refused("/docks/1")), ("suspected", suspected())] {
        let mut bed = bed();
        let calls = sweep(&mut bed, 1, "/docks/1");
        bed.answer(&calls[0]);
        assert!(!cleared(&bed), "{name}: nobody suspects it");
        bed.handle(view_with(1, quarantine));
        assert!(cleared(&bed), "{name}: answered before");
    }
    let mut bed = bed();
    bed.handle(view_with(1, suspected()));
    let calls = sweep(&mut bed, 1, "/docks/1");
    assert!(!cleared(&bed));
    bed.answer(&calls[0]);
    assert!(cleared(&bed), "answered after");
}

/// Guards against believing an instance that is cut off and takes all servers for ended.
#[test]
fn server_that_answers_has_not_ended() {
    let refuted = |bed: &Bed| {
        let refuted = |action: &&Action| matches!(action, Action::Refuted { .. });
        bed.log.iter().filter(refuted).count()
    };
    let ended = |sent: &Sent| Quarantine {
        ended: [(Arc::clone(&sent.address), 1)].into_iter().collect(),
        ..Quarantine::default()
    };
    let mut bed = bed();
    let before = sweep(&mut bed, 1, "/docks/1");
    bed.advance(5);
    bed.handle(view_with(1, ended(&before[0])));
    bed.answer_all(before.iter().cloned());
    assert_eq!(refuted(&bed), 0, "asked before it is said to have ended");
    bed.advance(5);
    let after = sweep(&mut bed, 2, "/docks/2");
    bed.answer_all(after);
    let next = sweep(&mut bed, 3, "/docks/3");
    bed.answer_all(next);
    assert_eq!(refuted(&bed), 1, "asked since, over a connection of before");
    let servers = (0..PARTS).flat_map(|part| [1, 2].map(|number| (part, number)));
    let all = servers.map(|(part, number)| (format!("{}-{number}", name(part)).into(), 1));
    bed.handle(view_with(1, Quarantine { ended: all.collect(), ..Quarantine::default() }));
    bed.advance(5);
    bed.close_all();
    bed.advance(100);
    bed.connect();
    bed.log.clear();
    let anew = sweep(&mut bed, 4, "/docks/4");
    assert_eq!(anew.len(), PARTS);
    bed.answer_all(anew);
    assert_eq!(refuted(&bed), 0, "over a new connection");
}
