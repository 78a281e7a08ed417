//! Connections between instances.

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

/// Longest wait for anything.
const PATIENCE: Duration = Duration::from_secs(30);
/// What a receiving socket says of itself when a connection opens.
const GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];

/// A peer that takes connections and frames, and never says anything.
struct Peer {
    address: String,
    /// Connections so far.
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
                thread::spawn(move || swallow(stream));
            }
        });
        Self { address, connections }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

fn swallow(mut stream: TcpStream) {
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
    Outbound::new(identity, Clock::new(), metrics, Cut::default(), Arc::new(|_| {}))
}

fn probe(number: u64) -> Frame {
    Frame { probes: vec![Probe { number }], ..Frame::default() }
}

/// A connection between two instances goes silent: neither end is told, and nothing that is sent on it
/// arrives. The frames were taken by the system for a quarter of an hour, so that each held the other dead
/// and asked it again and again on the same connection. A peer that is asked and not heard of is dialled
/// anew; one that answers keeps its connection.
#[test]
fn silent_connection_is_dialled_anew() {
    let (silent, link) = (Peer::start(), link());
    let begun = Instant::now();
    let mut number = 0;
    while silent.connections() < 2 {
        assert!(begun.elapsed() < PATIENCE, "it is dialled anew");
        number += 1;
        link.send(&silent.address, probe(number));
        thread::sleep(Duration::from_millis(50));
    }
    let answering = Peer::start();
    for number in 0..60 {
        link.send(&answering.address, probe(number));
        link.heard(&answering.address);
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(answering.connections(), 1, "it answers all the while");
}
