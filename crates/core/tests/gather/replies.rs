//! Which replies enter, and why the others are dropped.

use ladder_core::count::{Count, Event};
use ladder_core::gather::Action;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::Reply;

use crate::fleet::Fleet;
use crate::session::{Session, answer, covered, refused, request, works};

struct Case {
    name: &'static str,
    from: &'static str,
    change: fn(&mut Reply),
    dropped: Reason,
}

const CASES: &[Case] = &[
    Case {
        name: "for an earlier incarnation of this instance",
        from: "e2",
        change: |reply| reply.incarnation -= 1,
        dropped: Reason::StaleAnswer,
    },
    Case {
        name: "for a query that was never asked",
        from: "e2",
        change: |reply| reply.query += 7,
        dropped: Reason::StaleAnswer,
    },
    Case {
        name: "from an instance that nothing was sent to",
        from: "e9",
        change: |_| {},
        dropped: Reason::StaleAnswer,
    },
    Case {
        name: "from the owner of another portion",
        from: "e3",
        change: |_| {},
        dropped: Reason::WrongAnswer,
    },
    Case {
        name: "for a sending that never was",
        from: "e2",
        change: |reply| reply.round += 7,
        dropped: Reason::WrongAnswer,
    },
    Case {
        name: "for a service that was not asked",
        from: "e2",
        change: |reply| reply.service = "s1".to_owned(),
        dropped: Reason::WrongAnswer,
    },
    Case {
        name: "of another version",
        from: "e2",
        change: |reply| reply.version = 6,
        dropped: Reason::WrongVersion,
    },
    Case {
        name: "without a version",
        from: "e2",
        change: |reply| reply.version = 0,
        dropped: Reason::WrongVersion,
    },
    Case {
        name: "without one of the shards",
        from: "e2",
        change: |reply| drop(reply.parts.pop()),
        dropped: Reason::WrongAnswer,
    },
    Case {
        name: "with one shard twice in place of another",
        from: "e2",
        change: |reply| reply.parts[1] = reply.parts[0].clone(),
        dropped: Reason::WrongAnswer,
    },
    Case {
        name: "with a shard too many",
        from: "e2",
        change: |reply| reply.parts.push(reply.parts[0].clone()),
        dropped: Reason::WrongAnswer,
    },
    Case {
        name: "without a verdict",
        from: "e2",
        change: |reply| {
            reply.verdict = Verdict::Unspecified.into();
            reply.parts.clear();
        },
        dropped: Reason::WrongAnswer,
    },
    Case {
        name: "that did not run but has parts",
        from: "e2",
        change: |reply| reply.verdict = Verdict::NotRun.into(),
        dropped: Reason::WrongAnswer,
    },
];

/// A reply comes late, twice, crossed with another or damaged. Were it taken, the caller would get
/// what another one asked for, or a mix of versions. It is dropped and counted, and the right reply
/// that comes after it is still taken, once.
#[test]
fn only_the_reply_to_an_open_sending_enters() {
    for case in CASES {
        let name = case.name;
        let mut session = Session::new(&Fleet::default());
        let sent = works(&session.call(request("k1", "check", &["c", "d", "e"])));
        let mut wrong = covered(&sent[0].1, "s2");
        (case.change)(&mut wrong);
        let out = session.reply(case.from, wrong);
        assert_eq!(out, [dropped(case.dropped)], "{name}");
        let mut right = covered(&sent[0].1, "s2");
        right.parts.reverse();
        assert!(session.reply("e2", right.clone()).is_empty(), "{name}");
        let again = session.reply("e2", right);
        assert_eq!(again, [dropped(Reason::StaleAnswer)], "{name}: again");
        let answer = answer(&session.reply("e3", covered(&sent[1].1, "s3")));
        assert_eq!(answer.covered, ["c", "d", "e"], "{name}");
        let bodies: Vec<&str> = answer.parts.iter().map(|part| part.body.as_str()).collect();
        assert_eq!(bodies, ["c@7", "d@7", "e@7"], "{name}");
    }
}

/// An owner's refusal arrives twice: the portion goes to the next candidate once.
#[test]
fn refusal_that_comes_twice_moves_work_once() {
    let mut session = Session::new(&Fleet::default());
    let sent = works(&session.call(request("k1", "check", &["c"])));
    let refusal = refused(&sent[0].1, "s2", Reason::NotOwner);
    assert_eq!(works(&session.reply("e2", refusal.clone())).len(), 1);
    let out = session.reply("e2", refusal);
    assert_eq!(out, [dropped(Reason::StaleAnswer)]);
}

/// Two callers ask for the same shard at once and their replies come back crossed: each gets the
/// parts that name its own query.
#[test]
fn crossed_replies_reach_their_own_callers() {
    let mut session = Session::new(&Fleet::default());
    let first = works(&session.call(request("k1", "check", &["c"])));
    let second = works(&session.call(request("k2", "check", &["c"])));
    for (work, key) in [(&second[0].1, "k2"), (&first[0].1, "k1")] {
        let mut reply = covered(work, "s2");
        reply.parts[0].body = key.to_owned();
        let answer = answer(&session.reply("e2", reply));
        assert_eq!((answer.key.as_str(), answer.parts[0].body.as_str()), (key, key));
    }
}

fn dropped(reason: Reason) -> Action {
    let event = Event::Drop;
    Action::Count(Count { event, reason })
}
