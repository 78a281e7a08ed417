//! Tests of the connections between instances.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ladder_schema::wire::{Frame, Probe};
use sycamoreladder::clock::Clock;
use sycamoreladder::link::{CutLinks, Identity, Outbound};
use sycamoreladder::metrics::Metrics;

/// Longest wait for the expected condition of a test.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes that a receiving nng socket sends when a connection opens.
const GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];

/// A peer that accepts connections and frames, and never sends a frame.
struct Peer {
    address: String,
    /// Number of connections accepted so far.
    connections: Arc<AtomicUsize>,
}

impl Peer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let connections = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&connections);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                counter.fetch_add(1, Ordering::Relaxed);
                thread::spawn(move || read_and_discard(stream));
            }
        });
        Self { address, connections }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

fn read_and_discard(mut stream: TcpStream) {
    let _ = stream.write_all(&GREETING);
    let mut buffer = [0; 1024];
    while matches!(stream.read(&mut buffer), Ok(1..)) {}
}

fn link() -> Outbound {
    let identity = Identity {
        fleet: "porto".to_owned(),
        name: "entry-1".to_owned(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
        zone: "trindade".to_owned(),
    };
    let metrics = Metrics::new().expect("instruments");
    Outbound::new(identity, Clock::new(), metrics, CutLinks::default(), Arc::new(|_| {}))
}

fn probe(number: u64) -> Frame {
    Frame { probes: vec![Probe { number }], ..Frame::default() }
}

/// Guards against keeping a connection between two instances that fails without notice to either
/// end. The operating system accepted frames on it for a quarter of an hour, so that each instance
/// considered the other dead and probed it again on the same connection. A peer that leaves probes
/// unanswered is dialled again; a peer that answers keeps its connection.
#[test]
fn silent_connection_is_replaced_and_answering_one_kept() {
    let (silent, link) = (Peer::start(), link());
    let started_at = Instant::now();
    let mut number = 0;
    while silent.connections() < 2 {
        assert!(started_at.elapsed() < TIMEOUT, "the peer is dialled again");
        number += 1;
        link.send(&silent.address, probe(number));
        thread::sleep(Duration::from_millis(50));
    }
    let answering = Peer::start();
    for number in 0..60 {
        link.send(&answering.address, probe(number));
        link.record_received(&answering.address);
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(answering.connections(), 1, "a peer that answers keeps its connection");
}
