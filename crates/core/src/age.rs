//! Estimates how long frames waited in buffers, without synchronised clocks.

use std::sync::Arc;

use crate::collections::Map;
use crate::time::Instant;

/// Maximum number of senders in the table; the table is cleared when one more would be added.
const MAX_SENDERS: usize = 8192;

/// Smallest observed clock difference to one incarnation of a sender.
#[derive(Clone, Copy, Debug)]
struct ClockDifference {
    incarnation: u64,
    /// Receiver's clock minus sender's clock for the fastest frame so far, in microseconds.
    ///
    /// Invariant: never increases while the incarnation stays the same.
    difference_us: i64,
}

/// Clock differences to all senders, for estimating the age of received frames.
///
/// The clocks of two processes have different origins, but their difference is constant while both
/// processes live. The fastest frame shows that difference plus the shortest transfer time; a frame
/// that shows more has waited in buffers for the excess. The first frame of an incarnation can't be
/// compared with another one and counts as fresh.
#[derive(Clone, Debug, Default)]
pub struct ClockOffsets {
    senders: Map<Arc<str>, ClockDifference>,
}

impl ClockOffsets {
    /// Time in microseconds that a frame waited in buffers; `sent_us` is the sender's clock at
    /// sending.
    pub fn age(&mut self, sender: Arc<str>, incarnation: u64, sent_us: u64, now: Instant) -> u64 {
        let difference_us = to_signed(now.as_micros()).saturating_sub(to_signed(sent_us));
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&sender) {
            self.senders.clear();
        }
        let known =
            self.senders.entry(sender).or_insert(ClockDifference { incarnation, difference_us });
        if known.incarnation != incarnation {
            *known = ClockDifference { incarnation, difference_us };
        }
        known.difference_us = known.difference_us.min(difference_us);
        difference_us.saturating_sub(known.difference_us).unsigned_abs()
    }
}

/// Converts `value` to a signed number, capped at the maximum.
fn to_signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
