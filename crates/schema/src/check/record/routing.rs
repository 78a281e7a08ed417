//! Checks of a routing record: its routes, catalogue entries and connection bounds.

use std::collections::BTreeSet;

use super::{
    CheckResult, Error, check_entry_terms, check_present, check_range, check_unique, check_urgency,
    invalid_text_error, missing_field_error, truncated,
};
use crate::catalogue::Entry;
use crate::publication::{Bounds, Branch, Route, Routing};

/// Checks the fields of one routing record.
///
/// Services that routes name must have a catalogue entry in the same record. Only the size of the
/// whole record limits the number of routes, services and parts and the length of their names.
pub(super) fn check_routing(routing: &Routing) -> CheckResult {
    if !routing.defect.is_empty() {
        let defect = truncated(&routing.defect);
        return Err(Error::Unreadable { field: "routing".to_owned(), defect });
    }
    check_range("routing.version", routing.version, 1, u64::MAX)?;
    routing.entries.iter().try_for_each(check_routed_entry)?;
    let services = routing.entries.iter().map(|entry| entry.service.as_str());
    check_unique("routing.entries", services.clone())?;
    let services: BTreeSet<&str> = services.collect();
    for (position, route) in routing.routes.iter().enumerate() {
        check_route(&format!("routing.routes[{position}]"), route, &services)?;
    }
    let host_prefixes =
        routing.routes.iter().map(|route| format!("{}{}", route.host, route.prefix));
    let host_prefixes: Vec<String> = host_prefixes.collect();
    check_unique("routing.routes", host_prefixes.iter().map(String::as_str))?;
    check_bounds(&routing.bounds.ok_or_else(|| missing_field_error("routing.bounds"))?)
}

fn check_routed_entry(entry: &Entry) -> CheckResult {
    check_present("routing.entries.service", &entry.service)?;
    check_entry_terms(entry)
}

fn check_route(path: &str, route: &Route, services: &BTreeSet<&str>) -> CheckResult {
    check_present(&format!("{path}.name"), &route.name)?;
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let allowed = "a path that begins and ends with a slash";
        return Err(invalid_text_error(&format!("{path}.prefix"), &route.prefix, allowed));
    }
    check_urgency(&format!("{path}.urgency"), route.urgency, false)?;
    let timeout_ms = u64::from(route.timeout_ms);
    check_range(&format!("{path}.timeout_ms"), timeout_ms, 1, u32::MAX.into())?;
    check_range(&format!("{path}.attempts"), route.attempts.into(), 1, u32::MAX.into())?;
    match (route.branches.is_empty(), route.parts.is_empty()) {
        (true, true) => Err(missing_field_error(&format!("{path}.branches"))),
        (false, false) => {
            let field = format!("{path}.parts");
            Err(invalid_text_error(
                &field,
                &route.parts[0],
                "given only where there are no branches",
            ))
        }
        (false, true) => check_branches(path, &route.branches, services),
        (true, false) => check_sweep(path, route, services),
    }
}

fn check_branches(path: &str, branches: &[Branch], services: &BTreeSet<&str>) -> CheckResult {
    for (position, branch) in branches.iter().enumerate() {
        let path = format!("{path}.branches[{position}]");
        check_service_has_entry(&format!("{path}.service"), &branch.service, services)?;
        if !branch.weight.is_finite() || branch.weight < 0.0 {
            let value = branch.weight.to_string();
            return Err(invalid_text_error(&format!("{path}.weight"), &value, "a number from 0"));
        }
    }
    if branches.iter().all(|branch| branch.weight == 0.0) {
        return Err(invalid_text_error(
            &format!("{path}.branches"),
            "0",
            "a weight above 0 for one at least",
        ));
    }
    Ok(())
}

fn check_sweep(path: &str, route: &Route, services: &BTreeSet<&str>) -> CheckResult {
    check_unique(&format!("{path}.parts"), route.parts.iter().map(String::as_str))?;
    for part in &route.parts {
        check_service_has_entry(&format!("{path}.parts"), part, services)?;
    }
    if route.unrepeatable {
        return Err(invalid_text_error(
            &format!("{path}.unrepeatable"),
            "true",
            "false for a sweep",
        ));
    }
    check_range(&format!("{path}.floor_permille"), route.floor_permille.into(), 0, 1000)
}

fn check_service_has_entry(field: &str, service: &str, services: &BTreeSet<&str>) -> CheckResult {
    if services.contains(service) {
        return Ok(());
    }
    Err(invalid_text_error(field, service, "a service that has an entry in the same version"))
}

fn check_bounds(bounds: &Bounds) -> CheckResult {
    check_range("routing.bounds.header_bytes", bounds.header_bytes.into(), 1, u32::MAX.into())?;
    check_range("routing.bounds.header_ms", bounds.header_ms.into(), 1, u32::MAX.into())?;
    check_range("routing.bounds.idle_ms", bounds.idle_ms.into(), 1, u32::MAX.into())
}
