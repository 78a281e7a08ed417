//! Tests of the checks of single answers, and of the audit of answers against the target ledgers.

#[path = "fixture/layout.rs"]
mod fixture;

use std::time::Duration;

use ladder_load::audit::{self, Finding};
use ladder_load::caller::{Outcome, Record};
use ladder_load::check::{self, Mistake, SentQuery};
use ladder_load::mix::FanOut;
use ladder_schema::call::{Answer, Missing, Part};
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::standin::{Execution, Ledger};

const SENT_QUERY: SentQuery<'_> =
    SentQuery { key: "k1", index: "docks", shards: &["s1", "s2"], payload: "p" };

fn part(shard: &str, body: &str) -> Part {
    Part { shard: shard.to_owned(), body: body.to_owned(), response: None }
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
    let reason = Reason::TargetTimeout.into();
    Missing { shard: shard.to_owned(), reason, verdict: verdict.into() }
}

fn partial(verdict: Verdict) -> Answer {
    Answer {
        covered: vec!["s1".to_owned()],
        parts: vec![part("s1", "docks@1/s1/k1/p")],
        missing: vec![missing("s2", verdict)],
        ..complete()
    }
}

fn refusal(verdict: Verdict) -> Answer {
    Answer {
        key: "k1".to_owned(),
        verdict: verdict.into(),
        reason: Reason::QueueFull.into(),
        ..Answer::default()
    }
}

fn modified(mut answer: Answer, change: impl FnOnce(&mut Answer)) -> Answer {
    change(&mut answer);
    answer
}

/// Name of the case, HTTP status, answer, and the mistakes that must be found.
struct Case(&'static str, u16, Answer, &'static [Mistake]);

fn body_cases() -> Vec<Case> {
    let body =
        |text: &'static str| modified(complete(), |answer| answer.parts[1].body = text.into());
    let key = Answer { key: "k2".into(), ..complete() };
    let index = Answer { index: "claims".into(), ..complete() };
    vec![
        Case("own", 200, complete(), &[]),
        Case("foreign key", 200, body("docks@1/s2/k2/p"), &[Mistake::ForeignBody]),
        Case("foreign payload", 200, body("docks@1/s2/k1/q"), &[Mistake::ForeignBody]),
        Case("foreign shard", 200, body("docks@1/s1/k1/p"), &[Mistake::ForeignBody]),
        Case("foreign index", 200, body("dock@1/s2/k1/p"), &[Mistake::ForeignBody]),
        Case("mixed versions", 200, body("docks@2/s2/k1/p"), &[Mistake::MixedVersions]),
        Case("other caller's answer", 200, key, &[Mistake::ForeignKey]),
        Case("other index's answer", 200, index, &[Mistake::ForeignIndex]),
    ]
}

fn coverage_cases() -> Vec<Case> {
    let unlisted = Answer { missing: Vec::new(), ..partial(Verdict::MayHaveRun) };
    let uncovered = modified(complete(), |answer| drop(answer.parts.pop()));
    let duplicate_part =
        modified(complete(), |answer| answer.parts.push(part("s2", "docks@1/s2/k1/p")));
    let covered_and_missing =
        Answer { missing: vec![missing("s2", Verdict::NotRun)], ..complete() };
    let no_reason = modified(partial(Verdict::NotRun), |answer| answer.missing[0].reason = 0);
    let not_run = Answer { verdict: Verdict::NotRun.into(), ..complete() };
    vec![
        Case("partial", 206, partial(Verdict::MayHaveRun), &[]),
        Case("partial as complete", 200, partial(Verdict::MayHaveRun), &[Mistake::Status]),
        Case("complete as partial", 206, complete(), &[Mistake::Status]),
        Case("missing shard unlisted", 200, unlisted, &[Mistake::Unlisted]),
        Case("covered without a part", 200, uncovered, &[Mistake::Covered]),
        Case(
            "two parts of one shard",
            200,
            duplicate_part,
            &[Mistake::ForeignShard, Mistake::Covered],
        ),
        Case("covered and missing", 206, covered_and_missing, &[Mistake::Unlisted]),
        Case("missing without a reason", 206, no_reason, &[Mistake::Verdict]),
        Case("answered but not run", 200, not_run, &[Mistake::Verdict]),
    ]
}

fn refusal_cases() -> Vec<Case> {
    vec![
        Case("refused", 503, refusal(Verdict::NotRun), &[]),
        Case("refused with parts", 503, complete(), &[Mistake::Status, Mistake::Verdict]),
        Case("refused without a verdict", 503, refusal(Verdict::Unspecified), &[Mistake::Verdict]),
    ]
}

#[test]
fn check_finds_each_mistake_in_an_answer() {
    let cases = [body_cases(), coverage_cases(), refusal_cases()];
    for Case(name, status, answer, mistakes) in cases.into_iter().flatten() {
        assert_eq!(check::find_mistakes(&SENT_QUERY, status, &answer), mistakes, "{name}");
    }
}

/// Executions as server, request key, shard and count; each becomes a ledger of its own.
type Executions = &'static [(&'static str, &'static str, &'static str, u32)];

fn ledger(&(server, key, shard, count): &(&str, &str, &str, u32)) -> Ledger {
    let execution = Execution {
        server: server.to_owned(),
        key: key.to_owned(),
        operation: "sweep".to_owned(),
        shards: vec![shard.to_owned()],
        count,
    };
    Ledger { executions: vec![execution], ..Ledger::default() }
}

/// Name of the case, position of the query class in the plans, HTTP status, answer, executions in
/// the ledgers, and the finding that the audit must return.
struct AuditCase(&'static str, usize, u16, Answer, Executions, Finding);

fn finding(calls: u64, needed: u64, doubled: bool, ran_after_all: bool) -> Finding {
    Finding { calls, needed, doubled, ran_after_all }
}

const SWEEP: usize = 0;
const BOOK: usize = 1;
const TWICE_AT_TWO_SERVERS: Executions =
    &[("a", "k1", "s1", 1), ("b", "k1", "s1", 1), ("c", "k1", "s2", 1)];
const TWICE_AT_ONE_SERVER: Executions = &[("a", "k1", "s1", 2), ("c", "k1", "s2", 1)];
const EACH_SHARD_ONCE: Executions = &[("a", "k1", "s1", 1), ("a", "k1", "s2", 1)];
const OTHER_REQUEST: Executions = &[("c", "k2", "s2", 9)];

fn audit_cases() -> Vec<AuditCase> {
    let hedged = finding(3, 2, false, false);
    let doubled = finding(3, 2, true, false);
    let once = finding(2, 2, false, false);
    let none = finding(0, 2, false, false);
    let nothing = finding(0, 0, false, false);
    let untrue = finding(2, 0, false, true);
    let partly = finding(2, 1, false, true);
    let refused = || refusal(Verdict::NotRun);
    let missing = partial(Verdict::NotRun);
    let may_have_run = partial(Verdict::MayHaveRun);
    vec![
        AuditCase("hedged", SWEEP, 200, complete(), TWICE_AT_TWO_SERVERS, hedged),
        AuditCase("at two servers", BOOK, 200, complete(), TWICE_AT_TWO_SERVERS, doubled),
        AuditCase("at one server", BOOK, 200, complete(), TWICE_AT_ONE_SERVER, doubled),
        AuditCase("two shards", BOOK, 200, complete(), EACH_SHARD_ONCE, once),
        AuditCase("another request's", BOOK, 200, complete(), OTHER_REQUEST, none),
        AuditCase("refused", SWEEP, 503, refused(), &[], nothing),
        AuditCase("not run, but ran", SWEEP, 503, refused(), EACH_SHARD_ONCE, untrue),
        AuditCase("missing as not run, but ran", SWEEP, 206, missing, EACH_SHARD_ONCE, partly),
        AuditCase("missing, may have run", SWEEP, 206, may_have_run, EACH_SHARD_ONCE, once),
    ]
}

#[test]
fn audit_finds_repeated_executions_and_false_not_run_verdicts() {
    let plans = fixture::plans(&[("sweep", FanOut::All, 1.0), ("book", FanOut::All, 1.0)]);
    for AuditCase(name, class, status, answer, executions, finding) in audit_cases() {
        let answer = Box::new(answer);
        let record = Record {
            class,
            key: "k1".to_owned(),
            shards: vec![0, 1],
            start_offset: Duration::ZERO,
            latency: Duration::from_millis(20),
            attempts: 1,
            connection_refusals: 0,
            outcome: Outcome::Answered { status, answer, mistakes: Vec::new() },
        };
        let ledgers: Vec<Ledger> = executions.iter().map(ledger).collect();
        assert_eq!(audit::audit(&plans, &[record], &ledgers), [finding], "{name}");
    }
}
