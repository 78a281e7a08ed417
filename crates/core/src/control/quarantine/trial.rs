//! Trials: single calls of requests that may crash servers, which show whether they do.

use std::time::Duration;

use super::{Entry, MIN_CRASHES, Quarantine, Standing};
use crate::collections::Map;
use crate::control::hash;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;

/// Time from a crash under a trial to the next trial, after the first failed trial.
const FIRST_RETRIAL_DELAY: Duration = Duration::from_secs(60);
/// The same after each further one.
const RETRIAL_DELAY: Duration = Duration::from_secs(5 * 60);

/// Length of the turn of one instance, of which it may begin a trial in the first half. The second
/// half is for the outcome to reach the other instances.
const TURN: Duration = Duration::from_secs(2);
/// Time after which any instance may begin a trial at any moment. A request that is not sent often
/// may never reach an instance in its turn.
const TURNS_END: Duration = Duration::from_secs(60);

/// When an instance may send a request that may crash servers, to find out whether it does. The
/// instances of the fleet take turns, so that few servers crash under the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Start of the first turn.
    pub start: Instant,
    /// Number of instances whose turn is before that of this instance.
    pub turn: u32,
    /// Number of instances.
    pub turns: u32,
}

impl Trial {
    /// Whether this instance may begin a trial.
    pub fn is_due(&self, now: Instant) -> bool {
        if now < self.start {
            return false;
        }
        let elapsed = now.since(self.start);
        let turn = elapsed.as_millis() / TURN.as_millis();
        let is_first_half = elapsed.as_millis() % TURN.as_millis() < TURN.as_millis() / 2;
        elapsed >= TURNS_END
            || (is_first_half && turn % u128::from(self.turns.max(1)) == u128::from(self.turn))
    }
}

impl Entry {
    /// Time from the last crash to the next trial of a quarantined request.
    pub(super) const fn trial_delay(&self) -> Duration {
        match self.failed_trials {
            0 => Duration::ZERO,
            1 => FIRST_RETRIAL_DELAY,
            _ => RETRIAL_DELAY,
        }
    }

    /// Whether a crash at this time is that of a trial that is not counted yet. Instances may try a
    /// request at the same time; their crashes are those of one trial.
    pub(super) fn is_new_trial(&self, crashed_at: Instant) -> bool {
        let since_last = crashed_at.since(self.crashed_at);
        let has_failed_before = self.standing == Standing::Quarantined && self.failed_trials > 0;
        !has_failed_before || since_last >= FIRST_RETRIAL_DELAY / 2
    }
}

impl Quarantine {
    /// Sets the names of the instances that may try requests: this one and those it can reach.
    pub(in crate::control) fn set_members<'a>(
        &mut self,
        own: &str,
        others: impl Iterator<Item = &'a str>,
    ) {
        let hash = |name: &str| hash::of(&[name.as_bytes()]);
        let peer_hashes: Vec<u64> = others.map(hash).collect();
        if self.own_hash != hash(own) || self.peer_hashes != peer_hashes {
            self.own_hash = hash(own);
            self.peer_hashes = peer_hashes;
            self.rebuild_view();
        }
    }

    /// The requests that were open alone among those on trial at a server that crashed, each with
    /// the time of the crash.
    pub(super) fn failed_trials(&self) -> Vec<(Fingerprint, Instant)> {
        let unrefuted = self.crashes.values().filter(|crash| !crash.refuted);
        let failed = unrefuted.filter_map(|crash| match crash.trials[..] {
            [request] => Some((request, crash.at)),
            _ => None,
        });
        let is_counted = |&(request, at): &(Fingerprint, Instant)| {
            let entry = self.entries.get(&request);
            entry.is_none_or(|entry| !entry.clears(at) && entry.is_new_trial(at))
        };
        let mut failed: Vec<_> = failed.filter(is_counted).collect();
        failed.sort_unstable();
        failed
    }

    /// When this instance may try each request that is quarantined, or that may have crashed enough
    /// servers to be.
    pub(super) fn trials(&self) -> Map<Fingerprint, Trial> {
        let crashes = self.crashes_by_suspect().into_iter();
        let enough = crashes.filter(|(_, crashes)| crashes.count >= MIN_CRASHES);
        let mut starts: Map<Fingerprint, Instant> =
            enough.map(|(request, crashes)| (request, crashes.last)).collect();
        let entries = self.entries.iter();
        for (request, entry) in entries.filter(|(_, entry)| entry.standing == Standing::Quarantined)
        {
            let first = entry.crashed_at + entry.trial_delay();
            let start = starts.entry(*request).or_default();
            *start = first.max(*start);
        }
        let trial = |(request, start)| {
            let (turn, turns) = self.turn(request);
            (request, Trial { start, turn, turns })
        };
        starts.into_iter().map(trial).collect()
    }

    /// Rank of this instance in the order in which the instances may try a request, and their
    /// number.
    fn turn(&self, request: Fingerprint) -> (u32, u32) {
        let bytes = request.bytes();
        let rank = |hash: u64| hash::of(&[&bytes, &hash.to_be_bytes()]);
        let own = rank(self.own_hash);
        let before = self.peer_hashes.iter().filter(|hash| rank(**hash) < own).count();
        (before as u32, self.peer_hashes.len() as u32 + 1)
    }
}
