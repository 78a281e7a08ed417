//! Tests of how an entry instance admits requests that may crash servers.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::quarantine::Trial;
use ladder_core::fingerprint::Fingerprint;
use ladder_core::gather::{Action, Event, status};
use ladder_core::schema::call::Request;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::Reply;
use ladder_core::time::Instant;
use ladder_core::view::{Quarantine, View};

use crate::forward::{HOST, harness_with, message, reply, routing, view_with};
use crate::harness::{Harness, only_answer, sent_work};

/// Target of a route to a single service.
const SINGLE: &str = "/docks/free/1";
/// Time at which a harness starts.
const START: Instant = Instant::from_millis(1000);

/// One of the requests with the same content.
fn request(number: u32, target: &str) -> Request {
    Request { key: format!("{target} {number}"), ..message(HOST, target) }
}

/// A harness that may try a request from `start` on, in every turn.
fn harness(target: &str, start: Instant, is_refused: bool) -> Harness {
    let mut harness = harness_with(Some(routing()));
    let fingerprint = Fingerprint::of(&request(0, target));
    let trial = Trial { start, turn: 0, turns: 1 };
    let quarantine = Quarantine {
        trials: [(fingerprint, trial)].into_iter().collect(),
        refused: is_refused.then_some(fingerprint).into_iter().collect(),
        ..Quarantine::default()
    };
    let quarantine = Arc::new(quarantine);
    let view = View { generation: 3, quarantine, ..view_with(Some(routing())) };
    harness.deliver(Event::View(Arc::new(view)));
    harness
}

/// Checks that a request was refused before it was sent, with the advice that fits the reason.
fn check_refusal(actions: &[Action], reason: Reason) {
    assert!(sent_work(actions).is_empty());
    let refusal = only_answer(actions);
    assert_eq!((refusal.verdict(), refusal.reason()), (Verdict::NotRun, reason));
    assert_eq!(status(&refusal), 503);
    let expected = if reason == Reason::Suspected { 1000 } else { 0 };
    assert_eq!(refusal.retry_after_ms, expected);
}

/// Guards against a request that is sent on while it may crash servers, and against more than one
/// call of it at a time.
#[test]
fn request_that_may_crash_servers_is_sent_once_at_a_time() {
    for (is_refused, reason) in [(false, Reason::Suspected), (true, Reason::Quarantined)] {
        let mut harness = harness(SINGLE, START + Duration::from_millis(200), is_refused);
        check_refusal(&harness.call(request(1, SINGLE)), reason);
        harness.advance(300);
        let sent = sent_work(&harness.call(request(2, SINGLE)));
        assert_eq!(sent.len(), 1);
        assert!(sent[0].1.on_trial, "a single call");
        check_refusal(&harness.call(request(3, SINGLE)), reason);
        let other = sent_work(&harness.call(request(4, "/docks/free/2")));
        assert!(!other[0].1.on_trial, "another request");
    }
}

/// Guards against a harmless request that waits for its next turn after a trial that no server got.
#[test]
fn trial_that_did_not_run_is_repeated_at_once() {
    let mut harness = harness(SINGLE, START, false);
    let sent = sent_work(&harness.call(request(1, SINGLE)));
    let (verdict, reason) = (Verdict::NotRun.into(), Reason::TargetShed.into());
    let refusal = Reply { verdict, reason, parts: Vec::new(), ..reply(&sent[0].1, "s1", b"") };
    harness.reply(&sent[0].0, refusal);
    let again = sent_work(&harness.call(request(2, SINGLE)));
    assert!(again[0].1.on_trial);
    harness.reply(&again[0].0, reply(&again[0].1, "s1", b"free"));
    check_refusal(&harness.call(request(3, SINGLE)), Reason::Suspected);
}

/// Guards against crashing a server of each shard by the trial of a sweep, and against refusing a
/// sweep that is only beside a poison request.
#[test]
fn sweep_is_not_tried() {
    let target = "/docks/all";
    let mut beside = harness(target, START, false);
    assert!(!sent_work(&beside.call(request(1, target)))[0].1.on_trial);
    let mut refused = harness(target, START, true);
    check_refusal(&refused.call(request(1, target)), Reason::Quarantined);
}
