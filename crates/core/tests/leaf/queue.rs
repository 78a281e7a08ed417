//! Urgency, deadlines, limits and early refusal.

use ladder_core::leaf::Settings;
use ladder_core::schema::catalogue::Limits;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire;
use ladder_core::view::Server;

use crate::bed::{Bed, limited, server, service, settings, work};

/// One server with one slot, whose first call is under way, and a queue of this length.
fn busy(queue: u32) -> Bed {
    let only = Server { slots: 1, ..server(1) };
    let limits = Limits { queue, ..Limits::default() };
    let mut bed = Bed::with(settings(), limited(limits, vec![only]));
    bed.work(work(0, "sweep"));
    bed
}

fn with_budget(query: u64, operation: &str, millis: u64) -> wire::Work {
    wire::Work { budget_us: millis * 1000, ..work(query, operation) }
}

/// Ends the last call and returns the key of the next one.
fn next(bed: &mut Bed) -> String {
    let last = bed.sent().pop().expect("a call");
    bed.answer(&last);
    bed.sent().pop().expect("a call").request.key
}

#[test]
fn urgent_goes_first_then_the_earliest_deadline() {
    let mut bed = busy(100);
    bed.work(with_budget(1, "rounds", 300));
    bed.work(with_budget(2, "sweep", 500));
    bed.work(with_budget(3, "sweep", 400));
    bed.work(with_budget(4, "check", 500));
    let order: Vec<String> = (0..4).map(|_| next(&mut bed)).collect();
    assert_eq!(order, ["key-4", "key-3", "key-2", "key-1"]);
}

/// A commuter books a dock and has two seconds; sweeps with less time arrive all the while. The
/// booking would wait for all of them if the earliest deadline went first.
#[test]
fn later_work_with_less_time_does_not_overtake_for_ever() {
    let mut bed = busy(100);
    bed.work(with_budget(1, "book", 5000));
    let mut order = Vec::new();
    for query in 2..12 {
        bed.advance(20);
        bed.work(with_budget(query, "sweep", 1000));
        order.push(next(&mut bed));
    }
    let place = order.iter().position(|key| key == "key-1");
    assert_eq!(place, Some(3), "{order:?}");
}

/// The police desk asks without pause. Patrol staff would never be answered if urgent work always
/// went first.
#[test]
fn lower_classes_are_not_starved() {
    let mut bed = busy(100);
    bed.work(with_budget(1, "rounds", 5000));
    bed.work(with_budget(2, "sweep", 5000));
    let mut order = Vec::new();
    for query in 10..40 {
        bed.work(with_budget(query, "check", 5000));
        order.push(next(&mut bed));
    }
    let place = |key: &str| order.iter().position(|other| other == key);
    assert_eq!(place("key-2"), Some(7));
    assert_eq!(place("key-1"), Some(15));
}

#[test]
fn full_queue_refuses_with_when_to_come_back() {
    let mut bed = busy(2);
    bed.sweeps(1..=3);
    assert_eq!(bed.replies(), [(Verdict::NotRun, Reason::QueueFull)]);
    assert!(bed.retry_after() > 0);
}

#[test]
fn service_limit_holds_over_all_servers() {
    let limits = Limits { queue: 100, in_flight: 1, ..Limits::default() };
    let mut bed = Bed::with(settings(), limited(limits, vec![server(1), server(2)]));
    bed.work(work(1, "sweep"));
    bed.work(work(2, "sweep"));
    assert_eq!(bed.sent().len(), 1);
    assert_eq!(next(&mut bed), "key-2");
}

/// A ward officer waits at the counter for work that cannot be done before the deadline. It is
/// refused on arrival, with when to come back, and not when its time is up.
#[test]
fn hopeless_work_is_refused_on_arrival() {
    let mut bed = Bed::new();
    bed.teach(100, 10);
    for query in 0..20 {
        bed.work(with_budget(query, "sweep", 5000));
    }
    bed.log.clear();
    bed.work(with_budget(100, "sweep", 30));
    assert_eq!(bed.replies(), [(Verdict::NotRun, Reason::WouldMissDeadline)]);
    assert!(bed.retry_after() > 0);
    bed.log.clear();
    bed.work(with_budget(101, "check", 60));
    assert!(bed.replies().is_empty(), "the urgent do not wait for the others");
}

/// Work that has waited too long is refused while its entry can still use the time, and not sent
/// when its turn comes: the call would occupy a slot and its answer would be late.
#[test]
fn late_work_is_not_sent() {
    for (turn, replied_at) in [(80, 80), (90, 60)] {
        let mut bed = Bed::new();
        bed.teach(100, 40);
        bed.sweeps(0..4);
        bed.work(with_budget(10, "sweep", 100));
        bed.advance(replied_at);
        let refused = (Verdict::NotRun, Reason::WouldMissDeadline);
        assert_eq!(bed.replies(), [refused]);
        bed.advance(turn - replied_at);
        bed.answer_first();
        assert!(bed.sent().iter().all(|sent| sent.request.key != "key-10"));
    }
}

/// The first call was refused after most of the budget. What is left is too short for another one.
#[test]
fn late_retry_is_not_sent() {
    let mut bed = Bed::new();
    bed.teach(100, 40);
    bed.work(with_budget(1, "book", 100));
    bed.advance(70);
    let sent = bed.sent();
    bed.end(sent[0].attempt, sent[0].refusal(Reason::TargetShed, 0));
    assert_eq!(bed.sent().len(), 1);
    assert_eq!(bed.replies(), [(Verdict::NotRun, Reason::WouldMissDeadline)]);
}

#[test]
fn without_queueing_all_connections_are_used() {
    let direct = Settings::builder("porto-1", 7).queueing(false).hedging(false).build();
    let mut bed = Bed::with(direct, service(vec![server(1), server(2)]));
    for query in 0..40 {
        bed.work(work(query, "sweep"));
        bed.connect();
    }
    assert_eq!(bed.sent().len(), 12);
    assert_eq!(bed.opened.len(), 12);
}

/// Overload: far more sweeps arrive than can be done. Each owner refuses on its own; a sweep is
/// complete only if all its services take it on, so they must refuse the same queries.
#[test]
fn overload_refuses_the_same_queries_at_every_service() {
    let taken = |later: u64, slow: u64| {
        let mut bed = Bed::with(plain(), service(vec![server(1), server(2)]));
        bed.teach(100, 10);
        bed.advance(later);
        bed.connect();
        let mut taken = bed.overload(slow);
        taken.retain(|query| *query >= 2000);
        taken
    };
    let (one, other) = (taken(0, 10), taken(7, 12));
    assert!((600..=900).contains(&one.len()), "{} of 2000 taken on", one.len());
    let shared = other.iter().filter(|query| one.contains(query)).count();
    assert!(shared * 10 >= other.len() * 9, "{shared} of {} and {}", one.len(), other.len());
}

/// Without second copies.
fn plain() -> Settings {
    Settings::builder("porto-1", 7).hedging(false).build()
}

/// A train arrives and many commuters ask at once, or patrol staff ask for the first time while the
/// police desk asks much. All of it can be done in time; nothing may be refused because few of the
/// last arrivals are sent yet.
#[test]
fn burst_that_is_done_in_time_is_not_refused() {
    for (before, burst, operation) in [(0, 30, "sweep"), (40, 3, "rounds")] {
        let mut bed = Bed::with(plain(), service(vec![server(1), server(2)]));
        bed.teach(100, 10);
        bed.advance(60_000);
        bed.connect();
        for query in 0..before {
            bed.work(with_budget(query, "check", 5000));
        }
        for query in 100..100 + burst {
            bed.work(work(query, operation));
        }
        assert_eq!(bed.replies(), [], "{operation}");
    }
}
