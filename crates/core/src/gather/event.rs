//! What the gathering machine is told and what it asks for.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::{call, wire};

use super::history::Explanation;
use crate::count::Count;
use crate::fingerprint::Fingerprint;
use crate::view::{Peer, View};

/// A caller's open HTTP request; the shell numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived and was decoded.
    Call {
        /// Whom to answer.
        caller: Caller,
        /// What it asks.
        request: call::Request,
    },
    /// The caller closed its connection.
    Gone(Caller),
    /// Replies of one leaf.
    Replies {
        /// Name of the instance that sent them.
        from: Arc<str>,
        /// The replies.
        replies: Vec<wire::Reply>,
    },
    /// A peer still collects parts whose time has come.
    Pending {
        /// Name of the instance that sent it.
        from: Arc<str>,
        /// Which parts.
        pending: wire::Pending,
    },
    /// The link to a peer broke: what was sent to it may or may not have arrived.
    LinkDown(Arc<str>),
    /// A new view is in force.
    View(Arc<View>),
    /// The process was suspended for about this long.
    Paused(Duration),
    /// Stop taking new requests; finish the open ones.
    Drain,
    /// The bound of the graceful stop has come: answer the open requests with what is there.
    Cut,
    /// The time asked for by `Machine::next_wake` has come.
    Tick,
}

/// What the machine asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a caller; exactly one per [`Event::Call`] unless the caller is gone.
    Answer {
        /// Whom to answer.
        caller: Caller,
        /// The answer.
        answer: call::Answer,
    },
    /// Send work to an owner, which may be this instance.
    Send {
        /// The owner.
        to: Peer,
        /// The work.
        work: wire::Work,
    },
    /// Cancel whatever of a query is still open at an owner.
    Cancel {
        /// The owner.
        to: Peer,
        /// The query.
        cancel: wire::Cancel,
    },
    /// A request that is refused because servers ended under it came again.
    Refused(Fingerprint),
    /// Log what happened to a query.
    Log(Box<Explanation>),
    /// Step a counter.
    Count(Count),
}
