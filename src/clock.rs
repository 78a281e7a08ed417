//! The process's clock.

use ladder_core::time::Instant;
use rustix::time::{ClockId, clock_gettime};

/// Reads time since the clock was made.
///
/// It reads the boot-time clock, which goes on while the machine is suspended: a monotonic clock
/// that stood still would hide exactly the gap that the pause guard looks for.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: u64,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn new() -> Self {
        Self { origin: boot_micros() }
    }

    /// Time since the origin.
    pub fn now(&self) -> Instant {
        Instant::from_micros(boot_micros().saturating_sub(self.origin))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Microseconds since the machine started.
fn boot_micros() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanos / 1000
}

/// An incarnation for a process that starts now: no other process of its name has the same.
///
/// Microseconds since 1970. Later starts get higher ones unless the host's clock was set back;
/// peers order the lives of a name by their generations, which start from it.
pub fn incarnation() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(1, |since| u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}
