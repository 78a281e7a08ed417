//! The whole path of ordinary queries.

use ladder_core::gather::{Event, Step};
use ladder_core::schema::outcome::{Reason, Verdict};

use crate::fleet::{Fleet, site};
use crate::session::{Session, answer, answers, asked, covered, missing, refused, request, works};

/// A caller sweeps all shards: the request goes in, one work message goes to each owner, the
/// replies come back out of order, the caller gets all six shards of one version.
#[test]
fn first_whole_session() {
    let (mut session, sent) = asked("sweep", &[]);
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
    let (mut session, sent) = asked("sweep", &[]);
    for (from, work) in sent.iter().filter(|(from, _)| **from != *"e2") {
        session.reply(from, covered(work, &work.portions[0].service));
    }
    let answer = answer(&session.pass(100));
    assert_eq!(answer.covered, ["a", "b", "e", "f"]);
    assert_eq!(missing(&answer), "c:DEADLINE/MAY_HAVE_RUN d:DEADLINE/MAY_HAVE_RUN");
    assert_eq!(answer.verdict(), Verdict::Ran);
    assert_eq!(session.machine.open(), 0);
}

/// All owners refuse at once because their queues are full: the caller hears it at once, with the
/// longest advice when to come back.
#[test]
fn refusal_of_all_is_not_held() {
    let (mut session, sent) = asked("sweep", &[]);
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

/// One of twenty services is slow. After 60 of 100 ms a sweep that values time answers with the
/// other nineteen; one that values coverage waits for its whole deadline, and so does a sweep that
/// lacks two.
#[test]
fn preference_decides_how_long_stragglers_are_waited_for() {
    const SERVICES: [&str; 20] = [
        "s01", "s02", "s03", "s04", "s05", "s06", "s07", "s08", "s09", "s10", "s11", "s12", "s13",
        "s14", "s15", "s16", "s17", "s18", "s19", "s20",
    ];
    let fleet = Fleet {
        ready: true,
        sites: SERVICES.map(|name| site(name, ["e2", "e3", "e1"])).to_vec(),
        versions: vec![(7, SERVICES.map(|name| (name, name)).to_vec())],
    };
    for (operation, lacking, answered_ms) in [("sweep", 1, 60), ("sweep", 2, 98), ("check", 1, 98)]
    {
        let mut session = Session::new(&fleet);
        let mut asked = request("k1", operation, &[]);
        asked.deadline_ms = 100;
        let work = works(&session.call(asked)).remove(0).1;
        for service in &SERVICES[lacking..] {
            session.reply("e2", covered(&work, service));
        }
        assert!(answers(&session.pass(answered_ms - 1)).is_empty(), "{operation} {lacking}");
        let answer = answer(&session.pass(1));
        assert_eq!(answer.covered.len(), 20 - lacking, "{operation} {lacking}");
    }
}

/// An operator asks what happened to one query: the owner refused it, the next one answered.
#[test]
fn history_explains_a_query() {
    let (mut session, sent) = asked("check", &["c"]);
    let again = works(&session.reply("e2", refused(&sent[0].1, "s2", Reason::NotOwner)));
    session.reply("e3", covered(&again[0].1, "s2"));
    let account = session.machine.explain("k1").expect("it is remembered");
    let steps: Vec<Step> = account.steps.iter().map(|stamp| stamp.step.clone()).collect();
    insta::assert_debug_snapshot!(steps);
    for number in 0..256 {
        session.call(request(&format!("other{number}"), "check", &["c"]));
    }
    assert!(session.machine.explain("k1").is_none(), "the ring is bounded");
}

/// A stopping instance refuses what is new and finishes what is open.
#[test]
fn drain_refuses_new_and_finishes_open() {
    let (mut session, sent) = asked("check", &["c"]);
    session.give(Event::Drain);
    let refusal = answer(&session.call(request("k2", "check", &["c"])));
    assert_eq!(refusal.reason(), Reason::Draining);
    assert_eq!(refusal.verdict(), Verdict::NotRun);
    let answer = answer(&session.reply("e2", covered(&sent[0].1, "s2")));
    assert_eq!(answer.covered, ["c"]);
}

/// An instance without a catalogue refuses everything.
#[test]
fn nothing_is_taken_before_the_view_is_ready() {
    let fleet = Fleet { ready: false, ..Fleet::default() };
    let mut session = Session::new(&fleet);
    let refusal = answer(&session.call(request("k1", "check", &["c"])));
    assert_eq!(refusal.reason(), Reason::NotReady);
}
