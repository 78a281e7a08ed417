//! Events that the leaf machine handles and actions that it requests from the shell.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::{target, wire};
use slotmap::new_key_type;

use super::trace::Trace;
use crate::control::quarantine;
use crate::count::{self, Count};
use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use crate::view::{Peer, View};

new_key_type! {
    /// Key of a pooled connection to a server. The connection carries one request at a time.
    pub struct ConnectionKey;

    /// Key of a call: one request that carries one portion to one server.
    pub struct AttemptKey;
}

/// Outcome of a call to a target.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The target replied with an answer.
    Answer(target::Answer),
    /// The target refused the request: proof that the request did not run.
    Refusal(target::Refusal),
    /// The target replied with an error or with a reply that is no valid answer: the request may
    /// have run.
    Error,
    /// The connection broke after the request may have been written: the request may have run.
    Lost,
    /// No byte of the request was written: the request did not run.
    Unsent,
}

/// An event that the leaf machine handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// Portions of a query received from its entry instance, which may be this instance.
    Work {
        /// The entry instance of the query.
        from: Peer,
        /// Incarnation of the entry instance.
        incarnation: u64,
        /// The work message with its portions.
        work: wire::Work,
    },
    /// The entry instance cancelled a query.
    Cancel {
        /// Name of the entry instance.
        from: Arc<str>,
        /// The cancellation message, which names the query.
        cancel: wire::Cancel,
    },
    /// A pooled connection requested by [`Action::Open`] is established and idle, or the
    /// cancellation or load report request on it is done.
    Opened(ConnectionKey),
    /// A pooled connection failed or the target closed it while idle, or the connection could not
    /// be opened. For a connection that carries a call: the target will close the connection after
    /// the call's end.
    Closed(ConnectionKey),
    /// A pooled connection could not be opened because no process listens at the server's address.
    Refused(ConnectionKey),
    /// A call ended. After any outcome but an answer or a refusal the shell has closed the pooled
    /// connection, and no further event names that connection.
    Ended {
        /// Key of the call.
        attempt: AttemptKey,
        /// Outcome of the call.
        outcome: Outcome,
    },
    /// A server's load report, or `None` if the server did not reply to the request for the report.
    Load {
        /// Name of the server.
        server: Arc<str>,
        /// The load report.
        load: Option<target::Load>,
    },
    /// The control machine published a new view.
    View(Arc<View>),
    /// The process was paused for about this long.
    Paused(Duration),
    /// Refuse new work and finish the open portions.
    Drain,
    /// The time requested by `Machine::next_wake` has been reached.
    Tick,
}

/// The response of a server that cleared a request of crashing servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Clearance {
    /// Name of the server.
    pub server: Arc<str>,
    /// HTTP status of the response; 0 if it has none.
    pub status: u32,
    /// Time from the call to its response.
    pub took: Duration,
}

/// An action that the leaf machine requests from the shell.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a pooled connection to a server.
    Open {
        /// Key that later events name the connection by.
        connection: ConnectionKey,
        /// IP address and port of the server.
        address: Arc<str>,
        /// Name of the server.
        server: Arc<str>,
    },
    /// Close a pooled connection, also one that carries an abandoned call. No further event names
    /// the connection or the call.
    Close(ConnectionKey),
    /// Send a request on an idle pooled connection. The call must end with [`Event::Ended`] in
    /// every case.
    Send {
        /// The pooled connection, busy until the call ends.
        connection: ConnectionKey,
        /// Key of the call.
        attempt: AttemptKey,
        /// The request to send.
        request: target::Request,
        /// Time from now after which the shell ends the call as lost.
        timeout: Duration,
    },
    /// Ask a server to cancel a call, on an idle pooled connection. The connection stays busy until
    /// [`Event::Opened`] (done) or [`Event::Closed`] names it.
    Cancel {
        /// An idle pooled connection to the server.
        connection: ConnectionKey,
        /// The target request's identifier.
        id: String,
    },
    /// Request a server's load report on an idle pooled connection. [`Event::Load`] reports the
    /// result; the connection stays busy until [`Event::Opened`] or [`Event::Closed`] names it.
    Probe {
        /// An idle pooled connection to the server.
        connection: ConnectionKey,
        /// Name of the server.
        server: Arc<str>,
    },
    /// Send a reply to an entry instance, which may be this instance.
    Reply {
        /// The entry instance of the query.
        to: Peer,
        /// The reply message.
        reply: wire::Reply,
    },
    /// Notify an entry instance that some portions that it wants aggregated are still open.
    Pending {
        /// The entry instance of the query.
        to: Peer,
        /// Identifies the open portions.
        pending: wire::Pending,
    },
    /// Log the decisions that were made for a portion.
    Log(Box<Trace>),
    /// Log that a server became suspect because of the outcomes of its calls, or is no longer
    /// suspect.
    Server {
        /// Name of the server.
        name: Arc<str>,
        /// Whether the server is suspect from now on.
        suspect: bool,
        /// Failure rate of the server's calls as observed by this instance.
        failure_rate: f64,
    },
    /// A server process terminated while it was running requests that no server has answered.
    Crashed {
        /// Name of the server.
        server: Arc<str>,
        /// Incarnation of the server process that terminated.
        incarnation: u64,
        /// Time at which the first of the server's calls broke off.
        at: Instant,
        /// Fingerprints of the requests, without duplicates.
        requests: Vec<Fingerprint>,
        /// Those of the requests that were on trial.
        trials: Vec<Fingerprint>,
    },
    /// A server answered although this incarnation of its process had been reported as terminated.
    Refuted {
        /// Name of the server.
        server: Arc<str>,
        /// Incarnation of the server process that answered.
        incarnation: u64,
    },
    /// Responses of servers prove that a request does not crash servers, although it was running on
    /// servers that terminated.
    Cleared {
        /// Fingerprint of the request.
        request: Fingerprint,
        /// What cleared the request: an answer or errors.
        cause: quarantine::Cause,
        /// The last of the responses; `None` if the request was answered before it was suspected.
        response: Option<Clearance>,
    },
    /// Count an event of a pooled connection.
    Connection(count::Connection),
    /// Increment a counter.
    Count(Count),
}
