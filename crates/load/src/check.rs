//! Checks that an answer is consistent with its request.

use ladder_core::collections::Set;
use ladder_schema::call;
use ladder_schema::outcome::{Reason, Verdict};
use serde::{Deserialize, Serialize};

/// HTTP status of a complete answer.
pub const COMPLETE: u16 = 200;
/// HTTP status of a partial answer, in which shards are missing.
pub const PARTIAL: u16 = 206;

/// Contradiction between an answer and its request, or within an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mistake {
    /// The answer has the key of another request.
    ForeignKey,
    /// The answer is for another index than the request.
    ForeignIndex,
    /// The body of a part is not the one that its shard returns for this key and payload.
    ForeignBody,
    /// The index version of a part differs from the version that the answer states.
    MixedVersions,
    /// The answer has a part of a shard that the query did not ask, or two parts of one shard.
    ForeignShard,
    /// The shards listed as covered differ from the shards of the parts.
    Covered,
    /// The covered and missing shards together differ from the shards that the query asked.
    Unlisted,
    /// The HTTP status contradicts the content of the answer.
    Status,
    /// The verdict or reason is absent or contradicts the content of the answer.
    Verdict,
    /// The response body could not be decoded as an answer.
    Undecodable,
    /// The target ledgers contain an execution of work that the answer reports as not run.
    RanAfterAll,
}

/// Query as the caller sent it, to compare its answer with.
#[derive(Clone, Copy, Debug)]
pub struct SentQuery<'a> {
    /// Request key of the query.
    pub key: &'a str,
    /// Index that the query asked.
    pub index: &'a str,
    /// Shards that the query asked, each once.
    pub shards: &'a [&'a str],
    /// Payload of the query.
    pub payload: &'a str,
}

/// Whether the HTTP status denotes a complete or partial answer; other statuses denote a refusal.
pub fn is_answer(status: u16) -> bool {
    matches!(status, COMPLETE | PARTIAL)
}

/// Returns all mistakes that one answer shows by itself, each once; empty if there are none.
pub fn find_mistakes(query: &SentQuery<'_>, status: u16, answer: &call::Answer) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    if answer.key != query.key {
        mistakes.push(Mistake::ForeignKey);
    }
    if is_answer(status) {
        check_parts(query, answer, &mut mistakes);
        check_coverage(query, status, answer, &mut mistakes);
    } else {
        check_refusal(answer, &mut mistakes);
    }
    mistakes.sort_unstable();
    mistakes.dedup();
    mistakes
}

fn check_refusal(answer: &call::Answer, mistakes: &mut Vec<Mistake>) {
    if !answer.parts.is_empty() || !answer.covered.is_empty() {
        mistakes.push(Mistake::Status);
    }
    let has_reason = answer.reason() != Reason::Unspecified;
    let has_verdict = answer.verdict() != Verdict::Unspecified;
    if !has_reason || !has_verdict {
        mistakes.push(Mistake::Verdict);
    }
}

fn check_parts(query: &SentQuery<'_>, answer: &call::Answer, mistakes: &mut Vec<Mistake>) {
    if answer.index != query.index {
        mistakes.push(Mistake::ForeignIndex);
    }
    let mut seen = Set::default();
    for part in &answer.parts {
        let is_first_part = seen.insert(part.shard.as_str());
        if !is_first_part || !query.shards.contains(&part.shard.as_str()) {
            mistakes.push(Mistake::ForeignShard);
        }
        check_body(query, answer, part, mistakes);
    }
}

/// Checks the body of a part, which a stand-in target fills with `INDEX@VERSION/SHARD/KEY/PAYLOAD`.
fn check_body(
    query: &SentQuery<'_>,
    answer: &call::Answer,
    part: &call::Part,
    mistakes: &mut Vec<Mistake>,
) {
    let Some((version, rest)) = split_body(query.index, &part.body) else {
        mistakes.push(Mistake::ForeignBody);
        return;
    };
    if version != answer.version {
        mistakes.push(Mistake::MixedVersions);
    }
    if rest != format!("{}/{}/{}", part.shard, query.key, query.payload) {
        mistakes.push(Mistake::ForeignBody);
    }
}

fn split_body<'a>(index: &str, body: &'a str) -> Option<(u64, &'a str)> {
    let (version, rest) = body.strip_prefix(index)?.strip_prefix('@')?.split_once('/')?;
    Some((version.parse().ok()?, rest))
}

fn check_coverage(
    query: &SentQuery<'_>,
    status: u16,
    answer: &call::Answer,
    mistakes: &mut Vec<Mistake>,
) {
    let parts = sorted(answer.parts.iter().map(|part| part.shard.as_str()));
    let covered = sorted(answer.covered.iter().map(String::as_str));
    if parts != covered {
        mistakes.push(Mistake::Covered);
    }
    let missing = answer.missing.iter().map(|missing| missing.shard.as_str());
    let listed = sorted(answer.covered.iter().map(String::as_str).chain(missing));
    if listed != sorted(query.shards.iter().copied()) {
        mistakes.push(Mistake::Unlisted);
    }
    if (status == COMPLETE) != answer.missing.is_empty() {
        mistakes.push(Mistake::Status);
    }
    let has_run = answer.verdict() == Verdict::Ran;
    let lacks_reason_or_verdict = |missing: &call::Missing| {
        missing.reason() == Reason::Unspecified || missing.verdict() == Verdict::Unspecified
    };
    if has_run == answer.parts.is_empty() || answer.missing.iter().any(lacks_reason_or_verdict) {
        mistakes.push(Mistake::Verdict);
    }
}

fn sorted<'a>(names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut names: Vec<_> = names.collect();
    names.sort_unstable();
    names
}
