//! Tests of the connections between instances.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ladder_schema::wire::{Frame, Probe};
use sycamoreladder::clock::Clock;
use sycamoreladder::link::{Cut, Identity, Outbound};
use sycamoreladder::metrics::Metrics;

/// Longest wait for the expected number of connections.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Protocol header that a receiving (pull) socket of the nng library sends when a connection opens.
const RECEIVER_HANDSHAKE: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];

/// Peer that accepts connections and reads frames but sends nothing after the handshake.
struct StubPeer {
    address: String,
    /// Number of connections accepted so far.
    connections: Arc<AtomicUsize>,
}

impl StubPeer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener has an address").to_string();
        let connections = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&connections);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                counter.fetch_add(1, Ordering::Relaxed);
                thread::spawn(move || discard_input(stream));
            }
        });
        Self { address, connections }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

fn discard_input(mut stream: TcpStream) {
    let _ = stream.write_all(&RECEIVER_HANDSHAKE);
    let mut buffer = [0; 1024];
    while matches!(stream.read(&mut buffer), Ok(1..)) {}
}

fn outbound_link() -> Outbound {
    let identity = Identity {
        fleet: "porto".to_owned(),
        name: "entry-1".to_owned(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
        zone: "trindade".to_owned(),
    };
    let metrics = Metrics::new().expect("the metrics can be created");
    Outbound::new(identity, Clock::new(), metrics, Cut::default(), Arc::new(|_| {}))
}

fn probe_frame(number: u64) -> Frame {
    Frame { probes: vec![Probe { number }], ..Frame::default() }
}

/// Guards against staying on a connection between two instances that fails silently: neither end is
/// notified, and nothing sent on it arrives. The operating system accepted the frames for a quarter
/// of an hour, so both instances considered each other dead and kept probing on the same
/// connection. A peer that is probed and sends nothing must be reconnected; a peer that replies
/// must keep its connection.
#[test]
fn connection_without_replies_is_replaced() {
    let (silent, outbound) = (StubPeer::start(), outbound_link());
    let started = Instant::now();
    let mut number = 0;
    while silent.connections() < 2 {
        assert!(started.elapsed() < TIMEOUT, "the silent peer gets no second connection");
        number += 1;
        outbound.send(&silent.address, probe_frame(number));
        thread::sleep(Duration::from_millis(50));
    }
    let answering = StubPeer::start();
    for number in 0..60 {
        outbound.send(&answering.address, probe_frame(number));
        outbound.heard(&answering.address);
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(answering.connections(), 1, "a peer that replies keeps its connection");
}
