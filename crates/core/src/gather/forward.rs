//! Plans messages that are forwarded: their route, their destination and the terms they run under.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::call;
use ladder_schema::outcome::Reason;

use super::check::Refusal;
use super::plan::{Plan, Share, Terms};
use crate::collections::Map;
use crate::route::{Destination, Route};
use crate::view::{Server, View};

/// Chooses destinations and plans messages for them.
#[derive(Debug, Default)]
pub(crate) struct Forwarder {
    splits: Map<String, Split>,
}

/// How far a route's destinations are from their weights.
#[derive(Clone, Debug)]
struct Split {
    weights: Vec<f64>,
    /// Messages that each is owed beyond those that it got.
    ///
    /// Invariant: as many as `weights`; they sum to zero, and each stays within one message.
    owed: Vec<f64>,
}

impl Split {
    fn new(weights: Vec<f64>) -> Self {
        Self { owed: vec![0.0; weights.len()], weights }
    }

    /// The destination that is owed most once each has earned its part of one more message.
    ///
    /// Drawing by lot would miss a weight by several in a hundred for seconds on end at a few
    /// messages a second; this never misses it by more than one message.
    fn next(&mut self) -> usize {
        let total: f64 = self.weights.iter().sum();
        let earned = self.owed.iter_mut().zip(&self.weights);
        earned.for_each(|(owed, weight)| *owed += weight / total);
        let mut most = 0;
        for at in 1..self.owed.len() {
            if self.owed[at] > self.owed[most] {
                most = at;
            }
        }
        self.owed[most] -= 1.0;
        most
    }
}

impl Forwarder {
    /// Plans a message, or says why it is refused.
    pub(crate) fn plan(
        &mut self,
        view: &View,
        request: &call::Request,
        message: &call::Message,
    ) -> Result<Plan, Refusal> {
        let Some(table) = &view.routing else {
            return Err(Refusal::new(Reason::NotReady, "no routes are known yet"));
        };
        let Some(route) = table.find(&message.host, &message.target) else {
            let (host, target, version) = (&message.host, &message.target, table.version);
            let detail = format!("{host}{target}; no route of version {version} leads there");
            return Err(Refusal::new(Reason::UnknownRoute, detail));
        };
        if let Some(refusal) = out_of_reach(view, route) {
            return Err(refusal);
        }
        let destination = self.choose(route);
        let mut shares: Vec<Arc<Share>> = Vec::with_capacity(destination.index.shards.len());
        for (position, shard) in (0u32..).zip(&destination.index.shards) {
            let known = view.service(&shard.service);
            let service = known
                .map_or_else(|| shard.service.as_str().into(), |known| Arc::clone(&known.name));
            shares.push(Arc::new(Share { service, shards: vec![position] }));
        }
        shares.sort_by(|a, b| a.service.cmp(&b.service));
        Ok(Plan {
            index: Arc::clone(&destination.index),
            shares: shares.into(),
            missing: Vec::new(),
            terms: terms(route, request),
            route: Some(Arc::clone(route)),
        })
    }

    fn choose<'a>(&mut self, route: &'a Route) -> &'a Destination {
        let [only] = &route.destinations[..] else {
            let weights = route.destinations.iter().map(|destination| destination.weight);
            let weights: Vec<f64> = weights.collect();
            let split = self.splits.entry(route.spec.name.clone());
            let split = split.or_insert_with(|| Split::new(weights.clone()));
            if split.weights != weights {
                *split = Split::new(weights);
            }
            return &route.destinations[split.next()];
        };
        only
    }
}

/// Why too few parts of any destination of a route can be had, if so: their services have servers, but none
/// that may receive work.
///
/// The caller hears at once that nothing ran, and the other parts' servers do no work in vain.
fn out_of_reach(view: &View, route: &Route) -> Option<Refusal> {
    let mut refusal = None;
    for destination in &route.destinations {
        let shards = &destination.index.shards;
        let homes = &route.spec.homes;
        let excluded = shards.iter().filter_map(|shard| exclusion(view, homes, &shard.service));
        let excluded: Vec<Reason> = excluded.collect();
        let floor = route.floor(shards.len());
        if shards.len() - excluded.len() >= floor {
            return None;
        }
        let known = [Reason::NoHome, Reason::Evacuated];
        let reason = known.into_iter().find(|reason| excluded.contains(reason));
        let reason = reason.unwrap_or(Reason::NoServer);
        let detail = format!(
            "route {}: {} of {} services have no server that may receive work, and {floor} are needed",
            route.spec.name,
            excluded.len(),
            shards.len()
        );
        refusal = Some(Refusal::new(reason, detail));
    }
    refusal
}

/// Why none of a service's servers may receive work of a route with these homes; `None` if one may, or if
/// none is known.
fn exclusion(view: &View, homes: &[String], service: &str) -> Option<Reason> {
    let servers = &view.service(service)?.servers;
    let mut home = servers.iter().filter(|server| view.is_home(homes, &server.zone));
    if servers.is_empty() || home.clone().any(Server::takes_work) {
        return None;
    }
    let evacuated = home.clone().any(|server| server.evacuated);
    Some(match (home.next(), evacuated) {
        (None, _) => Reason::NoHome,
        (Some(_), true) => Reason::Evacuated,
        (Some(_), false) => Reason::NoServer,
    })
}

fn terms(route: &Route, request: &call::Request) -> Terms {
    let timeout = Duration::from_millis(route.spec.timeout_ms.into());
    let asked = match request.deadline_ms {
        0 => timeout,
        deadline => Duration::from_millis(deadline.into()),
    };
    Terms {
        unrepeatable: route.spec.unrepeatable,
        complete: !route.is_sweep(),
        deadline: timeout.min(asked),
    }
}
