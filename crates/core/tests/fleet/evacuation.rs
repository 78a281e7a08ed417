//! Availability zones to whose servers nothing is to be sent.

use std::time::Duration;

use ladder_core::control::Event;
use ladder_core::control::settings::Timing;
use ladder_core::schema::publication::{Evacuation, Kind, Page, Record, record::Body};

use crate::concert::{fleet_of, name, platform, zone};
use crate::harness::{Fleet, Node};
use crate::publish;

/// From the platform's acknowledgement until the order has to be in force everywhere.
const APPLY: Duration = Duration::from_secs(3);
/// Zone of the servers that tests publish.
const ZONE: &str = "campanha";

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn order(zone: &str) -> Body {
    Body::Evacuation(Evacuation { zone: zone.to_owned() })
}

fn withdrawn(zone: &str) -> Body {
    publish::tombstone(Kind::Evacuation, zone)
}

/// Whether an instance holds all servers for evacuated; all or none are.
fn holds(node: &Node) -> bool {
    let services = node.machine.view().services.values();
    let mut servers = services.flat_map(|service| &service.servers).peekable();
    assert!(servers.peek().is_some());
    servers.all(|server| server.evacuated)
}

fn everywhere(fleet: &Fleet, evacuated: bool) -> bool {
    fleet.nodes.values().all(|node| holds(node) == evacuated)
}

fn fleet(instances: usize) -> Fleet {
    let timing = Timing { contact: Duration::from_secs(4), ..Timing::default() };
    fleet_of(instances, 4, timing)
}

/// Guards against an order that some instances do not know, or that outlasts its withdrawal.
#[test]
fn order_is_in_force_everywhere_until_it_is_withdrawn() {
    for instances in [1, 9, 60] {
        let mut fleet = fleet(instances);
        for revision in [1000, 2000] {
            fleet.put(revision, order("a zone that nobody knows"));
            fleet.put(revision + 1, order(ZONE));
            fleet.until("the order", APPLY, |fleet| everywhere(fleet, true));
            fleet.put(revision + 2, order("trindade"));
            fleet.put(revision + 3, withdrawn(ZONE));
            fleet.until("its withdrawal", APPLY, |fleet| everywhere(fleet, false));
        }
        let known = fleet.nodes[&name(0)].machine.evacuations();
        assert_eq!(
            known.map(|(zone, ..)| zone).collect::<Vec<_>>(),
            ["a zone that nobody knows", "trindade"]
        );
    }
}

/// Guards against instances that the platform turns away and that go on as before.
#[test]
fn instances_that_the_platform_refuses_hear_of_it() {
    let mut fleet = fleet(9);
    let refused: Vec<String> = (0..6).map(name).collect();
    fleet.refuse(&refused);
    fleet.put(1000, order(ZONE));
    fleet.until("the order", APPLY, |fleet| everywhere(fleet, true));
    fleet.put(1001, withdrawn(ZONE));
    fleet.until("its withdrawal", APPLY, |fleet| everywhere(fleet, false));
}

/// Guards against an instance that starts, serves and does not know the order yet.
#[test]
fn starting_instance_knows_the_order_before_it_serves() {
    for (up, count) in [(true, 4), (false, 4), (false, 1600)] {
        let mut fleet = platform(3, count);
        (0..3).for_each(|at| fleet.start(&name(at), zone(at)));
        fleet.run(ms(5000));
        fleet.put(10_000, order(ZONE));
        fleet.until("the order", APPLY, |fleet| everywhere(fleet, true));
        if !up {
            fleet.silence_platform();
        }
        fleet.kill(&name(0), true);
        fleet.seeds = vec![publish::address(&name(1))];
        fleet.incarnation = 2;
        fleet.start(&name(0), zone(0));
        let ready = |fleet: &Fleet| fleet.nodes[&name(0)].machine.view().ready;
        fleet.until("it serves", APPLY, ready);
        fleet.run(ms(2000));
        let views = &fleet.nodes[&name(0)].views;
        for (at, view) in views.iter().filter(|(_, view)| view.ready) {
            let services = view.services.values();
            let mut servers = services.flat_map(|service| &service.servers);
            let what = format!("platform up: {up}, {count} services, at {at:?}");
            assert!(servers.all(|server| server.evacuated), "{what}");
        }
    }
}

/// Guards against a source that lags and brings an order back, or takes one back.
#[test]
fn older_records_change_nothing() {
    let mut fleet = platform(1, 4);
    fleet.start(&name(0), zone(0));
    fleet.run(ms(5000));
    let page = |revision, body| {
        let records = vec![publish::record(revision, body)];
        Event::Page(Page { head: revision, records, ..Page::default() })
    };
    for (revision, body, evacuated) in [
        (1001, order(ZONE), true),
        (1000, withdrawn(ZONE), true),
        (1003, withdrawn(ZONE), false),
        (1002, order(ZONE), false),
    ] {
        fleet.give(&name(0), page(revision, body));
        assert_eq!(everywhere(&fleet, true), evacuated, "revision {revision}");
    }
}

/// Guards against an order that was withdrawn while the platform forgot its history.
#[test]
fn listing_without_the_order_withdraws_it() {
    let mut fleet = platform(1, 4);
    fleet.start(&name(0), zone(0));
    fleet.run(ms(5000));
    fleet.put(1000, order(ZONE));
    fleet.run(ms(1000));
    assert!(everywhere(&fleet, true));
    let node = &fleet.nodes[&name(0)];
    let listed = |record: &&Record| !matches!(record.body, Some(Body::Evacuation(_)));
    let records = node.machine.records().map(|(_, record)| &**record).filter(listed);
    let records = records.cloned().collect();
    for (head, evacuated) in [(999, true), (1001, false)] {
        let records = Vec::clone(&records);
        let page = Page { head, records, whole: true, ..Page::default() };
        fleet.give(&name(0), Event::Page(page));
        assert_eq!(everywhere(&fleet, true), evacuated, "a listing as of {head}");
    }
}
