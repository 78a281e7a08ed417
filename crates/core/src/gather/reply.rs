//! Finds the sending that a reply answers, or why it answers none.
//!
//! The failure: an answer arrives late, twice, crossed with another, from an owner that was given
//! up, or for the query of an earlier incarnation, and its parts reach the wrong caller or a
//! snapshot of another version. A reply enters only if the incarnation, the query number, the
//! service, the round, the sender, the version and the exact set of shards all match one sending
//! that has not been answered.

use ladder_schema::call::Part;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire;

use super::peers::PeerKey;
use super::query::{Portion, Progress, Query};
use crate::collections::Map;

/// Where a reply belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    /// Position of the portion in the query.
    pub(crate) portion: usize,
    /// Position of the sending in the portion.
    pub(crate) sending: usize,
}

/// The sending that `reply` answers, or the reason to drop it.
pub(crate) fn place(query: &Query, from: PeerKey, reply: &wire::Reply) -> Result<Place, Reason> {
    let position = query.portion(&reply.service).ok_or(Reason::WrongAnswer)?;
    let portion = &query.portions[position];
    let sending = portion
        .sendings
        .iter()
        .position(|sending| sending.round == reply.round && sending.peer == from)
        .ok_or(Reason::WrongAnswer)?;
    if portion.sendings[sending].progress == Progress::Ended {
        return Err(Reason::StaleAnswer);
    }
    content(query, portion, reply)?;
    Ok(Place { portion: position, sending })
}

/// Checks what the reply says.
fn content(query: &Query, portion: &Portion, reply: &wire::Reply) -> Result<(), Reason> {
    let drawn = reply.verdict() == Verdict::Ran || !reply.parts.is_empty();
    // An owner that refused before it looked at the version may leave it out.
    if reply.version != query.index.version && (drawn || reply.version != 0) {
        return Err(Reason::WrongVersion);
    }
    match (reply.verdict(), reply.reason()) {
        (Verdict::Unspecified, _) => Err(Reason::WrongAnswer),
        (Verdict::Ran, Reason::Unspecified) if covers(query, portion, reply) => Ok(()),
        (Verdict::Ran, Reason::Unspecified) => Err(Reason::WrongAnswer),
        _ if reply.parts.is_empty() => Ok(()),
        _ => Err(Reason::WrongAnswer),
    }
}

/// The parts are those of the portion's shards, each once.
fn covers(query: &Query, portion: &Portion, reply: &wire::Reply) -> bool {
    if is_in_order(query, portion, &reply.parts) {
        return true;
    }
    let mut given: Vec<&str> = reply.parts.iter().map(|part| part.shard.as_str()).collect();
    let mut asked: Vec<&str> = names(query, portion).collect();
    given.sort_unstable();
    asked.sort_unstable();
    given == asked
}

/// Puts parts that cover a portion into the order of its shards.
pub(crate) fn in_order(query: &Query, portion: usize, mut parts: Vec<Part>) -> Vec<Part> {
    let portion = &query.portions[portion];
    if !is_in_order(query, portion, &parts) {
        let places: Map<&str, usize> = names(query, portion).zip(0..).collect();
        parts.sort_unstable_by_key(|part| places.get(part.shard.as_str()).copied());
    }
    parts
}

/// The parts are those of the portion's shards in the same order, as owners mostly send them.
fn is_in_order(query: &Query, portion: &Portion, parts: &[Part]) -> bool {
    names(query, portion).eq(parts.iter().map(|part| part.shard.as_str()))
}

fn names<'a>(query: &'a Query, portion: &'a Portion) -> impl Iterator<Item = &'a str> {
    let shards = portion.share.shards.iter();
    shards.map(|&position| query.index.shards[position as usize].name.as_str())
}
