//! The state of the machines as operators see it.

use ladder_core::admission::reservation::Response;
use ladder_core::control::membership::Member;
use ladder_core::control::quarantine::{Entry, Incarnation, Undecided};
use ladder_core::control::store::{Key, Refusal};
use ladder_core::fingerprint::Fingerprint;
use ladder_core::time::{Instant, micros};
use ladder_core::view::{Service, View};
use ladder_core::{control, gather, leaf};
use ladder_schema::publication::Kind;
use ladder_schema::{status, wire};

use super::Shared;

/// Returns the status of this instance.
///
/// Each machine is queried separately, so the parts of the status may be some milliseconds apart.
pub async fn instance(shared: &Shared) -> status::Instance {
    let now = shared.clock.now();
    let control_status = shared
        .control
        .inspect(move |machine| control_status(machine, now))
        .await
        .unwrap_or_default();
    let queues = shared.leaf.inspect(move |machine| machine.status(now)).await.unwrap_or_default();
    let mut services = control_status.services;
    for service in &mut services {
        if let Some(queue) = queues.iter().find(|queue| *queue.name == *service.name) {
            service.queued = u32::try_from(queue.queued).unwrap_or(u32::MAX);
            service.running = queue.in_flight;
        }
    }
    let settings = &shared.options.instance;
    status::Instance {
        name: settings.name.clone(),
        incarnation: shared.incarnation,
        zone: settings.zone.clone(),
        ready: shared.ready.is_ready(),
        draining: shared.ready.is_draining(),
        services,
        aggregators: aggregators(shared).await,
        reservations: count(shared.gather.inspect(gather::Machine::reservations).await),
        open_queries: count(shared.gather.inspect(gather::Machine::open).await),
        open_portions: count(shared.leaf.inspect(leaf::Machine::open).await),
        ..control_status
    }
}

/// Returns the instances that aggregate the parts of sweeps.
async fn aggregators(shared: &Shared) -> Vec<status::Aggregator> {
    let groups = shared.gather.inspect(gather::Machine::aggregators).await.unwrap_or_default();
    let aggregator = |group: gather::GroupStatus| status::Aggregator {
        index: group.index.to_string(),
        zone: group.zone.map_or_else(String::new, |zone| zone.to_string()),
        services: group.services.iter().map(ToString::to_string).collect(),
        instance: group.instance.to_string(),
        in_use: group.in_use,
    };
    groups.into_iter().map(aggregator).collect()
}

/// Returns the recorded steps of the latest query with the request key `key`.
pub async fn explanation(shared: &Shared, key: String) -> status::Explanation {
    let found = shared.gather.inspect(move |machine| machine.explain(&key).map(query)).await;
    status::Explanation { queries: found.flatten().into_iter().collect() }
}

/// Converts a machine's count to a message field; 0 if the machine has ended.
fn count(open: Option<usize>) -> u64 {
    open.unwrap_or(0) as u64
}

/// Returns the part of the status that comes from the control machine.
fn control_status(machine: &control::Machine, now: Instant) -> status::Instance {
    let view = machine.view();
    status::Instance {
        revision: view.revision,
        era: machine.era(),
        reader: machine.is_reader(),
        members: machine.members().map(member).collect(),
        services: services(machine, view),
        refused: machine.refused().map(|refusal| refused(machine, refusal, now)).collect(),
        quarantines: quarantines(machine, now),
        suspects: machine.undecided().iter().map(suspect).collect(),
        evacuations: machine.evacuations().map(evacuation).collect(),
        ..status::Instance::default()
    }
}

/// Converts a member of the fleet to its status message.
fn member(member: &Member) -> status::Member {
    status::Member {
        name: member.name.to_string(),
        zone: member.zone.to_string(),
        address: member.address.to_string(),
        incarnation: member.generation,
        liveness: member.liveness.into(),
        why: member.why.to_string(),
    }
}

/// Returns the status of all services, ordered by name.
fn services(machine: &control::Machine, view: &View) -> Vec<status::Service> {
    let mut services: Vec<_> =
        view.services.values().map(|found| service(machine, found)).collect();
    services.sort_by(|a, b| a.name.cmp(&b.name));
    services
}

/// Returns the status of one service with the revision of its catalogue entry; the leaf machine's
/// counts are filled in later.
fn service(machine: &control::Machine, service: &Service) -> status::Service {
    let key = Key::new(Kind::Entry, &service.name);
    let revision = machine.records().find(|(found, _)| **found == key);
    status::Service {
        name: service.name.to_string(),
        revision: revision.map_or(0, |(_, record)| record.revision),
        owner: service.owner().map_or_else(String::new, |owner| owner.peer.name.to_string()),
        candidates: service.candidates.iter().map(|c| c.peer.name.to_string()).collect(),
        queued: 0,
        running: 0,
    }
}

/// Converts an evacuated zone with its revision and number of servers to its status message.
fn evacuation((zone, revision, servers): (&str, u64, usize)) -> status::Evacuation {
    let servers = u32::try_from(servers).unwrap_or(u32::MAX);
    status::Evacuation { zone: zone.to_owned(), revision, servers }
}

/// Returns the quarantine state of requests during which server processes crashed, ordered by
/// fingerprint.
fn quarantines(machine: &control::Machine, now: Instant) -> Vec<status::Quarantine> {
    let mut entries: Vec<_> =
        machine.quarantined().map(|(request, entry)| quarantine(*request, entry, now)).collect();
    entries.sort_by(|one, other| one.fingerprint.cmp(&other.fingerprint));
    entries
}

/// Converts the quarantine state of one request to its status message.
fn quarantine(request: Fingerprint, entry: &Entry, now: Instant) -> status::Quarantine {
    status::Quarantine {
        fingerprint: request.to_string(),
        standing: wire::Standing::from(entry.standing).into(),
        idle_ms: micros(now.since(entry.seen)) / 1000,
        incarnations: entry.incarnations.iter().map(Incarnation::written).collect(),
        failed_trials: entry.failed_trials,
    }
}

/// Converts a request that may have crashed servers to its status message.
fn suspect(undecided: &Undecided) -> status::Suspect {
    let rivals = undecided.rivals.iter().map(|&(request, crashes)| status::Rival {
        fingerprint: request.to_string(),
        crashes: crashes as u32,
    });
    status::Suspect {
        fingerprint: undecided.request.to_string(),
        incarnations: undecided.incarnations.iter().map(Incarnation::written).collect(),
        rivals: rivals.collect(),
    }
}

/// Converts a refused record to its status message, with the time for which routes were refused.
fn refused(machine: &control::Machine, refusal: &Refusal, now: Instant) -> status::Refused {
    let routes_age = machine.refused_routes(now).map(|(_, age)| micros(age) / 1000);
    let is_routing = refusal.key.kind == Kind::Routing;
    status::Refused {
        version: refusal.version,
        reason: refusal.reason.to_owned(),
        since_ms: routes_age.filter(|_| is_routing).unwrap_or(0),
        kind: refusal.key.kind.into(),
        name: refusal.key.name.to_string(),
        revision: refusal.revision,
        detail: refusal.detail.clone(),
    }
}

/// Converts the recorded steps of one query to a status message, with times relative to its
/// arrival.
fn query(explanation: &gather::Explanation) -> status::Query {
    let arrived = explanation.steps.first().map_or_else(Default::default, |first| first.at);
    let steps = explanation.steps.iter().map(|timed_step| {
        let mut step = step(&timed_step.step);
        step.at_us = timed_step.at.as_micros().saturating_sub(arrived.as_micros());
        step
    });
    status::Query { key: explanation.key.clone(), query: explanation.query, steps: steps.collect() }
}

/// Describes the response to a request for a reservation in words.
fn reservation(response: Response) -> String {
    match response {
        Response::Granted => "a reservation was due: admitted".to_owned(),
        Response::Reserved { retry_after } => {
            format!("a reservation is kept for a retry after {retry_after:?}")
        }
        Response::Refused { retry_after } => {
            format!("no reservation, retry after {retry_after:?}")
        }
    }
}

/// Describes one step of a query in words, with its reason and verdict.
fn step(step: &gather::Step) -> status::Step {
    use gather::Step;
    let mut shown = status::Step::default();
    shown.what = match step {
        Step::Arrived { attempt, fingerprint } => {
            format!("arrived, attempt {attempt}, fingerprint {fingerprint}")
        }
        Step::Routed { route, deadline, target, attempts, idempotent } => {
            let repetition = if *idempotent { "idempotent" } else { "non-idempotent" };
            format!(
                "route {route}, {repetition}, at most {attempts} servers of a service, deadline \
                 {deadline:?}, target {target:?}"
            )
        }
        Step::Pinned { version, portions, missing } => {
            format!("pinned version {version}: {portions} portions, {missing} shards missing")
        }
        Step::Sent { to, round, portions, again, reselected } => {
            shown.reason = again.unwrap_or_default().into();
            let servers = match reselected {
                0 => String::new(),
                reselected => format!(", {reselected} with other servers"),
            };
            format!("sent {portions} portions to {to}, round {round}{servers}")
        }
        Step::Replied { from, service, verdict, reason } => {
            shown.verdict = (*verdict).into();
            shown.reason = (*reason).into();
            format!("{from} replied for {service}")
        }
        Step::OwnerLost { owner, portions } => format!("gave up {portions} portions at {owner}"),
        Step::ReservationRequested { holder } => {
            format!("not admitted, requested a reservation from {holder}")
        }
        Step::ReservationAnswered { response } => reservation(*response),
        Step::Refused { detail } => format!("refused: {detail}"),
        Step::Waiting { portions, pause, reason } => {
            shown.reason = (*reason).into();
            format!("{portions} refused portions wait {pause:?} before they are sent again")
        }
        Step::Withdrawn { portions } => format!("withdrew {portions} portions"),
        Step::CallerLeft => "the caller left".to_owned(),
        Step::Answered { verdict, reason, covered, missing } => {
            shown.verdict = (*verdict).into();
            shown.reason = (*reason).into();
            format!("answered: {covered} shards covered, {missing} missing")
        }
    };
    shown
}
