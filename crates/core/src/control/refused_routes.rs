//! How long versions of the routes have been refused.

use std::time::Duration;

use crate::time::Instant;

/// Interval between two reports while a version stays refused.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// Since when the newest version of the routes has been refused.
///
/// Requests follow an older version as long as this lasts, and nothing else shows it: the instance
/// is ready and its records are up to date.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RefusedRoutes(Option<Times>);

#[derive(Clone, Copy, Debug)]
struct Times {
    since: Instant,
    next_report_at: Instant,
}

impl RefusedRoutes {
    /// Takes over whether a version is refused now.
    pub(super) fn update(&mut self, now: Instant, is_refused: bool) {
        let first_times = Times { since: now, next_report_at: now + REPORT_INTERVAL };
        self.0 = is_refused.then(|| self.0.unwrap_or(first_times));
    }

    /// Time since the first of the refused versions; `None` if the newest version is in force.
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        self.0.map(|times| now.since(times.since))
    }

    /// When the refusal is to be reported again.
    pub(super) fn next_report(&self) -> Option<Instant> {
        self.0.map(|times| times.next_report_at)
    }

    /// Whether a report is due; the next one is then due after the interval.
    pub(super) fn take_report(&mut self, now: Instant) -> bool {
        let due = self.0.as_mut().filter(|times| now >= times.next_report_at);
        due.map(|times| times.next_report_at = now + REPORT_INTERVAL).is_some()
    }
}
