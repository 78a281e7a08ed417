//! Trials: single calls of requests that may crash servers, which show whether they do.

use std::time::Duration;

use super::{Entry, MIN_CRASHES, Quarantine, Standing};
use crate::collections::Map;
use crate::control::hash;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use crate::view::Trial;

/// Time from a crash under a trial to the next trial, after the first failed trial.
const FIRST_RETRIAL_DELAY: Duration = Duration::from_secs(60);
/// The same after each further one.
const RETRIAL_DELAY: Duration = Duration::from_secs(5 * 60);

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
        let rank = |hash: u64| hash::mix(hash ^ request.0 as u64);
        let own = rank(self.own_hash);
        let before = self.peer_hashes.iter().filter(|hash| rank(**hash) < own).count();
        (before as u32, self.peer_hashes.len() as u32 + 1)
    }
}
