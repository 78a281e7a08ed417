//! Tests of the connections that repeated calls of a portion use.

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
