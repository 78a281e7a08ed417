//! Estimates how long frames lay in buffers, without synchronised clocks.

use std::sync::Arc;

use crate::collections::Map;
use crate::time::Instant;

/// Senders remembered; the table is emptied when it would grow beyond.
const SENDERS: usize = 8192;

/// The smallest difference of clocks seen from one incarnation of a sender.
#[derive(Clone, Copy, Debug)]
struct Gauge {
    incarnation: u64,
    /// Receiver's clock minus sender's clock for the fastest frame so far, in microseconds.
    ///
    /// Invariant: never rises while the incarnation stays.
    offset: i64,
}

/// Gauges of all senders.
///
/// The clocks of two processes have different origins, but the difference between them is constant
/// while both live. The fastest frame shows that difference plus the shortest way; any frame that
/// shows more has lain in buffers for the excess. The first frame of an incarnation has nothing to
/// compare with and counts as fresh.
#[derive(Clone, Debug, Default)]
pub struct Gauges {
    senders: Map<Arc<str>, Gauge>,
}

impl Gauges {
    /// Microseconds that a frame sent at `sent_us` of the sender's clock lay in buffers.
    pub fn age(&mut self, sender: Arc<str>, incarnation: u64, sent_us: u64, now: Instant) -> u64 {
        let offset = signed(now.as_micros()).saturating_sub(signed(sent_us));
        if self.senders.len() >= SENDERS && !self.senders.contains_key(&sender) {
            self.senders.clear();
        }
        let gauge = self.senders.entry(sender).or_insert(Gauge { incarnation, offset });
        if gauge.incarnation != incarnation {
            *gauge = Gauge { incarnation, offset };
        }
        gauge.offset = gauge.offset.min(offset);
        offset.saturating_sub(gauge.offset).unsigned_abs()
    }
}

/// `value` as a signed number, capped.
fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
