//! The platform's store is restored from a copy that lacks acknowledged changes, and gives their
//! revisions out again.

use std::time::Duration;

use ladder_core::control::settings::{Listing, Timing};
use ladder_core::schema::publication::{Record, State};

use crate::fixtures;
use crate::harness::{Fleet, SimulatedInstance};
use crate::simulation::{TIMEOUT, all_ready, name, zone};

/// Maximum time after the acknowledgement of a change until it must be in force at every instance.
const APPLY: Duration = Duration::from_secs(3);
/// Highest revision before the drill.
const HEAD: u64 = 57;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn routes(revision: u64, version: u64) -> Record {
    fixtures::record(revision, fixtures::routes(version))
}

/// A fleet with version 22 of the routes in force at every instance, as the highest revision.
fn fleet_before_drill(instances: usize) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.era = 1;
    fleet.sends_full_listing = true;
    fleet.listing = Listing::Observed;
    fleet.timing = Timing { contact: Duration::from_secs(4), ..Timing::default() };
    fleet.seeds = (0..3).map(|at| fixtures::address(&name(at))).collect();
    let server = |at: usize| fixtures::server(&format!("docks-{at}"), "docks", 1, State::Live);
    fleet.publish(fixtures::records(1, (0..20).map(server)));
    fleet.publish([routes(50, 19)]);
    for at in 0..instances {
        fleet.start(&name(at), zone(at));
    }
    fleet.run_until("all ready", TIMEOUT, all_ready);
    fleet.run(Duration::from_secs(3));
    fleet.publish([routes(HEAD, 22)]);
    fleet.run(APPLY);
    assert_eq!(versions(&fleet), vec![22; instances]);
    fleet
}

fn version(node: &SimulatedInstance) -> u64 {
    node.machine.view().routing.as_ref().map_or(0, |routing| routing.version)
}

/// Version of the routes in force at each instance.
fn versions(fleet: &Fleet) -> Vec<u64> {
    fleet.nodes.values().map(version).collect()
}

struct Change {
    description: &'static str,
    /// Highest revision of the copy that the store is restored from.
    copy: u64,
    /// Revisions and versions of the routes that are written after the drill.
    written: &'static [(u64, u64)],
}

/// Guards against changes that instances ignore because the store gave their revisions out before:
/// callers were handled by version 22 more than three seconds after version 25 was acknowledged.
#[test]
fn change_after_a_store_drill_is_in_force_in_time() {
    let changes = [
        Change {
            description: "the version is written again and a newer one follows, both below",
            copy: 53,
            written: &[(54, 22), (55, 25)],
        },
        Change {
            description: "the newer version has the revision of the one in force",
            copy: 55,
            written: &[(56, 22), (HEAD, 25)],
        },
        Change {
            description: "the store passes the highest revision before anybody reads",
            copy: 55,
            written: &[(56, 22), (HEAD, 25), (58, 25)],
        },
        Change {
            description: "the copy has the version in force",
            copy: HEAD,
            written: &[(58, 25)],
        },
    ];
    for Change { description, copy, written } in changes {
        for instances in [1, 9, 24] {
            let mut fleet = fleet_before_drill(instances);
            fleet.stop_platform();
            fleet.run(ms(2300));
            fleet.drill(copy);
            fleet.publish(written.iter().map(|&(revision, version)| routes(revision, version)));
            fleet.run(Duration::from_secs(4));
            let outdated = versions(&fleet).iter().filter(|&&version| version != 25).count();
            assert_eq!(outdated, 0, "{description}, {instances} instances");
        }
    }
}
