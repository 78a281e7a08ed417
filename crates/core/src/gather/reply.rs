//! Matches a reply to the sending that it answers, or rejects it.
//!
//! This prevents the following failure: a reply arrives late, twice, mixed up with another, from
//! an owner that is no longer relied on, or for the query of an earlier incarnation, and its parts
//! reach the wrong caller or an answer from another index version. A reply is accepted only if the
//! incarnation, the query number, the service, the round, the sender, the version and the exact
//! set of shards all match one sending that has not been answered.

use ladder_schema::call::Part;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire;

use super::peers::PeerKey;
use super::query::{Portion, Progress, Query};
use crate::collections::Map;

/// Location of one sending of a portion within a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SendingLocation {
    /// Position of the portion among the query's portions.
    pub(crate) portion: usize,
    /// Position of the sending among the portion's sendings.
    pub(crate) sending: usize,
}

/// Returns the sending that `reply` answers, or the reason to drop the reply.
pub(crate) fn match_sending(
    query: &Query,
    from: PeerKey,
    reply: &wire::Reply,
) -> Result<SendingLocation, Reason> {
    let position = query.portion_of_service(&reply.service).ok_or(Reason::WrongAnswer)?;
    let portion = &query.portions[position];
    let sending = portion
        .sendings
        .iter()
        .position(|sending| sending.round == reply.round && sending.peer == from)
        .ok_or(Reason::WrongAnswer)?;
    if portion.sendings[sending].progress == Progress::Answered {
        return Err(Reason::StaleAnswer);
    }
    check_content(query, portion, reply)?;
    Ok(SendingLocation { portion: position, sending })
}

/// Returns whether a refusal proves that no server received the portion through the instance that
/// refused it: the portion did not run, and the instance made no call for it.
///
/// The proof covers only the sending that the reply answers. Another instance to which the portion
/// was also sent may have called a server.
pub(super) fn proves_no_server_received(reply: &wire::Reply) -> bool {
    reply.verdict() == Verdict::NotRun && reply.calls == 0
}

/// Checks the version, verdict and parts of a reply.
fn check_content(query: &Query, portion: &Portion, reply: &wire::Reply) -> Result<(), Reason> {
    let has_content = reply.verdict() == Verdict::Ran || !reply.parts.is_empty();
    // An owner that refused before it looked at the version may leave it out.
    if reply.version != query.index.version && (has_content || reply.version != 0) {
        return Err(Reason::WrongVersion);
    }
    match (reply.verdict(), reply.reason()) {
        (Verdict::Unspecified, _) => Err(Reason::WrongAnswer),
        (Verdict::Ran, Reason::Unspecified) if covers_portion(query, portion, reply) => Ok(()),
        (Verdict::Ran, Reason::Unspecified) => Err(Reason::WrongAnswer),
        _ if reply.parts.is_empty() => Ok(()),
        _ => Err(Reason::WrongAnswer),
    }
}

/// Returns whether the parts of a reply are those of the portion's shards, each once.
fn covers_portion(query: &Query, portion: &Portion, reply: &wire::Reply) -> bool {
    if is_in_order(query, portion, &reply.parts) {
        return true;
    }
    let mut received: Vec<&str> = reply.parts.iter().map(|part| part.shard.as_str()).collect();
    let mut expected: Vec<&str> = shard_names(query, portion).collect();
    received.sort_unstable();
    expected.sort_unstable();
    received == expected
}

/// Sorts parts that cover a portion into the order of the portion's shards.
pub(crate) fn in_order(query: &Query, portion: usize, mut parts: Vec<Part>) -> Vec<Part> {
    let portion = &query.portions[portion];
    if !is_in_order(query, portion, &parts) {
        let order: Map<&str, usize> = shard_names(query, portion).zip(0..).collect();
        parts.sort_unstable_by_key(|part| order.get(part.shard.as_str()).copied());
    }
    parts
}

/// Returns whether the parts are those of the portion's shards in the same order, as owners
/// usually send them.
fn is_in_order(query: &Query, portion: &Portion, parts: &[Part]) -> bool {
    shard_names(query, portion).eq(parts.iter().map(|part| part.shard.as_str()))
}

fn shard_names<'a>(query: &'a Query, portion: &'a Portion) -> impl Iterator<Item = &'a str> {
    let shards = portion.requested.shards.iter();
    shards.map(|&position| query.index.shards[position as usize].name.as_str())
}
