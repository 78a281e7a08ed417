//! Requests that end the servers that run them.
//!
//! Instances tell each other which requests were at a server that ended. A request is held to have ended it
//! when it is the only one of them that no server has answered, and is refused everywhere once it has
//! ended [`ENDS`] servers. What is held merges in any order: ends only gain requests, an end that is refuted
//! stays so, and a cleared request stays cleared.
//!
//! # Bounds
//!
//! A request that nobody asks for any more is forgotten after [`MEMORY`]; if it comes again then, it ends up to
//! one server of each of its shards before it is refused anew. The same holds for what every instance has
//! forgotten because all were lost at once, and for what is beyond [`REQUESTS`].

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::wire::{self, Frame};

use super::hash;
use crate::collections::{Map, Set};
use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use crate::view;

/// Servers that a request has to end to be refused.
const ENDS: usize = 3;
/// How long an end counts, and how long an entry lasts without being asked for.
pub const MEMORY: Duration = Duration::from_secs(15 * 60);
/// Ends kept at once.
const KEPT_ENDS: usize = 64;
/// Requests kept of one end.
const KEPT_REQUESTS: usize = 16;
/// Requests refused at once, and cleared ones remembered.
pub const REQUESTS: usize = 64;
/// Time without use after which an entry may be evicted.
const IDLE: Duration = Duration::from_secs(60);
/// How much younger than the oldest known end one of a peer is to take its place.
const YOUNGER: Duration = Duration::from_secs(1);
/// Incarnations kept of one entry.
const KEPT_INCARNATIONS: usize = 4;

/// One run of a server, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// The server.
    pub server: Arc<str>,
    /// Grows with every start of the server.
    pub number: u64,
}

impl Incarnation {
    fn read(incarnation: &wire::Incarnation) -> Self {
        Self { server: incarnation.server.as_str().into(), number: incarnation.number }
    }

    /// As it is written to peers and operators.
    pub fn written(&self) -> wire::Incarnation {
        wire::Incarnation { server: self.server.to_string(), number: self.number }
    }
}

/// The reported end of an incarnation.
#[derive(Clone, Debug)]
struct End {
    /// Requests that were there.
    ///
    /// Invariant: sorted, each once.
    requests: Vec<Fingerprint>,
    /// It has answered since.
    refuted: bool,
    /// When the first of its calls broke off.
    at: Instant,
}

/// What is held of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It is refused.
    Quarantined,
    /// It was answered or released.
    Cleared,
}

impl From<Standing> for wire::Standing {
    fn from(standing: Standing) -> Self {
        match standing {
            Standing::Quarantined => Self::Quarantined,
            Standing::Cleared => Self::Cleared,
        }
    }
}

/// What changed an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// So many servers ended under the request.
    Ends,
    /// A server answered it.
    Answer,
    /// A server that it was said to have ended goes on.
    Refutation,
    /// An operator released it.
    Operator,
    /// A peer holds it so.
    Peer,
}

/// What is held of a request, and why.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What is held.
    pub standing: Standing,
    /// Servers that it ended.
    ///
    /// Invariant: sorted, each once; none of them is refuted.
    pub incarnations: Vec<Incarnation>,
    /// When it was last asked for or cleared.
    pub seen: Instant,
}

/// An entry that has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Change {
    pub(super) request: Fingerprint,
    pub(super) standing: Standing,
    pub(super) cause: Cause,
    pub(super) incarnations: Vec<Incarnation>,
}

/// All that is held of requests under which servers ended.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    ends: Map<Incarnation, End>,
    entries: Map<Fingerprint, Entry>,
    /// What the traffic has to know of it.
    view: Arc<view::Quarantine>,
}

impl Quarantine {
    /// What the traffic has to know.
    pub(super) const fn view(&self) -> &Arc<view::Quarantine> {
        &self.view
    }

    /// The entries.
    pub(super) fn entries(&self) -> impl Iterator<Item = (&Fingerprint, &Entry)> {
        self.entries.iter()
    }

    /// Records that a server ended while these requests were open there.
    pub(super) fn crashed(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        at: Instant,
        requests: &[Fingerprint],
    ) -> Vec<Change> {
        self.add_end(incarnation, requests, at);
        self.evaluate(now)
    }

    /// Marks an incarnation as alive again.
    pub(super) fn refuted(&mut self, now: Instant, incarnation: &Incarnation) -> Vec<Change> {
        if let Some(end) = self.ends.get_mut(incarnation) {
            end.refuted = true;
        }
        self.evaluate(now)
    }

    /// Clears a request that was answered, or that an operator releases.
    pub(super) fn cleared(
        &mut self,
        now: Instant,
        request: Fingerprint,
        cause: Cause,
    ) -> Vec<Change> {
        let cleared = Entry { standing: Standing::Cleared, incarnations: Vec::new(), seen: now };
        let before = self.entries.insert(request, cleared);
        let turned = before.is_none_or(|entry| entry.standing != Standing::Cleared);
        let mut changes = self.evaluate(now);
        if turned {
            let (standing, incarnations) = (Standing::Cleared, Vec::new());
            changes.insert(0, Change { request, standing, cause, incarnations });
        }
        changes
    }

    /// Renews the entry of a refused request that came again.
    pub(super) fn asked(&mut self, now: Instant, request: Fingerprint) {
        let entry = self.entries.get_mut(&request);
        if let Some(entry) = entry.filter(|entry| entry.standing == Standing::Quarantined) {
            entry.seen = now;
        }
    }

    /// Merges what a peer holds, as far as there is room.
    ///
    /// Instances that hold as much as they may would otherwise drop what they have just told each other, and
    /// hear it again, without end.
    pub(super) fn merge(&mut self, now: Instant, frame: &Frame) -> Vec<Change> {
        let mut changes = Vec::new();
        for crash in &frame.crashes {
            self.merge_end(now, crash);
        }
        for entry in &frame.quarantines {
            changes.extend(self.merge_entry(now, entry));
        }
        changes.extend(self.evaluate(now));
        changes
    }

    fn merge_end(&mut self, now: Instant, crash: &wire::Crash) {
        let age = Duration::from_millis(crash.age_ms.into());
        if age >= MEMORY {
            return;
        }
        let incarnation =
            Incarnation { server: crash.server.as_str().into(), number: crash.incarnation };
        if !self.ends.contains_key(&incarnation) && !self.has_room(now - age) {
            return;
        }
        let requests: Vec<Fingerprint> =
            crash.requests.iter().filter_map(|bytes| Fingerprint::read(bytes)).collect();
        self.add_end(incarnation.clone(), &requests, now - age);
        if let Some(end) = self.ends.get_mut(&incarnation) {
            end.refuted |= crash.refuted;
        }
    }

    fn merge_entry(&mut self, now: Instant, entry: &wire::Quarantine) -> Option<Change> {
        let idle = Duration::from_millis(entry.idle_ms.into());
        let request = Fingerprint::read(&entry.request).filter(|_| idle < MEMORY)?;
        let standing = match entry.standing() {
            wire::Standing::Quarantined => Standing::Quarantined,
            wire::Standing::Cleared => Standing::Cleared,
            wire::Standing::Unspecified => return None,
        };
        let before = self.entries.get(&request).map(|known| known.standing);
        if before.is_none() && self.count(standing) >= REQUESTS {
            return None;
        }
        let known = self.entries.entry(request).or_insert_with(|| Entry {
            standing,
            incarnations: Vec::new(),
            seen: now - idle,
        });
        known.standing = known.standing.max(standing);
        known.seen = known.seen.max(now - idle);
        known.incarnations.extend(entry.incarnations.iter().map(Incarnation::read));
        tidy(&mut known.incarnations, KEPT_INCARNATIONS);
        let (standing, incarnations) = (known.standing, known.incarnations.clone());
        let cause = Cause::Peer;
        (before != Some(standing)).then_some(Change { request, standing, cause, incarnations })
    }

    /// Whether an end of this time would be kept.
    fn has_room(&self, at: Instant) -> bool {
        let oldest = self.ends.values().map(|end| end.at).min().unwrap_or_default();
        self.ends.len() < KEPT_ENDS || at.since(oldest) > YOUNGER
    }

    fn count(&self, standing: Standing) -> usize {
        self.entries.values().filter(|entry| entry.standing == standing).count()
    }

    fn add_end(&mut self, incarnation: Incarnation, requests: &[Fingerprint], at: Instant) {
        let new = || End { requests: Vec::new(), refuted: false, at };
        let end = self.ends.entry(incarnation).or_insert_with(new);
        end.at = end.at.min(at);
        end.requests.extend(requests);
        tidy(&mut end.requests, KEPT_REQUESTS);
    }

    /// Evaluates all ends; returns the entries that changed.
    fn evaluate(&mut self, now: Instant) -> Vec<Change> {
        self.shrink(now);
        let mut changes = self.reconsider(now);
        for (request, mut incarnations) in self.sole_suspects() {
            let known = self.entries.contains_key(&request);
            if incarnations.len() < ENDS || known || !self.make_room(now) {
                continue;
            }
            tidy(&mut incarnations, KEPT_INCARNATIONS);
            let standing = Standing::Quarantined;
            let cause = Cause::Ends;
            changes.push(Change { request, standing, cause, incarnations: incarnations.clone() });
            self.entries.insert(request, Entry { standing, incarnations, seen: now });
        }
        self.renew_view();
        changes
    }

    /// Evicts the least recently used entry when full; whether there is room for another.
    fn make_room(&mut self, now: Instant) -> bool {
        if self.count(Standing::Quarantined) < REQUESTS {
            return true;
        }
        let oldest = self.oldest(Standing::Quarantined);
        let idle = oldest.filter(|request| now.since(self.entries[request].seen) >= IDLE);
        idle.inspect(|request| self.forget(*request)).is_some()
    }

    /// The request of this standing that was seen least lately.
    fn oldest(&self, standing: Standing) -> Option<Fingerprint> {
        let entries = self.entries.iter().filter(|(_, entry)| entry.standing == standing);
        entries.min_by_key(|(request, entry)| (entry.seen, **request)).map(|(one, _)| *one)
    }

    /// Forgets a request with what it ended: it would be quarantined again by that.
    fn forget(&mut self, request: Fingerprint) {
        self.entries.remove(&request);
        self.ends.retain(|_, end| {
            end.requests.retain(|other| *other != request);
            !end.requests.is_empty()
        });
    }

    /// Clears requests whose ends are refuted.
    fn reconsider(&mut self, now: Instant) -> Vec<Change> {
        let refuted =
            |incarnation: &Incarnation| self.ends.get(incarnation).is_some_and(|end| end.refuted);
        let mut changes = Vec::new();
        for (request, entry) in &mut self.entries {
            let before = entry.incarnations.len();
            entry.incarnations.retain(|incarnation| !refuted(incarnation));
            let lost = entry.incarnations.len() < before && entry.incarnations.len() < ENDS;
            if lost && entry.standing == Standing::Quarantined {
                entry.standing = Standing::Cleared;
                entry.seen = now;
                changes.push(Change {
                    request: *request,
                    standing: Standing::Cleared,
                    cause: Cause::Refutation,
                    incarnations: Vec::new(),
                });
            }
        }
        changes
    }

    /// The servers that ended under each request while no other was there that may have ended them.
    ///
    /// Requests that happen to be beside a poison one end with it each time. Whatever a request ended that is
    /// refused already is not held against the others.
    fn sole_suspects(&self) -> Map<Fingerprint, Vec<Incarnation>> {
        let standing = |request: &Fingerprint| self.entries.get(request).map(|one| one.standing);
        let mut alone: Map<Fingerprint, Vec<Incarnation>> = Map::default();
        for (incarnation, end) in self.ends.iter().filter(|(_, end)| !end.refuted) {
            let suspects = end.requests.iter();
            let mut suspects = suspects.filter(|one| standing(one) != Some(Standing::Cleared));
            if let (Some(request), None) = (suspects.next(), suspects.next()) {
                alone.entry(*request).or_default().push(incarnation.clone());
            }
        }
        alone
    }

    /// Forgets what is old or beyond the bounds.
    fn shrink(&mut self, now: Instant) {
        self.ends.retain(|_, end| now.since(end.at) < MEMORY);
        self.entries.retain(|_, entry| now.since(entry.seen) < MEMORY);
        while self.ends.len() > KEPT_ENDS {
            let oldest = self.ends.iter().min_by_key(|(incarnation, end)| (end.at, *incarnation));
            let oldest = oldest.map(|(incarnation, _)| incarnation.clone());
            oldest.inspect(|incarnation| drop(self.ends.remove(incarnation)));
        }
        while self.count(Standing::Cleared) > REQUESTS {
            self.oldest(Standing::Cleared).inspect(|request| self.forget(*request));
        }
    }

    /// Forgets what is old.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.next_expiry().is_some_and(|at| at <= now) {
            self.shrink(now);
            self.renew_view();
        }
    }

    /// When something is forgotten.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        let ends = self.ends.values().map(|end| end.at);
        let entries = self.entries.values().map(|entry| entry.seen);
        ends.chain(entries).min().map(|at| at + MEMORY)
    }

    fn renew_view(&mut self) {
        let entries = self.entries.iter();
        let refused = entries.filter(|(_, entry)| entry.standing == Standing::Quarantined);
        let unrefuted = || self.ends.iter().filter(|(_, end)| !end.refuted);
        let requests: Set<Fingerprint> =
            unrefuted().flat_map(|(_, end)| end.requests.iter().copied()).collect();
        let undecided = |request: &Fingerprint| !self.entries.contains_key(request);
        let view = view::Quarantine {
            refused: refused.map(|(request, _)| *request).collect(),
            suspected: requests.into_iter().filter(undecided).collect(),
            ended: unrefuted()
                .map(|(incarnation, end)| {
                    (Arc::clone(&incarnation.server), ended(incarnation, end))
                })
                .collect(),
        };
        if view != *self.view {
            self.view = Arc::new(view);
        }
    }

    /// Stands for all that is held; 0 for nothing.
    pub(super) fn digest(&self) -> u64 {
        let ends = self.ends.iter().map(|(incarnation, end)| {
            let requests: Vec<u8> = end.requests.iter().flat_map(|one| one.bytes()).collect();
            let number = incarnation.number.to_be_bytes();
            hash::of(&[incarnation.server.as_bytes(), &number, &requests, &[end.refuted.into()]])
        });
        let entries = self.entries.iter().map(|(request, entry)| {
            hash::of(&[&request.bytes(), &[u8::from(entry.standing == Standing::Cleared)]])
        });
        ends.chain(entries).fold(0, |all, one| all ^ one)
    }

    /// Adds all that is held to a frame.
    pub(super) fn write(&self, now: Instant, frame: &mut Frame) {
        let crashes = self.ends.iter().map(|(incarnation, end)| wire::Crash {
            server: incarnation.server.to_string(),
            incarnation: incarnation.number,
            requests: end.requests.iter().map(|one| one.bytes().into()).collect(),
            refuted: end.refuted,
            age_ms: millis(now.since(end.at)),
        });
        let entries = self.entries.iter().map(|(request, entry)| wire::Quarantine {
            request: request.bytes().into(),
            standing: wire::Standing::from(entry.standing).into(),
            idle_ms: millis(now.since(entry.seen)),
            incarnations: entry.incarnations.iter().map(Incarnation::written).collect(),
        });
        frame.crashes = crashes.collect();
        frame.quarantines = entries.collect();
    }
}

fn ended(incarnation: &Incarnation, end: &End) -> view::End {
    view::End { incarnation: incarnation.number, at: end.at }
}

/// Sorts, and keeps each once and no more than `most`.
fn tidy<T: Ord>(list: &mut Vec<T>, most: usize) {
    list.sort_unstable();
    list.dedup();
    list.truncate(most);
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
