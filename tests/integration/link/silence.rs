//! Tests of two instances whose open connections go silent.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ladder_schema::publication::Record;
use ladder_schema::wire::{Frame, Probe, Reply, Work};
use slog::{Discard, Logger, o};
use sycamoreladder::clock::Clock;
use sycamoreladder::link::{Context, Cut, Identity, Inbound, Outbound};
use sycamoreladder::metrics::Metrics;

use super::proxy::Proxy;
use crate::fleet;

/// Longest wait for a frame that has to arrive.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Port on which an end of a link receives frames. Each end has an address of its own, so that no
/// other socket can have taken the port.
const PORT: u16 = 7380;

/// One end of a link, reachable only through a proxy.
struct End {
    proxy: Proxy,
    outbound: Outbound,
    received: Arc<Mutex<Vec<Frame>>>,
}

impl End {
    fn start(name: &str) -> Self {
        let (_, ip) = fleet::next_address();
        let address = format!("{ip}:{PORT}");
        let socket = Inbound::listen(&address).expect("the port is free");
        let proxy = Proxy::start(&address);
        let metrics = Metrics::new().expect("the metrics can be created");
        let (clock, cut) = (Clock::new(), Cut::default());
        let log = Logger::root(Discard, o!());
        let inbound = Inbound {
            fleet: "porto".to_owned(),
            clock,
            metrics: metrics.clone(),
            cut: cut.clone(),
            log: log.clone(),
        };
        let identity = Identity {
            fleet: "porto".to_owned(),
            name: name.to_owned(),
            incarnation: 1,
            address: proxy.address().to_owned(),
            zone: "trindade".to_owned(),
        };
        let context = Context { clock, metrics, cut, log };
        let outbound = Outbound::new(identity, context, Arc::new(|_| {}));
        let checking = outbound.clone();
        thread::spawn(move || checking.run());
        let received = Arc::new(Mutex::new(Vec::new()));
        let (receiving, frames) = (outbound.clone(), Arc::clone(&received));
        thread::spawn(move || {
            inbound.run(&socket, |frame| {
                if receiving.receive(&frame) {
                    frames.lock().expect("no test thread panicked").push(frame);
                }
            });
        });
        Self { proxy, outbound, received }
    }

    fn send(&self, to: &Self, frame: Frame) {
        self.outbound.send(to.proxy.address(), frame);
    }

    /// Number of frames received so far that fulfil a condition.
    fn count(&self, condition: impl Fn(&Frame) -> bool) -> usize {
        let received = self.received.lock().expect("no test thread panicked");
        received.iter().filter(|frame| condition(frame)).count()
    }

    /// Waits until a frame has arrived that fulfils a condition, and does `meanwhile` in between.
    fn await_frame(&self, what: &str, condition: impl Fn(&Frame) -> bool, meanwhile: impl Fn()) {
        let started = Instant::now();
        while self.count(&condition) == 0 {
            assert!(started.elapsed() < TIMEOUT, "{what} does not arrive");
            meanwhile();
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Creates a frame that is identified by a number in its content.
type MakeFrame = fn(u64) -> Frame;

fn work(number: u64) -> Frame {
    Frame { work: vec![Work { query: number, ..Work::default() }], ..Frame::default() }
}

fn reply(number: u64) -> Frame {
    Frame { replies: vec![Reply { query: number, ..Reply::default() }], ..Frame::default() }
}

fn change(number: u64) -> Frame {
    Frame { records: vec![Record { revision: number, ..Record::default() }], ..Frame::default() }
}

fn number(frame: &Frame) -> Option<u64> {
    let work = frame.work.iter().map(|work| work.query);
    let replies = frame.replies.iter().map(|reply| reply.query);
    let records = frame.records.iter().map(|record| record.revision);
    work.chain(replies).chain(records).next()
}

struct Case {
    name: &'static str,
    /// Whether the connection of the sender and that of the receiver go silent.
    silent: (bool, bool),
    frame: MakeFrame,
    /// Whether the receiver goes on sending frames of its own.
    receiver_sends: bool,
}

const CASES: &[Case] = &[
    Case { name: "work, both silent", silent: (true, true), frame: work, receiver_sends: false },
    Case { name: "work, one silent", silent: (true, false), frame: work, receiver_sends: true },
    Case { name: "reply, both silent", silent: (true, true), frame: reply, receiver_sends: false },
    Case { name: "reply, one silent", silent: (true, false), frame: reply, receiver_sends: true },
    Case {
        name: "change, both silent",
        silent: (true, true),
        frame: change,
        receiver_sends: false,
    },
    Case { name: "change, one silent", silent: (true, false), frame: change, receiver_sends: true },
    Case { name: "work, none silent", silent: (false, false), frame: work, receiver_sends: true },
];

/// Guards against losing what is sent into a connection that has gone silent: it was replaced two
/// seconds after a frame without answer, never while the peer's own frames arrived, and what it had
/// swallowed was lost.
#[test]
fn frame_sent_into_a_silent_connection_arrives_once() {
    thread::scope(|scope| {
        for case in CASES {
            scope.spawn(|| check_delivery(case));
        }
    });
}

fn check_delivery(case: &Case) {
    let (sender, receiver) = (End::start("entry-1"), End::start("entry-2"));
    sender.send(&receiver, (case.frame)(1));
    receiver.await_frame(case.name, |frame| number(frame) == Some(1), || {});
    receiver.send(&sender, change(2));
    sender.await_frame(case.name, |frame| number(frame) == Some(2), || {});
    if case.silent.0 {
        receiver.proxy.silence();
    }
    if case.silent.1 {
        sender.proxy.silence();
    }
    sender.send(&receiver, (case.frame)(3));
    let receiver_sends = || {
        if case.receiver_sends {
            receiver.send(&sender, Frame { probes: vec![Probe { number: 9 }], ..Frame::default() });
        }
    };
    receiver.await_frame(case.name, |frame| number(frame) == Some(3), receiver_sends);
    thread::sleep(Duration::from_millis(300));
    let copies = receiver.count(|frame| number(frame) == Some(3));
    assert_eq!(copies, 1, "{}: copies of one frame", case.name);
    if !case.silent.0 {
        assert_eq!(receiver.proxy.connections(), 1, "{}: a connection that works", case.name);
    }
}
