//! Servers that end while requests are there.
//!
//! The pattern: a request ends each server that begins to run it. A sweep of it is at a server of every
//! shard at once, beside requests that have nothing to do with it.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::fingerprint::Fingerprint;
use ladder_core::leaf::event::Outcome;
use ladder_core::leaf::{Action, Event, Settings};
use ladder_core::schema::call::{Message, Request};
use ladder_core::schema::catalogue::Limits;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::{target, wire};
use ladder_core::time::Instant;
use ladder_core::view::{End, Quarantine, Service, View};

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

/// Guards against ending a second server of a shard before a call that is slower could tell.
#[test]
fn part_that_broke_off_waits_for_a_siblings_answer() {
    let mut bed = bed();
    let calls = sweep(&mut bed, 1, "/docks/1");
    bed.log.clear();
    lose(&mut bed, &calls[0]);
    bed.advance(30);
    assert!(bed.sent().is_empty(), "the others may break off too");
    bed.answer(&calls[1]);
    assert_eq!(bed.sent().len(), 1, "a server answered the request: it ends none");
}

/// Guards against a part that waits for calls which never end.
#[test]
fn part_that_broke_off_does_not_wait_for_long() {
    let mut bed = bed();
    let calls = sweep(&mut bed, 1, "/docks/1");
    bed.log.clear();
    lose(&mut bed, &calls[0]);
    bed.advance(60);
    assert_eq!(bed.sent().len(), 1);
}

/// Guards against forgetting for a moment that a request is answered all the time.
#[test]
fn request_that_is_answered_all_the_time_stays_known() {
    let asked = ["/docks/1", "/docks/2"];
    let mut bed = bed();
    for step in 0..40 {
        let calls = sweep(&mut bed, step as u64, asked[step % 2]);
        bed.answer_all(calls);
        bed.log.clear();
        let suspected = asked.iter().take(step + 1).map(|asked| fingerprint(asked)).collect();
        bed.handle(view_with(1, Quarantine { suspected, ..Quarantine::default() }));
        for asked in asked.iter().take(step + 1) {
            let cleared = bed.log.contains(&Action::Cleared(fingerprint(asked)));
            assert!(cleared, "{asked} in step {step}: answered seven seconds before at most");
        }
        bed.handle(view(1));
        bed.advance(7_000);
        bed.connect();
    }
}

/// Guards against believing an instance that is cut off and takes all servers for ended.
#[test]
fn server_that_answers_has_not_ended() {
    let refuted = |bed: &Bed| {
        let refuted = |action: &&Action| matches!(action, Action::Refuted { .. });
        bed.log.iter().filter(refuted).count()
    };
    let mut bed = bed();
    bed.advance(2000);
    let before = sweep(&mut bed, 1, "/docks/1");
    bed.advance(5);
    let ended = ended([&before[0]], bed.now);
    bed.handle(view_with(1, ended));
    bed.answer_all(before.iter().cloned());
    assert_eq!(refuted(&bed), 0, "asked before it is said to have ended");
    bed.advance(5);
    let after = sweep(&mut bed, 2, "/docks/2");
    bed.answer_all(after);
    let next = sweep(&mut bed, 3, "/docks/3");
    bed.answer_all(next);
    assert_eq!(refuted(&bed), 1, "asked since, over a connection of before");
}

/// Servers that are said to have ended at this time.
fn ended<'a>(sent: impl IntoIterator<Item = &'a Sent>, at: Instant) -> Quarantine {
    let end = End { incarnation: 1, at };
    let ended = sent.into_iter().map(|sent| (Arc::clone(&sent.address), end)).collect();
    Quarantine { ended, ..Quarantine::default() }
}

/// Milliseconds before closed connections are open again.
const PAUSE: u64 = 100;

/// When the connection was opened over which a server answers, against its end and the news of it.
struct Reopened {
    name: &'static str,
    /// Milliseconds after the start at which all connections are opened anew.
    opened: u64,
    /// At which the calls of others broke off.
    ended: u64,
    /// At which this instance hears of it.
    heard: u64,
    /// A call is answered with a refusal because another server has the address.
    taken: bool,
    refuted: bool,
}

/// Guards against clearing a poison request because its server answers after it has started again.
#[test]
fn connection_younger_than_the_end_refutes_nothing() {
    let case = |name, [opened, ended, heard]: [u64; 3], taken, refuted| Reopened {
        name,
        opened,
        ended,
        heard,
        taken,
        refuted,
    };
    let cases = [
        case("open before", [200, 3000, 3005], false, true),
        case("open before, but not the server's word", [200, 3000, 3005], true, false),
        case("open after the news", [5000, 3000, 3005], false, false),
        case("open between the end and the news", [3300, 3000, 3500], false, false),
        case("news that took long", [7000, 3000, 9000], false, false),
        case("open within the error of dating", [2900, 3000, 3005], false, false),
    ];
    for case in cases {
        let mut bed = bed();
        let start = bed.now;
        let mut now = 0;
        let mut to = |bed: &mut Bed, at: u64| {
            bed.advance(at - now);
            now = at;
        };
        let hear = |bed: &mut Bed| {
            let servers = (0..PARTS).flat_map(|part| [1, 2].map(|number| (part, number)));
            let end = End { incarnation: 1, at: start + Duration::from_millis(case.ended) };
            let ended =
                servers.map(|(part, number)| (format!("{}-{number}", name(part)).into(), end));
            let quarantine = Quarantine { ended: ended.collect(), ..Quarantine::default() };
            bed.handle(view_with(1, quarantine));
        };
        let mut steps = [(case.opened - PAUSE, 0), (case.opened, 1), (case.heard, 2)];
        steps.sort_unstable();
        for (at, step) in steps {
            to(&mut bed, at);
            match step {
                0 => drop(bed.close_all()),
                1 => bed.connect(),
                _ => hear(&mut bed),
            }
        }
        to(&mut bed, case.opened.max(case.heard) + 1000);
        bed.log.clear();
        let calls = sweep(&mut bed, 4, "/docks/4");
        assert_eq!(calls.len(), PARTS, "{}", case.name);
        for sent in calls {
            match case.taken {
                true => bed.end(sent.attempt, Outcome::Refusal(leaving(&sent))),
                false => bed.answer(&sent),
            }
        }
        let refuted = bed.log.iter().any(|action| matches!(action, Action::Refuted { .. }));
        assert_eq!(refuted, case.refuted, "{}", case.name);
    }
}

/// The refusal of another server that has the address.
fn leaving(sent: &Sent) -> target::Refusal {
    let id = sent.request.id.clone();
    target::Refusal { id, reason: Reason::TargetLeaving.into(), retry_after_ms: 0 }
}
