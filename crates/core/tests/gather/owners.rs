//! Tests of owners that refuse, are lost or fall silent.

use std::time::Duration;

use ladder_core::gather::event::CallerId;
use ladder_core::gather::{Action, Event};
use ladder_core::schema::call::Request;
use ladder_core::schema::outcome::{Reason, Verdict};

use crate::fleet::Fleet;
use crate::harness::{
    Harness, answers, covering_reply, drop_count, missing_summary, only_answer, refusal_reply,
    request, sent_work, start_request,
};

fn receivers(actions: &[Action]) -> Vec<String> {
    let works = sent_work(actions).into_iter();
    works.map(|(to, _)| to.to_string()).collect()
}

fn cancelled_owners(actions: &[Action]) -> Vec<String> {
    let cancels = actions.iter().filter_map(|action| match action {
        Action::Cancel { to, .. } => Some(to.name.to_string()),
        _ => None,
    });
    cancels.collect()
}

/// The link to the owner of s2 breaks while a portion is open there. The portion must go to the
/// next candidate immediately, so that the caller receives all shards.
#[test]
fn broken_link_moves_idempotent_work() {
    let (mut harness, _) = start_request("sweep", &["c", "d"]);
    harness.advance(3);
    let again = sent_work(&harness.link_down("e2"));
    assert_eq!(&*again[0].0, "e3");
    assert_eq!(again[0].1.extra_calls, 1);
    assert!(again[0].1.portions[0].repeated, "the lost owner's server may have received it");
    let answer = only_answer(&harness.reply("e3", covering_reply(&again[0].1, "s2")));
    assert_eq!(answer.covered, ["c", "d"]);
    let next = harness.call(request("k2", "sweep", &["c"]));
    assert_eq!(receivers(&next), ["e3"], "the lost owner is skipped");
}

/// Guards against sending work within the two milliseconds before the deadline that are reserved
/// for the answer, when the link breaks or the owner refuses.
#[test]
fn nothing_is_sent_within_answer_margin() {
    for broken in [true, false] {
        let (mut harness, sent) = start_request("sweep", &["c"]);
        harness.now = harness.now + Duration::from_millis(99);
        let out = match broken {
            true => harness.link_down("e2"),
            false => harness.reply("e2", refusal_reply(&sent[0].1, "s2", Reason::NotOwner)),
        };
        assert!(sent_work(&out).is_empty());
        assert_eq!(only_answer(&out).covered.len(), 0);
    }
}

/// Guards against sending a booking again when the link to its owner breaks, as it may have run.
/// The caller must be told immediately.
#[test]
fn broken_link_never_moves_non_idempotent_work() {
    let (mut harness, _) = start_request("book", &["c"]);
    let out = harness.link_down("e2");
    assert!(sent_work(&out).is_empty());
    let answer = only_answer(&out);
    assert_eq!(answer.verdict(), Verdict::MayHaveRun);
    assert_eq!(missing_summary(&answer), "c:OWNER_LOST/MAY_HAVE_RUN");
    assert_eq!(answer.reason(), Reason::OwnerLost);
}

/// If the membership considers the owner dead when the query arrives, the next candidate must
/// receive the work.
#[test]
fn dead_owner_is_skipped() {
    let mut harness = Harness::new(&Fleet::default().without_instance("e2"));
    let sent = sent_work(&harness.call(request("k1", "sweep", &["c"])));
    assert_eq!(&*sent[0].0, "e3");
}

/// An owner stops replying while its link stays up, as after a cable failure. After the assumed
/// silence limit of four times 50 ms its portion must also go to the next candidate. The first
/// reply must be accepted and the other one dropped.
#[test]
fn portion_at_silent_owner_goes_to_next_candidate() {
    for (first, second) in [("e2", "e3"), ("e3", "e2")] {
        let (mut harness, sent) = start_request("check", &["a", "c"]);
        assert!(sent_work(&harness.advance(199)).is_empty());
        let again = sent_work(&harness.advance(1));
        assert_eq!(&*again[0].0, "e3");
        let reply = |from: &str| match from {
            "e2" => covering_reply(&sent[1].1, "s2"),
            _ => covering_reply(&again[0].1, "s2"),
        };
        assert!(harness.reply(first, reply(first)).is_empty());
        let out = harness.reply(second, reply(second));
        assert_eq!(out, [drop_count(Reason::StaleAnswer)], "{second} is late");
        let answer = only_answer(&harness.reply("e1", covering_reply(&sent[0].1, "s1")));
        assert_eq!(answer.covered, ["a", "c"]);
    }
}

/// The next candidate refuses a portion that was moved from a silent owner: the silent owner may
/// still reply and must be awaited. If the next candidate covers the portion, the silent owner's
/// portion must be cancelled.
#[test]
fn silent_owner_is_awaited_after_next_candidate_refuses() {
    let (mut harness, sent) = start_request("check", &["c"]);
    let again = sent_work(&harness.advance(200));
    let refusal = refusal_reply(&again[0].1, "s2", Reason::QueueFull);
    assert!(harness.reply("e3", refusal).is_empty());
    let answer = only_answer(&harness.reply("e2", covering_reply(&sent[0].1, "s2")));
    assert_eq!(answer.covered, ["c"]);

    let (mut harness, _) = start_request("check", &["c"]);
    let again = sent_work(&harness.advance(200));
    let out = harness.reply("e3", covering_reply(&again[0].1, "s2"));
    assert_eq!(cancelled_owners(&out), ["e2"]);
}

/// A booking at a silent owner must not be moved, and its caller must be told at the deadline that
/// it may have run.
#[test]
fn non_idempotent_work_stays_at_silent_owner() {
    let (mut harness, _) = start_request("book", &["c"]);
    harness.deliver(Event::View(Fleet::default().without_instance("e2").view()));
    let out = harness.advance(500);
    assert!(sent_work(&out).is_empty());
    assert_eq!(missing_summary(&only_answer(&out)), "c:DEADLINE/MAY_HAVE_RUN");
}

/// An owner that usually replies within 2 ms must be marked silent after 30 ms. New queries must
/// skip it; after the probe interval one of them must also be sent to it, and its reply must end
/// the silence.
#[test]
fn silent_owner_is_used_again_after_probe() {
    let mut harness = Harness::new(&Fleet::default());
    for _ in 0..40 {
        let sent = sent_work(&harness.call(request("k", "check", &["c"])));
        harness.advance(2);
        harness.reply("e2", covering_reply(&sent[0].1, "s2"));
    }
    harness.call(request("k", "check", &["c"]));
    assert_eq!(receivers(&advance_and_reply(&mut harness, 30, None)), ["e3"]);
    assert_eq!(receivers(&advance_and_reply(&mut harness, 0, Some("d"))), ["e3"], "skipped");
    harness.advance(250);
    let booking = harness.call(request("b", "book", &["d"]));
    assert_eq!(receivers(&booking), ["e3"], "a booking never probes");
    let probing = advance_and_reply(&mut harness, 0, Some("d"));
    assert_eq!(receivers(&probing), ["e3", "e2"], "also sent to the silent owner");
    assert_eq!(
        receivers(&advance_and_reply(&mut harness, 0, Some("d"))),
        ["e3"],
        "one probe at a time"
    );
    let probe = &sent_work(&probing)[1].1;
    harness.reply("e2", covering_reply(probe, "s2"));
    assert_eq!(
        receivers(&advance_and_reply(&mut harness, 0, Some("d"))),
        ["e2"],
        "the owner is used again"
    );
}

/// Advances the time, requests a shard of s2 if one is given, and replies to the work for e3.
fn advance_and_reply(harness: &mut Harness, millis: u64, shard: Option<&str>) -> Vec<Action> {
    let mut out = harness.advance(millis);
    if let Some(shard) = shard {
        out = harness.call(request("k", "check", &[shard]));
    }
    for (_, work) in sent_work(&out).iter().filter(|(to, _)| **to == *"e3") {
        harness.reply("e3", covering_reply(work, "s2"));
    }
    out
}

/// Guards against sending everything a second time when this instance itself is disconnected or
/// stalled, so that both other instances seem silent at once.
#[test]
fn silence_of_all_peers_moves_nothing() {
    let (mut harness, _) = start_request("check", &["c", "e"]);
    assert!(sent_work(&harness.advance(390)).is_empty());
}

/// The silent owner never replies, and the next candidate's queue is full: the answer at the
/// deadline must give the lost owner as the reason, not the deadline.
#[test]
fn lost_owner_is_reported_at_deadline() {
    let (mut harness, sent) = start_request("check", &["a", "c"]);
    harness.advance(1);
    harness.reply("e1", covering_reply(&sent[0].1, "s1"));
    let again = sent_work(&harness.advance(199));
    harness.advance(1);
    harness.reply("e3", refusal_reply(&again[0].1, "s2", Reason::QueueFull));
    let out = harness.advance(199);
    assert_eq!(missing_summary(&only_answer(&out)), "c:OWNER_LOST/MAY_HAVE_RUN");
    insta::assert_snapshot!(harness.log);
}

/// Guards against moving an operation that takes seconds, more than the assumed silence limit of
/// 200 ms: it must not go to the next candidate before a sixteenth of its deadline, 1250 of 20000
/// ms, has passed.
#[test]
fn slow_operation_is_not_moved_early() {
    let mut harness = Harness::new(&Fleet::default());
    let asked = Request { deadline_ms: 20_000, ..request("k1", "check", &["c"]) };
    harness.call(asked);
    assert!(sent_work(&harness.advance(1249)).is_empty());
    assert_eq!(receivers(&harness.advance(101)), ["e3"]);
}

/// Guards against moving work because of silence while this process was paused, as replies may not
/// have been read yet. Nothing must be sent again before the process has run for the same time
/// again.
#[test]
fn silence_during_pause_moves_nothing() {
    let pause = Duration::from_millis(205);
    for (pause_ms, event) in [(230, Event::Tick), (205, Event::Paused(pause))] {
        let (mut harness, _) = start_request("check", &["c"]);
        harness.now = harness.now + Duration::from_millis(pause_ms);
        assert!(sent_work(&harness.deliver(event)).is_empty());
        assert!(sent_work(&harness.advance(160)).is_empty());
    }
}

/// After a process pause of one second with an open query, the expired query must be answered
/// before any other event is handled: the new view must not move its portions.
#[test]
fn expired_queries_end_before_sending() {
    let (mut harness, _) = start_request("check", &["c"]);
    harness.now = harness.now + Duration::from_secs(1);
    let out = harness.deliver(Event::Paused(Duration::from_secs(1)));
    assert_eq!(missing_summary(&only_answer(&out)), "c:PAUSED/MAY_HAVE_RUN");
    harness.call(request("k2", "check", &["c"]));
    harness.now = harness.now + Duration::from_secs(1);
    let out = harness.deliver(Event::View(Fleet::default().without_instance("e2").view()));
    assert!(sent_work(&out).is_empty());
    assert_eq!(missing_summary(&only_answer(&out)), "c:DEADLINE/MAY_HAVE_RUN");
}

/// If the membership no longer considers the owner alive while a query is open there, the portion
/// must go to the next candidate.
#[test]
fn view_without_owner_moves_idempotent_work() {
    let (mut harness, _) = start_request("check", &["c"]);
    let out = harness.deliver(Event::View(Fleet::default().without_instance("e2").view()));
    assert_eq!(receivers(&out), ["e3"]);
}

/// After the caller disconnects, the owners must receive a cancellation, late replies must be
/// dropped, and no answer must be sent.
#[test]
fn disconnected_caller_gets_no_answer() {
    let (mut harness, sent) = start_request("check", &["c", "e"]);
    let out = harness.deliver(Event::CallerLeft(CallerId(1)));
    assert_eq!(cancelled_owners(&out), ["e2", "e3"]);
    let late = harness.reply("e2", covering_reply(&sent[0].1, "s2"));
    assert_eq!(late, [drop_count(Reason::StaleAnswer)]);
    assert!(answers(&harness.advance(500)).is_empty());
}
