//! Routes of one published version, prepared for looking them up.

use std::sync::Arc;

use ladder_schema::publication::{self, Bounds, Index, Routing, Shard};

use crate::collections::Map;
use crate::control::hash;

/// One set of services that a message goes to together.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// The parts as an index of the routes' version: every service holds one shard of its name.
    ///
    /// A forwarded message is thus a query like any other, and all that keeps versions from being
    /// mixed holds for it too.
    pub index: Arc<Index>,
    /// Its part of the messages among the route's destinations.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// As published.
    pub spec: publication::Route,
    /// Where its messages go.
    ///
    /// Invariant: not empty; more than one only if `spec.branches` has more than one.
    pub destinations: Vec<Destination>,
    /// Stands for the kind of work that its messages are: the same at all instances and in all versions
    /// that name the route alike.
    pub kind: u64,
}

impl Route {
    fn new(version: u64, spec: &publication::Route) -> Self {
        let destination = |services: &[&str], weight| {
            let shard =
                |name: &&str| Shard { name: (*name).to_owned(), service: (*name).to_owned() };
            let shards = services.iter().map(shard).collect();
            let index = Index { name: spec.name.clone(), version, shards };
            Destination { index: Arc::new(index), weight }
        };
        let branches = spec.branches.iter();
        let mut destinations: Vec<_> =
            branches.map(|branch| destination(&[branch.service.as_str()], branch.weight)).collect();
        if !spec.parts.is_empty() {
            let parts: Vec<&str> = spec.parts.iter().map(String::as_str).collect();
            destinations.push(destination(&parts, 1.0));
        }
        let kind = hash::of(&[spec.name.as_bytes()]);
        Self { spec: spec.clone(), destinations, kind }
    }

    /// Whether its messages go to many services whose parts are merged.
    pub fn is_sweep(&self) -> bool {
        !self.spec.parts.is_empty()
    }

    /// How many of `parts` parts an answer must be merged from; at least one.
    pub fn floor(&self, parts: usize) -> usize {
        let permille = self.spec.floor_permille as usize;
        (parts * permille).div_ceil(1000).max(1)
    }
}

/// Routes of one published version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The version.
    pub version: u64,
    /// What a caller may send.
    pub bounds: Bounds,
    /// Routes by host, those with the longest prefix first.
    hosts: Map<String, Vec<Arc<Route>>>,
}

impl Table {
    /// Prepares a published version.
    pub fn new(routing: &Routing) -> Self {
        let mut hosts: Map<String, Vec<Arc<Route>>> = Map::default();
        for spec in &routing.routes {
            let route = Arc::new(Route::new(routing.version, spec));
            hosts.entry(spec.host.to_ascii_lowercase()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.spec.prefix.len()));
        }
        Self { version: routing.version, bounds: routing.bounds.unwrap_or_default(), hosts }
    }

    /// The route of a message: among those of its host the one with the longest prefix that begins
    /// the path. A port in `host` and a query in `target` are left aside.
    pub fn find(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let path = target.split_once('?').map_or(target, |(path, _)| path);
        let routes = self.hosts.get(&host)?;
        routes.iter().find(|route| path.starts_with(&route.spec.prefix))
    }
}
