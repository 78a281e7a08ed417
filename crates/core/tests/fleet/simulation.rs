//! Simulated fleets of many control machines: propagation of changes, and failures of instances,
//! links and the platform.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::Event;
use ladder_core::control::settings::{Listing, Timing};
use ladder_core::schema::publication::{Kind, Page, Record, State};
use ladder_core::schema::wire::Liveness;

use crate::fixtures;
use crate::harness::{Fleet, SimulatedInstance};

const ZONES: [&str; 3] = ["campanha", "sao-bento", "trindade"];
pub(crate) const TIMEOUT: Duration = Duration::from_secs(60);
const CONNECTION_LIMIT: u32 = 25;

pub(crate) fn name(number: usize) -> String {
    format!("entry-{number}")
}

pub(crate) fn zone(number: usize) -> &'static str {
    ZONES[number % ZONES.len()]
}

/// A platform that lists `count` instances, and `services` services of two servers each.
pub(crate) fn platform_with(count: usize, services: usize) -> Fleet {
    let services: Vec<String> = (0..services).map(|at| format!("gate-{at}")).collect();
    let mut bodies = Vec::new();
    for service in &services {
        bodies.push(fixtures::entry(service, 100));
        for replica in 0..2 {
            let server = format!("{service}-{replica}");
            bodies.push(fixtures::server(&server, service, 1, State::Live));
        }
    }
    let service_names: Vec<&str> = services.iter().map(String::as_str).collect();
    bodies.push(fixtures::index("docks", 1, &service_names));
    bodies.extend((0..count).map(|at| fixtures::instance(&name(at), zone(at), State::Live)));
    let mut fleet = Fleet::new();
    fleet.publish(fixtures::records(1, bodies));
    fleet
}

/// A fleet whose platform lists no instances, and the servers `docks-0` to `docks-19` of one
/// service. No instance runs yet.
pub(crate) fn observed_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.era = 1;
    fleet.sends_full_listing = true;
    fleet.listing = Listing::Observed;
    fleet.timing = Timing { contact: Duration::from_secs(4), ..Timing::default() };
    fleet.seeds = (0..3).map(|at| fixtures::address(&name(at))).collect();
    let server = |at: usize| fixtures::server(&format!("docks-{at}"), "docks", 1, State::Live);
    fleet.publish(fixtures::records(1, (0..20).map(server)));
    fleet
}

/// Whether an instance sends work to a server.
pub(crate) fn takes_work(node: &SimulatedInstance, server: &str) -> bool {
    let services = node.machine.view().services.values();
    let mut servers = services.flat_map(|service| &service.servers);
    servers.any(|found| &*found.name == server && found.takes_work())
}

/// A fleet with this platform, in which all instances are running and ready.
pub(crate) fn ready_fleet(count: usize, services: usize) -> Fleet {
    ready_fleet_with(count, services, Timing::default())
}

/// A fleet with these time spans, in which all instances are running and ready.
pub(crate) fn ready_fleet_with(count: usize, services: usize, timing: Timing) -> Fleet {
    let mut fleet = platform_with(count, services);
    fleet.timing = timing;
    for at in 0..count {
        fleet.start(&name(at), zone(at));
    }
    fleet.run_until("all ready", TIMEOUT, all_ready);
    fleet.run(Duration::from_secs(5));
    fleet
}

pub(crate) fn all_ready(fleet: &Fleet) -> bool {
    fleet.nodes.values().all(|node| node.machine.view().ready)
}

fn queue_limit(node: &SimulatedInstance, service: &str) -> Option<u32> {
    let service = node.machine.view().service(service)?;
    Some(service.entry.limits?.queue)
}

/// Whether all instances have the service's entry with this queue limit in force.
pub(crate) fn queue_limit_in_force(fleet: &Fleet, service: &str, limit: u32) -> bool {
    fleet.nodes.values().all(|node| queue_limit(node, service) == Some(limit))
}

fn owner_name(node: &SimulatedInstance, service: &str) -> Option<Arc<str>> {
    let owner = node.machine.view().service(service)?.owner()?;
    Some(Arc::clone(&owner.peer.name))
}

/// Whether each service has an owner, and no other instance considers `name` the owner of any
/// service.
pub(crate) fn owns_nothing(fleet: &Fleet, name: &str) -> bool {
    let others = fleet.nodes.iter().filter(|(other, _)| *other != name);
    others.map(|(_, node)| node.machine.view()).all(|view| {
        let services = view.services.values();
        let mut owners = services.map(|service| service.owner());
        owners.all(|owner| owner.is_some_and(|owner| *owner.peer.name != *name))
    })
}

/// Whether all instances agree on a live owner for each service.
pub(crate) fn owners_agree(fleet: &Fleet) -> bool {
    let owner_names = |node: &SimulatedInstance| -> Vec<_> {
        let view = node.machine.view();
        let mut services: Vec<_> = view.services.values().collect();
        services.sort_by_key(|service| &service.name);
        let owners = services.iter().map(|service| service.owner());
        owners.map(|owner| owner.map(|owner| Arc::clone(&owner.peer.name))).collect()
    };
    let mut all = fleet.nodes.values().map(owner_names);
    let first = all.next().expect("the fleet has an instance");
    first.iter().all(Option::is_some) && all.all(|other| other == first)
}

pub(crate) fn assert_connection_limits(fleet: &Fleet) {
    for (server, &largest_total) in &fleet.max_total_shares {
        assert!(
            largest_total <= CONNECTION_LIMIT,
            "{server}: shares of {largest_total} connections"
        );
    }
}

fn changed_entry(revision: u64, queue: u32) -> Record {
    fixtures::record(revision, fixtures::entry("gate-3", queue))
}

/// An answer of the platform to a watch that contains the change.
fn page_with_change(revision: u64, queue: u32) -> Event {
    Event::Page(Page {
        head: revision,
        records: vec![changed_entry(revision, queue)],
        ..Page::default()
    })
}

/// A catalogue change reaches one instance before the platform fails. It must be in force on all 24
/// instances before half a digest period has passed, because each instance forwards records that
/// are new to it.
#[test]
fn change_spreads_without_the_platform() {
    let mut fleet = ready_fleet(24, 20);
    fleet.stop_platform();
    fleet.run(Duration::from_secs(1));
    fleet.handle_event(&name(5), page_with_change(1000, 7));
    fleet.run_until("change everywhere", Duration::from_millis(500), |fleet| {
        queue_limit_in_force(fleet, "gate-3", 7)
    });
}

/// The frames with a change are lost on most links. Digests must detect the difference and repair
/// it.
#[test]
fn digests_recover_lost_changes() {
    let mut fleet = ready_fleet(9, 4);
    fleet.stop_platform();
    fleet.partition_side = (0..1).map(name).collect();
    fleet.handle_event(&name(0), page_with_change(1000, 7));
    fleet.run(Duration::from_millis(100));
    fleet.partition_side.clear();
    fleet.run_until("change everywhere", Duration::from_secs(7), |fleet| {
        queue_limit_in_force(fleet, "gate-3", 7)
    });
}

/// An owner is killed. When its connections break, every other instance moves its services to the
/// next candidate; if the connections only go silent, the move takes longer by the failure
/// detection timeouts.
#[test]
fn services_of_a_dead_owner_move_to_the_next_candidate() {
    for (break_links, bound) in [(true, 50), (false, 2500)] {
        let mut fleet = ready_fleet(9, 20);
        let dead_owner = owner_name(&fleet.nodes[&name(0)], "gate-0").expect("owned");
        fleet.kill(&dead_owner, break_links);
        let bound = Duration::from_millis(bound);
        fleet.run_until("moved", bound, |fleet| owns_nothing(fleet, &dead_owner));
        fleet.run_until("agreed", TIMEOUT, owners_agree);
        assert_connection_limits(&fleet);
    }
}

/// All instances of a zone fail. Both other zones have candidates with connection shares of every
/// server.
#[test]
fn services_survive_the_loss_of_a_zone() {
    let mut fleet = ready_fleet(24, 20);
    let lost_instances: Vec<String> = (0..24).filter(|at| at % 3 == 1).map(name).collect();
    for name in &lost_instances {
        fleet.kill(name, false);
    }
    fleet.run_until("moved", Duration::from_secs(5), |fleet| {
        lost_instances.iter().all(|name| owns_nothing(fleet, name))
    });
    fleet.run_until("agreed", TIMEOUT, owners_agree);
    assert_connection_limits(&fleet);
}

/// A network partition splits the fleet in two, and the platform answers neither half. Each half
/// serves on its own, different changes reach each half, and after the partition the newer one must
/// be in force on all instances.
#[test]
fn partitioned_halves_serve_and_then_adopt_the_newer_catalogue() {
    let mut fleet = ready_fleet(24, 20);
    fleet.stop_platform();
    fleet.partition_side = (0..10).map(name).collect();
    fleet.run(Duration::from_secs(20));
    for (instance_name, node) in &fleet.nodes {
        let on_this_side = fleet.partition_side.contains(instance_name);
        for service in node.machine.view().services.values() {
            let owner = service.owner().expect("an owner on this side");
            assert_eq!(
                fleet.partition_side.contains(&*owner.peer.name),
                on_this_side,
                "{instance_name}"
            );
        }
    }
    fleet.handle_event(&name(3), page_with_change(1000, 7));
    fleet.handle_event(&name(20), page_with_change(1001, 8));
    fleet.run(Duration::from_secs(5));
    assert_eq!(queue_limit(&fleet.nodes[&name(1)], "gate-3"), Some(7));
    fleet.partition_side.clear();
    fleet.run_until("newer everywhere", TIMEOUT, |fleet| queue_limit_in_force(fleet, "gate-3", 8));
    fleet.run_until("agreed", TIMEOUT, owners_agree);
    assert_connection_limits(&fleet);
}

/// An instance drains. All others must stop giving it work long before the platform lists it as
/// leaving.
#[test]
fn draining_instance_gets_no_new_work() {
    let mut fleet = ready_fleet(24, 20);
    fleet.stop_platform();
    let leaving = owner_name(&fleet.nodes[&name(0)], "gate-0").expect("owned");
    fleet.handle_event(&leaving, Event::Drain);
    fleet.run_until("left", Duration::from_secs(1), |fleet| owns_nothing(fleet, &leaving));
    fleet.run(Duration::from_secs(10));
    assert!(owns_nothing(&fleet, &leaving), "the instance must not get work again");
}

/// One instance sees that a server is leaving while the platform is down. Soon all instances must
/// know it, even those that were cut off meanwhile.
#[test]
fn leaving_server_is_known_to_all_instances() {
    let mut fleet = ready_fleet(9, 4);
    fleet.stop_platform();
    fleet.partition_side = (0..2).map(name).collect();
    let seen = Event::ServerLeaving { server: "gate-0-1".into(), incarnation: 1 };
    fleet.handle_event(&name(5), seen);
    fleet.run(Duration::from_secs(2));
    fleet.partition_side.clear();
    fleet.run_until("known", Duration::from_secs(15), |fleet| {
        let lists_server_as_leaving = |node: &SimulatedInstance| {
            let view = node.machine.view();
            let service = view.service("gate-0").expect("known");
            service.servers[1].leaving && !service.servers[0].leaving
        };
        fleet.nodes.values().all(lists_server_as_leaving)
    });
}

/// A process is paused for 30 s and considered dead meanwhile; when it resumes, old frames are
/// queued. It must not declare the others dead, and soon all must consider it alive again.
#[test]
fn paused_process_rejoins_without_declaring_others_dead() {
    let mut fleet = ready_fleet(9, 20);
    let paused = owner_name(&fleet.nodes[&name(0)], "gate-0").expect("owned");
    fleet.pause(&paused);
    fleet.run(Duration::from_secs(30));
    assert!(owns_nothing(&fleet, &paused));
    fleet.resume(&paused, Duration::from_secs(30));
    let mut members = fleet.nodes[&*paused].machine.members();
    assert!(members.all(|member| member.liveness == Liveness::Alive));
    drop(members);
    fleet.run_until("agreed", Duration::from_secs(5), owners_agree);
    assert_eq!(owner_name(&fleet.nodes[&name(0)], "gate-0"), Some(paused));
}

/// A new process starts while the platform has been restored from an old copy. Its peers have newer
/// records, and neither it nor they may go back to the old ones.
#[test]
fn stale_platform_does_not_restore_old_records() {
    let mut fleet = ready_fleet(9, 4);
    fleet.publish([
        changed_entry(1000, 7),
        fixtures::record(1001, fixtures::tombstone(Kind::Entry, "gate-0")),
    ]);
    fleet.run(Duration::from_secs(5));
    fleet.stop_platform();
    fleet.restore_platform(500);
    fleet.kill(&name(2), true);
    fleet.incarnation = 2;
    fleet.seeds = (0..9).map(|at| fixtures::address(&name(at))).collect();
    fleet.start(&name(2), zone(2));
    fleet.run_until("ready", TIMEOUT, all_ready);
    fleet.run(Duration::from_secs(30));
    for node in fleet.nodes.values() {
        assert_eq!(queue_limit(node, "gate-3"), Some(7));
        assert!(node.machine.view().service("gate-0").is_none(), "withdrawn");
    }
}

/// The clock of a host is set back and its instance restarts, so that its incarnation is lower than
/// the last one known to its peers. The peers must consider it alive as soon as any other new
/// instance, not only when they have forgotten its predecessor.
#[test]
fn restart_with_clock_set_back_is_alive_to_peers_soon() {
    let mut fleet = ready_fleet(9, 4);
    fleet.seeds = vec![fixtures::address(&name(0))];
    for incarnation in [9, 2] {
        fleet.kill(&name(2), true);
        fleet.incarnation = incarnation;
        fleet.start(&name(2), zone(2));
        fleet.run(Duration::from_secs(4));
        for observer in (0..9).filter(|observer| *observer != 2) {
            let mut members = fleet.nodes[&name(observer)].machine.members();
            let member = members.find(|member| *member.name == *name(2));
            let liveness = member.map(|member| member.liveness);
            assert_eq!(liveness, Some(Liveness::Alive), "incarnation {incarnation}, at {observer}");
        }
    }
}

/// A new process starts while the platform is down. Its peers must send it all records.
#[test]
fn new_instance_gets_all_records_from_peers() {
    let mut fleet = ready_fleet(9, 4);
    fleet.stop_platform();
    fleet.seeds = vec![fixtures::address(&name(0))];
    fleet.start(&name(50), zone(50));
    fleet.run_until("ready", Duration::from_secs(5), all_ready);
    let view = Arc::clone(fleet.nodes[&name(50)].machine.view());
    assert_eq!(view.services.len(), 4);
    let mut servers = view.services.values().flat_map(|service| &service.servers);
    assert!(servers.all(|server| server.share == 0), "it is not published");
}

/// No source answers at the start: the instance must never become ready, and must keep asking.
#[test]
fn start_without_any_source_is_never_ready() {
    let mut fleet = Fleet::new();
    fleet.stop_platform();
    fleet.seeds = vec![fixtures::address("entry-7")];
    fleet.start(&name(0), zone(0));
    fleet.run(Duration::from_secs(120));
    let node = &fleet.nodes[&name(0)];
    assert!(!node.machine.view().ready);
    assert!(node.platform_reads >= 8, "{} reads", node.platform_reads);
    assert!(node.frames_sent >= 100, "{} frames", node.frames_sent);
}

/// In an idle fleet, neither the number of frames per instance nor the number of reads of the
/// platform may grow with the number of instances.
#[test]
fn idle_cost_per_instance_does_not_grow_with_the_fleet() {
    let frames_and_reads = |count: usize| {
        let mut fleet = ready_fleet(count, 8);
        fleet.run(Duration::from_secs(30));
        let sent = |fleet: &Fleet| fleet.nodes.values().map(|node| node.frames_sent).sum::<usize>();
        let reads =
            |fleet: &Fleet| fleet.nodes.values().map(|node| node.platform_reads).sum::<usize>();
        let (sent_before, reads_before) = (sent(&fleet), reads(&fleet));
        fleet.run(Duration::from_secs(10));
        (sent(&fleet) - sent_before, reads(&fleet) - reads_before)
    };
    let (small_fleet_frames, reads) = frames_and_reads(9);
    let (large_fleet_frames, large_fleet_reads) = frames_and_reads(36);
    assert!(
        large_fleet_frames <= small_fleet_frames * 4 * 11 / 10,
        "{small_fleet_frames} and {large_fleet_frames} frames"
    );
    // There are two readers in each of three zones, and none reads again before its last watch has
    // ended.
    let watch_wait = Timing::default().contact * 3 / 8;
    let max_reads = 6 * (10_000 / watch_wait.as_millis() as usize);
    assert!(
        large_fleet_reads <= reads && reads <= max_reads,
        "{reads} and {large_fleet_reads} reads in 10 s"
    );
}

/// Guards against a fleet that stays split: after a network partition each side considered the
/// other dead, and without a published list of instances neither sent the first frame.
#[test]
fn halves_of_an_observed_fleet_meet_again() {
    for partition in [Duration::from_secs(6), Duration::from_secs(60)] {
        let mut fleet = Fleet::new();
        fleet.listing = Listing::Observed;
        fleet.sends_full_listing = true;
        fleet.seeds = (0..3).map(|at| fixtures::address(&name(at))).collect();
        fleet.publish([fixtures::record(1, fixtures::routes(1))]);
        for at in 0..9 {
            fleet.start(&name(at), zone(at));
        }
        fleet.run_until("ready", TIMEOUT, all_ready);
        fleet.partition_side = (0..4).map(name).collect();
        fleet.run(partition);
        fleet.partition_side.clear();
        fleet.run_until("all are alive to each other", Duration::from_secs(20), |fleet| {
            fleet.nodes.values().all(|node| {
                let alive = node.machine.members();
                alive.filter(|member| member.liveness == Liveness::Alive).count() == 8
            })
        });
    }
}
