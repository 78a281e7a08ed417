//! Tests of how the machine proceeds after each refusal of a portion.

use std::sync::Arc;

use ladder_core::count::{self, Count};
use ladder_core::fingerprint::Fingerprint;
use ladder_core::gather::{Action, Event, status};
use ladder_core::schema::call::{Answer, Request};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::Reply;
use ladder_core::view::{Quarantine, View};

use crate::fleet::Fleet;
use crate::harness::{
    Harness, answers, covering_reply, only_answer, refusal_reply, request, sent_work, start_request,
};

/// The expected action after the refusal of a portion.
#[derive(Debug, PartialEq)]
enum Outcome {
    /// The portion is sent to this instance.
    Sent(&'static str),
    /// The caller is answered with this verdict.
    Answered(Verdict),
}

struct Case {
    operation: &'static str,
    verdict: Verdict,
    reason: Reason,
    outcome: Outcome,
}

const fn case(operation: &'static str, verdict: Verdict, reason: Reason, outcome: Outcome) -> Case {
    Case { operation, verdict, reason, outcome }
}

const NOT: Verdict = Verdict::NotRun;
const MAY: Verdict = Verdict::MayHaveRun;
const RAN: Verdict = Verdict::Ran;

const CASES: &[Case] = &[
    case("check", NOT, Reason::NotOwner, Outcome::Sent("e3")),
    case("check", NOT, Reason::Draining, Outcome::Sent("e3")),
    case("check", NOT, Reason::NoServer, Outcome::Sent("e3")),
    case("check", NOT, Reason::LinkFull, Outcome::Sent("e3")),
    case("check", MAY, Reason::Draining, Outcome::Sent("e3")),
    case("check", NOT, Reason::QueueFull, Outcome::Answered(NOT)),
    case("check", NOT, Reason::ServiceLimit, Outcome::Answered(NOT)),
    case("check", NOT, Reason::WouldMissDeadline, Outcome::Answered(NOT)),
    case("check", NOT, Reason::TargetShed, Outcome::Answered(NOT)),
    case("check", NOT, Reason::VersionRetired, Outcome::Answered(NOT)),
    case("check", MAY, Reason::TargetError, Outcome::Answered(MAY)),
    case("check", MAY, Reason::VersionRetired, Outcome::Answered(MAY)),
    case("book", NOT, Reason::NotOwner, Outcome::Sent("e3")),
    case("book", NOT, Reason::Draining, Outcome::Sent("e3")),
    case("book", MAY, Reason::Draining, Outcome::Answered(MAY)),
    case("book", MAY, Reason::NotOwner, Outcome::Answered(MAY)),
    case("book", MAY, Reason::RepeatedKey, Outcome::Answered(MAY)),
    case("book", RAN, Reason::RepeatedKey, Outcome::Answered(RAN)),
    case("book", NOT, Reason::QueueFull, Outcome::Answered(NOT)),
];

#[test]
fn refusal_reason_determines_recovery() {
    for case in CASES {
        let name = format!("{} {:?} {:?}", case.operation, case.verdict, case.reason);
        let (mut harness, sent) = start_request(case.operation, &["c"]);
        let refusal = refusal_reply(&sent[0].1, "s2", case.reason);
        let refusal = Reply { verdict: case.verdict.into(), calls: 1, ..refusal };
        let out = harness.reply("e2", refusal);
        let sent = sent_work(&out);
        let event = match &case.outcome {
            Outcome::Sent(to) => {
                assert_eq!(&*sent[0].0, *to, "{name}");
                assert!(sent[0].1.portions[0].repeated, "{name}: a server was called");
                count::Event::Retry
            }
            Outcome::Answered(verdict) => {
                assert!(sent.is_empty(), "{name}");
                let answer = only_answer(&out);
                assert_eq!(answer.verdict(), *verdict, "{name}");
                assert_eq!(answer.reason(), case.reason, "{name}");
                count::Event::Refusal
            }
        };
        let counted = Action::Count(Count { event, reason: case.reason });
        assert!(out.contains(&counted), "{name}: counted");
    }
}

/// Proof that a refusal gives about the servers.
#[derive(Clone, Copy)]
struct ProofCase {
    verdict: Verdict,
    calls: u32,
    is_repeated: bool,
}

/// The next instance pays an extra call for a portion that a server may already have received, and
/// refuses it if its budget is empty. Guards against charging portions that no server received:
/// after a loss of all instances, thousands of parts are refused because there is no connection
/// yet, and 506 sweeps ended as `RETRY_BUDGET` within 100 ms. Guards also against not charging a
/// portion that a server received, whatever the reason of the refusal is.
#[test]
fn only_refusal_without_calls_proves_that_no_server_received_the_portion() {
    let reasons = [
        Reason::NotReady,
        Reason::Draining,
        Reason::NotOwner,
        Reason::NoServer,
        Reason::Evacuated,
        Reason::ConnectFailed,
        Reason::Paused,
        Reason::UnknownIndex,
        Reason::UnknownOperation,
        Reason::UnknownShard,
        Reason::LinkFull,
    ];
    let cases = [
        ProofCase { verdict: NOT, calls: 0, is_repeated: false },
        ProofCase { verdict: NOT, calls: 1, is_repeated: true },
        ProofCase { verdict: MAY, calls: 0, is_repeated: true },
        ProofCase { verdict: MAY, calls: 1, is_repeated: true },
    ];
    for reason in reasons {
        for ProofCase { verdict, calls, is_repeated } in cases {
            let name = format!("{reason:?} {verdict:?} with {calls} calls");
            let (mut harness, sent) = start_request("check", &["c"]);
            let refusal = refusal_reply(&sent[0].1, "s2", reason);
            let refusal = Reply { verdict: verdict.into(), calls, ..refusal };
            let sent = sent_work(&harness.reply("e2", refusal));
            assert_eq!(sent[0].1.portions[0].repeated, is_repeated, "{name}");
        }
    }
}

/// A refusal that proves that no server received the portion covers only the sending that it
/// answers. Guards against sending a portion free of charge although the server of a lost owner
/// may have received it.
#[test]
fn refusal_without_calls_does_not_cover_the_sending_to_a_lost_owner() {
    let (mut harness, sent) = start_request("check", &["c"]);
    assert!(!sent[0].1.portions[0].repeated);
    let moved = sent_work(&harness.link_down("e2")).remove(0);
    assert!(moved.1.portions[0].repeated);
    let refusal = refusal_reply(&moved.1, "s2", Reason::ConnectFailed);
    let third = sent_work(&harness.reply(&moved.0, refusal)).remove(0);
    assert!(third.1.portions[0].repeated, "the lost owner's server may have received it");
}

/// If each of four candidates refuses a portion, the third refusal must end the portion. Each
/// sending after one that a server received counts as an extra call of the query.
#[test]
fn portion_is_sent_at_most_three_times() {
    for calls in [0, 1] {
        let mut fleet = Fleet::default();
        fleet.services[1].candidates.push(("e4", true));
        let mut harness = Harness::new(&fleet);
        let mut out = harness.call(request("k1", "check", &["c"]));
        for sending in 0..3 {
            let (to, work) = sent_work(&out).remove(0);
            assert_eq!(work.extra_calls, sending * calls);
            assert_eq!(work.portions[0].repeated, sending * calls > 0);
            let refusal = refusal_reply(&work, "s2", Reason::NotOwner);
            out = harness.reply(&to, Reply { calls, ..refusal });
        }
        assert_eq!(only_answer(&out).reason(), Reason::NotOwner);
    }
}

/// A caller marks an idempotent operation as non-idempotent for one request. This request must not
/// be sent again when the link to its owner breaks; the next request, without the mark, must be.
#[test]
fn request_can_forbid_repetition() {
    for shards in [&["c"][..], &[]] {
        let mut harness = Harness::new(&Fleet::default());
        for unrepeatable in [true, false] {
            let asked = Request { unrepeatable, ..request("k1", "check", shards) };
            harness.call(asked);
            let moved = !sent_work(&harness.link_down("e2")).is_empty();
            assert_eq!(moved, !unrepeatable, "{shards:?}");
            harness.deliver(Event::View(Fleet::default().view()));
            harness.advance(3000);
        }
    }
}

/// One portion of a booking over two services ran and the other was refused: the verdict must be
/// neither "ran" nor "not run".
#[test]
fn partly_run_booking_may_have_run() {
    let (mut harness, sent) = start_request("book", &["a", "c"]);
    harness.reply("e1", covering_reply(&sent[0].1, "s1"));
    let refusal = refusal_reply(&sent[1].1, "s2", Reason::QueueFull);
    let answer = only_answer(&harness.reply("e2", refusal));
    assert_eq!(answer.verdict(), MAY);
    assert_eq!(answer.covered, ["a"]);
}

/// If one of the two services of a booking has no live candidate, nothing must be sent, so that
/// the caller may retry.
#[test]
fn incomplete_booking_is_not_sent() {
    let mut fleet = Fleet::default();
    for candidate in &mut fleet.services[2].candidates {
        candidate.1 = false;
    }
    let mut harness = Harness::new(&fleet);
    let out = harness.call(request("k1", "book", &["c", "e"]));
    assert!(sent_work(&out).is_empty());
    assert_eq!(only_answer(&out).verdict(), Verdict::NotRun);
    let sweep = harness.call(request("k2", "check", &["c", "e"]));
    assert_eq!(sent_work(&sweep).len(), 1, "an idempotent query is sent in part");
}

/// A caller repeats its booking with the same key at the same entry instance while the first one
/// is open, after it ran, and after it was refused: only after the refusal may it be sent again.
#[test]
fn repeated_key_is_refused_unless_proved_not_run() {
    struct Case {
        key: &'static str,
        reply: Option<(Verdict, Reason)>,
        again: Option<Verdict>,
    }
    let cases = [
        Case { key: "open", reply: None, again: Some(MAY) },
        Case { key: "ran", reply: Some((RAN, Reason::RepeatedKey)), again: Some(RAN) },
        Case { key: "unsure", reply: Some((MAY, Reason::TargetLost)), again: Some(MAY) },
        Case { key: "refused", reply: Some((NOT, Reason::QueueFull)), again: None },
    ];
    let mut harness = Harness::new(&Fleet::default());
    for case in &cases {
        let sent = sent_work(&harness.call(request(case.key, "book", &["c"])));
        if let Some((verdict, reason)) = case.reply {
            let refusal = refusal_reply(&sent[0].1, "s2", reason);
            harness.reply("e2", Reply { verdict: verdict.into(), ..refusal });
        }
        let out = harness.call(request(case.key, "book", &["c"]));
        let answer = answers(&out).pop();
        assert_eq!(answer.as_ref().map(Answer::verdict), case.again, "{}", case.key);
        assert_eq!(sent_work(&out).is_empty(), case.again.is_some(), "{}", case.key);
        if let Some(answer) = answer {
            assert_eq!((answer.reason(), status(&answer)), (Reason::RepeatedKey, 409));
        }
    }
}

#[test]
fn refusal_reasons_map_to_http_statuses() {
    let cases: [(u16, &[Reason]); 10] = [
        (400, &[Reason::Malformed]),
        (404, &[Reason::UnknownIndex, Reason::UnknownOperation, Reason::UnknownShard]),
        (409, &[Reason::RepeatedKey]),
        (413, &[Reason::TooLarge]),
        (429, &[Reason::ServiceLimit, Reason::QueueFull, Reason::WouldMissDeadline]),
        (429, &[Reason::TargetShed]),
        (502, &[Reason::OwnerLost, Reason::TargetError]),
        (503, &[Reason::NotReady, Reason::Draining, Reason::NoOwner]),
        (503, &[Reason::NoServer, Reason::NoCommonVersion]),
        (504, &[Reason::Deadline, Reason::Paused]),
    ];
    for (expected, reasons) in cases {
        for &reason in reasons {
            let answer = Answer { reason: reason.into(), ..Answer::default() };
            assert_eq!(status(&answer), expected, "{reason:?}");
        }
    }
}

/// Builds a view of a fleet in which a request is quarantined because servers crashed under it.
fn view_without_instance(fleet: &Fleet, request: &Request) -> Event {
    let mut view = View::clone(&fleet.view());
    let refused = [Fingerprint::of(request)].into_iter().collect();
    view.quarantine = Arc::new(Quarantine { refused, ..Quarantine::default() });
    Event::View(Arc::new(view))
}

/// Guards against sending a poison request to servers, and against advising a retry that would be
/// refused too.
#[test]
fn quarantined_request_is_refused_immediately() {
    let fleet = Fleet::default();
    let mut harness = Harness::new(&fleet);
    harness.deliver(view_without_instance(&fleet, &request("first", "check", &[])));
    let again = harness.call(request("second", "check", &[]));
    assert!(sent_work(&again).is_empty());
    let refusal = only_answer(&again);
    assert_eq!((refusal.verdict(), refusal.reason()), (NOT, Reason::Quarantined));
    assert_eq!((refusal.retry_after_ms, status(&refusal)), (0, 503));
    let fingerprint = Fingerprint::of(&request("third", "check", &[]));
    assert!(refusal.detail.contains(&fingerprint.to_string()), "{}", refusal.detail);
    assert!(again.contains(&Action::Refused(fingerprint)), "the refusal is reported");
    let other = harness.call(request("other", "sweep", &[]));
    assert!(!sent_work(&other).is_empty(), "another request");
}

/// Guards against a caller that waits for an open request after the request was quarantined.
#[test]
fn open_request_is_answered_when_quarantined() {
    let fleet = Fleet::default();
    let mut harness = Harness::new(&fleet);
    harness.call(request("first", "check", &[]));
    harness.call(request("other", "sweep", &[]));
    let out = harness.deliver(view_without_instance(&fleet, &request("first", "check", &[])));
    let answers = answers(&out);
    assert_eq!(answers.len(), 1);
    assert_eq!(answers[0].key, "first");
    assert_eq!(answers[0].verdict(), MAY);
    let cancelled = out.iter().filter(|action| matches!(action, Action::Cancel { .. })).count();
    assert!(cancelled > 0, "its owners receive a cancellation");
}
