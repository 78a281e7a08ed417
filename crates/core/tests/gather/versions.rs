//! Tests that every answer is from one index version.

use std::sync::Arc;

use ladder_core::gather::Event;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::{Reply, Work};

use crate::fleet::{Fleet, MAP};
use crate::harness::{
    Harness, covering_reply, missing_summary, only_answer, refusal_reply, request, sent_work,
};

struct Case {
    name: &'static str,
    change: fn(&mut Fleet),
    shards: &'static [&'static str],
    version: u64,
    /// Shards that are sent, and the missing shards with their reasons.
    sent: &'static str,
    missing: &'static str,
}

fn hold(fleet: &mut Fleet, service: usize, versions: &[u64]) {
    fleet.services[service].held_versions = vec![versions.to_vec(); 2];
}

fn hold_all(fleet: &mut Fleet, versions: &[u64]) {
    for service in 0..3 {
        hold(fleet, service, versions);
    }
}

/// Version 8 follows version 7 and replaces shard `f` by `g`; all servers hold both.
const NEWER: Case = Case {
    name: "the newest version held everywhere",
    change: |fleet| hold_all(fleet, &[7, 8]),
    shards: &[],
    version: 8,
    sent: "a b c d e g",
    missing: "",
};

/// The second service does not hold the newer version.
const OLDER: Case = Case {
    name: "the newest version is not on all servers yet",
    change: |fleet| {
        hold_all(fleet, &[7, 8]);
        hold(fleet, 1, &[7]);
    },
    version: 7,
    sent: "a b c d e f",
    ..NEWER
};

const CASES: &[Case] = &[
    NEWER,
    Case {
        name: "one replica of each service is enough",
        change: |fleet| {
            hold_all(fleet, &[7, 8]);
            fleet.services[0].held_versions = vec![vec![7], vec![8]];
        },
        ..NEWER
    },
    OLDER,
    Case {
        name: "the newest version is on all requested services",
        shards: &["a"],
        version: 8,
        sent: "a",
        ..OLDER
    },
    Case {
        name: "a server that leaves is ignored",
        change: |fleet| {
            hold_all(fleet, &[7, 8]);
            fleet.services[0].held_versions = vec![vec![7], vec![8]];
            fleet.services[0].leaving = vec![false, true];
        },
        ..OLDER
    },
    Case {
        name: "no common version: the greatest coverage",
        change: |fleet| hold(fleet, 0, &[8]),
        sent: "c d e f",
        missing: "a:NO_COMMON_VERSION/NOT_RUN b:NO_COMMON_VERSION/NOT_RUN",
        ..OLDER
    },
    Case {
        name: "no server at all",
        change: |fleet| {
            hold_all(fleet, &[8]);
            fleet.services[1].leaving = vec![true, true];
        },
        sent: "a b e g",
        missing: "c:NO_SERVER/NOT_RUN d:NO_SERVER/NOT_RUN",
        ..NEWER
    },
    Case {
        name: "a requested shard that only the old version has",
        shards: &["a", "f"],
        version: 7,
        sent: "a f",
        ..NEWER
    },
    Case {
        name: "no server holds the old version",
        change: |fleet| hold_all(fleet, &[8]),
        shards: &["a", "f"],
        sent: "a",
        missing: "f:UNKNOWN_SHARD/NOT_RUN",
        ..NEWER
    },
    Case {
        name: "a service without a catalogue entry",
        change: |fleet| {
            hold_all(fleet, &[8]);
            fleet.services.remove(0);
        },
        sent: "c d e g",
        missing: "a:UNKNOWN_OPERATION/NOT_RUN b:UNKNOWN_OPERATION/NOT_RUN",
        ..NEWER
    },
];

#[test]
fn one_version_is_pinned_for_all_shards() {
    for case in CASES {
        let mut fleet = Fleet::default();
        let mut map = MAP.to_vec();
        map[5] = ("g", "s3");
        fleet.versions.insert(0, (8, map));
        (case.change)(&mut fleet);
        let mut harness = Harness::new(&fleet);
        let sent = sent_work(&harness.call(request("k1", "check", case.shards)));
        let portions = sent.iter().flat_map(|(_, work)| &work.portions);
        let mut shards: Vec<String> = portions.flat_map(|portion| portion.shards.clone()).collect();
        shards.sort();
        assert_eq!(shards.join(" "), case.sent, "{}", case.name);
        assert!(sent.iter().all(|(_, work)| work.version == case.version), "{}", case.name);
        let answer = only_answer(&harness.advance(400));
        assert_eq!(answer.version, case.version, "{}", case.name);
        let unsent = |entry: &&str| !entry.contains("DEADLINE");
        let listed = missing_summary(&answer);
        let listed: Vec<&str> = listed.split(' ').filter(unsent).collect();
        assert_eq!(listed.join(" "), case.missing, "{}", case.name);
    }
}

/// Builds a fleet with the published versions 7 and 8, in which all servers hold `version`.
fn fleet_holding(version: u64) -> Fleet {
    Fleet::default().with_version(8, [&[version]; 3])
}

/// Starts a request that is planned on version 7; returns the work that was sent for it.
fn start_on_version_7(operation: &str, shards: &[&str]) -> (Harness, Vec<(Arc<str>, Work)>) {
    let mut harness = Harness::new(&fleet_holding(7));
    let old_work = sent_work(&harness.call(request("k1", operation, shards)));
    (harness, old_work)
}

/// Version 7 is retired at s2 during a query, after s1 has replied from it. The query must restart
/// on version 8, and all replies of version 7 must be dropped.
#[test]
fn retired_version_restarts_query() {
    let (mut harness, old_work) = start_on_version_7("sweep", &[]);
    harness.advance(5);
    harness.reply("e1", covering_reply(&old_work[0].1, "s1"));
    harness.deliver(Event::View(fleet_holding(8).view()));
    let new_work = sent_work(
        &harness.reply("e2", refusal_reply(&old_work[1].1, "s2", Reason::VersionRetired)),
    );
    harness.advance(5);
    harness.reply("e3", covering_reply(&old_work[2].1, "s3"));
    let mut crossed = covering_reply(&old_work[2].1, "s3");
    crossed.query = new_work[2].1.query;
    harness.reply("e3", crossed);
    let mut last = Vec::new();
    for (from, work) in &new_work {
        last = harness.reply(from, covering_reply(work, &work.portions[0].service));
    }
    assert_eq!(only_answer(&last).version, 8);
    insta::assert_snapshot!(harness.log);
}

/// If version 7 is retired at s2 when too little time is left for a restart, or before all servers
/// hold another version, the caller must receive the shards that version 7 covers.
#[test]
fn retired_version_without_successor_gives_partial_answer() {
    for (wait, version) in [(5, 7), (90, 8)] {
        let (mut harness, old_work) = start_on_version_7("sweep", &["a", "c"]);
        harness.advance(wait);
        harness.deliver(Event::View(fleet_holding(version).view()));
        harness.reply("e1", covering_reply(&old_work[0].1, "s1"));
        let out = harness.reply("e2", refusal_reply(&old_work[1].1, "s2", Reason::VersionRetired));
        let answer = only_answer(&out);
        assert_eq!((answer.version, answer.covered.as_slice()), (7, &["a".to_owned()][..]));
        assert_eq!(missing_summary(&answer), "c:VERSION_RETIRED/NOT_RUN");
    }
}

/// A booking over two services encounters a retired version. It must restart only if both portions
/// are proved not to have run; if one may have run, the caller must be told so.
#[test]
fn booking_restarts_only_when_nothing_ran() {
    for verdict in [Verdict::NotRun, Verdict::MayHaveRun] {
        let (mut harness, old_work) = start_on_version_7("book", &["a", "c"]);
        harness.deliver(Event::View(fleet_holding(8).view()));
        let first =
            harness.reply("e2", refusal_reply(&old_work[1].1, "s2", Reason::VersionRetired));
        assert!(sent_work(&first).is_empty(), "the other portion is still open");
        let refusal = refusal_reply(&old_work[0].1, "s1", Reason::VersionRetired);
        let out = harness.reply("e1", Reply { verdict: verdict.into(), ..refusal });
        let expected = if verdict == Verdict::NotRun { 2 } else { 0 };
        assert_eq!(sent_work(&out).len(), expected, "{verdict:?}");
        if expected == 0 {
            assert_eq!(only_answer(&out).verdict(), Verdict::MayHaveRun);
        }
    }
}

/// A query restarts on version 8 while a portion of version 7 may have run, and then every owner
/// refuses: the verdict must be that the query may have run.
#[test]
fn restart_keeps_may_have_run_verdict() {
    let (mut harness, old_work) = start_on_version_7("check", &["a", "c"]);
    harness.deliver(Event::View(fleet_holding(8).view()));
    let new_work = sent_work(
        &harness.reply("e2", refusal_reply(&old_work[1].1, "s2", Reason::VersionRetired)),
    );
    harness.reply("e1", refusal_reply(&new_work[0].1, "s1", Reason::QueueFull));
    let out = harness.reply("e2", refusal_reply(&new_work[1].1, "s2", Reason::QueueFull));
    let answer = only_answer(&out);
    assert_eq!(answer.verdict(), Verdict::MayHaveRun);
    assert_eq!(missing_summary(&answer), "a:QUEUE_FULL/MAY_HAVE_RUN c:QUEUE_FULL/MAY_HAVE_RUN");
}

/// Guards against the use of a cached plan after a new view: of two queries of the whole index
/// with a new view in between, the second must use the new version.
#[test]
fn cached_plans_are_discarded_on_new_view() {
    let (mut harness, first) = start_on_version_7("check", &[]);
    harness.deliver(Event::View(fleet_holding(8).view()));
    let second = sent_work(&harness.call(request("k2", "check", &[])));
    assert_eq!((first[0].1.version, second[0].1.version), (7, 8));
}
