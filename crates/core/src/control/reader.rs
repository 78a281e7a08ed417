//! Which instances watch the platform, and when this one does.
//!
//! The platform answers about two thousand reads per second in all and counts a waiting watch as
//! one, so only a few instances of each zone watch and pass on what they read.

use std::cmp::Reverse;
use std::time::Duration;

use super::hash::{self, Random};
use crate::time::{Instant, micros};

/// Live instances of a zone that watch the platform.
pub const READERS_PER_ZONE: usize = 2;
/// Live instances of a zone that ask a platform which answers none of the readers.
const STANDBY_PER_ZONE: usize = 8;
/// Least time after an answer without news, in case the platform does not hold watches, and after
/// one that leaves nothing out.
const PACE: Duration = Duration::from_millis(250);
/// Digest periods without any digest after which an instance that is no reader reads itself.
const SILENT_DIGESTS: u32 = 5;

/// Place of the instance in its zone; `live` are the names of the zone's other live instances.
pub fn place<'a>(name: &str, live: impl Iterator<Item = &'a str>) -> Place {
    let own = rank(name);
    Place(live.filter(|other| rank(other) < own).count())
}

/// How many live instances of its zone come before an instance when the platform is to be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place(usize);

impl Place {
    /// Of an instance that is to ask nothing, as it leaves.
    pub const LAST: Self = Self(usize::MAX);

    /// It watches the platform.
    pub const fn is_reader(self) -> bool {
        self.0 < READERS_PER_ZONE
    }

    /// After how long without an answer to anybody it asks too; `None`: never.
    ///
    /// The platform may turn its readers away and serve others. Then those next in the zone ask, twice
    /// as many an eighth of the time of contact later, and only so many when it answers nobody. What is
    /// waited for before is what a watch and its news take at most, when all is well.
    fn stands_in_after(self, timing: Timing) -> Option<Duration> {
        match self.0 {
            STANDBY_PER_ZONE.. => None,
            place if place < 2 * READERS_PER_ZONE => Some(timing.contact * 5 / 8),
            _ => Some(timing.contact * 3 / 4),
        }
    }
}

fn rank(name: &str) -> (Reverse<u64>, &str) {
    (Reverse(hash::of(&[b"reader", name.as_bytes()])), name)
}

/// A read to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read {
    /// Only records above this revision; 0: all that is published.
    pub after: u64,
    /// How long the platform may wait for news; zero: it answers at once.
    pub wait: Duration,
    /// How long after that its answer may take before it counts as lost.
    pub patience: Duration,
}

/// A read that gave nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Failed reads since the last answer, with this one.
    pub failures: u32,
    /// How long its answer was waited for.
    pub waited: Duration,
    /// Until the next read may start.
    pub pause: Duration,
}

/// Reads of the platform by one instance.
#[derive(Clone, Debug)]
pub struct Reader {
    /// A read is open.
    ///
    /// Invariant: at most one read is open at any time.
    open: bool,
    /// When the last read started.
    started: Instant,
    /// When the platform last answered; before the first answer, the start of the instance.
    answered: Instant,
    /// When it last answered anybody that this instance heard of; `None` before.
    answered_any: Option<Instant>,
    /// Highest revision that the platform itself has delivered. Revisions learnt from peers do not
    /// count: a lower one could still be missing, and would never be read.
    cursor: u64,
    /// Failed reads since the last answer.
    failures: u32,
    /// No read starts before.
    not_before: Instant,
    /// The platform has answered or failed at least once.
    tried: bool,
    /// The next read must not wait: the last answer was cut short, or nothing is known.
    urgent: bool,
    /// The rule chose this instance when last asked.
    chosen: bool,
    /// Last digest of any peer.
    digest_seen: Instant,
    /// Further silence after which this instance reads although it is no reader, so that the
    /// instances of a partition do not all ask at once.
    spread: Duration,
}

impl Reader {
    /// A reader that reads at once.
    pub fn new(now: Instant, digest: Duration, random: &mut Random) -> Self {
        Self {
            open: false,
            started: now,
            answered: now,
            answered_any: None,
            cursor: 0,
            failures: 0,
            not_before: now,
            tried: false,
            urgent: true,
            chosen: false,
            digest_seen: now,
            spread: jitter(digest * SILENT_DIGESTS, random),
        }
    }

    /// The platform has answered or failed at least once.
    pub const fn tried(&self) -> bool {
        self.tried
    }

    /// Takes in an answer; `last` is the highest revision in it, if any, and `head` what the
    /// platform knows.
    pub fn answered(&mut self, now: Instant, last: Option<u64>, head: u64) {
        self.open = false;
        self.tried = true;
        self.answered = now;
        self.answered_any = Some(now);
        self.failures = 0;
        self.not_before = if last.is_some() { now } else { now + PACE };
        self.cursor = self.cursor.max(last.unwrap_or(0));
        self.urgent = last.is_some_and(|last| last < head);
    }

    /// Takes in an answer that leaves out no record up to `head`.
    ///
    /// The next read waits a little also after news: servers that start together are published one
    /// by one, and each would cost every reader a read of its own: 351 reads instead of 158 on a day
    /// of seven instances and 46 servers.
    pub fn caught_up(&mut self, now: Instant, head: u64) {
        self.answered(now, None, head);
        self.cursor = self.cursor.max(head);
        self.not_before = now + PACE;
    }

    /// The platform has forgotten what followed the last record: all is read again.
    pub fn expired(&mut self, now: Instant) {
        self.open = false;
        self.tried = true;
        self.cursor = 0;
        self.urgent = true;
        self.not_before = now;
    }

    /// Reads have failed since the last answer.
    pub const fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// How long the platform has not answered.
    pub fn silence(&self, now: Instant) -> Duration {
        now.since(self.answered)
    }

    /// How long it has not answered anybody that this instance heard of, in milliseconds and one more;
    /// 0 if that is not known.
    pub fn age_ms(&self, now: Instant) -> u32 {
        let millis = |at: Instant| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        self.answered_any.map_or(0, |at| millis(at).saturating_add(1))
    }

    /// Takes in what a peer says of the same.
    pub fn heard_age(&mut self, now: Instant, age_ms: u32) {
        if age_ms == 0 {
            return;
        }
        let at = now - Duration::from_millis(u64::from(age_ms - 1));
        self.answered_any = self.answered_any.max(Some(at));
    }

    /// Takes in a failure: the next read waits longer, with jitter, so that the instances do not
    /// all come back at once when the platform does.
    pub fn failed(&mut self, now: Instant, timing: Timing, random: &mut Random) -> Failure {
        self.open = false;
        self.tried = true;
        let half = timing.pause(self.failures) / 2;
        self.failures = self.failures.saturating_add(1);
        let pause = half + jitter(half, random);
        self.not_before = now + pause;
        Failure { failures: self.failures, waited: now.since(self.started), pause }
    }

    /// Takes in that a peer's digest came.
    pub fn heard_digest(&mut self, now: Instant) {
        self.digest_seen = now;
    }

    /// Forgets silences that a suspension of the process explains.
    pub fn resumed(&mut self, now: Instant) {
        self.digest_seen = now;
    }

    /// When no digest came for long: this instance may be cut from all readers.
    fn is_cut_off(&self, now: Instant, digest: Duration) -> bool {
        now >= self.cut_off_at(digest)
    }

    fn cut_off_at(&self, digest: Duration) -> Instant {
        self.digest_seen + digest * SILENT_DIGESTS + self.spread
    }

    /// When this instance asks in place of the readers, who get no answers.
    fn stands_in_at(&self, place: Place, timing: Timing) -> Option<Instant> {
        Some(self.answered_any? + place.stands_in_after(timing)?)
    }

    /// The read to start now, if any, by an instance with this place.
    pub fn poll(
        &mut self,
        now: Instant,
        place: Place,
        timing: Timing,
        random: &mut Random,
    ) -> Option<Read> {
        let reader = place.is_reader();
        self.elect(now, reader, timing, random);
        let stands_in = self.stands_in_at(place, timing).is_some_and(|at| now >= at);
        let wants = reader || !self.tried || stands_in || self.is_cut_off(now, timing.digest);
        if self.open || !wants || now < self.not_before {
            return None;
        }
        self.open = true;
        self.started = now;
        // While the platform is silent the answer of a read may be lost, and a read that waits for
        // news would be found out only after its wait: for that time nobody would ask the platform,
        // though it is back.
        let watches = reader && !self.urgent && !self.is_failing();
        let wait = if watches { timing.watch() } else { Duration::ZERO };
        if !reader {
            self.digest_seen = now;
        }
        Some(Read { after: self.cursor, wait, patience: timing.patience() })
    }

    /// Waits a little when the rule first chooses this instance: after the loss of many readers,
    /// their successors do not all ask at once.
    fn elect(&mut self, now: Instant, reader: bool, timing: Timing, random: &mut Random) {
        let elected = reader && !self.chosen;
        self.chosen = reader;
        if elected && self.tried {
            self.not_before = self.not_before.max(now + jitter(timing.pause(0), random));
        }
    }

    /// When [`Reader::poll`] may next start a read.
    pub fn next_wake(&self, place: Place, timing: Timing) -> Option<Instant> {
        if self.open {
            return None;
        }
        if place.is_reader() || !self.tried {
            return Some(self.not_before);
        }
        let cut_off = self.cut_off_at(timing.digest);
        let next = self.stands_in_at(place, timing).map_or(cut_off, |at| at.min(cut_off));
        Some(next.max(self.not_before))
    }
}

/// Time spans that the reader needs.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between digests of a peer.
    pub digest: Duration,
    /// From the moment at which the platform can be reached, until this instance has heard from it
    /// and told its peers.
    ///
    /// The answer to an open watch may be lost without a trace, by the platform or by a connection that
    /// has gone silent. So a watch, the patience for its answer and the pause after it take three
    /// quarters of this together, and the rest is left for the next answer and its spread.
    pub contact: Duration,
}

impl Timing {
    /// How long a watch may wait.
    fn watch(self) -> Duration {
        self.contact * 3 / 8
    }

    /// How long the answer may take beyond that.
    fn patience(self) -> Duration {
        self.contact / 4
    }

    /// Longest pause after a failed read that follows `failures` others.
    fn pause(self, failures: u32) -> Duration {
        if failures == 0 { self.contact / 8 } else { self.contact / 4 }
    }
}

fn jitter(longest: Duration, random: &mut Random) -> Duration {
    Duration::from_micros(random.below(micros(longest) + 1))
}
