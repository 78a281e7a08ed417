//! Tests of ordinary queries from the request to the answer.

use ladder_core::gather::{Event, Step};
use ladder_core::schema::outcome::{Reason, Verdict};

use crate::fleet::{Fleet, service_spec};
use crate::harness::{
    Harness, answers, covering_reply, missing_summary, only_answer, refusal_reply, request,
    sent_work, start_request,
};

/// A caller requests all shards: each owner must receive one work message, and after replies in
/// any order the caller must receive all six shards of one version.
#[test]
fn sweep_covers_all_shards() {
    let (mut harness, sent) = start_request("sweep", &[]);
    harness.advance(4);
    for place in [2, 0, 1] {
        let (from, work) = &sent[place];
        harness.advance(1);
        harness.reply(from, covering_reply(work, &work.portions[0].service));
    }
    insta::assert_snapshot!(harness.log);
}

/// A server of s2 is slow. A query that prefers timeliness must answer at 98 ms with the covered
/// shards, list the missing shards and cancel the open portions.
#[test]
fn deadline_answer_names_missing_shards() {
    let (mut harness, sent) = start_request("sweep", &[]);
    for (from, work) in sent.iter().filter(|(from, _)| **from != *"e2") {
        harness.reply(from, covering_reply(work, &work.portions[0].service));
    }
    let answer = only_answer(&harness.advance(100));
    assert_eq!(answer.covered, ["a", "b", "e", "f"]);
    assert_eq!(missing_summary(&answer), "c:DEADLINE/MAY_HAVE_RUN d:DEADLINE/MAY_HAVE_RUN");
    assert_eq!(answer.verdict(), Verdict::Ran);
    assert_eq!(harness.machine.open(), 0);
}

/// If all owners refuse because their queues are full, the caller must be answered immediately,
/// with the longest of the advised retry delays.
#[test]
fn refusal_by_all_owners_is_answered_immediately() {
    let (mut harness, sent) = start_request("sweep", &[]);
    let mut last = Vec::new();
    for (delay, (from, work)) in sent.iter().enumerate() {
        let mut reply = refusal_reply(work, &work.portions[0].service, Reason::QueueFull);
        reply.retry_after_ms = 10 * (delay as u32 + 1);
        last = harness.reply(from, reply);
    }
    let answer = only_answer(&last);
    assert_eq!(answer.verdict(), Verdict::NotRun);
    assert_eq!(answer.reason(), Reason::QueueFull);
    assert_eq!(answer.retry_after_ms, 30);
    assert_eq!(ladder_core::gather::status(&answer), 429);
}

/// One of twenty services is slow. After 60 of 100 ms a query that prefers timeliness must answer
/// with the other nineteen shards. A query that prefers completeness must wait for its whole
/// deadline, and so must a query that lacks two shards.
#[test]
fn preference_sets_wait_for_stragglers() {
    const SERVICES: [&str; 20] = [
        "s01", "s02", "s03", "s04", "s05", "s06", "s07", "s08", "s09", "s10", "s11", "s12", "s13",
        "s14", "s15", "s16", "s17", "s18", "s19", "s20",
    ];
    let fleet = Fleet {
        ready: true,
        services: SERVICES.map(|name| service_spec(name, ["e2", "e3", "e1"])).to_vec(),
        versions: vec![(7, SERVICES.map(|name| (name, name)).to_vec())],
    };
    for (operation, missing_services, answered_ms) in
        [("sweep", 1, 60), ("sweep", 2, 98), ("check", 1, 98)]
    {
        let mut harness = Harness::new(&fleet);
        let mut request = request("k1", operation, &[]);
        request.deadline_ms = 100;
        let work = sent_work(&harness.call(request)).remove(0).1;
        for service in &SERVICES[missing_services..] {
            harness.reply("e2", covering_reply(&work, service));
        }
        assert!(
            answers(&harness.advance(answered_ms - 1)).is_empty(),
            "{operation} {missing_services}"
        );
        let answer = only_answer(&harness.advance(1));
        assert_eq!(answer.covered.len(), 20 - missing_services, "{operation} {missing_services}");
    }
}

/// The history of a query must list its steps: here the owner refused the portion and the next
/// candidate covered it.
#[test]
fn history_lists_query_steps() {
    let (mut harness, sent) = start_request("check", &["c"]);
    let again = sent_work(&harness.reply("e2", refusal_reply(&sent[0].1, "s2", Reason::NotOwner)));
    harness.reply("e3", covering_reply(&again[0].1, "s2"));
    let account = harness.machine.explain("k1").expect("the history contains the query");
    let steps: Vec<Step> = account.steps.iter().map(|timed_step| timed_step.step.clone()).collect();
    insta::assert_debug_snapshot!(steps);
    for number in 0..256 {
        harness.call(request(&format!("other{number}"), "check", &["c"]));
    }
    assert!(harness.machine.explain("k1").is_none(), "the ring is bounded");
}

/// An instance that is shutting down must refuse new requests and finish the open ones.
#[test]
fn drain_refuses_new_requests_and_finishes_open_ones() {
    let (mut harness, sent) = start_request("check", &["c"]);
    harness.deliver(Event::Drain);
    let refusal = only_answer(&harness.call(request("k2", "check", &["c"])));
    assert_eq!(refusal.reason(), Reason::Draining);
    assert_eq!(refusal.verdict(), Verdict::NotRun);
    let answer = only_answer(&harness.reply("e2", covering_reply(&sent[0].1, "s2")));
    assert_eq!(answer.covered, ["c"]);
}

/// An instance without a catalogue must refuse every request.
#[test]
fn requests_are_refused_before_view_is_ready() {
    let fleet = Fleet { ready: false, ..Fleet::default() };
    let mut harness = Harness::new(&fleet);
    let refusal = only_answer(&harness.call(request("k1", "check", &["c"])));
    assert_eq!(refusal.reason(), Reason::NotReady);
}
