//! Tests of which replies are accepted, and why the others are dropped.

use ladder_core::schema::outcome::Reason::{StaleAnswer, WrongAnswer, WrongVersion};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::Reply;

use crate::harness::{
    covering_reply, drop_count, only_answer, refusal_reply, request, sent_work, start_request,
};

struct Case {
    name: &'static str,
    from: &'static str,
    change: fn(&mut Reply),
    dropped: Reason,
}

const fn case(
    name: &'static str,
    from: &'static str,
    change: fn(&mut Reply),
    dropped: Reason,
) -> Case {
    Case { name, from, change, dropped }
}

/// Invalid replies: what is wrong with each, who sends it and how it differs from the valid one.
const CASES: &[Case] = &[
    case("for an earlier incarnation of this instance", "e2", |r| r.incarnation -= 1, StaleAnswer),
    case("for a query that was never asked", "e2", |r| r.query += 7, StaleAnswer),
    case("from an instance that nothing was sent to", "e9", |_| {}, StaleAnswer),
    case("from the owner of another portion", "e3", |_| {}, WrongAnswer),
    case("for a sending that never was", "e2", |r| r.round += 7, WrongAnswer),
    case("for a service that was not asked", "e2", |r| r.service = "s1".to_owned(), WrongAnswer),
    case("of another version", "e2", |r| r.version = 6, WrongVersion),
    case("without a version", "e2", |r| r.version = 0, WrongVersion),
    case("without one of the shards", "e2", |r| drop(r.parts.pop()), WrongAnswer),
    case(
        "with one shard twice in place of another",
        "e2",
        |r| r.parts[1] = r.parts[0].clone(),
        WrongAnswer,
    ),
    case("with a shard too many", "e2", |r| r.parts.push(r.parts[0].clone()), WrongAnswer),
    case("without a verdict", "e2", without_verdict, WrongAnswer),
    case(
        "that did not run but has parts",
        "e2",
        |r| r.verdict = Verdict::NotRun.into(),
        WrongAnswer,
    ),
];

fn without_verdict(reply: &mut Reply) {
    reply.verdict = Verdict::Unspecified.into();
    reply.parts.clear();
}

/// Guards against accepting a reply that is late, duplicate, for another sending or corrupted: the
/// caller would receive another caller's parts or a mix of versions. The reply must be dropped and
/// counted, and the valid reply after it must be accepted, once.
#[test]
fn only_reply_to_open_sending_is_accepted() {
    for case in CASES {
        let name = case.name;
        let (mut harness, sent) = start_request("check", &["c", "d", "e"]);
        let mut wrong = covering_reply(&sent[0].1, "s2");
        (case.change)(&mut wrong);
        let out = harness.reply(case.from, wrong);
        assert_eq!(out, [drop_count(case.dropped)], "{name}");
        let mut right = covering_reply(&sent[0].1, "s2");
        right.parts.reverse();
        assert!(harness.reply("e2", right.clone()).is_empty(), "{name}");
        let again = harness.reply("e2", right);
        assert_eq!(again, [drop_count(StaleAnswer)], "{name}: again");
        let answer = only_answer(&harness.reply("e3", covering_reply(&sent[1].1, "s3")));
        assert_eq!(answer.covered, ["c", "d", "e"], "{name}");
        let bodies: Vec<&str> = answer.parts.iter().map(|part| part.body.as_str()).collect();
        assert_eq!(bodies, ["c@7", "d@7", "e@7"], "{name}");
    }
}

/// If an owner's refusal arrives twice, the portion must go to the next candidate once.
#[test]
fn duplicate_refusal_moves_work_once() {
    let (mut harness, sent) = start_request("check", &["c"]);
    let refusal = refusal_reply(&sent[0].1, "s2", Reason::NotOwner);
    assert_eq!(sent_work(&harness.reply("e2", refusal.clone())).len(), 1);
    let out = harness.reply("e2", refusal);
    assert_eq!(out, [drop_count(StaleAnswer)]);
}

/// If the replies to two callers' requests for the same shard arrive in the opposite order, each
/// caller must receive the parts that name its own query.
#[test]
fn crossed_replies_reach_their_own_callers() {
    let (mut harness, first) = start_request("check", &["c"]);
    let second = sent_work(&harness.call(request("k2", "check", &["c"])));
    for (work, key) in [(&second[0].1, "k2"), (&first[0].1, "k1")] {
        let mut reply = covering_reply(work, "s2");
        reply.parts[0].body = key.to_owned();
        let answer = only_answer(&harness.reply("e2", reply));
        assert_eq!((answer.key.as_str(), answer.parts[0].body.as_str()), (key, key));
    }
}
