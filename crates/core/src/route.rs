//! Routes of one published version, indexed for lookup.

use std::sync::Arc;

use ladder_schema::publication::{self, Bounds, Index, Routing, Shard};

use crate::collections::Map;
use crate::control::hash;

/// A set of services that a message is sent to together.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// The destination's services as an index of the routes' version: every service contains one
    /// shard with the service's name.
    ///
    /// A forwarded message is thus handled like any other query, and the checks that keep versions
    /// from being mixed apply to it too.
    pub index: Arc<Index>,
    /// Weight of this destination among the route's destinations.
    pub weight: f64,
}

/// A route with its destinations.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route as published.
    pub spec: publication::Route,
    /// Destinations of the route's messages.
    ///
    /// Invariant: not empty; more than one only if `spec.branches` has more than one.
    pub destinations: Vec<Destination>,
    /// Hash of the route's name that identifies the kind of work of its messages: the same at all
    /// instances and in all versions that use the same name.
    pub kind: u64,
}

impl Route {
    fn new(version: u64, spec: &publication::Route) -> Self {
        let to_destination = |services: &[&str], weight| {
            let shard_of_service =
                |name: &&str| Shard { name: (*name).to_owned(), service: (*name).to_owned() };
            let shards = services.iter().map(shard_of_service).collect();
            let index = Index { name: spec.name.clone(), version, shards };
            Destination { index: Arc::new(index), weight }
        };
        let branches = spec.branches.iter();
        let mut destinations: Vec<_> = branches
            .map(|branch| to_destination(&[branch.service.as_str()], branch.weight))
            .collect();
        if !spec.parts.is_empty() {
            let parts: Vec<&str> = spec.parts.iter().map(String::as_str).collect();
            destinations.push(to_destination(&parts, 1.0));
        }
        let kind = hash::of(&[spec.name.as_bytes()]);
        Self { spec: spec.clone(), destinations, kind }
    }

    /// Whether the route's messages go to many services whose parts are merged.
    pub fn is_sweep(&self) -> bool {
        !self.spec.parts.is_empty()
    }

    /// Minimum number of parts, out of `parts`, that an answer must be merged from; at least one.
    pub fn floor(&self, parts: usize) -> usize {
        let permille = self.spec.floor_permille as usize;
        (parts * permille).div_ceil(1000).max(1)
    }
}

/// Routes of one published version, by host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Version of the routes.
    pub version: u64,
    /// Limits on callers' messages.
    pub bounds: Bounds,
    /// Routes by lower-case host name, those with the longest prefix first.
    hosts: Map<String, Vec<Arc<Route>>>,
}

impl Table {
    /// Builds the lookup table of a published version.
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

    /// Finds the route of a message: among the routes of its host, the one with the longest prefix
    /// that the path starts with. A port in `host` and a query string in `target` are ignored.
    pub fn find(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let path = target.split_once('?').map_or(target, |(path, _)| path);
        let routes = self.hosts.get(&host)?;
        routes.iter().find(|route| path.starts_with(&route.spec.prefix))
    }
}
