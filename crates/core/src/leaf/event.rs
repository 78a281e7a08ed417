//! What the leaf machine is told and what it asks for.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::{target, wire};
use slotmap::new_key_type;

use super::trace::Trace;
use crate::count::Count;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use crate::view::{Peer, View};

new_key_type! {
    /// A connection to a server. It carries one request at a time.
    pub struct LaneKey;

    /// One sending of one portion to one server.
    pub struct AttemptKey;
}

/// How a call at a target ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The target answered.
    Answer(target::Answer),
    /// The target refused: proof that the request did not run.
    Refusal(target::Refusal),
    /// The target answered with an error or something that is no answer: it may have run.
    Error,
    /// The connection broke after the request may have been written: it may have run.
    Lost,
    /// Nothing of the request was written: it did not run.
    Unsent,
}

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Work from an entry, which may be of this instance.
    Work {
        /// The entry's instance.
        from: Peer,
        /// Incarnation of the entry's instance.
        incarnation: u64,
        /// The work.
        work: wire::Work,
    },
    /// An entry gives a query up.
    Cancel {
        /// Name of the entry's instance.
        from: Arc<str>,
        /// The query.
        cancel: wire::Cancel,
    },
    /// A lane asked for by [`Action::Open`] is connected and idle.
    Opened(LaneKey),
    /// A lane failed or was closed by the target while idle, or could not be opened; while it
    /// carries a call: the target will close it after the call's end.
    Closed(LaneKey),
    /// A lane could not be opened, as nothing listens at the server's address.
    Refused(LaneKey),
    /// A call ended. After anything but an answer or a refusal the shell has closed the lane, and
    /// no further event names it.
    Ended {
        /// The call.
        attempt: AttemptKey,
        /// How it ended.
        outcome: Outcome,
    },
    /// A server's load report, or `None` when it did not answer the question.
    Load {
        /// Name of the server.
        server: Arc<str>,
        /// The report.
        load: Option<target::Load>,
    },
    /// A new view is in force.
    View(Arc<View>),
    /// The process was suspended for about this long.
    Paused(Duration),
    /// Refuse new work; finish what is open.
    Drain,
    /// The time asked for by `Machine::next_wake` has come.
    Tick,
}

/// What the machine asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a connection.
    Open {
        /// Its key in later events.
        lane: LaneKey,
        /// IP number and port of the server.
        address: Arc<str>,
        /// Name of the server.
        server: Arc<str>,
    },
    /// Close a connection, also one whose call is given up; no further event names it or the call.
    Close(LaneKey),
    /// Send a request on an idle lane. It must end with [`Event::Ended`], whatever happens.
    Send {
        /// The lane, busy until the call ends.
        lane: LaneKey,
        /// The call.
        attempt: AttemptKey,
        /// The request.
        request: target::Request,
        /// When to give the call up as lost, counted from now.
        timeout: Duration,
    },
    /// Ask a server on an idle lane to cancel a call. The lane stays busy until [`Event::Opened`]
    /// (done) or [`Event::Closed`] names it.
    Cancel {
        /// An idle lane to the server.
        lane: LaneKey,
        /// The target request's identifier.
        id: String,
    },
    /// Ask a server for its load report on an idle lane, answered by [`Event::Load`]; the lane stays
    /// busy until [`Event::Opened`] or [`Event::Closed`] names it.
    Probe {
        /// An idle lane to the server.
        lane: LaneKey,
        /// Name of the server.
        server: Arc<str>,
    },
    /// Reply to an entry, which may be of this instance.
    Reply {
        /// The entry's instance.
        to: Peer,
        /// The reply.
        reply: wire::Reply,
    },
    /// Tell an entry that some of the portions that it wants collected are still open.
    Pending {
        /// The entry's instance.
        to: Peer,
        /// Which portions.
        pending: wire::Pending,
    },
    /// Log what was decided for a portion.
    Log(Box<Trace>),
    /// Log that a server is held back because of its outcomes, or not any more.
    Server {
        /// Its name.
        name: Arc<str>,
        /// Whether it is held back from now on.
        suspect: bool,
        /// Its failure rate as this instance saw it.
        failure_rate: f64,
    },
    /// A server ended while requests were there that no server has answered.
    Crashed {
        /// Its name.
        server: Arc<str>,
        /// The incarnation that ended.
        incarnation: u64,
        /// When the first of its calls broke off.
        at: Instant,
        /// The requests, each once.
        requests: Vec<Fingerprint>,
    },
    /// A server has answered after it was said that this incarnation of it had ended.
    Refuted {
        /// Its name.
        server: Arc<str>,
        /// The incarnation.
        incarnation: u64,
    },
    /// A request under which servers ended was answered.
    Cleared(Fingerprint),
    /// Step a counter.
    Count(Count),
}
