//! Test of a network partition between two groups of instances that later heals.

use ladder_schema::publication::record::Body;
use ladder_standin::layout::user::User;

use crate::fleet::call::{BAGMATI, ask, report_request};
use crate::fleet::load::Load;
use crate::fleet::watch::StatusMonitor;
use crate::fleet::{Fleet, count_alive, layout, wait_until};

/// The two sides of the partition, by instance number; the second side never reaches the platform.
const SIDES: [&[usize]; 2] = [&[0, 1], &[2, 3]];

/// Limit on the sum of all instances' connections to one server; fewer than two owners would like
/// to open.
const CONNECTIONS: u32 = 5;

/// Waits until both sides consider each other dead.
fn wait_until_split(fleet: &Fleet) {
    wait_until("both sides consider each other dead", || {
        SIDES
            .iter()
            .all(|side| side.iter().all(|&at| count_alive(&fleet.expect_status(at)) == side.len()))
    });
}

/// Guards against too many connections, double bookings and outdated catalogue entries in a network
/// partition. Each part of the fleet considers the other dead and continues to serve, so that every
/// service has two owners. An operator changes the catalogue while only one side can read it. After
/// the links are restored, the change is in force on all instances, and no instance has gone back
/// to an older revision.
#[test]
fn partitioned_fleet_serves_within_limits_and_converges() {
    let fleet = Fleet::start_edited(layout(User::Bagmati, 4), SIDES[1], |entry| {
        entry.limits.get_or_insert_default().connections = CONNECTIONS;
    });
    let watch = StatusMonitor::start(&fleet);
    let load = Load::mixed("mixed", &fleet.caller_addresses(), 8, fleet.shards(BAGMATI.index));
    load.wait_for_answers(50);
    fleet.cut(SIDES);
    wait_until_split(&fleet);
    check_sides_serve(&fleet);
    let changed = publish_to_one_side(&fleet);
    load.wait_for_answers(200);
    fleet.cut([&[], &[]]);
    fleet.wait_until_in_force(changed);
    fleet.wait_until_settled();
    load.wait_for_answers(50);
    fleet.check(&load.finish());
    watch.finish();
    fleet.check_connections();
    for at in fleet.running() {
        let key = format!("added-{at}");
        ask(&fleet.caller_address(at), report_request("added", &key))
            .check_complete(&fleet.index("report-desk"));
    }
}

/// Checks that each instance of both sides answers completely.
fn check_sides_serve(fleet: &Fleet) {
    let index = fleet.index(BAGMATI.index);
    for at in fleet.running() {
        ask(&fleet.caller_address(at), BAGMATI.sweep(&format!("split-{at}")))
            .check_complete(&index);
    }
}

/// Publishes a change that only the first side can receive now; returns its revision.
fn publish_to_one_side(fleet: &Fleet) -> u64 {
    let entry = fleet.entry("report-desk", "added");
    let changed = fleet.publish(vec![Body::Entry(entry)]);
    for &at in SIDES[0] {
        wait_until("the change is in force on the side of the platform", || {
            fleet.status(at).is_some_and(|status| status.revision >= changed)
        });
    }
    for &at in SIDES[1] {
        assert!(fleet.expect_status(at).revision < changed, "the change crossed the cut links");
    }
    changed
}
