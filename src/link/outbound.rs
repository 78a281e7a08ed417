//! Sends frames to peers, over one connection per peer.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ladder_core::collections::Map;
use ladder_core::time::Instant;
use ladder_schema::bounds;
use ladder_schema::outcome::Reason;
use ladder_schema::wire::Frame;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, SendBufferSize};
use nng::{PipeEvent, Protocol, Socket};
use prost::Message;
use slog::{Logger, info};

use super::connection::{Connection, ConnectionState, DIAL_TIMEOUT, Replacement};
use super::{Cut, Identity};
use crate::clock::Clock;
use crate::log::whole_millis;
use crate::metrics::{Metrics, PeerConnection};

/// Most frames that wait in the send buffer of one peer's connection.
const SEND_BUFFER: i32 = 512;
/// A connection that has carried no frame for this long is closed when another connection is
/// opened.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Shortest and longest delay before a refused connection is attempted again.
const RECONNECT_DELAY: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(1000));

/// What the link uses of its process.
#[derive(Clone)]
pub struct Context {
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics in which frames and connections are counted.
    pub metrics: Metrics,
    /// Addresses of peers whose frames a failure test drops.
    pub cut: Cut,
    /// Logger of this instance.
    pub log: Logger,
}

/// Callback that receives the address of a peer whose connection broke.
pub type OnDisconnect = Arc<dyn Fn(&str) + Send + Sync>;

/// Sends frames to peers; all clones share the sockets.
#[derive(Clone)]
pub struct Outbound {
    identity: Arc<Identity>,
    /// Generation that is written into every frame. Only the control thread changes it.
    generation: Arc<AtomicU64>,
    context: Context,
    on_disconnect: OnDisconnect,
    connections: Arc<Mutex<Connections>>,
}

/// The connections to all peers.
#[derive(Default)]
struct Connections {
    /// Connection of each peer by its address.
    by_address: Map<Arc<str>, Connection>,
    /// Since when the connection that was last found silent had been silent; `None` if none was.
    ///
    /// A network failure silences many connections at once, but each is noticed only when frames on
    /// it stay unanswered. Most pairs of a large fleet exchange a frame every minute or so, and each
    /// would lose its next one. Connections without an answer since then are therefore replaced
    /// before they are used again.
    silent_since: Option<Instant>,
}

impl Outbound {
    /// Creates a link without connections. A connection is opened by the first frame to its peer.
    pub fn new(identity: Identity, context: Context, on_disconnect: OnDisconnect) -> Self {
        let generation = Arc::new(AtomicU64::new(identity.incarnation));
        let identity = Arc::new(identity);
        Self { identity, generation, context, on_disconnect, connections: Arc::default() }
    }

    /// Sets the generation that is written into every later frame.
    pub fn set_generation(&self, generation: u64) {
        self.generation.store(generation, Ordering::Relaxed);
    }

    /// Fills in the sender and sends the frame to the peer at `address`. The frame may be lost.
    pub fn send(&self, address: &str, mut frame: Frame) {
        if self.context.cut.contains(address) {
            self.context.metrics.dropped(Reason::LinkCut);
            return;
        }
        let traffic = is_traffic(&frame);
        self.sign(&mut frame);
        let connection = self.connection_for(address, &mut frame);
        let bytes = frame.encode_to_vec();
        self.context.metrics.sent(if traffic { "traffic" } else { "control" }, bytes.len());
        let sent = connection.is_some_and(|(socket, state)| state.send(&socket, &bytes));
        if !sent {
            self.context.metrics.dropped(Reason::LinkFull);
        }
    }

    /// Fills in the sender of the frame and the time of sending.
    fn sign(&self, frame: &mut Frame) {
        frame.protocol = bounds::PROTOCOL;
        frame.fleet.clone_from(&self.identity.fleet);
        frame.from.clone_from(&self.identity.name);
        frame.incarnation = self.identity.incarnation;
        frame.generation = self.generation.load(Ordering::Relaxed);
        frame.address.clone_from(&self.identity.address);
        frame.zone.clone_from(&self.identity.zone);
        frame.sent_us = self.context.clock.now().as_micros();
    }

    /// Records that a frame was received from a peer.
    pub fn heard(&self, frame: &Frame) {
        let now = self.context.clock.now();
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(connection) = connections.by_address.get_mut(frame.address.as_str()) {
            connection.note_received(now, frame);
        }
    }

    /// Returns the socket to `address` for a frame; a new one is opened if there is none or the old
    /// one has to be replaced. The first frame after a silence asks the peer to replace its
    /// connection, too, which may be just as silent.
    fn connection_for(
        &self,
        address: &str,
        frame: &mut Frame,
    ) -> Option<(Socket, ConnectionState)> {
        let now = self.context.clock.now();
        let mut guard = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let Connections { by_address, silent_since } = &mut *guard;
        let mut timeout = DIAL_TIMEOUT.0;
        if let Some(connection) = by_address.get_mut(address) {
            connection.last_used = now;
            let Some(replacement) = connection.replacement(now, *silent_since) else {
                connection.note_sent(now, frame);
                return Some((connection.socket.clone(), connection.state.clone()));
            };
            if replacement.cause == PeerConnection::Silent {
                *silent_since = (*silent_since).max(connection.silent_since());
            }
            frame.replaces_silent = replacement.cause.follows_silence();
            connection.close();
            self.report_replacement(address, replacement);
            timeout = replacement.timeout;
        }
        close_idle(by_address, now);
        self.context.metrics.peer_connection(PeerConnection::Dialled);
        let mut connection = self.open(address, now, timeout).ok()?;
        connection.note_sent(now, frame);
        let usable = (connection.socket.clone(), connection.state.clone());
        by_address.insert(Arc::from(address), connection);
        Some(usable)
    }

    /// Opens a socket that connects to `address` in the background.
    fn open(&self, address: &str, now: Instant, timeout: Duration) -> nng::Result<Connection> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<SendBufferSize>(SEND_BUFFER)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_DELAY.0))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_DELAY.1))?;
        let state = ConnectionState::new();
        let callback_state = state.clone();
        let on_disconnect = Arc::clone(&self.on_disconnect);
        let peer: Arc<str> = Arc::from(address);
        socket.pipe_notify(move |_, event| match event {
            PipeEvent::AddPost => callback_state.mark_connected(),
            PipeEvent::RemovePost if callback_state.mark_broken() => on_disconnect(&peer),
            _ => {}
        })?;
        socket.dial_async(&format!("tcp://{address}"))?;
        Ok(Connection::new(socket, state, now, timeout))
    }

    /// Counts a replaced connection, and logs it if frames on it may have been lost without notice.
    fn report_replacement(&self, address: &str, replacement: Replacement) {
        let Replacement { cause, silence, unanswered_frames, .. } = replacement;
        self.context.metrics.peer_connection(cause);
        if !(cause.follows_silence() || cause == PeerConnection::Requested) {
            return;
        }
        if let Some(silence) = silence {
            self.context.metrics.peer_silence(silence);
        }
        info!(self.context.log, "peer connection replaced"; "peer" => address,
            "cause" => cause.name(), "silent_ms" => silence.map(whole_millis),
            "unanswered_frames" => unanswered_frames);
    }
}

/// Closes connections that carried no frame for [`IDLE_TIMEOUT`].
///
/// Anti-entropy digests go to random peers. If idle connections were not closed, an instance of a
/// large fleet would in time keep a connection to every other instance, including instances that
/// have been replaced.
fn close_idle(connections: &mut Map<Arc<str>, Connection>, now: Instant) {
    connections.retain(|_, connection| {
        let keep = now.since(connection.last_used) < IDLE_TIMEOUT;
        if !keep {
            connection.close();
        }
        keep
    });
}

/// Whether a frame carries requests of callers or what is decided about them.
fn is_traffic(frame: &Frame) -> bool {
    let has_work = !frame.work.is_empty() || !frame.replies.is_empty();
    let has_reservations =
        !frame.reservation_requests.is_empty() || !frame.reservation_replies.is_empty();
    has_work || has_reservations
}
