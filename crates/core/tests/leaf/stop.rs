//! Drain, process pause, loss of ownership and wrong answers.

use std::time::Duration;

use ladder_core::count;
use ladder_core::leaf::Event;
use ladder_core::leaf::event::Outcome;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::{target, wire};

use crate::harness::{Harness, SentCall, server, service, view, work};

/// The instance is stopped while calls are in flight and other work is queued. None of it may be
/// interrupted.
#[test]
fn drain_refuses_new_work_and_finishes_open_portions() {
    let mut harness = Harness::new();
    harness.deliver_sweeps(0..5);
    harness.handle(Event::Drain);
    harness.deliver_work(work(10, "sweep"));
    assert_eq!(harness.replies(), [(Verdict::NotRun, Reason::Draining)]);
    assert_eq!(harness.end_each_call(Harness::answer), 5);
    assert_eq!(harness.machine.open(), 0);
}

/// The process is paused for 30 s with queued work, and its view is outdated when it resumes. Late
/// work must not be sent, and non-idempotent work must not be sent on such old information.
#[test]
fn resumed_process_refuses_late_and_non_idempotent_queued_work() {
    let mut harness = Harness::new();
    for query in 0..4 {
        harness.deliver_work(work_with_long_budget(query, "sweep"));
    }
    harness.deliver_work(work(10, "sweep"));
    harness.deliver_work(work_with_long_budget(11, "book"));
    harness.deliver_work(work_with_long_budget(12, "sweep"));
    harness.now = harness.now + Duration::from_secs(30);
    harness.log.retain(|action| !matches!(action, ladder_core::leaf::Action::Reply { .. }));
    let calls = harness.sent();
    harness.handle(Event::Paused(Duration::from_secs(30)));
    let paused = (Verdict::NotRun, Reason::Paused);
    assert_eq!(harness.replies(), [paused, paused]);
    harness.answer_all(calls);
    let keys: Vec<String> = harness.sent().into_iter().map(|sent| sent.request.key).collect();
    assert!(keys.contains(&"key-12".into()));
    assert!(!keys.contains(&"key-10".into()) && !keys.contains(&"key-11".into()));
}

fn work_with_long_budget(query: u64, operation: &str) -> wire::Work {
    wire::Work { budget_us: 60_000_000, ..work(query, operation) }
}

/// Work waited in a socket buffer while the process was paused. The work arrives with its original
/// budget although its entry gave it up long ago, so it must be refused.
#[test]
fn work_buffered_during_a_pause_is_refused() {
    let mut harness = Harness::new();
    harness.now = harness.now + Duration::from_secs(30);
    harness.handle(Event::Paused(Duration::from_secs(30)));
    harness.deliver_work(work(1, "book"));
    assert_eq!(harness.replies(), [(Verdict::NotRun, Reason::Paused)]);
    harness.advance(200);
    harness.connect();
    harness.deliver_work(work(2, "book"));
    assert_eq!(harness.sent().len(), 1);
}

#[test]
fn queued_work_is_refused_when_the_service_moves_to_another_owner() {
    let mut harness = Harness::new();
    harness.deliver_sweeps(0..6);
    let mut moved_service = service(vec![server(1), server(2)]);
    moved_service.candidates.remove(0);
    harness.handle(view(moved_service));
    let not_owner = (Verdict::NotRun, Reason::NotOwner);
    assert_eq!(harness.replies(), [not_owner, not_owner]);
    harness.answer_all(harness.sent());
    assert_eq!(harness.replies().len(), 6);
    assert!(harness.opened.is_empty());
    harness.deliver_work(work(10, "sweep"));
    assert_eq!(harness.replies().last(), Some(&not_owner));
    harness.advance(3000);
    assert!(harness.machine.status(harness.now).is_empty());
}

/// A wrong answer to the open request, and the reason that must be counted.
struct AnswerCase {
    name: &'static str,
    corrupt: fn(&mut target::Answer),
    reason: Reason,
}

/// A connection is out of step or a server changed its index. The answer is to another request or
/// of another version and must not become part of the caller's answer.
#[test]
fn answers_to_other_requests_or_versions_are_dropped() {
    let wrong_answer = |name, corrupt, reason| AnswerCase { name, corrupt, reason };
    let cases = [
        wrong_answer("id", |answer| answer.id = "porto-1.6.1".into(), Reason::WrongAnswer),
        wrong_answer("index", |answer| answer.index = "bikes".into(), Reason::WrongVersion),
        wrong_answer("version", |answer| answer.version = 2, Reason::WrongVersion),
        wrong_answer("shard", |answer| answer.parts[0].shard = "s9".into(), Reason::WrongAnswer),
        wrong_answer("missing shard", |answer| answer.parts.truncate(1), Reason::WrongAnswer),
        wrong_answer("duplicate shard", |a| a.parts[1] = a.parts[0].clone(), Reason::WrongAnswer),
    ];
    for case in cases {
        let mut harness = Harness::new();
        harness.learn_call_times(100, 10);
        let first = harness.deliver_and_take_call(1, "sweep");
        harness.end_call(first.attempt, corrupted_answer(&first, case.corrupt));
        assert_eq!(harness.counted(count::Event::Drop, case.reason), 1, "{}", case.name);
        assert!(harness.replies().is_empty(), "{}", case.name);
        assert!(
            harness.opened.iter().all(|(connection, _)| *connection != first.connection),
            "{}",
            case.name
        );
        let second = harness.sent()[1].clone();
        harness.answer(&second);
        assert_eq!(harness.replies(), [(Verdict::Ran, Reason::Unspecified)], "{}", case.name);
    }
}

fn corrupted_answer(sent: &SentCall, corrupt: fn(&mut target::Answer)) -> Outcome {
    let Outcome::Answer(mut answer) = sent.answer() else {
        unreachable!("answer() answers");
    };
    corrupt(&mut answer);
    Outcome::Answer(answer)
}
