//! Events that the control machine processes, and actions that it requests.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::{publication, wire};

use super::quarantine::Incarnation;
use super::reader::Read;
use super::state_change::StateChange;
use super::store::Refusal;
use crate::count::Count;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use crate::view::View;

/// An input of the control machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A frame arrived from a peer. Fleet and protocol are already checked; the frame's traffic
    /// parts are ignored.
    Frame(Box<wire::Frame>),
    /// The platform answered the open read.
    Page(publication::Page),
    /// The platform did not answer the open read, or answered it with an error.
    WatchFailed,
    /// The connection of the open read has ended without an answer. While the read waits for new
    /// records, the platform may end it at any time.
    WatchCut,
    /// The platform no longer has the changes since the requested revision.
    WatchExpired,
    /// The connection to the peer of this name broke.
    LinkDown(Arc<str>),
    /// A server reported, in a load report or a refusal, that it is leaving.
    ServerLeaving {
        /// Name of the leaving server.
        server: Arc<str>,
        /// Incarnation of the leaving server.
        incarnation: u64,
    },
    /// A server process crashed while it had requests that no server has answered yet.
    Crashed {
        /// Incarnation of the server that crashed.
        incarnation: Incarnation,
        /// When the first of the server's calls was cut off.
        at: Instant,
        /// Fingerprints of the unanswered requests at the server.
        requests: Vec<Fingerprint>,
        /// Those of the requests that were on trial.
        trials: Vec<Fingerprint>,
    },
    /// This incarnation of a server has answered although it had been reported as crashed.
    Refuted(Incarnation),
    /// A request under which server processes crashed was answered.
    Cleared(Fingerprint),
    /// Servers returned errors for a request under which server processes crashed.
    ClearedByErrors(Fingerprint),
    /// An operator released a request from quarantine.
    Released(Fingerprint),
    /// A quarantined request, which is refused, arrived again.
    Asked(Fingerprint),
    /// The settings now list these peer addresses to ask at the start and when no peer is known.
    Seeds(Vec<Arc<str>>),
    /// The process was paused for about this long.
    Paused(Duration),
    /// The instance starts its graceful stop and notifies its peers.
    Drain,
    /// The time requested by `Machine::next_wake` has been reached.
    Tick,
}

/// An output of the control machine, which the caller must carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the control parts of a frame to a peer. The link adds the sender.
    Send {
        /// IP address and port of the peer.
        to: Arc<str>,
        /// The frame to send to the peer.
        frame: Box<wire::Frame>,
    },
    /// Start a read of the platform. Exactly one [`Event::Page`], [`Event::WatchFailed`],
    /// [`Event::WatchCut`] or [`Event::WatchExpired`] answers it.
    Watch(Read),
    /// Use this generation of the instance in every frame from now on.
    Generation(u64),
    /// Publish a new view to the traffic threads.
    View(Arc<View>),
    /// A record was refused, or routes are still refused. Operators see it until a newer record of
    /// the same key is in force.
    Refused {
        /// The record and why it failed validation.
        refusal: Refusal,
        /// Time since the first refusal of routes; `None` if the record has not been reported
        /// before.
        repeated_after: Option<Duration>,
    },
    /// Log a change of this instance's state of the fleet.
    Log(StateChange),
    /// Increment a counter.
    Count(Count),
}
