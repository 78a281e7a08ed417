//! One answer, one index version.

use std::sync::Arc;

use ladder_core::gather::Event;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::{Reply, Work};

use crate::fleet::{Fleet, MAP};
use crate::session::{Session, answer, covered, missing, refused, request, works};

struct Case {
    name: &'static str,
    change: fn(&mut Fleet),
    shards: &'static [&'static str],
    version: u64,
    /// Shards sent, and those missing with reasons.
    sent: &'static str,
    missing: &'static str,
}

fn hold(fleet: &mut Fleet, site: usize, versions: &[u64]) {
    fleet.sites[site].held = vec![versions.to_vec(); 2];
}

fn hold_all(fleet: &mut Fleet, versions: &[u64]) {
    for site in 0..3 {
        hold(fleet, site, versions);
    }
}

/// Version 8 follows 7 with shard `f` replaced by `g`; both are held everywhere.
const NEWER: Case = Case {
    name: "the newest version held everywhere",
    change: |fleet| hold_all(fleet, &[7, 8]),
    shards: &[],
    version: 8,
    sent: "a b c d e g",
    missing: "",
};

/// The newer version is not held by the second service.
const OLDER: Case = Case {
    name: "the newest is not everywhere yet",
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
            fleet.sites[0].held = vec![vec![7], vec![8]];
        },
        ..NEWER
    },
    OLDER,
    Case {
        name: "the newest is everywhere that is asked",
        shards: &["a"],
        version: 8,
        sent: "a",
        ..OLDER
    },
    Case {
        name: "a server that leaves holds nothing",
        change: |fleet| {
            hold_all(fleet, &[7, 8]);
            fleet.sites[0].held = vec![vec![7], vec![8]];
            fleet.sites[0].leaving = vec![false, true];
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
            fleet.sites[1].leaving = vec![true, true];
        },
        sent: "a b e g",
        missing: "c:NO_SERVER/NOT_RUN d:NO_SERVER/NOT_RUN",
        ..NEWER
    },
    Case {
        name: "an asked shard that only the old map has",
        shards: &["a", "f"],
        version: 7,
        sent: "a f",
        ..NEWER
    },
    Case {
        name: "the old map is gone from the servers",
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
            fleet.sites.remove(0);
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
        let mut session = Session::new(&fleet);
        let sent = works(&session.call(request("k1", "check", case.shards)));
        let portions = sent.iter().flat_map(|(_, work)| &work.portions);
        let mut shards: Vec<String> = portions.flat_map(|portion| portion.shards.clone()).collect();
        shards.sort();
        assert_eq!(shards.join(" "), case.sent, "{}", case.name);
        assert!(sent.iter().all(|(_, work)| work.version == case.version), "{}", case.name);
        let answer = answer(&session.pass(400));
        assert_eq!(answer.version, case.version, "{}", case.name);
        let unsent = |entry: &&str| !entry.contains("DEADLINE");
        let listed = missing(&answer);
        let listed: Vec<&str> = listed.split(' ').filter(unsent).collect();
        assert_eq!(listed.join(" "), case.missing, "{}", case.name);
    }
}

/// Versions 7 and 8 are published, and all servers hold this one.
fn holding(version: u64) -> Fleet {
    Fleet::default().with_version(8, [&[version]; 3])
}

/// A request planned on version 7 and the work that was sent for it.
fn planned(operation: &str, shards: &[&str]) -> (Session, Vec<(Arc<str>, Work)>) {
    let mut session = Session::new(&holding(7));
    let old = works(&session.call(request("k1", operation, shards)));
    (session, old)
}

/// Version 7 is retired at s2 while a sweep runs and s1 has already answered from it. The sweep
/// starts again on version 8; what was and what still comes of version 7 is thrown away.
#[test]
fn retired_version_restarts_the_whole() {
    let (mut session, old) = planned("sweep", &[]);
    session.pass(5);
    session.reply("e1", covered(&old[0].1, "s1"));
    session.give(Event::View(holding(8).view()));
    let new = works(&session.reply("e2", refused(&old[1].1, "s2", Reason::VersionRetired)));
    session.pass(5);
    session.reply("e3", covered(&old[2].1, "s3"));
    let mut crossed = covered(&old[2].1, "s3");
    crossed.query = new[2].1.query;
    session.reply("e3", crossed);
    let mut last = Vec::new();
    for (from, work) in &new {
        last = session.reply(from, covered(work, &work.portions[0].service));
    }
    assert_eq!(answer(&last).version, 8);
    insta::assert_snapshot!(session.log);
}

/// Version 7 is retired at s2 when a restart is no longer worth the time, or before any other
/// version is known to be everywhere: the caller gets what version 7 covers.
#[test]
fn retired_version_without_a_successor_is_answered_in_part() {
    for (wait, version) in [(5, 7), (90, 8)] {
        let (mut session, old) = planned("sweep", &["a", "c"]);
        session.pass(wait);
        session.give(Event::View(holding(version).view()));
        session.reply("e1", covered(&old[0].1, "s1"));
        let out = session.reply("e2", refused(&old[1].1, "s2", Reason::VersionRetired));
        let answer = answer(&out);
        assert_eq!((answer.version, answer.covered.as_slice()), (7, &["a".to_owned()][..]));
        assert_eq!(missing(&answer), "c:VERSION_RETIRED/NOT_RUN");
    }
}

/// A booking over two services meets a retired version. It starts again only when both portions
/// are proved not to have run; if one may have run, the caller hears that instead.
#[test]
fn booking_restarts_only_when_nothing_ran() {
    for verdict in [Verdict::NotRun, Verdict::MayHaveRun] {
        let (mut session, old) = planned("book", &["a", "c"]);
        session.give(Event::View(holding(8).view()));
        let first = session.reply("e2", refused(&old[1].1, "s2", Reason::VersionRetired));
        assert!(works(&first).is_empty(), "the other portion is still out");
        let refusal = refused(&old[0].1, "s1", Reason::VersionRetired);
        let out = session.reply("e1", Reply { verdict: verdict.into(), ..refusal });
        let expected = if verdict == Verdict::NotRun { 2 } else { 0 };
        assert_eq!(works(&out).len(), expected, "{verdict:?}");
        if expected == 0 {
            assert_eq!(answer(&out).verdict(), Verdict::MayHaveRun);
        }
    }
}

/// A sweep starts again on version 8 while a portion of version 7 may have run; then every owner
/// refuses. Something of it may have run all the same.
#[test]
fn restart_does_not_forget_what_may_have_run() {
    let (mut session, old) = planned("check", &["a", "c"]);
    session.give(Event::View(holding(8).view()));
    let new = works(&session.reply("e2", refused(&old[1].1, "s2", Reason::VersionRetired)));
    session.reply("e1", refused(&new[0].1, "s1", Reason::QueueFull));
    let out = session.reply("e2", refused(&new[1].1, "s2", Reason::QueueFull));
    let answer = answer(&out);
    assert_eq!(answer.verdict(), Verdict::MayHaveRun);
    assert_eq!(missing(&answer), "a:QUEUE_FULL/MAY_HAVE_RUN c:QUEUE_FULL/MAY_HAVE_RUN");
}

/// Two sweeps of the whole index with a new view in between: the second one follows it.
#[test]
fn plans_follow_the_view() {
    let (mut session, first) = planned("check", &[]);
    session.give(Event::View(holding(8).view()));
    let second = works(&session.call(request("k2", "check", &[])));
    assert_eq!((first[0].1.version, second[0].1.version), (7, 8));
}
