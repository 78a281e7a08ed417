//! Simulated network of instances that exchange probes, requests and replies.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ladder_core::link::{Action, Cause, ConnectionKey, Links};
use ladder_core::time::Instant;
use ladder_schema::wire::{Frame, Probe, Reply, Work};
use prost::Message;

/// Time that a frame takes to its receiver.
const DELAY: Duration = Duration::from_millis(1);
/// Time until a connection is open.
const DIAL_TIME: Duration = Duration::from_millis(2);
/// Time that an instance takes to reply to a request.
const REPLY_TIME: Duration = Duration::from_millis(45);
/// Interval between probes of the next instances.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of instances that each one probes.
const PROBED: usize = 3;

/// What happens at some time.
#[derive(Debug)]
enum Event {
    Deliver { connection: (usize, ConnectionKey), bytes: Vec<u8> },
    Opened(usize, ConnectionKey),
    Check(usize),
    Probe(usize),
    Resume(usize),
    Reply { from: usize, to: usize, number: u64 },
    Request { from: usize, to: usize, number: u64 },
}

/// A connection of one instance to another.
#[derive(Clone, Copy, Debug)]
struct Connection {
    to: usize,
    is_silent: bool,
    /// Until when frames on the connection are held up.
    stalled_until: Instant,
    /// Whether the attempt to open the connection got lost.
    is_lost: bool,
}

/// A request between two instances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) sent_at: Instant,
    /// Number of times that it was received.
    pub(crate) received: usize,
    pub(crate) answered_at: Option<Instant>,
}

/// One instance of the network.
struct Instance {
    links: Links,
    incarnation: u64,
    paused_until: Instant,
    /// Events that arrived while the instance was paused.
    waiting: Vec<Event>,
    last_probe: u64,
}

/// The instances, the connections between them, and what was counted.
pub(crate) struct Network {
    now: Instant,
    instances: Vec<Instance>,
    connections: BTreeMap<(usize, ConnectionKey), Connection>,
    events: BTreeMap<(Instant, u64), Event>,
    scheduled: u64,
    pub(crate) requests: BTreeMap<u64, Request>,
    /// Connections that were replaced because they had gone silent.
    pub(crate) replaced: Vec<Cause>,
    /// Connections that were opened.
    pub(crate) opened: usize,
    /// Pairs whose frames are not confirmed, as if the receiver were of an older build.
    pub(crate) older_builds: BTreeSet<usize>,
    /// Whether attempts to open a connection get lost.
    pub(crate) loses_dials: bool,
}

impl Network {
    /// Starts instances that probe each other.
    pub(crate) fn start(size: usize) -> Self {
        let now = Instant::from_millis(1000);
        let instance = |number| Instance {
            links: Links::new(now, identity(number, 1)),
            incarnation: 1,
            paused_until: now,
            waiting: Vec::new(),
            last_probe: 0,
        };
        let mut network = Self {
            now,
            instances: (0..size).map(instance).collect(),
            connections: BTreeMap::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            requests: BTreeMap::new(),
            replaced: Vec::new(),
            opened: 0,
            older_builds: BTreeSet::new(),
            loses_dials: false,
        };
        for number in 0..size {
            let offset = PROBE_INTERVAL * number as u32 / size as u32;
            network.schedule(offset, Event::Probe(number));
            network.schedule(offset, Event::Check(number));
        }
        network
    }

    pub(crate) fn size(&self) -> usize {
        self.instances.len()
    }

    /// Schedules a request; each has a number of its own.
    pub(crate) fn request(&mut self, after: Duration, from: usize, to: usize) -> u64 {
        let number = self.requests.len() as u64 + 1;
        let sent_at = self.now + after;
        self.requests.insert(number, Request { sent_at, received: 0, answered_at: None });
        self.schedule(after, Event::Request { from, to, number });
        number
    }

    /// Silences the open connections for which `is_affected` is true, by sender and receiver.
    pub(crate) fn silence(&mut self, is_affected: impl Fn(usize, usize) -> bool) {
        for ((from, _), connection) in &mut self.connections {
            connection.is_silent |= is_affected(*from, connection.to);
        }
    }

    /// Holds up the frames on the open connections for which `is_affected` is true; they arrive
    /// afterwards.
    pub(crate) fn stall(&mut self, time: Duration, is_affected: impl Fn(usize, usize) -> bool) {
        for ((from, _), connection) in &mut self.connections {
            if is_affected(*from, connection.to) {
                connection.stalled_until = self.now + time;
            }
        }
    }

    /// Pauses an instance; what arrives meanwhile waits.
    pub(crate) fn pause(&mut self, instance: usize, time: Duration) {
        self.instances[instance].paused_until = self.now + time;
        self.schedule(time, Event::Resume(instance));
    }

    /// Ends the process of an instance without notice and starts another one at its address.
    pub(crate) fn restart_without_notice(&mut self, instance: usize) {
        let process = &mut self.instances[instance];
        process.incarnation += 1;
        process.links = Links::new(self.now, identity(instance, process.incarnation));
        self.connections.retain(|(from, _), _| *from != instance);
        self.silence(|_, to| to == instance);
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = end;
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.events.insert((self.now + after, self.scheduled), event);
    }

    fn handle(&mut self, event: Event) {
        let instance = match &event {
            Event::Deliver { connection, .. } => match self.connections.get(connection) {
                Some(Connection { to, is_silent: false, is_lost: false, .. }) => *to,
                _ => return,
            },
            Event::Opened(instance, _)
            | Event::Check(instance)
            | Event::Probe(instance)
            | Event::Resume(instance) => *instance,
            Event::Reply { from, .. } | Event::Request { from, .. } => *from,
        };
        if self.now < self.instances[instance].paused_until {
            self.instances[instance].waiting.push(event);
            return;
        }
        for waiting in std::mem::take(&mut self.instances[instance].waiting) {
            self.handle_at(instance, waiting);
        }
        self.handle_at(instance, event);
    }

    fn handle_at(&mut self, instance: usize, event: Event) {
        match event {
            Event::Deliver { bytes, .. } => {
                let frame = Frame::decode(&*bytes).expect("an encoded frame");
                self.receive(instance, &frame);
            }
            Event::Resume(_) => {}
            Event::Opened(_, connection) => self.instances[instance].links.opened(connection),
            Event::Check(_) => {
                let mut actions = Vec::new();
                let next = self.instances[instance].links.check(self.now, &mut actions);
                self.execute(instance, actions);
                self.schedule(next.since(self.now), Event::Check(instance));
            }
            Event::Probe(_) => {
                self.probe(instance);
                self.schedule(PROBE_INTERVAL, Event::Probe(instance));
            }
            Event::Reply { to, number, .. } => {
                let reply = Reply { query: number, ..Reply::default() };
                self.send(instance, to, Frame { replies: vec![reply], ..Frame::default() });
            }
            Event::Request { to, number, .. } => {
                let work = Work { query: number, ..Work::default() };
                self.send(instance, to, Frame { work: vec![work], ..Frame::default() });
            }
        }
    }

    fn probe(&mut self, instance: usize) {
        let size = self.size();
        for distance in 1..=PROBED.min(size - 1) {
            self.instances[instance].last_probe += 1;
            let probe = Probe { number: self.instances[instance].last_probe };
            let frame = Frame { probes: vec![probe], ..Frame::default() };
            self.send(instance, (instance + distance) % size, frame);
        }
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        let mut actions = Vec::new();
        self.instances[from].links.send(self.now, &address(to), frame, &mut actions);
        self.execute(from, actions);
    }

    fn receive(&mut self, instance: usize, frame: &Frame) {
        let mut frame = frame.clone();
        let from = number(&frame.address);
        if self.older_builds.contains(&from) {
            frame = without_confirmations(frame);
        }
        let mut actions = Vec::new();
        let is_new = self.instances[instance].links.receive(self.now, &frame, &mut actions);
        self.execute(instance, actions);
        if !is_new {
            return;
        }
        if !frame.probes.is_empty() {
            let acknowledgements = frame.probes.clone();
            self.send(instance, from, Frame { acknowledgements, ..Frame::default() });
        }
        for work in &frame.work {
            let request = self.requests.get_mut(&work.query).expect("a request that was sent");
            request.received += 1;
            let reply = Event::Reply { from: instance, to: from, number: work.query };
            self.schedule(REPLY_TIME, reply);
        }
        for reply in &frame.replies {
            let request = self.requests.get_mut(&reply.query).expect("a request that was sent");
            request.answered_at.get_or_insert(self.now);
        }
    }

    fn execute(&mut self, instance: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Open { connection, address } => {
                    let to = number(&address);
                    let stalled_until = self.now;
                    let is_lost = self.loses_dials;
                    let opened = Connection { to, is_silent: false, stalled_until, is_lost };
                    self.connections.insert((instance, connection), opened);
                    if !is_lost {
                        self.schedule(DIAL_TIME, Event::Opened(instance, connection));
                    }
                    self.opened += 1;
                }
                Action::Close(connection) => {
                    // What is on its way still arrives.
                    let key = (instance, connection);
                    let is_silent = self.connections.get(&key).is_some_and(|one| one.is_silent);
                    if is_silent {
                        self.connections.remove(&key);
                    }
                }
                Action::Send { connection, bytes, .. } => {
                    let connection = (instance, connection);
                    let held = self.connections.get(&connection).map(|one| one.stalled_until);
                    let delay = held.map_or(Duration::ZERO, |until| until.since(self.now));
                    let event = Event::Deliver { connection, bytes: bytes.to_vec() };
                    self.schedule(delay + DIAL_TIME + DELAY, event);
                }
                Action::Replaced { cause, .. } => self.replaced.push(cause),
                Action::Verified | Action::Unopened => {}
            }
        }
    }
}

/// The frame as a build would send it that does not confirm frames.
fn without_confirmations(frame: Frame) -> Frame {
    Frame {
        sequence: 0,
        received_until: 0,
        discarded_until: 0,
        verification: 0,
        verified: 0,
        ..frame
    }
}

fn identity(number: usize, incarnation: u64) -> Frame {
    Frame { address: address(number), incarnation, ..Frame::default() }
}

fn address(number: usize) -> String {
    format!("{number}")
}

fn number(address: &str) -> usize {
    address.parse().expect("an address of the network")
}
