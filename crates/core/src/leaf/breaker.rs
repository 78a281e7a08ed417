//! Circuit breaker of a server after a call has lost its connection beside other open calls, or
//! after a connection was refused.
//!
//! If the server's process has terminated, all of its connections have ended, but the ends are
//! reported one after the other, in up to some hundred milliseconds. Each call on one of the
//! remaining connections would be lost as well, and the retries of all these calls would exceed the
//! budget of the service.

use std::time::Duration;

use super::event::AttemptKey;
use crate::time::Instant;

/// Pause before the first call after a broken connection.
const MIN_PAUSE: Duration = Duration::from_millis(5);
/// Longest pause after lost calls; each trial call that is lost doubles the pause.
const MAX_PAUSE: Duration = Duration::from_millis(80);
/// Pause after a refused connection, as no process listens at the server's address, and while the
/// loss of a trial call could not be made up for.
const LONG_PAUSE: Duration = Duration::from_secs(1);

/// Whether calls may use the connections that were open when another one broke.
///
/// After a pause one call at a time is admitted (half-open) until a response or a new connection
/// shows that the server's process still runs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Breaker(Option<Open>);

#[derive(Clone, Copy, Debug)]
struct Open {
    /// When the latest connection broke or was refused.
    since: Instant,
    pause: Duration,
    /// Latest call on an older connection.
    trial: Option<AttemptKey>,
}

impl Breaker {
    /// Whether a connection has broken or was refused, and nothing has shown since that the server
    /// still runs.
    pub(super) const fn is_open(&self) -> bool {
        self.0.is_some()
    }

    /// Records that a call has lost its connection. Returns when the next call is admitted, if its loss
    /// can be made up for and if not.
    pub(super) fn trip(&mut self, now: Instant, lost: AttemptKey) -> [Instant; 2] {
        let pause = match self.0 {
            None => MIN_PAUSE,
            Some(open) if open.trial == Some(lost) => {
                (open.pause * 2).min(MAX_PAUSE).max(open.pause)
            }
            Some(open) => open.pause,
        };
        let trial = self.0.and_then(|open| open.trial);
        self.0 = Some(Open { since: now, pause, trial });
        [now + pause, now + LONG_PAUSE]
    }

    /// Records that the server has refused a connection. Returns when the next call is admitted.
    pub(super) fn refuse(&mut self, now: Instant) -> Instant {
        let trial = self.0.and_then(|open| open.trial);
        self.0 = Some(Open { since: now, pause: LONG_PAUSE, trial });
        now + LONG_PAUSE
    }

    /// Records that the server has responded or accepted a connection.
    pub(super) fn close(&mut self) {
        self.0 = None;
    }

    /// Whether a call may use a connection that is open since `connected_at`. `may_lose` tells whether
    /// the loss of a trial call can be made up for, and `is_open` whether an earlier call is still
    /// open.
    pub(super) fn admits(
        &self,
        now: Instant,
        connected_at: Instant,
        may_lose: bool,
        is_open: impl Fn(AttemptKey) -> bool,
    ) -> bool {
        self.0.is_none_or(|open| {
            let pause = if may_lose { open.pause } else { LONG_PAUSE };
            let may_try = now >= open.since + pause && !open.trial.is_some_and(is_open);
            connected_at > open.since || may_try
        })
    }

    /// Records a call on a connection that is open since `connected_at`.
    pub(super) fn call_sent(&mut self, call: AttemptKey, connected_at: Instant) {
        if let Some(open) = self.0.as_mut().filter(|open| connected_at <= open.since) {
            open.trial = Some(call);
        }
    }
}
