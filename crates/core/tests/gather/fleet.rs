//! Builds views of a small fleet: three instances, three services, six shards.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::placement::LimitPart;
use ladder_core::schema::catalogue::{Entry, Operation, Preference};
use ladder_core::schema::publication::{Holding, Index, Shard};
use ladder_core::view::{Candidate, Peer, Server, Service, View};

/// Name of the published index in the tests.
pub(crate) const INDEX: &str = "docks";
/// Name of the instance under test.
pub(crate) const SELF: &str = "e1";
/// Shards with their services in the default shard map.
pub(crate) const MAP: [(&str, &str); 6] =
    [("a", "s1"), ("b", "s1"), ("c", "s2"), ("d", "s2"), ("e", "s3"), ("f", "s3")];

/// A service with its candidates and the index versions that its two servers hold.
#[derive(Clone, Debug)]
pub(crate) struct ServiceSpec {
    pub(crate) name: &'static str,
    /// Index versions held by each of the servers.
    pub(crate) held_versions: Vec<Vec<u64>>,
    pub(crate) leaving: Vec<bool>,
    pub(crate) candidates: Vec<(&'static str, bool)>,
    pub(crate) operations: Vec<Operation>,
}

/// The state of the fleet from which a view is built.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) ready: bool,
    pub(crate) services: Vec<ServiceSpec>,
    /// Published versions with their shard maps, newest first.
    pub(crate) versions: Vec<(u64, Vec<(&'static str, &'static str)>)>,
}

impl Default for Fleet {
    /// Version 7 is held by all servers; s1 is owned by e1, s2 by e2, s3 by e3.
    fn default() -> Self {
        Self {
            ready: true,
            services: vec![
                service_spec("s1", ["e1", "e2", "e3"]),
                service_spec("s2", ["e2", "e3", "e1"]),
                service_spec("s3", ["e3", "e1", "e2"]),
            ],
            versions: vec![(7, MAP.to_vec())],
        }
    }
}

impl Fleet {
    /// Marks an instance as not live in the candidates of all services.
    pub(crate) fn without_instance(mut self, instance: &str) -> Self {
        for spec in &mut self.services {
            for candidate in &mut spec.candidates {
                candidate.1 &= candidate.0 != instance;
            }
        }
        self
    }

    /// Publishes a newer version with the default shard map; the servers of each service hold the
    /// versions in `held_versions`.
    pub(crate) fn with_version(mut self, version: u64, held_versions: [&[u64]; 3]) -> Self {
        self.versions.insert(0, (version, MAP.to_vec()));
        for (spec, held_versions) in self.services.iter_mut().zip(held_versions) {
            spec.held_versions = vec![held_versions.to_vec(); 2];
        }
        self
    }

    /// Builds the view that the gathering machine receives.
    pub(crate) fn view(&self) -> Arc<View> {
        let mut view = View { generation: 1, revision: 1, ready: self.ready, ..View::default() };
        for spec in &self.services {
            view.insert(service(spec));
        }
        let versions = self.versions.iter().map(|(version, map)| index(*version, map));
        view.indexes.insert(INDEX.into(), versions.collect());
        Arc::new(view)
    }
}

pub(crate) fn service_spec(name: &'static str, candidates: [&'static str; 3]) -> ServiceSpec {
    ServiceSpec {
        name,
        held_versions: vec![vec![7]; 2],
        leaving: vec![false; 2],
        candidates: candidates.map(|name| (name, true)).to_vec(),
        operations: vec![
            operation("sweep", false, Preference::Timely, 100),
            operation("check", false, Preference::Complete, 400),
            operation("book", true, Preference::Complete, 500),
        ],
    }
}

fn operation(
    name: &str,
    unrepeatable: bool,
    preference: Preference,
    deadline_ms: u32,
) -> Operation {
    let (name, preference) = (name.to_owned(), preference.into());
    Operation { name, unrepeatable, preference, deadline_ms, ..Operation::default() }
}

pub(crate) fn peer(name: &str) -> Peer {
    let port = 7000 + u32::from(name.as_bytes()[1]);
    Peer { name: name.into(), address: format!("127.0.0.1:{port}").into() }
}

fn index(version: u64, map: &[(&str, &str)]) -> Arc<Index> {
    let shards =
        map.iter().map(|&(name, service)| Shard { name: name.into(), service: service.into() });
    Arc::new(Index { name: INDEX.to_owned(), version, shards: shards.collect() })
}

fn service(spec: &ServiceSpec) -> Service {
    let candidates = spec.candidates.iter().map(|&(name, live)| Candidate {
        peer: peer(name),
        live,
        local: name == SELF,
    });
    let servers = spec.held_versions.iter().zip(&spec.leaving).enumerate();
    Service {
        sharer_count: 1,
        limit_part: LimitPart::default(),
        has_few_connections: false,
        keeps_idle_connection: true,
        name: spec.name.into(),
        entry: Arc::new(Entry {
            service: spec.name.to_owned(),
            operations: spec.operations.clone(),
            ..Entry::default()
        }),
        servers: servers
            .map(|(number, (held_versions, &leaving))| {
                server(spec.name, number, held_versions, leaving)
            })
            .collect(),
        candidates: candidates.collect(),
    }
}

fn server(service: &str, number: usize, held_versions: &[u64], leaving: bool) -> Server {
    let holdings =
        held_versions.iter().map(|&version| Holding { index: INDEX.to_owned(), version });
    Server {
        name: format!("{service}-{number}").into(),
        address: "127.0.0.1:9".into(),
        zone: "Trindade".into(),
        incarnation: 1,
        leaving,
        evacuated: false,
        warmup: Duration::ZERO,
        slots: 2,
        share: 4,
        holdings: holdings.collect(),
    }
}
