//! Tests of the detection of servers that crash while requests are running.
//!
//! A poison request crashes every server that begins to run it. A sweep with such a request is at a
//! server of every shard at once, beside unrelated requests.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::quarantine::Trial;
use ladder_core::count::{self, Count};
use ladder_core::fingerprint::Fingerprint;
use ladder_core::leaf::event::Outcome;
use ladder_core::leaf::{Action, Event, Settings};
use ladder_core::schema::call::{Message, Request};
use ladder_core::schema::catalogue::Limits;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::{target, wire};
use ladder_core::time::Instant;
use ladder_core::view::{Quarantine, ServerCrash, Service, View};

use crate::forward::response;
use crate::harness::{Harness, SentCall, limited, server, work};

/// Number of services of a sweep.
const PARTS: usize = 5;

fn name(part: usize) -> String {
    format!("docks-{part}")
}

/// A view of two servers for each part, with this incarnation.
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

fn harness() -> Harness {
    let settings = Settings::builder("porto-1", 7).seed(1).build();
    let mut harness = Harness::unconnected(settings, limited(Limits::default(), Vec::new()));
    harness.handle(view(1));
    harness.connect();
    harness.log.clear();
    harness
}

fn fingerprint(target: &str) -> Fingerprint {
    let message = Message { target: target.to_owned(), ..Message::default() };
    Fingerprint::of(&Request { message: Some(Box::new(message)), ..Request::default() })
}

/// Starts a sweep of this request and returns its calls.
fn sweep(harness: &mut Harness, query: u64, target: &str) -> Vec<SentCall> {
    let forward = wire::Forward {
        message: Some(Message { target: target.to_owned(), ..Message::default() }),
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
    let before = harness.sent().len();
    harness.deliver_work(wire::Work {
        forward: Some(Box::new(forward)),
        portions: (0..PARTS).map(portion).collect(),
        fingerprint: fingerprint(target).bytes().into(),
        ..work(query, "sweep")
    });
    harness.sent().split_off(before)
}

fn lose_call(harness: &mut Harness, sent: &SentCall) {
    harness.end_call(sent.attempt, Outcome::Lost);
}

/// Refuses all connections that are being opened to a server.
fn refuse_connections(harness: &mut Harness, address: &str) {
    let opening = |action: &Action| match action {
        Action::Open { connection, address: to, .. } if **to == *address => Some(*connection),
        _ => None,
    };
    let connections: Vec<_> = harness.log.iter().filter_map(opening).collect();
    for connection in connections {
        harness.handle(Event::Refused(connection));
    }
}

/// Requests of each reported crash.
fn crash_reports(harness: &Harness) -> Vec<Vec<Fingerprint>> {
    let requests = |action: &Action| match action {
        Action::Crashed { requests, .. } => Some(requests.clone()),
        _ => None,
    };
    harness.log.iter().filter_map(requests).collect()
}

fn is_cleared(harness: &Harness, target: &str) -> bool {
    let cleared = |action: &Action| matches!(action, Action::Cleared { request, .. } if *request == fingerprint(target));
    harness.log.iter().any(cleared)
}

/// Events after a call lost its connection.
struct Case {
    name: &'static str,
    then: fn(&mut Harness, &SentCall),
    /// Whether the server counts as terminated.
    ended: bool,
}

/// Guards against treating lost answers, closed connections and broken links as the crash of a
/// server.
#[test]
fn lost_connection_alone_is_no_crash() {
    let cases = [
        Case { name: "nothing", then: |_, _| {}, ended: false },
        Case { name: "accepts connections", then: |harness, _| harness.connect(), ended: false },
        Case {
            name: "closes all connections",
            then: |harness, _| {
                harness.close_all_connections();
            },
            ended: false,
        },
        Case {
            name: "refuses connections",
            then: |harness, sent| refuse_connections(harness, &sent.address),
            ended: true,
        },
        Case { name: "started again", then: |harness, _| harness.handle(view(2)), ended: true },
        Case {
            name: "refuses connections much later",
            then: |harness, sent| {
                harness.advance(6000);
                refuse_connections(harness, &sent.address);
            },
            ended: false,
        },
    ];
    for Case { name, then, ended } in cases {
        let mut harness = harness();
        let calls = sweep(&mut harness, 1, "/docks/1");
        harness.log.clear();
        calls.iter().for_each(|sent| lose_call(&mut harness, sent));
        then(&mut harness, &calls[0]);
        harness.end_each_call(lose_call);
        harness.advance(1000);
        let reported = crash_reports(&harness).contains(&vec![fingerprint("/docks/1")]);
        assert_eq!(reported, ended, "{name}");
    }
}

/// Guards against suspecting a request that another server answered.
#[test]
fn answered_request_is_not_reported_with_a_crash() {
    let mut harness = harness();
    let poison = sweep(&mut harness, 1, "/docks/1");
    let other = sweep(&mut harness, 2, "/docks/2");
    lose_call(&mut harness, &poison[0]);
    let same = other.iter().find(|sent| sent.address == poison[0].address);
    let also = same.unwrap_or(&other[0]).clone();
    lose_call(&mut harness, &also);
    for address in [&poison[0].address, &also.address] {
        refuse_connections(&mut harness, address);
    }
    assert!(crash_reports(&harness).is_empty(), "portions of the same sweep are open");
    let rest = other.iter().filter(|sent| sent.attempt != also.attempt);
    harness.answer_all(rest.cloned());
    poison[1..].iter().for_each(|sent| lose_call(&mut harness, sent));
    harness.end_each_call(|harness, sent| {
        if !poison.iter().chain(&other).any(|first| first.attempt == sent.attempt) {
            lose_call(harness, sent);
        }
    });
    harness.advance(1000);
    let reports = crash_reports(&harness);
    assert!(!reports.is_empty());
    assert!(reports.iter().all(|requests| *requests == [fingerprint("/docks/1")]), "{reports:?}");
}

/// Guards against crashing the second server of each shard before the first calls give any
/// evidence.
#[test]
fn parts_are_held_while_all_their_servers_seem_to_crash() {
    let mut harness = harness();
    let calls = sweep(&mut harness, 1, "/docks/1");
    calls.iter().for_each(|sent| lose_call(&mut harness, sent));
    assert_eq!(harness.sent().len(), PARTS, "retried before there is any evidence");
    calls.iter().for_each(|sent| refuse_connections(&mut harness, &sent.address));
    harness.advance(1000);
    assert_eq!(harness.sent().len(), PARTS, "retried although the servers terminated");
}

/// Events after some calls of a sweep lost their connections at the same moment.
struct Harmless {
    name: &'static str,
    lost: usize,
    /// Event that shows that the request did not crash the servers, or that the servers have not
    /// terminated.
    then: fn(&mut Harness, &[SentCall]),
}

/// Guards against keeping the parts of a harmless sweep queued when its servers terminate or its
/// links break.
#[test]
fn parts_of_a_harmless_request_are_retried() {
    let cases = [
        Harmless {
            name: "two servers terminated",
            lost: 2,
            then: |harness, lost| refuse_all_connections(harness, lost),
        },
        Harmless { name: "a sibling portion is answered", lost: 3, then: |_, _| {} },
        Harmless {
            name: "a sibling is answered and the servers terminated",
            lost: 4,
            then: |harness, lost| refuse_all_connections(harness, lost),
        },
        Harmless {
            name: "the servers accept connections",
            lost: PARTS,
            then: |harness, _| harness.connect(),
        },
    ];
    for Harmless { name, lost, then } in cases {
        let mut harness = harness();
        let calls = sweep(&mut harness, 1, "/docks/1");
        let (broken, whole) = calls.split_at(lost);
        broken.iter().for_each(|sent| lose_call(&mut harness, sent));
        harness.answer_all(whole.iter().cloned());
        then(&mut harness, broken);
        harness.advance(20);
        assert_eq!(harness.sent().len(), PARTS + lost, "{name}");
    }
}

fn refuse_all_connections(harness: &mut Harness, calls: &[SentCall]) {
    calls.iter().for_each(|sent| refuse_connections(harness, &sent.address));
}

fn refused(target: &str) -> Quarantine {
    Quarantine { refused: [fingerprint(target)].into_iter().collect(), ..Quarantine::default() }
}

fn suspected(target: &str) -> Quarantine {
    Quarantine { suspected: [fingerprint(target)].into_iter().collect(), ..Quarantine::default() }
}

/// Guards against crashing the servers at which calls of a refused request still wait.
#[test]
fn quarantined_request_is_stopped_where_it_is_open() {
    let mut harness = harness();
    sweep(&mut harness, 1, "/docks/1");
    sweep(&mut harness, 2, "/docks/2");
    harness.log.clear();
    harness.handle(view_with(1, refused("/docks/1")));
    let closed = harness.log.iter().filter(|action| matches!(action, Action::Close(_))).count();
    assert_eq!(closed, PARTS, "the connections of the request are closed");
    assert_eq!(harness.replies(), vec![(Verdict::MayHaveRun, Reason::Quarantined); PARTS]);
    harness.log.clear();
    sweep(&mut harness, 3, "/docks/1");
    assert!(harness.sent().is_empty(), "sent again");
    assert_eq!(harness.replies(), vec![(Verdict::NotRun, Reason::Quarantined); PARTS]);
}

/// Guards against refusing a popular request only because it was at servers that crashed.
#[test]
fn answered_request_is_cleared() {
    let cleared = |harness: &Harness| is_cleared(harness, "/docks/1");
    for (name, quarantine) in
        [("refused", refused("/docks/1")), ("suspected", suspected("/docks/1"))]
    {
        let mut harness = harness();
        let calls = sweep(&mut harness, 1, "/docks/1");
        harness.answer(&calls[0]);
        assert!(!cleared(&harness), "{name}: not suspected yet");
        harness.handle(view_with(1, quarantine));
        assert!(cleared(&harness), "{name}: answered before");
    }
    let mut harness = harness();
    harness.handle(view_with(1, suspected("/docks/1")));
    let calls = sweep(&mut harness, 1, "/docks/1");
    assert!(!cleared(&harness));
    harness.answer(&calls[0]);
    assert!(cleared(&harness), "answered after");
}

/// End of a call of a suspected request, and whether it clears the request.
struct ClearingCase {
    name: &'static str,
    end: fn(&SentCall) -> Outcome,
    clears: bool,
}

/// Guards against a poison request that is served again because of a response to a call that no
/// server ran to its end.
#[test]
fn only_a_call_that_ran_to_its_end_clears_a_request() {
    let case = |name, end, clears| ClearingCase { name, end, clears };
    let cases = [
        case("answer", |sent| response(sent, 200), true),
        case("not found", |sent| response(sent, 404), true),
        case("request timeout", |sent| response(sent, 408), false),
        case("too many requests", |sent| response(sent, 429), false),
        case("server error", |sent| response(sent, 500), false),
        case("bad gateway", |sent| response(sent, 502), false),
        case("unavailable", |sent| response(sent, 503), false),
        case("deadline passed in the queue", |sent| response(sent, 504), false),
        case("shed", |sent| sent.refusal(Reason::TargetShed, 10), false),
        case("another server at the address", |sent| sent.refusal(Reason::TargetLeaving, 0), false),
        case("cancelled", |sent| sent.refusal(Reason::Cancelled, 0), false),
        case("spoiled response", |_| Outcome::Error, false),
        case("connection lost", |_| Outcome::Lost, false),
        case("not sent", |_| Outcome::Unsent, false),
    ];
    for ClearingCase { name, end, clears } in cases {
        let mut harness = harness();
        harness.handle(view_with(1, suspected("/docks/1")));
        let calls = sweep(&mut harness, 1, "/docks/1");
        harness.end_call(calls[0].attempt, end(&calls[0]));
        let cleared = is_cleared(&harness, "/docks/1");
        assert_eq!(cleared, clears, "{name}");
    }
}

/// Guards against clearing a request again and again because of an old answer.
#[test]
fn answer_clears_a_request_for_twenty_seconds_at_most() {
    for (millis, clears) in [(9_000, true), (21_000, false)] {
        let mut harness = harness();
        let calls = sweep(&mut harness, 1, "/docks/1");
        harness.answer(&calls[0]);
        harness.advance(millis);
        harness.handle(view_with(1, refused("/docks/1")));
        assert_eq!(is_cleared(&harness, "/docks/1"), clears, "{millis} ms after the answer");
    }
}

/// Errors and lost connections of a suspected request, and whether they clear it.
struct ErrorsCase {
    name: &'static str,
    errors: usize,
    lost: usize,
    clears: bool,
}

/// Guards against refusing a harmless request whose servers return errors, and against clearing a
/// poison request because a few servers return errors without running it.
#[test]
fn errors_clear_a_request_if_they_outweigh_lost_connections() {
    let cases = [
        ErrorsCase { name: "two errors", errors: 2, lost: 0, clears: false },
        ErrorsCase { name: "errors only", errors: 3, lost: 0, clears: true },
        ErrorsCase { name: "mostly errors", errors: 3, lost: 2, clears: true },
        ErrorsCase { name: "mostly lost", errors: 3, lost: 4, clears: false },
    ];
    for ErrorsCase { name, errors, lost, clears } in cases {
        let mut harness = harness();
        harness.handle(view_with(1, suspected("/docks/1")));
        let first = sweep(&mut harness, 1, "/docks/1");
        let second = sweep(&mut harness, 2, "/docks/1");
        first.iter().take(lost).for_each(|sent| lose_call(&mut harness, sent));
        for sent in second.iter().take(errors) {
            harness.end_call(sent.attempt, response(sent, 500));
        }
        assert_eq!(is_cleared(&harness, "/docks/1"), clears, "{name}");
    }
}

/// Guards against calls of suspected and refused requests that no counter shows.
#[test]
fn calls_of_suspected_requests_are_counted() {
    let count = |harness: &Harness, reason| {
        let call = Action::Count(Count { event: count::Event::SuspectCall, reason });
        harness.log.iter().filter(|action| **action == call).count()
    };
    let mut harness = harness();
    sweep(&mut harness, 1, "/docks/1");
    assert_eq!(count(&harness, Reason::TargetLost), 0, "nothing is suspected");
    harness.handle(view_with(1, suspected("/docks/1")));
    sweep(&mut harness, 2, "/docks/1");
    sweep(&mut harness, 3, "/docks/2");
    assert_eq!(count(&harness, Reason::TargetLost), PARTS);
    assert_eq!(count(&harness, Reason::Quarantined), 0);
}

/// Guards against crashing a second server of a shard before a slower call can clear or confirm the
/// request.
#[test]
fn part_with_a_lost_call_is_held_until_a_sibling_is_answered() {
    let mut harness = harness();
    let calls = sweep(&mut harness, 1, "/docks/1");
    harness.log.clear();
    lose_call(&mut harness, &calls[0]);
    harness.advance(30);
    assert!(harness.sent().is_empty(), "the other calls may be lost too");
    harness.answer(&calls[1]);
    assert_eq!(harness.sent().len(), 1, "an answered request crashes no server");
}

/// Guards against keeping a part queued for calls that never end.
#[test]
fn part_with_a_lost_call_is_held_only_briefly() {
    let mut harness = harness();
    let calls = sweep(&mut harness, 1, "/docks/1");
    harness.log.clear();
    lose_call(&mut harness, &calls[0]);
    harness.advance(60);
    assert_eq!(harness.sent().len(), 1);
}

/// Guards against forgetting temporarily that a request is answered regularly.
#[test]
fn regularly_answered_request_stays_cleared() {
    let targets = ["/docks/1", "/docks/2"];
    let mut harness = harness();
    for step in 0..40 {
        let calls = sweep(&mut harness, step as u64, targets[step % 2]);
        harness.answer_all(calls);
        harness.log.clear();
        let suspected = targets.iter().take(step + 1).map(|target| fingerprint(target)).collect();
        harness.handle(view_with(1, Quarantine { suspected, ..Quarantine::default() }));
        for target in targets.iter().take(step + 1) {
            let cleared = is_cleared(&harness, target);
            assert!(cleared, "{target} in step {step}: answered seven seconds before at most");
        }
        harness.handle(view(1));
        harness.advance(7_000);
        harness.connect();
    }
}

/// Guards against believing an instance that is cut off from the network and considers all servers
/// terminated.
#[test]
fn answer_of_a_server_refutes_its_termination() {
    let refuted = |harness: &Harness| {
        let refuted = |action: &&Action| matches!(action, Action::Refuted { .. });
        harness.log.iter().filter(refuted).count()
    };
    let mut harness = harness();
    harness.advance(2000);
    let before = sweep(&mut harness, 1, "/docks/1");
    harness.advance(5);
    let quarantine = with_crashes([&before[0]], harness.now);
    harness.handle(view_with(1, quarantine));
    harness.answer_all(before.iter().cloned());
    assert_eq!(refuted(&harness), 0, "sent before the termination was reported");
    harness.advance(5);
    let after = sweep(&mut harness, 2, "/docks/2");
    harness.answer_all(after);
    let next = sweep(&mut harness, 3, "/docks/3");
    harness.answer_all(next);
    assert_eq!(
        refuted(&harness),
        1,
        "sent after the report, on a connection opened before the termination"
    );
}

/// A quarantine that reports the servers of these calls as terminated at this time.
fn with_crashes<'a>(sent: impl IntoIterator<Item = &'a SentCall>, at: Instant) -> Quarantine {
    let crash = ServerCrash { incarnation: 1, at };
    let crashes = sent.into_iter().map(|sent| (Arc::clone(&sent.address), crash)).collect();
    Quarantine { crashes, ..Quarantine::default() }
}

/// Time in milliseconds for which connections stay closed before they are opened again.
const CLOSED_MS: u64 = 100;

/// Open time of the connection of an answer, relative to the reported termination of its server and
/// to the arrival of the report.
struct Reopened {
    name: &'static str,
    /// Time at which all connections are reopened, in milliseconds after the start.
    opened_at: u64,
    /// Time at which other instances lost their calls, in milliseconds after the start.
    ended: u64,
    /// Time at which the report reaches this instance, in milliseconds after the start.
    received: u64,
    /// Whether calls are refused by another server that has taken over the address.
    address_taken: bool,
    refuted: bool,
}

/// Guards against clearing a poison request because the server that it crashed answers after its
/// restart.
#[test]
fn connection_opened_after_the_termination_refutes_nothing() {
    let case = |name, [opened_at, ended, received]: [u64; 3], address_taken, refuted| Reopened {
        name,
        opened_at,
        ended,
        received,
        address_taken,
        refuted,
    };
    let cases = [
        case("opened before", [200, 3000, 3005], false, true),
        case("opened before, refused by another server", [200, 3000, 3005], true, false),
        case("opened after the report", [5000, 3000, 3005], false, false),
        case("opened between the termination and the report", [3300, 3000, 3500], false, false),
        case("late report", [7000, 3000, 9000], false, false),
        case("opened within the error of the reported time", [2900, 3000, 3005], false, false),
    ];
    for case in cases {
        let mut harness = harness();
        let start = harness.now;
        let mut now = 0;
        let mut advance_to = |harness: &mut Harness, at: u64| {
            harness.advance(at - now);
            now = at;
        };
        let receive_report = |harness: &mut Harness| {
            let servers = (0..PARTS).flat_map(|part| [1, 2].map(|number| (part, number)));
            let crash =
                ServerCrash { incarnation: 1, at: start + Duration::from_millis(case.ended) };
            let crashes =
                servers.map(|(part, number)| (format!("{}-{number}", name(part)).into(), crash));
            let quarantine = Quarantine { crashes: crashes.collect(), ..Quarantine::default() };
            harness.handle(view_with(1, quarantine));
        };
        let mut steps = [(case.opened_at - CLOSED_MS, 0), (case.opened_at, 1), (case.received, 2)];
        steps.sort_unstable();
        for (at, step) in steps {
            advance_to(&mut harness, at);
            match step {
                0 => drop(harness.close_all_connections()),
                1 => harness.connect(),
                _ => receive_report(&mut harness),
            }
        }
        advance_to(&mut harness, case.opened_at.max(case.received) + 1000);
        harness.log.clear();
        let calls = sweep(&mut harness, 4, "/docks/4");
        assert_eq!(calls.len(), PARTS, "{}", case.name);
        for sent in calls {
            match case.address_taken {
                true => harness.end_call(sent.attempt, Outcome::Refusal(leaving_refusal(&sent))),
                false => harness.answer(&sent),
            }
        }
        let refuted = harness.log.iter().any(|action| matches!(action, Action::Refuted { .. }));
        assert_eq!(refuted, case.refuted, "{}", case.name);
    }
}

/// The refusal by another server that has taken over the address.
fn leaving_refusal(sent: &SentCall) -> target::Refusal {
    let id = sent.request.id.clone();
    target::Refusal { id, reason: Reason::TargetLeaving.into(), retry_after_ms: 0 }
}

/// A single message with this target for the first service, on trial or not.
fn single(harness: &mut Harness, query: u64, target: &str, on_trial: bool) -> Vec<SentCall> {
    let forward = wire::Forward {
        message: Some(Message { target: target.to_owned(), ..Message::default() }),
        attempts: 2,
        ..wire::Forward::default()
    };
    let portion =
        wire::Portion { service: name(0), shards: vec![name(0)], ..wire::Portion::default() };
    let before = harness.sent().len();
    harness.deliver_work(wire::Work {
        forward: Some(Box::new(forward)),
        portions: vec![portion],
        fingerprint: fingerprint(target).bytes().into(),
        on_trial,
        ..work(query, "fetch")
    });
    harness.sent().split_off(before)
}

fn on_trial(target: &str) -> Quarantine {
    let trial = Trial { start: Instant::default(), turn: 0, turns: 1 };
    let trials = [(fingerprint(target), trial)].into_iter().collect();
    Quarantine { trials, ..Quarantine::default() }
}

/// Guards against a second crash by one trial, and against a crash under a trial that is reported
/// like any other.
#[test]
fn trial_crashes_one_server_and_is_reported_as_a_trial() {
    let mut harness = harness();
    let calls = single(&mut harness, 1, "/docks/1", true);
    lose_call(&mut harness, &calls[0]);
    refuse_connections(&mut harness, &calls[0].address);
    harness.advance(2000);
    assert_eq!(harness.sent().len(), 1, "not sent to the other server");
    let trials = harness.log.iter().find_map(|action| match action {
        Action::Crashed { trials, .. } => Some(trials.clone()),
        _ => None,
    });
    assert_eq!(trials, Some(vec![fingerprint("/docks/1")]));
}

/// Guards against sending all that waited for a server when it starts again, and against refusing
/// the trial of the request, or a sweep.
#[test]
fn only_the_trial_of_a_suspected_request_is_sent() {
    let mut harness = harness();
    harness.handle(view_with(1, on_trial("/docks/1")));
    assert!(single(&mut harness, 1, "/docks/1", false).is_empty());
    assert_eq!(harness.replies(), vec![(Verdict::NotRun, Reason::Suspected)]);
    assert_eq!(single(&mut harness, 2, "/docks/1", true).len(), 1);
    assert_eq!(single(&mut harness, 3, "/docks/2", false).len(), 1);
    assert_eq!(sweep(&mut harness, 4, "/docks/1").len(), PARTS);
}

/// Guards against a crash that is not reported because its request is sent all the time, so that
/// some call of it is always open.
#[test]
fn crash_is_reported_within_a_second_while_its_request_is_open() {
    let mut harness = harness();
    let calls = single(&mut harness, 1, "/docks/1", false);
    lose_call(&mut harness, &calls[0]);
    refuse_connections(&mut harness, &calls[0].address);
    for query in 2..12 {
        assert!(query < 4 || !crash_reports(&harness).is_empty(), "before query {query}");
        sweep(&mut harness, query, "/docks/1");
        harness.advance(500);
    }
    assert_eq!(crash_reports(&harness), [vec![fingerprint("/docks/1")]]);
}

/// Guards against refusing a harmless request for good at one instance, because it was at servers
/// that crashed for another reason and is never sent again to show so.
#[test]
fn request_is_sent_again_once_the_evidence_against_it_is_old() {
    let mut harness = harness();
    let calls = sweep(&mut harness, 1, "/docks/1");
    calls.iter().for_each(|sent| lose_call(&mut harness, sent));
    refuse_all_connections(&mut harness, &calls);
    assert!(sweep(&mut harness, 2, "/docks/1").is_empty(), "refused while the evidence is new");
    harness.advance(6000);
    harness.handle(view(2));
    harness.connect();
    assert_eq!(sweep(&mut harness, 3, "/docks/1").len(), PARTS);
}
