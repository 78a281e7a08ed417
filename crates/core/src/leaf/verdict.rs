//! The one place that decides whether a call may have run at the target.

use ladder_schema::outcome::{Reason, Verdict};

use super::event::Outcome;

/// Whether a call that ended like this may have run.
///
/// Every retry and every reply asks this function and nothing else.
pub(super) fn of(outcome: &Outcome) -> Verdict {
    match outcome {
        Outcome::Answer(_) => Verdict::Ran,
        Outcome::Refusal(_) | Outcome::Unsent => Verdict::NotRun,
        Outcome::Error | Outcome::Lost => Verdict::MayHaveRun,
    }
}

/// Why a call that ended like this gave no answer; `timed_out` when it used up its timeout.
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

/// Reads a target's reason; one that the schema does not allow here counts as shedding.
///
/// Nobody cancelled what is still waited for: a target that says so gave it up because of the
/// timeout it was told. Passed on as it is, the reason would tell the caller of a cancellation, and
/// the record of its key of a withdrawal by the entry.
fn refusal_reason(reason: Reason) -> Reason {
    match reason {
        Reason::TargetLeaving | Reason::VersionRetired => reason,
        Reason::Cancelled => Reason::TargetTimeout,
        _ => Reason::TargetShed,
    }
}
