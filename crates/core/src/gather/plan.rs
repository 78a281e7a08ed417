//! Plans a request: its snapshot, its portions and the terms it runs under.

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

/// What holds for a whole query, the strictest of its services' entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Terms {
    /// At most one execution.
    pub(crate) unrepeatable: bool,
    /// Use the whole deadline to be complete.
    pub(crate) complete: bool,
    /// The time the caller waits.
    pub(crate) deadline: Duration,
}

impl Terms {
    /// These terms with what the request says: it can only make them stricter, but chooses its
    /// deadline.
    fn asked_by(mut self, request: &call::Request) -> Self {
        self.unrepeatable |= request.unrepeatable;
        if request.deadline_ms != 0 {
            self.deadline = Duration::from_millis(request.deadline_ms.into());
        }
        self
    }
}

/// The asked shards of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Share {
    /// Name of the service.
    pub(crate) service: Arc<str>,
    /// Positions in the pinned version's shard map, ascending.
    pub(crate) shards: Vec<u32>,
}

/// How a request is to be run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// The pinned version.
    pub(crate) index: Arc<Index>,
    /// One share per service, in order of the services' names.
    pub(crate) shares: Arc<[Arc<Share>]>,
    /// Asked shards that cannot be had.
    pub(crate) missing: Vec<call::Missing>,
    /// The terms.
    pub(crate) terms: Terms,
    /// The route of a forwarded message.
    pub(crate) route: Option<Arc<Route>>,
}

/// Plans requests and keeps the plans of whole indexes while the view stays.
#[derive(Debug, Default)]
pub(crate) struct Planner {
    /// Plans by index and operation, for requests that name no shards and no deadline and leave
    /// the operation as repeatable as it is.
    plans: Map<(String, String), Plan>,
}

impl Planner {
    /// The first plan of a checked request.
    pub(crate) fn first(&mut self, view: &View, request: &call::Request) -> Result<Plan, Refusal> {
        if !request.shards.is_empty() {
            return plan(view, request, &[]);
        }
        let key = (request.index.clone(), request.operation.clone());
        let mut planned = match self.plans.get(&key) {
            Some(known) => known.clone(),
            None => {
                let plain = call::Request {
                    index: request.index.clone(),
                    operation: request.operation.clone(),
                    ..call::Request::default()
                };
                let fresh = plan(view, &plain, &[])?;
                self.plans.insert(key, fresh.clone());
                fresh
            }
        };
        planned.terms = planned.terms.asked_by(request);
        Ok(planned)
    }

    /// Forgets all plans; a new view is in force.
    pub(crate) fn forget(&mut self) {
        self.plans.clear();
    }
}

/// Plans a checked request on the newest usable version that is not in `retired`.
pub(crate) fn plan(view: &View, request: &call::Request, retired: &[u64]) -> Result<Plan, Refusal> {
    let versions = view.indexes.get(request.index.as_str());
    let versions = versions.map_or(&[][..], Vec::as_slice);
    if versions.is_empty() {
        let detail = format!("index: {}; it is not published", request.index);
        return Err(Refusal::new(Reason::UnknownIndex, detail));
    }
    known_shards(versions, &request.shards)?;
    let Some(pin) = snapshot::pin(view, versions, &request.shards, retired) else {
        let detail = format!("index: {}; all its versions are retired", request.index);
        return Err(Refusal::new(Reason::VersionRetired, detail));
    };
    let shares = shares(view, &pin);
    let terms = terms(view, request, &shares)?;
    Ok(Plan { index: pin.index, shares, missing: pin.missing, terms, route: None })
}

/// Refuses a shard that no published version has; one that only some have is reported as missing.
fn known_shards(versions: &[Arc<Index>], asked: &[String]) -> Result<(), Refusal> {
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

fn shares(view: &View, pin: &Pin) -> Arc<[Arc<Share>]> {
    let mut places: Map<&str, usize> = Map::default();
    let mut shares: Vec<Share> = Vec::new();
    for &position in &pin.held {
        let name = pin.index.shards[position as usize].service.as_str();
        let place = *places.entry(name).or_insert_with(|| {
            let service =
                view.service(name).map_or_else(|| name.into(), |service| Arc::clone(&service.name));
            shares.push(Share { service, shards: Vec::new() });
            shares.len() - 1
        });
        shares[place].shards.push(position);
    }
    shares.sort_by(|a, b| a.service.cmp(&b.service));
    shares.into_iter().map(Arc::new).collect()
}

fn terms(view: &View, request: &call::Request, shares: &[Arc<Share>]) -> Result<Terms, Refusal> {
    let mut terms = Terms { unrepeatable: false, complete: false, deadline: Duration::ZERO };
    let mut default_ms = ladder_schema::bounds::DEADLINE_MS;
    for service in shares.iter().filter_map(|share| view.service(&share.service)) {
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
    Ok(terms.asked_by(request))
}
