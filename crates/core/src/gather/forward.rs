//! Plans forwarded messages: their route, their destination and the terms under which they run.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::bounds;
use ladder_schema::call;
use ladder_schema::outcome::Reason;

use super::check::Refusal;
use super::plan::{Plan, ServiceShards, Terms};
use crate::collections::Map;
use crate::route::{Destination, Route};
use crate::view::{Server, View};

/// Selects destinations of forwarded messages and plans the messages.
#[derive(Debug, Default)]
pub(crate) struct RoutePlanner {
    splits: Map<String, WeightedSplit>,
}

/// Distributes the messages of a route over its destinations in proportion to their weights.
#[derive(Clone, Debug)]
struct WeightedSplit {
    weights: Vec<f64>,
    /// Number of messages that each destination should have received in addition to those that it
    /// did receive.
    ///
    /// Invariant: one value for each of `weights`; the values sum to zero, and each stays within
    /// one message.
    credits: Vec<f64>,
}

impl WeightedSplit {
    fn new(weights: Vec<f64>) -> Self {
        Self { credits: vec![0.0; weights.len()], weights }
    }

    /// Returns the position of the destination with the greatest credit, after each has been
    /// credited with its fraction of one more message.
    ///
    /// At a few messages a second, a random selection would deviate from a weight by several
    /// percent for seconds at a time; this method never deviates by more than one message.
    fn next(&mut self) -> usize {
        let total: f64 = self.weights.iter().sum();
        let weighted = self.credits.iter_mut().zip(&self.weights);
        weighted.for_each(|(credit, weight)| *credit += weight / total);
        let mut largest = 0;
        for candidate in 1..self.credits.len() {
            if self.credits[candidate] > self.credits[largest] {
                largest = candidate;
            }
        }
        self.credits[largest] -= 1.0;
        largest
    }
}

impl RoutePlanner {
    /// Plans a forwarded message, or returns why it is refused.
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
        if let Some(refusal) = refuse_unreachable_floor(view, route) {
            return Err(refusal);
        }
        let destination = self.choose_destination(route);
        let mut service_shards: Vec<Arc<ServiceShards>> =
            Vec::with_capacity(destination.index.shards.len());
        for (position, shard) in (0u32..).zip(&destination.index.shards) {
            let known = view.service(&shard.service);
            let service = known
                .map_or_else(|| shard.service.as_str().into(), |known| Arc::clone(&known.name));
            service_shards.push(Arc::new(ServiceShards { service, shards: vec![position] }));
        }
        service_shards.sort_by(|a, b| a.service.cmp(&b.service));
        Ok(Plan {
            index: Arc::clone(&destination.index),
            service_shards: service_shards.into(),
            missing: Vec::new(),
            terms: forward_terms(route, request),
            route: Some(Arc::clone(route)),
        })
    }

    fn choose_destination<'a>(&mut self, route: &'a Route) -> &'a Destination {
        let [destination] = &route.destinations[..] else {
            let weights = route.destinations.iter().map(|destination| destination.weight);
            let weights: Vec<f64> = weights.collect();
            let split = self.splits.entry(route.spec.name.clone());
            let split = split.or_insert_with(|| WeightedSplit::new(weights.clone()));
            if split.weights != weights {
                *split = WeightedSplit::new(weights);
            }
            return &route.destinations[split.next()];
        };
        destination
    }
}

/// Refuses a message if every destination of its route has too few parts within reach: too many
/// parts belong to services that have servers, but none that may receive work.
///
/// The caller learns immediately that nothing ran, and the servers of the other parts do no
/// useless work.
fn refuse_unreachable_floor(view: &View, route: &Route) -> Option<Refusal> {
    let mut refusal = None;
    for destination in &route.destinations {
        let shards = &destination.index.shards;
        let homes = &route.spec.homes;
        let excluded =
            shards.iter().filter_map(|shard| exclusion_reason(view, homes, &shard.service));
        let excluded: Vec<Reason> = excluded.collect();
        let floor = route.floor(shards.len());
        if shards.len() - excluded.len() >= floor {
            return None;
        }
        let exclusion_reasons = [Reason::NoHome, Reason::Evacuated];
        let reason = exclusion_reasons.into_iter().find(|reason| excluded.contains(reason));
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

/// Returns why none of a service's servers may receive work of a route that is restricted to the
/// regions `homes`; `None` if a server may receive it, or if no server is known.
pub(super) fn exclusion_reason(view: &View, homes: &[String], service: &str) -> Option<Reason> {
    let servers = &view.service(service)?.servers;
    let mut home_servers = servers.iter().filter(|server| view.is_home(homes, &server.zone));
    if servers.is_empty() || home_servers.clone().any(Server::takes_work) {
        return None;
    }
    let evacuated = home_servers.clone().any(|server| server.evacuated);
    Some(match (home_servers.next(), evacuated) {
        (None, _) => Reason::NoHome,
        (Some(_), true) => Reason::Evacuated,
        (Some(_), false) => Reason::NoServer,
    })
}

fn forward_terms(route: &Route, request: &call::Request) -> Terms {
    let timeout = Duration::from_millis(route.spec.timeout_ms.min(bounds::FORWARD_MS).into());
    let requested = match request.deadline_ms {
        0 => timeout,
        deadline => Duration::from_millis(deadline.into()),
    };
    Terms {
        on_trial: false,
        unrepeatable: route.spec.unrepeatable,
        complete: !route.is_sweep(),
        deadline: timeout.min(requested),
    }
}
