//! Sends frames to peers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ladder_core::collections::Map;
use ladder_core::time::Instant;
use ladder_schema::bounds;
use ladder_schema::outcome::Reason;
use ladder_schema::wire::Frame;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, SendBufferSize};
use nng::{PipeEvent, Protocol, Socket};
use prost::Message;

use super::{Cut, Identity};
use crate::clock::Clock;
use crate::metrics::Metrics;

/// Frames that may wait for one peer's connection.
const SEND_BUFFER: i32 = 512;
/// A connection without a frame for this long is closed when the next one is opened.
const IDLE: Duration = Duration::from_secs(60);
/// First and longest wait before a connection that was refused is tried again.
const RECONNECT: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(1000));

/// First and longest wait for a connection before it is dialled anew.
///
/// A machine without power does not answer the packet that opens a connection, and the system sends it
/// again only after a second. After a loss of all power whoever came back first had dialled machines
/// that were not back yet, and knew of no other instance for a second.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(1600));

/// How long a peer that has to answer may say nothing before its connection is dialled anew.
///
/// A connection may go silent without either end being told; the system takes what is sent on it for a
/// quarter of an hour. Its peer would be held dead and asked again on that connection, so that neither
/// ever heard of the other. Beyond a suspicion by the membership, so that a peer that only stood still
/// keeps its connection.
const UNHEARD: Duration = Duration::from_secs(2);

/// Told the address of a peer whose connection broke.
pub type OnDown = Arc<dyn Fn(&str) + Send + Sync>;

/// The sending half of the link; clones share the sockets.
#[derive(Clone)]
pub struct Outbound {
    identity: Arc<Identity>,
    /// The generation that frames name. Only the control thread changes it.
    generation: Arc<AtomicU64>,
    clock: Clock,
    metrics: Metrics,
    cut: Cut,
    on_down: OnDown,
    /// Invariant: at most one line per address.
    lines: Arc<Mutex<Map<Arc<str>, Line>>>,
}

/// How far a socket's only connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It is dialled.
    Dialled,
    /// It is there.
    Connected,
    /// It broke. The socket is replaced.
    Broken,
    /// This side closes the socket; that its connection ends then is no loss.
    Closed,
}

/// The phase of a socket, and that nothing is sent on it after its connection has broken.
///
/// The library puts a connection that breaks while a frame leaves back among those that are free, and
/// a later frame is handed to it when it has been freed: the process aborts. Seen as answers that
/// callers never got, at one in forty losses of a peer. It calls back before it frees the connection;
/// whoever sends holds the gate, so that nothing is sent after.
#[derive(Clone)]
struct Gate(Arc<Mutex<Phase>>);

impl Gate {
    fn new() -> Self {
        Self(Arc::new(Mutex::new(Phase::Dialled)))
    }

    fn lock(&self) -> MutexGuard<'_, Phase> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn phase(&self) -> Phase {
        *self.lock()
    }

    fn connected(&self) {
        let mut phase = self.lock();
        if *phase == Phase::Dialled {
            *phase = Phase::Connected;
        }
    }

    /// The connection has ended, and no frame is being handed over any more. Says whether that is a
    /// loss.
    fn broke(&self) -> bool {
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

    /// Hands a frame over while the socket may be sent on.
    fn send(&self, socket: &Socket, bytes: &[u8]) -> bool {
        let phase = self.lock();
        matches!(*phase, Phase::Dialled | Phase::Connected) && socket.try_send(bytes).is_ok()
    }
}

/// The connection to one peer. A broken one is replaced together with its socket.
struct Line {
    socket: Socket,
    gate: Gate,
    /// When a frame was last handed to it.
    used: Instant,
    /// When a connection that is not there by then is dialled anew.
    redial_at: Instant,
    /// How long it is waited for.
    patience: Duration,
    /// When the first frame went out that the peer has to answer, of those since it was last heard.
    asked: Option<Instant>,
}

impl Line {
    /// How long its successor waits for a connection; `None` while this one may be used.
    fn replaced(&self, now: Instant) -> Option<Duration> {
        match self.gate.phase() {
            Phase::Dialled if now >= self.redial_at => Some((self.patience * 2).min(PATIENCE.1)),
            Phase::Connected if self.is_silent(now) => Some(PATIENCE.0),
            Phase::Dialled | Phase::Connected => None,
            Phase::Broken | Phase::Closed => Some(PATIENCE.0),
        }
    }

    /// The peer was asked and said nothing for long.
    fn is_silent(&self, now: Instant) -> bool {
        self.asked.is_some_and(|asked| now.since(asked) >= UNHEARD)
    }

    fn close(&self) {
        self.gate.close();
        self.socket.close();
    }
}

impl Outbound {
    /// A link without connections; they are opened by the first frame to each peer.
    pub fn new(
        identity: Identity,
        clock: Clock,
        metrics: Metrics,
        cut: Cut,
        on_down: OnDown,
    ) -> Self {
        let generation = Arc::new(AtomicU64::new(identity.incarnation));
        let identity = Arc::new(identity);
        Self { identity, generation, clock, metrics, cut, on_down, lines: Arc::default() }
    }

    /// Names this generation in every frame from now on.
    pub fn set_generation(&self, generation: u64) {
        self.generation.store(generation, Ordering::Relaxed);
    }

    /// Fills in the sender and hands the frame to the connection; it may be lost.
    pub fn send(&self, address: &str, mut frame: Frame) {
        if self.cut.contains(address) {
            self.metrics.dropped(Reason::LinkCut);
            return;
        }
        let traffic = !(frame.work.is_empty() && frame.replies.is_empty());
        self.sign(&mut frame);
        let bytes = frame.encode_to_vec();
        self.metrics.sent(if traffic { "traffic" } else { "control" }, bytes.len());
        let asks = !(frame.probes.is_empty() && frame.work.is_empty());
        let line = self.line(address, asks);
        let sent = line.is_some_and(|(socket, gate)| gate.send(&socket, &bytes));
        if !sent {
            self.metrics.dropped(Reason::LinkFull);
        }
    }

    /// Fills in who sends the frame and when.
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

    /// Takes in that a frame of the peer at `address` came.
    pub fn heard(&self, address: &str) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(line) = lines.get_mut(address) {
            line.asked = None;
        }
    }

    /// The socket to `address`, opened when there is none or its connection broke.
    fn line(&self, address: &str, asks: bool) -> Option<(Socket, Gate)> {
        let now = self.clock.now();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let mut patience = PATIENCE.0;
        if let Some(line) = lines.get_mut(address) {
            line.used = now;
            let Some(longer) = line.replaced(now) else {
                if asks {
                    line.asked.get_or_insert(now);
                }
                return Some((line.socket.clone(), line.gate.clone()));
            };
            line.close();
            patience = longer;
        }
        close_idle(&mut lines, now);
        let mut line = self.open(address, now, patience).ok()?;
        line.asked = asks.then_some(now);
        let usable = (line.socket.clone(), line.gate.clone());
        lines.insert(Arc::from(address), line);
        Some(usable)
    }

    /// Opens a socket that connects in the background.
    fn open(&self, address: &str, now: Instant, patience: Duration) -> nng::Result<Line> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<SendBufferSize>(SEND_BUFFER)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT.0))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT.1))?;
        let gate = Gate::new();
        let watch = gate.clone();
        let on_down = Arc::clone(&self.on_down);
        let peer: Arc<str> = Arc::from(address);
        socket.pipe_notify(move |_, event| match event {
            PipeEvent::AddPost => watch.connected(),
            PipeEvent::RemovePost if watch.broke() => on_down(&peer),
            _ => {}
        })?;
        socket.dial_async(&format!("tcp://{address}"))?;
        let redial_at = now + patience;
        Ok(Line { socket, gate, used: now, redial_at, patience, asked: None })
    }
}

/// Closes connections that carried nothing for a while.
///
/// Digests go to random peers: without it an instance of a large fleet would in time hold a
/// connection to every other one, and to those that were replaced.
fn close_idle(lines: &mut Map<Arc<str>, Line>, now: Instant) {
    lines.retain(|_, line| {
        let keep = now.since(line.used) < IDLE;
        if !keep {
            line.close();
        }
        keep
    });
}
