//! The round-trip time of a TCP connection, as the operating system measures it.

use std::time::Duration;

use nix::sys::socket::getsockopt;
use nix::{getsockopt_impl, libc, sockopt_impl};
use tokio::net::TcpStream;

/// The first fields of the kernel's `struct tcp_info`, whose order never changes: newer kernels
/// append fields, and return as many as are asked for.
#[derive(Clone, Copy, Debug)]
#[repr(C)]
pub struct TcpInfo {
    /// State, counters of retransmissions and probes, options and window scales.
    head: [u8; 8],
    /// Timeouts, segment sizes, counts of segments and ages; each of four bytes.
    counts: [u32; 15],
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
pub fn of(stream: &TcpStream) -> Option<Duration> {
    let info = getsockopt(stream, Info).ok()?;
    let round_trip = Duration::from_micros(info.round_trip_us.into());
    (!round_trip.is_zero()).then_some(round_trip)
}
