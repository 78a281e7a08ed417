//! Snapshot test of all actions of a small fleet during the replacement of an instance.

use std::time::Duration;

use ladder_core::control::store::Key;
use ladder_core::control::{Action, Event};
use ladder_core::schema::publication::{Kind, State};
use ladder_core::schema::wire::{Frame, Rumour};
use ladder_core::view::{Service, View};

use crate::fixtures;
use crate::simulation::{name, platform_with, zone};

/// Describes an action in one line; none for counters and frames that carry no changes.
pub(crate) fn action_line(action: &Action) -> Option<String> {
    match action {
        Action::Send { to, frame } => {
            let changes = frame_changes(frame);
            (!changes.is_empty()).then(|| format!("to {to}: {}", changes.join(" ")))
        }
        Action::Watch(read) => Some(format!("watch after {} for {:?}", read.after, read.wait)),
        Action::View(view) => Some(view_line(view)),
        Action::Log(state_change) => Some(format!("log {state_change:?}")),
        Action::Refused { refusal, .. } => {
            Some(format!("refused {}: {}", refusal.key, refusal.detail))
        }
        Action::Generation(generation) => Some(format!("generation {generation}")),
        Action::Count(_) => None,
    }
}

fn frame_changes(frame: &Frame) -> Vec<String> {
    let records = frame.records.iter();
    let records = records.map(|record| format!("[{} at {}]", Key::of(record), record.revision));
    let rumours = frame.rumours.iter().map(rumour_line);
    let departures = frame.departures.iter();
    let departures = departures.map(|departure| format!("{} leaves", departure.server));
    records.chain(rumours).chain(departures).collect()
}

fn rumour_line(rumour: &Rumour) -> String {
    let liveness = rumour.liveness();
    let (name, generation) = (&rumour.name, rumour.generation);
    format!("({name} {generation}.{} {liveness:?})", rumour.refutation)
}

fn view_line(view: &View) -> String {
    let services: Vec<String> =
        view.services.values().map(|service| service_line(service)).collect();
    let ready = if view.ready { "ready" } else { "not ready" };
    let (generation, revision) = (view.generation, view.revision);
    format!("view {generation} of revision {revision}, {ready}: {}", services.join("; "))
}

fn service_line(service: &Service) -> String {
    let candidates = service.candidates.iter().map(|candidate| {
        let not_live_mark = if candidate.live { "" } else { "!" };
        format!("{not_live_mark}{}", candidate.peer.name)
    });
    let candidates: Vec<String> = candidates.collect();
    let shares = service.servers.iter().map(|server| server.share.to_string());
    let shares: Vec<String> = shares.collect();
    format!("{} by {} with {}", service.name, candidates.join(" "), shares.join("+"))
}

/// Replaces an instance: the new one starts and is listed, then the old one drains, leaves the list
/// and ends. The snapshot contains each view and each broadcast on the way.
#[test]
fn instance_replacement_matches_snapshot() {
    let mut fleet = platform_with(3, 1);
    for at in 0..3 {
        fleet.start(&name(at), zone(at));
    }
    fleet.run(Duration::from_secs(6));
    fleet.start(&name(4), zone(4));
    fleet.publish_body(100, fixtures::instance(&name(4), zone(4), State::Live));
    fleet.run(Duration::from_secs(3));
    fleet.handle_event(&name(1), Event::Drain);
    fleet.publish_body(101, fixtures::instance(&name(1), zone(1), State::Leaving));
    fleet.run(Duration::from_secs(1));
    fleet.kill(&name(1), true);
    fleet.publish_body(102, fixtures::tombstone(Kind::Instance, &name(1)));
    fleet.run(Duration::from_secs(4));
    insta::assert_snapshot!(fleet.action_log.join("\n"));
}
