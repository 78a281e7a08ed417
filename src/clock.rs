//! The clock of the process.

use ladder_core::time::Instant;
use rustix::time::{ClockId, clock_gettime};

/// Reads the time since this clock was created.
///
/// It reads the boot-time clock, which advances while the machine is suspended. A monotonic clock
/// that stops during a suspension would hide the gap by which a driver detects a process pause.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin_us: u64,
}

impl Clock {
    /// Creates a clock whose origin is the current time.
    pub fn new() -> Self {
        Self { origin_us: boot_time_us() }
    }

    /// Returns the time since the origin of the clock.
    pub fn now(&self) -> Instant {
        Instant::from_micros(boot_time_us().saturating_sub(self.origin_us))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the microseconds since the machine booted.
fn boot_time_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanos / 1000
}

/// Returns the incarnation number of a process that starts now; no other process of the same
/// instance name has the same number.
///
/// The number is the time in microseconds since 1970. Later starts get higher numbers unless the
/// host's clock was set back. Peers order the incarnations of one name by their generations; the
/// first generation equals the incarnation.
pub fn incarnation() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(1, |since| u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}
