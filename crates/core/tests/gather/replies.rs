//! Which replies enter, and why the others are dropped.

use ladder_core::schema::outcome::Reason::{StaleAnswer, WrongAnswer, WrongVersion};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::Reply;

use crate::session::{answer, asked, covered, dropped, refused, request, works};

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

/// Replies by what is wrong with them, who sends them and how they differ from the right one.
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

/// A reply comes late, twice, crossed with another or damaged. Were it taken, the caller would get
/// what another one asked for, or a mix of versions. It is dropped and counted, and the right reply
/// that comes after it is still taken, once.
#[test]
fn only_the_reply_to_an_open_sending_enters() {
    for case in CASES {
        let name = case.name;
        let (mut session, sent) = asked("check", &["c", "d", "e"]);
        let mut wrong = covered(&sent[0].1, "s2");
        (case.change)(&mut wrong);
        let out = session.reply(case.from, wrong);
        assert_eq!(out, [dropped(case.dropped)], "{name}");
        let mut right = covered(&sent[0].1, "s2");
        right.parts.reverse();
        assert!(session.reply("e2", right.clone()).is_empty(), "{name}");
        let again = session.reply("e2", right);
        assert_eq!(again, [dropped(StaleAnswer)], "{name}: again");
        let answer = answer(&session.reply("e3", covered(&sent[1].1, "s3")));
        assert_eq!(answer.covered, ["c", "d", "e"], "{name}");
        let bodies: Vec<&str> = answer.parts.iter().map(|part| part.body.as_str()).collect();
        assert_eq!(bodies, ["c@7", "d@7", "e@7"], "{name}");
    }
}

/// An owner's refusal arrives twice: the portion goes to the next candidate once.
#[test]
fn refusal_that_comes_twice_moves_work_once() {
    let (mut session, sent) = asked("check", &["c"]);
    let refusal = refused(&sent[0].1, "s2", Reason::NotOwner);
    assert_eq!(works(&session.reply("e2", refusal.clone())).len(), 1);
    let out = session.reply("e2", refusal);
    assert_eq!(out, [dropped(StaleAnswer)]);
}

/// Two callers ask for the same shard at once and their replies come back crossed: each gets the
/// parts that name its own query.
#[test]
fn crossed_replies_reach_their_own_callers() {
    let (mut session, first) = asked("check", &["c"]);
    let second = works(&session.call(request("k2", "check", &["c"])));
    for (work, key) in [(&second[0].1, "k2"), (&first[0].1, "k1")] {
        let mut reply = covered(work, "s2");
        reply.parts[0].body = key.to_owned();
        let answer = answer(&session.reply("e2", reply));
        assert_eq!((answer.key.as_str(), answer.parts[0].body.as_str()), (key, key));
    }
}
