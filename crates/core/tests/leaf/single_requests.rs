//! Tests that an idempotent single request goes to another server when its call fails, and that a
//! non-idempotent one is never sent again after it may have run.

use ladder_core::fingerprint::Fingerprint;
use ladder_core::leaf::event::Outcome;
use ladder_core::schema::call::Request;
use ladder_core::schema::catalogue::Limits;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire;

use crate::forward::{forwarded, response};
use crate::harness::{Harness, SentCall, limited, server, settings};

/// Limits with a budget that starts with the two extra calls of the reserve for retries and earns
/// hardly more.
fn limits(extra_percent: u32) -> Limits {
    Limits { queue: 100, extra_percent, count_refused: true, ..Limits::default() }
}

/// Creates a harness with connections to this number of servers.
fn harness(servers: u8, extra_percent: u32) -> Harness {
    let servers = (1..=servers).map(server).collect();
    Harness::connected(settings(), limited(limits(extra_percent), servers))
}

/// A request of its own content with a latency objective of 100 ms and a deadline of 500 ms, which
/// two servers may get.
fn single(query: u64, operation: &str) -> wire::Work {
    let request = Request { payload: format!("content {query}"), ..Request::default() };
    let mut work = forwarded(query, operation);
    work.forward.as_mut().expect("a message").timely_us = 100_000;
    wire::Work { fingerprint: Fingerprint::of(&request).bytes().into(), ..work }
}

/// What happens to the first call of a request.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The server resets the connection.
    Reset,
    Hang,
    Shed,
    /// The connection was closed before the request was sent.
    Unsent,
    /// The server responds with an error.
    Error,
}

fn apply(harness: &mut Harness, fault: Fault, sent: &SentCall) {
    match fault {
        Fault::Reset => harness.end_call(sent.attempt, Outcome::Lost),
        Fault::Hang => harness.advance(60),
        Fault::Shed => harness.end_call(sent.attempt, sent.refusal(Reason::TargetShed, 1)),
        Fault::Unsent => harness.end_call(sent.attempt, Outcome::Unsent),
        Fault::Error => harness.end_call(sent.attempt, response(sent, 500)),
    }
}

const FAULTS: [Fault; 5] = [Fault::Reset, Fault::Hang, Fault::Shed, Fault::Unsent, Fault::Error];

/// Guards against an idempotent request that ends at its first server while its route, its time and
/// the budget allow another one, also when the budget holds only the reserve for retries, and
/// against the guard against requests that crash servers holding it back.
#[test]
fn idempotent_request_goes_to_another_server() {
    for fault in FAULTS {
        for servers in [2, 3] {
            for extra_percent in [1, 100] {
                let name = format!("{fault:?}, {servers} servers, {extra_percent}% extra calls");
                let mut harness = harness(servers, extra_percent);
                harness.deliver_work(single(1, "check"));
                let first = harness.sent().remove(0);
                apply(&mut harness, fault, &first);
                let sent = harness.sent();
                assert_eq!(sent.len(), 2, "{name}: sent at once");
                assert_ne!(sent[1].address, first.address, "{name}");
                harness.end_call(sent[1].attempt, response(&sent[1], 200));
                assert_eq!(harness.replies(), [(Verdict::Ran, Reason::Unspecified)], "{name}");
            }
        }
    }
}

/// Guards against extra calls beyond the budget.
#[test]
fn request_without_budget_stays_at_its_server() {
    for (fault, calls) in [
        (Fault::Reset, 1),
        (Fault::Hang, 1),
        (Fault::Shed, 1),
        (Fault::Unsent, 2),
        (Fault::Error, 1),
    ] {
        let mut harness = harness(2, 0);
        harness.deliver_work(single(1, "check"));
        let first = harness.sent().remove(0);
        apply(&mut harness, fault, &first);
        assert_eq!(harness.sent().len(), calls, "{fault:?}");
    }
}

/// With one server there is no other one. Guards against a hedge to the server that hangs, and
/// against giving up a request that its server reset once.
#[test]
fn request_of_a_service_with_one_server_is_retried_there() {
    for (fault, calls) in
        [(Fault::Reset, 2), (Fault::Hang, 1), (Fault::Unsent, 2), (Fault::Error, 2)]
    {
        let mut harness = harness(1, 100);
        harness.deliver_work(single(1, "check"));
        let first = harness.sent().remove(0);
        apply(&mut harness, fault, &first);
        harness.connect();
        assert_eq!(harness.sent().len(), calls, "{fault:?}");
    }
}

/// Guards against a second run of a non-idempotent request. Only a call that provably did not run
/// is repeated.
#[test]
fn non_idempotent_request_is_not_sent_again_after_it_may_have_run() {
    for (fault, calls) in [
        (Fault::Reset, 1),
        (Fault::Hang, 1),
        (Fault::Shed, 2),
        (Fault::Unsent, 2),
        (Fault::Error, 1),
    ] {
        for servers in [1, 2, 3] {
            let mut harness = harness(servers, 100);
            harness.deliver_work(single(1, "book"));
            let first = harness.sent().remove(0);
            apply(&mut harness, fault, &first);
            harness.connect();
            harness.advance(499);
            let sent = harness.sent().len();
            assert_eq!(sent, calls, "{fault:?}, {servers} servers");
        }
    }
}

/// The budget holds only the reserve for retries. Guards against a request that stays at a hanging
/// server until its deadline, and against hedges of slow calls that spend the reserve before half of
/// the time is over.
#[test]
fn request_at_a_hanging_server_may_use_the_reserve_for_retries() {
    struct Case {
        name: &'static str,
        target_ms: u32,
        hedged_after_ms: u64,
    }
    let cases = [
        Case { name: "half of the latency objective", target_ms: 100, hedged_after_ms: 50 },
        Case { name: "half of the deadline", target_ms: 0, hedged_after_ms: 247 },
    ];
    for Case { name, target_ms, hedged_after_ms } in cases {
        let mut harness = harness(2, 1);
        let mut work = single(1, "check");
        let forward = work.forward.as_mut().expect("a message");
        (forward.target_ms, forward.timely_us) = (target_ms, u64::from(target_ms) * 1000);
        harness.deliver_work(work);
        harness.advance(hedged_after_ms - 1);
        assert_eq!(harness.sent().len(), 1, "{name}");
        harness.advance(2);
        assert_eq!(harness.sent().len(), 2, "{name}");
    }
}

/// Part of a sweep at a hanging server: the sweep can be answered without it. Guards against spending
/// the reserve for retries on it.
#[test]
fn part_of_a_sweep_leaves_the_reserve_for_retries() {
    let mut harness = harness(2, 1);
    harness.deliver_work(single(1, "sweep"));
    harness.advance(400);
    assert_eq!(harness.sent().len(), 1);
}

/// All slots of the other server are busy when a server resets the connection of a request. While
/// the other server makes progress, the request waits for it. Guards against sending the request to
/// the same server again, which uses up its attempts, and against waiting for a server that hangs.
#[test]
fn reset_request_waits_for_a_server_that_makes_progress() {
    for (other_hangs, calls) in [(false, 0), (true, 1)] {
        let mut harness = harness(2, 100);
        for query in 0..4 {
            harness.deliver_work(single(query, "check"));
        }
        let mut open = harness.sent();
        assert_eq!(open.len(), 4, "all slots are busy");
        let lost = open.remove(0);
        let other = open.iter().find(|sent| sent.address != lost.address).expect("another server");
        harness.advance(if other_hangs { 25 } else { 5 });
        harness.log.clear();
        harness.end_call(lost.attempt, Outcome::Lost);
        harness.connect();
        assert_eq!(harness.sent().len(), calls, "other server hangs: {other_hangs}");
        if !other_hangs {
            harness.end_call(other.attempt, response(other, 200));
            let again = harness.sent().pop().expect("the request is sent again");
            assert_eq!(again.address, other.address);
        }
    }
}
