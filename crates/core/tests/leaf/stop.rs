//! Drain, suspension, loss of ownership, wrong answers.

use std::time::Duration;

use ladder_core::count;
use ladder_core::leaf::Event;
use ladder_core::leaf::event::Outcome;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::{target, wire};

use crate::bed::{Bed, Sent, server, service, view, work};

/// The instance is stopped while calls are in flight and others wait. None of them may be cut.
#[test]
fn drain_finishes_what_is_open() {
    let mut bed = Bed::new();
    bed.sweeps(0..5);
    bed.handle(Event::Drain);
    bed.work(work(10, "sweep"));
    assert_eq!(bed.replies(), [(Verdict::NotRun, Reason::Draining)]);
    assert_eq!(bed.each_sent(Bed::answer), 5);
    assert_eq!(bed.machine.open(), 0);
}

/// The process is suspended for 30 s with work in its queue and wakes up believing what was true
/// before. What is late must not be sent, and nothing unrepeatable on such old knowledge.
#[test]
fn suspension_with_work_in_the_queue() {
    let mut bed = Bed::new();
    for query in 0..4 {
        bed.work(long(query, "sweep"));
    }
    bed.work(work(10, "sweep"));
    bed.work(long(11, "book"));
    bed.work(long(12, "sweep"));
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

fn long(query: u64, operation: &str) -> wire::Work {
    wire::Work { budget_us: 60_000_000, ..work(query, operation) }
}

/// Work lay in a socket buffer while the process was suspended. It arrives with the budget it was
/// sent with, although its entry gave it up long ago.
#[test]
fn work_that_lay_through_a_suspension() {
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
fn queue_is_refused_when_the_service_moves_away() {
    let mut bed = Bed::new();
    bed.sweeps(0..6);
    let mut moved = service(vec![server(1), server(2)]);
    moved.candidates.remove(0);
    bed.handle(view(moved));
    let moved = (Verdict::NotRun, Reason::NotOwner);
    assert_eq!(bed.replies(), [moved, moved]);
    bed.answer_all(bed.sent());
    assert_eq!(bed.replies().len(), 6);
    assert!(bed.opened.is_empty());
    bed.work(work(10, "sweep"));
    assert_eq!(bed.replies().last(), Some(&moved));
    bed.advance(3000);
    assert!(bed.machine.status(bed.now).is_empty());
}

/// An answer that is not the one to the open request.
struct Wrong {
    name: &'static str,
    spoil: fn(&mut target::Answer),
    reason: Reason,
}

/// A connection is out of step or a server changed its index. Its answer is to another request or
/// of another version, and would enter the caller's answer as if it belonged there.
#[test]
fn wrong_answers_are_dropped() {
    let wrong = |name, spoil, reason| Wrong { name, spoil, reason };
    let cases = [
        wrong("id", |answer| answer.id = "porto-1.6.1".into(), Reason::WrongAnswer),
        wrong("index", |answer| answer.index = "bikes".into(), Reason::WrongVersion),
        wrong("version", |answer| answer.version = 2, Reason::WrongVersion),
        wrong("shard", |answer| answer.parts[0].shard = "s9".into(), Reason::WrongAnswer),
        wrong("missing shard", |answer| answer.parts.truncate(1), Reason::WrongAnswer),
        wrong("doubled shard", |a| a.parts[1] = a.parts[0].clone(), Reason::WrongAnswer),
    ];
    for case in cases {
        let mut bed = Bed::new();
        bed.teach(100, 10);
        let first = bed.ask(1, "sweep");
        bed.end(first.attempt, spoiled(&first, case.spoil));
        assert_eq!(bed.counted(count::Event::Drop, case.reason), 1, "{}", case.name);
        assert!(bed.replies().is_empty(), "{}", case.name);
        assert!(bed.opened.iter().all(|(lane, _)| *lane != first.lane), "{}", case.name);
        let second = bed.sent()[1].clone();
        bed.answer(&second);
        assert_eq!(bed.replies(), [(Verdict::Ran, Reason::Unspecified)], "{}", case.name);
    }
}

fn spoiled(sent: &Sent, spoil: fn(&mut target::Answer)) -> Outcome {
    let Outcome::Answer(mut answer) = sent.answer() else {
        unreachable!("answer() answers");
    };
    spoil(&mut answer);
    Outcome::Answer(answer)
}
