//! Tests of forwarded messages: routes, traffic splits, and sweeps with a target time and a floor.

use std::sync::Arc;

use bytes::Bytes;
use ladder_core::gather::{Action, Event, Step};
use ladder_core::route::Table;
use ladder_core::schema::call::{Answer, Message, Part, Request, Response};
use ladder_core::schema::catalogue::Urgency;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::publication::{Branch, Route, Routing};
use ladder_core::schema::wire::{Reply, Work};
use ladder_core::view::View;

use crate::fleet::{Fleet, SELF, service_spec};
use crate::harness::{Harness, INCARNATION, answers, only_answer, sent_work};

/// Host of all routes.
pub(crate) const HOST: &str = "porto.example";

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        urgency: Urgency::Elevated.into(),
        timeout_ms: 600,
        target_ms: 100,
        attempts: 2,
        ..Route::default()
    }
}

fn branch(service: &str, weight: f64) -> Branch {
    Branch { service: service.to_owned(), weight }
}

/// Builds a routing table with a sweep over three services with a floor of two, and with
/// single-service routes.
pub(crate) fn routing() -> Routing {
    let parts = ["s1", "s2", "s3"].map(str::to_owned).to_vec();
    let split = vec![branch("s1", 0.7), branch("s2", 0.2), branch("s3", 0.1)];
    Routing {
        version: 7,
        routes: vec![
            Route { parts, top: 3, floor_permille: 600, ..route("sweep", "/docks/") },
            Route { branches: vec![branch("s1", 1.0)], ..route("single", "/docks/free/") },
            Route { branches: split, ..route("split", "/split/") },
            Route {
                branches: vec![branch("s1", 1.0)],
                unrepeatable: true,
                ..route("once", "/once/")
            },
        ],
        ..Routing::default()
    }
}

/// Builds a view in which this instance is a candidate for all services.
pub(crate) fn view_with(routing: Option<Routing>) -> View {
    let services = ["s1", "s2", "s3"].map(|name| service_spec(name, [SELF, "e2", "e3"])).to_vec();
    let fleet = Fleet { services, ..Fleet::default() };
    let routing = routing.map(|routing| Arc::new(Table::new(&routing)));
    View { routing, ..View::clone(&fleet.view()) }
}

/// Creates a harness with the view of `view_with`.
pub(crate) fn harness_with(routing: Option<Routing>) -> Harness {
    let mut harness = Harness::new(&Fleet::default());
    let view = View { generation: 2, ..view_with(routing) };
    harness.deliver(Event::View(Arc::new(view)));
    harness
}

pub(crate) fn message(host: &str, target: &str) -> Request {
    let message = Message {
        method: "GET".to_owned(),
        host: host.to_owned(),
        target: target.to_owned(),
        ..Message::default()
    };
    Request {
        key: format!("key of {target}"),
        deadline_ms: 400,
        message: Some(Box::new(message)),
        ..Request::default()
    }
}

/// Builds the reply that covers the portion of `service` with this response body.
pub(crate) fn reply(work: &Work, service: &str, body: &[u8]) -> Reply {
    let response = Response {
        status: 200,
        body: Bytes::copy_from_slice(body),
        stamp: format!("signed by {service}"),
        ..Response::default()
    };
    Reply {
        query: work.query,
        round: work.round,
        incarnation: INCARNATION,
        service: service.to_owned(),
        verdict: Verdict::Ran.into(),
        version: work.version,
        parts: vec![Part {
            shard: service.to_owned(),
            response: Some(response),
            ..Part::default()
        }],
        ..Reply::default()
    }
}

/// Builds the reply that refuses the portion of `service` because the server is overloaded,
/// without having run it.
fn refusal_reply(work: &Work, service: &str) -> Reply {
    let reason = Reason::TargetShed.into();
    let verdict = Verdict::NotRun.into();
    Reply { verdict, reason, parts: Vec::new(), ..reply(work, service, b"") }
}

/// Builds records of 16 bytes each, one for each of `bytes`.
pub(crate) fn records(bytes: &[u8]) -> Vec<u8> {
    bytes.iter().flat_map(|byte| [*byte; 16]).collect()
}

/// Starts a sweep over three services and returns the work message.
pub(crate) fn start_sweep(harness: &mut Harness) -> Work {
    sent_work(&harness.call(message(HOST, "/docks/all"))).remove(0).1
}

/// A message and the services to which it must be sent.
struct Case {
    host: &'static str,
    target: &'static str,
    services: &'static [&'static str],
}

/// Guards against sending a message to a service other than that of the route with the longest
/// matching prefix on the message's host, regardless of its port and query string.
#[test]
fn longest_matching_prefix_selects_route() {
    let all = &["s1", "s2", "s3"];
    let cases = [
        Case { host: HOST, target: "/docks/all", services: all },
        Case { host: HOST, target: "/docks/", services: all },
        Case { host: HOST, target: "/docks/free/4?near=/once/", services: &["s1"] },
        Case { host: "Porto.Example:8080", target: "/docks/all", services: all },
        Case { host: HOST, target: "/docks?x=/docks/", services: &[] },
        Case { host: HOST, target: "/", services: &[] },
        Case { host: "other.example", target: "/docks/all", services: &[] },
    ];
    for case in cases {
        let mut harness = harness_with(Some(routing()));
        let actions = harness.call(message(case.host, case.target));
        let sent: Vec<String> = sent_work(&actions)
            .iter()
            .flat_map(|(_, work)| &work.portions)
            .map(|portion| portion.service.clone())
            .collect();
        assert_eq!(sent, case.services, "{} {}", case.host, case.target);
        if case.services.is_empty() {
            let answer = only_answer(&actions);
            assert_eq!(
                (answer.verdict(), answer.reason()),
                (Verdict::NotRun, Reason::UnknownRoute)
            );
        }
    }
}

/// Guards against refusing a message with "no such route" while the instance has not received the
/// routing table yet, since callers would not retry. The refusal must be "not ready" with a retry
/// delay.
#[test]
fn missing_routing_table_is_reported_as_not_ready() {
    let mut harness = harness_with(None);
    let answer = only_answer(&harness.call(message(HOST, "/docks/all")));
    assert_eq!((answer.verdict(), answer.reason()), (Verdict::NotRun, Reason::NotReady));
    assert!(answer.retry_after_ms > 0);
}

/// Guards against deviations of more than one message from the weights of a traffic split, at any
/// time and also at few messages a second.
#[test]
fn split_stays_within_one_message_of_weights() {
    let mut harness = harness_with(Some(routing()));
    let mut counts = [0_u32; 3];
    for sent in 1..=300_u32 {
        let work = sent_work(&harness.call(message(HOST, "/split/x"))).remove(0).1;
        let service = &work.portions[0].service;
        let index = ["s1", "s2", "s3"].iter().position(|name| name == service).expect("a branch");
        counts[index] += 1;
        for (count, weight) in counts.iter().zip([0.7, 0.2, 0.1]) {
            let expected = f64::from(sent) * weight;
            assert!((f64::from(*count) - expected).abs() <= 1.0, "{counts:?} after {sent}");
        }
    }
}

/// A sweep's response must contain the greatest records of all parts, including duplicates, and
/// the answer must list the signature of each part.
#[test]
fn sweep_response_contains_greatest_records() {
    let mut harness = harness_with(Some(routing()));
    let work = start_sweep(&mut harness);
    harness.reply(SELF, reply(&work, "s1", &records(&[1, 9])));
    harness.reply(SELF, reply(&work, "s3", &[records(&[9, 2]), vec![255; 7]].concat()));
    let answer = only_answer(&harness.reply(SELF, reply(&work, "s2", &records(&[3]))));
    let response = answer.response.expect("a merged response");
    assert_eq!(response.body, records(&[9, 9, 3]));
    assert_eq!(answer.stamps, ["signed by s1", "signed by s2", "signed by s3"]);
    assert!(answer.missing.is_empty());
}

/// Guards against late answers when one server of a sweep does not respond: a late answer is worth
/// a tenth. Once the floor is reached, the sweep must answer before its target time and list what
/// is missing.
#[test]
fn sweep_answers_at_target_if_floor_is_reached() {
    let mut harness = harness_with(Some(routing()));
    let work = start_sweep(&mut harness);
    harness.reply(SELF, reply(&work, "s1", &records(&[1])));
    harness.reply(SELF, reply(&work, "s2", &records(&[2])));
    assert!(answers(&harness.advance(80)).is_empty(), "there is time for the third part");
    let answer = only_answer(&harness.advance(12));
    assert_eq!(answer.stamps, ["signed by s1", "signed by s2"]);
    assert_eq!(answer.missing.len(), 1);
    assert!(answer.response.is_some());
}

/// If too few parts have arrived at the target time, the sweep must continue and answer as soon as
/// the floor is reached: a late answer is better than none.
#[test]
fn sweep_below_floor_waits_past_target() {
    let mut harness = harness_with(Some(routing()));
    let work = start_sweep(&mut harness);
    harness.reply(SELF, reply(&work, "s1", &records(&[1])));
    assert!(answers(&harness.advance(200)).is_empty());
    let answer = only_answer(&harness.reply(SELF, reply(&work, "s2", &records(&[2]))));
    assert!(answer.response.is_some());
    assert_eq!(answer.missing.len(), 1);
}

/// The reply of the last part's owner after the sweep was withdrawn because two of its three parts
/// were refused.
struct WithdrawalCase {
    name: &'static str,
    last_reply: Option<fn(&Work) -> Reply>,
    verdict: Verdict,
}

fn cancelled_reply(work: &Work, verdict: Verdict) -> Reply {
    let (verdict, reason) = (verdict.into(), Reason::Cancelled.into());
    Reply { verdict, reason, parts: Vec::new(), ..reply(work, "s3", b"") }
}

/// Guards against telling a caller that its request may have run although no server received any
/// part.
#[test]
fn unreachable_floor_cancels_portions_before_refusal() {
    let cases = [
        WithdrawalCase {
            name: "the owner sent nothing to a server",
            last_reply: Some(|work| cancelled_reply(work, Verdict::NotRun)),
            verdict: Verdict::NotRun,
        },
        WithdrawalCase {
            name: "the owner reaches no server",
            last_reply: Some(|work| Reply {
                reason: Reason::ConnectFailed.into(),
                ..cancelled_reply(work, Verdict::NotRun)
            }),
            verdict: Verdict::NotRun,
        },
        WithdrawalCase {
            name: "the owner sent it to a server",
            last_reply: Some(|work| cancelled_reply(work, Verdict::MayHaveRun)),
            verdict: Verdict::MayHaveRun,
        },
        WithdrawalCase {
            name: "the owner covers the portion",
            last_reply: Some(|work| reply(work, "s3", &records(&[1]))),
            verdict: Verdict::Ran,
        },
        WithdrawalCase {
            name: "the owner does not reply",
            last_reply: None,
            verdict: Verdict::MayHaveRun,
        },
    ];
    for WithdrawalCase { name, last_reply, verdict } in cases {
        let mut harness = harness_with(Some(routing()));
        let work = start_sweep(&mut harness);
        assert!(answers(&harness.reply(SELF, refusal_reply(&work, "s1"))).is_empty());
        let actions = harness.reply(SELF, refusal_reply(&work, "s2"));
        assert!(answers(&actions).is_empty(), "{name}: the owner is awaited");
        assert!(actions.iter().any(|action| matches!(action, Action::Cancel { .. })), "{name}");
        let account = harness.machine.explain("key of /docks/all").expect("a history");
        let withdrawn = account
            .steps
            .iter()
            .any(|timed_step| matches!(timed_step.step, Step::Withdrawn { portions: 1 }));
        assert!(withdrawn, "{name}: the history has the step");
        let actions = match last_reply {
            Some(last_reply) => harness.reply(SELF, last_reply(&work)),
            None => harness.advance(20),
        };
        let answer = only_answer(&actions);
        assert_eq!(answer.verdict(), verdict, "{name}");
        assert!(answer.response.is_none(), "{name}");
    }
}

/// Guards against waiting for an owner's confirmation that cannot change the verdict for the
/// caller.
#[test]
fn partly_run_sweep_with_unreachable_floor_ends_immediately() {
    let mut harness = harness_with(Some(routing()));
    let work = start_sweep(&mut harness);
    let lost = Reply { verdict: Verdict::MayHaveRun.into(), ..refusal_reply(&work, "s1") };
    assert!(answers(&harness.reply(SELF, lost)).is_empty());
    let actions = harness.reply(SELF, refusal_reply(&work, "s2"));
    assert_eq!(only_answer(&actions).verdict(), Verdict::MayHaveRun);
    assert!(actions.iter().any(|action| matches!(action, Action::Cancel { .. })));
}

/// Services whose servers may receive no work, and the outcome of a sweep that needs two of three
/// services.
struct ReachabilityCase {
    evacuated: &'static [&'static str],
    leaving: &'static [&'static str],
    refused: Option<Reason>,
}

/// Guards against sending parts of a sweep whose floor is known to be unreachable.
#[test]
fn unreachable_sweep_is_refused_before_sending() {
    let cases = [
        ReachabilityCase { evacuated: &["s1"], leaving: &[], refused: None },
        ReachabilityCase {
            evacuated: &["s1", "s2"],
            leaving: &[],
            refused: Some(Reason::Evacuated),
        },
        ReachabilityCase { evacuated: &["s1"], leaving: &["s3"], refused: Some(Reason::Evacuated) },
        ReachabilityCase {
            evacuated: &[],
            leaving: &["s2", "s3"],
            refused: Some(Reason::NoServer),
        },
    ];
    for case in cases {
        let mut harness = harness_with(Some(routing()));
        let mut view = View { generation: 3, ..view_with(Some(routing())) };
        for service in view.services.values_mut() {
            let service = Arc::make_mut(service);
            for server in &mut service.servers {
                server.evacuated = case.evacuated.contains(&&*service.name);
                server.leaving = case.leaving.contains(&&*service.name);
            }
        }
        harness.deliver(Event::View(Arc::new(view)));
        let actions = harness.call(message(HOST, "/docks/all"));
        match case.refused {
            None => assert_eq!(sent_work(&actions).len(), 1),
            Some(reason) => {
                let answer = only_answer(&actions);
                assert_eq!((answer.verdict(), answer.reason()), (Verdict::NotRun, reason));
                assert!(sent_work(&actions).is_empty());
                assert!(answer.retry_after_ms > 0);
            }
        }
    }
}

/// Guards against building a response from the parts of a sweep that ends below its floor.
#[test]
fn sweep_below_floor_gets_no_response() {
    let mut harness = harness_with(Some(routing()));
    let work = start_sweep(&mut harness);
    harness.reply(SELF, reply(&work, "s1", &records(&[1])));
    let answer = only_answer(&harness.advance(400));
    assert!(answer.response.is_none());
    assert_ne!(answer.verdict(), Verdict::NotRun, "a part ran");
}

/// The time available for a message must be the minimum of the caller's deadline and the route's
/// timeout.
#[test]
fn budget_is_minimum_of_deadline_and_timeout() {
    for (deadline_ms, most_ms) in [(400, 400), (0, 600), (5000, 600)] {
        let mut harness = harness_with(Some(routing()));
        let request = Request { deadline_ms, ..message(HOST, "/docks/free/4") };
        let work = sent_work(&harness.call(request)).remove(0).1;
        let budget_ms = work.budget_us / 1000;
        assert!((most_ms * 8 / 10..most_ms).contains(&budget_ms), "{budget_ms} of {most_ms}");
        let answers: Vec<Answer> = answers(&harness.advance(most_ms));
        assert_eq!(answers.len(), 1, "a final answer by the time limit");
    }
}

/// A deadline and a timeout above those of this daemon's own interface, and the expected budget.
struct LongBudget {
    deadline_ms: u32,
    timeout_ms: u32,
    budget_ms: u64,
}

const LONG_BUDGETS: [LongBudget; 4] = [
    LongBudget { deadline_ms: 90_000, timeout_ms: 120_000, budget_ms: 90_000 },
    LongBudget { deadline_ms: 0, timeout_ms: 120_000, budget_ms: 120_000 },
    LongBudget { deadline_ms: u32::MAX, timeout_ms: 70_000, budget_ms: 70_000 },
    LongBudget { deadline_ms: u32::MAX, timeout_ms: u32::MAX, budget_ms: 300_000 },
];

/// Guards against refusing messages, or giving them up early, because their route allows more time
/// than requests to this daemon's own interface may have.
#[test]
fn messages_may_take_longer_than_own_requests() {
    for case in LONG_BUDGETS {
        let mut routing = routing();
        for route in &mut routing.routes {
            route.timeout_ms = case.timeout_ms;
        }
        let mut harness = harness_with(Some(routing));
        let request = Request { deadline_ms: case.deadline_ms, ..message(HOST, "/once/x") };
        let work = sent_work(&harness.call(request)).remove(0).1;
        let budget_ms = work.budget_us / 1000;
        let name = format!("{} and {}", case.deadline_ms, case.timeout_ms);
        assert!(budget_ms <= case.budget_ms, "{name}: {budget_ms}");
        assert!(budget_ms > case.budget_ms * 9 / 10, "{name}: {budget_ms}");
    }
}

/// A server's response to a single-service message must be passed on unchanged, including its
/// signature.
#[test]
fn single_response_is_passed_on_unchanged() {
    let mut harness = harness_with(Some(routing()));
    let work = sent_work(&harness.call(message(HOST, "/once/7"))).remove(0).1;
    assert!(work.unrepeatable);
    let answer = only_answer(&harness.reply(SELF, reply(&work, "s1", b"booked")));
    let response = answer.response.expect("the server's response");
    assert_eq!((response.status, &response.body[..]), (200, &b"booked"[..]));
    assert!(answer.stamps.is_empty());
}
