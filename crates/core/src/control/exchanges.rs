//! Limits the exchange of records with peers whose records stay different.
//!
//! A peer whose build refuses a record that this one accepts, or the other way round, differs after
//! every exchange. Without a limit, both would send each other the same records at each digest.

use std::time::Duration;

use crate::time::Instant;

/// Number of exchanges over one difference before the pauses begin, so that lost frames are sent
/// again at once.
const UNDELAYED_EXCHANGES: u32 = 4;
/// Pause after the last undelayed exchange; each further pause is twice as long.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Maximum number of differences that are remembered; beyond it the oldest one is dropped.
const MAX_DIFFERENCES: usize = 16;

/// The records of a peer and of this instance, as hashes over all of them. Peers that have the same
/// records count as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Difference {
    /// Hash of the peer's records.
    pub(super) peer: u64,
    /// Hash of this instance's records.
    pub(super) own: u64,
}

/// The latest exchanges of records with peers.
#[derive(Clone, Debug, Default)]
pub(super) struct Exchanges(Vec<Exchange>);

#[derive(Clone, Copy, Debug)]
struct Exchange {
    difference: Difference,
    count: u32,
    last_at: Instant,
}

impl Exchange {
    /// When the next exchange over the same difference may begin.
    fn next_at(&self) -> Instant {
        match self.count.checked_sub(UNDELAYED_EXCHANGES) {
            None => self.last_at,
            Some(doublings) => {
                self.last_at + (FIRST_PAUSE * (1 << doublings.min(6))).min(MAX_PAUSE)
            }
        }
    }
}

impl Exchanges {
    /// Notes an exchange over a difference, unless it must wait. Returns whether it may begin.
    pub(super) fn begin(&mut self, now: Instant, difference: Difference) -> bool {
        let known = self.0.iter_mut().find(|exchange| exchange.difference == difference);
        if let Some(exchange) = known {
            let may_begin = now >= exchange.next_at();
            if may_begin {
                exchange.count += 1;
                exchange.last_at = now;
            }
            return may_begin;
        }
        self.0.push(Exchange { difference, count: 1, last_at: now });
        if self.0.len() > MAX_DIFFERENCES {
            self.drop_oldest();
        }
        true
    }

    fn drop_oldest(&mut self) {
        let ages = self.0.iter().map(|exchange| exchange.last_at).enumerate();
        if let Some((oldest, _)) = ages.min_by_key(|(_, last_at)| *last_at) {
            self.0.swap_remove(oldest);
        }
    }
}
