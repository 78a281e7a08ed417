//! Views kept up to date in parts against views built whole.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::settings::Placement;
use ladder_core::control::{Event, Machine, Settings};
use ladder_core::schema::publication::{Kind, Page, State, record::Body};
use ladder_core::schema::wire::{Frame, Liveness};
use ladder_core::time::Instant;
use ladder_core::view::{Service, View};

use crate::publish;

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

/// A published change, or a withdrawal for an odd `detail`.
fn body(kind: u8, which: u8, detail: u8) -> Body {
    let withdraw = |kind, name: &str| publish::tombstone(kind, name);
    let state = match detail & 4 {
        0 => State::Live,
        _ => State::Leaving,
    };
    let server = format!("server-{}", which % 8);
    match (kind % 4, detail % 2) {
        (0, 0) => publish::entry(&service(which), 1 + u32::from(detail)),
        (0, _) => withdraw(Kind::Entry, &service(which)),
        (1, 0) => publish::server(&server, &service(detail / 8), u64::from(detail), state),
        (1, _) => withdraw(Kind::Server, &server),
        (2, 0) => publish::index("docks", 1 + u64::from(which % 3), &[&service(detail)]),
        (2, _) => withdraw(Kind::Index, &format!("docks@{}", 1 + which % 3)),
        (_, 0) => publish::instance(&name(which), zone(which), state),
        (_, _) => withdraw(Kind::Instance, &name(which)),
    }
}

fn rumour(which: u8, detail: u8) -> Frame {
    let liveness = [Liveness::Alive, Liveness::Suspect, Liveness::Dead, Liveness::Leaving]
        [usize::from(detail % 4)];
    let version = (1 + u64::from(detail / 64), u32::from(detail / 16));
    let told = publish::rumour(&name(which), zone(which), version, liveness);
    Frame { rumours: vec![told], ..publish::frame(&name(1), zone(1), 1) }
}

fn by_name(view: &View) -> BTreeMap<&str, &Arc<Service>> {
    let services = view.services.values();
    services.map(|service| (&*service.name, service)).collect()
}

struct Session {
    machine: Machine,
    now: Instant,
    revision: u64,
}

impl Session {
    fn new(placement: Placement) -> Self {
        let now = Instant::from_millis(1000);
        let settings = Settings::builder(&name(0), &publish::address(&name(0)))
            .zone(zone(0))
            .placement(placement)
            .build();
        let mut session = Self { machine: Machine::new(settings, now), now, revision: 0 };
        let instances = (0..INSTANCES).map(|which| (3, which, 0));
        let entries = (0..SERVICES).map(|which| (0, which, 0));
        let servers = (0..8).map(|which| (1, which, which * 8));
        let all: Vec<_> = instances.chain(entries).chain(servers).collect();
        session.publish(&all);
        session
    }

    fn publish(&mut self, bodies: &[(u8, u8, u8)]) {
        let bodies = bodies.iter().map(|&(kind, which, detail)| body(kind, which, detail));
        let records = publish::records(self.revision + 1, bodies);
        self.revision += records.len() as u64;
        self.give(Event::Page(Page { head: self.revision, records, ..Page::default() }));
    }

    fn step(&mut self, (choice, which, detail): (u8, u8, u8)) {
        match choice % 8 {
            0..4 => self.publish(&[(choice, which, detail)]),
            4 => self.give(Event::Frame(Box::new(rumour(which, detail)))),
            5 => self.give(Event::ServerLeaving {
                server: format!("server-{}", which % 8).into(),
                incarnation: u64::from(detail),
            }),
            6 => self.pass(Duration::from_millis(20 * u64::from(detail))),
            _ => self.pass(Duration::from_millis(200 * u64::from(detail))),
        }
    }

    /// Lets time pass tick by tick.
    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        let mut idle = 0;
        while self.machine.next_wake() <= end {
            let stays = self.machine.next_wake() <= self.now;
            idle = if stays { idle + 1 } else { 0 };
            assert!(idle < 100, "the machine wakes without end");
            self.now = self.machine.next_wake().max(self.now);
            self.give(Event::Tick);
        }
        self.now = end;
    }

    fn give(&mut self, event: Event) {
        self.machine.handle(self.now, event, &mut Vec::new());
        let whole = self.machine.rebuilt(self.now);
        let kept = self.machine.view();
        assert_eq!(by_name(kept), by_name(&whole));
        assert_eq!(kept.service_keys.len(), kept.services.len());
        assert_eq!(kept.indexes, whole.indexes);
        assert_eq!(kept.neighbours, whole.neighbours);
        assert_eq!(kept.revision, whole.revision);
    }
}

/// A server gets work although it left, or a dead instance stays the owner: a view is brought up to
/// date only in the services that a change concerns, and one was overlooked. After any order of
/// published changes, rumours, leaving servers and waits the view equals one built whole.
#[test]
fn a_view_kept_in_parts_equals_one_built_whole() {
    ladder_property::check_short(20, 150).with_type::<(bool, Vec<(u8, u8, u8)>)>().for_each(
        |(direct, steps)| {
            let placement = match direct {
                true => Placement::Direct,
                false => Placement::Owner,
            };
            let mut session = Session::new(placement);
            for &step in steps.iter().take(40) {
                session.step(step);
            }
        },
    );
}

/// Sweeps are collected in the wrong zone: a member says anew that it is alive, in the same life but
/// from another zone, and the list of neighbours kept the old one until something else changed it.
#[test]
fn a_refutation_from_another_zone_moves_the_neighbour() {
    let mut session = Session::new(Placement::Direct);
    // Both name the same member: the life's first refutation from one zone, its second from another.
    for (which, detail) in [(1, 0), (1 + INSTANCES, 16)] {
        session.step((4, which, detail));
    }
    let view = session.machine.view();
    let moved = view.neighbours.iter().find(|neighbour| *neighbour.peer.name == *name(1));
    assert_eq!(moved.map(|neighbour| &*neighbour.zone), Some(zone(1 + INSTANCES)));
}
