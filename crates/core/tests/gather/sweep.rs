//! The whole path of ordinary queries.

use ladder_core::schema::outcome::{Reason, Verdict};

use crate::fleet::Fleet;
use crate::session::{Session, answer, covered, missing, refused, request, works};

/// A caller sweeps all shards: the request goes in, one work message goes to each owner, the
/// replies come back out of order, the caller gets all six shards of one version.
#[test]
fn first_whole_session() {
    let mut session = Session::new(&Fleet::default());
    let sent = works(&session.call(request("k1", "sweep", &[])));
    session.pass(4);
    for place in [2, 0, 1] {
        let (from, work) = &sent[place];
        session.pass(1);
        session.reply(from, covered(work, &work.portions[0].service));
    }
    insta::assert_snapshot!(session.log);
}

/// A server of s2 is slow. A sweep that values time answers at 98 ms with what it has, says which
/// shards are missing and cancels the rest.
#[test]
fn deadline_cuts_and_says_what_is_missing() {
    let mut session = Session::new(&Fleet::default());
    let sent = works(&session.call(request("k1", "sweep", &[])));
    for (from, work) in sent.iter().filter(|(from, _)| **from != *"e2") {
        session.reply(from, covered(work, &work.portions[0].service));
    }
    let answer = answer(&session.pass(100));
    assert_eq!(answer.covered, ["a", "b", "e", "f"]);
    assert_eq!(
        missing(&answer),
        "c:DEADLINE/MAY_HAVE_RUN d:DEADLINE/MAY_HAVE_RUN"
    );
    assert_eq!(answer.verdict(), Verdict::Ran);
    assert_eq!(session.machine.open(), 0);
}

/// All owners refuse at once because their queues are full: the caller hears it at once, with the
/// longest advice when to come back.
#[test]
fn refusal_of_all_is_not_held() {
    let mut session = Session::new(&Fleet::default());
    let sent = works(&session.call(request("k1", "sweep", &[])));
    let mut last = Vec::new();
    for (delay, (from, work)) in sent.iter().enumerate() {
        let mut reply = refused(work, &work.portions[0].service, Reason::QueueFull);
        reply.retry_after_ms = 10 * (delay as u32 + 1);
        last = session.reply(from, reply);
    }
    let answer = answer(&last);
    assert_eq!(answer.verdict(), Verdict::NotRun);
    assert_eq!(answer.reason(), Reason::QueueFull);
    assert_eq!(answer.retry_after_ms, 30);
    assert_eq!(ladder_core::gather::status(&answer), 429);
}
