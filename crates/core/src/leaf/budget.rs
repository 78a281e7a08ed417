//! Extra calls (retries and hedges) that a service may spend.

/// Thousandths of an extra call.
const CALL: u32 = 1000;

/// Extra calls that only retries may spend.
///
/// A server that turns slow before it dies lets the second copies of its calls spend everything;
/// the calls that die with it could then not be repeated, and their shards would be missing although
/// another replica had them. No more calls die with a server than it has slots: two at the sweeps'
/// services.
const RESERVE: u32 = 2 * CALL;

/// Tokens earned by first calls and spent by extra calls.
///
/// In overload every call is slow and would be copied or repeated; the extra calls would then make
/// the overload worse. Tokens bound them to a share of the first calls.
#[derive(Clone, Debug)]
pub(super) struct Budget {
    /// Thousandths of an extra call.
    tokens: u32,
}

impl Budget {
    /// What a service starts with: the retries' part, so that it can stand the loss of a server
    /// before its calls have earned any, and nothing where the catalogue allows no extra calls.
    pub(super) fn new(extra_percent: u32) -> Self {
        let tokens = if extra_percent == 0 { 0 } else { RESERVE };
        Self { tokens }
    }

    /// Earns what one first call allows; no more than `most` calls are saved up.
    pub(super) fn earn(&mut self, extra_percent: u32, most: u32) {
        let earned = extra_percent * (CALL / 100);
        self.tokens = (self.tokens + earned).min(most.saturating_mul(CALL));
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
