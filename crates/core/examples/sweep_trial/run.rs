//! One run: a machine, its servers and a queue of events on a virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use ladder_core::leaf::event::{AttemptKey, ConnectionKey, Outcome};
use ladder_core::leaf::{Action, Event, Machine, Settings};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::{target, wire};
use ladder_core::time::Instant;
use ladder_core::view::View;

use crate::fleet::{self, Arrival, Random, SLOTS, Times};
use crate::messages::{SERVERS, SERVICES, answer, peer, refusal, service, work};
use crate::mix::{self, Mix};

const HOP_US: u64 = 500;
const CONNECT_US: u64 = 6000;
/// Queries that only teach.
const WARM_UP: u64 = 1000;

/// What to run.
pub(crate) struct Plan {
    pub(crate) times: Times,
    pub(crate) load: f64,
    pub(crate) mix: Mix,
    /// Queries.
    pub(crate) queries: u64,
}

/// What became of one kind of query; latencies in milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) latencies: Vec<f64>,
    pub(crate) complete: usize,
    pub(crate) missing: usize,
}

/// What came out, by kind of the mix.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures {
    pub(crate) tallies: Vec<Tally>,
    pub(crate) portions: u64,
    pub(crate) sends: u64,
    pub(crate) core: Duration,
}

impl Figures {
    pub(crate) fn add(&mut self, other: Self) {
        self.tallies.resize_with(other.tallies.len(), Tally::default);
        for (tally, other) in self.tallies.iter_mut().zip(other.tallies) {
            tally.latencies.extend(other.latencies);
            tally.complete += other.complete;
            tally.missing += other.missing;
        }
        self.portions += other.portions;
        self.sends += other.sends;
        self.core += other.core;
    }
}

/// What happens in the simulation, ordered by time and number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Sweep,
    Tick,
    Ready(ConnectionKey),
    Reach(u64),
    Done(u64),
    Cancel(u64),
    Shed(u64),
    Withdrawn(u64),
    Answer(u64),
}

struct Call {
    attempt: AttemptKey,
    server: usize,
    request: target::Request,
}

#[derive(Clone, Copy, Default)]
struct Sweep {
    kind: usize,
    started: u64,
    left: usize,
    missing: usize,
}

struct Run<'a> {
    plan: &'a Plan,
    machine: Machine,
    random: Random,
    now: u64,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    sequence: u64,
    servers: Vec<fleet::Server>,
    places: BTreeMap<Arc<str>, usize>,
    connections: BTreeMap<ConnectionKey, usize>,
    calls: BTreeMap<u64, Call>,
    numbers: BTreeMap<String, u64>,
    sweeps: BTreeMap<u64, Sweep>,
    started: u64,
    figures: Figures,
}

pub(crate) fn run(plan: &Plan, settings: Settings, seed: u64) -> Figures {
    let mut run = Run {
        plan,
        machine: Machine::new(settings),
        random: Random(seed),
        now: 1_000_000,
        steps: BinaryHeap::new(),
        sequence: 0,
        servers: (0..SERVICES * SERVERS).map(|_| fleet::Server::default()).collect(),
        places: BTreeMap::new(),
        connections: BTreeMap::new(),
        calls: BTreeMap::new(),
        numbers: BTreeMap::new(),
        sweeps: BTreeMap::new(),
        started: 0,
        figures: Figures { tallies: vec![Tally::default(); plan.mix.len()], ..Figures::default() },
    };
    run.publish();
    run.at(20_000, Step::Sweep);
    run.go();
    run.figures
}

impl Run<'_> {
    fn publish(&mut self) {
        let mut view = View { ready: true, ..View::default() };
        for number in 0..SERVICES {
            let service = service(number);
            for (place, server) in service.servers.iter().enumerate() {
                self.places.insert(Arc::clone(&server.address), number * SERVERS + place);
            }
            view.insert(service);
        }
        self.handle(Event::View(Arc::new(view)));
    }

    fn at(&mut self, delay: u64, step: Step) {
        self.sequence += 1;
        self.steps.push(Reverse((self.now + delay, self.sequence, step)));
    }

    fn go(&mut self) {
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            self.now = at;
            let finished = self.started > self.plan.queries && self.sweeps.is_empty();
            if finished {
                break;
            }
            self.step(step);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Sweep => self.sweep(),
            Step::Tick => self.handle(Event::Tick),
            Step::Ready(connection) if self.connections.contains_key(&connection) => {
                self.handle(Event::Opened(connection));
            }
            Step::Ready(_) => {}
            Step::Reach(call) => self.reach(call),
            Step::Done(call) => self.done(call, Step::Answer(call)),
            Step::Cancel(call) => self.done(call, Step::Withdrawn(call)),
            Step::Answer(call) => self.end(call, answer),
            Step::Shed(call) => self.end(call, |request| refusal(request, Reason::TargetShed)),
            Step::Withdrawn(call) => self.end(call, |request| refusal(request, Reason::Cancelled)),
        }
    }

    /// Starts a query and plans the next one.
    fn sweep(&mut self) {
        if self.started > self.plan.queries {
            return;
        }
        self.started += 1;
        let query = self.started;
        let place = mix::pick(self.plan.mix, self.random.unit());
        let kind = &self.plan.mix[place];
        let first = (self.random.unit() * SERVICES as f64) as usize;
        let sweep = Sweep { kind: place, started: self.now, left: kind.fan, missing: 0 };
        self.sweeps.insert(query, sweep);
        self.figures.portions += kind.fan as u64;
        let event =
            Event::Work { from: peer("entry"), incarnation: 1, work: work(query, kind, first) };
        self.handle(event);
        let slots = (SERVICES * SERVERS * SLOTS) as f64;
        let rate = mix::rate(self.plan.mix, self.plan.load * slots / Times::mean());
        let gap = self.random.exponential(1.0 / rate);
        self.at(gap as u64, Step::Sweep);
    }

    fn reach(&mut self, number: u64) {
        let server = self.calls[&number].server;
        match self.servers[server].arrive(number) {
            Arrival::Started => self.start(number),
            Arrival::Waits => {}
            Arrival::Shed => self.at(HOP_US, Step::Shed(number)),
        }
    }

    fn start(&mut self, number: u64) {
        let time = self.plan.times.draw(&mut self.random);
        self.at(time, Step::Done(number));
    }

    /// A call leaves its server; the next one starts.
    fn done(&mut self, number: u64, then: Step) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let Some(next) = self.servers[call.server].end(number) else {
            return;
        };
        self.at(HOP_US, then);
        if let Some(next) = next {
            self.start(next);
        }
    }

    fn end(&mut self, number: u64, outcome: fn(&target::Request) -> Outcome) {
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        self.numbers.remove(&call.request.id);
        let event = Event::Ended { attempt: call.attempt, outcome: outcome(&call.request) };
        self.handle(event);
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        let before = std::time::Instant::now();
        self.machine.handle(Instant::from_micros(self.now), event, &mut out);
        self.figures.core += before.elapsed();
        for action in out {
            self.act(action);
        }
        if let Some(at) = self.machine.next_wake() {
            let delay = at.as_micros().saturating_sub(self.now);
            let known =
                self.steps.peek().is_some_and(|Reverse((next, ..))| *next <= self.now + delay);
            if !known {
                self.at(delay, Step::Tick);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Open { connection, address, .. } => {
                self.connections.insert(connection, self.places[&address]);
                self.at(CONNECT_US, Step::Ready(connection));
            }
            Action::Close(connection) => {
                self.connections.remove(&connection);
            }
            Action::Send { connection, attempt, request, .. } => {
                self.send(connection, attempt, request);
            }
            Action::Cancel { connection, id } => {
                self.at(2 * HOP_US, Step::Ready(connection));
                if let Some(number) = self.numbers.get(&id).copied() {
                    self.at(HOP_US, Step::Cancel(number));
                }
            }
            Action::Probe { connection, .. } => self.at(2 * HOP_US, Step::Ready(connection)),
            Action::Reply { reply, .. } => self.reply(&reply),
            Action::Log(_)
            | Action::Pending { .. }
            | Action::Server { .. }
            | Action::Crashed { .. }
            | Action::Refuted { .. }
            | Action::Cleared(_)
            | Action::Count(_) => {}
        }
    }

    fn send(&mut self, connection: ConnectionKey, attempt: AttemptKey, request: target::Request) {
        self.figures.sends += 1;
        self.sequence += 1;
        let number = self.sequence;
        let server = self.connections[&connection];
        self.numbers.insert(request.id.clone(), number);
        let call = Call { attempt, server, request };
        self.calls.insert(number, call);
        self.at(HOP_US, Step::Reach(number));
    }

    fn reply(&mut self, reply: &wire::Reply) {
        let Some(sweep) = self.sweeps.get_mut(&reply.query) else {
            return;
        };
        sweep.left -= 1;
        sweep.missing += usize::from(reply.verdict() != Verdict::Ran);
        if sweep.left > 0 {
            return;
        }
        let sweep = *sweep;
        self.sweeps.remove(&reply.query);
        if reply.query <= WARM_UP {
            return;
        }
        let tally = &mut self.figures.tallies[sweep.kind];
        tally.latencies.push((self.now - sweep.started) as f64 / 1000.0);
        tally.complete += usize::from(sweep.missing == 0);
        tally.missing += sweep.missing;
    }
}
