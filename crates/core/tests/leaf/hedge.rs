//! Tests of hedging: second calls for slow first calls.

use ladder_core::count;
use ladder_core::leaf::event::Outcome;
use ladder_core::leaf::{Action, Event};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::target::Load;
use ladder_core::view::Server;

use crate::harness::{Harness, SentCall, server, service, settings, work};

/// Number of calls of 10 ms after which the call times are learned.
const LEARNING_CALLS: usize = 200;
/// Address of the first server, docks-1.
const FIRST: &str = "10.0.0.1:80";

fn learned_harness() -> Harness {
    let mut harness = Harness::new();
    harness.learn_call_times(LEARNING_CALLS, 10);
    harness
}

/// One of 20 replicas is slow and delays the whole sweep. The hedge goes to the other server; its
/// answer becomes the reply, and the first call is cancelled on an idle connection.
#[test]
fn straggler_is_hedged() {
    let mut harness = learned_harness();
    harness.deliver_work(work(1, "sweep"));
    harness.advance(9);
    assert_eq!(harness.sent().len(), 1);
    harness.advance(5);
    let sent = harness.sent();
    assert_eq!(sent.len(), 2);
    assert_ne!(sent[0].address, sent[1].address);
    assert_eq!(harness.counted(count::Event::Hedge, Reason::Hedge), 1);

    harness.answer(&sent[1]);
    assert_eq!(harness.replies(), [(Verdict::Ran, Reason::Unspecified)]);
    let cancelled = harness.log.iter().find_map(|action| match action {
        Action::Cancel { connection, id } => Some((*connection, id.clone())),
        _ => None,
    });
    let (connection, id) = cancelled.expect("the first call is cancelled");
    assert_eq!(id, sent[0].request.id);
    assert_ne!(connection, sent[0].connection);

    harness.answer(&sent[0]);
    assert_eq!(harness.replies().len(), 1);
    assert_eq!(harness.counted(count::Event::Drop, Reason::StaleAnswer), 1);
}

/// A slow booking looks like a straggler, but a hedge would book a second dock.
#[test]
fn non_idempotent_call_is_not_hedged() {
    let mut harness = learned_harness();
    harness.deliver_work(work(1, "book"));
    harness.advance(400);
    assert_eq!(harness.sent().len(), 1);
}

/// All calls are slow at once, as in overload. Hedging all of them would double the load; the
/// saved-up tokens allow ten hedges.
#[test]
fn hedges_stay_within_the_budget() {
    let wide = |number| Server { slots: 50, share: 60, ..server(number) };
    let mut harness = Harness::connected(settings(), service(vec![wide(1), wide(2)]));
    harness.learn_call_times(LEARNING_CALLS, 10);
    harness.deliver_sweeps(0..30);
    harness.advance(100);
    let hedges = harness.counted(count::Event::Hedge, Reason::Hedge);
    assert_eq!(harness.sent().len(), 30 + hedges);
    assert!((5..=11).contains(&hedges), "{hedges} hedges");
}

/// Puts docks-1 into a state in which it must not get hedges.
type Disturb = fn(&mut Harness, &dyn Fn(Load) -> Event);

/// Ends calls at docks-1 with this outcome until `count` of them have ended.
fn fail(harness: &mut Harness, count: usize, outcome: fn(&SentCall) -> Outcome) {
    let mut failed = 0;
    for round in 0..20 {
        harness.log.clear();
        for booking in 0..4 {
            harness.deliver_work(work(5000 + 4 * round + booking, "book"));
        }
        harness.end_each_call(|harness, sent| {
            let at_first = &*sent.address == FIRST && failed < count;
            failed += usize::from(at_first);
            harness.end_call(sent.attempt, if at_first { outcome(sent) } else { sent.answer() });
        });
        harness.connect();
        if failed == count {
            return;
        }
    }
    panic!("{failed} calls at docks-1");
}

/// Sends a sweep whose first call goes to docks-2 and leaves the call open.
fn open_call_at_second_server(harness: &mut Harness) {
    for query in 9000..9010 {
        let sent = harness.deliver_and_take_call(query, "sweep");
        if &*sent.address != FIRST {
            return;
        }
        harness.advance(10);
        harness.answer(&sent);
    }
    panic!("docks-2 gets no call");
}

/// The other server is already in trouble. A hedge would increase its load without helping.
#[test]
fn no_hedge_to_a_server_in_trouble() {
    let load = |load: Load| Event::Load {
        server: "docks-1".into(),
        load: Some(Load { incarnation: 1, ..load }),
    };
    let cases: [(&str, Disturb); 5] = [
        ("none", |_, _| {}),
        ("cold", |harness, new| harness.handle(new(Load { cold: true, ..Load::default() }))),
        ("leaving", |harness, new| harness.handle(new(Load { leaving: true, ..Load::default() }))),
        ("shedding", |harness, _| fail(harness, 1, |sent| sent.refusal(Reason::TargetShed, 2000))),
        ("failing", |harness, _| fail(harness, 4, |_| Outcome::Error)),
    ];
    for (name, disturb) in cases {
        let mut harness = learned_harness();
        disturb(&mut harness, &load);
        harness.log.clear();
        open_call_at_second_server(&mut harness);
        harness.advance(90);
        let hedges = usize::from(name == "none");
        assert_eq!(harness.sent().len(), 1 + hedges, "{name}");
    }
}
#[test]
fn no_hedge_before_times_are_learned_or_when_disabled() {
    let mut unlearned = Harness::new();
    unlearned.learn_call_times(20, 10);
    let off = ladder_core::leaf::Settings::builder("porto-1", 7).hedging(false).build();
    let mut off = Harness::connected(off, service(vec![server(1), server(2)]));
    off.learn_call_times(LEARNING_CALLS, 10);
    let mut alone = Harness::connected(settings(), service(vec![server(1)]));
    alone.learn_call_times(LEARNING_CALLS, 10);
    for harness in [&mut unlearned, &mut off, &mut alone] {
        harness.deliver_work(work(1, "sweep"));
        harness.advance(400);
        assert_eq!(harness.sent().len(), 1);
    }
}

/// Guards against a hedge that is paid for and never sent, because the idle connections to its
/// server may have ended together with another one.
#[test]
fn every_paid_hedge_is_sent_although_a_connection_to_its_server_broke() {
    let mut harness = learned_harness();
    harness.deliver_sweeps(1..=4);
    harness.advance(9);
    let open = harness.sent();
    assert_eq!(open.len(), 4, "all slots are busy");
    let lost = open.iter().find(|call| &*call.address != FIRST).expect("a call at the second");
    harness.end_call(lost.attempt, Outcome::Lost);
    for _ in 0..9 {
        harness.advance(1);
        let hedges = harness.counted(count::Event::Hedge, Reason::Hedge);
        assert_eq!(harness.sent().len(), open.len() + hedges, "at {:?}", harness.now);
    }
    assert!(harness.sent().len() > open.len(), "a hedge is sent in the end");
}
