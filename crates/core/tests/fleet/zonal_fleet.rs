//! Simulated instances and servers in several zones, connected without a network.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::placement::{Group, LimitPart};
use ladder_core::gather::event::{CallerId, Reception};
use ladder_core::leaf::event::{AttemptKey, ConnectionKey, Outcome};
use ladder_core::route::Table;
use ladder_core::schema::call::{self, Message, Request};
use ladder_core::schema::catalogue::{Entry, Limits, Urgency};
use ladder_core::schema::publication::{Route, Routing};
use ladder_core::schema::{target, wire};
use ladder_core::time::Instant;
use ladder_core::view::{Candidate, Neighbour, Peer, Server, Service, View};
use ladder_core::{gather, leaf};

pub(crate) const ZONES: [&str; 3] = ["campanha", "sao-bento", "trindade"];
const INCARNATION: u64 = 9;
/// Time that a message takes between any two machines.
const LATENCY: Duration = Duration::from_millis(1);
/// Time that a server works on one call.
const WORK: Duration = Duration::from_millis(10);
const SLOTS: usize = 2;
/// Maximum number of servers on which one part may run.
const ATTEMPTS: usize = 2;
/// Target time of the sweeps.
pub(crate) const TARGET: Duration = Duration::from_millis(100);

/// What a server does with the calls that it gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Behaviour {
    #[default]
    Works,
    /// It accepts connections and calls and answers none until this time.
    PausedUntil(Instant),
    /// It accepts no connections, and the calls sent to it are lost.
    Dark,
}

#[derive(Clone, Debug, Default)]
struct SimulatedServer {
    zone: usize,
    behaviour: Behaviour,
    /// When the current call of each slot ends.
    free_at: [Instant; SLOTS],
    /// When the calls at the server end.
    ends: Vec<Instant>,
}

struct SimulatedInstance {
    gather: gather::Machine,
    leaf: leaf::Machine,
    zone: usize,
    lost: bool,
    /// Address of the server of each connection.
    connections: BTreeMap<ConnectionKey, Arc<str>>,
}

/// An event at an instance.
#[derive(Clone, Debug)]
enum Delivery {
    Gather(gather::Event),
    Leaf(leaf::Event),
    /// A server ends a call; the answer reports its load at this time.
    Answer {
        attempt: AttemptKey,
        outcome: Outcome,
        server: Arc<str>,
    },
}

/// What crossed zones and how the sweeps ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) sweeps: usize,
    /// Sweeps that were answered with all parts within the target time.
    pub(crate) in_time: usize,
    pub(crate) parts: usize,
    /// Parts sent to an instance of another zone.
    pub(crate) parts_to_other_zones: usize,
    pub(crate) calls: usize,
    /// Calls to a server of another zone than the calling instance's.
    pub(crate) calls_to_other_zones: usize,
}

pub(crate) struct Fleet {
    pub(crate) now: Instant,
    is_zonal: bool,
    /// Zones that have a server of each service.
    server_zones: Vec<usize>,
    services: usize,
    instances: BTreeMap<String, SimulatedInstance>,
    servers: BTreeMap<Arc<str>, SimulatedServer>,
    /// Deliveries by time and sequence number.
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    deliveries: BTreeMap<u64, (String, Delivery)>,
    sequence: u64,
    /// Instances that each instance does not list, as long as they are not lost for all.
    pub(crate) unknown: BTreeMap<String, BTreeSet<String>>,
    /// Instances that get no sweeps because they leave.
    leaving: BTreeSet<String>,
    /// Zones whose servers are evacuated or warm up, for all instances.
    pub(crate) evacuated: BTreeSet<usize>,
    pub(crate) cold: BTreeSet<usize>,
    /// Start times and entry zones of the open sweeps.
    open: BTreeMap<u64, Instant>,
    /// Servers that each part ran on, by request key and service.
    runs: BTreeMap<(String, String), BTreeSet<Arc<str>>>,
    /// Instances that sent calls for each service.
    pub(crate) senders: BTreeMap<String, BTreeSet<String>>,
    pub(crate) totals: Totals,
}

fn service(number: usize) -> String {
    format!("docks-{number}")
}

fn peer(name: &str) -> Peer {
    Peer { name: name.into(), address: name.into() }
}

/// Name of an instance; the zone is a position in [`ZONES`].
pub(crate) fn name(zone: usize, number: usize) -> String {
    format!("{}-{number}", ZONES[zone])
}

impl Fleet {
    /// A fleet with the given number of instances in each zone, and of services with a server in
    /// each of `server_zones`.
    pub(crate) fn new(
        is_zonal: bool,
        per_zone: usize,
        services: usize,
        server_zones: &[usize],
    ) -> Self {
        let mut fleet = Self {
            now: Instant::from_millis(1000),
            is_zonal,
            server_zones: server_zones.to_vec(),
            services,
            instances: BTreeMap::new(),
            servers: BTreeMap::new(),
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            sequence: 0,
            unknown: BTreeMap::new(),
            leaving: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            cold: BTreeSet::new(),
            open: BTreeMap::new(),
            runs: BTreeMap::new(),
            senders: BTreeMap::new(),
            totals: Totals::default(),
        };
        for service_number in 0..services {
            for zone in server_zones {
                let address = format!("{}/{}", service(service_number), ZONES[*zone]).into();
                let server = SimulatedServer { zone: *zone, ..SimulatedServer::default() };
                fleet.servers.insert(address, server);
            }
        }
        for zone in 0..ZONES.len() {
            (0..per_zone).for_each(|number| fleet.add(zone, number));
        }
        fleet.publish();
        fleet
    }

    fn add(&mut self, zone: usize, number: usize) {
        let name = name(zone, number);
        let gather = gather::Settings::builder(&name, INCARNATION).near(ZONES[zone]);
        let leaf = leaf::Settings::builder(&name, INCARNATION)
            .zone(ZONES[zone])
            .zonal(self.is_zonal)
            .by_need(true)
            .probing(false)
            .linger(Some(Duration::from_millis(250)))
            .seed(number as u64);
        let instance = SimulatedInstance {
            gather: gather::Machine::new(gather.zonal(self.is_zonal).build()),
            leaf: leaf::Machine::new(leaf.build()),
            zone,
            lost: false,
            connections: BTreeMap::new(),
        };
        self.instances.insert(name, instance);
    }

    /// Gives all instances the current view of the fleet and the servers.
    pub(crate) fn publish(&mut self) {
        let names: Vec<String> = self.instances.keys().cloned().collect();
        for name in names {
            let view = Arc::new(self.view(&name));
            self.handle(&name, Delivery::Gather(gather::Event::View(Arc::clone(&view))));
            self.handle(&name, Delivery::Leaf(leaf::Event::View(view)));
        }
    }

    fn view(&self, own: &str) -> View {
        let mut view = View { generation: 1, ready: true, ..View::default() };
        for number in 0..self.services {
            view.insert(self.listed_service(&service(number), own));
        }
        let route = Route {
            name: "sweep".to_owned(),
            host: "porto.example".to_owned(),
            prefix: "/".to_owned(),
            timeout_ms: 1000,
            target_ms: TARGET.as_millis() as u32,
            attempts: ATTEMPTS as u32,
            parts: (0..self.services).map(service).collect(),
            top: 3,
            floor_permille: 900,
            ..Route::default()
        };
        let routing = Routing { version: 7, routes: vec![route], ..Routing::default() };
        view.routing = Some(Arc::new(Table::new(&routing)));
        let unknown = self.unknown.get(own);
        let is_listed = |(name, instance): &(&String, &SimulatedInstance)| {
            **name != *own && !instance.lost && !unknown.is_some_and(|names| names.contains(*name))
        };
        let neighbour = |(name, instance): (&String, &SimulatedInstance)| Neighbour {
            peer: peer(name),
            zone: ZONES[instance.zone].into(),
            millicores: 0,
        };
        view.neighbours = self.instances.iter().filter(is_listed).map(neighbour).collect();
        view
    }

    fn listed_service(&self, name: &str, own: &str) -> Service {
        let limits = Limits {
            queue: 1000,
            extra_percent: 20,
            extra_burst: 200,
            extra_window_ms: 10_000,
            count_refused: true,
            warmup_rate: 4,
            warmup_most: 8,
            warmup_ms: 3000,
            ..Limits::default()
        };
        let entry = Entry {
            service: name.to_owned(),
            urgency: Urgency::Elevated.into(),
            limits: Some(limits),
            ..Entry::default()
        };
        let server = |zone: &usize| Server {
            name: format!("{name}/{}", ZONES[*zone]).into(),
            address: format!("{name}/{}", ZONES[*zone]).into(),
            zone: ZONES[*zone].into(),
            incarnation: 1,
            leaving: false,
            evacuated: self.evacuated.contains(zone),
            slots: SLOTS as u32,
            share: 5,
            warmup: Duration::from_millis(if self.cold.contains(zone) { 20_000 } else { 0 }),
            holdings: Vec::new(),
        };
        Service {
            name: name.into(),
            entry: Arc::new(entry),
            servers: self.server_zones.iter().map(server).collect(),
            candidates: vec![Candidate { peer: peer(own), live: true, local: true }],
            sharer_count: self.instances.len() as u32,
            limit_part: LimitPart::equal(Group { size: self.instances.len() as u32, position: 0 }),
            has_few_connections: true,
            keeps_idle_connection: false,
        }
    }

    /// The instance stops without a word; the others still list it.
    pub(crate) fn silence(&mut self, name: &str) {
        self.instances.get_mut(name).expect("an instance").lost = true;
    }

    /// The instance stops, its links break and the others no longer list it.
    pub(crate) fn lose(&mut self, lost: &str) {
        self.silence(lost);
        let names: Vec<String> = self.instances.keys().cloned().collect();
        for name in names {
            self.handle(&name, Delivery::Gather(gather::Event::LinkDown(lost.into())));
        }
        self.publish();
    }

    /// The instance finishes its work, and the others no longer list it.
    pub(crate) fn leave(&mut self, leaving: &str) {
        self.leaving.insert(leaving.to_owned());
        for name in self.instances.keys().filter(|name| **name != *leaving) {
            self.unknown.entry(name.clone()).or_default().insert(leaving.to_owned());
        }
        self.publish();
        self.handle(leaving, Delivery::Leaf(leaf::Event::Drain));
    }

    /// Sets the behaviour of all servers of a zone.
    pub(crate) fn set_behaviour(&mut self, zone: usize, behaviour: Behaviour) {
        let servers = self.servers.values_mut().filter(|server| server.zone == zone);
        servers.for_each(|server| server.behaviour = behaviour);
    }

    /// Names of the instances that aggregate parts of sweeps that arrive in a zone, as seen so far.
    pub(crate) fn forget_senders(&mut self) {
        self.senders.clear();
    }

    /// Starts a sweep at an instance.
    pub(crate) fn sweep(&mut self, entry: &str) {
        if self.instances[entry].lost || self.leaving.contains(entry) {
            return;
        }
        self.sequence += 1;
        let number = self.sequence;
        let message = Message {
            method: "GET".to_owned(),
            host: "porto.example".to_owned(),
            target: format!("/{number}"),
            ..Message::default()
        };
        let request = Request {
            key: format!("key-{number}"),
            deadline_ms: 1000,
            payload: format!("key-{number}"),
            message: Some(Box::new(message)),
            ..Request::default()
        };
        self.totals.sweeps += 1;
        self.open.insert(number, self.now);
        let event = gather::Event::Call {
            caller: CallerId(number),
            request,
            reception: Reception::default(),
        };
        self.handle(entry, Delivery::Gather(event));
    }

    /// Runs the fleet for some time; at each millisecond, `arrive` starts sweeps.
    pub(crate) fn run(&mut self, millis: u64, mut arrive: impl FnMut(&mut Self, u64)) {
        for step in 0..millis {
            arrive(self, step);
            let end = self.now + Duration::from_millis(1);
            while let Some((at, next)) = self.next_event().filter(|(at, _)| *at <= end) {
                self.now = self.now.max(at);
                match next {
                    Some(name) => {
                        self.handle(&name, Delivery::Gather(gather::Event::Tick));
                        self.handle(&name, Delivery::Leaf(leaf::Event::Tick));
                    }
                    None => self.deliver_next(),
                }
            }
            self.now = end;
        }
    }

    /// Time of the next event: the wake-up of an instance, or a delivery.
    fn next_event(&self) -> Option<(Instant, Option<String>)> {
        let delivery = self.queue.peek().map(|Reverse((at, _))| (*at, None));
        let live = self.instances.iter().filter(|(_, instance)| !instance.lost);
        let wake = live.filter_map(|(name, instance)| {
            let at = instance.gather.next_wake().into_iter().chain(instance.leaf.next_wake()).min();
            at.map(|at| (at, name))
        });
        let wake = wake.min().map(|(at, name)| (at, Some(name.clone())));
        delivery.into_iter().chain(wake).min_by_key(|(at, _)| *at)
    }

    fn deliver_next(&mut self) {
        if let Some(Reverse((_, sequence))) = self.queue.pop() {
            let (to, delivery) = self.deliveries.remove(&sequence).expect("a delivery");
            self.handle(&to, delivery);
        }
    }

    fn schedule(&mut self, at: Instant, to: &str, delivery: Delivery) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.deliveries.insert(self.sequence, (to.to_owned(), delivery));
    }

    /// Sends an event to another instance, or gives it to the same one at once.
    fn send(&mut self, from: &str, to: &str, delivery: Delivery) {
        let latency = if from == to { Duration::ZERO } else { LATENCY };
        self.schedule(self.now + latency, to, delivery);
    }

    fn handle(&mut self, name: &str, delivery: Delivery) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(name).filter(|instance| !instance.lost) else {
            return;
        };
        match delivery {
            Delivery::Gather(event) => {
                let mut out = Vec::new();
                instance.gather.handle(now, event, &mut out);
                out.into_iter().for_each(|action| self.gather_action(name, action));
            }
            Delivery::Answer { attempt, mut outcome, server } => {
                if let Outcome::Answer(answer) = &mut outcome {
                    let server = self.servers.get_mut(&server).expect("a server");
                    answer.occupancy = Some(server.occupancy(now));
                }
                let event = leaf::Event::Ended { attempt, outcome };
                self.schedule(now + LATENCY, name, Delivery::Leaf(event));
            }
            Delivery::Leaf(event) => {
                let mut out = Vec::new();
                instance.leaf.handle(now, event, &mut out);
                self.leaf_actions(name, out);
            }
        }
    }

    fn gather_action(&mut self, name: &str, action: gather::Action) {
        match action {
            gather::Action::Send { to, work } => {
                let is_same_zone = self.instances[name].zone == self.instances[&*to.name].zone;
                self.totals.parts += work.portions.len();
                self.totals.parts_to_other_zones +=
                    if is_same_zone { 0 } else { work.portions.len() };
                let event = leaf::Event::Work { from: peer(name), incarnation: INCARNATION, work };
                self.send(name, &to.name, Delivery::Leaf(event));
            }
            gather::Action::Cancel { to, cancel } => {
                let event = leaf::Event::Cancel { from: name.into(), cancel };
                self.send(name, &to.name, Delivery::Leaf(event));
            }
            gather::Action::Answer { caller, answer } => {
                let started = self.open.remove(&caller.0).expect("an open sweep");
                let is_whole = answer.missing.is_empty() && !answer.covered.is_empty();
                let is_in_time = self.now.since(started) <= TARGET + 2 * LATENCY;
                self.totals.in_time += usize::from(is_whole && is_in_time);
            }
            _ => {}
        }
    }

    fn leaf_actions(&mut self, name: &str, actions: Vec<leaf::Action>) {
        let mut replies: BTreeMap<Arc<str>, Vec<wire::Reply>> = BTreeMap::new();
        for action in actions {
            match action {
                leaf::Action::Open { connection, address, .. } => {
                    self.open_connection(name, connection, address);
                }
                leaf::Action::Send { connection, attempt, request, timeout } => {
                    let address = Arc::clone(&self.instances[name].connections[&connection]);
                    self.call(name, &address, attempt, &request, timeout);
                }
                leaf::Action::Reply { to, reply } => {
                    replies.entry(to.name).or_default().push(reply);
                }
                leaf::Action::Pending { to, pending } => {
                    let event = gather::Event::Pending { from: name.into(), pending };
                    self.send(name, &to.name, Delivery::Gather(event));
                }
                _ => {}
            }
        }
        for (to, replies) in replies {
            let event = gather::Event::Replies { from: name.into(), replies };
            self.send(name, &to, Delivery::Gather(event));
        }
    }

    fn open_connection(&mut self, name: &str, connection: ConnectionKey, address: Arc<str>) {
        let event = match self.servers[&address].behaviour {
            Behaviour::Dark => leaf::Event::Closed(connection),
            _ => leaf::Event::Opened(connection),
        };
        let instance = self.instances.get_mut(name).expect("an instance");
        instance.connections.insert(connection, address);
        self.schedule(self.now + 2 * LATENCY, name, Delivery::Leaf(event));
    }

    fn call(
        &mut self,
        name: &str,
        address: &Arc<str>,
        attempt: AttemptKey,
        request: &target::Request,
        timeout: Duration,
    ) {
        let zone = self.instances[name].zone;
        let server = self.servers.get_mut(address).expect("a server");
        let (service, _) = address.split_once('/').expect("service and zone");
        self.totals.calls += 1;
        self.totals.calls_to_other_zones += usize::from(server.zone != zone);
        self.senders.entry(service.to_owned()).or_default().insert(name.to_owned());
        let run = (request.payload.clone(), service.to_owned());
        self.runs.entry(run).or_default().insert(Arc::clone(address));
        let (at, outcome) = server.run(self.now + LATENCY, request);
        if self.now + timeout < at + LATENCY {
            let event = leaf::Event::Ended { attempt, outcome: Outcome::Lost };
            return self.schedule(self.now + timeout, name, Delivery::Leaf(event));
        }
        self.schedule(at, name, Delivery::Answer { attempt, outcome, server: Arc::clone(address) });
    }

    /// Checks that each part ran on no more servers than the route allows.
    pub(crate) fn check_runs(&self) {
        for (part, servers) in &self.runs {
            assert!(servers.len() <= ATTEMPTS, "{part:?} ran on {servers:?}");
        }
    }
}

impl SimulatedServer {
    /// Runs a call that arrives at this time; returns when it ends and how.
    fn run(&mut self, arrived: Instant, request: &target::Request) -> (Instant, Outcome) {
        let paused_until = match self.behaviour {
            Behaviour::Dark => return (arrived, Outcome::Lost),
            Behaviour::PausedUntil(until) => until,
            Behaviour::Works => arrived,
        };
        let slot = self.free_at.iter_mut().min().expect("a slot");
        let end = (*slot).max(arrived).max(paused_until) + WORK;
        *slot = end;
        self.ends.push(end);
        let part = |shard: &String| call::Part {
            shard: shard.clone(),
            body: String::new(),
            response: Some(call::Response { status: 200, ..call::Response::default() }),
        };
        let answer = target::Answer {
            id: request.id.clone(),
            index: request.index.clone(),
            version: request.version,
            parts: request.shards.iter().map(part).collect(),
            occupancy: None,
        };
        (end, Outcome::Answer(answer))
    }

    /// Requests at the server when it gives an answer now.
    fn occupancy(&mut self, now: Instant) -> target::Occupancy {
        self.ends.retain(|end| *end >= now);
        let requests = self.ends.len() as u32;
        target::Occupancy {
            running: requests.min(SLOTS as u32),
            waiting: requests.saturating_sub(SLOTS as u32),
            slots: SLOTS as u32,
        }
    }
}
