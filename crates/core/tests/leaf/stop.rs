//! Drain, process pause, loss of ownership and wrong answers.

use std::time::Duration;

use ladder_core::count;
use ladder_core::leaf::Event;
use ladder_core::leaf::event::Outcome;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::{target, wire};

use crate::bed::{Bed, Sent, server, service, view, work};

/// The instance is stopped while calls are in flight and other work is queued. None of it may be
/// interrupted.
#[test]
fn drain_refuses_new_work_and_finishes_open_portions() {
    let mut bed = Bed::new();
    bed.sweeps(0..5);
    bed.handle(Event::Drain);
    bed.work(work(10, "sweep"));
    assert_eq!(bed.replies(), [(Verdict::NotRun, Reason::Draining)]);
    assert_eq!(bed.each_sent(Bed::answer), 5);
    assert_eq!(bed.machine.open(), 0);
}

/// The process is paused for 30 s with queued work, and its view is outdated when it resumes. Late
/// work must not be sent, and non-idempotent work must not be sent on such old information.
#[test]
fn resumed_process_refuses_late_and_non_idempotent_queued_work() {
    let mut bed = Bed::new();
    for query in 0..4 {
        bed.work(work_with_long_budget(query, "sweep"));
    }
    bed.work(work(10, "sweep"));
    bed.work(work_with_long_budget(11, "book"));
    bed.work(work_with_long_budget(12, "sweep"));
    bed.now = bed.now + Duration::from_secs(30);
    bed.log.retain(|action| !matches!(action, ladder_core::leaf::Action::Reply { .. }));
    let calls = bed.sent();
    bed.handle(Event::Paused(Duration::from_secs(30)));
    let paused = (Verdict::NotRun, Reason::Paused);
    assert_eq!(bed.replies(), [paused, paused]);
    bed.answer_all(calls);
    let keys: Vec<String> = bed.sent().into_iter().map(|sent| sent.request.key).collect();
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
    let mut bed = Bed::new();
    bed.now = bed.now + Duration::from_secs(30);
    bed.handle(Event::Paused(Duration::from_secs(30)));
    bed.work(work(1, "book"));
    assert_eq!(bed.replies(), [(Verdict::NotRun, Reason::Paused)]);
    bed.advance(200);
    bed.connect();
    bed.work(work(2, "book"));
    assert_eq!(bed.sent().len(), 1);
}

#[test]
fn queued_work_is_refused_when_the_service_moves_to_another_owner() {
    let mut bed = Bed::new();
    bed.sweeps(0..6);
    let mut moved_service = service(vec![server(1), server(2)]);
    moved_service.candidates.remove(0);
    bed.handle(view(moved_service));
    let not_owner = (Verdict::NotRun, Reason::NotOwner);
    assert_eq!(bed.replies(), [not_owner, not_owner]);
    bed.answer_all(bed.sent());
    assert_eq!(bed.replies().len(), 6);
    assert!(bed.opened.is_empty());
    bed.work(work(10, "sweep"));
    assert_eq!(bed.replies().last(), Some(&not_owner));
    bed.advance(3000);
    assert!(bed.machine.status(bed.now).is_empty());
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
        let mut bed = Bed::new();
        bed.teach(100, 10);
        let first = bed.ask(1, "sweep");
        bed.end(first.attempt, corrupted_answer(&first, case.corrupt));
        assert_eq!(bed.counted(count::Event::Drop, case.reason), 1, "{}", case.name);
        assert!(bed.replies().is_empty(), "{}", case.name);
        assert!(bed.opened.iter().all(|(lane, _)| *lane != first.lane), "{}", case.name);
        let second = bed.sent()[1].clone();
        bed.answer(&second);
        assert_eq!(bed.replies(), [(Verdict::Ran, Reason::Unspecified)], "{}", case.name);
    }
}

fn corrupted_answer(sent: &Sent, corrupt: fn(&mut target::Answer)) -> Outcome {
    let Outcome::Answer(mut answer) = sent.answer() else {
        unreachable!("answer() answers");
    };
    corrupt(&mut answer);
    Outcome::Answer(answer)
}
