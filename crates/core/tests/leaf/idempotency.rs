//! Tests of non-idempotent requests: records of request keys, verdicts, cancellations.

use ladder_core::leaf::event::Outcome;
use ladder_core::leaf::{Action, Event};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire;

use crate::harness::{Harness, SentCall, cancel, peer, server, service, settings, work};

/// Result of the first delivery before the second one arrives.
#[derive(Clone, Copy, Debug)]
enum First {
    None,
    Open,
    Answered,
    Lost,
    LateAnswer,
    Cancelled,
    RefusedLate,
}

struct Case {
    first: First,
    /// Attempt number of the second delivery; the first delivery has attempt number 1.
    attempt: u32,
    runs: bool,
}

fn booking(query: u64, attempt: u32) -> wire::Work {
    wire::Work { key: "booking".into(), attempt, ..work(query, "book") }
}

/// Fills all slots, so that later work is queued.
fn fill(harness: &mut Harness) -> Vec<SentCall> {
    harness.deliver_sweeps(100..104);
    harness.sent()
}

fn first_delivery(harness: &mut Harness, first: First) {
    if let First::Cancelled = first {
        let slot_calls = fill(harness);
        harness.deliver_work(booking(1, 1));
        harness.handle(cancel(1));
        harness.answer_all(slot_calls);
        return;
    }
    if !matches!(first, First::None) {
        harness.deliver_work(booking(1, 1));
    }
    let Some(sent) = harness.sent().pop() else {
        return;
    };
    match first {
        First::Answered => harness.answer(&sent),
        First::Lost => harness.end_call(sent.attempt, Outcome::Lost),
        First::LateAnswer => {
            harness.handle(cancel(1));
            harness.answer(&sent);
        }
        First::RefusedLate => {
            harness.handle(cancel(1));
            harness.end_call(sent.attempt, sent.refusal(Reason::TargetShed, 0));
            harness.advance(50);
        }
        _ => {}
    }
}

/// A caller books a dock, gets no answer and repeats the request through another entry instance,
/// with the same key and a higher attempt number. The booking would run a second time unless the
/// owner refuses a request that may have run before.
#[test]
fn second_delivery_runs_only_if_the_first_provably_did_not() {
    let case = |first, attempt, runs| Case { first, attempt, runs };
    let cases = [
        case(First::None, 0, true),
        case(First::None, 1, true),
        case(First::None, 2, false),
        case(First::Open, 1, false),
        case(First::Open, 2, false),
        case(First::Answered, 1, false),
        case(First::Answered, 2, false),
        case(First::Lost, 1, false),
        case(First::Lost, 2, false),
        case(First::LateAnswer, 2, false),
        case(First::Cancelled, 1, true),
        case(First::Cancelled, 2, true),
        case(First::Cancelled, 3, false),
        case(First::RefusedLate, 2, true),
    ];
    for case in cases {
        let mut harness = Harness::new();
        first_delivery(&mut harness, case.first);
        harness.log.clear();
        harness.deliver_work(booking(2, case.attempt));
        let name = format!("{:?}, then attempt {}", case.first, case.attempt);
        assert_eq!(harness.sent().len(), usize::from(case.runs), "{name}");
        let refused = [(Verdict::MayHaveRun, Reason::RepeatedKey)];
        let expected = if case.runs { &[][..] } else { &refused[..] };
        assert_eq!(harness.replies(), expected, "{name}");
    }
}

/// The owner refuses a booking as not run, and the entry instance sends it to the next candidate,
/// where it runs. The answer is lost and the caller repeats the request as attempt 2. The record of
/// the first owner must not count as proof that attempt 1 did not run anywhere.
#[test]
fn refusal_as_not_run_is_no_proof_for_the_next_attempt() {
    let mut harness = Harness::new();
    fill(&mut harness);
    harness.deliver_work(booking(1, 1));
    harness.advance(499);
    assert!(harness.replies().contains(&(Verdict::NotRun, Reason::Deadline)));
    harness.answer_all(harness.sent());
    harness.log.clear();
    harness.deliver_work(booking(2, 2));
    assert_eq!(harness.replies(), [(Verdict::MayHaveRun, Reason::RepeatedKey)]);
    harness.log.clear();
    harness.deliver_work(booking(3, 1));
    assert_eq!(harness.sent().len(), 1);
}

/// Both servers refuse a booking as cancelled although no one cancelled it: the servers drop calls
/// that wait too long. The reply must not state a cancellation, and the owner must not record the
/// key as withdrawn by its entry instance, which may have run the booking elsewhere since.
#[test]
fn refusal_as_cancelled_by_servers_is_no_cancellation() {
    let mut harness = Harness::new();
    harness.deliver_work(booking(1, 1));
    let calls = harness.end_each_call(|harness, sent| {
        harness.end_call(sent.attempt, sent.refusal(Reason::Cancelled, 0));
    });
    assert!(calls > 1, "the call is retried at another server");
    assert_eq!(harness.replies(), [(Verdict::NotRun, Reason::TargetTimeout)]);
    harness.log.clear();
    harness.deliver_work(booking(2, 2));
    assert_eq!(harness.replies(), [(Verdict::MayHaveRun, Reason::RepeatedKey)]);
}

/// A cancellation overtakes its work. The entry instance has reported to its caller that the
/// request was cancelled, so the work that arrives later must not run.
#[test]
fn work_that_arrives_after_its_cancellation_does_not_run() {
    for operation in ["sweep", "book"] {
        let mut harness = Harness::new();
        harness.handle(cancel(1));
        harness.deliver_work(work(1, operation));
        assert_eq!(harness.replies(), [(Verdict::NotRun, Reason::Cancelled)]);
        assert!(harness.sent().is_empty());
    }
}

/// Two entry instances start in the same microsecond, for example when a site comes back after a
/// power loss. Their incarnations are equal and both number their queries from one. A cancellation
/// by one of them must not end any queued, sent or later work of the other.
#[test]
fn cancellation_affects_only_its_own_entry_instance() {
    let other = |query| Event::Work {
        from: peer("porto-3"),
        incarnation: 9,
        work: wire::Work { key: format!("other-{query}"), ..work(query, "sweep") },
    };
    let mut harness = Harness::new();
    for query in [1, 2] {
        harness.deliver_work(work(query, "sweep"));
        harness.handle(other(query));
        // The first two calls are sent; the sweeps after them are queued.
        harness.deliver_sweeps(query * 100..query * 100 + 2);
    }
    for query in 1..=3 {
        harness.handle(cancel(query));
    }
    harness.handle(other(3));
    let cancelled =
        [(Verdict::MayHaveRun, Reason::Cancelled), (Verdict::NotRun, Reason::Cancelled)];
    assert_eq!(harness.replies(), cancelled, "only the queries of porto-2");
    harness.end_each_call(Harness::answer);
    let ran = harness.replies().split_off(cancelled.len());
    assert_eq!(ran, [(Verdict::Ran, Reason::Unspecified); 7]);
}

/// The caller disconnects. A sweep is cancelled at its server; a booking is not, because the
/// outcome of a booking that is aborted halfway would stay unknown.
#[test]
fn only_idempotent_calls_are_cancelled_at_the_server() {
    for (operation, cancels) in [("sweep", 1), ("book", 0)] {
        let mut harness = Harness::new();
        harness.deliver_work(work(1, operation));
        harness.handle(cancel(1));
        let sent = harness.log.iter().filter(|action| matches!(action, Action::Cancel { .. }));
        assert_eq!(sent.count(), cancels, "{operation}");
        assert_eq!(harness.replies(), [(Verdict::MayHaveRun, Reason::Cancelled)]);
    }
}

/// The network delivers a frame twice. The second delivery must not run and must not get a second
/// reply.
#[test]
fn duplicated_delivery_is_ignored() {
    for operation in ["sweep", "book"] {
        let mut harness = Harness::new();
        harness.deliver_work(work(1, operation));
        harness.deliver_work(work(1, operation));
        assert_eq!(harness.sent().len(), 1);
        harness.answer_first();
        harness.deliver_work(work(1, operation));
        assert_eq!(harness.sent().len(), 1);
        assert_eq!(harness.replies().len(), 1);
    }
}

/// A client library may omit the flag. The catalogue marks bookings as non-idempotent, and the
/// owner must respect that.
#[test]
fn catalogue_makes_an_operation_non_idempotent() {
    let mut harness = Harness::new();
    harness.deliver_work(wire::Work { unrepeatable: false, ..work(1, "book") });
    harness.end_call(harness.sent()[0].attempt, Outcome::Lost);
    assert_eq!(harness.sent().len(), 1);
    assert_eq!(harness.replies(), [(Verdict::MayHaveRun, Reason::TargetLost)]);
}

/// Records expire: after ten minutes a first attempt may run again, a later attempt still may not.
#[test]
fn records_expire() {
    for (attempt, runs) in [(1, true), (2, false)] {
        let mut harness = Harness::connected(settings(), service(vec![server(1), server(2)]));
        harness.deliver_work(booking(1, 1));
        harness.answer_first();
        harness.advance(601_000);
        harness.connect();
        harness.log.clear();
        harness.deliver_work(booking(2, attempt));
        assert_eq!(harness.sent().len(), usize::from(runs), "attempt {attempt}");
    }
}
