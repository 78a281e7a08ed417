//! Many control machines in concert.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::Event;
use ladder_core::control::settings::Timing;
use ladder_core::schema::publication::{Kind, Page, Record, State};
use ladder_core::schema::wire::Liveness;

use crate::harness::{Fleet, Node};
use crate::publish;

const ZONES: [&str; 3] = ["campanha", "sao-bento", "trindade"];
pub(crate) const BOUND: Duration = Duration::from_secs(60);
const LIMIT: u32 = 25;

pub(crate) fn name(number: usize) -> String {
    format!("entry-{number}")
}

pub(crate) fn zone(number: usize) -> &'static str {
    ZONES[number % ZONES.len()]
}

/// A platform that lists `count` instances and `services` services of two servers each.
pub(crate) fn platform(count: usize, services: usize) -> Fleet {
    let services: Vec<String> = (0..services).map(|at| format!("gate-{at}")).collect();
    let mut bodies = Vec::new();
    for service in &services {
        bodies.push(publish::entry(service, 100));
        for replica in 0..2 {
            let server = format!("{service}-{replica}");
            bodies.push(publish::server(&server, service, 1, State::Live));
        }
    }
    let names: Vec<&str> = services.iter().map(String::as_str).collect();
    bodies.push(publish::index("docks", 1, &names));
    bodies.extend((0..count).map(|at| publish::instance(&name(at), zone(at), State::Live)));
    let mut fleet = Fleet::new();
    fleet.publish(publish::records(1, bodies));
    fleet
}

/// The same with all instances running and ready.
pub(crate) fn fleet(count: usize, services: usize) -> Fleet {
    fleet_of(count, services, Timing::default())
}

/// The same with these time spans.
pub(crate) fn fleet_of(count: usize, services: usize, timing: Timing) -> Fleet {
    let mut fleet = platform(count, services);
    fleet.timing = timing;
    for at in 0..count {
        fleet.start(&name(at), zone(at));
    }
    fleet.until("all ready", BOUND, all_ready);
    fleet.run(Duration::from_secs(5));
    fleet
}

pub(crate) fn all_ready(fleet: &Fleet) -> bool {
    fleet.nodes.values().all(|node| node.machine.view().ready)
}

fn queue(node: &Node, service: &str) -> Option<u32> {
    let service = node.machine.view().service(service)?;
    Some(service.entry.limits?.queue)
}

/// All instances hold the entry of the service with this queue limit.
pub(crate) fn in_force(fleet: &Fleet, service: &str, limit: u32) -> bool {
    fleet.nodes.values().all(|node| queue(node, service) == Some(limit))
}

fn owner(node: &Node, service: &str) -> Option<Arc<str>> {
    let owner = node.machine.view().service(service)?.owner()?;
    Some(Arc::clone(&owner.peer.name))
}

/// No instance holds `name` for the owner of any service, and each service has an owner.
pub(crate) fn nobody_uses(fleet: &Fleet, name: &str) -> bool {
    let others = fleet.nodes.iter().filter(|(other, _)| *other != name);
    others.map(|(_, node)| node.machine.view()).all(|view| {
        let services = view.services.values();
        let mut owners = services.map(|service| service.owner());
        owners.all(|owner| owner.is_some_and(|owner| *owner.peer.name != *name))
    })
}

/// All instances name the same live owner for each service.
pub(crate) fn agreed(fleet: &Fleet) -> bool {
    let names = |node: &Node| -> Vec<_> {
        let view = node.machine.view();
        let mut services: Vec<_> = view.services.values().collect();
        services.sort_by_key(|service| &service.name);
        let owners = services.iter().map(|service| service.owner());
        owners.map(|owner| owner.map(|owner| Arc::clone(&owner.peer.name))).collect()
    };
    let mut all = fleet.nodes.values().map(names);
    let first = all.next().expect("a node");
    first.iter().all(Option::is_some) && all.all(|other| other == first)
}

pub(crate) fn assert_caps(fleet: &Fleet) {
    for (server, &most) in &fleet.most_shares {
        assert!(most <= LIMIT, "{server}: {most} connections");
    }
}

fn change(revision: u64, queue: u32) -> Record {
    publish::record(revision, publish::entry("gate-3", queue))
}

/// The change as the platform's answer to a watch.
fn page(revision: u64, queue: u32) -> Event {
    Event::Page(Page { head: revision, records: vec![change(revision, queue)], ..Page::default() })
}

/// A catalogue change that reached one instance before the platform went down is in force on all
/// 24 instances before half a digest period has passed, as each passes on what is news to it.
#[test]
fn change_spreads_without_the_platform() {
    let mut fleet = fleet(24, 20);
    fleet.silence_platform();
    fleet.run(Duration::from_secs(1));
    fleet.give(&name(5), page(1000, 7));
    fleet.until("change everywhere", Duration::from_millis(500), |fleet| {
        in_force(fleet, "gate-3", 7)
    });
}

/// The frames that carry a change are lost on most links. Digests find the difference.
#[test]
fn digests_repair_lost_news() {
    let mut fleet = fleet(9, 4);
    fleet.silence_platform();
    fleet.island = (0..1).map(name).collect();
    fleet.give(&name(0), page(1000, 7));
    fleet.run(Duration::from_millis(100));
    fleet.island.clear();
    fleet.until("change everywhere", Duration::from_secs(7), |fleet| in_force(fleet, "gate-3", 7));
}

/// An owner is killed. Its links break, and every other instance gives its services to the next
/// candidate; with silent links that takes the window of silence longer.
#[test]
fn services_of_a_dead_owner_move() {
    for (links, bound) in [(true, 50), (false, 2500)] {
        let mut fleet = fleet(9, 20);
        let dead = owner(&fleet.nodes[&name(0)], "gate-0").expect("owned");
        fleet.kill(&dead, links);
        let bound = Duration::from_millis(bound);
        fleet.until("moved", bound, |fleet| nobody_uses(fleet, &dead));
        fleet.until("agreed", BOUND, agreed);
        assert_caps(&fleet);
    }
}

/// A whole zone goes. Both other zones hold candidates with shares of every server.
#[test]
fn services_survive_a_zone() {
    let mut fleet = fleet(24, 20);
    let lost: Vec<String> = (0..24).filter(|at| at % 3 == 1).map(name).collect();
    for name in &lost {
        fleet.kill(name, false);
    }
    fleet.until("moved", Duration::from_secs(5), |fleet| {
        lost.iter().all(|name| nobody_uses(fleet, name))
    });
    fleet.until("agreed", BOUND, agreed);
    assert_caps(&fleet);
}

/// The fleet is cut in two, with the platform on neither side. Each side serves alone, a change
/// reaches one side, and when the cut heals it is in force everywhere.
#[test]
fn halves_serve_and_the_newer_catalogue_wins() {
    let mut fleet = fleet(24, 20);
    fleet.silence_platform();
    fleet.island = (0..10).map(name).collect();
    fleet.run(Duration::from_secs(20));
    for (own, node) in &fleet.nodes {
        let side = fleet.island.contains(own);
        for service in node.machine.view().services.values() {
            let owner = service.owner().expect("an owner on this side");
            assert_eq!(fleet.island.contains(&*owner.peer.name), side, "{own}");
        }
    }
    fleet.give(&name(3), page(1000, 7));
    fleet.give(&name(20), page(1001, 8));
    fleet.run(Duration::from_secs(5));
    assert_eq!(queue(&fleet.nodes[&name(1)], "gate-3"), Some(7));
    fleet.island.clear();
    fleet.until("newer everywhere", BOUND, |fleet| in_force(fleet, "gate-3", 8));
    fleet.until("agreed", BOUND, agreed);
    assert_caps(&fleet);
}

/// An instance drains. Everyone stops to give it work long before the platform lists it.
#[test]
fn draining_instance_gets_no_new_work() {
    let mut fleet = fleet(24, 20);
    fleet.silence_platform();
    let leaving = owner(&fleet.nodes[&name(0)], "gate-0").expect("owned");
    fleet.give(&leaving, Event::Drain);
    fleet.until("left", Duration::from_secs(1), |fleet| nobody_uses(fleet, &leaving));
    fleet.run(Duration::from_secs(10));
    assert!(nobody_uses(&fleet, &leaving), "for good");
}

/// One instance sees a server leave while the platform is down. Soon no instance gives it work,
/// not even one that was cut off meanwhile.
#[test]
fn leaving_server_is_known_everywhere() {
    let mut fleet = fleet(9, 4);
    fleet.silence_platform();
    fleet.island = (0..2).map(name).collect();
    let seen = Event::ServerLeaving { server: "gate-0-1".into(), incarnation: 1 };
    fleet.give(&name(5), seen);
    fleet.run(Duration::from_secs(2));
    fleet.island.clear();
    fleet.until("known", Duration::from_secs(15), |fleet| {
        let leaving = |node: &Node| {
            let view = node.machine.view();
            let service = view.service("gate-0").expect("known");
            service.servers[1].leaving && !service.servers[0].leaving
        };
        fleet.nodes.values().all(leaving)
    });
}

/// A process is stopped for 30 s, is held dead meanwhile, and wakes with old frames queued. It
/// must not declare the others dead, and soon all hold it alive again.
#[test]
fn frozen_instance_returns() {
    let mut fleet = fleet(9, 20);
    let frozen = owner(&fleet.nodes[&name(0)], "gate-0").expect("owned");
    fleet.freeze(&frozen);
    fleet.run(Duration::from_secs(30));
    assert!(nobody_uses(&fleet, &frozen));
    fleet.thaw(&frozen, Duration::from_secs(30));
    let mut woken = fleet.nodes[&*frozen].machine.members();
    assert!(woken.all(|member| member.liveness == Liveness::Alive));
    drop(woken);
    fleet.until("agreed", Duration::from_secs(5), agreed);
    assert_eq!(owner(&fleet.nodes[&name(0)], "gate-0"), Some(frozen));
}

/// A new process finds a platform that was restored from an old copy. Its peers know better, and
/// neither it nor they go back to what the platform says.
#[test]
fn stale_platform_brings_nothing_back() {
    let mut fleet = fleet(9, 4);
    fleet.publish([
        change(1000, 7),
        publish::record(1001, publish::tombstone(Kind::Entry, "gate-0")),
    ]);
    fleet.run(Duration::from_secs(5));
    fleet.silence_platform();
    fleet.wake_platform(500);
    fleet.kill(&name(2), true);
    fleet.incarnation = 2;
    fleet.seeds = (0..9).map(|at| publish::address(&name(at))).collect();
    fleet.start(&name(2), zone(2));
    fleet.until("ready", BOUND, all_ready);
    fleet.run(Duration::from_secs(30));
    for node in fleet.nodes.values() {
        assert_eq!(queue(node, "gate-3"), Some(7));
        assert!(node.machine.view().service("gate-0").is_none(), "withdrawn");
    }
}

/// The clock of a host is set back and its instance restarts, so that its incarnation is lower than
/// the last one its peers knew. They must take it back as soon as any other newcomer, and not only
/// when they have forgotten the predecessor.
#[test]
fn restart_under_a_clock_set_back() {
    let mut fleet = fleet(9, 4);
    fleet.seeds = vec![publish::address(&name(0))];
    for incarnation in [9, 2] {
        fleet.kill(&name(2), true);
        fleet.incarnation = incarnation;
        fleet.start(&name(2), zone(2));
        fleet.run(Duration::from_secs(4));
        for at in (0..9).filter(|at| *at != 2) {
            let mut members = fleet.nodes[&name(at)].machine.members();
            let member = members.find(|member| *member.name == *name(2));
            let held = member.map(|member| member.liveness);
            assert_eq!(held, Some(Liveness::Alive), "incarnation {incarnation}, at {at}");
        }
    }
}

/// A new process finds the platform down. Its peers give it everything.
#[test]
fn newcomer_learns_from_peers_alone() {
    let mut fleet = fleet(9, 4);
    fleet.silence_platform();
    fleet.seeds = vec![publish::address(&name(0))];
    fleet.start(&name(50), zone(50));
    fleet.until("ready", Duration::from_secs(5), all_ready);
    let view = Arc::clone(fleet.nodes[&name(50)].machine.view());
    assert_eq!(view.services.len(), 4);
    let mut servers = view.services.values().flat_map(|service| &service.servers);
    assert!(servers.all(|server| server.share == 0), "it is not published");
}

/// No source answers at the start: the instance never becomes ready, and goes on asking.
#[test]
fn start_without_any_source_is_never_ready() {
    let mut fleet = Fleet::new();
    fleet.silence_platform();
    fleet.seeds = vec![publish::address("entry-7")];
    fleet.start(&name(0), zone(0));
    fleet.run(Duration::from_secs(120));
    let node = &fleet.nodes[&name(0)];
    assert!(!node.machine.view().ready);
    assert!(node.reads >= 8, "{} reads", node.reads);
    assert!(node.sent >= 100, "{} frames", node.sent);
}

/// An idle fleet: the frames of one instance and the platform's waiting watches must not grow with
/// the number of instances.
#[test]
fn idle_cost_does_not_grow() {
    let cost = |count: usize| {
        let mut fleet = fleet(count, 8);
        fleet.run(Duration::from_secs(30));
        let sent = |fleet: &Fleet| fleet.nodes.values().map(|node| node.sent).sum::<usize>();
        let reads = |fleet: &Fleet| fleet.nodes.values().map(|node| node.reads).sum::<usize>();
        let (sent_before, reads_before) = (sent(&fleet), reads(&fleet));
        fleet.run(Duration::from_secs(10));
        (sent(&fleet) - sent_before, reads(&fleet) - reads_before)
    };
    let (small, reads) = cost(9);
    let (large, more_reads) = cost(36);
    assert!(large <= small * 4 * 11 / 10, "{small} and {large} frames");
    // Two readers in each of three zones, and none asks before its last wait is over.
    let wait = Timing::default().contact * 3 / 8;
    let most = 6 * (10_000 / wait.as_millis() as usize);
    assert!(more_reads <= reads && reads <= most, "{reads} and {more_reads} reads in 10 s");
}
