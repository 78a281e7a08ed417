//! What each refusal of a portion leads to.

use std::sync::Arc;

use ladder_core::count::{self, Count};
use ladder_core::fingerprint::Fingerprint;
use ladder_core::gather::{Action, Event, status};
use ladder_core::schema::call::{Answer, Request};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::Reply;
use ladder_core::view::{Quarantine, View};

use crate::fleet::Fleet;
use crate::session::{Session, answer, answers, asked, covered, refused, request, works};

/// What follows.
#[derive(Debug, PartialEq)]
enum Then {
    /// It is sent to this instance.
    Sent(&'static str),
    /// The caller is answered with this verdict.
    Answered(Verdict),
}

struct Case {
    operation: &'static str,
    verdict: Verdict,
    reason: Reason,
    then: Then,
}

const fn case(operation: &'static str, verdict: Verdict, reason: Reason, then: Then) -> Case {
    Case { operation, verdict, reason, then }
}

const NOT: Verdict = Verdict::NotRun;
const MAY: Verdict = Verdict::MayHaveRun;
const RAN: Verdict = Verdict::Ran;

const CASES: &[Case] = &[
    case("check", NOT, Reason::NotOwner, Then::Sent("e3")),
    case("check", NOT, Reason::Draining, Then::Sent("e3")),
    case("check", NOT, Reason::NoServer, Then::Sent("e3")),
    case("check", NOT, Reason::LinkFull, Then::Sent("e3")),
    case("check", MAY, Reason::Draining, Then::Sent("e3")),
    case("check", NOT, Reason::QueueFull, Then::Answered(NOT)),
    case("check", NOT, Reason::ServiceLimit, Then::Answered(NOT)),
    case("check", NOT, Reason::WouldMissDeadline, Then::Answered(NOT)),
    case("check", NOT, Reason::TargetShed, Then::Answered(NOT)),
    case("check", NOT, Reason::VersionRetired, Then::Answered(NOT)),
    case("check", MAY, Reason::TargetError, Then::Answered(MAY)),
    case("check", MAY, Reason::VersionRetired, Then::Answered(MAY)),
    case("book", NOT, Reason::NotOwner, Then::Sent("e3")),
    case("book", NOT, Reason::Draining, Then::Sent("e3")),
    case("book", MAY, Reason::Draining, Then::Answered(MAY)),
    case("book", MAY, Reason::NotOwner, Then::Answered(MAY)),
    case("book", MAY, Reason::RepeatedKey, Then::Answered(MAY)),
    case("book", RAN, Reason::RepeatedKey, Then::Answered(RAN)),
    case("book", NOT, Reason::QueueFull, Then::Answered(NOT)),
];

#[test]
fn each_refusal_has_its_remedy() {
    for case in CASES {
        let name = format!("{} {:?} {:?}", case.operation, case.verdict, case.reason);
        let (mut session, sent) = asked(case.operation, &["c"]);
        let refusal = refused(&sent[0].1, "s2", case.reason);
        let out = session.reply("e2", Reply { verdict: case.verdict.into(), ..refusal });
        let sent = works(&out);
        let event = match &case.then {
            Then::Sent(to) => {
                assert_eq!(&*sent[0].0, *to, "{name}");
                let unsent = matches!(
                    case.reason,
                    Reason::NotOwner
                        | Reason::NotReady
                        | Reason::UnknownIndex
                        | Reason::UnknownOperation
                        | Reason::UnknownShard
                        | Reason::LinkFull
                        | Reason::LinkCut
                );
                let proved = unsent && case.verdict == Verdict::NotRun;
                assert_eq!(sent[0].1.portions[0].repeated, !proved, "{name}");
                count::Event::Retry
            }
            Then::Answered(verdict) => {
                assert!(sent.is_empty(), "{name}");
                let answer = answer(&out);
                assert_eq!(answer.verdict(), *verdict, "{name}");
                assert_eq!(answer.reason(), case.reason, "{name}");
                count::Event::Refusal
            }
        };
        let counted = Action::Count(Count { event, reason: case.reason });
        assert!(out.contains(&counted), "{name}: counted");
    }
}

/// Three of four candidates say that they are not the owner: the third refusal ends it.
#[test]
fn three_sendings_at_most() {
    let mut fleet = Fleet::default();
    fleet.sites[1].candidates.push(("e4", true));
    let mut session = Session::new(&fleet);
    let mut out = session.call(request("k1", "check", &["c"]));
    for extra in 0..3 {
        let (to, work) = works(&out).remove(0);
        assert_eq!(work.extra_calls, extra);
        assert!(!work.portions[0].repeated, "no server has got it");
        out = session.reply(&to, refused(&work, "s2", Reason::NotOwner));
    }
    assert_eq!(answer(&out).reason(), Reason::NotOwner);
}

/// A caller makes a repeatable operation unrepeatable for one request. That request is not sent
/// again when the link to its owner breaks; the next one, which says nothing, is.
#[test]
fn request_can_be_made_stricter() {
    for shards in [&["c"][..], &[]] {
        let mut session = Session::new(&Fleet::default());
        for unrepeatable in [true, false] {
            let asked = Request { unrepeatable, ..request("k1", "check", shards) };
            session.call(asked);
            let moved = !works(&session.link_down("e2")).is_empty();
            assert_eq!(moved, !unrepeatable, "{shards:?}");
            session.give(Event::View(Fleet::default().view()));
            session.pass(3000);
        }
    }
}

/// One half of a booking over two services ran, the other was refused: the caller must not take it
/// for done, nor for not run.
#[test]
fn booking_of_which_a_part_ran_may_have_run() {
    let (mut session, sent) = asked("book", &["a", "c"]);
    session.reply("e1", covered(&sent[0].1, "s1"));
    let refusal = refused(&sent[1].1, "s2", Reason::QueueFull);
    let answer = answer(&session.reply("e2", refusal));
    assert_eq!(answer.verdict(), MAY);
    assert_eq!(answer.covered, ["a"]);
}

/// A booking over two services, one of which has no live candidate: nothing is sent, so that the
/// caller may come back.
#[test]
fn booking_that_cannot_be_whole_is_not_begun() {
    let mut fleet = Fleet::default();
    for candidate in &mut fleet.sites[2].candidates {
        candidate.1 = false;
    }
    let mut session = Session::new(&fleet);
    let out = session.call(request("k1", "book", &["c", "e"]));
    assert!(works(&out).is_empty());
    assert_eq!(answer(&out).verdict(), Verdict::NotRun);
    let sweep = session.call(request("k2", "check", &["c", "e"]));
    assert_eq!(works(&sweep).len(), 1, "a sweep takes what there is");
}

/// A caller whose connection broke repeats its booking at the same entry while the first one is
/// open, after it ran, and after another was refused: only the last may be sent again.
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
    let mut session = Session::new(&Fleet::default());
    for case in &cases {
        let sent = works(&session.call(request(case.key, "book", &["c"])));
        if let Some((verdict, reason)) = case.reply {
            let refusal = refused(&sent[0].1, "s2", reason);
            session.reply("e2", Reply { verdict: verdict.into(), ..refusal });
        }
        let out = session.call(request(case.key, "book", &["c"]));
        let answer = answers(&out).pop();
        assert_eq!(answer.as_ref().map(Answer::verdict), case.again, "{}", case.key);
        assert_eq!(works(&out).is_empty(), case.again.is_some(), "{}", case.key);
        if let Some(answer) = answer {
            assert_eq!((answer.reason(), status(&answer)), (Reason::RepeatedKey, 409));
        }
    }
}

#[test]
fn status_says_what_http_clients_expect() {
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

/// The view of a fleet in which a request is refused because servers ended under it.
fn view_without(fleet: &Fleet, request: &Request) -> Event {
    let mut view = View::clone(&fleet.view());
    let refused = [Fingerprint::of(request)].into_iter().collect();
    view.quarantine = Arc::new(Quarantine { refused, ..Quarantine::default() });
    Event::View(Arc::new(view))
}

/// Guards against sending a poison request on, and against a time to come back that would be untrue.
#[test]
fn quarantined_request_is_refused_at_once() {
    let fleet = Fleet::default();
    let mut session = Session::new(&fleet);
    session.give(view_without(&fleet, &request("first", "check", &[])));
    let again = session.call(request("second", "check", &[]));
    assert!(works(&again).is_empty());
    let refusal = answer(&again);
    assert_eq!((refusal.verdict(), refusal.reason()), (NOT, Reason::Quarantined));
    assert_eq!((refusal.retry_after_ms, status(&refusal)), (0, 503));
    let fingerprint = Fingerprint::of(&request("third", "check", &[]));
    assert!(refusal.detail.contains(&fingerprint.to_string()), "{}", refusal.detail);
    assert!(again.contains(&Action::Refused(fingerprint)), "it counts as asked for");
    let other = session.call(request("other", "sweep", &[]));
    assert!(!works(&other).is_empty(), "another request");
}

/// Guards against a caller who waits for a request that is refused while it is open.
#[test]
fn quarantined_request_that_is_open_is_answered_at_once() {
    let fleet = Fleet::default();
    let mut session = Session::new(&fleet);
    session.call(request("first", "check", &[]));
    session.call(request("other", "sweep", &[]));
    let out = session.give(view_without(&fleet, &request("first", "check", &[])));
    let answers = answers(&out);
    assert_eq!(answers.len(), 1);
    assert_eq!(answers[0].key, "first");
    assert_eq!(answers[0].verdict(), MAY);
    let cancelled = out.iter().filter(|action| matches!(action, Action::Cancel { .. })).count();
    assert!(cancelled > 0, "its owners are told");
}
