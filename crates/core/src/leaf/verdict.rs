//! Decides whether a call may have run at its target server. No other module makes this decision.

use ladder_schema::outcome::{Reason, Verdict};

use super::event::Outcome;

/// Returns whether a call with this outcome may have run at its server.
///
/// Every retry and every reply relies on this function alone.
pub(super) fn of(outcome: &Outcome) -> Verdict {
    match outcome {
        Outcome::Answer(_) => Verdict::Ran,
        Outcome::Refusal(_) | Outcome::Unsent => Verdict::NotRun,
        Outcome::Error | Outcome::Lost => Verdict::MayHaveRun,
    }
}

/// Returns why a call with this outcome gave no answer. `timed_out` is `true` if the call used up
/// its timeout.
pub(super) fn reason(outcome: &Outcome, timed_out: bool) -> Reason {
    match outcome {
        Outcome::Answer(_) => Reason::Unspecified,
        Outcome::Refusal(refusal) => refusal_reason(refusal.reason()),
        Outcome::Error => Reason::TargetError,
        Outcome::Lost if timed_out => Reason::TargetTimeout,
        Outcome::Lost => Reason::TargetLost,
        Outcome::Unsent => Reason::ConnectFailed,
    }
}

/// Maps the reason of a refusal by a server. A reason that the schema does not allow in a refusal
/// counts as load shedding.
///
/// No one cancelled a call whose answer is still awaited: a server that refuses it as cancelled
/// dropped it because of the timeout in the request. If the reason were passed on unchanged, the
/// caller would be told of a cancellation, and the record of the request key would state a
/// withdrawal by the entry instance.
fn refusal_reason(reason: Reason) -> Reason {
    match reason {
        Reason::TargetLeaving | Reason::VersionRetired => reason,
        Reason::Cancelled => Reason::TargetTimeout,
        _ => Reason::TargetShed,
    }
}
