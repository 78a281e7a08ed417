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
    pub(crate) shares: Vec<Share>,
    /// Asked shards that cannot be had.
    pub(crate) missing: Vec<call::Missing>,
    /// The terms.
    pub(crate) terms: Terms,
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
    Ok(Plan {
        index: pin.index,
        shares,
        missing: pin.missing,
        terms,
    })
}

/// Refuses a shard that no published version has; one that only some have is reported as missing.
fn known_shards(versions: &[Arc<Index>], asked: &[String]) -> Result<(), Refusal> {
    if asked.is_empty() {
        return Ok(());
    }
    let known: crate::collections::Set<&str> = versions
        .iter()
        .flat_map(|index| &index.shards)
        .map(|shard| shard.name.as_str())
        .collect();
    match asked.iter().find(|name| !known.contains(name.as_str())) {
        None => Ok(()),
        Some(name) => {
            let detail = format!("shards: {name}; no published version has it");
            Err(Refusal::new(Reason::UnknownShard, detail))
        }
    }
}

fn shares(view: &View, pin: &Pin) -> Vec<Share> {
    let mut places: Map<&str, usize> = Map::default();
    let mut shares: Vec<Share> = Vec::new();
    for &position in &pin.held {
        let name = pin.index.shards[position as usize].service.as_str();
        let place = *places.entry(name).or_insert_with(|| {
            let service = view
                .service(name)
                .map_or_else(|| name.into(), |service| Arc::clone(&service.name));
            shares.push(Share {
                service,
                shards: Vec::new(),
            });
            shares.len() - 1
        });
        shares[place].shards.push(position);
    }
    shares.sort_by(|a, b| a.service.cmp(&b.service));
    shares
}

fn terms(view: &View, request: &call::Request, shares: &[Share]) -> Result<Terms, Refusal> {
    let mut terms = Terms {
        unrepeatable: request.unrepeatable,
        complete: false,
        deadline: Duration::ZERO,
    };
    let mut default_ms = ladder_schema::bounds::DEADLINE_MS;
    for service in shares
        .iter()
        .filter_map(|share| view.service(&share.service))
    {
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
    let deadline_ms = match request.deadline_ms {
        0 => default_ms,
        asked => asked,
    };
    terms.deadline = Duration::from_millis(deadline_ms.into());
    Ok(terms)
}
