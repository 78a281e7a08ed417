//! Receives frames from peers.

use std::sync::Arc;

use ladder_core::age::ClockOffsets;
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

/// Most frames that are received but not yet decoded.
const RECEIVE_BUFFER: i32 = 1024;

/// Receives frames from peers, checks them and passes them on.
pub struct Inbound {
    /// Name of this instance's fleet; frames of other fleets are rejected.
    pub fleet: String,
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics in which rejected frames are counted.
    pub metrics: Metrics,
    /// Addresses of peers whose frames a failure test drops.
    pub cut: Cut,
    /// Logger of this instance.
    pub log: Logger,
}

impl Inbound {
    /// Opens the peer socket at `address`.
    ///
    /// # Errors
    ///
    /// An error of nng if the address cannot be listened on.
    pub fn listen(address: &str) -> nng::Result<Socket> {
        let socket = Socket::new(Protocol::Pull0)?;
        socket.set_opt::<RecvBufferSize>(RECEIVE_BUFFER)?;
        socket.set_opt::<RecvMaxSize>(bounds::FRAME_BYTES)?;
        socket.listen(&format!("tcp://{address}"))?;
        Ok(socket)
    }

    /// Passes each valid frame to `deliver` until the socket is closed.
    pub fn run(self, socket: &Socket, mut deliver: impl FnMut(Frame)) {
        let mut clock_offsets = ClockOffsets::default();
        while let Ok(message) = socket.recv() {
            match self.decode(&message) {
                Ok(mut frame) => {
                    self.deduct_buffer_time(&mut clock_offsets, &mut frame);
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

    /// Subtracts the estimated time that the frame waited in buffers from the time budgets of its
    /// work.
    ///
    /// A process that was paused finds old frames in its socket. Their budgets are relative times,
    /// so without this correction the work would look recent and would be executed for callers that
    /// timed out long ago.
    fn deduct_buffer_time(&self, clock_offsets: &mut ClockOffsets, frame: &mut Frame) {
        let sender = Arc::from(frame.from.as_str());
        let sent = frame.sent_us;
        let age_us = clock_offsets.age(sender, frame.incarnation, sent, self.clock.now());
        for work in &mut frame.work {
            work.budget_us = work.budget_us.saturating_sub(age_us);
            if let Some(collect) = &mut work.collect {
                collect.timely_us = collect.timely_us.saturating_sub(age_us);
            }
        }
    }
}

/// Decodes a frame and checks that it comes from the fleet `fleet`.
///
/// # Errors
///
/// The drop reason to count: the frame is malformed, too large, of another protocol or of another
/// fleet.
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
