//! Network partition between two groups of instances, and its repair.

use ladder_schema::publication::record::Body;
use ladder_standin::layout::user::User;

use crate::fleet::call::{BAGMATI, report_desk_request, send_request};
use crate::fleet::load::CallerLoad;
use crate::fleet::watch::StatusMonitor;
use crate::fleet::{Fleet, alive_count, small_layout, wait_until};

/// Numbers of the instances on the two sides of the partition; those of the second side never reach
/// the platform.
const SIDES: [&[usize]; 2] = [&[0, 1], &[2, 3]];

/// Limit on all connections to one server, lower than the number that two owners together would
/// open.
const CONNECTION_LIMIT: u32 = 5;

/// Waits until each side of the partition considers the other dead.
fn wait_until_partitioned(fleet: &Fleet) {
    wait_until("both sides consider each other dead", || {
        SIDES.iter().all(|side| {
            side.iter().all(|&instance| alive_count(&fleet.expect_status(instance)) == side.len())
        })
    });
}

/// Guards against failures during a network partition between two zones. Each side considers the
/// other dead and continues to serve, so every service has two owners: they could open too many
/// connections to the servers, or run a booking on both sides. An operator changes the catalogue
/// while only one side can read it. After the links are restored, the change must be in force on
/// every instance, and no revision may have decreased.
#[test]
fn partitioned_fleet_keeps_serving_and_applies_changes_after_repair() {
    let fleet = Fleet::start_with(small_layout(User::Bagmati, 4), SIDES[1], |entry| {
        entry.limits.get_or_insert_default().connections = CONNECTION_LIMIT;
    });
    let monitor = StatusMonitor::start(&fleet);
    let load = CallerLoad::start_mixed(
        "mixed",
        &fleet.caller_addresses(),
        8,
        fleet.shard_names(BAGMATI.index),
    );
    load.wait_for_answers(50);
    fleet.cut_links(SIDES);
    wait_until_partitioned(&fleet);
    check_both_sides_serve(&fleet);
    let changed_revision = publish_to_one_side(&fleet);
    load.wait_for_answers(200);
    fleet.cut_links([&[], &[]]);
    fleet.wait_for_revision(changed_revision);
    fleet.wait_until_settled();
    load.wait_for_answers(50);
    fleet.check_exchanges(&load.stop_and_collect());
    monitor.stop_and_collect();
    fleet.check_connection_limits();
    for instance in fleet.running_instances() {
        let key = format!("added-{instance}");
        send_request(&fleet.caller_address(instance), report_desk_request("added", &key))
            .check_complete(&fleet.published_index("report-desk"));
    }
}

/// Checks that each instance on both sides answers a sweep completely.
fn check_both_sides_serve(fleet: &Fleet) {
    let index = fleet.published_index(BAGMATI.index);
    for instance in fleet.running_instances() {
        send_request(&fleet.caller_address(instance), BAGMATI.sweep(&format!("split-{instance}")))
            .check_complete(&index);
    }
}

/// Publishes a change that only the first side can read during the partition; returns its revision.
fn publish_to_one_side(fleet: &Fleet) -> u64 {
    let entry = fleet.entry_with_operation("report-desk", "added");
    let changed_revision = fleet.publish(vec![Body::Entry(entry)]);
    for &instance in SIDES[0] {
        wait_until("the change is in force on the side that reaches the platform", || {
            fleet.status(instance).is_some_and(|status| status.revision >= changed_revision)
        });
    }
    for &instance in SIDES[1] {
        assert!(
            fleet.expect_status(instance).revision < changed_revision,
            "an instance on the other side received the change despite the partition"
        );
    }
    changed_revision
}
