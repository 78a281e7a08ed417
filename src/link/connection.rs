//! State of the connection to one peer, and when it has to be replaced.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ladder_core::time::Instant;
use ladder_schema::wire::{Frame, Probe};
use nng::Socket;

use crate::metrics::PeerConnection;

/// First and longest time that a connection attempt may take before it is replaced by a new
/// attempt; the time doubles with each attempt.
///
/// A machine without power does not answer the packet that opens a connection, and the operating
/// system resends the packet only after a second. After a power failure of the whole fleet,
/// instances that restarted early dialled machines that were still off, and knew of no other
/// instance for a second.
pub(super) const DIAL_TIMEOUT: (Duration, Duration) =
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
pub(super) struct ConnectionState(Arc<Mutex<Phase>>);

impl ConnectionState {
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(Phase::Dialled)))
    }

    fn lock(&self) -> MutexGuard<'_, Phase> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn phase(&self) -> Phase {
        *self.lock()
    }

    pub(super) fn mark_connected(&self) {
        let mut phase = self.lock();
        if *phase == Phase::Dialled {
            *phase = Phase::Connected;
        }
    }

    /// Records that the connection has ended; no frame is being sent at this time. Returns whether
    /// the end is a loss, which it isn't if this instance closed the socket.
    pub(super) fn mark_broken(&self) -> bool {
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
    pub(super) fn send(&self, socket: &Socket, bytes: &[u8]) -> bool {
        let phase = self.lock();
        matches!(*phase, Phase::Dialled | Phase::Connected) && socket.try_send(bytes).is_ok()
    }
}

/// The connection to one peer. A broken connection is replaced together with its socket.
pub(super) struct Connection {
    pub(super) socket: Socket,
    pub(super) state: ConnectionState,
    /// Time at which the connection attempt began.
    opened_at: Instant,
    /// Time at which a frame was last passed to this connection.
    pub(super) last_used: Instant,
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
    /// Number of frames sent on this connection since the peer last answered on it.
    unanswered_frames: u64,
}

/// Why a connection is replaced, and what is known of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Replacement {
    /// Event that is counted.
    pub(super) cause: PeerConnection,
    /// Dial timeout of the connection that replaces it.
    pub(super) timeout: Duration,
    /// Time since the first frame on the replaced connection that the peer left unanswered.
    pub(super) silence: Option<Duration>,
    /// Number of frames sent on the replaced connection since the peer last answered on it. They may
    /// be lost.
    pub(super) unanswered_frames: u64,
}

impl Connection {
    /// A connection whose attempt begins now and is to be replaced if it takes longer than `timeout`.
    pub(super) fn new(
        socket: Socket,
        state: ConnectionState,
        now: Instant,
        timeout: Duration,
    ) -> Self {
        Self {
            socket,
            state,
            opened_at: now,
            last_used: now,
            redial_at: now + timeout,
            timeout,
            unanswered_since: None,
            unacknowledged_since: None,
            first_probe: 0,
            answered_at: now,
            peer_requests_replacement: false,
            unanswered_frames: 0,
        }
    }

    /// Why this connection has to be replaced; `None` while it is usable. `silent_since` tells since
    /// when the connection to another peer has been silent.
    pub(super) fn replacement(
        &self,
        now: Instant,
        silent_since: Option<Instant>,
    ) -> Option<Replacement> {
        let cause = self.replacement_cause(now, silent_since)?;
        let timeout = match cause {
            PeerConnection::Unopened => (self.timeout * 2).min(DIAL_TIMEOUT.1),
            _ => DIAL_TIMEOUT.0,
        };
        Some(Replacement {
            cause,
            timeout,
            silence: self.silent_since().map(|since| now.since(since)),
            unanswered_frames: self.unanswered_frames,
        })
    }

    fn replacement_cause(
        &self,
        now: Instant,
        silent_since: Option<Instant>,
    ) -> Option<PeerConnection> {
        let cause = match self.state.phase() {
            Phase::Dialled if now >= self.redial_at => PeerConnection::Unopened,
            Phase::Connected if self.is_silent(now) => PeerConnection::Silent,
            Phase::Connected if silent_since.is_some_and(|since| self.answered_at < since) => {
                PeerConnection::Unverified
            }
            Phase::Connected if self.peer_requests_replacement => PeerConnection::Requested,
            Phase::Dialled | Phase::Connected => return None,
            Phase::Broken | Phase::Closed => PeerConnection::Broken,
        };
        Some(cause)
    }

    /// Since when the connection may have been silent, going by the frames that need an answer.
    pub(super) fn silent_since(&self) -> Option<Instant> {
        let times = [self.unanswered_since, self.unacknowledged_since];
        times.into_iter().flatten().min()
    }

    /// Whether the peer has left a frame unanswered for [`ANSWER_TIMEOUT`] or longer.
    fn is_silent(&self, now: Instant) -> bool {
        self.silent_since().is_some_and(|since| now.since(since) >= ANSWER_TIMEOUT)
    }

    /// Notes a frame that is about to be sent on this connection.
    pub(super) fn note_sent(&mut self, now: Instant, frame: &Frame) {
        self.unanswered_frames += 1;
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
    pub(super) fn note_received(&mut self, now: Instant, frame: &Frame) {
        self.unanswered_since = None;
        let is_own_probe = |probe: &Probe| (1..=probe.number).contains(&self.first_probe);
        let acknowledges = frame.acknowledgements.iter().any(is_own_probe);
        if acknowledges {
            self.unacknowledged_since = None;
        }
        if acknowledges || !frame.replies.is_empty() {
            self.answered_at = now;
            self.unanswered_frames = 0;
        }
        // The connection may have been replaced since the peer sent its request.
        let is_old = now.since(self.opened_at) >= ANSWER_TIMEOUT;
        self.peer_requests_replacement |= frame.replaces_silent && is_old;
    }

    pub(super) fn close(&self) {
        self.state.close();
        self.socket.close();
    }
}
