//! Tests that a part of a sweep runs on no more servers than its route allows, with the frames of
//! all instances passing through their links.
//!
//! Drawn orders of events: instances restart, drain, and learn at different times of servers;
//! frames arrive late, also from a process that has ended; connections go silent or break; calls end
//! in any way.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bolero::TypeGenerator;
use ladder_core::leaf::event::{AttemptKey, ConnectionKey};
use ladder_core::link::{self, Links};
use ladder_core::schema::catalogue::Limits;
use ladder_core::schema::target;
use ladder_core::schema::wire::Frame;
use ladder_core::time::Instant;
use ladder_core::view::Peer;
use ladder_core::{gather, leaf};
use prost::Message as _;

use crate::attempts::{
    ATTEMPTS, End, INSTANCES, Property, ServerState, ZONES, index_of, server_number, service_name,
    sweep, view,
};
use crate::harness;

/// One step of the simulation. Each number selects among the existing items, modulo their count.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Step {
    Sweep,
    /// The oldest frames of a connection arrive, at most this many.
    Deliver(u8, u8),
    /// All frames on the way arrive.
    DeliverAll,
    /// A connection loses what is on the way and all that is sent on it later.
    Silence(u8),
    /// A connection ends with what is on the way.
    Break(u8),
    /// An instance that aggregates parts ends without notice, and another process takes its place.
    /// Its frames on the way still arrive; its peers notice if `is_noticed`.
    Restart {
        instance: u8,
        is_noticed: bool,
    },
    Drain(u8),
    SetState {
        instance: u8,
        server: u8,
        state: ServerState,
    },
    SetReachable {
        instance: u8,
        server: u8,
        reachable: bool,
    },
    End(u8, End),
    Wait(u8),
}

/// A call at a server.
struct Call {
    instance: usize,
    connection: ConnectionKey,
    attempt: AttemptKey,
    request: target::Request,
    address: Arc<str>,
}

/// The current process of an instance.
struct Process {
    incarnation: u64,
    links: Links,
    leaf: leaf::Machine,
    opening: Vec<ConnectionKey>,
    addresses: BTreeMap<ConnectionKey, Arc<str>>,
}

impl Process {
    fn new(now: Instant, instance: usize, incarnation: u64, is_zonal: bool) -> Self {
        let (name, zone) = INSTANCES[instance];
        let identity = Frame {
            from: name.to_owned(),
            address: name.to_owned(),
            incarnation,
            ..Frame::default()
        };
        let settings = leaf::Settings::builder(name, incarnation).zone(zone).zonal(is_zonal);
        Self {
            incarnation,
            links: Links::new(now, identity),
            leaf: leaf::Machine::new(settings.seed(3).build()),
            opening: Vec::new(),
            addresses: BTreeMap::new(),
        }
    }
}

/// A connection between two instances, in one direction.
struct Wire {
    to: usize,
    is_silent: bool,
    /// Whether the process that opened the connection has closed it or has ended.
    is_closed: bool,
    frames: VecDeque<Vec<u8>>,
}

/// Identifies a connection: the instance, the incarnation of its process, and the process's key.
type WireKey = (usize, u64, link::ConnectionKey);

struct Simulation {
    now: Instant,
    has_few_connections: bool,
    is_zonal: bool,
    entry: gather::Machine,
    processes: Vec<Process>,
    states: [[ServerState; ZONES.len()]; INSTANCES.len()],
    reachable: [[bool; ZONES.len()]; INSTANCES.len()],
    wires: BTreeMap<WireKey, Wire>,
    calls: Vec<Call>,
    /// Servers on which each part ran or may have run, by request key and service.
    executions: BTreeMap<(String, String), BTreeSet<Arc<str>>>,
    sweeps: u64,
    /// Number of calls that instances other than the entry instance sent.
    calls_of_peers: usize,
}

impl Simulation {
    fn new(has_few_connections: bool, is_zonal: bool) -> Self {
        let now = Instant::from_millis(1000);
        let (name, zone) = INSTANCES[0];
        let entry = gather::Settings::builder(name, 1).near(zone).zonal(is_zonal).build();
        let mut simulation = Self {
            now,
            has_few_connections,
            is_zonal,
            entry: gather::Machine::new(entry),
            processes: (0..INSTANCES.len())
                .map(|instance| Process::new(now, instance, 1, is_zonal))
                .collect(),
            states: [[ServerState::Live; ZONES.len()]; INSTANCES.len()],
            reachable: [[true; ZONES.len()]; INSTANCES.len()],
            wires: BTreeMap::new(),
            calls: Vec::new(),
            executions: BTreeMap::new(),
            sweeps: 0,
            calls_of_peers: 0,
        };
        (0..INSTANCES.len()).for_each(|instance| simulation.publish(instance));
        simulation
    }

    fn publish(&mut self, instance: usize) {
        let limits = Limits { queue: 100, extra_percent: 100, ..Limits::default() };
        let view = view(instance, &self.states[instance], self.has_few_connections, limits);
        let view = Arc::new(view);
        if instance == 0 {
            self.gather(gather::Event::View(Arc::clone(&view)));
        }
        self.leaf(instance, leaf::Event::View(view));
    }

    fn gather(&mut self, event: gather::Event) {
        let mut out = Vec::new();
        self.entry.handle(self.now, event, &mut out);
        for action in out {
            match action {
                gather::Action::Send { to, work } => {
                    self.send(0, &to.name, Frame { work: vec![work], ..Frame::default() });
                }
                gather::Action::Cancel { to, cancel } => {
                    self.send(0, &to.name, Frame { cancels: vec![cancel], ..Frame::default() });
                }
                _ => {}
            }
        }
    }

    fn leaf(&mut self, instance: usize, event: leaf::Event) {
        let mut out = Vec::new();
        self.processes[instance].leaf.handle(self.now, event, &mut out);
        for action in out {
            self.act(instance, action);
        }
        self.connect(instance);
    }

    fn act(&mut self, instance: usize, action: leaf::Action) {
        let process = &mut self.processes[instance];
        match action {
            leaf::Action::Open { connection, address, .. } => {
                process.opening.push(connection);
                process.addresses.insert(connection, address);
            }
            leaf::Action::Close(connection) => {
                process.opening.retain(|other| *other != connection);
                let calls = self.calls.extract_if(.., |call| {
                    (call.instance, call.connection) == (instance, connection)
                });
                for call in calls.collect::<Vec<_>>() {
                    self.record_execution(&call);
                }
            }
            leaf::Action::Send { connection, attempt, request, .. } => {
                let address = Arc::clone(&process.addresses[&connection]);
                self.calls_of_peers += usize::from(instance > 0);
                self.calls.push(Call { instance, connection, attempt, request, address });
            }
            leaf::Action::Reply { to, reply } => {
                self.send(instance, &to.name, Frame { replies: vec![reply], ..Frame::default() });
            }
            leaf::Action::Pending { to, pending } => {
                self.send(instance, &to.name, Frame { pending: vec![pending], ..Frame::default() });
            }
            _ => {}
        }
    }

    fn connect(&mut self, instance: usize) {
        while let Some(connection) = self.processes[instance].opening.pop() {
            let server = server_number(&self.processes[instance].addresses[&connection]);
            let event = match self.reachable[instance][server] {
                true => leaf::Event::Opened(connection),
                false => leaf::Event::Closed(connection),
            };
            self.leaf(instance, event);
        }
    }

    /// Notes that a call may have run.
    fn record_execution(&mut self, call: &Call) {
        let key = call.request.payload.split_once(' ').expect("key and service").0;
        let part = (key.to_owned(), service_name(&call.address).to_owned());
        self.executions.entry(part).or_default().insert(Arc::clone(&call.address));
    }

    /// Sends a frame; what an instance sends itself arrives at once.
    fn send(&mut self, from: usize, to: &str, frame: Frame) {
        if to == INSTANCES[from].0 {
            let incarnation = self.processes[from].incarnation;
            return self.take(from, Frame { from: to.to_owned(), incarnation, ..frame });
        }
        let mut out = Vec::new();
        self.processes[from].links.send(self.now, to, frame, &mut out);
        self.carry_out(from, out);
    }

    fn carry_out(&mut self, instance: usize, actions: Vec<link::Action>) {
        for action in actions {
            let incarnation = self.processes[instance].incarnation;
            match action {
                link::Action::Open { connection, address } => {
                    let wire = Wire {
                        to: index_of(&address),
                        is_silent: false,
                        is_closed: false,
                        frames: VecDeque::new(),
                    };
                    self.wires.insert((instance, incarnation, connection), wire);
                    self.processes[instance].links.opened(connection);
                }
                link::Action::Close(connection) => {
                    if let Some(wire) = self.wires.get_mut(&(instance, incarnation, connection)) {
                        wire.is_closed = true;
                    }
                }
                link::Action::Send { connection, bytes, .. } => {
                    let wire = self.wires.get_mut(&(instance, incarnation, connection));
                    if let Some(wire) = wire.filter(|wire| !wire.is_silent) {
                        wire.frames.push_back(bytes.to_vec());
                    }
                }
                _ => {}
            }
        }
        self.wires.retain(|_, wire| !wire.is_closed || !wire.frames.is_empty());
    }

    fn receive(&mut self, instance: usize, bytes: &[u8]) {
        let frame = Frame::decode(bytes).expect("an encoded frame");
        let mut out = Vec::new();
        let is_new = self.processes[instance].links.receive(self.now, &frame, &mut out);
        self.carry_out(instance, out);
        if is_new {
            self.take(instance, frame);
        }
    }

    /// Passes the contents of a frame to the machines, in the order of the program.
    fn take(&mut self, instance: usize, frame: Frame) {
        let from = harness::peer(&frame.from);
        for work in frame.work {
            let (from, incarnation) = (from.clone(), frame.incarnation);
            self.leaf(instance, leaf::Event::Work { from, incarnation, work });
        }
        for cancel in frame.cancels {
            self.leaf(instance, leaf::Event::Cancel { from: Arc::clone(&from.name), cancel });
        }
        if instance > 0 {
            return;
        }
        for pending in frame.pending {
            self.gather(gather::Event::Pending { from: Arc::clone(&from.name), pending });
        }
        if !frame.replies.is_empty() {
            let Peer { name, .. } = from;
            self.gather(gather::Event::Replies { from: name, replies: frame.replies });
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Sweep => self.sweep(),
            Step::Deliver(which, count) => {
                if let Some(key) = self.wire(which, |wire| !wire.frames.is_empty()) {
                    (0..=count % 4).for_each(|_| self.deliver(key));
                }
            }
            Step::DeliverAll => {
                let keys: Vec<WireKey> = self.wires.keys().copied().collect();
                for key in keys {
                    let count = self.wires.get(&key).map_or(0, |wire| wire.frames.len());
                    (0..count).for_each(|_| self.deliver(key));
                }
            }
            Step::Silence(which) => {
                let key = self.wire(which, |wire| !wire.is_closed && !wire.is_silent);
                if let Some(wire) = key.and_then(|key| self.wires.get_mut(&key)) {
                    wire.is_silent = true;
                    wire.frames.clear();
                }
            }
            Step::Break(which) => {
                if let Some(key) = self.wire(which, |wire| !wire.is_closed) {
                    self.break_wire(key);
                }
            }
            Step::Restart { instance, is_noticed } => {
                self.restart(1 + usize::from(instance) % (INSTANCES.len() - 1), is_noticed);
            }
            Step::Drain(instance) => {
                let instance = 1 + usize::from(instance) % (INSTANCES.len() - 1);
                self.leaf(instance, leaf::Event::Drain);
            }
            Step::SetState { instance, server, state } => {
                let instance = usize::from(instance) % INSTANCES.len();
                self.states[instance][usize::from(server) % ZONES.len()] = state;
                self.publish(instance);
            }
            Step::SetReachable { instance, server, reachable } => {
                let instance = usize::from(instance) % INSTANCES.len();
                self.reachable[instance][usize::from(server) % ZONES.len()] = reachable;
            }
            Step::End(which, end) => {
                if !self.calls.is_empty() {
                    let call = self.calls.remove(usize::from(which) % self.calls.len());
                    self.end_call(&call, end);
                }
            }
            Step::Wait(millis) => self.wait(Duration::from_millis(millis.into())),
        }
    }

    /// Selects one of the connections between instances that meet a condition.
    fn wire(&self, which: u8, condition: impl Fn(&Wire) -> bool) -> Option<WireKey> {
        let matching = self.wires.iter().filter(|(_, wire)| condition(wire));
        let keys: Vec<WireKey> = matching.map(|(key, _)| *key).collect();
        keys.get(usize::from(which) % keys.len().max(1)).copied()
    }

    fn deliver(&mut self, key: WireKey) {
        let Some(wire) = self.wires.get_mut(&key) else {
            return;
        };
        if let (to, Some(bytes)) = (wire.to, wire.frames.pop_front()) {
            self.receive(to, &bytes);
        }
    }

    fn break_wire(&mut self, key @ (instance, incarnation, connection): WireKey) {
        let Some(wire) = self.wires.remove(&key) else {
            return;
        };
        if self.processes[instance].incarnation != incarnation {
            return;
        }
        self.processes[instance].links.broken(self.now, connection);
        if instance == 0 {
            self.gather(gather::Event::LinkDown(INSTANCES[wire.to].0.into()));
        }
    }

    fn restart(&mut self, instance: usize, is_noticed: bool) {
        let calls: Vec<Call> =
            self.calls.extract_if(.., |call| call.instance == instance).collect();
        calls.iter().for_each(|call| self.record_execution(call));
        let incarnation = self.processes[instance].incarnation + 1;
        self.processes[instance] = Process::new(self.now, instance, incarnation, self.is_zonal);
        for (_, wire) in self.wires.iter_mut().filter(|((from, ..), _)| *from == instance) {
            wire.is_closed = true;
        }
        let to_it = self.wires.iter().filter(|(_, wire)| wire.to == instance);
        let to_it: Vec<WireKey> = to_it.map(|(key, _)| *key).collect();
        for key in to_it {
            match self.wires.get_mut(&key).filter(|_| !is_noticed) {
                Some(wire) => {
                    wire.is_silent = true;
                    wire.frames.clear();
                }
                None => self.break_wire(key),
            }
        }
        self.publish(instance);
    }

    fn sweep(&mut self) {
        self.sweeps += 1;
        self.gather(sweep(self.sweeps));
    }

    fn end_call(&mut self, call: &Call, end: End) {
        if end.may_have_run() {
            self.record_execution(call);
        }
        let outcome = end.outcome(&call.request);
        self.leaf(call.instance, leaf::Event::Ended { attempt: call.attempt, outcome });
    }

    /// Lets time pass; the links are checked every 10 ms.
    fn wait(&mut self, span: Duration) {
        const CHECK_INTERVAL: Duration = Duration::from_millis(10);
        let end = self.now + span;
        while self.now < end {
            self.run_timers((self.now + CHECK_INTERVAL).min(end));
            for instance in 0..INSTANCES.len() {
                let mut out = Vec::new();
                self.processes[instance].links.check(self.now, &mut out);
                self.carry_out(instance, out);
            }
        }
    }

    fn run_timers(&mut self, end: Instant) {
        loop {
            let processes = self.processes.iter().enumerate();
            let leaves = processes.filter_map(|(instance, process)| {
                Some((process.leaf.next_wake()?, Some(instance)))
            });
            let entry = self.entry.next_wake().map(|at| (at, None));
            let due = leaves.chain(entry).min().filter(|(at, _)| *at <= end);
            let Some((at, waker)) = due else {
                break;
            };
            self.now = self.now.max(at);
            match waker {
                Some(instance) => self.leaf(instance, leaf::Event::Tick),
                None => self.gather(gather::Event::Tick),
            }
        }
        self.now = end;
    }

    /// Ends all open calls and checks on how many servers each part ran.
    fn check(mut self) -> Self {
        while let Some(call) = self.calls.pop() {
            self.end_call(&call, End::Error);
        }
        for (part, servers) in &self.executions {
            assert!(servers.len() <= ATTEMPTS, "{part:?} ran on {servers:?}");
        }
        self
    }
}

fn check_linked_attempts(property: Property) {
    let steps = bolero::produce::<Vec<Step>>().with().len(0_usize..=200);
    property
        .with_generator((bolero::produce::<bool>(), bolero::produce::<bool>(), steps))
        .for_each(|(has_few_connections, is_zonal, steps)| {
            let mut simulation = Simulation::new(*has_few_connections, *is_zonal);
            for step in steps {
                simulation.step(*step);
            }
            simulation.check();
        });
}

/// Guards against an entry instance that takes a part for not run, and names other servers for it,
/// after a process that ran it has restarted or drained, or its connections are silent.
#[test]
fn linked_instances_run_a_part_on_no_more_servers_than_the_route_allows() {
    check_linked_attempts(ladder_property::check_short(1000, 4096));
}

/// Checks that parts reach other instances over the links, that they are sent again after restarts
/// and silence, and that some run on two servers; otherwise the property would prove nothing.
#[test]
fn parts_are_sent_over_links_by_processes_that_restart() {
    let mut simulation = Simulation::new(true, false);
    for number in 0..100_u8 {
        simulation.step(Step::Sweep);
        simulation.step(Step::DeliverAll);
        for which in 0..8 {
            simulation.step(Step::End(which, End::Error));
            simulation.step(Step::DeliverAll);
        }
        simulation.step(Step::Silence(number));
        simulation.step(Step::Restart { instance: number, is_noticed: number % 2 == 0 });
        for _ in 0..4 {
            simulation.step(Step::Wait(200));
            simulation.step(Step::DeliverAll);
        }
    }
    let simulation = simulation.check();
    assert!(simulation.calls_of_peers > 100, "{} calls of peers", simulation.calls_of_peers);
    let on_two = simulation.executions.values().filter(|servers| servers.len() == 2).count();
    assert!(on_two > 50, "{on_two} parts on two servers");
}

/// Guards against taking a refusal for proof that a part was not run although it answers a repeated
/// frame: the process that received the frame first has ended, and its successor knows nothing of its
/// calls. The entry instance had received no frame from either process when it sent this one.
#[test]
fn refusal_of_a_successor_proves_nothing_of_the_process_before() {
    check_linked_attempts(ladder_property::replay(336240192547183125936410629479973159487));
}
