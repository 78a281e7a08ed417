//! Simulation of callers, instances and servers on a virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use ladder_core::gather::event::{CallerId, Reception};
use ladder_core::leaf::event::{AttemptKey, ConnectionKey, Outcome};
use ladder_core::schema::call::{Answer, Message, Part, Request};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::{target, wire};
use ladder_core::time::Instant;
use ladder_core::{gather, leaf};

use crate::fleet::{self, KINDS, Kind, Layout, SERVERS, SHARDS, SLOTS, SimulatedServer};

/// Number of instances; each is an entry instance and sends to a part of the services.
pub(crate) const INSTANCES: usize = 3;
const INCARNATION: u64 = 5;
/// Transit time of each message and of each call in either direction.
const TRANSIT_US: u64 = 300;
/// Share of the slots that admitted sweeps may use.
const UTILIZATION: f64 = 0.85;

/// Offered sweeps per second, one figure for each of [`KINDS`].
pub(crate) type Rates = [f64; KINDS.len()];

/// Result of the sweeps of one kind that arrived within one interval.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) offered: u32,
    pub(crate) in_time: u32,
    pub(crate) refused: u32,
    /// Sweeps that were neither refused nor answered in time.
    pub(crate) late: u32,
}

/// A sweep that was not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Sweep {
    kind: usize,
    /// Number that identifies the request; a retry has the same one.
    request: u64,
    /// Whether its caller was refused before.
    is_retry: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Sweep(usize),
    Retry(Sweep),
    Gather { to: usize, number: u64 },
    GatherTick(usize),
    LeafTick(usize),
    Work { from: usize, to: usize, number: u64 },
    Cancel { from: usize, to: usize, query: u64 },
    Replies { from: usize, to: usize, number: u64 },
    Opened(usize, ConnectionKey),
    Arrive(u64),
    Complete(u64),
    Answer(u64),
}

struct Call {
    instance: usize,
    attempt: AttemptKey,
    server: usize,
    request: target::Request,
}

struct Instance {
    gather: gather::Machine,
    leaf: leaf::Machine,
    connections: BTreeMap<ConnectionKey, usize>,
    /// Times for which ticks are scheduled, of the gathering and the leaf machine.
    ticks: [Option<u64>; 2],
}

/// What a trial changes in the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Instances that know no sweep admission.
    pub(crate) old: [bool; INSTANCES],
    pub(crate) layout: Layout,
    /// Interval and length in microseconds of pauses that each server makes, each at another time.
    pub(crate) pauses: Option<(u64, u64)>,
    /// Share of the replies that are lost.
    pub(crate) reply_loss: f64,
    /// Whether a refused caller retries once, at the advised time and at any instance.
    pub(crate) retries: bool,
    /// Share of the sweeps that can be served that is reserved for callers that retry, in percent.
    pub(crate) reserved_percent: u32,
}

pub(crate) struct Simulation {
    pub(crate) now: u64,
    pub(crate) rates: Rates,
    pub(crate) faults: Faults,
    /// Results by kind since they were last taken.
    pub(crate) tallies: [Tally; KINDS.len()],
    /// Results of the retries since the simulation began, which `tallies` contains too.
    pub(crate) retries: Tally,
    /// Servers that are stalled, with the end of the stall.
    pub(crate) stalled: BTreeMap<usize, u64>,
    pub(crate) refusals: Vec<Answer>,
    instances: Vec<Instance>,
    live: Vec<usize>,
    servers: Vec<SimulatedServer>,
    calls: BTreeMap<u64, Call>,
    /// Open sweeps by caller, with the time of arrival.
    open: BTreeMap<u64, (Sweep, u64)>,
    /// Messages about reservations that are in transit.
    reservations: BTreeMap<u64, gather::Event>,
    works: BTreeMap<u64, wire::Work>,
    replies: BTreeMap<u64, Vec<wire::Reply>>,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    sequence: u64,
    random: u64,
}

impl Simulation {
    pub(crate) fn new(rates: Rates, sweeps: bool, faults: Faults) -> Self {
        let instance = |number: usize| {
            let name = fleet::peer(number).name;
            let on = sweeps && !faults.old[number];
            let builder = gather::Settings::builder(&name, INCARNATION).sweep_admission(on);
            let builder = builder.reserved_percent(faults.reserved_percent);
            let zone = faults.layout.zone(number);
            let is_near = faults.layout == Layout::OneSender;
            let builder = if is_near { builder.near(&zone) } else { builder };
            Instance {
                gather: gather::Machine::new(builder.build()),
                leaf: leaf::Machine::new(
                    leaf::Settings::builder(&name, INCARNATION)
                        .by_need(true)
                        .linger(Some(Duration::from_millis(250)))
                        .probing(false)
                        .sweep_utilization(on.then_some(UTILIZATION))
                        .zone(&zone)
                        .seed(number as u64)
                        .build(),
                ),
                connections: BTreeMap::new(),
                ticks: [None; 2],
            }
        };
        let mut simulation = Self {
            now: 1_000_000,
            rates,
            faults,
            tallies: Default::default(),
            retries: Tally::default(),
            stalled: BTreeMap::new(),
            refusals: Vec::new(),
            instances: (0..INSTANCES).map(instance).collect(),
            live: (0..INSTANCES).collect(),
            servers: (0..SHARDS * SERVERS).map(|_| SimulatedServer::default()).collect(),
            calls: BTreeMap::new(),
            open: BTreeMap::new(),
            reservations: BTreeMap::new(),
            works: BTreeMap::new(),
            replies: BTreeMap::new(),
            steps: BinaryHeap::new(),
            sequence: 0,
            random: 11,
        };
        simulation.publish();
        for kind in 0..KINDS.len() {
            simulation.schedule(0, Step::Sweep(kind));
        }
        simulation
    }

    /// Runs for a number of milliseconds and returns the results of the sweeps that ended.
    pub(crate) fn run(&mut self, millis: u64) -> [Tally; KINDS.len()] {
        let end = self.now + millis * 1000;
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            if at > end {
                self.steps.push(Reverse((at, 0, step)));
                break;
            }
            self.now = at;
            self.step(step);
        }
        self.now = end;
        std::mem::take(&mut self.tallies)
    }

    /// Ends an instance: its connections break and the others learn of it.
    pub(crate) fn lose(&mut self, instance: usize) {
        self.live.retain(|other| *other != instance);
        self.calls.retain(|_, call| call.instance != instance);
        self.instances[instance].connections.clear();
        let name = fleet::peer(instance).name;
        for other in self.live.clone() {
            self.gather(other, gather::Event::LinkDown(Arc::clone(&name)));
        }
        self.publish();
    }

    fn publish(&mut self) {
        for instance in self.live.clone() {
            let view = Arc::new(fleet::view(instance, &self.live, self.faults.layout));
            self.leaf(instance, leaf::Event::View(Arc::clone(&view)));
            self.gather(instance, gather::Event::View(view));
        }
    }

    fn unit(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn schedule(&mut self, delay: u64, step: Step) {
        self.sequence += 1;
        self.steps.push(Reverse((self.now + delay, self.sequence, step)));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Sweep(kind) => self.start_sweep(kind),
            Step::Retry(sweep) => self.offer(sweep),
            Step::Gather { to, number } => {
                let event = self.reservations.remove(&number).expect("a message in transit");
                self.gather(to, event);
            }
            Step::GatherTick(instance) => {
                self.instances[instance].ticks[0] = None;
                self.gather(instance, gather::Event::Tick);
            }
            Step::LeafTick(instance) => {
                self.instances[instance].ticks[1] = None;
                self.leaf(instance, leaf::Event::Tick);
            }
            Step::Work { from, to, number } => {
                let work = self.works.remove(&number).expect("work in transit");
                let from = fleet::peer(from);
                self.leaf(to, leaf::Event::Work { from, incarnation: INCARNATION, work });
            }
            Step::Cancel { from, to, query } => {
                let cancel = wire::Cancel { query, incarnation: INCARNATION };
                let from = fleet::peer(from).name;
                self.leaf(to, leaf::Event::Cancel { from, cancel });
            }
            Step::Replies { from, to, number } => {
                let replies = self.replies.remove(&number).expect("replies in transit");
                let from = fleet::peer(from).name;
                self.gather(to, gather::Event::Replies { from, replies });
            }
            Step::Opened(instance, connection) => {
                if self.instances[instance].connections.contains_key(&connection) {
                    self.leaf(instance, leaf::Event::Opened(connection));
                }
            }
            Step::Arrive(call) => {
                let Some(server) = self.calls.get(&call).map(|call| call.server) else { return };
                if self.servers[server].arrive(call) {
                    self.begin(call);
                }
            }
            Step::Complete(call) => self.complete(call),
            Step::Answer(call) => self.answer(call),
        }
    }

    fn start_sweep(&mut self, kind: usize) {
        let gap = -(1.0 - self.unit()).ln() / self.rates[kind].max(0.01);
        self.schedule((gap * 1e6) as u64, Step::Sweep(kind));
        self.sequence += 1;
        self.offer(Sweep { kind, request: self.sequence, is_retry: false });
    }

    /// Sends a sweep to any instance.
    fn offer(&mut self, sweep: Sweep) {
        self.sequence += 1;
        let number = self.sequence;
        let name = KINDS[sweep.kind].name;
        let message = Message {
            method: "GET".to_owned(),
            host: "trial.example".to_owned(),
            target: format!("/{name}/{}", sweep.request),
            ..Message::default()
        };
        let request = Request {
            key: format!("key-{number}"),
            payload: name.to_owned(),
            message: Some(Box::new(message)),
            ..Request::default()
        };
        self.tally(sweep, |tally| tally.offered += 1);
        self.open.insert(number, (sweep, self.now));
        let at = (self.unit() * self.live.len() as f64) as usize;
        let caller = CallerId(number);
        self.gather(
            self.live[at],
            gather::Event::Call { caller, request, reception: Reception::default() },
        );
    }

    /// Counts a sweep among all sweeps of its kind and, if it is one, among the retries.
    fn tally(&mut self, sweep: Sweep, count: impl Fn(&mut Tally)) {
        count(&mut self.tallies[sweep.kind]);
        if sweep.is_retry {
            count(&mut self.retries);
        }
    }

    /// Passes a message about reservations to another instance.
    fn pass(&mut self, to: usize, event: gather::Event) {
        self.sequence += 1;
        let number = self.sequence;
        self.reservations.insert(number, event);
        self.schedule(TRANSIT_US, Step::Gather { to, number });
    }

    fn gather(&mut self, instance: usize, event: gather::Event) {
        if !self.live.contains(&instance) {
            return;
        }
        let now = Instant::from_micros(self.now);
        let mut out = Vec::new();
        self.instances[instance].gather.handle(now, event, &mut out);
        for action in out {
            match action {
                gather::Action::Answer { caller, answer } => self.answered(caller, answer),
                gather::Action::Send { to, work } => {
                    let to = fleet::instance(&to.name);
                    self.sequence += 1;
                    let number = self.sequence;
                    self.works.insert(number, work);
                    let delay = if to == instance { 0 } else { TRANSIT_US };
                    self.schedule(delay, Step::Work { from: instance, to, number });
                }
                gather::Action::Cancel { to, cancel } => {
                    let to = fleet::instance(&to.name);
                    let query = cancel.query;
                    self.schedule(TRANSIT_US, Step::Cancel { from: instance, to, query });
                }
                gather::Action::RequestReservation { to, request } => {
                    let (from, requests) = (fleet::peer(instance), vec![request]);
                    let incarnation = INCARNATION;
                    let event = gather::Event::ReservationRequests { from, incarnation, requests };
                    self.pass(fleet::instance(&to.name), event);
                }
                gather::Action::ReplyReservation { to, reply } => {
                    let (from, replies) = (fleet::peer(instance).name, vec![reply]);
                    let event = gather::Event::ReservationReplies { from, replies };
                    self.pass(fleet::instance(&to.name), event);
                }
                _ => {}
            }
        }
        let wake = self.instances[instance].gather.next_wake();
        self.schedule_tick(instance, 0, wake, Step::GatherTick(instance));
    }

    fn leaf(&mut self, instance: usize, event: leaf::Event) {
        if !self.live.contains(&instance) {
            return;
        }
        let now = Instant::from_micros(self.now);
        let mut out = Vec::new();
        self.instances[instance].leaf.handle(now, event, &mut out);
        let mut replies: BTreeMap<usize, Vec<wire::Reply>> = BTreeMap::new();
        for action in out {
            match action {
                leaf::Action::Reply { to, reply } => {
                    replies.entry(fleet::instance(&to.name)).or_default().push(reply);
                }
                other => self.perform(instance, other),
            }
        }
        for (to, replies) in replies {
            if self.unit() < self.faults.reply_loss {
                continue;
            }
            self.sequence += 1;
            let number = self.sequence;
            self.replies.insert(number, replies);
            self.schedule(TRANSIT_US, Step::Replies { from: instance, to, number });
        }
        let wake = self.instances[instance].leaf.next_wake();
        self.schedule_tick(instance, 1, wake, Step::LeafTick(instance));
    }

    fn schedule_tick(&mut self, instance: usize, which: usize, wake: Option<Instant>, step: Step) {
        let Some(at) = wake.map(Instant::as_micros) else { return };
        let tick = &mut self.instances[instance].ticks[which];
        if tick.is_none_or(|scheduled| at < scheduled) {
            *tick = Some(at);
            self.schedule(at.saturating_sub(self.now), step);
        }
    }

    fn perform(&mut self, instance: usize, action: leaf::Action) {
        match action {
            leaf::Action::Open { connection, address, .. } => {
                let server = fleet::server_index(&address);
                self.instances[instance].connections.insert(connection, server);
                self.schedule(2 * TRANSIT_US, Step::Opened(instance, connection));
            }
            leaf::Action::Close(connection) => {
                self.instances[instance].connections.remove(&connection);
            }
            leaf::Action::Send { connection, attempt, request, .. } => {
                let server = self.instances[instance].connections[&connection];
                self.sequence += 1;
                let number = self.sequence;
                self.calls.insert(number, Call { instance, attempt, server, request });
                self.schedule(TRANSIT_US, Step::Arrive(number));
            }
            _ => {}
        }
    }

    /// Starts a call in a slot of its server.
    fn begin(&mut self, call: u64) {
        let kind = self.calls.get(&call).map_or(&KINDS[0], |call| kind_of(&call.request));
        let work = kind.work.mul_f64(0.6 + 0.8 * self.unit());
        self.schedule(work.as_micros() as u64, Step::Complete(call));
    }

    fn complete(&mut self, call: u64) {
        let Some(server) = self.calls.get(&call).map(|call| call.server) else {
            // The instance that sent the call is lost; its work ends here.
            let lost = self.servers.iter().position(|server| server.running.contains(&call));
            if let Some(next) = lost.and_then(|server| self.servers[server].end(call)) {
                self.begin(next);
            }
            return;
        };
        let end = self.stall_end(server);
        if end > self.now {
            self.schedule(end - self.now, Step::Complete(call));
            return;
        }
        self.schedule(TRANSIT_US, Step::Answer(call));
        if let Some(next) = self.servers[server].end(call) {
            self.begin(next);
        }
    }

    /// Time until which a server completes no call.
    fn stall_end(&self, server: usize) -> u64 {
        let stalled = self.stalled.get(&server).copied().unwrap_or_default();
        let paused = self.faults.pauses.map_or(0, |(interval, length)| {
            let since = (self.now + server as u64 * 7_919_000) % interval;
            if since < length { self.now + length - since } else { 0 }
        });
        stalled.max(paused)
    }

    fn answer(&mut self, number: u64) {
        let Some(call) = self.calls.remove(&number) else { return };
        let server = &self.servers[call.server];
        let request = &call.request;
        let part = |shard: &String| Part { shard: shard.clone(), ..Part::default() };
        let occupancy = target::Occupancy {
            running: server.running.len() as u32 + 1,
            waiting: server.waiting.len() as u32,
            slots: SLOTS as u32,
        };
        let answer = target::Answer {
            id: request.id.clone(),
            index: request.index.clone(),
            version: request.version,
            parts: request.shards.iter().map(part).collect(),
            occupancy: Some(occupancy),
        };
        let outcome = Outcome::Answer(answer);
        self.leaf(call.instance, leaf::Event::Ended { attempt: call.attempt, outcome });
    }

    fn answered(&mut self, caller: CallerId, answer: Answer) {
        let Some((sweep, arrived)) = self.open.remove(&caller.0) else { return };
        let kind = sweep.kind;
        if answer.reason() == Reason::SweepLimit {
            assert_eq!(answer.verdict(), Verdict::NotRun);
            let wait = if self.faults.reserved_percent == 0 { 0 } else { 5_000 };
            assert!(self.now <= arrived + wait, "a refusal at once, or as the holder replies");
            self.tally(sweep, |tally| tally.refused += 1);
            if self.faults.retries && !sweep.is_retry {
                let delay = u64::from(answer.retry_after_ms) * 1000;
                self.schedule(delay, Step::Retry(Sweep { is_retry: true, ..sweep }));
            }
            self.refusals.push(answer);
            return;
        }
        let took = Duration::from_micros(self.now - arrived);
        let floor = (SHARDS * KINDS[kind].floor_permille as usize).div_ceil(1000);
        if answer.covered.len() >= floor && took <= KINDS[kind].target {
            self.tally(sweep, |tally| tally.in_time += 1);
        } else {
            self.tally(sweep, |tally| tally.late += 1);
        }
    }
}

fn kind_of(request: &target::Request) -> &'static Kind {
    KINDS.iter().find(|kind| kind.name == request.payload).expect("a kind")
}
