//! Messages that are forwarded: routes, splits, sweeps with a target and a floor.

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

use crate::fleet::{Fleet, SELF, site};
use crate::session::{INCARNATION, Session, answer, answers, works};

/// The host of all routes.
const HOST: &str = "porto.example";

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

/// A sweep over three services that needs two of them, and single routes below and beside it.
fn routing() -> Routing {
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

/// The view of a session in which this instance may work on all services itself.
fn view(routing: Option<Routing>) -> View {
    let sites = ["s1", "s2", "s3"].map(|name| site(name, [SELF, "e2", "e3"])).to_vec();
    let fleet = Fleet { sites, ..Fleet::default() };
    let routing = routing.map(|routing| Arc::new(Table::new(&routing)));
    View { routing, ..View::clone(&fleet.view()) }
}

/// A session with this view.
fn session(routing: Option<Routing>) -> Session {
    let mut session = Session::new(&Fleet::default());
    let view = View { generation: 2, ..view(routing) };
    session.give(Event::View(Arc::new(view)));
    session
}

fn message(host: &str, target: &str) -> Request {
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

/// The reply that covers the portion of `service` with this body.
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

/// The reply that refuses the portion of `service` without having run it.
fn refused(work: &Work, service: &str) -> Reply {
    let reason = Reason::TargetShed.into();
    let verdict = Verdict::NotRun.into();
    Reply { verdict, reason, parts: Vec::new(), ..reply(work, service, b"") }
}

/// Records, each of one kind of byte.
pub(crate) fn records(bytes: &[u8]) -> Vec<u8> {
    bytes.iter().flat_map(|byte| [*byte; 16]).collect()
}

/// Sends the sweep; gives the work.
fn sweep(session: &mut Session) -> Work {
    works(&session.call(message(HOST, "/docks/all"))).remove(0).1
}

/// What a message asks for and where it goes.
struct Case {
    host: &'static str,
    target: &'static str,
    services: &'static [&'static str],
}

/// A cyclist's lookup must reach the service that the operators' newest routes name: that of the
/// longest prefix on its host, whatever port or query stands in it.
#[test]
fn route_of_a_message() {
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
        let mut session = session(Some(routing()));
        let actions = session.call(message(case.host, case.target));
        let sent: Vec<String> = works(&actions)
            .iter()
            .flat_map(|(_, work)| &work.portions)
            .map(|portion| portion.service.clone())
            .collect();
        assert_eq!(sent, case.services, "{} {}", case.host, case.target);
        if case.services.is_empty() {
            let answer = answer(&actions);
            assert_eq!(
                (answer.verdict(), answer.reason()),
                (Verdict::NotRun, Reason::UnknownRoute)
            );
        }
    }
}

/// An instance that has just started knows no routes yet. "No such route" would be untrue and would
/// keep callers from coming back; it says that it is not ready, and when to try again.
#[test]
fn unknown_routes_are_not_missing_routes() {
    let mut session = session(None);
    let answer = answer(&session.call(message(HOST, "/docks/all")));
    assert_eq!((answer.verdict(), answer.reason()), (Verdict::NotRun, Reason::NotReady));
    assert!(answer.retry_after_ms > 0);
}

/// Operators move a part of the traffic to another service. At every moment each service has got its
/// part within one message, also at few messages a second.
#[test]
fn split_holds_its_weights() {
    let mut session = session(Some(routing()));
    let mut counts = [0_u32; 3];
    for sent in 1..=300_u32 {
        let work = works(&session.call(message(HOST, "/split/x"))).remove(0).1;
        let service = &work.portions[0].service;
        let place = ["s1", "s2", "s3"].iter().position(|name| name == service).expect("a branch");
        counts[place] += 1;
        for (count, weight) in counts.iter().zip([0.7, 0.2, 0.1]) {
            let owed = f64::from(sent) * weight;
            assert!((f64::from(*count) - owed).abs() <= 1.0, "{counts:?} after {sent}");
        }
    }
}

/// A sweep answers with the greatest records over all its parts, each as often as it stands there,
/// and names the signature of each part.
#[test]
fn sweep_merges_the_greatest_records() {
    let mut session = session(Some(routing()));
    let work = sweep(&mut session);
    session.reply(SELF, reply(&work, "s1", &records(&[1, 9])));
    session.reply(SELF, reply(&work, "s3", &[records(&[9, 2]), vec![255; 7]].concat()));
    let answer = answer(&session.reply(SELF, reply(&work, "s2", &records(&[3]))));
    let response = answer.response.expect("a merged response");
    assert_eq!(response.body, records(&[9, 9, 3]));
    assert_eq!(answer.stamps, ["signed by s1", "signed by s2", "signed by s3"]);
    assert!(answer.missing.is_empty());
}

/// One server of a sweep stands still. An answer that waits for it is late and worth a tenth; with
/// the floor reached, the sweep answers before its target time and says what is missing.
#[test]
fn sweep_answers_at_its_target_with_the_floor() {
    let mut session = session(Some(routing()));
    let work = sweep(&mut session);
    session.reply(SELF, reply(&work, "s1", &records(&[1])));
    session.reply(SELF, reply(&work, "s2", &records(&[2])));
    assert!(answers(&session.pass(80)).is_empty(), "there is time for the third part");
    let answer = answer(&session.pass(12));
    assert_eq!(answer.stamps, ["signed by s1", "signed by s2"]);
    assert_eq!(answer.missing.len(), 1);
    assert!(answer.response.is_some());
}

/// Too few parts are in at the target time. A late answer is better than none: the sweep goes on and
/// answers at the moment at which the floor is reached.
#[test]
fn sweep_below_its_floor_goes_on() {
    let mut session = session(Some(routing()));
    let work = sweep(&mut session);
    session.reply(SELF, reply(&work, "s1", &records(&[1])));
    assert!(answers(&session.pass(200)).is_empty());
    let answer = answer(&session.reply(SELF, reply(&work, "s2", &records(&[2]))));
    assert!(answer.response.is_some());
    assert_eq!(answer.missing.len(), 1);
}

/// What the owner of the last part says when the sweep is taken back, two of three parts being refused.
struct Withdrawal {
    name: &'static str,
    last: Option<fn(&Work) -> Reply>,
    verdict: Verdict,
}

fn taken_back(work: &Work, verdict: Verdict) -> Reply {
    let (verdict, reason) = (verdict.into(), Reason::Cancelled.into());
    Reply { verdict, reason, parts: Vec::new(), ..reply(work, "s3", b"") }
}

/// Guards against telling a caller that a request may have run of which no server got anything.
#[test]
fn hopeless_sweep_is_taken_back_before_it_is_refused() {
    let cases = [
        Withdrawal {
            name: "it sent nothing",
            last: Some(|work| taken_back(work, Verdict::NotRun)),
            verdict: Verdict::NotRun,
        },
        Withdrawal {
            name: "it reaches no server either",
            last: Some(|work| Reply {
                reason: Reason::ConnectFailed.into(),
                ..taken_back(work, Verdict::NotRun)
            }),
            verdict: Verdict::NotRun,
        },
        Withdrawal {
            name: "it is at a server",
            last: Some(|work| taken_back(work, Verdict::MayHaveRun)),
            verdict: Verdict::MayHaveRun,
        },
        Withdrawal {
            name: "it answers meanwhile",
            last: Some(|work| reply(work, "s3", &records(&[1]))),
            verdict: Verdict::Ran,
        },
        Withdrawal { name: "it says nothing", last: None, verdict: Verdict::MayHaveRun },
    ];
    for Withdrawal { name, last, verdict } in cases {
        let mut session = session(Some(routing()));
        let work = sweep(&mut session);
        assert!(answers(&session.reply(SELF, refused(&work, "s1"))).is_empty());
        let actions = session.reply(SELF, refused(&work, "s2"));
        assert!(answers(&actions).is_empty(), "{name}: its word is waited for");
        assert!(actions.iter().any(|action| matches!(action, Action::Cancel { .. })), "{name}");
        let account = session.machine.explain("key of /docks/all").expect("an account");
        let withdrawn =
            account.steps.iter().any(|stamp| matches!(stamp.step, Step::Withdrawn { portions: 1 }));
        assert!(withdrawn, "{name}: its account says so");
        let actions = match last {
            Some(last) => session.reply(SELF, last(&work)),
            None => session.pass(20),
        };
        let answer = answer(&actions);
        assert_eq!(answer.verdict(), verdict, "{name}");
        assert!(answer.response.is_none(), "{name}");
    }
}

/// Guards against waiting for an owner's word that cannot change what the caller is told.
#[test]
fn hopeless_sweep_of_which_something_ran_ends_at_once() {
    let mut session = session(Some(routing()));
    let work = sweep(&mut session);
    let lost = Reply { verdict: Verdict::MayHaveRun.into(), ..refused(&work, "s1") };
    assert!(answers(&session.reply(SELF, lost)).is_empty());
    let actions = session.reply(SELF, refused(&work, "s2"));
    assert_eq!(answer(&actions).verdict(), Verdict::MayHaveRun);
    assert!(actions.iter().any(|action| matches!(action, Action::Cancel { .. })));
}

/// Services whose servers may receive nothing, and what then becomes of a sweep that needs two of three.
struct Reach {
    evacuated: &'static [&'static str],
    leaving: &'static [&'static str],
    refused: Option<Reason>,
}

/// Guards against asking for parts of a sweep whose floor is known to be out of reach.
#[test]
fn sweep_out_of_reach_is_refused_before_anything_is_sent() {
    let cases = [
        Reach { evacuated: &["s1"], leaving: &[], refused: None },
        Reach { evacuated: &["s1", "s2"], leaving: &[], refused: Some(Reason::Evacuated) },
        Reach { evacuated: &["s1"], leaving: &["s3"], refused: Some(Reason::Evacuated) },
        Reach { evacuated: &[], leaving: &["s2", "s3"], refused: Some(Reason::NoServer) },
    ];
    for case in cases {
        let mut session = session(Some(routing()));
        let mut view = View { generation: 3, ..view(Some(routing())) };
        for service in view.services.values_mut() {
            let service = Arc::make_mut(service);
            for server in &mut service.servers {
                server.evacuated = case.evacuated.contains(&&*service.name);
                server.leaving = case.leaving.contains(&&*service.name);
            }
        }
        session.give(Event::View(Arc::new(view)));
        let actions = session.call(message(HOST, "/docks/all"));
        match case.refused {
            None => assert_eq!(works(&actions).len(), 1),
            Some(reason) => {
                let answer = answer(&actions);
                assert_eq!((answer.verdict(), answer.reason()), (Verdict::NotRun, reason));
                assert!(works(&actions).is_empty());
                assert!(answer.retry_after_ms > 0);
            }
        }
    }
}

/// A sweep that ends below its floor has parts, but no answer may be made of them.
#[test]
fn sweep_never_answers_below_its_floor() {
    let mut session = session(Some(routing()));
    let work = sweep(&mut session);
    session.reply(SELF, reply(&work, "s1", &records(&[1])));
    let answer = answer(&session.pass(400));
    assert!(answer.response.is_none());
    assert_ne!(answer.verdict(), Verdict::NotRun, "a part of it ran");
}

/// The time that a message may take is the least of what its caller waits and what its route allows.
#[test]
fn least_of_deadline_and_timeout() {
    for (deadline_ms, most_ms) in [(400, 400), (0, 600), (5000, 600)] {
        let mut session = session(Some(routing()));
        let request = Request { deadline_ms, ..message(HOST, "/docks/free/4") };
        let work = works(&session.call(request)).remove(0).1;
        let budget_ms = work.budget_us / 1000;
        assert!((most_ms * 8 / 10..most_ms).contains(&budget_ms), "{budget_ms} of {most_ms}");
        let answers: Vec<Answer> = answers(&session.pass(most_ms));
        assert_eq!(answers.len(), 1, "a final answer by then");
    }
}

/// A server's own response to a single message is passed on as it is, with its signature.
#[test]
fn single_response_is_passed_on() {
    let mut session = session(Some(routing()));
    let work = works(&session.call(message(HOST, "/once/7"))).remove(0).1;
    assert!(work.unrepeatable);
    let answer = answer(&session.reply(SELF, reply(&work, "s1", b"booked")));
    let response = answer.response.expect("the server's response");
    assert_eq!((response.status, &response.body[..]), (200, &b"booked"[..]));
    assert!(answer.stamps.is_empty());
}
