//! Crashes that are attributed to no request, because several requests may have caused them.

use std::time::Duration;

use super::{Incarnation, Quarantine};
use crate::collections::{Map, Set};
use crate::fingerprint::Fingerprint;
use crate::time::Instant;

/// Maximum number of rivals listed for one request.
const MAX_RIVALS: usize = 4;

/// A request that may have crashed enough servers to be quarantined, and is not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Undecided {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Servers that crashed while the request was open there.
    ///
    /// Invariant: sorted, without duplicates.
    pub incarnations: Vec<Incarnation>,
    /// Other uncleared requests at these crashes, each with the number of these crashes at which it
    /// was, the most frequent first; at most [`MAX_RIVALS`].
    pub rivals: Vec<(Fingerprint, usize)>,
}

/// The crashes at which a request was, uncleared.
#[derive(Clone, Copy, Debug)]
pub(super) struct SuspectCrashes {
    pub(super) count: usize,
    /// Time of the last of them.
    pub(super) last: Instant,
}

/// Number and age of the crashes that are attributed to no request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UndecidedCrashes {
    /// Number of the crashes.
    pub count: usize,
    /// Time since the oldest of them; zero without any.
    pub max_age: Duration,
}

impl Quarantine {
    /// The crashes at which some request is not cleared and none is quarantined.
    pub(in crate::control) fn undecided_crashes(&self, now: Instant) -> UndecidedCrashes {
        let is_quarantined = |request: &Fingerprint| self.view.refused.contains(request);
        let unrefuted = self.crashes.values().filter(|crash| !crash.refuted);
        let ages = unrefuted.filter_map(|crash| {
            let mut suspects = self.suspects(crash).peekable();
            suspects.peek()?;
            (!suspects.any(is_quarantined)).then_some(now.since(crash.at))
        });
        ages.fold(UndecidedCrashes::default(), |all, age| UndecidedCrashes {
            count: all.count + 1,
            max_age: all.max_age.max(age),
        })
    }

    /// The undecided requests, ordered by fingerprint.
    pub(in crate::control) fn undecided(&self) -> Vec<Undecided> {
        let requests = self.undecided_requests().into_iter();
        let mut undecided: Vec<Undecided> =
            requests.map(|request| self.undecided_request(request)).collect();
        undecided.sort_unstable_by_key(|undecided| undecided.request);
        undecided
    }

    /// Removes and returns the requests that have become undecided since the last call.
    pub(in crate::control) fn take_undecided(&mut self) -> Vec<Undecided> {
        let all = self.undecided_requests();
        let known = std::mem::replace(&mut self.known_undecided, all);
        let mut new: Vec<Fingerprint> = self.known_undecided.difference(&known).copied().collect();
        new.sort_unstable();
        new.into_iter().map(|request| self.undecided_request(request)).collect()
    }

    /// The requests at enough crashes that are not quarantined: those on trial that are not refused.
    fn undecided_requests(&self) -> Set<Fingerprint> {
        let on_trial = self.view.trials.keys();
        on_trial.filter(|request| !self.view.refused.contains(request)).copied().collect()
    }

    /// The crashes at which each uncleared request was.
    pub(super) fn crashes_by_suspect(&self) -> Map<Fingerprint, SuspectCrashes> {
        let mut by_suspect: Map<Fingerprint, SuspectCrashes> = Map::default();
        for crash in self.crashes.values().filter(|crash| !crash.refuted) {
            for request in self.suspects(crash) {
                let none = SuspectCrashes { count: 0, last: crash.at };
                let crashes = by_suspect.entry(*request).or_insert(none);
                crashes.count += 1;
                crashes.last = crashes.last.max(crash.at);
            }
        }
        by_suspect
    }

    /// The servers that crashed while an uncleared request was open there, sorted.
    pub(super) fn crashes_of(&self, request: Fingerprint) -> Vec<Incarnation> {
        let unrefuted = self.crashes.iter().filter(|(_, crash)| !crash.refuted);
        let own =
            unrefuted.filter(|(_, crash)| self.suspects(crash).any(|other| *other == request));
        let mut incarnations: Vec<_> = own.map(|(incarnation, _)| incarnation.clone()).collect();
        incarnations.sort_unstable();
        incarnations
    }

    fn undecided_request(&self, request: Fingerprint) -> Undecided {
        let incarnations = self.crashes_of(request);
        let mut counts: Map<Fingerprint, usize> = Map::default();
        let crashes = incarnations.iter().filter_map(|incarnation| self.crashes.get(incarnation));
        let at_crashes: Vec<Set<&Fingerprint>> =
            crashes.map(|crash| self.suspects(crash).collect()).collect();
        for other in at_crashes.iter().flatten().filter(|other| ***other != request) {
            *counts.entry(**other).or_default() += 1;
        }
        let mut rivals: Vec<(Fingerprint, usize)> = counts.into_iter().collect();
        rivals.sort_unstable_by_key(|&(other, count)| (std::cmp::Reverse(count), other));
        rivals.truncate(MAX_RIVALS);
        Undecided { request, incarnations, rivals }
    }
}
