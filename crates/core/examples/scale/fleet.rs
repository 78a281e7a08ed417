//! Fleet sizes of the measurement, and the records that are published at each size.

use ladder_core::schema::catalogue::{Entry, Limits, Operation, Preference, Urgency};
use ladder_core::schema::publication::{
    Holding, Index, Instance, Kind, Record, Server, Shard, State, Tombstone, record::Body,
};

/// Largest number of shards of an index, one for each service; this is the number of servers that a
/// query asks in two years.
pub(crate) const MAX_SHARDS: usize = 2000;
/// Number of servers of a service.
const REPLICAS: usize = 3;

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) instances: usize,
    pub(crate) servers: usize,
    pub(crate) zones: usize,
}

/// Measured fleet sizes, from today's nine instances to the fleet expected in two years.
pub(crate) const SIZES: [Size; 4] =
    [size(9, 106, 3), size(100, 2_000, 6), size(1_000, 16_000, 15), size(3_700, 64_000, 30)];

pub(crate) const fn size(instances: usize, servers: usize, zones: usize) -> Size {
    Size { instances, servers, zones }
}

impl Size {
    pub(crate) fn services(&self) -> usize {
        (self.servers / REPLICAS).max(1)
    }

    pub(crate) fn zone(&self, number: usize) -> String {
        format!("zone-{}", number % self.zones)
    }
}

/// Creates the records of a publication with ascending revisions.
#[derive(Debug, Default)]
pub(crate) struct Publisher {
    pub(crate) revision: u64,
}

impl Publisher {
    pub(crate) fn record(&mut self, body: Body) -> Record {
        self.revision += 1;
        Record { revision: self.revision, body: Some(body), ..Record::default() }
    }

    /// Passes the records of the whole publication of a fleet to `take`, one by one.
    pub(crate) fn each(&mut self, size: &Size, mut take: impl FnMut(Record)) {
        let services = size.services();
        let instances = (0..size.instances).map(|number| instance(size, number));
        let entries = (0..services).map(|number| entry(number, 1000));
        let servers = (0..size.servers).map(|number| server(size, number));
        let indexes = (0..services.div_ceil(MAX_SHARDS)).map(|number| index(services, number));
        let bodies = instances.chain(entries).chain(servers).chain(indexes);
        for body in bodies {
            take(self.record(body));
        }
    }

    /// Returns the records of the whole publication of a fleet.
    pub(crate) fn all(&mut self, size: &Size) -> Vec<Record> {
        let mut records = Vec::new();
        self.each(size, |record| records.push(record));
        records
    }
}

pub(crate) fn instance_name(number: usize) -> String {
    format!("instance-{number:05}")
}

pub(crate) fn instance_address(number: usize) -> String {
    format!("10.1.{}.{}:7000", number / 250, number % 250 + 1)
}

pub(crate) fn service_name(number: usize) -> String {
    format!("service-{number:05}")
}

pub(crate) fn index_name(number: usize) -> String {
    format!("index-{number:02}")
}

pub(crate) fn instance(size: &Size, number: usize) -> Body {
    Body::Instance(Instance {
        name: instance_name(number),
        zone: size.zone(number),
        peer_address: instance_address(number),
        state: State::Live as i32,
    })
}

pub(crate) fn withdrawn(number: usize) -> Body {
    Body::Tombstone(Tombstone { kind: Kind::Instance as i32, name: instance_name(number) })
}

pub(crate) fn entry(number: usize, queue: u32) -> Body {
    Body::Entry(Entry {
        service: service_name(number),
        owner: "operator".to_owned(),
        urgency: Urgency::Ordinary as i32,
        limits: Some(Limits { queue, extra_percent: 5, ..Limits::default() }),
        operations: vec![Operation {
            name: "sweep".to_owned(),
            preference: Preference::Timely as i32,
            deadline_ms: 90,
            ..Operation::default()
        }],
    })
}

fn server(size: &Size, number: usize) -> Body {
    let service = (number / REPLICAS).min(size.services() - 1);
    Body::Server(Server {
        name: format!("server-{number:05}"),
        service: service_name(service),
        zone: size.zone(number),
        address: format!("10.2.{}.{}:8000", number / 250, number % 250 + 1),
        incarnation: 1,
        state: State::Live as i32,
        slots: 2,
        connections: 25,
        holdings: vec![Holding { index: index_name(service / MAX_SHARDS), version: 1 }],
        warmup_ms: 0,
    })
}

fn index(services: usize, number: usize) -> Body {
    let first = number * MAX_SHARDS;
    let last = services.min(first + MAX_SHARDS);
    let shard = |service: usize| Shard {
        name: format!("shard-{service:05}"),
        service: service_name(service),
    };
    Body::Index(Index {
        name: index_name(number),
        version: 1,
        shards: (first..last).map(shard).collect(),
    })
}
