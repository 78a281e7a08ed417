//! Extra calls (retries and hedges) that a service may spend.

use std::time::Duration;

use ladder_schema::catalogue::Limits;

use crate::control::hash;
use crate::time::Instant;

/// Thousandths of an extra call.
const CALL: u32 = 1000;

/// Extra calls that may be saved up where the entry does not say, so that a quiet hour does not pay
/// for a burst.
const BURST: u32 = 10;

/// Extra calls that only retries may spend.
///
/// A server that turns slow before it dies lets the second copies of its calls spend everything;
/// the calls that die with it could then not be repeated, and their shards would be missing although
/// another replica had them. No more calls die with a server than it has slots: two at the sweeps'
/// services.
const RESERVE: u32 = 2 * CALL;

/// What one instance may spend of what the fleet may.
///
/// Over all sharers, what is saved up and what comes back with time in one window are the fleet's
/// burst at the most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Allowance {
    /// Thousandths of an extra call that one first call earns.
    per_call: u32,
    /// Thousandths that may be saved up.
    most: u32,
    /// Thousandths that come back in one window without first calls.
    per_window: u32,
    /// Zero: nothing comes back with time.
    window: Duration,
}

impl Allowance {
    /// The part of one of `sharers` instances; `names` are the service's and the instance's.
    ///
    /// Where the fleet's burst comes back with time, a sixth of it does. An instance that only hands
    /// its parts to the one that asks for all makes no first calls and so earned nothing: after the
    /// first two losses of an asker it refused the parts that it had to send again, for ever.
    pub(super) fn of(limits: &Limits, sharers: u32, names: [&str; 2]) -> Self {
        let sharers = sharers.max(1);
        let window = Duration::from_millis(limits.extra_window_ms.into());
        let per_call = limits.extra_percent * (CALL / 100);
        let Some(burst) = limits.extra_burst.checked_mul(CALL).filter(|&burst| burst > 0) else {
            return Self { per_call, most: BURST * CALL, ..Self::default() };
        };
        let timed = !window.is_zero() && per_call > 0;
        let per_window = if timed { burst / 6 / sharers } else { 0 };
        let most = rounded((burst / sharers).saturating_sub(per_window), names);
        Self { per_call, most, per_window, window }
    }

    /// Thousandths that come back in a span of time.
    fn within(&self, span: Duration) -> u32 {
        if self.window.is_zero() {
            return 0;
        }
        let share = span.as_secs_f64() / self.window.as_secs_f64();
        (f64::from(self.per_window) * share) as u32
    }
}

/// A number of thousandths as whole calls: up at as many instances as the fraction says.
///
/// A fleet larger than its burst would otherwise have none at all, as nobody's part pays for a call.
fn rounded(share: u32, names: [&str; 2]) -> u32 {
    let number = hash::of(&names.map(str::as_bytes)) % u64::from(CALL);
    let up = u64::from(share % CALL) > number;
    (share / CALL + u32::from(up)) * CALL
}

/// Tokens earned by first calls and with time, spent by extra calls.
///
/// In overload every call is slow and would be copied or repeated; the extra calls would then make
/// the overload worse. Tokens bound them to a share of the first calls.
#[derive(Clone, Debug)]
pub(super) struct Budget {
    /// Thousandths of an extra call.
    ///
    /// Invariant: never above what the allowance lets save up.
    tokens: u32,
    allowance: Allowance,
    /// Up to when time has been counted.
    counted: Instant,
}

impl Budget {
    /// What a service starts with: the retries' part, so that it can stand the loss of a server
    /// before its calls have earned any, and nothing where the catalogue allows no extra calls.
    pub(super) fn new(allowance: Allowance, now: Instant) -> Self {
        let tokens = if allowance.per_call == 0 { 0 } else { RESERVE.min(allowance.most) };
        Self { tokens, allowance, counted: now }
    }

    /// Another part of what the fleet may spend.
    pub(super) fn allow(&mut self, allowance: Allowance) {
        self.allowance = allowance;
        self.tokens = self.tokens.min(allowance.most);
    }

    /// Counts the time that has passed.
    pub(super) fn at(&mut self, now: Instant) -> &mut Self {
        let back = self.allowance.within(now.since(self.counted));
        // Less than a thousandth goes on counting.
        if back > 0 {
            self.counted = now;
            self.save(back);
        }
        self
    }

    /// Earns what one first call allows.
    pub(super) fn earn(&mut self) {
        self.save(self.allowance.per_call);
    }

    fn save(&mut self, tokens: u32) {
        self.tokens = self.tokens.saturating_add(tokens).min(self.allowance.most);
    }

    /// Whether a retry can be paid.
    fn affords(&self) -> bool {
        self.tokens >= CALL
    }

    /// Whether a second copy can be paid without touching what is kept for retries.
    pub(super) fn affords_copy(&self) -> bool {
        self.tokens >= RESERVE + CALL
    }

    /// Pays for an extra call; `false` when the tokens do not suffice.
    pub(super) fn spend(&mut self) -> bool {
        let paid = self.affords();
        if paid {
            self.tokens -= CALL;
        }
        paid
    }

    /// Whole extra calls saved up.
    pub(super) fn calls(&self) -> u32 {
        self.tokens / CALL
    }
}
