//! Quarantine of poison requests: requests that crash the server processes that run them.
//!
//! Instances send each other which requests were open at a server when it crashed. A request is
//! considered the cause of a crash if it is the only one of them that no server has answered. It
//! is refused by every instance once it has crashed [`MIN_CRASHES`] servers. A request to a single
//! service that was open at as many crashes beside others is tried by single calls, and refused if
//! a server crashes under one of them.
//!
//! The state merges in any order: a crash only gains requests, a refuted crash stays refuted, and
//! of two entries of a request the one with the higher term replaces the other. A cleared request
//! is quarantined again, in the next term, once it has crashed as many servers after its immunity.
//!
//! # Bounds
//!
//! A quarantined request that no caller sends any more is forgotten after [`RETENTION`]. If it is
//! sent again later, it crashes up to one server of each of its shards before it is refused again,
//! because all portions of a sweep are sent at once, before the third crash is known. The same
//! applies to state lost because all instances were lost at once, and to requests beyond
//! [`MAX_REQUESTS`].
//!
//! Instances that keep [`MAX_CRASHES`] crashes may keep different ones.

mod contents;
mod dropped;
mod entry;
mod trial;
mod undecided;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::wire::{self, Frame};

use contents::{Contents, Item};
use dropped::Dropped;
pub(super) use entry::Change;
pub use entry::{Cause, Entry, Standing};
pub use trial::Trial;
pub use undecided::{Undecided, UndecidedCrashes};

use super::hash;
use crate::collections::{Map, Set};
use crate::fingerprint::Fingerprint;
use crate::time::{Instant, whole_millis};
use crate::view;

/// Number of servers that a request must crash to be refused.
const MIN_CRASHES: usize = 3;
/// How long a crash counts, and how long a quarantine entry is kept after its request was last
/// sent or cleared.
pub const RETENTION: Duration = Duration::from_secs(15 * 60);
/// Time after an answer during which crashes do not count against the request: a popular request is
/// at many servers when a rack or zone fails, and is answered by others about then.
pub const ANSWER_IMMUNITY: Duration = Duration::from_secs(10);
/// Maximum number of crashes kept at once.
const MAX_CRASHES: usize = 64;
/// Maximum number of requests kept of one crash.
const MAX_REQUESTS_PER_CRASH: usize = 32;
/// Maximum number of requests refused at once, and also of cleared requests remembered.
pub const MAX_REQUESTS: usize = 64;
/// A quarantined request may be evicted for another one if no caller has sent it for this long.
const EVICTABLE_AFTER: Duration = Duration::from_secs(60);
/// How much more recent than the oldest kept crash a peer's crash must be to replace it when
/// [`MAX_CRASHES`] are kept.
const MIN_REPLACEMENT_AGE_GAP: Duration = Duration::from_secs(1);
/// Maximum number of crashed incarnations kept of one quarantine entry.
const MAX_INCARNATIONS_PER_ENTRY: usize = 4;

/// One process life of a server, from its start to its termination.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Unique name of the server.
    pub server: Arc<str>,
    /// Incarnation number; increases with every start of the server.
    pub number: u64,
}

impl Incarnation {
    /// The incarnation in a message of a peer or to an operator.
    pub fn read(incarnation: &wire::Incarnation) -> Self {
        Self { server: incarnation.server.as_str().into(), number: incarnation.number }
    }

    /// The incarnation as a message for peers and operators.
    pub fn written(&self) -> wire::Incarnation {
        wire::Incarnation { server: self.server.to_string(), number: self.number }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.server, self.number)
    }
}

/// The reported crash of an incarnation.
#[derive(Clone, Debug)]
struct CrashReport {
    /// Requests that were open at the server when it crashed.
    ///
    /// Invariant: sorted, without duplicates.
    requests: Vec<Fingerprint>,
    /// Whether the incarnation has answered since its reported crash, which refutes the report.
    refuted: bool,
    /// Those of the requests that were on trial.
    ///
    /// Invariant: sorted, without duplicates.
    trials: Vec<Fingerprint>,
    /// When the first of the calls to the crashed incarnation was cut off.
    at: Instant,
}

/// The crashes of servers and the requests quarantined or cleared because of them, as this
/// instance knows them.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    crashes: Map<Incarnation, CrashReport>,
    entries: Map<Fingerprint, Entry>,
    dropped: Dropped,
    /// Incarnations whose crash was first reported since [`Quarantine::take_new_crashes`] was last
    /// called.
    new_crashes: Vec<Incarnation>,
    /// Requests that were undecided when [`Quarantine::take_undecided`] was last called.
    known_undecided: Set<Fingerprint>,
    /// Hash of the name of this instance.
    own_hash: u64,
    /// Hashes of the names of the other instances that may try requests.
    peer_hashes: Vec<u64>,
    /// The part of the quarantine that traffic needs.
    view: Arc<view::Quarantine>,
}

impl Quarantine {
    /// The part of the quarantine that traffic needs.
    pub(super) const fn view(&self) -> &Arc<view::Quarantine> {
        &self.view
    }

    /// Quarantined and cleared requests, each with its entry.
    pub(super) fn entries(&self) -> impl Iterator<Item = (&Fingerprint, &Entry)> {
        self.entries.iter()
    }

    /// Removes and returns the crashes reported since the last call, each with the requests that
    /// may have caused it: those that were open at the server and are not cleared.
    pub(super) fn take_new_crashes(&mut self) -> Vec<(Incarnation, Vec<Fingerprint>)> {
        let incarnations = std::mem::take(&mut self.new_crashes).into_iter();
        let with_suspects = |incarnation: Incarnation| {
            let suspects = self.suspects(self.crashes.get(&incarnation)?).copied().collect();
            Some((incarnation, suspects))
        };
        incarnations.filter_map(with_suspects).collect()
    }

    /// The requests that were open at a server when it crashed and are not cleared.
    fn suspects<'a>(&self, crash: &'a CrashReport) -> impl Iterator<Item = &'a Fingerprint> {
        let is_cleared = |request: &Fingerprint| {
            self.entries.get(request).is_some_and(|entry| entry.clears(crash.at))
        };
        crash.requests.iter().filter(move |request| !is_cleared(request))
    }

    /// Records that a server crashed while these requests were open there.
    pub(super) fn record_crash(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        at: Instant,
        requests: &[Fingerprint],
        trials: &[Fingerprint],
    ) -> Vec<Change> {
        self.add_crash(incarnation, requests, trials, at);
        self.evaluate(now)
    }

    /// Marks the crash of an incarnation as refuted, because the incarnation is still running.
    pub(super) fn record_refutation(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
    ) -> Vec<Change> {
        if let Some(crash) = self.crashes.get_mut(incarnation) {
            crash.refuted = true;
        }
        self.evaluate(now)
    }

    /// Clears a request that a server answered or that an operator releases.
    pub(super) fn clear(
        &mut self,
        now: Instant,
        request: Fingerprint,
        cause: Cause,
    ) -> Vec<Change> {
        // A renewed clearing is news to the other instances if they suspect the request again.
        let is_renewed = self.view.suspected.contains(&request);
        let before = self.entries.get(&request);
        let (has_changed, term) = match before.map(Entry::version) {
            None => (true, 1),
            Some((term, Standing::Quarantined)) => (true, term),
            Some((term, Standing::Cleared)) => (is_renewed, term + u32::from(is_renewed)),
        };
        let immunity = Some(cause.immunity()).filter(|immunity| !immunity.is_zero());
        let immune_until = immunity.map(|immunity| now + immunity);
        let earlier = before.and_then(|entry| entry.immune_until);
        let cleared = Entry::cleared(now, term, immune_until.max(earlier));
        self.entries.insert(request, cleared);
        let mut changes = self.evaluate(now);
        if has_changed {
            let (standing, incarnations) = (Standing::Cleared, Vec::new());
            changes.insert(0, Change { request, standing, cause, incarnations });
        }
        changes
    }

    /// Renews the entry of a quarantined request that a caller sent again.
    pub(super) fn renew(&mut self, now: Instant, request: Fingerprint) {
        let entry = self.entries.get_mut(&request);
        if let Some(entry) = entry.filter(|entry| entry.standing == Standing::Quarantined) {
            entry.seen = now;
        }
    }

    /// Merges the crashes and entries in a peer's frame, as far as there is room.
    ///
    /// Without that restriction, instances that keep the maximum would drop what they have just
    /// sent to each other and receive it again, without end.
    pub(super) fn merge(&mut self, now: Instant, frame: &Frame) -> Vec<Change> {
        let mut changes = Vec::new();
        for crash in &frame.crashes {
            self.merge_crash(now, crash);
        }
        for entry in &frame.quarantines {
            changes.extend(self.merge_entry(now, entry));
        }
        changes.extend(self.evaluate(now));
        changes
    }

    fn merge_crash(&mut self, now: Instant, received: &wire::Crash) {
        let age = Duration::from_millis(received.age_ms.into());
        if age >= RETENTION {
            return;
        }
        let incarnation =
            Incarnation { server: received.server.as_str().into(), number: received.incarnation };
        if !self.crashes.contains_key(&incarnation) && !self.has_room(&incarnation, now - age) {
            return;
        }
        let [requests, trials] = [&received.requests, &received.trials].map(|list| {
            let read = list.iter().filter_map(|bytes| Fingerprint::read(bytes));
            read.collect::<Vec<_>>()
        });
        self.add_crash(incarnation.clone(), &requests, &trials, now - age);
        if let Some(known) = self.crashes.get_mut(&incarnation) {
            known.refuted |= received.refuted;
        }
    }

    fn merge_entry(&mut self, now: Instant, entry: &wire::Quarantine) -> Option<Change> {
        let idle = Duration::from_millis(entry.idle_ms.into());
        let request = Fingerprint::read(&entry.request).filter(|_| idle < RETENTION)?;
        let standing = match entry.standing() {
            wire::Standing::Quarantined => Standing::Quarantined,
            wire::Standing::Cleared => Standing::Cleared,
            wire::Standing::Unspecified => return None,
        };
        let before = self.entries.get(&request).map(Entry::version);
        if before.is_none() && self.count(standing) >= MAX_REQUESTS {
            return None;
        }
        let immunity = Some(entry.immunity_ms).filter(|immunity| *immunity > 0);
        let immunity = immunity.map(|immunity| Duration::from_millis(immunity.into()));
        let received = Entry {
            standing,
            term: entry.term.max(1),
            immune_until: immunity.map(|immunity| now - idle + immunity),
            incarnations: entry.incarnations.iter().map(Incarnation::read).collect(),
            seen: now - idle,
            crashed_at: now - Duration::from_millis(entry.age_ms.into()),
            failed_trials: entry.failed_trials,
        };
        let merged = self.entries.entry(request).or_insert_with(|| received.clone());
        merged.merge(received);
        let version = merged.version();
        let incarnations = merged.incarnations.clone();
        let (standing, cause) = (merged.standing, Cause::Peer);
        (before != Some(version)).then_some(Change { request, standing, cause, incarnations })
    }

    /// Whether there is room to keep a peer's crash, or it may replace an older one. A crash that was
    /// dropped replaces none.
    fn has_room(&self, incarnation: &Incarnation, at: Instant) -> bool {
        let oldest = self.crashes.values().map(|crash| crash.at).min().unwrap_or_default();
        let is_newer = at.since(oldest) > MIN_REPLACEMENT_AGE_GAP;
        !self.is_full() || is_newer && !self.dropped.contains(incarnation)
    }

    /// Whether no further crash can be kept without dropping another one.
    fn is_full(&self) -> bool {
        self.crashes.len() >= MAX_CRASHES
    }

    fn count(&self, standing: Standing) -> usize {
        self.entries.values().filter(|entry| entry.standing == standing).count()
    }

    fn add_crash(
        &mut self,
        incarnation: Incarnation,
        requests: &[Fingerprint],
        trials: &[Fingerprint],
        at: Instant,
    ) {
        if !self.crashes.contains_key(&incarnation) {
            self.new_crashes.push(incarnation.clone());
        }
        let new = || CrashReport { requests: Vec::new(), refuted: false, trials: Vec::new(), at };
        let crash = self.crashes.entry(incarnation).or_insert_with(new);
        crash.at = crash.at.min(at);
        crash.requests.extend(requests);
        sort_dedup_truncate(&mut crash.requests, MAX_REQUESTS_PER_CRASH);
        crash.trials.extend(trials);
        sort_dedup_truncate(&mut crash.trials, MAX_REQUESTS_PER_CRASH);
    }

    /// Derives the quarantined and cleared requests from all crashes. Returns the entries that
    /// changed.
    fn evaluate(&mut self, now: Instant) -> Vec<Change> {
        self.drop_expired_and_excess(now);
        let mut changes = self.clear_refuted(now);
        for (request, incarnations) in self.crashes_by_sole_suspect() {
            let standing = self.entries.get(&request).map(|entry| entry.standing);
            if incarnations.len() >= MIN_CRASHES && standing != Some(Standing::Quarantined) {
                let crashes = incarnations.iter().filter_map(|one| self.crashes.get(one));
                let last = crashes.map(|crash| crash.at).max().unwrap_or(now);
                changes.extend(self.quarantine(now, request, Cause::Ends, incarnations, last));
            }
        }
        for (request, crashed_at) in self.failed_trials() {
            let incarnations = self.crashes_of(request);
            changes.extend(self.quarantine(now, request, Cause::Trial, incarnations, crashed_at));
        }
        self.rebuild_view();
        changes
    }

    /// Quarantines a request in a new term, if there is room for it.
    fn quarantine(
        &mut self,
        now: Instant,
        request: Fingerprint,
        cause: Cause,
        mut incarnations: Vec<Incarnation>,
        crashed_at: Instant,
    ) -> Option<Change> {
        let before = self.entries.get(&request);
        let is_quarantined = before.is_some_and(|entry| entry.standing == Standing::Quarantined);
        let term = before.map_or(1, |entry| entry.term + 1);
        let earlier = before.filter(|_| is_quarantined).map_or(0, |entry| entry.failed_trials);
        let immune_until = before.and_then(|entry| entry.immune_until);
        if !is_quarantined && !self.make_room(now) {
            return None;
        }
        sort_dedup_truncate(&mut incarnations, MAX_INCARNATIONS_PER_ENTRY);
        let standing = Standing::Quarantined;
        let entry = Entry {
            standing,
            term,
            immune_until,
            incarnations: incarnations.clone(),
            seen: now,
            crashed_at,
            failed_trials: earlier + u32::from(cause == Cause::Trial),
        };
        self.entries.insert(request, entry);
        Some(Change { request, standing, cause, incarnations })
    }

    /// Evicts the least recently used quarantined request if the quarantine is full. Returns
    /// whether there is room for another.
    fn make_room(&mut self, now: Instant) -> bool {
        if self.count(Standing::Quarantined) < MAX_REQUESTS {
            return true;
        }
        let oldest = self.least_recently_seen(Standing::Quarantined);
        let idle =
            oldest.filter(|request| now.since(self.entries[request].seen) >= EVICTABLE_AFTER);
        idle.inspect(|request| self.forget(*request)).is_some()
    }

    /// The request with this standing that was last seen longest ago.
    fn least_recently_seen(&self, standing: Standing) -> Option<Fingerprint> {
        let entries = self.entries.iter().filter(|(_, entry)| entry.standing == standing);
        entries.min_by_key(|(request, entry)| (entry.seen, **request)).map(|(request, _)| *request)
    }

    /// Forgets a request together with its part in all crashes; otherwise these would quarantine
    /// it again.
    fn forget(&mut self, request: Fingerprint) {
        self.entries.remove(&request);
        self.crashes.retain(|_, crash| {
            crash.requests.retain(|other| *other != request);
            !crash.requests.is_empty()
        });
    }

    /// Clears quarantined requests that have too few crashes left because others were refuted.
    fn clear_refuted(&mut self, now: Instant) -> Vec<Change> {
        let refuted = |incarnation: &Incarnation| {
            self.crashes.get(incarnation).is_some_and(|crash| crash.refuted)
        };
        let mut changes = Vec::new();
        for (request, entry) in &mut self.entries {
            let count_before = entry.incarnations.len();
            entry.incarnations.retain(|incarnation| !refuted(incarnation));
            let is_below_minimum =
                entry.incarnations.len() < count_before && entry.incarnations.len() < MIN_CRASHES;
            if is_below_minimum && entry.standing == Standing::Quarantined {
                *entry = Entry::cleared(now, entry.term, entry.immune_until);
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

    /// The incarnations that crashed under each request while no other request that may have
    /// crashed them was open there.
    ///
    /// Requests that happen to run beside a poison request are present at each of its crashes. A
    /// crash with a request that is already quarantined is not attributed to the other requests.
    fn crashes_by_sole_suspect(&self) -> Map<Fingerprint, Vec<Incarnation>> {
        let mut by_suspect: Map<Fingerprint, Vec<Incarnation>> = Map::default();
        for (incarnation, crash) in self.crashes.iter().filter(|(_, crash)| !crash.refuted) {
            let mut suspects = self.suspects(crash);
            if let (Some(request), None) = (suspects.next(), suspects.next()) {
                by_suspect.entry(*request).or_default().push(incarnation.clone());
            }
        }
        by_suspect
    }

    /// Drops crashes and quarantine entries that have expired or exceed the maximum numbers.
    fn drop_expired_and_excess(&mut self, now: Instant) {
        self.crashes.retain(|_, crash| now.since(crash.at) < RETENTION);
        self.entries.retain(|_, entry| now.since(entry.seen) < RETENTION);
        while self.crashes.len() > MAX_CRASHES {
            let oldest =
                self.crashes.iter().min_by_key(|(incarnation, crash)| (crash.at, *incarnation));
            let Some(oldest) = oldest.map(|(incarnation, _)| incarnation.clone()) else {
                break;
            };
            self.crashes.remove(&oldest);
            self.dropped.add(oldest);
        }
        while self.count(Standing::Cleared) > MAX_REQUESTS {
            self.least_recently_seen(Standing::Cleared).inspect(|request| self.forget(*request));
        }
    }

    /// Drops crashes and quarantine entries that have expired.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.next_expiry().is_some_and(|at| at <= now) {
            self.drop_expired_and_excess(now);
            self.rebuild_view();
        }
    }

    /// When the next crash or quarantine entry expires.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        let crash_times = self.crashes.values().map(|crash| crash.at);
        let entry_times = self.entries.values().map(|entry| entry.seen);
        crash_times.chain(entry_times).min().map(|at| at + RETENTION)
    }

    fn rebuild_view(&mut self) {
        let entries = self.entries.iter();
        let refused = entries.filter(|(_, entry)| entry.standing == Standing::Quarantined);
        let refused: Set<Fingerprint> = refused.map(|(request, _)| *request).collect();
        let unrefuted = || self.crashes.iter().filter(|(_, crash)| !crash.refuted);
        let suspects = unrefuted().flat_map(|(_, crash)| self.suspects(crash)).copied();
        let view = view::Quarantine {
            suspected: suspects.filter(|request| !refused.contains(request)).collect(),
            refused,
            trials: self.trials(),
            crashes: unrefuted()
                .map(|(incarnation, crash)| {
                    (Arc::clone(&incarnation.server), crash_view(incarnation, crash))
                })
                .collect(),
        };
        if view != *self.view {
            self.view = Arc::new(view);
        }
    }

    /// Hashes of all crashes and quarantine entries.
    pub(super) fn contents(&self) -> Contents {
        let mut contents = Contents::default();
        for (incarnation, crash) in &self.crashes {
            // Without trials the hash is that of builds that do not know them.
            let requests = crash.requests.iter().chain(&crash.trials);
            let requests: Vec<u8> = requests.flat_map(|request| request.bytes()).collect();
            let number = incarnation.number.to_be_bytes();
            let refuted = [crash.refuted.into()];
            let hash = hash::of(&[incarnation.server.as_bytes(), &number, &requests, &refuted]);
            contents.insert(Item::Crash(incarnation.clone()), hash);
        }
        for (request, entry) in &self.entries {
            let is_cleared = u8::from(entry.standing == Standing::Cleared);
            let standing = [is_cleared, entry.immune_until.is_some().into()];
            let hash = hash::of(&[&request.bytes(), &standing, &entry.term.to_be_bytes()]);
            contents.insert(Item::Entry(*request), hash);
        }
        contents
    }

    /// Digest for comparison between instances; 0 if there is nothing to compare. Without room for
    /// further crashes it leaves them out, as other instances may have kept different ones.
    pub(super) fn digest(&self) -> u64 {
        self.contents().hash(|item| !(self.is_full() && matches!(item, Item::Crash(_))))
    }

    /// Writes all crashes and quarantine entries into a frame.
    pub(super) fn write_to_frame(&self, now: Instant, frame: &mut Frame) {
        self.write_items(now, |_| true, frame);
    }

    /// Writes the crashes and quarantine entries that are among `part` into a frame.
    pub(super) fn write_part_to_frame(&self, now: Instant, part: &Contents, frame: &mut Frame) {
        self.write_items(now, |item| part.contains(item), frame);
    }

    fn write_items(&self, now: Instant, is_included: impl Fn(&Item) -> bool, frame: &mut Frame) {
        let crashes = self.crashes.iter();
        let crashes =
            crashes.filter(|(incarnation, _)| is_included(&Item::Crash((*incarnation).clone())));
        let crashes = crashes.map(|(incarnation, crash)| wire::Crash {
            server: incarnation.server.to_string(),
            incarnation: incarnation.number,
            requests: crash.requests.iter().map(|request| request.bytes().into()).collect(),
            refuted: crash.refuted,
            age_ms: whole_millis(now.since(crash.at)),
            trials: crash.trials.iter().map(|request| request.bytes().into()).collect(),
        });
        let entries = self.entries.iter();
        let entries = entries.filter(|(request, _)| is_included(&Item::Entry(**request)));
        let entries = entries.map(|(request, entry)| wire::Quarantine {
            request: request.bytes().into(),
            standing: wire::Standing::from(entry.standing).into(),
            idle_ms: whole_millis(now.since(entry.seen)),
            term: entry.term,
            immunity_ms: entry
                .immune_until
                .map_or(0, |until| whole_millis(until.since(entry.seen))),
            incarnations: entry.incarnations.iter().map(Incarnation::written).collect(),
            age_ms: whole_millis(now.since(entry.crashed_at)),
            failed_trials: entry.failed_trials,
        });
        frame.crashes = crashes.collect();
        frame.quarantines = entries.collect();
    }
}

fn crash_view(incarnation: &Incarnation, crash: &CrashReport) -> view::ServerCrash {
    view::ServerCrash { incarnation: incarnation.number, at: crash.at }
}

/// Sorts the list, removes duplicates and keeps no more than `limit` items.
fn sort_dedup_truncate<T: Ord>(list: &mut Vec<T>, limit: usize) {
    list.sort_unstable();
    list.dedup();
    list.truncate(limit);
}
