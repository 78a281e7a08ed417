//! What the core asks the shell to count.

use ladder_schema::outcome::Reason;

/// What happened to a request, call, answer, frame or record, for `reason`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Event {
    /// A caller's request or a portion of it was refused.
    Refusal,
    /// A repeatable request was sent again.
    Retry,
    /// A second copy was sent while the first is open.
    Hedge,
    /// A message was dropped.
    Drop,
}

/// One step of a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Count {
    /// What happened.
    pub event: Event,
    /// Why.
    pub reason: Reason,
}
