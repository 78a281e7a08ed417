//! Plans a request: its index version, its portions and the terms under which it runs.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::call;
use ladder_schema::catalogue::Preference;
use ladder_schema::outcome::Reason;
use ladder_schema::publication::Index;

use super::check::Refusal;
use super::snapshot::{self, Pin};
use crate::collections::Map;
use crate::route::Route;
use crate::view::View;

/// Terms of a whole query: the strictest of the catalogue entries of its services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Terms {
    /// Whether the query is non-idempotent and must be executed at most once.
    pub(crate) unrepeatable: bool,
    /// Whether the query is the trial of a request that may crash servers.
    pub(crate) on_trial: bool,
    /// Whether the query may use its whole deadline in order to be complete.
    pub(crate) complete: bool,
    /// Time from the arrival of the request for which the caller waits.
    pub(crate) deadline: Duration,
}

impl Terms {
    /// Whether no second server may get the query if a first one may have run it.
    pub(crate) const fn runs_once(self) -> bool {
        self.unrepeatable || self.on_trial
    }

    /// Combines the terms with those of the request. The request can only make them stricter,
    /// except that it sets its own deadline.
    fn tightened_by(mut self, request: &call::Request) -> Self {
        self.unrepeatable |= request.unrepeatable;
        if request.deadline_ms != 0 {
            self.deadline = Duration::from_millis(request.deadline_ms.into());
        }
        self
    }
}

/// The requested shards of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServiceShards {
    /// Name of the service.
    pub(crate) service: Arc<str>,
    /// Positions of the shards in the pinned version's shard map, ascending.
    pub(crate) shards: Vec<u32>,
}

/// The plan of a request: which shards to request from which services, and under which terms.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// The pinned index version, from which all shards are answered.
    pub(crate) index: Arc<Index>,
    /// Requested shards of each service, sorted by the services' names.
    pub(crate) service_shards: Arc<[Arc<ServiceShards>]>,
    /// Requested shards that are unavailable in the pinned version.
    pub(crate) missing: Vec<call::Missing>,
    /// Terms under which the query runs.
    pub(crate) terms: Terms,
    /// Route of a forwarded message; `None` for other requests.
    pub(crate) route: Option<Arc<Route>>,
}

impl Plan {
    /// Whether the request goes to one service only and is not part of a sweep.
    pub(crate) fn is_for_single_service(&self) -> bool {
        let is_sweep = self.route.as_ref().is_some_and(|route| route.is_sweep());
        self.service_shards.len() == 1 && !is_sweep
    }
}

/// Plans requests, and caches the plans of requests for a whole index until the view changes.
#[derive(Debug, Default)]
pub(crate) struct Planner {
    /// Cached plans by index and operation, for requests that name no shards, set no deadline and
    /// do not mark the operation as non-idempotent.
    plans: Map<(String, String), Plan>,
}

impl Planner {
    /// Plans a checked request for the first time, before it has abandoned any version.
    pub(crate) fn first_plan(
        &mut self,
        view: &View,
        request: &call::Request,
    ) -> Result<Plan, Refusal> {
        if !request.shards.is_empty() {
            return plan_request(view, request, &[]);
        }
        let key = (request.index.clone(), request.operation.clone());
        let mut plan = match self.plans.get(&key) {
            Some(known) => known.clone(),
            None => {
                let default_request = call::Request {
                    index: request.index.clone(),
                    operation: request.operation.clone(),
                    ..call::Request::default()
                };
                let new_plan = plan_request(view, &default_request, &[])?;
                self.plans.insert(key, new_plan.clone());
                new_plan
            }
        };
        plan.terms = plan.terms.tightened_by(request);
        Ok(plan)
    }

    /// Discards all cached plans when a new view takes effect.
    pub(crate) fn clear(&mut self) {
        self.plans.clear();
    }
}

/// Plans a checked request on the newest usable index version that is not in `retired`.
pub(crate) fn plan_request(
    view: &View,
    request: &call::Request,
    retired: &[u64],
) -> Result<Plan, Refusal> {
    let versions = view.indexes.get(request.index.as_str());
    let versions = versions.map_or(&[][..], Vec::as_slice);
    if versions.is_empty() {
        let detail = format!("index: {}; it is not published", request.index);
        return Err(Refusal::new(Reason::UnknownIndex, detail));
    }
    check_known_shards(versions, &request.shards)?;
    let Some(pin) = snapshot::pin_version(view, versions, &request.shards, retired) else {
        let detail = format!("index: {}; all its versions are retired", request.index);
        return Err(Refusal::new(Reason::VersionRetired, detail));
    };
    let service_shards = group_by_service(view, &pin);
    let terms = query_terms(view, request, &service_shards)?;
    Ok(Plan { index: pin.index, service_shards, missing: pin.missing, terms, route: None })
}

/// Refuses a request for a shard that no published version has. A shard that only some versions
/// have is reported as missing instead.
fn check_known_shards(versions: &[Arc<Index>], asked: &[String]) -> Result<(), Refusal> {
    if asked.is_empty() {
        return Ok(());
    }
    let known: crate::collections::Set<&str> =
        versions.iter().flat_map(|index| &index.shards).map(|shard| shard.name.as_str()).collect();
    match asked.iter().find(|name| !known.contains(name.as_str())) {
        None => Ok(()),
        Some(name) => {
            let detail = format!("shards: {name}; no published version has it");
            Err(Refusal::new(Reason::UnknownShard, detail))
        }
    }
}

fn group_by_service(view: &View, pin: &Pin) -> Arc<[Arc<ServiceShards>]> {
    let mut index_by_name: Map<&str, usize> = Map::default();
    let mut service_shards: Vec<ServiceShards> = Vec::new();
    for &position in &pin.held {
        let name = pin.index.shards[position as usize].service.as_str();
        let index_in_list = *index_by_name.entry(name).or_insert_with(|| {
            let service =
                view.service(name).map_or_else(|| name.into(), |service| Arc::clone(&service.name));
            service_shards.push(ServiceShards { service, shards: Vec::new() });
            service_shards.len() - 1
        });
        service_shards[index_in_list].shards.push(position);
    }
    service_shards.sort_by(|a, b| a.service.cmp(&b.service));
    service_shards.into_iter().map(Arc::new).collect()
}

fn query_terms(
    view: &View,
    request: &call::Request,
    service_shards: &[Arc<ServiceShards>],
) -> Result<Terms, Refusal> {
    let mut terms =
        Terms { unrepeatable: false, on_trial: false, complete: false, deadline: Duration::ZERO };
    let mut default_ms = ladder_schema::bounds::DEADLINE_MS;
    for service in service_shards.iter().filter_map(|entry| view.service(&entry.service)) {
        let Some(operation) = service.operation(&request.operation) else {
            let detail = format!(
                "operation: {}; the entry of service {} does not list it",
                request.operation, service.name
            );
            return Err(Refusal::new(Reason::UnknownOperation, detail));
        };
        terms.unrepeatable |= operation.unrepeatable;
        terms.complete |= operation.preference() == Preference::Complete;
        default_ms = default_ms.min(operation.deadline_ms.max(1));
    }
    terms.deadline = Duration::from_millis(default_ms.into());
    Ok(terms.tightened_by(request))
}
