//! What instances answer, as text for people.

use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::status::{
    Evacuation, Explanation, Instance, Member, Quarantine, Refused, Service, Step,
};

/// The status of one instance.
pub fn status(address: &str, status: &Instance) -> String {
    let mut lines = vec![
        format!(
            "{} ({address}, {}): revision {}, {}{}{}",
            status.name,
            status.zone,
            status.revision,
            if status.ready { "ready" } else { "not ready" },
            if status.draining { ", draining" } else { "" },
            if status.reader { ", reads the platform" } else { "" },
        ),
        format!("  open: {} queries, {} portions", status.open_queries, status.open_portions),
    ];
    lines.extend(status.evacuations.iter().map(evacuation));
    lines.extend(status.members.iter().map(member));
    lines.extend(status.refused.iter().map(refused));
    lines.join("\n")
}

/// One line on an evacuated zone.
fn evacuation(evacuation: &Evacuation) -> String {
    format!(
        "  zone {} is evacuated since revision {}: {} servers get no new requests",
        evacuation.zone, evacuation.revision, evacuation.servers
    )
}

/// One line on a member.
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

/// One line on a refused record.
fn refused(refused: &Refused) -> String {
    format!(
        "  refused {} {} at revision {}: {}",
        refused.kind().as_str_name(),
        refused.name,
        refused.revision,
        refused.detail
    )
}

/// The owners in the view of one instance.
pub fn owners(address: &str, only: Option<&str>, status: &Instance) -> String {
    let wanted = |service: &&Service| only.is_none_or(|only| only == service.name);
    let mut lines = vec![format!("{} ({address}):", status.name)];
    lines.extend(status.services.iter().filter(wanted).map(service));
    lines.join("\n")
}

/// What one instance holds of requests under which servers ended.
pub fn quarantine(address: &str, status: &Instance) -> String {
    let mut lines = vec![format!("{} ({address}):", status.name)];
    lines.extend(status.quarantines.iter().map(quarantined));
    lines.join("\n")
}

/// One line on a request.
fn quarantined(entry: &Quarantine) -> String {
    let incarnations = entry
        .incarnations
        .iter()
        .map(|incarnation| format!("{}/{}", incarnation.server, incarnation.number));
    format!(
        "  {} {}, idle for {} s; servers that ended: {}",
        entry.fingerprint,
        entry.standing().as_str_name(),
        entry.idle_ms / 1000,
        incarnations.collect::<Vec<_>>().join(" ")
    )
}

/// One line on a service.
fn service(service: &Service) -> String {
    let owner = if service.owner.is_empty() { "nobody" } else { &service.owner };
    format!(
        "  {} (revision {}): {owner}, in order {}; {} queued and {} running here",
        service.name,
        service.revision,
        service.candidates.join(" "),
        service.queued,
        service.running
    )
}

/// What happened to the requests of a key at one instance.
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

/// One line on a step.
fn step(step: &Step) -> String {
    format!("  {:>9} us  {}{}", step.at_us, step.what, because(step))
}

/// Reason and verdict of a step, where it has them.
fn because(step: &Step) -> String {
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
