//! The checks of one answer, and of answers against the ledgers.

#[path = "fixture/layout.rs"]
mod fixture;

use std::time::Duration;

use ladder_load::audit::{self, Finding};
use ladder_load::caller::{Outcome, Record};
use ladder_load::check::{self, Asked, Mistake};
use ladder_load::mix::{Class, Fan, Mix};
use ladder_load::plan::{self, Plan};
use ladder_schema::call::{Answer, Missing, Part};
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::standin::{Execution, Ledger};

const ASKED: Asked<'_> = Asked { key: "k1", index: "docks", shards: &["s1", "s2"], payload: "p" };

fn part(shard: &str, body: &str) -> Part {
    Part { shard: shard.to_owned(), body: body.to_owned() }
}

fn complete() -> Answer {
    Answer {
        key: "k1".to_owned(),
        verdict: Verdict::Ran.into(),
        index: "docks".to_owned(),
        version: 1,
        covered: vec!["s1".to_owned(), "s2".to_owned()],
        parts: vec![part("s1", "docks@1/s1/k1/p"), part("s2", "docks@1/s2/k1/p")],
        ..Answer::default()
    }
}

fn missing(shard: &str, verdict: Verdict) -> Missing {
    Missing {
        shard: shard.to_owned(),
        reason: Reason::TargetTimeout.into(),
        verdict: verdict.into(),
    }
}

fn partial(verdict: Verdict) -> Answer {
    let mut answer = complete();
    answer.covered.pop();
    answer.parts.pop();
    answer.missing.push(missing("s2", verdict));
    answer
}

fn refusal(verdict: Verdict) -> Answer {
    Answer {
        key: "k1".to_owned(),
        verdict: verdict.into(),
        reason: Reason::QueueFull.into(),
        ..Answer::default()
    }
}

fn with(answer: Answer, change: impl FnOnce(&mut Answer)) -> Answer {
    let mut answer = answer;
    change(&mut answer);
    answer
}

struct Case {
    name: &'static str,
    status: u16,
    answer: Answer,
    mistakes: &'static [Mistake],
}

fn case(name: &'static str, status: u16, answer: Answer, mistakes: &'static [Mistake]) -> Case {
    Case { name, status, answer, mistakes }
}

fn body_cases() -> Vec<Case> {
    let body = |text: &'static str| with(complete(), |answer| answer.parts[1].body = text.into());
    vec![
        case("own", 200, complete(), &[]),
        case("foreign key", 200, body("docks@1/s2/k2/p"), &[Mistake::ForeignBody]),
        case("foreign payload", 200, body("docks@1/s2/k1/q"), &[Mistake::ForeignBody]),
        case("foreign shard", 200, body("docks@1/s1/k1/p"), &[Mistake::ForeignBody]),
        case("foreign index", 200, body("dock@1/s2/k1/p"), &[Mistake::ForeignBody]),
        case("mixed versions", 200, body("docks@2/s2/k1/p"), &[Mistake::MixedVersions]),
        case(
            "other caller's answer",
            200,
            with(complete(), |answer| answer.key = "k2".into()),
            &[Mistake::ForeignKey],
        ),
        case(
            "other index's answer",
            200,
            with(complete(), |answer| answer.index = "claims".into()),
            &[Mistake::ForeignIndex],
        ),
    ]
}

fn coverage_cases() -> Vec<Case> {
    let unlisted = with(partial(Verdict::MayHaveRun), |answer| {
        answer.missing.clear();
    });
    vec![
        case("partial", 206, partial(Verdict::MayHaveRun), &[]),
        case("partial as complete", 200, partial(Verdict::MayHaveRun), &[Mistake::Status]),
        case("complete as partial", 206, complete(), &[Mistake::Status]),
        case("missing shard unlisted", 200, unlisted, &[Mistake::Unlisted]),
        case(
            "covered without a part",
            200,
            with(complete(), |answer| drop(answer.parts.pop())),
            &[Mistake::Covered],
        ),
        case(
            "two parts of one shard",
            200,
            with(complete(), |answer| {
                answer.parts.push(part("s2", "docks@1/s2/k1/p"));
            }),
            &[Mistake::ForeignShard, Mistake::Covered],
        ),
        case(
            "covered and missing",
            206,
            with(complete(), |answer| {
                answer.missing.push(missing("s2", Verdict::NotRun));
            }),
            &[Mistake::Unlisted],
        ),
        case(
            "missing without a reason",
            206,
            with(partial(Verdict::NotRun), |answer| {
                answer.missing[0].reason = 0;
            }),
            &[Mistake::Verdict],
        ),
        case(
            "answered but not run",
            200,
            with(complete(), |answer| answer.verdict = Verdict::NotRun.into()),
            &[Mistake::Verdict],
        ),
    ]
}

fn refusal_cases() -> Vec<Case> {
    vec![
        case("refused", 503, refusal(Verdict::NotRun), &[]),
        case("refused with parts", 503, complete(), &[Mistake::Status, Mistake::Verdict]),
        case("refused without a verdict", 503, refusal(Verdict::Unspecified), &[Mistake::Verdict]),
    ]
}

#[test]
fn mistakes_in_one_answer_are_found() {
    let cases = [body_cases(), coverage_cases(), refusal_cases()];
    for case in cases.into_iter().flatten() {
        let found = check::check(&ASKED, case.status, &case.answer);
        assert_eq!(found, case.mistakes, "{}", case.name);
    }
}

fn plans() -> Vec<Plan> {
    let class = |operation: &str| Class {
        name: operation.to_owned(),
        operation: operation.to_owned(),
        fan: Fan::All,
        share: 1.0,
        deadline_ms: 0,
        headline: false,
    };
    let mix = Mix { name: "small".to_owned(), classes: vec![class("sweep"), class("book")] };
    plan::resolve(&mix, &fixture::layout("127.0.0.1:1")).expect("plans")
}

fn execution(server: &str, key: &str, shard: &str, count: u32) -> Execution {
    Execution {
        server: server.to_owned(),
        key: key.to_owned(),
        operation: "sweep".to_owned(),
        shards: vec![shard.to_owned()],
        count,
    }
}

struct Audit {
    name: &'static str,
    /// Position in the plans.
    class: usize,
    status: u16,
    answer: Answer,
    /// Server, key, shard and count of each execution; one ledger each.
    executions: &'static [(&'static str, &'static str, &'static str, u32)],
    finding: Finding,
}

fn finding(calls: u64, needed: u64, doubled: bool, ran_after_all: bool) -> Finding {
    Finding { calls, needed, doubled, ran_after_all }
}

fn audit_of(
    name: &'static str,
    (class, status, answer): (usize, u16, Answer),
    executions: &'static [(&'static str, &'static str, &'static str, u32)],
    finding: Finding,
) -> Audit {
    Audit { name, class, status, answer, executions, finding }
}

const SWEEP: usize = 0;
const BOOK: usize = 1;
const TWICE_AT_TWO: &[(&str, &str, &str, u32)] =
    &[("a", "k1", "s1", 1), ("b", "k1", "s1", 1), ("c", "k1", "s2", 1)];
const TWICE_AT_ONE: &[(&str, &str, &str, u32)] = &[("a", "k1", "s1", 2), ("c", "k1", "s2", 1)];
const ONCE: &[(&str, &str, &str, u32)] = &[("a", "k1", "s1", 1), ("a", "k1", "s2", 1)];
const FOREIGN: &[(&str, &str, &str, u32)] = &[("c", "k2", "s2", 9)];

fn audits_of_executions() -> Vec<Audit> {
    let hedged = finding(3, 2, false, false);
    let doubled = finding(3, 2, true, false);
    let once = finding(2, 2, false, false);
    let none = finding(0, 2, false, false);
    vec![
        audit_of("hedged", (SWEEP, 200, complete()), TWICE_AT_TWO, hedged),
        audit_of("at two servers", (BOOK, 200, complete()), TWICE_AT_TWO, doubled),
        audit_of("at one server", (BOOK, 200, complete()), TWICE_AT_ONE, doubled),
        audit_of("two shards", (BOOK, 200, complete()), ONCE, once),
        audit_of("another request's", (BOOK, 200, complete()), FOREIGN, none),
    ]
}

fn audits_of_verdicts() -> Vec<Audit> {
    let refused = || refusal(Verdict::NotRun);
    let nothing = finding(0, 0, false, false);
    let untrue = finding(2, 0, false, true);
    let partly = finding(2, 1, false, true);
    let may_have_run = finding(2, 2, false, false);
    vec![
        audit_of("refused", (SWEEP, 503, refused()), &[], nothing),
        audit_of("not run, but ran", (SWEEP, 503, refused()), ONCE, untrue),
        audit_of(
            "missing as not run, but ran",
            (SWEEP, 206, partial(Verdict::NotRun)),
            ONCE,
            partly,
        ),
        audit_of(
            "missing, may have run",
            (SWEEP, 206, partial(Verdict::MayHaveRun)),
            ONCE,
            may_have_run,
        ),
    ]
}

#[test]
fn ledgers_show_what_was_doubled_or_ran_after_all() {
    let plans = plans();
    let audits = audits_of_executions().into_iter();
    for audit in audits.chain(audits_of_verdicts()) {
        let record = Record {
            class: audit.class,
            key: "k1".to_owned(),
            shards: vec![0, 1],
            at: Duration::ZERO,
            latency: Duration::from_millis(20),
            attempts: 1,
            refusals: 0,
            outcome: Outcome::Answered {
                status: audit.status,
                answer: Box::new(audit.answer),
                mistakes: Vec::new(),
            },
        };
        let executions = audit.executions.iter();
        let ledgers: Vec<_> = executions
            .map(|(server, key, shard, count)| Ledger {
                executions: vec![execution(server, key, shard, *count)],
                ..Ledger::default()
            })
            .collect();
        let found = audit::audit(&plans, &[record], &ledgers);
        assert_eq!(found, [audit.finding], "{}", audit.name);
    }
}
