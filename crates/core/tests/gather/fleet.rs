//! A small fleet to build views from: three instances, three services, six shards.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::schema::catalogue::{Entry, Operation, Preference};
use ladder_core::schema::publication::{Holding, Index, Shard};
use ladder_core::view::{Candidate, Peer, Server, Service, View};

/// The index of the tests.
pub(crate) const INDEX: &str = "docks";
/// The instance under test.
pub(crate) const SELF: &str = "e1";
/// Shards with their services in the usual map.
pub(crate) const MAP: [(&str, &str); 6] =
    [("a", "s1"), ("b", "s1"), ("c", "s2"), ("d", "s2"), ("e", "s3"), ("f", "s3")];

/// A service with the versions that its two servers hold and its candidates.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub(crate) name: &'static str,
    /// Versions held by each of the servers.
    pub(crate) held: Vec<Vec<u64>>,
    pub(crate) leaving: Vec<bool>,
    pub(crate) candidates: Vec<(&'static str, bool)>,
    pub(crate) operations: Vec<Operation>,
}

/// What a view is built from.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) ready: bool,
    pub(crate) sites: Vec<Site>,
    /// Newest first.
    pub(crate) versions: Vec<(u64, Vec<(&'static str, &'static str)>)>,
}

impl Default for Fleet {
    /// Version 7 is held everywhere; s1 belongs to e1, s2 to e2, s3 to e3.
    fn default() -> Self {
        Self {
            ready: true,
            sites: vec![
                site("s1", ["e1", "e2", "e3"]),
                site("s2", ["e2", "e3", "e1"]),
                site("s3", ["e3", "e1", "e2"]),
            ],
            versions: vec![(7, MAP.to_vec())],
        }
    }
}

impl Fleet {
    /// Marks an instance as not live.
    pub(crate) fn without(mut self, instance: &str) -> Self {
        for site in &mut self.sites {
            for candidate in &mut site.candidates {
                candidate.1 &= candidate.0 != instance;
            }
        }
        self
    }

    /// Publishes a newer version with the usual map and lets the sites' servers hold `held`.
    pub(crate) fn with_version(mut self, version: u64, held: [&[u64]; 3]) -> Self {
        self.versions.insert(0, (version, MAP.to_vec()));
        for (site, held) in self.sites.iter_mut().zip(held) {
            site.held = vec![held.to_vec(); 2];
        }
        self
    }

    /// The view.
    pub(crate) fn view(&self) -> Arc<View> {
        let mut view = View { generation: 1, revision: 1, ready: self.ready, ..View::default() };
        for site in &self.sites {
            view.insert(service(site));
        }
        let versions = self.versions.iter().map(|(version, map)| index(*version, map));
        view.indexes.insert(INDEX.into(), versions.collect());
        Arc::new(view)
    }
}

pub(crate) fn site(name: &'static str, candidates: [&'static str; 3]) -> Site {
    Site {
        name,
        held: vec![vec![7]; 2],
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

fn service(site: &Site) -> Service {
    let candidates = site.candidates.iter().map(|&(name, live)| Candidate {
        peer: peer(name),
        live,
        local: name == SELF,
    });
    let servers = site.held.iter().zip(&site.leaving).enumerate();
    Service {
        sharers: 1,
        scarce: false,
        spare: true,
        name: site.name.into(),
        entry: Arc::new(Entry {
            service: site.name.to_owned(),
            operations: site.operations.clone(),
            ..Entry::default()
        }),
        servers: servers
            .map(|(number, (held, &leaving))| server(site.name, number, held, leaving))
            .collect(),
        candidates: candidates.collect(),
    }
}

fn server(service: &str, number: usize, held: &[u64], leaving: bool) -> Server {
    let holdings = held.iter().map(|&version| Holding { index: INDEX.to_owned(), version });
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
