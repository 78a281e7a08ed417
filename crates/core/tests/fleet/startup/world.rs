//! Simulated fleet of whole instances (control, gathering and leaf machines) before servers that
//! count and limit their connections.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::settings::{Listing, Placement};
use ladder_core::control::state_change::StateChange;
use ladder_core::gather::event::{CallerId, Reception};
use ladder_core::leaf::event::{AttemptKey, ConnectionKey, Outcome};
use ladder_core::schema::call::{Answer, Message, Part, Request};
use ladder_core::schema::catalogue::Urgency;
use ladder_core::schema::publication::{Page, Record, Route, Routing, Server, State, record::Body};
use ladder_core::schema::target;
use ladder_core::schema::wire::Frame;
use ladder_core::time::Instant;
use ladder_core::view::Peer;
use ladder_core::{control, gather, leaf};

use crate::fixtures;
use crate::simulation::name;

const ZONES: [&str; 3] = ["campanha", "sao-bento", "trindade"];
const SERVICES: usize = 16;
/// Connection limit of a server.
pub(crate) const LIMIT: usize = 64;
pub(crate) const SLOTS: usize = 2;
const MESSAGE_DELAY: Duration = Duration::from_millis(1);
/// Time for which opening a connection occupies a slot of the server.
const OPENING_TIME: Duration = Duration::from_millis(6);
const CALL_TIME: Duration = Duration::from_millis(8);
/// Time for which a server goes on counting the connections of an instance that lost power.
const DEAD_CONNECTION_TIME: Duration = Duration::from_secs(10);

/// Number of an instance, and how often it had been started before.
type Life = (usize, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Role {
    Control,
    Gather,
    Leaf,
}

enum Happening {
    Control(Life, control::Event),
    Gather(Life, gather::Event),
    Leaf(Life, leaf::Event),
    Wake(Life, Role),
    /// A request for a connection reaches a server.
    Open(Life, ConnectionKey, Arc<str>),
    /// A request reaches a server.
    Call(Life, ConnectionKey, AttemptKey, Box<target::Request>),
}

struct Instance {
    life: Life,
    control: control::Machine,
    gather: gather::Machine,
    leaf: leaf::Machine,
    /// When the next wake-up of each machine is due.
    wakes: BTreeMap<Role, Instant>,
    servers: BTreeMap<ConnectionKey, Arc<str>>,
}

/// A server, which counts its connections.
#[derive(Default)]
struct SimulatedServer {
    connections: BTreeSet<(Life, ConnectionKey)>,
    /// For each connection of an instance that lost power, when the server drops it.
    dead: Vec<Instant>,
    free_at: [Instant; SLOTS],
}

impl SimulatedServer {
    /// Occupies a slot for this time and returns when the time ends.
    fn occupy(&mut self, now: Instant, span: Duration) -> Instant {
        let slot = self.free_at.iter_mut().min().expect("a server has slots");
        *slot = now.max(*slot) + span;
        *slot
    }
}

/// A sweep of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Sweep {
    pub(crate) asked_at: Instant,
    pub(crate) answer: Option<(Instant, Answer)>,
}

/// What is measured of the connections at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Connections {
    /// Largest number of connections that a server counts, those of lost instances included.
    pub(crate) counted: usize,
    /// Largest number of connections that running instances have to a server.
    pub(crate) live: usize,
}

pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) gradual: bool,
    /// Peer addresses that the instances ask at their start.
    pub(crate) seeds: Vec<String>,
    sequence: u64,
    queue: BTreeMap<(Instant, u64), Happening>,
    instances: BTreeMap<usize, Instance>,
    lives: BTreeMap<usize, u64>,
    servers: BTreeMap<Arc<str>, SimulatedServer>,
    records: Vec<Record>,
    pub(crate) sweeps: BTreeMap<u64, Sweep>,
    /// Connections that servers reset because of their limit: when.
    pub(crate) resets: Vec<Instant>,
    /// Number of losses of power so far.
    pub(crate) losses: usize,
    /// Largest numbers so far.
    pub(crate) most: Connections,
    /// Age of each instance when it trusted its count, and the count.
    pub(crate) trusted: BTreeMap<usize, (Duration, usize)>,
    /// Calls by service and instance since they were last cleared.
    pub(crate) calls: BTreeMap<String, BTreeMap<usize, usize>>,
}

pub(crate) fn zone(number: usize) -> &'static str {
    ZONES[number % ZONES.len()]
}

fn service(number: usize) -> String {
    format!("gate-{number}")
}

/// The service of a server, by its name.
fn service_of(server: &str) -> &str {
    server.split(':').next().expect("a service")
}

/// Routes of one sweep over all services, and a server of each in every zone.
fn published_bodies() -> Vec<Body> {
    let entries = (0..SERVICES).map(|number| match fixtures::entry(&service(number), 1000) {
        Body::Entry(entry) => entry,
        _ => unreachable!("an entry"),
    });
    let Body::Routing(routing) = fixtures::routes(1) else {
        unreachable!("routes");
    };
    let sweep = Route {
        name: "sweep".to_owned(),
        host: "porto.example".to_owned(),
        prefix: "/".to_owned(),
        urgency: Urgency::Elevated.into(),
        parts: (0..SERVICES).map(service).collect(),
        top: 3,
        floor_permille: 950,
        timeout_ms: 1500,
        target_ms: 200,
        attempts: 2,
        ..Route::default()
    };
    let routing = Routing { entries: entries.collect(), routes: vec![sweep], ..routing };
    let servers = (0..SERVICES).flat_map(|number| {
        ZONES.iter().enumerate().map(move |(replica, zone)| {
            let address = format!("127.0.0.1:{}", 9000 + number * ZONES.len() + replica);
            let name = format!("{}:{zone}", service(number));
            let server = fixtures::server(&name, &service(number), 1, State::Live);
            let Body::Server(server) = server else { unreachable!("a server") };
            let (zone, slots) = ((*zone).to_owned(), SLOTS as u32);
            Body::Server(Server { zone, slots, connections: LIMIT as u32, address, ..server })
        })
    });
    [Body::Routing(routing)].into_iter().chain(servers).collect()
}

impl World {
    pub(crate) fn new(gradual: bool) -> Self {
        let records = fixtures::records(1, published_bodies());
        let names = records.iter().filter_map(|record| match &record.body {
            Some(Body::Server(server)) => Some(Arc::from(server.name.as_str())),
            _ => None,
        });
        Self {
            now: Instant::from_millis(1_000_000),
            gradual,
            seeds: [0, 1, 2].map(|number| fixtures::address(&name(number))).to_vec(),
            sequence: 0,
            queue: BTreeMap::new(),
            instances: BTreeMap::new(),
            lives: BTreeMap::new(),
            servers: names.map(|name| (name, SimulatedServer::default())).collect(),
            records,
            sweeps: BTreeMap::new(),
            resets: Vec::new(),
            losses: 0,
            most: Connections::default(),
            trusted: BTreeMap::new(),
            calls: BTreeMap::new(),
        }
    }

    pub(crate) fn start(&mut self, number: usize) {
        let life = self.lives.entry(number).or_default();
        *life += 1;
        let life = (number, *life);
        let (own, zone, incarnation) = (name(number), zone(number), life.1);
        let control = control::Settings::builder(&own, &fixtures::address(&own))
            .fleet("porto")
            .zone(zone)
            .incarnation(incarnation)
            .near(true)
            .placement(Placement::Direct)
            .listing(Listing::Observed)
            .gradual_startup(self.gradual)
            .seeds(self.seeds.iter().map(String::as_str))
            .seed(number as u64 + 100 * incarnation)
            .build();
        let leaf = leaf::Settings::builder(&own, incarnation)
            .by_need(true)
            .gradual_startup(self.gradual)
            .probing(false)
            .linger(Some(Duration::from_millis(250)))
            .zone(zone)
            .seed(number as u64)
            .build();
        let instance = Instance {
            life,
            control: control::Machine::new(control, self.now),
            gather: gather::Machine::new(
                gather::Settings::builder(&own, incarnation).near(zone).build(),
            ),
            leaf: leaf::Machine::new(leaf),
            wakes: BTreeMap::new(),
            servers: BTreeMap::new(),
        };
        self.instances.insert(number, instance);
        self.handle(Happening::Control(life, control::Event::Tick));
    }

    /// All instances lose power.
    pub(crate) fn lose_power(&mut self) {
        self.losses += 1;
        self.instances.clear();
        let until = self.now + DEAD_CONNECTION_TIME;
        for server in self.servers.values_mut() {
            server.dead.extend(server.connections.iter().map(|_| until));
            server.connections.clear();
        }
    }

    /// Other clients occupy all connections of the servers for some time.
    pub(crate) fn fill_servers(&mut self, span: Duration) {
        let until = self.now + span;
        for server in self.servers.values_mut() {
            server.dead.resize(LIMIT, until);
        }
    }

    /// Number of other instances that an instance knows.
    pub(crate) fn known_members(&self, number: usize) -> usize {
        self.instances[&number].control.members().count()
    }

    /// Numbers of connections of an instance to the servers of a service, or to all servers if the
    /// name is empty.
    pub(crate) fn connections_of(&self, number: usize, service: &str) -> Vec<usize> {
        let own = |server: &SimulatedServer| {
            server.connections.iter().filter(|((owner, _), _)| *owner == number).count()
        };
        let is_asked = |name: &str| service.is_empty() || service_of(name) == service;
        let servers = self.servers.iter().filter(|(name, _)| is_asked(name));
        servers.map(|(_, server)| own(server)).collect()
    }

    /// A caller sends a sweep to an instance; no answer if the instance is not running.
    pub(crate) fn sweep(&mut self, to: usize) -> u64 {
        let number = self.sweeps.len() as u64;
        self.sweeps.insert(number, Sweep { asked_at: self.now, answer: None });
        let Some(life) = self.instances.get(&to).map(|instance| instance.life) else {
            return number;
        };
        let message = Message {
            method: "GET".to_owned(),
            host: "porto.example".to_owned(),
            target: format!("/all/{number}"),
            ..Message::default()
        };
        let request = Request {
            key: format!("key-{number}"),
            deadline_ms: 1500,
            message: Some(Box::new(message)),
            ..Request::default()
        };
        let caller = CallerId(number);
        self.handle(Happening::Gather(
            life,
            gather::Event::Call { caller, request, reception: Reception::default() },
        ));
        number
    }

    fn schedule(&mut self, at: Instant, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), happening);
    }

    fn later(&mut self, happening: Happening) {
        self.schedule(self.now + MESSAGE_DELAY, happening);
    }

    /// Advances the time and processes all events on the way.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), happening) = entry.remove_entry();
            self.now = at;
            self.handle(happening);
        }
        self.now = end;
    }

    fn instance(&mut self, life: Life) -> Option<&mut Instance> {
        self.instances.get_mut(&life.0).filter(|instance| instance.life == life)
    }

    fn handle(&mut self, happening: Happening) {
        let now = self.now;
        match happening {
            Happening::Control(life, event) => {
                let Some(instance) = self.instance(life) else { return };
                let mut out = Vec::new();
                instance.control.handle(now, event, &mut out);
                out.into_iter().for_each(|action| self.carry_out_control(life, action));
                self.set_wake(life, Role::Control);
            }
            Happening::Gather(life, event) => {
                let Some(instance) = self.instance(life) else { return };
                let mut out = Vec::new();
                instance.gather.handle(now, event, &mut out);
                out.into_iter().for_each(|action| self.carry_out_gather(life, action));
                self.set_wake(life, Role::Gather);
            }
            Happening::Leaf(life, event) => {
                let Some(instance) = self.instance(life) else { return };
                let mut out = Vec::new();
                instance.leaf.handle(now, event, &mut out);
                out.into_iter().for_each(|action| self.carry_out_leaf(life, action));
                self.set_wake(life, Role::Leaf);
            }
            Happening::Wake(life, part) => self.wake(life, part),
            Happening::Open(life, connection, server) => self.open(life, connection, &server),
            Happening::Call(life, connection, attempt, request) => {
                self.call(life, connection, attempt, &request);
            }
        }
    }

    fn set_wake(&mut self, life: Life, part: Role) {
        let now = self.now;
        let Some(instance) = self.instance(life) else { return };
        let next = match part {
            Role::Control => Some(instance.control.next_wake()),
            Role::Gather => instance.gather.next_wake(),
            Role::Leaf => instance.leaf.next_wake(),
        };
        let Some(next) = next.map(|next| next.max(now)) else { return };
        if instance.wakes.get(&part).is_none_or(|due| next < *due) {
            instance.wakes.insert(part, next);
            self.schedule(next, Happening::Wake(life, part));
        }
    }

    fn wake(&mut self, life: Life, part: Role) {
        let now = self.now;
        let Some(instance) = self.instance(life) else { return };
        if instance.wakes.get(&part) != Some(&now) {
            return;
        }
        instance.wakes.remove(&part);
        self.handle(match part {
            Role::Control => Happening::Control(life, control::Event::Tick),
            Role::Gather => Happening::Gather(life, gather::Event::Tick),
            Role::Leaf => Happening::Leaf(life, leaf::Event::Tick),
        });
    }

    fn carry_out_control(&mut self, life: Life, action: control::Action) {
        match action {
            control::Action::Send { to, frame } => {
                let Some(to) = self.life_at(&to) else { return };
                let frame = Box::new(Self::with_sender(life, *frame));
                self.later(Happening::Control(to, control::Event::Frame(frame)));
            }
            control::Action::Watch(read) => {
                let head = self.records.len() as u64;
                let (at, records, whole) = match read.after {
                    0 => (self.now + 3 * MESSAGE_DELAY, self.records.clone(), true),
                    _ => (self.now + read.wait.max(MESSAGE_DELAY), Vec::new(), false),
                };
                let page = Page { head, records, whole, ..Page::default() };
                self.schedule(at, Happening::Control(life, control::Event::Page(page)));
            }
            control::Action::View(view) => {
                self.handle(Happening::Gather(life, gather::Event::View(Arc::clone(&view))));
                self.handle(Happening::Leaf(life, leaf::Event::View(view)));
            }
            control::Action::Log(StateChange::CountTrusted { age, members }) => {
                self.trusted.insert(life.0, (age, members));
            }
            control::Action::Refused { refusal, .. } => {
                panic!("{}: {}", refusal.key, refusal.detail)
            }
            _ => {}
        }
    }

    /// The frame as its receiver gets it, with the fields that the link adds.
    fn with_sender((number, incarnation): Life, frame: Frame) -> Frame {
        let sender = fixtures::frame(&name(number), zone(number), incarnation);
        Frame {
            protocol: sender.protocol,
            fleet: "porto".to_owned(),
            from: sender.from,
            incarnation,
            generation: incarnation,
            address: sender.address,
            zone: sender.zone,
            millicores: 1000,
            ..frame
        }
    }

    fn life_at(&self, address: &str) -> Option<Life> {
        let mut instances = self.instances.values();
        instances.find(|other| fixtures::address(&name(other.life.0)) == address).map(|i| i.life)
    }

    /// Passes traffic to another instance or to another machine of the same one; its frame is also
    /// a sign of life of its sender.
    fn send(&mut self, from: Life, to: &str, happening: impl FnOnce(Life) -> Happening) {
        let Some(to) = self.life_at(to) else { return };
        if to == from {
            let happening = happening(to);
            self.schedule(self.now, happening);
            return;
        }
        self.later(happening(to));
        let frame = Box::new(Self::with_sender(from, Frame::default()));
        self.later(Happening::Control(to, control::Event::Frame(frame)));
    }

    fn peer(life: Life) -> Peer {
        Peer { name: name(life.0).into(), address: fixtures::address(&name(life.0)).into() }
    }

    fn carry_out_gather(&mut self, life: Life, action: gather::Action) {
        match action {
            gather::Action::Answer { caller, answer } => {
                let now = self.now;
                let sweep = self.sweeps.get_mut(&caller.0).expect("a known sweep");
                sweep.answer = Some((now, answer));
            }
            gather::Action::Send { to, work } => self.send(life, &to.address, |to| {
                let (from, incarnation) = (Self::peer(life), life.1);
                Happening::Leaf(to, leaf::Event::Work { from, incarnation, work })
            }),
            gather::Action::Cancel { to, cancel } => self.send(life, &to.address, |to| {
                let from = name(life.0).into();
                Happening::Leaf(to, leaf::Event::Cancel { from, cancel })
            }),
            _ => {}
        }
    }

    fn carry_out_leaf(&mut self, life: Life, action: leaf::Action) {
        let from = || name(life.0).into();
        match action {
            leaf::Action::Open { connection, server, .. } => {
                let instance = self.instance(life).expect("a running instance");
                instance.servers.insert(connection, Arc::clone(&server));
                self.later(Happening::Open(life, connection, server));
            }
            leaf::Action::Close(connection) => {
                let instance = self.instance(life).expect("a running instance");
                if let Some(server) = instance.servers.remove(&connection) {
                    let server = self.servers.get_mut(&server).expect("a known server");
                    server.connections.remove(&(life, connection));
                }
            }
            leaf::Action::Send { connection, attempt, request, .. } => {
                self.later(Happening::Call(life, connection, attempt, Box::new(request)));
            }
            leaf::Action::Reply { to, reply } => self.send(life, &to.address, |to| {
                let (from, replies) = (from(), vec![reply]);
                Happening::Gather(to, gather::Event::Replies { from, replies })
            }),
            leaf::Action::Pending { to, pending } => self.send(life, &to.address, |to| {
                Happening::Gather(to, gather::Event::Pending { from: from(), pending })
            }),
            _ => {}
        }
    }

    fn open(&mut self, life: Life, connection: ConnectionKey, server: &Arc<str>) {
        let now = self.now;
        let is_wanted = |instance: &mut Instance| instance.servers.contains_key(&connection);
        if !self.instance(life).is_some_and(is_wanted) {
            return;
        }
        let target = self.servers.get_mut(server).expect("a known server");
        target.dead.retain(|until| *until > now);
        if target.connections.len() + target.dead.len() >= LIMIT {
            self.resets.push(now);
            self.instance(life).expect("it is running").servers.remove(&connection);
            self.later(Happening::Leaf(life, leaf::Event::Closed(connection)));
            return;
        }
        target.connections.insert((life, connection));
        let opened_at = target.occupy(now, OPENING_TIME) + MESSAGE_DELAY;
        let (live, counted) =
            (target.connections.len(), target.connections.len() + target.dead.len());
        self.most.live = self.most.live.max(live);
        self.most.counted = self.most.counted.max(counted);
        self.schedule(opened_at, Happening::Leaf(life, leaf::Event::Opened(connection)));
    }

    fn call(
        &mut self,
        life: Life,
        connection: ConnectionKey,
        attempt: AttemptKey,
        request: &target::Request,
    ) {
        let now = self.now;
        let Some(instance) = self.instance(life) else { return };
        let Some(server) = instance.servers.get(&connection).cloned() else { return };
        let service = service_of(&server).to_owned();
        *self.calls.entry(service).or_default().entry(life.0).or_default() += 1;
        let target = self.servers.get_mut(&server).expect("a known server");
        let ended_at = target.occupy(now, CALL_TIME) + MESSAGE_DELAY;
        let part = |shard: &String| Part { shard: shard.clone(), ..Part::default() };
        let outcome = Outcome::Answer(target::Answer {
            id: request.id.clone(),
            index: request.index.clone(),
            version: request.version,
            parts: request.shards.iter().map(part).collect(),
            occupancy: None,
        });
        self.schedule(ended_at, Happening::Leaf(life, leaf::Event::Ended { attempt, outcome }));
    }
}
