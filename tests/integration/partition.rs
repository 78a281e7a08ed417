//! The links between two groups of instances are cut, and mended.

use ladder_schema::publication::record::Body;
use ladder_standin::layout::user::User;

use crate::fleet::call::{BAGMATI, ask, report};
use crate::fleet::load::Load;
use crate::fleet::watch::Watch;
use crate::fleet::{Fleet, alive, layout, until};

/// The two sides; the second one never reaches the platform.
const SIDES: [&[usize]; 2] = [&[0, 1], &[2, 3]];

/// Connections to each server in the sum: fewer than two owners would like to have.
const CONNECTIONS: u32 = 5;

/// Waits until both sides hold each other dead.
fn until_split(fleet: &Fleet) {
    until("both sides hold each other dead", || {
        SIDES.iter().all(|side| side.iter().all(|&at| alive(&fleet.view(at)) == side.len()))
    });
}

/// A switch between two zones fails; each part of the fleet holds the other dead and serves on by
/// itself, with two owners for every service. Targets would be swamped with connections and a
/// payout be looked up on both sides. An operator changes the catalogue while only one side can
/// read it. When the links mend, the change is in force everywhere and nothing has gone back.
#[test]
fn split_fleet() {
    let fleet = Fleet::start_edited(layout(User::Bagmati, 4), SIDES[1], |entry| {
        entry.limits.get_or_insert_default().connections = CONNECTIONS;
    });
    let watch = Watch::start(&fleet);
    let load = Load::mixed("mixed", &fleet.doors(), 8, fleet.shards(BAGMATI.index));
    load.until_more(50);
    fleet.cut(SIDES);
    until_split(&fleet);
    check_sides_serve(&fleet);
    let changed = publish_to_one_side(&fleet);
    load.until_more(200);
    fleet.cut([&[], &[]]);
    fleet.until_in_force(changed);
    fleet.settle();
    load.until_more(50);
    fleet.check(&load.finish());
    watch.finish();
    fleet.check_connections();
    for at in fleet.running() {
        let key = format!("added-{at}");
        ask(&fleet.door(at), report("added", &key)).check_complete(&fleet.index("report-desk"));
    }
}

/// Each instance of both sides answers completely.
fn check_sides_serve(fleet: &Fleet) {
    let index = fleet.index(BAGMATI.index);
    for at in fleet.running() {
        ask(&fleet.door(at), BAGMATI.sweep(&format!("split-{at}"))).check_complete(&index);
    }
}

/// Publishes a change that only the first side can learn now; gives its revision.
fn publish_to_one_side(fleet: &Fleet) -> u64 {
    let entry = fleet.entry("report-desk", "added");
    let changed = fleet.publish(vec![Body::Entry(entry)]);
    for &at in SIDES[0] {
        until("the change is in force on the side of the platform", || {
            fleet.status(at).is_some_and(|status| status.revision >= changed)
        });
    }
    for &at in SIDES[1] {
        assert!(fleet.view(at).revision < changed, "the cut does not hold");
    }
    changed
}
