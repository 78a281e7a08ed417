//! Prints what instances answer, for people.

use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::status::{Explanation, Instance, Member, Query, Step};

/// Prints the status of one instance.
pub fn status(address: &str, status: &Instance) {
    println!(
        "{} ({address}, {}): revision {}, {}{}{}",
        status.name,
        status.zone,
        status.revision,
        if status.ready { "ready" } else { "not ready" },
        if status.draining { ", draining" } else { "" },
        if status.reader {
            ", reads the platform"
        } else {
            ""
        },
    );
    println!(
        "  open: {} queries, {} portions",
        status.open_queries, status.open_portions
    );
    for member in &status.members {
        println!("  member {}", describe(member));
    }
    for refused in &status.refused {
        println!(
            "  refused {} {} at revision {}: {}",
            refused.kind().as_str_name(),
            refused.name,
            refused.revision,
            refused.detail
        );
    }
}

/// One line on a member.
fn describe(member: &Member) -> String {
    format!(
        "{} ({}, {}, incarnation {}): {} ({})",
        member.name,
        member.address,
        member.zone,
        member.incarnation,
        member.liveness().as_str_name(),
        member.why
    )
}

/// Prints the owners in the view of one instance.
pub fn owners(address: &str, only: Option<&str>, status: &Instance) {
    println!("{} ({address}):", status.name);
    let wanted = |name: &str| only.is_none_or(|only| only == name);
    for service in status
        .services
        .iter()
        .filter(|service| wanted(&service.name))
    {
        let owner = if service.owner.is_empty() {
            "nobody"
        } else {
            &service.owner
        };
        println!(
            "  {} (revision {}): {owner}, in order {}; {} queued and {} running here",
            service.name,
            service.revision,
            service.candidates.join(" "),
            service.queued,
            service.running
        );
    }
}

/// Prints what happened to the requests of a key at one instance.
pub fn explanation(address: &str, explanation: &Explanation) {
    if explanation.queries.is_empty() {
        println!("{address}: no record of this key");
    }
    for query in &explanation.queries {
        println!("{address}: key {} query {}", query.key, query.query);
        steps(query);
    }
}

/// Prints the steps of a query.
fn steps(query: &Query) {
    for step in &query.steps {
        println!("  {:>9} us  {}{}", step.at_us, step.what, because(step));
    }
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
