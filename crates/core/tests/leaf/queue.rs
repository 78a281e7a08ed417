//! Queueing: urgency classes, deadlines, limits and early refusal.

use ladder_core::leaf::Settings;
use ladder_core::schema::catalogue::Limits;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire;
use ladder_core::view::Server;

use crate::harness::{Harness, limited, server, service, settings, work};

/// A harness with one server of one slot that runs a first call, and a queue of this length.
fn busy_harness(queue: u32) -> Harness {
    let server_with_one_slot = Server { slots: 1, ..server(1) };
    let limits = Limits { queue, ..Limits::default() };
    let mut harness = Harness::connected(settings(), limited(limits, vec![server_with_one_slot]));
    harness.deliver_work(work(0, "sweep"));
    harness
}

fn with_budget(query: u64, operation: &str, millis: u64) -> wire::Work {
    wire::Work { budget_us: millis * 1000, ..work(query, operation) }
}

/// Answers the latest call and returns the key of the call that follows.
fn answer_and_next_key(harness: &mut Harness) -> String {
    let last = harness.sent().pop().expect("a call");
    harness.answer(&last);
    harness.sent().pop().expect("a call").request.key
}

#[test]
fn urgent_class_goes_first_then_earliest_order_key() {
    let mut harness = busy_harness(100);
    harness.deliver_work(with_budget(1, "rounds", 300));
    harness.deliver_work(with_budget(2, "sweep", 500));
    harness.deliver_work(with_budget(3, "sweep", 400));
    harness.deliver_work(with_budget(4, "check", 500));
    let keys: Vec<String> = (0..4).map(|_| answer_and_next_key(&mut harness)).collect();
    assert_eq!(keys, ["key-4", "key-3", "key-2", "key-1"]);
}

/// A booking has 5 s until its deadline while sweeps with 1 s arrive continuously. If the earliest
/// deadline always went first, the booking would wait for all of them.
#[test]
fn work_with_a_long_deadline_is_overtaken_a_bounded_time() {
    let mut harness = busy_harness(100);
    harness.deliver_work(with_budget(1, "book", 5000));
    let mut order = Vec::new();
    for query in 2..12 {
        harness.advance(20);
        harness.deliver_work(with_budget(query, "sweep", 1000));
        order.push(answer_and_next_key(&mut harness));
    }
    let place = order.iter().position(|key| key == "key-1");
    assert_eq!(place, Some(3), "{order:?}");
}

/// Urgent work arrives continuously. If urgent work always went first, ordinary work would never be
/// answered.
#[test]
fn lower_classes_get_every_eighth_dispatch() {
    let mut harness = busy_harness(100);
    harness.deliver_work(with_budget(1, "rounds", 5000));
    harness.deliver_work(with_budget(2, "sweep", 5000));
    let mut order = Vec::new();
    for query in 10..40 {
        harness.deliver_work(with_budget(query, "check", 5000));
        order.push(answer_and_next_key(&mut harness));
    }
    let place = |key: &str| order.iter().position(|other| other == key);
    assert_eq!(place("key-2"), Some(7));
    assert_eq!(place("key-1"), Some(15));
}

#[test]
fn full_queue_refuses_with_retry_delay() {
    let mut harness = busy_harness(2);
    harness.deliver_sweeps(1..=3);
    assert_eq!(harness.replies(), [(Verdict::NotRun, Reason::QueueFull)]);
    assert!(harness.last_retry_after_ms() > 0);
}

#[test]
fn in_flight_limit_of_the_service_applies_over_all_servers() {
    let limits = Limits { queue: 100, in_flight: 1, ..Limits::default() };
    let mut harness = Harness::connected(settings(), limited(limits, vec![server(1), server(2)]));
    harness.deliver_work(work(1, "sweep"));
    harness.deliver_work(work(2, "sweep"));
    assert_eq!(harness.sent().len(), 1);
    assert_eq!(answer_and_next_key(&mut harness), "key-2");
}

/// Work that can't be finished before its deadline must be refused on arrival with a retry delay,
/// and not at its deadline.
#[test]
fn work_that_would_miss_its_deadline_is_refused_on_arrival() {
    let mut harness = Harness::new();
    harness.learn_call_times(100, 10);
    for query in 0..20 {
        harness.deliver_work(with_budget(query, "sweep", 5000));
    }
    harness.log.clear();
    harness.deliver_work(with_budget(100, "sweep", 30));
    assert_eq!(harness.replies(), [(Verdict::NotRun, Reason::WouldMissDeadline)]);
    assert!(harness.last_retry_after_ms() > 0);
    harness.log.clear();
    harness.deliver_work(with_budget(101, "check", 60));
    assert!(harness.replies().is_empty(), "urgent work doesn't wait for other work");
}

/// Work that has waited too long must be refused while its entry can still use the remaining time,
/// and must not be sent later: the call would occupy a slot and its answer would be late.
#[test]
fn work_that_waited_too_long_is_refused_and_not_sent() {
    for (turn, replied_at) in [(80, 80), (90, 60)] {
        let mut harness = Harness::new();
        harness.learn_call_times(100, 40);
        harness.deliver_sweeps(0..4);
        harness.deliver_work(with_budget(10, "sweep", 100));
        harness.advance(replied_at);
        let refused = (Verdict::NotRun, Reason::WouldMissDeadline);
        assert_eq!(harness.replies(), [refused]);
        harness.advance(turn - replied_at);
        harness.answer_first();
        assert!(harness.sent().iter().all(|sent| sent.request.key != "key-10"));
    }
}

/// The first call was refused after most of the budget had passed. The remaining time is too short
/// for another call.
#[test]
fn retry_that_would_miss_the_deadline_is_not_sent() {
    let mut harness = Harness::new();
    harness.learn_call_times(100, 40);
    harness.deliver_work(with_budget(1, "book", 100));
    harness.advance(70);
    let sent = harness.sent();
    harness.end_call(sent[0].attempt, sent[0].refusal(Reason::TargetShed, 0));
    assert_eq!(harness.sent().len(), 1);
    assert_eq!(harness.replies(), [(Verdict::NotRun, Reason::WouldMissDeadline)]);
}

#[test]
fn without_queueing_work_uses_the_whole_connection_share() {
    let without_queueing = Settings::builder("porto-1", 7).queueing(false).hedging(false).build();
    let mut harness = Harness::connected(without_queueing, service(vec![server(1), server(2)]));
    for query in 0..40 {
        harness.deliver_work(work(query, "sweep"));
        harness.connect();
    }
    assert_eq!(harness.sent().len(), 12);
    assert_eq!(harness.opened.len(), 12);
}

/// Overload: far more sweeps arrive than can be finished. Each owner refuses on its own, and a
/// sweep is complete only if all its services accept it, so the owners must refuse the same
/// queries.
#[test]
fn owners_in_overload_refuse_the_same_queries() {
    let accepted = |start_delay_ms: u64, call_ms: u64| {
        let mut harness =
            Harness::connected(settings_without_hedging(), service(vec![server(1), server(2)]));
        harness.learn_call_times(100, 10);
        harness.advance(start_delay_ms);
        harness.connect();
        let mut accepted = harness.run_overload(call_ms);
        accepted.retain(|query| *query >= 2000);
        accepted
    };
    let (one, other) = (accepted(0, 10), accepted(7, 12));
    assert!((600..=900).contains(&one.len()), "{} of 2000 taken on", one.len());
    let shared = other.iter().filter(|query| one.contains(query)).count();
    assert!(shared * 10 >= other.len() * 9, "{shared} of {} and {}", one.len(), other.len());
}

/// Settings without hedging.
fn settings_without_hedging() -> Settings {
    Settings::builder("porto-1", 7).hedging(false).build()
}

/// A burst of sweeps arrives, or a few ordinary requests among much urgent work, and all of it can
/// be finished in time. Nothing may be refused merely because few of the latest arrivals have been
/// sent yet.
#[test]
fn burst_that_can_finish_in_time_is_not_refused() {
    for (urgent, burst, operation) in [(0, 30, "sweep"), (40, 3, "rounds")] {
        let mut harness =
            Harness::connected(settings_without_hedging(), service(vec![server(1), server(2)]));
        harness.learn_call_times(100, 10);
        harness.advance(60_000);
        harness.connect();
        for query in 0..urgent {
            harness.deliver_work(with_budget(query, "check", 5000));
        }
        for query in 100..100 + burst {
            harness.deliver_work(work(query, operation));
        }
        assert_eq!(harness.replies(), [], "{operation}");
    }
}
