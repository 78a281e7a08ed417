//! Receives frames from peers.

use std::sync::Arc;

use ladder_core::age::Gauges;
use ladder_schema::bounds;
use ladder_schema::outcome::Reason;
use ladder_schema::wire::Frame;
use nng::options::{Options, RecvBufferSize, RecvMaxSize};
use nng::{Protocol, Socket};
use prost::Message;
use slog::{Logger, warn};

use super::Cut;
use crate::clock::Clock;
use crate::metrics::Metrics;

/// Frames received but not yet decoded.
const RECEIVE_BUFFER: i32 = 1024;

/// The receiving half of the link.
pub struct Inbound {
    /// Fleet name; frames of others are refused.
    pub fleet: String,
    /// The process's clock.
    pub clock: Clock,
    /// Where drops are counted.
    pub metrics: Metrics,
    /// Peers cut off by a test.
    pub cut: Cut,
    /// Log of this instance.
    pub log: Logger,
}

impl Inbound {
    /// Opens the socket at `address`.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub fn listen(address: &str) -> nng::Result<Socket> {
        let socket = Socket::new(Protocol::Pull0)?;
        socket.set_opt::<RecvBufferSize>(RECEIVE_BUFFER)?;
        socket.set_opt::<RecvMaxSize>(bounds::FRAME_BYTES)?;
        socket.listen(&format!("tcp://{address}"))?;
        Ok(socket)
    }

    /// Hands each good frame to `deliver`, until the socket is closed.
    pub fn run(self, socket: &Socket, mut deliver: impl FnMut(Frame)) {
        let mut gauges = Gauges::default();
        while let Ok(message) = socket.recv() {
            match self.decode(&message) {
                Ok(mut frame) => {
                    self.age(&mut gauges, &mut frame);
                    deliver(frame);
                }
                Err(reason) => self.metrics.dropped(reason),
            }
        }
        warn!(self.log, "the peer socket is closed");
    }

    /// Decodes and checks one frame.
    fn decode(&self, bytes: &[u8]) -> Result<Frame, Reason> {
        let frame = decode(bytes, &self.fleet)?;
        if self.cut.contains(&frame.address) {
            return Err(Reason::LinkCut);
        }
        Ok(frame)
    }

    /// Takes the time the frame lay in buffers off its work's budgets.
    ///
    /// A process that was suspended finds old frames in its socket. Their budgets are relative, so
    /// without this the work would look fresh and run for callers that gave up long ago.
    fn age(&self, gauges: &mut Gauges, frame: &mut Frame) {
        let sender = Arc::from(frame.from.as_str());
        let sent = frame.sent_us;
        let age = gauges.age(sender, frame.incarnation, sent, self.clock.now());
        for work in &mut frame.work {
            work.budget_us = work.budget_us.saturating_sub(age);
            if let Some(collect) = &mut work.collect {
                collect.timely_us = collect.timely_us.saturating_sub(age);
            }
        }
    }
}

/// Decodes a frame of `fleet`.
///
/// # Errors
///
/// The reason to count: malformed, another protocol, another fleet.
pub fn decode(bytes: &[u8], fleet: &str) -> Result<Frame, Reason> {
    if bytes.len() > bounds::FRAME_BYTES {
        return Err(Reason::TooLarge);
    }
    let frame = Frame::decode(bytes).map_err(|_| Reason::PeerMalformed)?;
    if frame.protocol != bounds::PROTOCOL {
        return Err(Reason::WrongProtocol);
    }
    if frame.fleet != fleet {
        return Err(Reason::ForeignFleet);
    }
    if frame.from.is_empty() || frame.from.len() > bounds::NAME_BYTES {
        return Err(Reason::PeerMalformed);
    }
    Ok(frame)
}
