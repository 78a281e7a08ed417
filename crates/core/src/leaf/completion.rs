//! Decides what the end of a call proves about whether its request crashes servers. No other module
//! makes this decision.

use super::event::Outcome;

/// What the end of a call proves about its request, by decreasing certainty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Proof {
    /// The server ran the request to its end.
    Finished,
    /// The server reported an error. It may have failed before it began to run the request.
    Failed,
    /// The server may not have begun to run the request.
    Nothing,
}

/// What the end of a call shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Completion {
    pub(super) proof: Proof,
    /// HTTP status of the response; 0 if there is none.
    pub(super) status: u32,
}

impl Completion {
    /// Returns what a call with this outcome shows. A response with several parts proves as much as
    /// the weakest of them.
    pub(super) fn of(outcome: &Outcome) -> Self {
        let Outcome::Answer(answer) = outcome else {
            return Self { proof: Proof::Nothing, status: 0 };
        };
        let responses = answer.parts.iter().filter_map(|part| part.response.as_ref());
        let shown = responses.map(|response| Self::of_status(response.status));
        let weakest = shown.max_by_key(|completion| completion.proof);
        weakest.unwrap_or(Self { proof: Proof::Finished, status: 0 })
    }

    const fn of_status(status: u32) -> Self {
        let proof = match status {
            // Servers send these instead of running a request, or when its time is over while it
            // waits for a slot.
            408 | 421 | 425 | 429 | 502..=504 => Proof::Nothing,
            500.. => Proof::Failed,
            _ => Proof::Finished,
        };
        Self { proof, status }
    }
}
