//! Tests of the connections that repeated calls of a portion use.

use std::time::Duration;

use ladder_core::leaf::Action;
use ladder_core::leaf::event::Outcome;
use ladder_core::schema::outcome::Reason;
use ladder_core::view::Server;

use crate::harness::{Harness, SentCall, cancel, server, service, settings, view, work};

/// A request to the only server of its service, which refuses its first calls.
struct Case {
    name: &'static str,
    operation: &'static str,
    /// Most connections that the instance may keep to the server.
    share: u32,
    refusals: usize,
}

const CASES: [Case; 4] = [
    Case { name: "spare connections", operation: "book", share: 6, refusals: 1 },
    Case { name: "one connection", operation: "book", share: 1, refusals: 1 },
    Case { name: "more refusals than connections", operation: "book", share: 2, refusals: 4 },
    Case { name: "idempotent", operation: "sweep", share: 1, refusals: 2 },
];

fn refusal(sent: &SentCall) -> Outcome {
    sent.refusal(Reason::TargetShed, 0)
}

/// Guards against taking a late second copy of a refusal for the response to the next call of the
/// same request, which has then run although it was reported as not run.
#[test]
fn refused_request_is_sent_again_on_other_connections_only() {
    for case in CASES {
        let server = Server { share: case.share, ..server(1) };
        let mut harness = Harness::connected(settings(), service(vec![server]));
        harness.deliver_work(work(1, case.operation));
        for refused in 0..case.refusals {
            assert_eq!(harness.sent().len(), refused + 1, "{}: calls", case.name);
            let last = harness.sent().remove(refused);
            harness.end_call(last.attempt, refusal(&last));
            harness.advance(100);
            harness.connect();
        }
        let calls = harness.sent();
        assert_eq!(calls.len(), case.refusals + 1, "{}: calls", case.name);
        for (position, call) in calls.iter().enumerate() {
            let is_reused = calls[..position].iter().any(|one| one.connection == call.connection);
            assert!(!is_reused, "{}: call {position} on a used connection", case.name);
        }
    }
}

/// Guards against opening a connection for each refused call: another request can use the one that
/// carried it.
#[test]
fn connection_of_refused_request_carries_other_requests() {
    let mut harness =
        Harness::connected(settings(), service(vec![Server { share: 1, ..server(1) }]));
    let refused = harness.deliver_and_take_call(1, "book");
    harness.handle(cancel(1));
    harness.end_call(refused.attempt, refusal(&refused));
    harness.advance(100);
    let next = harness.deliver_and_take_call(2, "book");
    assert_eq!(next.connection, refused.connection);
}

/// Guards against closing one idle connection after the other for a request that already waits for
/// a new one.
#[test]
fn used_connection_is_replaced_once() {
    let only = Server { share: 2, ..server(1) };
    let mut harness = Harness::connected(settings(), service(vec![only.clone()]));
    harness.deliver_work(work(1, "book"));
    for refused in 0..2 {
        let last = harness.sent().remove(refused);
        harness.end_call(last.attempt, refusal(&last));
        harness.advance(100);
    }
    for _ in 0..4 {
        harness.handle(view(service(vec![only.clone()])));
    }
    let closed = harness.log.iter().filter(|action| matches!(action, Action::Close(_))).count();
    assert_eq!(closed, 1);
}

/// Guards against sending calls on idle connections to a server that has just terminated, before
/// their ends are reported: these calls would be lost too, and use up the retry budget.
#[test]
fn no_call_is_sent_to_terminated_server_on_remaining_connections() {
    let mut harness = Harness::new();
    harness.learn_call_times(40, 4);
    harness.deliver_sweeps(1..=8);
    let is_at = |call: &SentCall, address| &*call.address == address;
    let (lost, other): (Vec<_>, Vec<_>) =
        harness.sent().into_iter().partition(|call| is_at(call, "10.0.0.1:80"));
    assert_eq!((lost.len(), other.len()), (2, 2));
    harness.log.clear();
    for call in &lost {
        harness.end_call(call.attempt, Outcome::Lost);
    }
    harness.answer_all(other);
    let next = harness.sent();
    assert_eq!(next.len(), 2, "one for each free slot of the other server");
    assert!(next.iter().all(|call| is_at(call, "10.0.0.2:80")));
}

/// Guards against leaving a server unused after one of its connections has broken.
#[test]
fn remaining_connections_are_used_again_if_they_stay_open() {
    let mut harness = Harness::connected(settings(), service(vec![server(1)]));
    harness.deliver_sweeps(1..=2);
    harness.end_call(harness.sent()[0].attempt, Outcome::Lost);
    assert_eq!(harness.sent().len(), 2);
    harness.advance(10);
    assert_eq!(harness.sent().len(), 3);
}

/// Guards against waiting although a connection that was opened later is known to work.
#[test]
fn connection_opened_after_a_break_is_used_at_once() {
    let only = Server { share: 2, ..server(1) };
    let mut harness = Harness::connected(settings(), service(vec![only]));
    harness.deliver_sweeps(1..=2);
    harness.end_call(harness.sent()[0].attempt, Outcome::Lost);
    harness.now = harness.now + Duration::from_millis(1);
    harness.connect();
    assert_eq!(harness.sent().len(), 3);
}
