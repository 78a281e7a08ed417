//! The simulated fleet: views of its instances, routes and servers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::placement::{Group, LimitPart};
use ladder_core::route::Table;
use ladder_core::schema::catalogue::{Entry, Limits, Urgency};
use ladder_core::schema::publication::{Route, Routing};
use ladder_core::view::{Candidate, Neighbour, Peer, Server, Service, View};

/// Number of shards of an index; each has a service of its own.
pub(crate) const SHARDS: usize = 90;
/// Number of servers of a service.
pub(crate) const SERVERS: usize = 3;
/// Number of slots of a server.
pub(crate) const SLOTS: usize = 2;

/// A kind of sweep.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) urgency: Urgency,
    pub(crate) work: Duration,
    pub(crate) target: Duration,
    pub(crate) deadline: Duration,
    pub(crate) floor_permille: u32,
}

pub(crate) const LARGE: Kind = Kind {
    name: "large",
    urgency: Urgency::Ordinary,
    work: Duration::from_millis(20),
    target: Duration::from_millis(200),
    deadline: Duration::from_millis(1500),
    floor_permille: 950,
};
pub(crate) const SMALL: Kind = Kind {
    name: "small",
    urgency: Urgency::Urgent,
    work: Duration::from_micros(6_700),
    target: Duration::from_millis(50),
    deadline: Duration::from_millis(600),
    floor_permille: 850,
};
pub(crate) const KINDS: [Kind; 2] = [LARGE, SMALL];

/// Large sweeps per second that use all slots.
pub(crate) fn capacity() -> f64 {
    (SERVERS * SLOTS) as f64 / LARGE.work.as_secs_f64()
}

pub(crate) fn peer(instance: usize) -> Peer {
    let name = format!("entry-{instance}");
    Peer { address: format!("{name}:1").into(), name: name.into() }
}

pub(crate) fn instance(name: &str) -> usize {
    name.strip_prefix("entry-").and_then(|number| number.parse().ok()).expect("an instance")
}

pub(crate) fn service_name(service: usize) -> String {
    format!("shard-{service:02}")
}

/// Index of the server with this address among all servers.
pub(crate) fn server_index(address: &str) -> usize {
    address.strip_prefix("server-").and_then(|number| number.parse().ok()).expect("a server")
}

/// Which instances send the work of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Layout {
    /// One instance sends the work of all.
    #[default]
    OneSender,
    /// Each instance sends its own sweeps; all are in one zone.
    ManySenders,
    /// Each instance sends its own sweeps, and prefers the server of its zone.
    ManyZones,
}

impl Layout {
    /// Zone of an instance, or of the servers at this place of each service.
    pub(crate) fn zone(self, place: usize) -> String {
        if self == Self::ManyZones { format!("zone-{place}") } else { "zone".to_owned() }
    }
}

/// The view of one instance; instances in `live` are alive.
pub(crate) fn view(own: usize, live: &[usize], layout: Layout) -> View {
    let mut view = View { ready: true, ..View::default() };
    let limits =
        Limits { queue: 1000, extra_percent: 20, count_refused: true, ..Limits::default() };
    for service in 0..SHARDS {
        let server = |place: usize| Server {
            name: format!("server-{}", service * SERVERS + place).into(),
            address: format!("server-{}", service * SERVERS + place).into(),
            zone: layout.zone(place).into(),
            incarnation: 1,
            leaving: false,
            evacuated: false,
            warmup: Duration::ZERO,
            slots: SLOTS as u32,
            share: 8,
            holdings: Vec::new(),
        };
        view.insert(Service {
            name: service_name(service).into(),
            entry: Arc::new(Entry { limits: Some(limits), ..Entry::default() }),
            servers: (0..SERVERS).map(server).collect(),
            candidates: vec![Candidate { peer: peer(own), live: true, local: true }],
            sharer_count: live.len() as u32,
            limit_part: LimitPart::equal(Group { size: live.len() as u32, position: 0 }),
            has_few_connections: layout == Layout::OneSender,
            keeps_idle_connection: true,
        });
    }
    let route = |kind: &Kind| Route {
        name: kind.name.to_owned(),
        host: "trial.example".to_owned(),
        prefix: format!("/{}/", kind.name),
        timeout_ms: kind.deadline.as_millis() as u32,
        target_ms: kind.target.as_millis() as u32,
        urgency: kind.urgency.into(),
        attempts: 2,
        parts: (0..SHARDS).map(service_name).collect(),
        top: 3,
        floor_permille: kind.floor_permille,
        ..Route::default()
    };
    let routing =
        Routing { version: 1, routes: KINDS.iter().map(route).collect(), ..Routing::default() };
    view.routing = Some(Arc::new(Table::new(&routing)));
    let others = live.iter().filter(|instance| **instance != own);
    let neighbour = |instance: &usize| Neighbour {
        peer: peer(*instance),
        zone: layout.zone(*instance).into(),
        millicores: 0,
    };
    view.neighbours = others.map(neighbour).collect();
    view
}

/// A server with its slots and a queue in order of arrival; calls are identified by number.
#[derive(Debug, Default)]
pub(crate) struct SimulatedServer {
    pub(crate) running: Vec<u64>,
    pub(crate) waiting: VecDeque<u64>,
}

impl SimulatedServer {
    /// Takes a call; returns whether it starts at once.
    pub(crate) fn arrive(&mut self, call: u64) -> bool {
        let starts = self.running.len() < SLOTS;
        if starts {
            self.running.push(call);
        } else {
            self.waiting.push_back(call);
        }
        starts
    }

    /// Ends a running call; returns the waiting one that starts instead.
    pub(crate) fn end(&mut self, call: u64) -> Option<u64> {
        self.running.retain(|other| *other != call);
        let next = self.waiting.pop_front();
        self.running.extend(next);
        next
    }
}
