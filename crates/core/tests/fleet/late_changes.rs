//! Acknowledged changes must be in force at every instance within the bound, and stay in force,
//! whatever part of the fleet misses them at first.

use std::time::Duration;

use ladder_core::control::settings::{Listing, Timing};
use ladder_core::schema::publication::{Record, State};

use crate::fixtures;
use crate::harness::{Fleet, SimulatedInstance};
use crate::simulation::{TIMEOUT, all_ready, name, zone};

/// Maximum time after the acknowledgement of a change until it must be in force at every instance.
const APPLY: Duration = Duration::from_secs(3);
/// Maximum time after the platform's return until an instance must know its records.
const CONTACT: Duration = Duration::from_secs(4);
/// Highest revision of the fleets at the start of a case.
const HEAD: u64 = 100;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn routes(revision: u64, version: u64) -> Record {
    fixtures::record(revision, fixtures::routes(version))
}

fn server_change(revision: u64, number: u64) -> Record {
    let name = format!("docks-{}", number % 20);
    fixtures::record(revision, fixtures::server(&name, "docks", 1 + number, State::Live))
}

/// A fleet with version 22 of the routes in force at every instance, as the highest revision.
fn ready_fleet(instances: usize, era: u64) -> Fleet {
    ready_fleet_in(zone, instances, era)
}

/// As [`ready_fleet`], with the zone of each instance.
fn ready_fleet_in(zone: fn(usize) -> &'static str, instances: usize, era: u64) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.era = era;
    fleet.sends_full_listing = true;
    fleet.listing = Listing::Observed;
    fleet.timing = Timing { contact: CONTACT, ..Timing::default() };
    fleet.seeds = (0..3).map(|at| fixtures::address(&name(at))).collect();
    fleet.publish((1..=20).map(|number| server_change(number, number)));
    fleet.publish([routes(HEAD, 22)]);
    for at in 0..instances {
        fleet.start(&name(at), zone(at));
    }
    fleet.run_until("all ready", TIMEOUT, all_ready);
    fleet.run(Duration::from_secs(5));
    assert_eq!(outdated(&fleet, 22), Vec::<String>::new());
    fleet
}

fn version(node: &SimulatedInstance) -> u64 {
    node.machine.view().routing.as_ref().map_or(0, |routing| routing.version)
}

/// Instances that do not have this version of the routes in force.
fn outdated(fleet: &Fleet, newest: u64) -> Vec<String> {
    let nodes = fleet.nodes.iter().filter(|(_, node)| version(node) != newest);
    nodes.map(|(name, node)| format!("{name} has {}", version(node))).collect()
}

/// Instances whose views went back to an older version of the routes.
fn steps_back(fleet: &Fleet) -> Vec<String> {
    let goes_back = |node: &SimulatedInstance| {
        let routings = node.views.iter().filter_map(|(_, view)| view.routing.as_ref());
        let versions: Vec<u64> = routings.map(|routing| routing.version).collect();
        !versions.is_sorted()
    };
    let nodes = fleet.nodes.iter().filter(|(_, node)| goes_back(node));
    nodes.map(|(name, _)| name.clone()).collect()
}

struct LateWrite {
    description: &'static str,
    /// Revisions and versions of the routes, in the order in which the store carries them out.
    written: &'static [(u64, u64)],
    newest: u64,
}

/// Guards against instances that go back to older routes because the store carried out an earlier
/// write of them again, or late, after it had acknowledged a newer version.
#[test]
fn late_write_of_an_older_version_does_not_replace_a_newer_one() {
    let cases = [
        LateWrite {
            description: "an older version again",
            written: &[(101, 25), (102, 29), (103, 25)],
            newest: 29,
        },
        LateWrite {
            description: "a version that was never in force",
            written: &[(101, 29), (102, 26)],
            newest: 29,
        },
        LateWrite {
            description: "a newer version follows",
            written: &[(101, 29), (102, 26), (103, 33)],
            newest: 33,
        },
        LateWrite {
            description: "two late writes in falling order",
            written: &[(101, 33), (102, 29), (103, 26)],
            newest: 33,
        },
    ];
    for LateWrite { description, written, newest } in cases {
        for (instances, era) in [(1, 0), (9, 0), (9, 1), (24, 0)] {
            let mut fleet = ready_fleet(instances, era);
            for &(revision, version) in written {
                fleet.publish([routes(revision, version)]);
                fleet.run(ms(300));
            }
            fleet.run(APPLY);
            let description = format!("{description}, {instances} instances, era {era}");
            assert_eq!(steps_back(&fleet), Vec::<String>::new(), "{description}");
            assert_eq!(outdated(&fleet, newest), Vec::<String>::new(), "{description}");
        }
    }
}

/// Guards against an instance that starts while the store holds an older version than its peers
/// have in force, and against instances that send each other their versions for ever.
#[test]
fn starting_instance_takes_the_newer_version_of_its_peers() {
    for era in [0, 1] {
        let mut fleet = ready_fleet(9, era);
        fleet.publish([routes(101, 29)]);
        fleet.run(APPLY);
        fleet.publish([routes(102, 26)]);
        fleet.run(APPLY);
        fleet.incarnation += 1;
        fleet.kill(&name(4), true);
        fleet.start(&name(4), zone(4));
        fleet.run(APPLY);
        assert_eq!(outdated(&fleet, 29), Vec::<String>::new(), "era {era}");
        let log_length = fleet.action_log.len();
        fleet.run(Duration::from_secs(10));
        let lines = fleet.action_log[log_length..].iter();
        let sent: Vec<&String> = lines.filter(|line| line.contains("records")).collect();
        assert!(sent.is_empty(), "era {era}: records are still exchanged: {sent:#?}");
    }
}

/// Publishes a change of a server every 260 ms for a time.
fn change_servers(fleet: &mut Fleet, span: Duration) {
    let end = fleet.now + span;
    while fleet.now < end {
        let revision = fleet.head() + 1;
        fleet.publish([server_change(revision, revision)]);
        fleet.run(ms(260));
    }
}

/// Guards against an instance that misses a change and stays without it while other records change:
/// each change made its difference look like one that was still spreading.
#[test]
fn missed_change_is_repaired_while_other_records_change() {
    let mut late_instances = Vec::new();
    let mut fleet = ready_fleet(83, 0);
    for (version, missed) in (23..).zip((3..83).step_by(7)) {
        change_servers(&mut fleet, ms(1000));
        fleet.without_peer_records.insert(name(missed));
        let revision = fleet.head() + 1;
        fleet.publish([routes(revision, version)]);
        fleet.run(ms(260));
        fleet.without_peer_records.clear();
        change_servers(&mut fleet, APPLY - ms(260));
        late_instances.extend(outdated(&fleet, version));
    }
    assert!(late_instances.is_empty(), "late instances: {late_instances:#?}");
}

/// What an instance does not receive while it can reach the platform.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// All frames of all peers.
    Peers,
    /// Frames of the peers that carry records or digests. All others arrive, and with them the time
    /// of the platform's last answer.
    PeerRecords,
    /// All frames of all peers but those that are cut off together with it, none of them a reader.
    PeersOfAGroup,
    /// Its zone's readers end, without a notice, at the moment of the change.
    Readers,
}

/// Guards against an instance that could read a change from the platform, but waits for peers that
/// do not send it.
#[test]
fn instance_that_can_reach_the_platform_has_changes_in_time() {
    let mut late_instances = Vec::new();
    for loss in [Loss::Peers, Loss::PeerRecords, Loss::PeersOfAGroup, Loss::Readers] {
        let small = [0, 300, 900, 1700, 2600, 6000].map(|since_loss| (9, since_loss));
        let large = [0, 900, 2600].map(|since_loss| (83, since_loss));
        for (phase, (instances, since_loss)) in small.into_iter().chain(large).enumerate() {
            let mut fleet = ready_fleet(instances, 0);
            fleet.run(ms(phase as u64 * 230));
            let is_reader = |name: &String| fleet.nodes[name].machine.is_reader();
            let names: Vec<String> = fleet.nodes.keys().cloned().collect();
            let (readers, others): (Vec<_>, Vec<_>) = names.into_iter().partition(is_reader);
            match loss {
                Loss::Peers => fleet.partition_side.extend(others.last().cloned()),
                Loss::PeerRecords => {
                    fleet.without_peer_records.extend(others.last().cloned());
                }
                Loss::PeersOfAGroup => {
                    fleet.partition_side.extend(others.iter().take(instances / 4).cloned());
                }
                Loss::Readers => readers.iter().take(2).for_each(|name| fleet.kill(name, false)),
            }
            fleet.run(ms(since_loss));
            fleet.publish([routes(HEAD + 1, 25)]);
            fleet.run(APPLY);
            let late = outdated(&fleet, 25);
            if !late.is_empty() {
                let case = format!("{loss:?}, {instances} instances, after {since_loss} ms");
                late_instances.push(format!("{case}: {} late, {}", late.len(), late[0]));
            }
        }
    }
    assert!(late_instances.is_empty(), "late instances: {late_instances:#?}");
}

/// Guards against instances that read the platform although nothing is wrong, because in a large
/// zone they learn too late of the readers' answers.
#[test]
fn idle_instances_of_a_large_zone_leave_reading_to_the_readers() {
    let mut fleet = ready_fleet_in(|_| "campanha", 100, 0);
    let reads = |fleet: &Fleet| {
        let others = fleet.nodes.values().filter(|node| !node.machine.is_reader());
        others.map(|node| node.platform_reads).sum::<usize>()
    };
    let before = reads(&fleet);
    fleet.run(Duration::from_secs(10));
    assert_eq!(reads(&fleet) - before, 0);
}

/// Guards against instances that keep lost routes, or none, because instances ended, started without
/// memory or were cut off from their peers while the store was restored from a copy.
#[test]
fn change_after_a_drill_beside_other_losses_is_in_force_in_time() {
    for instances in [9, 83] {
        let mut fleet = ready_fleet(instances, 1);
        fleet.publish([routes(HEAD + 1, 25)]);
        fleet.run(ms(100));
        fleet.stop_platform();
        fleet.incarnation += 1;
        let lost: Vec<usize> = (0..instances).filter(|at| at % 3 == 1).collect();
        lost.iter().for_each(|&at| fleet.kill(&name(at), false));
        fleet.partition_side.extend((0..instances).filter(|at| at % 5 == 2).map(name));
        fleet.run(ms(1500));
        fleet.drill(HEAD);
        lost.iter().for_each(|&at| fleet.start(&name(at), zone(at)));
        fleet.run(ms(500));
        fleet.publish([routes(HEAD + 1, 29)]);
        fleet.run(CONTACT);
        assert_eq!(steps_back(&fleet), Vec::<String>::new(), "{instances} instances");
        assert_eq!(outdated(&fleet, 29), Vec::<String>::new(), "{instances} instances");
    }
}
