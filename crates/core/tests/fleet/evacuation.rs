//! Evacuation of availability zones: their servers must receive no work.

use std::time::Duration;

use ladder_core::control::Event;
use ladder_core::control::settings::Timing;
use ladder_core::schema::publication::{Evacuation, Kind, Page, Record, record::Body};

use crate::fixtures;
use crate::harness::{Fleet, SimulatedInstance};
use crate::simulation::{name, platform_with, ready_fleet_with, zone};

/// Maximum time after the platform acknowledges an evacuation until it must be in force at every
/// instance.
const APPLY: Duration = Duration::from_secs(3);
/// Zone of the servers that these tests publish.
const ZONE: &str = "campanha";

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn evacuation(zone: &str) -> Body {
    Body::Evacuation(Evacuation { zone: zone.to_owned() })
}

fn withdrawal(zone: &str) -> Body {
    fixtures::tombstone(Kind::Evacuation, zone)
}

/// Whether all servers in an instance's view are marked as evacuated. Either all of them are or
/// none.
fn all_servers_evacuated(node: &SimulatedInstance) -> bool {
    let services = node.machine.view().services.values();
    let mut servers = services.flat_map(|service| &service.servers).peekable();
    assert!(servers.peek().is_some());
    servers.all(|server| server.evacuated)
}

fn evacuation_is_everywhere(fleet: &Fleet, evacuated: bool) -> bool {
    fleet.nodes.values().all(|node| all_servers_evacuated(node) == evacuated)
}

fn settled_fleet(instances: usize) -> Fleet {
    let timing = Timing { contact: Duration::from_secs(4), ..Timing::default() };
    ready_fleet_with(instances, 4, timing)
}

/// Guards against an evacuation that is unknown to some instances, or that continues after its
/// withdrawal.
#[test]
fn evacuation_is_in_force_everywhere_until_it_is_withdrawn() {
    for instances in [1, 9, 60] {
        let mut fleet = settled_fleet(instances);
        for revision in [1000, 2000] {
            fleet.publish_body(revision, evacuation("a zone that nobody knows"));
            fleet.publish_body(revision + 1, evacuation(ZONE));
            fleet.run_until("the evacuation is in force", APPLY, |fleet| {
                evacuation_is_everywhere(fleet, true)
            });
            fleet.publish_body(revision + 2, evacuation("trindade"));
            fleet.publish_body(revision + 3, withdrawal(ZONE));
            fleet.run_until("its withdrawal is in force", APPLY, |fleet| {
                evacuation_is_everywhere(fleet, false)
            });
        }
        let known = fleet.nodes[&name(0)].machine.evacuations();
        assert_eq!(
            known.map(|(zone, ..)| zone).collect::<Vec<_>>(),
            ["a zone that nobody knows", "trindade"]
        );
    }
}

/// Guards against instances that are refused by the platform and therefore miss an evacuation.
#[test]
fn instances_refused_by_the_platform_learn_of_an_evacuation() {
    let mut fleet = settled_fleet(9);
    let refused: Vec<String> = (0..6).map(name).collect();
    fleet.refuse_reads_of(&refused);
    fleet.publish_body(1000, evacuation(ZONE));
    fleet.run_until("the evacuation is in force", APPLY, |fleet| {
        evacuation_is_everywhere(fleet, true)
    });
    fleet.publish_body(1001, withdrawal(ZONE));
    fleet.run_until("its withdrawal is in force", APPLY, |fleet| {
        evacuation_is_everywhere(fleet, false)
    });
}

/// Guards against an instance that starts and serves before it knows the evacuation.
#[test]
fn starting_instance_knows_the_evacuation_before_it_serves() {
    for (platform_up, service_count) in [(true, 4), (false, 4), (false, 1600)] {
        let mut fleet = platform_with(3, service_count);
        (0..3).for_each(|at| fleet.start(&name(at), zone(at)));
        fleet.run(ms(5000));
        fleet.publish_body(10_000, evacuation(ZONE));
        fleet.run_until("the evacuation is in force", APPLY, |fleet| {
            evacuation_is_everywhere(fleet, true)
        });
        if !platform_up {
            fleet.stop_platform();
        }
        fleet.kill(&name(0), true);
        fleet.seeds = vec![fixtures::address(&name(1))];
        fleet.incarnation = 2;
        fleet.start(&name(0), zone(0));
        let ready = |fleet: &Fleet| fleet.nodes[&name(0)].machine.view().ready;
        fleet.run_until("the restarted instance is ready", APPLY, ready);
        fleet.run(ms(2000));
        let views = &fleet.nodes[&name(0)].views;
        for (at, view) in views.iter().filter(|(_, view)| view.ready) {
            let services = view.services.values();
            let mut servers = services.flat_map(|service| &service.servers);
            let description =
                format!("platform up: {platform_up}, {service_count} services, at {at:?}");
            assert!(servers.all(|server| server.evacuated), "{description}");
        }
    }
}

/// Guards against an outdated source whose records restore a withdrawn evacuation or withdraw a
/// current one.
#[test]
fn outdated_records_do_not_change_an_evacuation() {
    let mut fleet = platform_with(1, 4);
    fleet.start(&name(0), zone(0));
    fleet.run(ms(5000));
    let page = |revision, body| {
        let records = vec![fixtures::record(revision, body)];
        Event::Page(Page { head: revision, records, ..Page::default() })
    };
    for (revision, body, evacuated) in [
        (1001, evacuation(ZONE), true),
        (1000, withdrawal(ZONE), true),
        (1003, withdrawal(ZONE), false),
        (1002, evacuation(ZONE), false),
    ] {
        fleet.handle_event(&name(0), page(revision, body));
        assert_eq!(evacuation_is_everywhere(&fleet, true), evacuated, "revision {revision}");
    }
}

/// Guards against an evacuation that was withdrawn after the platform lost its change history:
/// only a newer full listing shows the withdrawal.
#[test]
fn full_listing_without_the_evacuation_withdraws_it() {
    let mut fleet = platform_with(1, 4);
    fleet.start(&name(0), zone(0));
    fleet.run(ms(5000));
    fleet.publish_body(1000, evacuation(ZONE));
    fleet.run(ms(1000));
    assert!(evacuation_is_everywhere(&fleet, true));
    let node = &fleet.nodes[&name(0)];
    let is_not_evacuation = |record: &&Record| !matches!(record.body, Some(Body::Evacuation(_)));
    let records = node.machine.records().map(|(_, record)| &**record).filter(is_not_evacuation);
    let records = records.cloned().collect();
    for (head, evacuated) in [(999, true), (1001, false)] {
        let records = Vec::clone(&records);
        let page = Page { head, records, whole: true, ..Page::default() };
        fleet.handle_event(&name(0), Event::Page(page));
        assert_eq!(
            evacuation_is_everywhere(&fleet, true),
            evacuated,
            "full listing as of revision {head}"
        );
    }
}
