//! Formats the answers of instances as human-readable text.

use ladder_core::control::quarantine::Incarnation;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::status::{
    Aggregator, Evacuation, Explanation, Instance, Member, Quarantine, Refused, Service, Step,
    Suspect,
};
use ladder_schema::wire;

use crate::log::list;

/// Formats the status of one instance.
pub fn status(address: &str, status: &Instance) -> String {
    let mut lines = vec![
        format!(
            "{} ({address}, {}): revision {}{}, {}{}{}",
            status.name,
            status.zone,
            status.revision,
            if status.era == 0 { String::new() } else { format!(" of era {}", status.era) },
            if status.ready { "ready" } else { "not ready" },
            if status.draining { ", draining" } else { "" },
            if status.reader { ", reads the platform" } else { "" },
        ),
        format!("  open: {} queries, {} portions", status.open_queries, status.open_portions),
    ];
    if status.reservations > 0 {
        lines.push(format!("  reservations held: {}", status.reservations));
    }
    lines.extend(status.evacuations.iter().map(evacuation));
    lines.extend(status.members.iter().map(member));
    lines.extend(status.refused.iter().map(refused));
    lines.join("\n")
}

/// Formats one evacuated zone as a line.
fn evacuation(evacuation: &Evacuation) -> String {
    format!(
        "  zone {} is evacuated since revision {}: {} servers get no new requests",
        evacuation.zone, evacuation.revision, evacuation.servers
    )
}

/// Formats one member of the fleet as a line.
fn member(member: &Member) -> String {
    format!(
        "  member {} ({}, {}, incarnation {}): {} ({})",
        member.name,
        member.address,
        member.zone,
        member.incarnation,
        member.liveness().as_str_name(),
        member.why
    )
}

/// Formats one refused record as a line.
fn refused(refused: &Refused) -> String {
    let version = match refused.version {
        0 => String::new(),
        version => format!(" version {version}"),
    };
    let since = match refused.since_ms {
        0 => String::new(),
        since_ms => format!(", for {} s", since_ms / 1000),
    };
    format!(
        "  refused {} {}{version} at revision {} ({}{since}): {}",
        refused.kind().as_str_name(),
        refused.name,
        refused.revision,
        refused.reason,
        refused.detail
    )
}

/// Formats the owners of services in the view of one instance; only of the service `only` if given.
pub fn owners(address: &str, only: Option<&str>, status: &Instance) -> String {
    let is_selected = |service: &&Service| only.is_none_or(|only| only == service.name);
    let mut lines = vec![format!("{} ({address}):", status.name)];
    lines.extend(status.services.iter().filter(is_selected).map(service));
    let contains_selected = |aggregator: &&Aggregator| {
        only.is_none_or(|only| aggregator.services.iter().any(|service| service == only))
    };
    lines.extend(status.aggregators.iter().filter(contains_selected).map(aggregator));
    lines.join("\n")
}

/// Formats the aggregator of one group of parts as a line.
fn aggregator(aggregator: &Aggregator) -> String {
    let zone = if aggregator.zone.is_empty() { "all zones" } else { &aggregator.zone };
    format!(
        "  group of {} from {zone}: {}{}, services {}",
        aggregator.index,
        aggregator.instance,
        if aggregator.in_use { "" } else { " (not in use)" },
        aggregator.services.join(" ")
    )
}

/// Formats the quarantined requests of one instance.
pub fn quarantine(address: &str, status: &Instance) -> String {
    let mut lines = vec![format!("{} ({address}):", status.name)];
    lines.extend(status.quarantines.iter().map(quarantined));
    lines.extend(status.suspects.iter().map(suspect));
    lines.join("\n")
}

/// Formats the quarantine state of one request as a line.
fn quarantined(entry: &Quarantine) -> String {
    format!(
        "  {} {}, idle for {} s, failed trials: {}; crashed servers: {}",
        entry.fingerprint,
        entry.standing().as_str_name(),
        entry.idle_ms / 1000,
        entry.failed_trials,
        servers(&entry.incarnations)
    )
}

/// Formats a request that may have crashed servers as a line.
fn suspect(suspect: &Suspect) -> String {
    let rivals = suspect.rivals.iter();
    let rivals = rivals.map(|rival| format!("{} at {}", rival.fingerprint, rival.crashes));
    format!(
        "  {} undecided; crashed servers: {}; other requests there: {}",
        suspect.fingerprint,
        servers(&suspect.incarnations),
        rivals.collect::<Vec<_>>().join(", ")
    )
}

/// Formats incarnations of servers as a list.
fn servers(incarnations: &[wire::Incarnation]) -> String {
    list(incarnations.iter().map(Incarnation::read))
}

/// Formats the owner and the fallback owners of one service as a line.
fn service(service: &Service) -> String {
    let owner = if service.owner.is_empty() { "nobody" } else { &service.owner };
    format!(
        "  {} (revision {}): {owner}, candidates in order {}; {} queued and {} running here",
        service.name,
        service.revision,
        service.candidates.join(" "),
        service.queued,
        service.running
    )
}

/// Formats what happened to the requests with one request key at one instance.
pub fn explanation(address: &str, explanation: &Explanation) -> String {
    if explanation.queries.is_empty() {
        return format!("{address}: no record of this key");
    }
    let mut lines = Vec::new();
    for query in &explanation.queries {
        lines.push(format!("{address}: key {} query {}", query.key, query.query));
        lines.extend(query.steps.iter().map(step));
    }
    lines.join("\n")
}

/// Formats one step of a query as a line.
fn step(step: &Step) -> String {
    format!("  {:>9} us  {}{}", step.at_us, step.what, reason_and_verdict(step))
}

/// Formats the reason and the verdict of a step, where it has them.
fn reason_and_verdict(step: &Step) -> String {
    let mut text = String::new();
    if step.reason() != Reason::Unspecified {
        text.push_str("  ");
        text.push_str(step.reason().as_str_name());
    }
    if step.verdict() != Verdict::Unspecified {
        text.push_str("  ");
        text.push_str(step.verdict().as_str_name());
    }
    text
}
