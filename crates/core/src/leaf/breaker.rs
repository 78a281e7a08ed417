//! Circuit breaker of a server after a call has lost its connection, or after a connection was
//! refused.
//!
//! If the server's process has terminated, all of its connections have ended, but the ends are
//! reported one after the other, in up to some hundred milliseconds. Each call on one of the
//! remaining connections would be lost as well, and the retries of all these calls would exceed the
//! budget of the service. A connection that opens meanwhile proves nothing: the server may have
//! accepted it before its process terminated.

use std::time::Duration;

use super::connection::Connection;
use super::event::AttemptKey;
use crate::time::Instant;

/// First pause after a lost call.
const MIN_PAUSE: Duration = Duration::from_millis(5);
/// Longest pause after lost calls; each trial call that is lost doubles the pause.
const MAX_PAUSE: Duration = Duration::from_millis(80);
/// Pause after a refused connection, as no process listens at the server's address, and while the
/// loss of a trial call could not be made up for.
const LONG_PAUSE: Duration = Duration::from_secs(1);
/// A connection that has stayed open for this time since it was opened after the break, or since a
/// call was sent on it, works.
const PROVING_TIME: Duration = Duration::from_millis(250);

/// Whether a server may get calls after one of its connections broke.
///
/// After a pause one call at a time is admitted (half-open) until a response shows that the server's
/// process still runs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Breaker(Option<Open>);

#[derive(Clone, Copy, Debug)]
struct Open {
    /// When the latest connection broke or was refused.
    since: Instant,
    pause: Duration,
    /// Latest call since then.
    trial: Option<Trial>,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    call: AttemptKey,
    sent: Instant,
}

impl Breaker {
    /// Whether a connection has broken or was refused, and nothing has shown since that the server
    /// still runs.
    pub(super) const fn is_open(&self) -> bool {
        self.0.is_some()
    }

    /// Records that a call has lost its connection. `is_only` tells whether no other call was open at
    /// the server. Returns when the next call is admitted, if its loss can be made up for and if not.
    pub(super) fn trip(&mut self, now: Instant, lost: AttemptKey, is_only: bool) -> [Instant; 2] {
        let pause = match self.0 {
            None if is_only => Duration::ZERO,
            None => MIN_PAUSE,
            Some(open) if open.trial.is_some_and(|trial| trial.call == lost) => {
                (open.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE).max(open.pause)
            }
            Some(open) => open.pause,
        };
        let trial = self.0.and_then(|open| open.trial);
        self.0 = Some(Open { since: now, pause, trial });
        [now + pause, now + LONG_PAUSE]
    }

    /// Records that the server has refused a connection. Returns when the next call is admitted.
    pub(super) fn refuse(&mut self, now: Instant) -> Instant {
        self.0 = Some(Open { since: now, pause: LONG_PAUSE, trial: None });
        now + LONG_PAUSE
    }

    /// Records that the server has responded.
    pub(super) const fn close(&mut self) {
        self.0 = None;
    }

    /// Whether a call may use a connection. `may_lose` tells whether the loss of a trial call can be
    /// made up for, and `is_open` whether an earlier call is still open.
    pub(super) fn admits(
        &self,
        now: Instant,
        connection: &Connection,
        may_lose: bool,
        is_open: impl Fn(AttemptKey) -> bool,
    ) -> bool {
        let Some(open) = self.0 else {
            return true;
        };
        let is_proven = !connection.in_doubt && now >= connection.since + PROVING_TIME;
        if is_proven && may_lose {
            return true;
        }
        let pause = match (may_lose, connection.in_doubt) {
            (true, false) => Duration::ZERO,
            (true, true) => open.pause,
            (false, _) => LONG_PAUSE,
        };
        let keeps_back = |trial: Trial| is_open(trial.call) && now < trial.sent + PROVING_TIME;
        now >= open.since + pause && !open.trial.is_some_and(keeps_back)
    }

    /// Records that a call was sent. Returns when the next one is admitted at the latest.
    pub(super) fn call_sent(&mut self, now: Instant, call: AttemptKey) -> Option<Instant> {
        let open = self.0.as_mut()?;
        open.trial = Some(Trial { call, sent: now });
        Some(now + PROVING_TIME)
    }

    /// Records that a connection has opened. Returns when it counts as working, if the server is in
    /// doubt.
    pub(super) fn connection_opened(&self, now: Instant) -> Option<Instant> {
        self.0.map(|_| now + PROVING_TIME)
    }
}
