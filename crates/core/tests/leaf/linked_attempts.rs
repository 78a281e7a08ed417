//! Tests that a part of a sweep runs on no more servers than its route allows, with the frames of
//! all instances passing through their links.
//!
//! Drawn orders of events: instances restart, drain, and learn at different times of servers;
//! frames arrive late, also from a process that has ended; connections go silent or break; calls end
//! in any way.

mod wires;

use std::collections::{BTreeMap, BTreeSet};
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
use crate::pool::Pool;

use wires::{Wire, WireKey, Wires};

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
    pool: Pool,
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
            pool: Pool::default(),
        }
    }
}

struct Simulation {
    now: Instant,
    has_few_connections: bool,
    is_zonal: bool,
    entry: gather::Machine,
    processes: Vec<Process>,
    states: [[ServerState; ZONES.len()]; INSTANCES.len()],
    reachable: [[bool; ZONES.len()]; INSTANCES.len()],
    wires: Wires,
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
            wires: Wires::default(),
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
                process.pool.open(connection, address);
            }
            leaf::Action::Close(connection) => {
                process.pool.close(connection);
                let calls = self.calls.extract_if(.., |call| {
                    (call.instance, call.connection) == (instance, connection)
                });
                for call in calls.collect::<Vec<_>>() {
                    self.record_execution(&call);
                }
            }
            leaf::Action::Send { connection, attempt, request, .. } => {
                let address = process.pool.address(connection);
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
        loop {
            let reachable = &self.reachable[instance];
            let pool = &mut self.processes[instance].pool;
            let Some(event) = pool.next_event(|address| reachable[server_number(address)]) else {
                break;
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
        let key = |process: &Process, connection| (instance, process.incarnation, connection);
        for action in actions {
            let process = &mut self.processes[instance];
            match action {
                link::Action::Open { connection, address } => {
                    self.wires.open(key(process, connection), index_of(&address));
                    process.links.opened(connection);
                }
                link::Action::Close(connection) => self.wires.close(key(process, connection)),
                link::Action::Send { connection, bytes, .. } => {
                    self.wires.send(key(process, connection), bytes.to_vec());
                }
                _ => {}
            }
        }
        self.wires.remove_finished();
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
                if let Some(key) = self.wires.select(which, Wire::has_frames) {
                    (0..=count % 4).for_each(|_| self.deliver(key));
                }
            }
            Step::DeliverAll => {
                for key in self.wires.keys() {
                    (0..self.wires.frame_count(key)).for_each(|_| self.deliver(key));
                }
            }
            Step::Silence(which) => {
                if let Some(key) = self.wires.select(which, Wire::is_working) {
                    self.wires.silence(key);
                }
            }
            Step::Break(which) => {
                if let Some(key) = self.wires.select(which, Wire::is_open) {
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

    fn deliver(&mut self, key: WireKey) {
        if let Some((to, bytes)) = self.wires.take_frame(key) {
            self.receive(to, &bytes);
        }
    }

    fn break_wire(&mut self, key @ (instance, incarnation, connection): WireKey) {
        let Some(to) = self.wires.remove(key) else {
            return;
        };
        if self.processes[instance].incarnation != incarnation {
            return;
        }
        self.processes[instance].links.broken(self.now, connection);
        if instance == 0 {
            self.gather(gather::Event::LinkDown(INSTANCES[to].0.into()));
        }
    }

    fn restart(&mut self, instance: usize, is_noticed: bool) {
        let calls: Vec<Call> =
            self.calls.extract_if(.., |call| call.instance == instance).collect();
        calls.iter().for_each(|call| self.record_execution(call));
        let incarnation = self.processes[instance].incarnation + 1;
        self.processes[instance] = Process::new(self.now, instance, incarnation, self.is_zonal);
        self.wires.close_all_of(instance);
        for key in self.wires.keys_to(instance) {
            match is_noticed {
                true => self.break_wire(key),
                false => self.wires.silence(key),
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
