//! Tests of when refused portions are sent again.

use std::sync::Arc;

use ladder_core::gather::resend::{Refusal, Resend};
use ladder_core::gather::{Action, Event, Step};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::{Reply, Work};
use ladder_core::time::Instant;
use ladder_core::view::View;

use crate::fleet::SELF;
use crate::forward::{harness_with, records, reply, routing, start_sweep, view_with};
use crate::harness::{Harness, answers, only_answer, sent_work};

/// A sweep that arrived at 1000 ms with a latency objective of 200 ms; one of its parts was refused
/// at 1010 ms.
const REFUSAL: Refusal = Refusal {
    reason: Reason::ConnectFailed,
    is_sweep: true,
    is_before_call: true,
    may_have_run: true,
    has_next: true,
    sendings: 2,
    arrived: Instant::from_millis(1000),
    refused_at: Instant::from_millis(1010),
    timely_at: Instant::from_millis(1200),
};

struct Case {
    name: &'static str,
    now_ms: u64,
    refusal: Refusal,
    resend: Resend,
}

const NOT_RUN: Refusal = Refusal { may_have_run: false, ..REFUSAL };

const fn wait(until_ms: u64) -> Resend {
    Resend::Wait(Instant::from_millis(until_ms))
}

const CASES: &[Case] = &[
    Case {
        name: "first refusal",
        now_ms: 1010,
        refusal: Refusal { sendings: 1, ..REFUSAL },
        resend: Resend::Next,
    },
    Case { name: "second refusal", now_ms: 1010, refusal: REFUSAL, resend: wait(1105) },
    Case { name: "pause is over", now_ms: 1105, refusal: REFUSAL, resend: Resend::Next },
    Case {
        name: "third refusal",
        now_ms: 1110,
        refusal: Refusal { sendings: 3, ..REFUSAL },
        resend: Resend::Refuse,
    },
    Case { name: "nothing ran", now_ms: 1010, refusal: NOT_RUN, resend: wait(1025) },
    Case {
        name: "nothing ran, and its pause is over",
        now_ms: 1025,
        refusal: NOT_RUN,
        resend: Resend::Next,
    },
    Case {
        name: "nothing ran, refused late",
        now_ms: 1030,
        refusal: Refusal { refused_at: Instant::from_millis(1030), ..NOT_RUN },
        resend: Resend::Next,
    },
    Case {
        name: "no other instance",
        now_ms: 1010,
        refusal: Refusal { has_next: false, sendings: 1, ..REFUSAL },
        resend: wait(1105),
    },
    Case {
        name: "no other instance, and its pause is over",
        now_ms: 1105,
        refusal: Refusal { has_next: false, sendings: 1, ..REFUSAL },
        resend: Resend::Same,
    },
    Case {
        name: "no other instance, nothing ran, refused late",
        now_ms: 1030,
        refusal: Refusal { has_next: false, refused_at: Instant::from_millis(1030), ..NOT_RUN },
        resend: Resend::Refuse,
    },
    Case {
        name: "after a call",
        now_ms: 1010,
        refusal: Refusal { is_before_call: false, ..REFUSAL },
        resend: Resend::Next,
    },
    Case {
        name: "after a call, no other instance",
        now_ms: 1010,
        refusal: Refusal { is_before_call: false, has_next: false, ..REFUSAL },
        resend: Resend::Refuse,
    },
    Case {
        name: "single request",
        now_ms: 1010,
        refusal: Refusal { is_sweep: false, ..REFUSAL },
        resend: Resend::Next,
    },
    Case {
        name: "single request, no other instance",
        now_ms: 1010,
        refusal: Refusal { is_sweep: false, has_next: false, sendings: 1, ..REFUSAL },
        resend: Resend::Refuse,
    },
    Case {
        name: "the instance leaves",
        now_ms: 1010,
        refusal: Refusal { reason: Reason::Draining, ..REFUSAL },
        resend: Resend::Next,
    },
    Case {
        name: "after the latency objective",
        now_ms: 1210,
        refusal: Refusal { refused_at: Instant::from_millis(1210), ..REFUSAL },
        resend: Resend::Next,
    },
    Case {
        name: "after the latency objective, no other instance",
        now_ms: 1250,
        refusal: Refusal { has_next: false, refused_at: Instant::from_millis(1210), ..REFUSAL },
        resend: Resend::Refuse,
    },
];

/// Guards against a sweep that is given up although it can still be answered in time: all sendings
/// of a part were used up within a few milliseconds, while the connections of the instances were
/// still being opened. Guards also against pauses that gain nothing: for a limit of the servers,
/// after the latency objective, or before a refusal as not run that the caller could act on.
#[test]
fn refused_portion_is_sent_again_while_it_can_be_answered_in_time() {
    for Case { name, now_ms, refusal, resend } in CASES {
        let decision = Resend::decide(Instant::from_millis(*now_ms), *refusal);
        assert_eq!(decision, *resend, "{name}");
    }
}

/// Builds the reply of an instance that has no connection to the servers of `service`.
fn unconnected_reply(work: &Work, service: &str) -> Reply {
    let (verdict, reason) = (Verdict::NotRun.into(), Reason::ConnectFailed.into());
    Reply { verdict, reason, parts: Vec::new(), ..reply(work, service, b"") }
}

/// Delivers the refusals of all parts of a work message at once.
fn refuse_all(harness: &mut Harness, from: &str, work: &Work) -> Vec<Action> {
    let portions = work.portions.iter();
    let replies = portions.map(|portion| unconnected_reply(work, &portion.service)).collect();
    harness.deliver(Event::Replies { from: from.into(), replies })
}

/// Guards against a work message for each part that an instance refuses: the next partial
/// aggregator could not merge the replies, and each message counted as an extra call of the query,
/// so that no failed call of its parts could be retried.
#[test]
fn parts_refused_together_are_sent_again_together_without_extra_calls() {
    let mut harness = harness_with(Some(routing()));
    let work = start_sweep(&mut harness);
    let again = sent_work(&refuse_all(&mut harness, SELF, &work));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1.portions.len(), 3);
    assert_eq!(again[0].1.extra_calls, 0);
}

/// Guards against a sweep that ends as may have run within a few milliseconds because no instance
/// has connections yet: a part ran, so the sweep must use the time of its latency objective.
#[test]
fn sweep_of_which_a_part_ran_waits_for_connections() {
    let mut harness = harness_with(Some(routing()));
    let work = start_sweep(&mut harness);
    harness.reply(SELF, reply(&work, "s1", &records(&[1])));
    let mut sent = vec![(SELF.into(), work)];
    for _ in 0..2 {
        let (from, work) = sent.pop().expect("work");
        let replies = ["s2", "s3"].map(|service| unconnected_reply(&work, service)).to_vec();
        sent = sent_work(&harness.deliver(Event::Replies { from, replies }));
    }
    assert!(sent.is_empty(), "the last sending waits");
    let account = harness.machine.explain("key of /docks/all").expect("a history");
    let waiting = account.steps.iter().any(|timed_step| {
        matches!(timed_step.step, Step::Waiting { portions: 2, reason: Reason::ConnectFailed, .. })
    });
    assert!(waiting, "the history has the step");
    let actions = harness.advance(60);
    assert!(answers(&actions).is_empty());
    let (to, work) = sent_work(&actions).remove(0);
    harness.reply(&to, reply(&work, "s2", &records(&[2])));
    let answer = only_answer(&harness.reply(&to, reply(&work, "s3", &records(&[3]))));
    assert!(answer.response.is_some());
    assert!(answer.missing.is_empty());
}

/// Guards against keeping a caller waiting whose sweep can be refused as not run: it must learn that
/// within a quarter of the latency objective, which is 100 ms.
#[test]
fn sweep_of_which_nothing_ran_is_refused_within_a_quarter_of_its_objective() {
    let mut harness = harness_with(Some(routing()));
    let started = harness.now;
    let mut sent = vec![(SELF.into(), start_sweep(&mut harness))];
    let mut sendings = 0;
    let answer = loop {
        assert!(harness.now.since(started).as_millis() < 400, "an answer by the deadline");
        let Some((from, work)) = sent.pop() else {
            sent = sent_work(&harness.advance(1));
            continue;
        };
        sendings += 1;
        let actions = refuse_all(&mut harness, &from, &work);
        if let Some(answer) = answers(&actions).pop() {
            break answer;
        }
        sent = sent_work(&actions);
    };
    assert_eq!(sendings, 3);
    assert_eq!(answer.verdict(), Verdict::NotRun);
    assert_eq!(answer.reason(), Reason::ConnectFailed);
    assert!(answer.retry_after_ms > 0, "the caller learns when to retry");
    assert!((10..25).contains(&harness.now.since(started).as_millis()));
}

/// An instance that has just started knows no other one. Guards against giving up its first sweeps
/// before its connections are open.
#[test]
fn lone_instance_sends_refused_parts_to_itself_after_a_pause() {
    let mut harness = harness_with(Some(routing()));
    let mut view = View { generation: 3, ..view_with(Some(routing())) };
    for service in view.services.values_mut() {
        Arc::make_mut(service).candidates.retain(|candidate| candidate.local);
    }
    harness.deliver(Event::View(Arc::new(view)));
    let work = start_sweep(&mut harness);
    let actions = refuse_all(&mut harness, SELF, &work);
    assert!(answers(&actions).is_empty() && sent_work(&actions).is_empty());
    let (to, work) = sent_work(&harness.advance(15)).remove(0);
    assert_eq!((&*to, work.portions.len()), (SELF, 3));
    assert!(!work.portions[0].repeated);
    for service in ["s1", "s2"] {
        harness.reply(SELF, reply(&work, service, &records(&[1])));
    }
    let answer = only_answer(&harness.reply(SELF, reply(&work, "s3", &records(&[1]))));
    assert!(answer.missing.is_empty());
}

/// A sweep that needs all parts is withdrawn because of a limit while one part waits to be sent
/// again. Guards against a caller that waits longer than for the owner's confirmation that the
/// third part did not run.
#[test]
fn waiting_parts_are_refused_when_the_floor_becomes_unreachable() {
    let mut routing = routing();
    routing.routes[0].floor_permille = 1000;
    let mut harness = harness_with(Some(routing));
    let work = start_sweep(&mut harness);
    let mut sent = vec![(SELF.into(), work.clone())];
    for _ in 0..2 {
        let (from, work) = sent.pop().expect("work");
        let replies = vec![unconnected_reply(&work, "s3")];
        sent = sent_work(&harness.deliver(Event::Replies { from, replies }));
    }
    assert!(sent.is_empty(), "the last sending waits");
    let refused = |service, reason: Reason| Reply {
        reason: reason.into(),
        retry_after_ms: 40,
        ..unconnected_reply(&work, service)
    };
    assert!(answers(&harness.reply(SELF, refused("s1", Reason::QueueFull))).is_empty());
    let answer = only_answer(&harness.reply(SELF, refused("s2", Reason::Cancelled)));
    assert_eq!((answer.verdict(), answer.retry_after_ms), (Verdict::NotRun, 40));
}

/// Guards against a query that ends without its waiting parts, or that sends them after its end.
#[test]
fn waiting_parts_end_with_their_query() {
    let mut harness = harness_with(Some(routing()));
    let work = start_sweep(&mut harness);
    for service in ["s1", "s2"] {
        harness.reply(SELF, reply(&work, service, &records(&[1])));
    }
    let mut sent = vec![(SELF.into(), work)];
    for _ in 0..2 {
        let (from, work) = sent.pop().expect("work");
        let replies = vec![unconnected_reply(&work, "s3")];
        sent = sent_work(&harness.deliver(Event::Replies { from, replies }));
    }
    let answer = only_answer(&harness.deliver(Event::Cut));
    assert_eq!(answer.missing.len(), 1);
    assert_eq!(answer.missing[0].reason(), Reason::ConnectFailed);
    assert_eq!(answer.missing[0].verdict(), Verdict::NotRun);
    assert!(harness.advance(500).is_empty());
}
