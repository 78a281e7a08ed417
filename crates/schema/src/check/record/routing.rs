//! Checks of routes and what goes with them.

use std::collections::BTreeSet;

use super::{Outcome, count, entry, missing, name, range, text, unique, urgency};
use crate::bounds;
use crate::publication::{Bounds, Branch, Route, Routing};

/// Routes of one version.
const ROUTES: usize = 10_000;
/// Servers that a message may be sent to.
const ATTEMPTS: u64 = 100;

/// Checks one version of the routes by itself.
pub(super) fn routing(routing: &Routing) -> Outcome {
    range("routing.version", routing.version, 1, u64::MAX)?;
    range("routing.routes", routing.routes.len() as u64, 0, ROUTES as u64)?;
    routing.entries.iter().try_for_each(entry)?;
    let services = routing.entries.iter().map(|entry| entry.service.as_str());
    unique("routing.entries", services.clone())?;
    let services: BTreeSet<&str> = services.collect();
    for (at, item) in routing.routes.iter().enumerate() {
        route(&format!("routing.routes[{at}]"), item, &services)?;
    }
    let places = routing.routes.iter().map(|route| format!("{}{}", route.host, route.prefix));
    let places: Vec<String> = places.collect();
    unique("routing.routes", places.iter().map(String::as_str))?;
    limits(&routing.bounds.ok_or_else(|| missing("routing.bounds"))?)
}

fn route(path: &str, route: &Route, services: &BTreeSet<&str>) -> Outcome {
    name(&format!("{path}.name"), &route.name)?;
    name(&format!("{path}.host"), &route.host)?;
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let allowed = "a path that begins and ends with a slash";
        return Err(text(&format!("{path}.prefix"), &route.prefix, allowed));
    }
    urgency(&format!("{path}.urgency"), route.urgency, false)?;
    let timeout = u64::from(route.timeout_ms);
    range(&format!("{path}.timeout_ms"), timeout, 1, bounds::DEADLINE_MS.into())?;
    range(&format!("{path}.attempts"), route.attempts.into(), 1, ATTEMPTS)?;
    match (route.branches.is_empty(), route.parts.is_empty()) {
        (true, true) => Err(missing(&format!("{path}.branches"))),
        (false, false) => {
            let field = format!("{path}.parts");
            Err(text(&field, &route.parts[0], "given only where there are no branches"))
        }
        (false, true) => branches(path, &route.branches, services),
        (true, false) => sweep(path, route, services),
    }
}

fn branches(path: &str, branches: &[Branch], services: &BTreeSet<&str>) -> Outcome {
    for (at, branch) in branches.iter().enumerate() {
        let path = format!("{path}.branches[{at}]");
        known(&format!("{path}.service"), &branch.service, services)?;
        if !branch.weight.is_finite() || branch.weight < 0.0 {
            let value = branch.weight.to_string();
            return Err(text(&format!("{path}.weight"), &value, "a number from 0"));
        }
    }
    if branches.iter().all(|branch| branch.weight == 0.0) {
        return Err(text(&format!("{path}.branches"), "0", "a weight above 0 for one at least"));
    }
    Ok(())
}

fn sweep(path: &str, route: &Route, services: &BTreeSet<&str>) -> Outcome {
    count(&format!("{path}.parts"), route.parts.len(), bounds::SHARDS)?;
    unique(&format!("{path}.parts"), route.parts.iter().map(String::as_str))?;
    for part in &route.parts {
        known(&format!("{path}.parts"), part, services)?;
    }
    if route.unrepeatable {
        return Err(text(&format!("{path}.unrepeatable"), "true", "false for a sweep"));
    }
    range(&format!("{path}.top"), route.top.into(), 1, u32::MAX.into())?;
    range(&format!("{path}.floor_permille"), route.floor_permille.into(), 0, 1000)
}

fn known(field: &str, service: &str, services: &BTreeSet<&str>) -> Outcome {
    if services.contains(service) {
        return Ok(());
    }
    Err(text(field, service, "a service that has an entry in the same version"))
}

fn limits(bounds: &Bounds) -> Outcome {
    range("routing.bounds.header_bytes", bounds.header_bytes.into(), 1, u32::MAX.into())?;
    range("routing.bounds.header_ms", bounds.header_ms.into(), 1, u32::MAX.into())?;
    range("routing.bounds.idle_ms", bounds.idle_ms.into(), 1, u32::MAX.into())
}
