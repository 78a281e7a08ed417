//! Events that the gathering machine handles and actions that it requests.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::{call, wire};

use super::history::Explanation;
use super::response_time::ResponseTime;
use super::sweep_admission::ShareChange;
use crate::admission::reservation;
use crate::count::Count;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use crate::view::{Peer, View};

/// Number of a caller's open HTTP request, assigned by the code that runs the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// How a caller's request reached this instance, as far as that is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reception {
    /// When the last bytes of the request were read; `None` if only now.
    pub received_at: Option<Instant>,
    /// Round-trip time to the caller; `None` if it is not known.
    pub round_trip: Option<Duration>,
}

/// Events that the gathering machine handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived and was decoded.
    Call {
        /// The caller that has to be answered.
        caller: CallerId,
        /// The caller's decoded request.
        request: call::Request,
        /// How the request reached this instance.
        reception: Reception,
    },
    /// The whole response to a caller was passed to the operating system.
    Written {
        /// The caller of the [`Action::Answer`].
        caller: CallerId,
        /// When the last byte was passed on.
        at: Instant,
        /// Time for which the response was on the way to the caller, beyond the way of a single
        /// packet; zero if it is not known.
        transfer: Duration,
    },
    /// The caller closed its connection.
    CallerLeft(CallerId),
    /// Replies to portions (sub-requests to single services) arrived from one instance.
    Replies {
        /// Name of the instance that sent the replies.
        from: Arc<str>,
        /// Replies to portions; replies whose records were merged follow one another.
        replies: Vec<wire::Reply>,
    },
    /// A peer reports that it is still aggregating parts whose target time has come.
    Pending {
        /// Name of the instance that sent the report.
        from: Arc<str>,
        /// The query and round that the report concerns.
        pending: wire::Pending,
    },
    /// Requests for reservations arrived from one instance.
    ReservationRequests {
        /// The instance that sent the requests and gets the replies.
        from: Peer,
        /// Incarnation of that instance; the replies repeat it.
        incarnation: u64,
        /// Requests on behalf of sweeps that are about to be refused there.
        requests: Vec<wire::ReservationRequest>,
    },
    /// Replies to requests for reservations arrived from one instance.
    ReservationReplies {
        /// Name of the instance that sent the replies.
        from: Arc<str>,
        /// Replies to requests of this instance.
        replies: Vec<wire::ReservationReply>,
    },
    /// The link to a peer broke: work sent to the peer may or may not have arrived.
    LinkDown(Arc<str>),
    /// A new view (immutable snapshot of the catalogue, servers and owners) takes effect.
    View(Arc<View>),
    /// The process was paused for about this long.
    Paused(Duration),
    /// The instance starts its graceful shutdown: refuse new requests and finish the open ones.
    Drain,
    /// The time limit of the graceful shutdown has passed: answer the open requests with the
    /// replies received so far.
    Cut,
    /// The time returned by `Machine::next_wake` has come: handle the timers that are due.
    Tick,
}

/// Actions that the gathering machine requests from the code that runs it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a caller; there is exactly one such action for each [`Event::Call`] unless the
    /// caller disconnects.
    Answer {
        /// The caller that receives the answer.
        caller: CallerId,
        /// The answer for the caller.
        answer: call::Answer,
    },
    /// Send portions of a query to the owner of their services, which may be this instance.
    Send {
        /// The instance that receives the work message.
        to: Peer,
        /// The work message, which contains the portions.
        work: wire::Work,
    },
    /// Cancel all portions of a query that are still open at an owner.
    Cancel {
        /// The instance that receives the cancellation.
        to: Peer,
        /// The cancellation message, which names the query.
        cancel: wire::Cancel,
    },
    /// Ask the holder of a sweep's reservations whether one is due, or else for a new one.
    RequestReservation {
        /// The holder, which is another instance.
        to: Peer,
        /// The request, which names the query.
        request: wire::ReservationRequest,
    },
    /// Reply to another instance that requested a reservation.
    ReplyReservation {
        /// The instance that sent the request.
        to: Peer,
        /// The reply, which names the query.
        reply: wire::ReservationReply,
    },
    /// Count an event of a reservation that this instance holds.
    Reservation(reservation::Event),
    /// A request with this fingerprint, which is quarantined because server processes crashed
    /// under it, was received again and refused.
    Refused(Fingerprint),
    /// Write the steps of a query to the log.
    Log(Box<Explanation>),
    /// The share of a route's sweeps that are admitted has changed.
    Share(Box<ShareChange>),
    /// Record how long the response to a sweep took after it was due.
    Written(Box<ResponseTime>),
    /// Increment a counter of the metrics.
    Count(Count),
}
