//! Compares one answer with its request.

use ladder_core::collections::Set;
use ladder_schema::call;
use ladder_schema::outcome::{Reason, Verdict};
use serde::{Deserialize, Serialize};

/// HTTP status of a complete answer.
pub const COMPLETE: u16 = 200;
/// HTTP status of an answer that misses shards.
pub const PARTIAL: u16 = 206;

/// What is untrue in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mistake {
    /// The key is another request's.
    ForeignKey,
    /// The index is another one.
    ForeignIndex,
    /// A part's body is not what its shard holds for this key and payload.
    ForeignBody,
    /// A part is drawn from another version than the answer states.
    MixedVersions,
    /// A part of a shard that was not asked, or two parts of one shard.
    ForeignShard,
    /// The covered shards are not those of the parts.
    Covered,
    /// Covered and missing shards together are not the shards asked.
    Unlisted,
    /// The HTTP status contradicts the answer.
    Status,
    /// The verdict or reason is missing or contradicts the answer.
    Verdict,
    /// The body is not an answer.
    Undecodable,
    /// The ledgers hold an execution that the answer says did not run.
    RanAfterAll,
}

/// What was asked.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Request key.
    pub key: &'a str,
    /// Index.
    pub index: &'a str,
    /// Shards, each once.
    pub shards: &'a [&'a str],
    /// Payload.
    pub payload: &'a str,
}

/// Whether the HTTP status is that of an answer, not of a refusal.
pub fn is_answer(status: u16) -> bool {
    matches!(status, COMPLETE | PARTIAL)
}

/// All mistakes in an answer, each once; none if it is true as far as one answer shows.
pub fn check(asked: &Asked<'_>, status: u16, answer: &call::Answer) -> Vec<Mistake> {
    let mut found = Vec::new();
    if answer.key != asked.key {
        found.push(Mistake::ForeignKey);
    }
    if is_answer(status) {
        check_parts(asked, answer, &mut found);
        check_coverage(asked, status, answer, &mut found);
    } else {
        check_refusal(answer, &mut found);
    }
    found.sort_unstable();
    found.dedup();
    found
}

fn check_refusal(answer: &call::Answer, found: &mut Vec<Mistake>) {
    if !answer.parts.is_empty() || !answer.covered.is_empty() {
        found.push(Mistake::Status);
    }
    let reason = answer.reason() != Reason::Unspecified;
    let verdict = answer.verdict() != Verdict::Unspecified;
    if !reason || !verdict {
        found.push(Mistake::Verdict);
    }
}

fn check_parts(asked: &Asked<'_>, answer: &call::Answer, found: &mut Vec<Mistake>) {
    if answer.index != asked.index {
        found.push(Mistake::ForeignIndex);
    }
    let mut seen = Set::default();
    for part in &answer.parts {
        let first = seen.insert(part.shard.as_str());
        if !first || !asked.shards.contains(&part.shard.as_str()) {
            found.push(Mistake::ForeignShard);
        }
        check_body(asked, answer, part, found);
    }
}

/// A target's body is `INDEX@VERSION/SHARD/KEY/PAYLOAD`.
fn check_body(
    asked: &Asked<'_>,
    answer: &call::Answer,
    part: &call::Part,
    found: &mut Vec<Mistake>,
) {
    let Some((version, rest)) = split_body(asked.index, &part.body) else {
        found.push(Mistake::ForeignBody);
        return;
    };
    if version != answer.version {
        found.push(Mistake::MixedVersions);
    }
    if rest != format!("{}/{}/{}", part.shard, asked.key, asked.payload) {
        found.push(Mistake::ForeignBody);
    }
}

fn split_body<'a>(index: &str, body: &'a str) -> Option<(u64, &'a str)> {
    let (version, rest) = body.strip_prefix(index)?.strip_prefix('@')?.split_once('/')?;
    Some((version.parse().ok()?, rest))
}

fn check_coverage(asked: &Asked<'_>, status: u16, answer: &call::Answer, found: &mut Vec<Mistake>) {
    let parts = sorted(answer.parts.iter().map(|part| part.shard.as_str()));
    let covered = sorted(answer.covered.iter().map(String::as_str));
    if parts != covered {
        found.push(Mistake::Covered);
    }
    let missing = answer.missing.iter().map(|missing| missing.shard.as_str());
    let stated = sorted(answer.covered.iter().map(String::as_str).chain(missing));
    if stated != sorted(asked.shards.iter().copied()) {
        found.push(Mistake::Unlisted);
    }
    if (status == COMPLETE) != answer.missing.is_empty() {
        found.push(Mistake::Status);
    }
    let ran = answer.verdict() == Verdict::Ran;
    let unstated = |missing: &call::Missing| {
        missing.reason() == Reason::Unspecified || missing.verdict() == Verdict::Unspecified
    };
    if ran == answer.parts.is_empty() || answer.missing.iter().any(unstated) {
        found.push(Mistake::Verdict);
    }
}

fn sorted<'a>(names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut names: Vec<_> = names.collect();
    names.sort_unstable();
    names
}
