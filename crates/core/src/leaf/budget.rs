//! Budget of the extra calls (retries and hedges) of a service.

use std::time::Duration;

use ladder_schema::catalogue::Limits;

use crate::control::placement::LimitPart;
use crate::time::Instant;

/// Number of budget tokens that one extra call costs; a token is a thousandth of an extra call.
const TOKENS_PER_CALL: u32 = 1000;

/// Maximum number of saved-up extra calls where the catalogue entry sets none, so that a quiet hour
/// does not pay for a burst.
const DEFAULT_BURST_CALLS: u32 = 10;

/// Tokens that only retries may spend: two extra calls.
///
/// A server that slows down before it crashes could let the hedges of its calls spend all tokens.
/// The calls lost in the crash could then not be retried, and their shards would be missing
/// although another replica has them. At most as many calls are lost with a server as it has slots:
/// two at the services of the sweeps.
const RETRY_RESERVE: u32 = 2 * TOKENS_PER_CALL;

/// Fraction of the fleet's burst that is shared among the instances. The rest allows for instances
/// that know fewer instances than there are, as they started behind a network partition.
const SHARED_FRACTION: f64 = 0.75;
/// Fraction of what is shared that is refilled in one window instead of saved up.
const REFILLED_FRACTION: f64 = 0.25;

/// Share of one instance in the extra calls of the whole fleet.
///
/// Invariant: where the catalogue sets a burst for the fleet, the extra calls saved up by all
/// processes and those refilled with time in one window are at most that burst.
///
/// The allowance holds for the sum over all processes that run in a window, however often they
/// start: what is spent in a window was saved up at its start by a process that ran then, refilled
/// with time, or earned by first calls within the window. A process therefore starts with nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Allowance {
    /// Tokens that one first call earns.
    earned_per_call: u32,
    /// Maximum number of saved-up tokens.
    max_tokens: u32,
    /// Tokens at the start of the process, or of the service.
    initial_tokens: u32,
    /// Tokens refilled in one window, independent of first calls.
    refill_per_window: u32,
    /// Length of the refill window; zero if no tokens are refilled with time.
    window: Duration,
}

impl Allowance {
    /// Returns the share of an instance with this part of the limits of the service `name`.
    ///
    /// Where the catalogue sets a refill window, a quarter of what is shared is refilled per
    /// window. An instance that only hands its portions to the owner, which sends for all
    /// instances, makes no first calls and earns no tokens. Without the refill, it would refuse
    /// every portion that it has to send again after the first two losses of an owner.
    pub(super) fn of(limits: &Limits, part: LimitPart, name: &str) -> Self {
        let window = Duration::from_millis(limits.extra_window_ms.into());
        let earned_per_call = limits.extra_percent * (TOKENS_PER_CALL / 100);
        if limits.extra_burst == 0 {
            return Self {
                earned_per_call,
                max_tokens: DEFAULT_BURST_CALLS * TOKENS_PER_CALL,
                initial_tokens: if earned_per_call == 0 { 0 } else { RETRY_RESERVE },
                ..Self::default()
            };
        }
        let shared_calls = f64::from(limits.extra_burst) * SHARED_FRACTION;
        let has_refill = !window.is_zero() && earned_per_call > 0;
        let refilled_calls = if has_refill { shared_calls * REFILLED_FRACTION } else { 0.0 };
        let saved_calls = part.of_whole(shared_calls - refilled_calls, name);
        Self {
            earned_per_call,
            max_tokens: saved_calls.saturating_mul(TOKENS_PER_CALL),
            initial_tokens: 0,
            refill_per_window: (part.of(refilled_calls) * f64::from(TOKENS_PER_CALL)) as u32,
            window,
        }
    }

    /// Tokens refilled in a span of time.
    fn refill_within(&self, span: Duration) -> u32 {
        if self.window.is_zero() {
            return 0;
        }
        let windows = span.as_secs_f64() / self.window.as_secs_f64();
        (f64::from(self.refill_per_window) * windows) as u32
    }
}

/// What a budget has recorded since its service became known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of first calls, which earn tokens.
    pub first_calls: u64,
    /// Number of extra calls that were paid for.
    pub extra_calls: u64,
    /// Number of extra calls that were refused for lack of tokens.
    pub refused: u64,
}

/// Tokens of one service: earned by first calls and refilled with time, spent by extra calls.
///
/// In overload every call is slow and would be hedged or retried, and the extra calls would make
/// the overload worse. The tokens limit extra calls to a share of the first calls.
#[derive(Clone, Debug)]
pub(super) struct Budget {
    /// Tokens available now, in thousandths of an extra call.
    ///
    /// Invariant: never above the maximum of the allowance.
    tokens: u32,
    allowance: Allowance,
    /// Time up to which the refill has been added.
    refilled_until: Instant,
    usage: Usage,
}

impl Budget {
    /// Creates the initial budget of a service.
    ///
    /// Where the catalogue sets no burst for the fleet, it has the tokens reserved for retries, so
    /// that the service can retry after the loss of a server before its calls have earned any.
    pub(super) fn new(allowance: Allowance, now: Instant) -> Self {
        Self {
            tokens: allowance.initial_tokens,
            allowance,
            refilled_until: now,
            usage: Usage::default(),
        }
    }

    /// Replaces the share of this instance in the extra calls of the fleet.
    pub(super) fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
        self.tokens = self.tokens.min(allowance.max_tokens);
    }

    /// Adds the tokens refilled since the last refill.
    pub(super) fn refill(&mut self, now: Instant) -> &mut Self {
        let refill_tokens = self.allowance.refill_within(now.since(self.refilled_until));
        // Time that yields less than one token is counted at the next refill.
        if refill_tokens > 0 {
            self.refilled_until = now;
            self.add_tokens(refill_tokens);
        }
        self
    }

    /// Adds the tokens that one first call earns.
    pub(super) fn earn_for_call(&mut self) {
        self.usage.first_calls += 1;
        self.add_tokens(self.allowance.earned_per_call);
    }

    /// Adds tokens, up to the maximum of the allowance.
    fn add_tokens(&mut self, tokens: u32) {
        self.tokens = self.tokens.saturating_add(tokens).min(self.allowance.max_tokens);
    }

    /// Whether the tokens suffice for so many retries.
    pub(super) fn affords_retries(&self, count: usize) -> bool {
        self.calls() as usize >= count
    }

    /// Whether the tokens suffice for a hedge without spending those reserved for retries.
    pub(super) fn affords_hedge(&self) -> bool {
        self.tokens >= RETRY_RESERVE + TOKENS_PER_CALL
    }

    /// Spends the tokens of one extra call; returns `false` if there are too few.
    pub(super) fn spend(&mut self) -> bool {
        let affordable = self.affords_retries(1);
        if affordable {
            self.tokens -= TOKENS_PER_CALL;
            self.usage.extra_calls += 1;
        } else {
            self.usage.refused += 1;
        }
        affordable
    }

    /// What was recorded so far.
    pub(super) const fn usage(&self) -> Usage {
        self.usage
    }

    /// Number of whole extra calls that the saved-up tokens pay for at most.
    pub(super) const fn max_calls(&self) -> u32 {
        self.allowance.max_tokens / TOKENS_PER_CALL
    }

    /// Number of whole extra calls that the saved-up tokens pay for.
    pub(super) fn calls(&self) -> u32 {
        self.tokens / TOKENS_PER_CALL
    }
}
