//! Builds the answers that the gathering machine sends to callers.

use ladder_schema::call::{Answer, Missing, Part};
use ladder_schema::outcome::{Reason, Verdict};

use super::check::Refusal;
use super::query::{Portion, PortionState, Progress, Query};

/// Retry delay advised by an instance that is draining: the load balancer sends the next attempt
/// to another instance.
const RETRY_DRAINING_MS: u32 = 10;
/// Retry delay advised by an instance that lacks data to serve the request: it receives the data
/// shortly, and the next attempt most likely reaches an instance that has it.
const RETRY_NOT_READY_MS: u32 = 50;
/// Retry delay advised if no connection to the servers could be opened. Connections that were
/// refused are tried again after 50 ms and then at growing intervals; without advice, callers would
/// retry at once and be refused for the same reason.
const RETRY_UNCONNECTED_MS: u32 = 100;
/// Retry delay advised if the instance has too many open requests or a service has no usable
/// server.
const RETRY_LATER_MS: u32 = 500;
/// Retry delay advised for a request that may crash servers: by then another instance may have found
/// out that it does not.
const RETRY_SUSPECTED_MS: u32 = 1000;

/// Returns the HTTP status of an answer.
///
/// - 200: the answer covers all requested shards; 206: it covers some of them; otherwise, by
///   reason:
/// - 400: the request is malformed; 413: the request exceeds a size limit;
/// - 404: the index, operation, shard or route is unknown;
/// - 409: an earlier attempt at a non-idempotent request may have run;
/// - 429: a limit of the fleet is reached: retry after `retry_after_ms`;
/// - 502: owners or servers failed;
/// - 503: the instance or the fleet cannot serve the request at present;
/// - 504: the deadline passed.
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

/// Builds the answer to a request that was refused before any of it was sent.
pub(crate) fn refusal_answer(key: &str, index: &str, refusal: Refusal, verdict: Verdict) -> Answer {
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

/// Advises when to retry, in milliseconds, after a refusal for this reason; 0 if a retry cannot help
/// or if only the servers can tell when it does.
const fn retry_after_ms(reason: Reason) -> u32 {
    match reason {
        // The load balancer sends the next attempt to another instance.
        Reason::Draining => RETRY_DRAINING_MS,
        Reason::NotReady | Reason::NotOwner => RETRY_NOT_READY_MS,
        Reason::ConnectFailed => RETRY_UNCONNECTED_MS,
        Reason::Suspected => RETRY_SUSPECTED_MS,
        Reason::QueueFull | Reason::NoServer | Reason::Evacuated | Reason::NoHome => RETRY_LATER_MS,
        _ => 0,
    }
}

/// Builds the answer to a query from the replies received so far; the shards of portions without a
/// reply are listed as missing for `reason`.
pub(crate) fn build_answer(query: &mut Query, reason: Reason) -> Answer {
    let mut answer = Answer {
        key: query.request.key.clone(),
        verdict: query_verdict(query).into(),
        index: query.index.name.clone(),
        version: query.index.version,
        retry_after_ms: query.retry_after_ms,
        ..Answer::default()
    };
    let mut parts: Vec<(u32, Part)> = Vec::with_capacity(query.covered_shards);
    let mut missing: Vec<(u32, Missing)> = Vec::new();
    for position in 0..query.portions.len() {
        match std::mem::replace(&mut query.portions[position].state, PortionState::Open) {
            PortionState::Covered(covered) => {
                let shards = query.portions[position].requested.shards.iter();
                parts.extend(shards.copied().zip(covered));
            }
            state => add_missing(query, position, &state, reason, &mut missing),
        }
    }
    parts.sort_unstable_by_key(|&(position, _)| position);
    missing.sort_unstable_by_key(|&(position, _)| position);
    answer.covered = parts.iter().map(|(_, part)| part.shard.clone()).collect();
    answer.parts = parts.into_iter().map(|(_, part)| part).collect();
    answer.missing = missing.into_iter().map(|(_, missing)| missing).collect();
    let unplanned = query.missing.drain(..);
    answer.missing.extend(unplanned.map(|mut missing| {
        missing.verdict =
            including_earlier_versions(query.earlier_version_may_have_run, Verdict::NotRun).into();
        missing
    }));
    if answer.covered.is_empty() {
        answer.reason = most_common_reason(&answer.missing).into();
        if answer.verdict() == Verdict::NotRun && answer.retry_after_ms == 0 {
            answer.retry_after_ms = retry_after_ms(answer.reason());
        }
    }
    answer
}

/// Adds the shards of a portion that is not covered to the missing shards.
fn add_missing(
    query: &Query,
    position: usize,
    state: &PortionState,
    reason: Reason,
    missing: &mut Vec<(u32, Missing)>,
) {
    let portion = &query.portions[position];
    let reason = match state {
        PortionState::Refused(reason) => *reason,
        _ => open_portion_reason(portion, reason),
    };
    let verdict = including_earlier_versions(query.earlier_version_may_have_run, portion.verdict());
    for &shard in &portion.requested.shards {
        let entry = Missing {
            shard: query.index.shards[shard as usize].name.clone(),
            reason: reason.into(),
            verdict: verdict.into(),
        };
        missing.push((shard, entry));
    }
}

/// Returns why a portion that is still open is not covered when its query ends for `reason`: the
/// reason is a lost owner if every unanswered sending went to a peer that fell silent or whose
/// link broke, and that of the refusal if the portion waits to be sent again.
pub(crate) fn open_portion_reason(portion: &Portion, reason: Reason) -> Reason {
    if let Some(refused) = portion.refused.filter(|_| !portion.awaits_reply()) {
        return refused.reason;
    }
    let mut progress = portion.sendings.iter().map(|sending| sending.progress);
    let lost = progress.clone().any(|progress| progress != Progress::Answered)
        && progress.all(|progress| progress != Progress::Open);
    if lost { Reason::OwnerLost } else { reason }
}

/// Weakens the verdict `NotRun` to `MayHaveRun` if the same work may have run under an index
/// version that the query abandoned.
fn including_earlier_versions(earlier_may_have_run: bool, verdict: Verdict) -> Verdict {
    match verdict {
        Verdict::NotRun if earlier_may_have_run => Verdict::MayHaveRun,
        verdict => verdict,
    }
}

/// Returns the verdict of a whole query.
///
/// A non-idempotent request ran only if all of its portions ran. An idempotent request ran if any
/// portion ran, since the caller can request the missing shards again. `NotRun` always means that
/// no portion ran.
pub(crate) fn query_verdict(query: &Query) -> Verdict {
    let mut verdicts = query.portions.iter().map(Portion::verdict);
    if query.portions.iter().all(|p| p.verdict() == Verdict::NotRun) {
        return including_earlier_versions(query.earlier_version_may_have_run, Verdict::NotRun);
    }
    let ran = if query.terms.unrepeatable {
        query.missing.is_empty() && verdicts.all(|verdict| verdict == Verdict::Ran)
    } else {
        verdicts.any(|verdict| verdict == Verdict::Ran)
    };
    if ran { Verdict::Ran } else { Verdict::MayHaveRun }
}

/// Returns the most frequent reason among the missing shards, the first one in a tie. Cancelled
/// shards are ignored if there are others: they were cancelled because of the others and do not
/// explain the failure.
fn most_common_reason(missing: &[Missing]) -> Reason {
    let mut counts: Vec<(Reason, usize)> = Vec::new();
    let is_cancelled = |reason: &Reason| *reason == Reason::Cancelled;
    if missing.iter().map(Missing::reason).all(|reason| is_cancelled(&reason)) {
        return missing.first().map_or(Reason::Unspecified, Missing::reason);
    }
    for reason in missing.iter().map(Missing::reason).filter(|reason| !is_cancelled(reason)) {
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
