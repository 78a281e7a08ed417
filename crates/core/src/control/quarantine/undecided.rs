//! Crashes that are attributed to no request, because several requests may have caused them.

use std::time::Duration;

use super::{Incarnation, MIN_CRASHES, Quarantine, Standing};
use crate::collections::{Map, Set};
use crate::fingerprint::Fingerprint;
use crate::time::Instant;

/// Maximum number of rivals listed for one request.
const MAX_RIVALS: usize = 4;

/// A request that may have crashed at least [`MIN_CRASHES`] servers and is not quarantined.
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
        let is_undecided = |(request, incarnations): &(Fingerprint, Vec<Incarnation>)| {
            let standing = self.entries.get(request).map(|entry| entry.standing);
            incarnations.len() >= MIN_CRASHES && standing != Some(Standing::Quarantined)
        };
        let crashes = self.crashes_by_suspect().into_iter().filter(is_undecided);
        let undecided =
            crashes.map(|(request, incarnations)| self.undecided_request(request, incarnations));
        let mut undecided: Vec<Undecided> = undecided.collect();
        undecided.sort_unstable_by_key(|undecided| undecided.request);
        undecided
    }

    /// Removes and returns the requests that have become undecided since the last call.
    pub(in crate::control) fn take_undecided(&mut self) -> Vec<Undecided> {
        let mut undecided = self.undecided();
        let all = undecided.iter().map(|undecided| undecided.request).collect();
        let known = std::mem::replace(&mut self.known_undecided, all);
        undecided.retain(|undecided| !known.contains(&undecided.request));
        undecided
    }

    /// The servers that crashed while each uncleared request was open there.
    pub(super) fn crashes_by_suspect(&self) -> Map<Fingerprint, Vec<Incarnation>> {
        let mut by_suspect: Map<Fingerprint, Vec<Incarnation>> = Map::default();
        for (incarnation, crash) in self.crashes.iter().filter(|(_, crash)| !crash.refuted) {
            for request in self.suspects(crash) {
                by_suspect.entry(*request).or_default().push(incarnation.clone());
            }
        }
        by_suspect.values_mut().for_each(|incarnations| incarnations.sort_unstable());
        by_suspect
    }

    fn undecided_request(&self, request: Fingerprint, incarnations: Vec<Incarnation>) -> Undecided {
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
