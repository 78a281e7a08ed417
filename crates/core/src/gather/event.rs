//! Events that the gathering machine handles and actions that it requests.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::{call, wire};

use super::history::Explanation;
use crate::count::Count;
use crate::fingerprint::Fingerprint;
use crate::view::{Peer, View};

/// Number of a caller's open HTTP request, assigned by the code that runs the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

/// Input of the gathering machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived and was decoded.
    Call {
        /// The caller to answer.
        caller: Caller,
        /// The decoded request.
        request: call::Request,
    },
    /// The caller closed its connection.
    Gone(Caller),
    /// Replies to portions arrived from one instance.
    Replies {
        /// Name of the instance that sent the replies.
        from: Arc<str>,
        /// The replies.
        replies: Vec<wire::Reply>,
    },
    /// A peer reports that it is still aggregating parts whose target time has come.
    Pending {
        /// Name of the instance that sent the report.
        from: Arc<str>,
        /// The query and round that the report concerns.
        pending: wire::Pending,
    },
    /// The link to a peer broke: work sent to the peer may or may not have arrived.
    LinkDown(Arc<str>),
    /// A new view takes effect.
    View(Arc<View>),
    /// The process was paused for about this long.
    Paused(Duration),
    /// Refuse new requests and finish the open ones.
    Drain,
    /// The time limit of the graceful shutdown has passed: answer the open requests with the
    /// replies received so far.
    Cut,
    /// The time returned by `Machine::next_wake` has come.
    Tick,
}

/// Output of the gathering machine, for the caller of `Machine::handle` to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a caller; there is exactly one for each [`Event::Call`] unless the caller
    /// disconnects.
    Answer {
        /// The caller to answer.
        caller: Caller,
        /// The answer.
        answer: call::Answer,
    },
    /// Send work to an owner, which may be this instance.
    Send {
        /// The owner.
        to: Peer,
        /// The work message.
        work: wire::Work,
    },
    /// Cancel all portions of a query that are still open at an owner.
    Cancel {
        /// The owner.
        to: Peer,
        /// The message that names the query.
        cancel: wire::Cancel,
    },
    /// A request with this fingerprint, which is quarantined because server processes crashed
    /// under it, was received again and refused.
    Refused(Fingerprint),
    /// Log the steps of a query.
    Log(Box<Explanation>),
    /// Increment a counter.
    Count(Count),
}
