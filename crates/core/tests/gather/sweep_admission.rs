//! Tests of sweeps that are admitted or refused as a whole.

use std::sync::Arc;

use ladder_core::eligible::ServerHash;
use ladder_core::gather::{Action, Event, Settings, ShareChange};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::{Reply, Work};
use ladder_core::view::{Server, View};

use crate::fleet::SELF;
use crate::forward::{self, HOST, message};
use crate::harness::{Harness, INCARNATION, only_answer, sent_work};

const SERVICES: [&str; 3] = ["s1", "s2", "s3"];

/// Creates a harness with a route `sweep` over three services, of which an answer needs two; each
/// service has two servers.
fn harness(sweep_admission: bool) -> Harness {
    let settings = Settings::builder(SELF, INCARNATION).sweep_admission(sweep_admission).build();
    let mut harness = Harness::with(settings);
    let mut view = View { ready: true, ..forward::view_with(Some(forward::routing())) };
    for name in SERVICES {
        let mut service = view.service(name).expect("a service").clone();
        let server = |number: u32| Server {
            name: format!("{name}-{number}").into(),
            address: format!("{name}-{number}").into(),
            zone: "trindade".into(),
            incarnation: 1,
            leaving: false,
            evacuated: false,
            warmup: std::time::Duration::ZERO,
            slots: 2,
            share: 4,
            holdings: Vec::new(),
        };
        service.servers = vec![server(1), server(2)];
        view.insert(service);
    }
    harness.deliver(Event::View(Arc::new(view)));
    harness
}

fn call_sweep(harness: &mut Harness, number: u32) -> Vec<Action> {
    harness.call(message(HOST, &format!("/docks/{number}")))
}

fn reply(work: &Work, service: &str, admissible_permille: u32) -> Reply {
    Reply { admissible_permille, ..forward::reply(work, service, b"") }
}

/// Answers one sweep whose replies report these values of `admissible_permille`.
fn report(harness: &mut Harness, number: u32, reported: [u32; 3]) {
    let work = sent_work(&call_sweep(harness, number)).remove(0).1;
    for (service, admissible_permille) in SERVICES.iter().zip(reported) {
        harness.reply(SELF, reply(&work, service, admissible_permille));
    }
}

/// A sweep of which some parts are refused wastes the work of the others. In overload a sweep must
/// be sent whole, with the share of the sweeps that its receivers have to reckon with, or refused
/// before anything is sent, truly as not run and with a delay.
#[test]
fn sweeps_are_admitted_or_refused_whole() {
    struct Case {
        name: &'static str,
        sweep_admission: bool,
        /// Values of `admissible_permille` in the replies of the three services.
        reported: [u32; 3],
        /// Expected `admitted_permille` of sent work.
        permille: u32,
    }
    let cases = [
        Case { name: "no limit", sweep_admission: true, reported: [0, 0, 0], permille: 1000 },
        Case { name: "one limit", sweep_admission: true, reported: [401, 0, 0], permille: 1000 },
        Case { name: "limits", sweep_admission: true, reported: [401, 0, 301], permille: 400 },
        Case { name: "no setting", sweep_admission: false, reported: [401, 0, 301], permille: 0 },
    ];
    for case in cases {
        let mut harness = harness(case.sweep_admission);
        report(&mut harness, 0, case.reported);
        let mut admitted = 0;
        for number in 1..=400 {
            let actions = call_sweep(&mut harness, number);
            if let Some((_, work)) = sent_work(&actions).first() {
                assert_eq!(work.admitted_permille, case.permille, "{}", case.name);
                assert_eq!(work.portions.len(), SERVICES.len(), "{}", case.name);
                admitted += 1;
                continue;
            }
            let answer = only_answer(&actions);
            assert_eq!(answer.reason(), Reason::SweepLimit, "{}", case.name);
            assert_eq!(answer.verdict(), Verdict::NotRun, "{}", case.name);
            assert!(answer.retry_after_ms >= 100, "{}: {answer:?}", case.name);
        }
        let expected = if case.permille == 400 { 120..=200 } else { 400..=400 };
        assert!(expected.contains(&admitted), "{}: {admitted}", case.name);
    }
}

/// A refusal without a share says nothing about the service's load, since an instance that does not
/// know the service gives it too. If it lifted the limit, sweeps would be sent in overload whenever
/// owners change. An answer without a share lifts the limit.
#[test]
fn only_answers_lift_a_limit() {
    struct Case {
        reason: Reason,
        limited: bool,
    }
    let cases = [
        Case { reason: Reason::NotOwner, limited: true },
        Case { reason: Reason::QueueFull, limited: true },
        Case { reason: Reason::Unspecified, limited: false },
    ];
    for Case { reason, limited } in cases {
        let mut harness = harness(true);
        let works: Vec<Work> =
            (0..2).map(|number| sent_work(&call_sweep(&mut harness, number)).remove(0).1).collect();
        for service in SERVICES {
            harness.reply(SELF, reply(&works[0], service, 21));
        }
        for service in SERVICES {
            let mut reply = reply(&works[1], service, 0);
            if reason != Reason::Unspecified {
                reply.verdict = Verdict::NotRun.into();
                reply.reason = reason.into();
                reply.parts.clear();
            }
            harness.reply(SELF, reply);
        }
        let sent =
            (10..60).filter(|number| !sent_work(&call_sweep(&mut harness, *number)).is_empty());
        assert_eq!(sent.count() < 10, limited, "{reason:?}");
    }
}

/// Peers can use none of the servers of two of three services, of which two are needed. Each
/// further sweep would wait for these services and then fail; it must be refused at once, until the
/// reports are too old to rely on.
#[test]
fn sweeps_that_cannot_reach_their_floor_are_refused() {
    struct Case {
        reason: Reason,
        services: usize,
        /// Time after the reports.
        after_ms: u64,
        refused: bool,
    }
    let cases = [
        Case { reason: Reason::NoServer, services: 2, after_ms: 10, refused: true },
        Case { reason: Reason::ConnectFailed, services: 2, after_ms: 10, refused: true },
        Case { reason: Reason::ConnectFailed, services: 1, after_ms: 10, refused: false },
        Case { reason: Reason::TargetShed, services: 2, after_ms: 10, refused: false },
        Case { reason: Reason::NoServer, services: 2, after_ms: 1100, refused: false },
    ];
    for Case { reason, services, after_ms, refused } in cases {
        let mut harness = harness(true);
        let work = sent_work(&call_sweep(&mut harness, 0)).remove(0).1;
        for portion in &work.portions[..services] {
            let eligible = portion.eligible.as_ref().expect("named servers");
            let name = format!("{}-1", portion.service);
            assert!(eligible.servers.contains(&ServerHash::of(&name).0), "both servers are named");
            let (verdict, reason) = (Verdict::NotRun.into(), reason.into());
            let refusal = reply(&work, &portion.service, 0);
            harness.reply(SELF, Reply { verdict, reason, parts: Vec::new(), ..refusal });
        }
        harness.advance(after_ms);
        let actions = call_sweep(&mut harness, 1);
        let is_refused = sent_work(&actions).is_empty();
        assert_eq!(is_refused, refused, "{reason:?} of {services} after {after_ms} ms");
        if refused {
            assert_eq!(only_answer(&actions).reason(), Reason::SweepLimit);
        }
    }
}

/// Operators must see that sweeps are limited and by which service. The share changes with nearly
/// every reply, and a line for each change, or for each gap of a moment, would hide the others.
#[test]
fn changes_of_the_share_are_reported() {
    let changes = |actions: &[Action]| -> Vec<ShareChange> {
        let changes = actions.iter().filter_map(|action| match action {
            Action::Share(change) => Some((**change).clone()),
            _ => None,
        });
        changes.collect()
    };
    struct Case {
        reported: u32,
        /// Time until the next sweep arrives.
        after_ms: u64,
        /// Expected share in thousandths and whether it is logged; `None` if there is no change.
        change: Option<(u32, bool)>,
    }
    let cases = [
        Case { reported: 0, after_ms: 10, change: None },
        Case { reported: 901, after_ms: 10, change: Some((900, true)) },
        Case { reported: 801, after_ms: 10, change: Some((800, false)) },
        Case { reported: 801, after_ms: 10, change: None },
        Case { reported: 0, after_ms: 10, change: Some((1000, false)) },
        Case { reported: 701, after_ms: 10, change: Some((700, false)) },
        Case { reported: 0, after_ms: 10, change: Some((1000, false)) },
        Case { reported: 0, after_ms: 2100, change: Some((1000, true)) },
        Case { reported: 0, after_ms: 10, change: None },
    ];
    let mut harness = harness(true);
    // Sweeps that are admitted before any limit, so that their replies can report shares.
    let works: Vec<Work> = (0..cases.len() as u32)
        .map(|number| sent_work(&call_sweep(&mut harness, number)).remove(0).1)
        .collect();
    for (number, (case, work)) in cases.iter().zip(works).enumerate() {
        for service in SERVICES {
            harness.reply(SELF, reply(&work, service, case.reported));
        }
        harness.advance(case.after_ms);
        let actions = call_sweep(&mut harness, 100 + number as u32);
        let change = changes(&actions).pop();
        let shown = change.as_ref().map(|change| (change.share.permille(), change.notable));
        assert_eq!(shown, case.change, "case {number}");
        assert!(change.is_none_or(|change| {
            &*change.route == "sweep"
                && change.service.is_some() == (change.share.permille() < 1000)
        }));
    }
}
