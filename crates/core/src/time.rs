//! Points in time in the core.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time: microseconds since an origin that the shell selects once per process.
///
/// The shell reads a clock that continues while the process or the machine is suspended, so that a
/// process pause appears as a gap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// Creates a point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a point `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`; zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }
}

/// Whole milliseconds of `span`, capped at `u32::MAX`.
pub(crate) fn whole_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// Whole microseconds of `span`, capped at `u64::MAX`.
pub fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
