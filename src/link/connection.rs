//! Socket of one connection to a peer.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, SendBufferSize};
use nng::{PipeEvent, Protocol, Socket};

/// Most frames that wait in the send buffer of a connection.
const SEND_BUFFER: i32 = 512;
/// Shortest and longest delay before a refused connection is attempted again.
const RECONNECT_DELAY: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(1000));

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

/// What happens to a connection without this instance's doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Event {
    Opened,
    Broken,
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
struct State(Arc<Mutex<Phase>>);

impl State {
    fn lock(&self) -> MutexGuard<'_, Phase> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the connection is open. Returns whether it was being opened.
    fn mark_connected(&self) -> bool {
        let mut phase = self.lock();
        let opened = *phase == Phase::Dialled;
        if opened {
            *phase = Phase::Connected;
        }
        opened
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
}

/// The socket of one connection to a peer. A broken connection is replaced together with its socket.
pub(super) struct Connection {
    /// Peer address.
    pub(super) address: Arc<str>,
    socket: Socket,
    state: State,
}

impl Connection {
    /// Opens a socket that connects to `address` in the background and reports what happens to the
    /// connection.
    pub(super) fn open(
        address: Arc<str>,
        report: impl Fn(Event) + Send + Sync + 'static,
    ) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<SendBufferSize>(SEND_BUFFER)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_DELAY.0))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_DELAY.1))?;
        let state = State(Arc::new(Mutex::new(Phase::Dialled)));
        let callback_state = state.clone();
        socket.pipe_notify(move |_, event| match event {
            PipeEvent::AddPost if callback_state.mark_connected() => report(Event::Opened),
            PipeEvent::RemovePost if callback_state.mark_broken() => report(Event::Broken),
            _ => {}
        })?;
        socket.dial_async(&format!("tcp://{address}"))?;
        Ok(Self { address, socket, state })
    }

    /// Passes a frame to the socket unless the connection is broken or closed. Returns whether the
    /// frame was accepted.
    pub(super) fn send(&self, bytes: &[u8]) -> bool {
        let phase = self.state.lock();
        matches!(*phase, Phase::Dialled | Phase::Connected) && self.socket.try_send(bytes).is_ok()
    }

    pub(super) fn close(&self) {
        *self.state.lock() = Phase::Closed;
        self.socket.close();
    }
}
