//! Builds answers.

use ladder_schema::call::{Answer, Missing, Part};
use ladder_schema::outcome::{Reason, Verdict};

use super::check::Refusal;
use super::query::{Portion, Progress, Query, State};

/// Advice of an instance that stops.
const ELSEWHERE_MS: u32 = 10;
/// Advice of an instance that knows too little: it learns what it needs within moments, and the
/// next attempt most likely reaches one that knows.
const SOON_MS: u32 = 50;
/// Advice of an instance that holds too much.
const LATER_MS: u32 = 500;

/// The HTTP status of an answer.
///
/// - 200 it covers all asked shards, 206 some of them; else, by reason:
/// - 400 the request breaks a rule, 413 a bound on sizes;
/// - 404 the index, operation or shard is unknown;
/// - 409 an earlier attempt at an unrepeatable request may have run;
/// - 429 a limit of the fleet is reached: come back after `retry_after_ms`;
/// - 502 owners or servers failed;
/// - 503 the instance or the fleet cannot serve it now;
/// - 504 the deadline passed.
pub fn status(answer: &Answer) -> u16 {
    if !answer.covered.is_empty() || answer.reason() == Reason::Unspecified {
        return if answer.missing.is_empty() { 200 } else { 206 };
    }
    match answer.reason() {
        Reason::Malformed => 400,
        Reason::UnknownIndex
        | Reason::UnknownOperation
        | Reason::UnknownShard
        | Reason::UnknownRoute => 404,
        Reason::RepeatedKey => 409,
        Reason::TooLarge => 413,
        Reason::ServiceLimit
        | Reason::QueueFull
        | Reason::WouldMissDeadline
        | Reason::TargetShed
        | Reason::RetryBudget => 429,
        Reason::OwnerLost | Reason::TargetError | Reason::TargetLost => 502,
        Reason::Deadline | Reason::Expired | Reason::Paused | Reason::TargetTimeout => 504,
        _ => 503,
    }
}

/// Answers a request that was refused whole.
pub(crate) fn refusal(key: &str, index: &str, refusal: Refusal, verdict: Verdict) -> Answer {
    Answer {
        key: key.to_owned(),
        verdict: verdict.into(),
        index: index.to_owned(),
        retry_after_ms: retry_after_ms(refusal.reason),
        reason: refusal.reason.into(),
        detail: refusal.detail,
        ..Answer::default()
    }
}

/// When to come back after the instance itself refused; 0 where asking again cannot help.
const fn retry_after_ms(reason: Reason) -> u32 {
    match reason {
        // The balancer sends the next attempt to another instance.
        Reason::Draining => ELSEWHERE_MS,
        Reason::NotReady => SOON_MS,
        Reason::QueueFull | Reason::NoServer | Reason::Evacuated | Reason::NoHome => LATER_MS,
        _ => 0,
    }
}

/// Answers a query with what it has; portions without a reply are missing for `reason`.
pub(crate) fn answer(query: &mut Query, reason: Reason) -> Answer {
    let mut answer = Answer {
        key: query.request.key.clone(),
        verdict: verdict(query).into(),
        index: query.index.name.clone(),
        version: query.index.version,
        retry_after_ms: query.retry_after_ms,
        ..Answer::default()
    };
    let mut parts: Vec<(u32, Part)> = Vec::with_capacity(query.covered);
    let mut missing: Vec<(u32, Missing)> = Vec::new();
    for position in 0..query.portions.len() {
        match std::mem::replace(&mut query.portions[position].state, State::Open) {
            State::Covered(covered) => {
                let shards = query.portions[position].share.shards.iter();
                parts.extend(shards.copied().zip(covered));
            }
            state => lack(query, position, &state, reason, &mut missing),
        }
    }
    parts.sort_unstable_by_key(|&(position, _)| position);
    missing.sort_unstable_by_key(|&(position, _)| position);
    answer.covered = parts.iter().map(|(_, part)| part.shard.clone()).collect();
    answer.parts = parts.into_iter().map(|(_, part)| part).collect();
    answer.missing = missing.into_iter().map(|(_, missing)| missing).collect();
    let unplanned = query.missing.drain(..);
    answer.missing.extend(unplanned.map(|mut missing| {
        missing.verdict = former(query.exposed, Verdict::NotRun).into();
        missing
    }));
    if answer.covered.is_empty() {
        answer.reason = commonest(&answer.missing).into();
    }
    answer
}

/// Lists the shards of a portion that is not covered.
fn lack(
    query: &Query,
    position: usize,
    state: &State,
    reason: Reason,
    missing: &mut Vec<(u32, Missing)>,
) {
    let portion = &query.portions[position];
    let reason = match state {
        State::Refused(reason) => *reason,
        _ => open_reason(portion, reason),
    };
    let verdict = former(query.exposed, portion.verdict());
    for &shard in &portion.share.shards {
        let entry = Missing {
            shard: query.index.shards[shard as usize].name.clone(),
            reason: reason.into(),
            verdict: verdict.into(),
        };
        missing.push((shard, entry));
    }
}

/// Why a portion that is still open is not covered when its query ends for `reason`: its owner is
/// lost if every sending that was not answered went to one that fell silent or lost its link.
pub(crate) fn open_reason(portion: &Portion, reason: Reason) -> Reason {
    let mut progress = portion.sendings.iter().map(|sending| sending.progress);
    let lost = progress.clone().any(|progress| progress != Progress::Ended)
        && progress.all(|progress| progress != Progress::Open);
    if lost { Reason::OwnerLost } else { reason }
}

/// The verdict of something that may also have run under an earlier version.
fn former(exposed: bool, verdict: Verdict) -> Verdict {
    match verdict {
        Verdict::NotRun if exposed => Verdict::MayHaveRun,
        verdict => verdict,
    }
}

/// The verdict of the whole.
///
/// An unrepeatable request ran only if all of it ran. A repeatable one ran if any of it did: what
/// is missing can be asked for again. `NotRun` always means all of it.
pub(crate) fn verdict(query: &Query) -> Verdict {
    let mut verdicts = query.portions.iter().map(Portion::verdict);
    if query.portions.iter().all(|p| p.verdict() == Verdict::NotRun) {
        return former(query.exposed, Verdict::NotRun);
    }
    let ran = if query.terms.unrepeatable {
        query.missing.is_empty() && verdicts.all(|verdict| verdict == Verdict::Ran)
    } else {
        verdicts.any(|verdict| verdict == Verdict::Ran)
    };
    if ran { Verdict::Ran } else { Verdict::MayHaveRun }
}

/// The reason that most missing shards have, the first of equals. What was given up for the sake of
/// others explains nothing beside them.
fn commonest(missing: &[Missing]) -> Reason {
    let mut counts: Vec<(Reason, usize)> = Vec::new();
    let given_up = |reason: &Reason| *reason == Reason::Cancelled;
    if missing.iter().map(Missing::reason).all(|reason| given_up(&reason)) {
        return missing.first().map_or(Reason::Unspecified, Missing::reason);
    }
    for reason in missing.iter().map(Missing::reason).filter(|reason| !given_up(reason)) {
        match counts.iter_mut().find(|(known, _)| *known == reason) {
            Some((_, count)) => *count += 1,
            None => counts.push((reason, 1)),
        }
    }
    let mut best = (Reason::Unspecified, 0);
    for (reason, count) in counts {
        if count > best.1 {
            best = (reason, count);
        }
    }
    best.0
}
