//! One simulation run: a leaf machine, its servers and an event queue on a virtual clock.

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

use crate::fleet::{self, Arrival, Random, SLOTS, ServiceTimes};
use crate::messages::{SERVERS_PER_SERVICE, SERVICES, answer, peer, refusal, service, work};
use crate::mix::{self, Mix};

const NETWORK_DELAY_US: u64 = 500;
const CONNECT_DELAY_US: u64 = 6000;
/// Number of queries at the start, from which the machine learns; the figures exclude them.
const WARMUP_QUERIES: u64 = 1000;

/// Settings of a simulation run.
pub(crate) struct Plan {
    pub(crate) times: ServiceTimes,
    pub(crate) load: f64,
    pub(crate) mix: Mix,
    /// Number of queries of the run.
    pub(crate) queries: u64,
}

/// Results of one query kind; latencies are in milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) latencies: Vec<f64>,
    pub(crate) complete: usize,
    pub(crate) missing: usize,
}

/// Results of a run by query kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures {
    pub(crate) tallies: Vec<Tally>,
    pub(crate) portions: u64,
    pub(crate) sent_calls: u64,
    pub(crate) machine_time: Duration,
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
        self.sent_calls += other.sent_calls;
        self.machine_time += other.machine_time;
    }
}

/// Event of the simulation, ordered by time and number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    StartQuery,
    Tick,
    Ready(ConnectionKey),
    Arrive(u64),
    Complete(u64),
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
struct OpenQuery {
    kind: usize,
    started: u64,
    portions_left: usize,
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
    servers_by_address: BTreeMap<Arc<str>, usize>,
    connections: BTreeMap<ConnectionKey, usize>,
    calls: BTreeMap<u64, Call>,
    call_numbers: BTreeMap<String, u64>,
    open_queries: BTreeMap<u64, OpenQuery>,
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
        servers: (0..SERVICES * SERVERS_PER_SERVICE).map(|_| fleet::Server::default()).collect(),
        servers_by_address: BTreeMap::new(),
        connections: BTreeMap::new(),
        calls: BTreeMap::new(),
        call_numbers: BTreeMap::new(),
        open_queries: BTreeMap::new(),
        started: 0,
        figures: Figures { tallies: vec![Tally::default(); plan.mix.len()], ..Figures::default() },
    };
    run.publish();
    run.schedule(20_000, Step::StartQuery);
    run.process_steps();
    run.figures
}

impl Run<'_> {
    fn publish(&mut self) {
        let mut view = View { ready: true, ..View::default() };
        for number in 0..SERVICES {
            let service = service(number);
            for (place, server) in service.servers.iter().enumerate() {
                self.servers_by_address
                    .insert(Arc::clone(&server.address), number * SERVERS_PER_SERVICE + place);
            }
            view.insert(service);
        }
        self.handle(Event::View(Arc::new(view)));
    }

    fn schedule(&mut self, delay: u64, step: Step) {
        self.sequence += 1;
        self.steps.push(Reverse((self.now + delay, self.sequence, step)));
    }

    fn process_steps(&mut self) {
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            self.now = at;
            let finished = self.started > self.plan.queries && self.open_queries.is_empty();
            if finished {
                break;
            }
            self.step(step);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::StartQuery => self.start_query(),
            Step::Tick => self.handle(Event::Tick),
            Step::Ready(connection) if self.connections.contains_key(&connection) => {
                self.handle(Event::Opened(connection));
            }
            Step::Ready(_) => {}
            Step::Arrive(call) => self.arrive(call),
            Step::Complete(call) => self.end_at_server(call, Step::Answer(call)),
            Step::Cancel(call) => self.end_at_server(call, Step::Withdrawn(call)),
            Step::Answer(call) => self.end(call, answer),
            Step::Shed(call) => self.end(call, |request| refusal(request, Reason::TargetShed)),
            Step::Withdrawn(call) => self.end(call, |request| refusal(request, Reason::Cancelled)),
        }
    }

    /// Starts a query and schedules the next one.
    fn start_query(&mut self) {
        if self.started > self.plan.queries {
            return;
        }
        self.started += 1;
        let query = self.started;
        let place = mix::select_kind(self.plan.mix, self.random.unit());
        let kind = &self.plan.mix[place];
        let first = (self.random.unit() * SERVICES as f64) as usize;
        let open_query =
            OpenQuery { kind: place, started: self.now, portions_left: kind.fan_out, missing: 0 };
        self.open_queries.insert(query, open_query);
        self.figures.portions += kind.fan_out as u64;
        let event =
            Event::Work { from: peer("entry"), incarnation: 1, work: work(query, kind, first) };
        self.handle(event);
        let slots = (SERVICES * SERVERS_PER_SERVICE * SLOTS) as f64;
        let rate = mix::query_rate(self.plan.mix, self.plan.load * slots / ServiceTimes::mean());
        let gap = self.random.exponential(1.0 / rate);
        self.schedule(gap as u64, Step::StartQuery);
    }

    fn arrive(&mut self, number: u64) {
        let server = self.calls[&number].server;
        match self.servers[server].arrive(number) {
            Arrival::Started => self.start_call(number),
            Arrival::Queued => {}
            Arrival::Shed => self.schedule(NETWORK_DELAY_US, Step::Shed(number)),
        }
    }

    fn start_call(&mut self, number: u64) {
        let time = self.plan.times.draw_service_us(&mut self.random);
        self.schedule(time, Step::Complete(number));
    }

    /// Ends a call at its server, which starts the next queued call.
    fn end_at_server(&mut self, number: u64, next_step: Step) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let Some(next) = self.servers[call.server].end(number) else {
            return;
        };
        self.schedule(NETWORK_DELAY_US, next_step);
        if let Some(next) = next {
            self.start_call(next);
        }
    }

    fn end(&mut self, number: u64, outcome: fn(&target::Request) -> Outcome) {
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        self.call_numbers.remove(&call.request.id);
        let event = Event::Ended { attempt: call.attempt, outcome: outcome(&call.request) };
        self.handle(event);
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        let before = std::time::Instant::now();
        self.machine.handle(Instant::from_micros(self.now), event, &mut out);
        self.figures.machine_time += before.elapsed();
        for action in out {
            self.perform(action);
        }
        if let Some(at) = self.machine.next_wake() {
            let delay = at.as_micros().saturating_sub(self.now);
            let is_scheduled =
                self.steps.peek().is_some_and(|Reverse((next, ..))| *next <= self.now + delay);
            if !is_scheduled {
                self.schedule(delay, Step::Tick);
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Open { connection, address, .. } => {
                self.connections.insert(connection, self.servers_by_address[&address]);
                self.schedule(CONNECT_DELAY_US, Step::Ready(connection));
            }
            Action::Close(connection) => {
                self.connections.remove(&connection);
            }
            Action::Send { connection, attempt, request, .. } => {
                self.send(connection, attempt, request);
            }
            Action::Cancel { connection, id } => {
                self.schedule(2 * NETWORK_DELAY_US, Step::Ready(connection));
                if let Some(number) = self.call_numbers.get(&id).copied() {
                    self.schedule(NETWORK_DELAY_US, Step::Cancel(number));
                }
            }
            Action::Probe { connection, .. } => {
                self.schedule(2 * NETWORK_DELAY_US, Step::Ready(connection));
            }
            Action::Reply { reply, .. } => self.reply(&reply),
            Action::Log(_)
            | Action::Pending { .. }
            | Action::Server { .. }
            | Action::Crashed { .. }
            | Action::Refuted { .. }
            | Action::Cleared { .. }
            | Action::Connection(_)
            | Action::Count(_) => {}
        }
    }

    fn send(&mut self, connection: ConnectionKey, attempt: AttemptKey, request: target::Request) {
        self.figures.sent_calls += 1;
        self.sequence += 1;
        let number = self.sequence;
        let server = self.connections[&connection];
        self.call_numbers.insert(request.id.clone(), number);
        let call = Call { attempt, server, request };
        self.calls.insert(number, call);
        self.schedule(NETWORK_DELAY_US, Step::Arrive(number));
    }

    fn reply(&mut self, reply: &wire::Reply) {
        let Some(open_query) = self.open_queries.get_mut(&reply.query) else {
            return;
        };
        open_query.portions_left -= 1;
        open_query.missing += usize::from(reply.verdict() != Verdict::Ran);
        if open_query.portions_left > 0 {
            return;
        }
        let open_query = *open_query;
        self.open_queries.remove(&reply.query);
        if reply.query <= WARMUP_QUERIES {
            return;
        }
        let tally = &mut self.figures.tallies[open_query.kind];
        tally.latencies.push((self.now - open_query.started) as f64 / 1000.0);
        tally.complete += usize::from(open_query.missing == 0);
        tally.missing += open_query.missing;
    }
}
