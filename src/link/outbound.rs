//! Sends frames to peers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ladder_core::collections::Map;
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
/// First and longest wait before a broken connection is opened again.
const RECONNECT: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(1000));

/// Told the address of a peer whose connection broke.
pub type OnDown = Arc<dyn Fn(&str) + Send + Sync>;

/// The sending half of the link; clones share the sockets.
#[derive(Clone)]
pub struct Outbound {
    identity: Arc<Identity>,
    clock: Clock,
    metrics: Metrics,
    cut: Cut,
    on_down: OnDown,
    /// Invariant: at most one socket per address.
    sockets: Arc<Mutex<Map<Arc<str>, Socket>>>,
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
        Self {
            identity: Arc::new(identity),
            clock,
            metrics,
            cut,
            on_down,
            sockets: Arc::default(),
        }
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
        self.metrics
            .sent(if traffic { "traffic" } else { "control" }, bytes.len());
        let sent = self
            .socket(address)
            .is_some_and(|socket| socket.try_send(&bytes[..]).is_ok());
        if !sent {
            self.metrics.dropped(Reason::LinkFull);
        }
    }

    /// Closes connections to addresses that `keep` refuses.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.sockets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|address, _| keep(address));
    }

    /// Fills in who sends the frame and when.
    fn sign(&self, frame: &mut Frame) {
        frame.protocol = bounds::PROTOCOL;
        frame.fleet.clone_from(&self.identity.fleet);
        frame.from.clone_from(&self.identity.name);
        frame.incarnation = self.identity.incarnation;
        frame.address.clone_from(&self.identity.address);
        frame.zone.clone_from(&self.identity.zone);
        frame.sent_us = self.clock.now().as_micros();
    }

    /// The socket to `address`, opened when there is none.
    fn socket(&self, address: &str) -> Option<Socket> {
        let mut sockets = self.sockets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(socket) = sockets.get(address) {
            return Some(socket.clone());
        }
        let socket = self.open(address).ok()?;
        sockets.insert(Arc::from(address), socket.clone());
        Some(socket)
    }

    /// Opens a socket that connects in the background and again after each break.
    fn open(&self, address: &str) -> nng::Result<Socket> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<SendBufferSize>(SEND_BUFFER)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT.0))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT.1))?;
        let on_down = Arc::clone(&self.on_down);
        let peer: Arc<str> = Arc::from(address);
        socket.pipe_notify(move |_, event| {
            if matches!(event, PipeEvent::RemovePost) {
                on_down(&peer);
            }
        })?;
        socket.dial_async(&format!("tcp://{address}"))?;
        Ok(socket)
    }
}
