//! Versions of the routes that fail validation.

use std::time::Duration;

use ladder_core::control::store::Refusal;
use ladder_core::schema::publication::{Routing, record::Body};

use crate::fixtures;
use crate::harness::{Fleet, SimulatedInstance};
use crate::simulation::{TIMEOUT, all_ready, name, observed_fleet, zone};

/// Number of bytes that an instance may send in a minute for control, at 7 KB a second.
const CONTROL_BYTES_PER_MINUTE: usize = 7_000 * 60;

/// Routes of one version that cannot be read.
fn unreadable_routes(version: u64) -> Body {
    Body::Routing(Routing { version, defect: "no list".to_owned(), ..Routing::default() })
}

fn ready_fleet(size: usize) -> Fleet {
    let mut fleet = observed_fleet();
    fleet.publish_next([fixtures::routes(7)]);
    for at in 0..size {
        fleet.start(&name(at), zone(at));
    }
    fleet.run_until("all ready", TIMEOUT, all_ready);
    fleet.run(Duration::from_secs(5));
    fleet
}

fn refused_routes(fleet: &Fleet, node: &SimulatedInstance) -> Option<(u64, Duration)> {
    let refused = node.machine.refused_routes(fleet.now);
    refused.map(|(refusal, age): (&Refusal, _)| (refusal.version, age))
}

/// Number of reports of a refused version in the logs of all instances.
fn reports(fleet: &Fleet) -> usize {
    fleet.action_log.iter().filter(|line| line.contains("refused routing")).count()
}

/// Guards against a refused version that is reported once and then forgotten: every instance goes on
/// with older routes, is ready, and shows nothing.
#[test]
fn refused_version_is_reported_until_a_valid_one_is_in_force() {
    let mut fleet = ready_fleet(1);
    fleet.publish_next([unreadable_routes(8)]);
    fleet.run(Duration::from_secs(10));
    fleet.publish_next([unreadable_routes(9)]);
    fleet.run(Duration::from_secs(120));
    let node = &fleet.nodes[&name(0)];
    let (version, age) = refused_routes(&fleet, node).expect("a refused version");
    assert_eq!(version, 9);
    assert!((129..=131).contains(&age.as_secs()), "since the first refusal: {age:?}");
    assert_eq!(reports(&fleet), 4, "two versions, and twice again after a minute each");
    fleet.publish_next([fixtures::routes(10)]);
    fleet.run(Duration::from_secs(120));
    assert_eq!(refused_routes(&fleet, &fleet.nodes[&name(0)]), None);
    assert_eq!(reports(&fleet), 4, "none after a valid version");
}

/// Fleet in which every second instance refuses versions of the routes from 8 on, as a build with
/// narrower limits does.
fn fleet_of_two_builds(size: usize) -> Fleet {
    let mut fleet = ready_fleet(size);
    fleet.narrow_builds = (0..size).step_by(2).map(name).collect();
    fleet
}

/// Number of instances with routes of this version in force.
fn instances_with_routes(fleet: &Fleet, version: u64) -> usize {
    let routing = |node: &SimulatedInstance| node.machine.view().routing.clone();
    let versions = fleet.nodes.values().filter_map(|node| Some(routing(node)?.version));
    versions.filter(|found| *found == version).count()
}

/// Number of bytes that the fleet sends in a minute.
fn bytes_in_a_minute(fleet: &mut Fleet) -> usize {
    let before = fleet.bytes;
    fleet.run(Duration::from_secs(60));
    fleet.bytes - before
}

/// Guards against instances that exchange a version without end because one of their builds refuses
/// it, and against versions after it that do not come into force.
#[test]
fn version_that_one_build_refuses_is_not_exchanged_without_end() {
    for size in [2, 9, 24] {
        let mut fleet = fleet_of_two_builds(size);
        let before = bytes_in_a_minute(&mut fleet);
        fleet.publish_next([fixtures::long_routes(8, 200_000)]);
        fleet.run(Duration::from_secs(60));
        assert_eq!(instances_with_routes(&fleet, 8), size / 2, "{size} instances");
        let refused = bytes_in_a_minute(&mut fleet);
        let most = before + size * CONTROL_BYTES_PER_MINUTE;
        assert!(refused < most, "{size} instances: {refused} after {before}");
        fleet.narrow_builds.clear();
        fleet.publish_next([fixtures::routes(9)]);
        fleet.run(Duration::from_secs(3));
        assert_eq!(instances_with_routes(&fleet, 9), size, "{size} instances");
    }
}
