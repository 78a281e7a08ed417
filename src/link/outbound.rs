//! Sends frames to peers, over one connection per peer.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ladder_core::collections::Map;
use ladder_core::time::Instant;
use ladder_schema::bounds;
use ladder_schema::outcome::Reason;
use ladder_schema::wire::{Frame, Probe};
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, SendBufferSize};
use nng::{PipeEvent, Protocol, Socket};
use prost::Message;

use super::{Cut, Identity};
use crate::clock::Clock;
use crate::metrics::{Metrics, PeerConnection};

/// Most frames that wait in the send buffer of one peer's connection.
const SEND_BUFFER: i32 = 512;
/// A connection that has carried no frame for this long is closed when another connection is
/// opened.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Shortest and longest delay before a refused connection is attempted again.
const RECONNECT_DELAY: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(1000));

/// First and longest time that a connection attempt may take before it is replaced by a new
/// attempt; the time doubles with each attempt.
///
/// A machine without power does not answer the packet that opens a connection, and the operating
/// system resends the packet only after a second. After a power failure of the whole fleet,
/// instances that restarted early dialled machines that were still off, and knew of no other
/// instance for a second.
const DIAL_TIMEOUT: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1600));

/// How long a peer may leave a frame unanswered that needs an answer, before its connection is
/// opened again.
///
/// A connection can fail without notice to either end; the operating system then accepts data on it
/// for a quarter of an hour. Its peer would be considered dead and probed again on the same
/// connection, so that neither instance would ever receive frames from the other. The limit is
/// longer than the time after which the membership suspects a peer, so that a peer that was only
/// paused keeps its connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Callback that receives the address of a peer whose connection broke.
pub type OnDisconnect = Arc<dyn Fn(&str) + Send + Sync>;

/// Sends frames to peers; all clones share the sockets.
#[derive(Clone)]
pub struct Outbound {
    identity: Arc<Identity>,
    /// Generation that is written into every frame. Only the control thread changes it.
    generation: Arc<AtomicU64>,
    clock: Clock,
    metrics: Metrics,
    cut: Cut,
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

/// State of the only connection of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The connection is being opened.
    Dialled,
    /// The connection is open.
    Connected,
    /// The connection broke, and its socket has to be replaced.
    Broken,
    /// This instance closes the socket; the end of the connection is then no loss.
    Closed,
}

/// State of a socket's connection. Its lock ensures that nothing is sent on the socket after the
/// connection has broken.
///
/// If a connection breaks while a frame is being sent, nng returns it to its list of idle
/// connections and may pass a later frame to it after it has been freed, which aborts the process.
/// This was seen as answers that callers never received, in one of forty losses of a peer. nng
/// calls the pipe callback before it frees the connection; every sender holds this lock, so that
/// nothing is sent after that callback.
#[derive(Clone)]
struct ConnectionState(Arc<Mutex<Phase>>);

impl ConnectionState {
    fn new() -> Self {
        Self(Arc::new(Mutex::new(Phase::Dialled)))
    }

    fn lock(&self) -> MutexGuard<'_, Phase> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn phase(&self) -> Phase {
        *self.lock()
    }

    fn mark_connected(&self) {
        let mut phase = self.lock();
        if *phase == Phase::Dialled {
            *phase = Phase::Connected;
        }
    }

    /// Records that the connection has ended; no frame is being sent at this time. Returns whether
    /// the end is a loss, which it isn't if this instance closed the socket.
    fn mark_broken(&self) -> bool {
        let mut phase = self.lock();
        let lost = *phase != Phase::Closed;
        if lost {
            *phase = Phase::Broken;
        }
        lost
    }

    fn close(&self) {
        *self.lock() = Phase::Closed;
    }

    /// Passes a frame to the socket unless the connection is broken or closed. Returns whether the
    /// frame was accepted.
    fn send(&self, socket: &Socket, bytes: &[u8]) -> bool {
        let phase = self.lock();
        matches!(*phase, Phase::Dialled | Phase::Connected) && socket.try_send(bytes).is_ok()
    }
}

/// The connection to one peer. A broken connection is replaced together with its socket.
struct Connection {
    socket: Socket,
    state: ConnectionState,
    /// Time at which the connection attempt began.
    opened_at: Instant,
    /// Time at which a frame was last passed to this connection.
    last_used: Instant,
    /// Time at which the connection is attempted again if it is not open by then.
    redial_at: Instant,
    /// How long this connection attempt may take before it is replaced by a new one.
    timeout: Duration,
    /// Time of the first frame that needs an answer from the peer, of those sent since a frame of
    /// the peer was last received.
    unanswered_since: Option<Instant>,
    /// Time of the first probe on this connection of those sent since one was last acknowledged.
    ///
    /// Other frames of the peer do not prove that this connection works: they arrive on a connection
    /// of the peer's own.
    unacknowledged_since: Option<Instant>,
    /// Number of the first probe that was sent on this connection; 0 if none was.
    first_probe: u64,
    /// When the peer last answered something that was sent on this connection; the time of the
    /// connection attempt if it never has.
    answered_at: Instant,
    /// Whether the peer has asked for another connection, as it receives nothing on this one.
    peer_requests_replacement: bool,
}

impl Connection {
    /// Why this connection has to be replaced, and the dial timeout of the one that replaces it;
    /// `None` while this connection is usable.
    fn replacement(
        &self,
        now: Instant,
        silent_since: Option<Instant>,
    ) -> Option<(PeerConnection, Duration)> {
        let cause = match self.state.phase() {
            Phase::Dialled if now >= self.redial_at => {
                return Some((PeerConnection::Unopened, (self.timeout * 2).min(DIAL_TIMEOUT.1)));
            }
            Phase::Connected if self.is_silent(now) => PeerConnection::Silent,
            Phase::Connected if silent_since.is_some_and(|since| self.answered_at < since) => {
                PeerConnection::Unverified
            }
            Phase::Connected if self.peer_requests_replacement => PeerConnection::Requested,
            Phase::Dialled | Phase::Connected => return None,
            Phase::Broken | Phase::Closed => PeerConnection::Broken,
        };
        Some((cause, DIAL_TIMEOUT.0))
    }

    /// Since when the connection may have been silent, going by the frames that need an answer.
    fn silent_since(&self) -> Option<Instant> {
        let times = [self.unanswered_since, self.unacknowledged_since];
        times.into_iter().flatten().min()
    }

    /// Whether the peer has left a frame unanswered for [`ANSWER_TIMEOUT`] or longer.
    fn is_silent(&self, now: Instant) -> bool {
        self.silent_since().is_some_and(|since| now.since(since) >= ANSWER_TIMEOUT)
    }

    /// Notes a frame that is about to be sent on this connection.
    fn note_sent(&mut self, now: Instant, frame: &Frame) {
        if !(frame.probes.is_empty() && frame.work.is_empty()) {
            self.unanswered_since.get_or_insert(now);
        }
        if let Some(probe) = frame.probes.first() {
            self.unacknowledged_since.get_or_insert(now);
            if self.first_probe == 0 {
                self.first_probe = probe.number;
            }
        }
    }

    /// Notes a frame of the peer.
    fn note_received(&mut self, now: Instant, frame: &Frame) {
        self.unanswered_since = None;
        let is_own_probe = |probe: &Probe| (1..=probe.number).contains(&self.first_probe);
        let acknowledges = frame.acknowledgements.iter().any(is_own_probe);
        if acknowledges {
            self.unacknowledged_since = None;
        }
        if acknowledges || !frame.replies.is_empty() {
            self.answered_at = now;
        }
        // The connection may have been replaced since the peer sent its request.
        let is_old = now.since(self.opened_at) >= ANSWER_TIMEOUT;
        self.peer_requests_replacement |= frame.replaces_silent && is_old;
    }

    fn close(&self) {
        self.state.close();
        self.socket.close();
    }
}

impl Outbound {
    /// Creates a link without connections. A connection is opened by the first frame to its peer.
    pub fn new(
        identity: Identity,
        clock: Clock,
        metrics: Metrics,
        cut: Cut,
        on_disconnect: OnDisconnect,
    ) -> Self {
        let generation = Arc::new(AtomicU64::new(identity.incarnation));
        let identity = Arc::new(identity);
        Self {
            identity,
            generation,
            clock,
            metrics,
            cut,
            on_disconnect,
            connections: Arc::default(),
        }
    }

    /// Sets the generation that is written into every later frame.
    pub fn set_generation(&self, generation: u64) {
        self.generation.store(generation, Ordering::Relaxed);
    }

    /// Fills in the sender and sends the frame to the peer at `address`. The frame may be lost.
    pub fn send(&self, address: &str, mut frame: Frame) {
        if self.cut.contains(address) {
            self.metrics.dropped(Reason::LinkCut);
            return;
        }
        let traffic = is_traffic(&frame);
        self.sign(&mut frame);
        let connection = self.connection_for(address, &mut frame);
        let bytes = frame.encode_to_vec();
        self.metrics.sent(if traffic { "traffic" } else { "control" }, bytes.len());
        let sent = connection.is_some_and(|(socket, state)| state.send(&socket, &bytes));
        if !sent {
            self.metrics.dropped(Reason::LinkFull);
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
        frame.sent_us = self.clock.now().as_micros();
    }

    /// Records that a frame was received from a peer.
    pub fn heard(&self, frame: &Frame) {
        let now = self.clock.now();
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
        let now = self.clock.now();
        let mut guard = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let Connections { by_address, silent_since } = &mut *guard;
        let mut timeout = DIAL_TIMEOUT.0;
        if let Some(connection) = by_address.get_mut(address) {
            connection.last_used = now;
            let Some((cause, next_timeout)) = connection.replacement(now, *silent_since) else {
                connection.note_sent(now, frame);
                return Some((connection.socket.clone(), connection.state.clone()));
            };
            if cause == PeerConnection::Silent {
                *silent_since = (*silent_since).max(connection.silent_since());
            }
            frame.replaces_silent =
                matches!(cause, PeerConnection::Silent | PeerConnection::Unverified);
            connection.close();
            self.metrics.peer_connection(cause);
            timeout = next_timeout;
        }
        close_idle(by_address, now);
        self.metrics.peer_connection(PeerConnection::Dialled);
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
        let redial_at = now + timeout;
        Ok(Connection {
            socket,
            state,
            opened_at: now,
            last_used: now,
            redial_at,
            timeout,
            unanswered_since: None,
            unacknowledged_since: None,
            first_probe: 0,
            answered_at: now,
            peer_requests_replacement: false,
        })
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
