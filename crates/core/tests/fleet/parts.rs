//! Incrementally updated views compared with views built from scratch.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::settings::Placement;
use ladder_core::control::{Event, Machine, Settings};
use ladder_core::schema::publication::{Kind, Page, State, record::Body};
use ladder_core::schema::wire::{Frame, Liveness};
use ladder_core::time::Instant;
use ladder_core::view::{Service, View};

use crate::fixtures;

const INSTANCES: u8 = 14;
const SERVICES: u8 = 5;

fn name(which: u8) -> String {
    format!("entry-{}", which % INSTANCES)
}

fn service(which: u8) -> String {
    format!("gate-{}", which % SERVICES)
}

fn zone(which: u8) -> &'static str {
    ["trindade", "campanha", "bolhao"][usize::from(which % 3)]
}

/// A published record selected by the numbers: a withdrawal for an odd `detail`, otherwise a
/// change.
fn body(kind: u8, which: u8, detail: u8) -> Body {
    let withdraw = |kind, name: &str| fixtures::tombstone(kind, name);
    let state = match detail & 4 {
        0 => State::Live,
        _ => State::Leaving,
    };
    let server = format!("server-{}", which % 8);
    match (kind % 4, detail % 2) {
        (0, 0) => fixtures::entry(&service(which), 1 + u32::from(detail)),
        (0, _) => withdraw(Kind::Entry, &service(which)),
        (1, 0) => fixtures::server(&server, &service(detail / 8), u64::from(detail), state),
        (1, _) => withdraw(Kind::Server, &server),
        (2, 0) => fixtures::index("docks", 1 + u64::from(which % 3), &[&service(detail)]),
        (2, _) => withdraw(Kind::Index, &format!("docks@{}", 1 + which % 3)),
        (_, 0) => fixtures::instance(&name(which), zone(which), state),
        (_, _) => withdraw(Kind::Instance, &name(which)),
    }
}

fn frame_with_update(which: u8, detail: u8) -> Frame {
    let liveness = [Liveness::Alive, Liveness::Suspect, Liveness::Dead, Liveness::Leaving]
        [usize::from(detail % 4)];
    let version = (1 + u64::from(detail / 64), u32::from(detail / 16));
    let update = fixtures::gossip_update(&name(which), zone(which), version, liveness);
    Frame { rumours: vec![update], ..fixtures::frame(&name(1), zone(1), 1) }
}

fn by_name(view: &View) -> BTreeMap<&str, &Arc<Service>> {
    let services = view.services.values();
    services.map(|service| (&*service.name, service)).collect()
}

struct Harness {
    machine: Machine,
    now: Instant,
    revision: u64,
}

impl Harness {
    fn new(placement: Placement) -> Self {
        let now = Instant::from_millis(1000);
        let settings = Settings::builder(&name(0), &fixtures::address(&name(0)))
            .zone(zone(0))
            .placement(placement)
            .build();
        let mut harness = Self { machine: Machine::new(settings, now), now, revision: 0 };
        let instances = (0..INSTANCES).map(|which| (3, which, 0));
        let entries = (0..SERVICES).map(|which| (0, which, 0));
        let servers = (0..8).map(|which| (1, which, which * 8));
        let initial: Vec<_> = instances.chain(entries).chain(servers).collect();
        harness.publish(&initial);
        harness
    }

    fn publish(&mut self, bodies: &[(u8, u8, u8)]) {
        let bodies = bodies.iter().map(|&(kind, which, detail)| body(kind, which, detail));
        let records = fixtures::records(self.revision + 1, bodies);
        self.revision += records.len() as u64;
        self.give(Event::Page(Page { head: self.revision, records, ..Page::default() }));
    }

    fn step(&mut self, (kind, which, detail): (u8, u8, u8)) {
        match kind % 8 {
            0..4 => self.publish(&[(kind, which, detail)]),
            4 => self.give(Event::Frame(Box::new(frame_with_update(which, detail)))),
            5 => self.give(Event::ServerLeaving {
                server: format!("server-{}", which % 8).into(),
                incarnation: u64::from(detail),
            }),
            6 => self.advance(Duration::from_millis(20 * u64::from(detail))),
            _ => self.advance(Duration::from_millis(200 * u64::from(detail))),
        }
    }

    /// Advances time, with a tick whenever the machine asks for one.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        let mut wakes_without_progress = 0;
        while self.machine.next_wake() <= end {
            let is_no_progress = self.machine.next_wake() <= self.now;
            wakes_without_progress = if is_no_progress { wakes_without_progress + 1 } else { 0 };
            assert!(wakes_without_progress < 100, "the machine wakes without end");
            self.now = self.machine.next_wake().max(self.now);
            self.give(Event::Tick);
        }
        self.now = end;
    }

    fn give(&mut self, event: Event) {
        self.machine.handle(self.now, event, &mut Vec::new());
        let whole = self.machine.rebuilt_view(self.now);
        let view = self.machine.view();
        assert_eq!(by_name(view), by_name(&whole));
        assert_eq!(view.service_keys.len(), view.services.len());
        assert_eq!(view.indexes, whole.indexes);
        assert_eq!(view.neighbours, whole.neighbours);
        assert_eq!(view.revision, whole.revision);
    }
}

/// Guards against views that miss a change because only the services affected by it are rebuilt: a
/// server would get work although it left, or a dead instance would remain the owner. After any
/// sequence of published changes, gossip updates, leaving servers and waits, the view must equal
/// one built from scratch.
#[test]
fn incrementally_updated_view_equals_one_built_from_scratch() {
    ladder_property::check_short(20, 150).with_type::<(bool, Vec<(u8, u8, u8)>)>().for_each(
        |(direct, steps)| {
            let placement = match direct {
                true => Placement::Direct,
                false => Placement::Owner,
            };
            let mut harness = Harness::new(placement);
            for &step in steps.iter().take(40) {
                harness.step(step);
            }
        },
    );
}

/// Guards against sweeps that are aggregated in the wrong zone. A member refuted within the same
/// generation but from another zone, and the neighbour list kept the old zone until something else
/// changed.
#[test]
fn refutation_from_another_zone_updates_the_neighbour_list() {
    let mut harness = Harness::new(Placement::Direct);
    // Both steps are updates about the same member: its first refutation from one zone, its second
    // from another.
    for (which, detail) in [(1, 0), (1 + INSTANCES, 16)] {
        harness.step((4, which, detail));
    }
    let view = harness.machine.view();
    let moved = view.neighbours.iter().find(|neighbour| *neighbour.peer.name == *name(1));
    assert_eq!(moved.map(|neighbour| &*neighbour.zone), Some(zone(1 + INSTANCES)));
}
