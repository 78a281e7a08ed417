//! What the control machine is told and what it asks for.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::{publication, wire};

use super::belief::Belief;
use super::quarantine::Incarnation;
use super::reader::Read;
use crate::count::Count;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use crate::view::View;

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A frame of a peer, already checked for fleet and protocol; its traffic parts are ignored.
    Frame(Box<wire::Frame>),
    /// The platform answered the watch.
    Page(publication::Page),
    /// The platform did not answer the watch, or with an error.
    WatchFailed,
    /// The platform no longer knows what has changed since the revision asked for.
    WatchExpired,
    /// The link to the peer of this name broke.
    LinkDown(Arc<str>),
    /// A server said that it leaves: seen by the leaf in a load report or refusal.
    ServerLeaving {
        /// Name of the server.
        server: Arc<str>,
        /// Its incarnation.
        incarnation: u64,
    },
    /// A server ended while requests were there that no server has answered.
    Crashed {
        /// The incarnation that ended.
        incarnation: Incarnation,
        /// When the first of its calls broke off.
        at: Instant,
        /// The requests.
        requests: Vec<Fingerprint>,
    },
    /// A server has answered after it was said that this incarnation of it had ended.
    Refuted(Incarnation),
    /// A request under which servers ended was answered.
    Cleared(Fingerprint),
    /// An operator releases a request.
    Released(Fingerprint),
    /// A request that is refused came again.
    Asked(Fingerprint),
    /// Other peer addresses to ask at start and when no peer is known.
    Seeds(Vec<Arc<str>>),
    /// The process was suspended for about this long.
    Paused(Duration),
    /// The instance starts its graceful stop: tell the peers.
    Drain,
    /// The time asked for by `Machine::next_wake` has come.
    Tick,
}

/// What the machine asks for.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the control parts of a frame to a peer; the link fills in the sender.
    Send {
        /// IP number and port of the peer.
        to: Arc<str>,
        /// The frame.
        frame: Box<wire::Frame>,
    },
    /// Start a read of the platform, answered by exactly one [`Event::Page`] or
    /// [`Event::WatchFailed`].
    Watch(Read),
    /// Name this generation of the instance in every frame from now on.
    Generation(u64),
    /// Publish a new view to the traffic threads.
    View(Arc<View>),
    /// A record was refused; operators see it until a newer one of the same key is in force.
    Refused {
        /// Kind and name of the record.
        record: String,
        /// Its revision.
        revision: u64,
        /// What is wrong with it.
        detail: String,
    },
    /// Log a change of what this instance believes.
    Log(Belief),
    /// Step a counter.
    Count(Count),
}
