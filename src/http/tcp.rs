//! State of a TCP connection that the operating system reports: round trip and acknowledgements.

use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};

use nix::sys::socket::getsockopt;
use nix::{getsockopt_impl, libc, sockopt_impl};
use tokio::net::TcpStream;

/// Interval at which it is checked whether the other end has received everything.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Longest time until an acknowledgement, beyond the round trip, that is taken for the time of the
/// transfer: an end may delay an acknowledgement by 40 ms.
const MAX_TRANSFER: Duration = Duration::from_millis(25);

/// The first fields of the kernel's `struct tcp_info`, whose order never changes: newer kernels
/// append fields, and return as many as are asked for.
#[derive(Clone, Copy, Debug)]
#[repr(C)]
pub struct TcpInfo {
    /// State, counters of retransmissions and probes, options and window scales.
    head: [u8; 8],
    /// Timeouts and segment sizes; each of four bytes.
    limits: [u32; 4],
    /// Number of segments that were sent and are not acknowledged.
    unacknowledged: u32,
    /// Counts of segments, ages and thresholds; each of four bytes.
    counts: [u32; 10],
    /// Smoothed round-trip time in microseconds; 0 while nothing was measured.
    round_trip_us: u32,
}

sockopt_impl!(
    /// Reads the state of a TCP connection.
    Info,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    TcpInfo
);

/// Returns the round-trip time of a connection, if the operating system has measured it.
///
/// On a connection that has just been accepted, it is that of the handshake. Later values also
/// contain the time for which the other end delays its acknowledgements.
pub fn round_trip(stream: &TcpStream) -> Option<Duration> {
    let info = getsockopt(stream, Info).ok()?;
    let round_trip = Duration::from_micros(info.round_trip_us.into());
    (!round_trip.is_zero()).then_some(round_trip)
}

/// A connection to which something has been written.
pub(super) struct Transfer {
    socket: OwnedFd,
    round_trip: Duration,
    begun_at: Instant,
}

impl Transfer {
    /// Begins to observe what has just been written to `stream`; `None` if the connection cannot be
    /// observed.
    pub(super) fn begin(stream: &TcpStream, round_trip: Option<Duration>) -> Option<Self> {
        let socket = stream.as_fd().try_clone_to_owned().ok()?;
        Some(Self { socket, round_trip: round_trip?, begun_at: Instant::now() })
    }

    /// Waits until the other end has everything, and returns how much longer than a round trip that
    /// took; zero if it is not known.
    pub(super) async fn end(self) -> Duration {
        actix_rt::time::sleep(self.round_trip).await;
        loop {
            let transfer = self.begun_at.elapsed().saturating_sub(self.round_trip);
            match getsockopt(&self.socket, Info) {
                Ok(info) if info.unacknowledged == 0 => return transfer,
                Ok(_) if transfer <= MAX_TRANSFER => {}
                _ => return Duration::ZERO,
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}
