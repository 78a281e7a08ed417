//! Tests of the connections between instances. The stub peers are of a build that does not confirm
//! frames.

mod proxy;
mod silence;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ladder_schema::wire::{Frame, Probe};
use slog::{Discard, Logger, o};
use sycamoreladder::clock::Clock;
use sycamoreladder::link::{Context, Cut, Identity, Outbound};
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
    let log = Logger::root(Discard, o!());
    let context = Context { clock: Clock::new(), metrics, cut: Cut::default(), log };
    let outbound = Outbound::new(identity, context, Arc::new(|_| {}));
    let checking = outbound.clone();
    thread::spawn(move || checking.run());
    outbound
}

fn probe_frame(number: u64) -> Frame {
    Frame { probes: vec![Probe { number }], ..Frame::default() }
}

/// A frame of a peer that contains nothing but its sender.
fn frame_from(peer: &StubPeer) -> Frame {
    Frame { address: peer.address.clone(), ..Frame::default() }
}

/// A frame in which a peer acknowledges a probe.
fn acknowledgement(peer: &StubPeer, number: u64) -> Frame {
    Frame { acknowledgements: vec![Probe { number }], ..frame_from(peer) }
}

/// Sends probes to a peer and does `after_each` until it has accepted this many connections.
fn probe_until_connections(
    outbound: &Outbound,
    peer: &StubPeer,
    count: usize,
    after_each: impl Fn(),
) {
    let started = Instant::now();
    let mut number = 100;
    while peer.connections() < count {
        assert!(started.elapsed() < TIMEOUT, "{} connections", peer.connections());
        number += 1;
        outbound.send(&peer.address, probe_frame(number));
        after_each();
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against staying on a connection that is silent in one direction only: the peer's own
/// frames arrived on its connection, and were taken for answers to what it never received.
#[test]
fn peer_that_sends_but_acknowledges_nothing_is_reconnected() {
    let (peer, outbound) = (StubPeer::start(), outbound_link());
    probe_until_connections(&outbound, &peer, 2, || {
        outbound.receive(&frame_from(&peer));
    });
}

/// Guards against losing the next frame to each peer after many connections fell silent at once:
/// two instances of a large fleet that seldom exchange frames did not notice before they had used
/// their connection twice, which took minutes.
#[test]
fn connections_without_answers_since_a_silence_are_replaced_before_use() {
    let outbound = outbound_link();
    let [silent, seldom, answering] = [(); 3].map(|()| StubPeer::start());
    outbound.receive(&acknowledgement(&silent, 1));
    for peer in [&seldom, &answering] {
        probe_until_connections(&outbound, peer, 1, || {});
        outbound.receive(&acknowledgement(peer, 1000));
    }
    thread::sleep(Duration::from_millis(100));
    probe_until_connections(&outbound, &silent, 2, || {
        outbound.send(&answering.address, probe_frame(2000));
        outbound.receive(&acknowledgement(&answering, 2000));
    });
    let started = Instant::now();
    while seldom.connections() < 2 {
        assert!(started.elapsed() < TIMEOUT, "the unused connection is not replaced");
        outbound.send(&seldom.address, Frame::default());
        thread::sleep(Duration::from_millis(50));
    }
    outbound.send(&answering.address, Frame::default());
    thread::sleep(Duration::from_millis(200));
    assert_eq!(answering.connections(), 1, "a connection with answers is kept");
    assert_eq!(seldom.connections(), 2, "a connection is replaced once");
}

/// Guards against a peer that goes on answering on a silent connection: its answers need no answer
/// themselves, so it would never notice.
#[test]
fn peer_that_replaced_its_connection_gets_answers_on_a_new_one() {
    let (peer, outbound) = (StubPeer::start(), outbound_link());
    let request = Frame { replaces_silent: true, ..frame_from(&peer) };
    outbound.send(&peer.address, Frame::default());
    outbound.receive(&request);
    thread::sleep(Duration::from_millis(500));
    outbound.send(&peer.address, Frame::default());
    thread::sleep(Duration::from_millis(200));
    assert_eq!(peer.connections(), 1, "a connection that was opened just before is kept");
    thread::sleep(Duration::from_secs(2));
    outbound.receive(&request);
    let started = Instant::now();
    while peer.connections() < 2 {
        assert!(started.elapsed() < TIMEOUT, "the connection is not replaced");
        outbound.send(&peer.address, Frame::default());
        thread::sleep(Duration::from_millis(50));
    }
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
    for number in 1..=60 {
        outbound.send(&answering.address, probe_frame(number));
        outbound.receive(&acknowledgement(&answering, number));
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(answering.connections(), 1, "a peer that replies keeps its connection");
}
