//! Fleets that start gradually: connections to the servers and sweeps in the first seconds.

mod world;

use std::time::Duration;

use ladder_core::control::startup::{Knowledge, Startup};
use ladder_core::gather::status;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::time::Instant;

use self::world::{LIMIT, SLOTS, Sweep, World};

/// Number of instances of a fleet.
const INSTANCES: usize = 80;
const STEP: Duration = millis(10);
/// Latency objective of the sweep.
const OBJECTIVE: Duration = millis(200);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Runs the fleet while three callers every 10 ms send a sweep, to all instances in turn.
fn run_with_sweeps(world: &mut World, span: Duration) {
    for _ in 0..span.as_millis() / STEP.as_millis() {
        for _ in 0..3 {
            world.sweep(world.sweeps.len() * 7 % INSTANCES);
        }
        world.run(STEP);
    }
}

/// Checks that running instances have always held less than a third of a server's connections.
fn assert_few_connections(world: &World) {
    let most = world.most.live;
    assert!(3 * most < LIMIT, "{most} connections to a server with a limit of {LIMIT}");
}

/// Starts all instances within 0.3 s while sweeps arrive.
fn start_all(world: &mut World) {
    for step in 0..30 {
        (0..INSTANCES).filter(|number| number % 30 == step).for_each(|number| world.start(number));
        run_with_sweeps(world, STEP);
    }
}

fn is_in_time(sweep: &Sweep) -> bool {
    sweep
        .answer
        .as_ref()
        .is_some_and(|(at, answer)| status(answer) == 200 && at.since(sweep.asked_at) <= OBJECTIVE)
}

/// Share of the sweeps sent in a span of time that were answered in full within their objective.
fn share_in_time(world: &World, from: Instant, to: Instant) -> f64 {
    let sweeps: Vec<&Sweep> =
        world.sweeps.values().filter(|sweep| (from..to).contains(&sweep.asked_at)).collect();
    sweeps.iter().filter(|sweep| is_in_time(sweep)).count() as f64 / sweeps.len() as f64
}

/// The count of instances must not be trusted while it grows, or a starting instance takes itself
/// for the whole fleet; and it must be trusted at last, or a small fleet never uses its connections.
#[test]
fn count_is_trusted_when_no_new_member_appears() {
    struct Case {
        name: &'static str,
        peer_answered: bool,
        last_new_member_ms: u64,
        trusted_ms: u64,
    }
    let case = |name, peer_answered, last_new_member_ms, trusted_ms| Case {
        name,
        peer_answered,
        last_new_member_ms,
        trusted_ms,
    };
    let cases = [
        case("no peer answers", false, 0, 2000),
        case("frames arrive, but no peer answers", false, 300, 2000),
        case("a peer answers and no other member appears", true, 0, 500),
        case("members appear for a while", true, 700, 1200),
        case("members appear without end", true, 1900, 2000),
    ];
    let at = |after_start| Instant::from_millis(1000 + after_start);
    for case in cases {
        let mut startup = Startup::gradual(at(0), millis(250), millis(2000));
        let knowledge = Knowledge {
            peer_answered: case.peer_answered,
            last_new_member_at: at(case.last_new_member_ms),
        };
        assert_eq!(startup.next_change(knowledge), Some(at(case.trusted_ms)), "{}", case.name);
        assert_eq!(startup.update(at(case.trusted_ms - 1), knowledge), None, "{}", case.name);
        assert!(startup.is_short_of_connections(64, 2, 1), "{}", case.name);
        assert!(!startup.allows_one_connection_each(64, 1), "{}", case.name);
        assert_eq!(startup.limit_share(6), 1, "{}", case.name);
        let age = startup.update(at(case.trusted_ms), knowledge);
        assert_eq!(age, Some(millis(case.trusted_ms)), "{}", case.name);
        assert_eq!(startup.update(at(9000), knowledge), None, "{}: reported once", case.name);
        assert!(!startup.is_short_of_connections(64, 2, 1), "{}", case.name);
        assert!(startup.allows_one_connection_each(64, 1), "{}", case.name);
        assert_eq!(startup.limit_share(6), 6, "{}", case.name);
    }
    let immediate = Startup::immediate(at(0));
    assert!(immediate.is_trusted() && immediate.limit_share(6) == 6);
}

/// After a loss of all instances, each one knows no other at first and opened connections to all
/// servers, which it kept for seconds: 56 to 60 connections from 63 instances to each server. The
/// servers reset those of the instances that sent the work of all.
///
/// The instance to which the work of a service is handed over must have a connection for each slot
/// one second after the last start.
#[test]
fn starting_fleet_holds_few_connections() {
    let mut world = World::new(true);
    start_all(&mut world);
    run_with_sweeps(&mut world, millis(1000));
    world.calls.clear();
    let one_second_later = world.now;
    run_with_sweeps(&mut world, millis(300));
    for (service, calls) in &world.calls {
        let all: usize = calls.values().sum();
        let (sender, most) = calls.iter().max_by_key(|(_, count)| **count).expect("a call");
        assert!(2 * most > all, "{service} is called by {calls:?}");
        let connections: Vec<usize> = world.connections_of(*sender, service);
        assert!(connections.iter().all(|count| *count >= SLOTS), "{service}: {connections:?}");
    }
    let end = world.now;
    run_with_sweeps(&mut world, millis(700));
    assert!(share_in_time(&world, one_second_later, end) > 0.99);
    assert_few_connections(&world);
    assert_eq!(world.trusted.len(), INSTANCES, "each instance trusts its count at last");
    for (number, (age, members)) in &world.trusted {
        assert!(*age <= millis(2000), "instance {number}: {age:?}");
        assert!(*members > INSTANCES * 9 / 10, "instance {number} knew {members}");
    }
    assert!(world.resets.is_empty());
}

/// Servers count the connections of instances that lost power for ten seconds. If a fleet takes
/// too many of them, the fleet that starts after the next loss of power gets none.
#[test]
fn fleet_starts_again_after_two_losses_of_power() {
    let mut world = World::new(true);
    for _ in 0..3 {
        let start = world.now;
        start_all(&mut world);
        run_with_sweeps(&mut world, millis(3000));
        let (from, to) = (start + millis(500), start + millis(2500));
        let share = share_in_time(&world, from, to);
        assert!(share > 0.95, "{share} in time after {} losses", world.losses);
        world.lose_power();
    }
    assert_few_connections(&world);
    assert!(world.resets.is_empty(), "{} resets", world.resets.len());
    assert!(world.most.counted < LIMIT, "{} of {LIMIT} connections", world.most.counted);
}

/// The platform's full listing arrives before any seed answers. An instance that became ready then
/// would send its first sweeps as if it were alone. Callers are refused at once until it is ready,
/// a second after its start, or one probe interval later. Without seeds there is no peer to wait for.
#[test]
fn lone_instance_becomes_ready_and_trusts_its_count() {
    struct Case {
        name: &'static str,
        seeds: &'static [&'static str],
        /// Time before which all sweeps are refused.
        ready_ms: u64,
        /// Time from which on all sweeps are answered.
        served_ms: u64,
    }
    let case = |name, seeds, ready_ms, served_ms| Case { name, seeds, ready_ms, served_ms };
    let cases = [
        case("seeds that never answer", &["127.0.0.1:19999"][..], 1000, 1260),
        case("a fleet of one", &[], 1, 10),
    ];
    for case in cases {
        let mut world = World::new(true);
        world.seeds = case.seeds.iter().map(|seed| (*seed).to_owned()).collect();
        let start = world.now;
        world.start(0);
        let mut most_before_trust = 0;
        while world.now.since(start) < millis(4000) {
            world.sweep(0);
            world.sweep(0);
            world.run(STEP);
            if world.trusted.is_empty() {
                most_before_trust = most_before_trust.max(world.most.live);
            }
        }
        let (ready_at, served_at) = (start + millis(case.ready_ms), start + millis(case.served_ms));
        for sweep in world.sweeps.values() {
            let name = case.name;
            let Some((at, answer)) = &sweep.answer else { continue };
            if sweep.asked_at < ready_at {
                assert_eq!(*at, sweep.asked_at, "{name}: refused at once");
                let refusal = (answer.reason(), answer.verdict(), answer.retry_after_ms > 0);
                assert_eq!(refusal, (Reason::NotReady, Verdict::NotRun, true), "{name}");
            } else if (served_at..start + millis(3700)).contains(&sweep.asked_at) {
                assert!(is_in_time(sweep), "{name}: {:?}", sweep.asked_at.since(start));
            }
        }
        assert_eq!(world.trusted.get(&0), Some(&(millis(2000), 1)), "{}", case.name);
        assert_eq!(most_before_trust, 1, "{}: connections to a server", case.name);
        assert!(world.most.live > 1, "{}: then it uses the connections", case.name);
    }
}

/// An instance that joins a running fleet learned only of the members that changed or happened to
/// send it a frame: 12 of 80 in three seconds. It took the fleet for small, sent its sweeps to the
/// servers itself and kept a connection to each of them.
#[test]
fn joining_instance_knows_the_fleet_and_opens_no_connections() {
    let mut world = World::new(true);
    start_all(&mut world);
    run_with_sweeps(&mut world, millis(4000));
    let (joining, start) = (INSTANCES, world.now);
    world.start(joining);
    let mut sweeps = Vec::new();
    while world.now.since(start) < millis(2000) {
        sweeps.push(world.sweep(joining));
        run_with_sweeps(&mut world, STEP);
        assert_eq!(world.connections_of(joining, "").into_iter().max(), Some(0));
        if world.now.since(start) >= millis(100) {
            assert_eq!(world.known_members(joining), INSTANCES);
        }
    }
    run_with_sweeps(&mut world, OBJECTIVE);
    let in_time = sweeps.iter().filter(|number| is_in_time(&world.sweeps[*number])).count();
    assert!(in_time >= sweeps.len() - 1, "all but the first: {in_time}");
    assert_few_connections(&world);
    let (age, members) = world.trusted[&joining];
    assert!(age < millis(1000) && members == INSTANCES + 1, "{age:?}, {members} members");
}

/// While servers count the connections of lost instances up to their limit, they reset all new
/// ones. A sweep of which nothing can be sent must not be answered as if it may have run, and its
/// caller must learn when to retry. One second after the servers accept connections again, sweeps
/// are answered in time.
#[test]
fn sweep_that_reaches_no_server_is_refused_as_not_run_with_a_delay() {
    let mut world = World::new(true);
    let start = world.now;
    world.fill_servers(millis(3000));
    start_all(&mut world);
    run_with_sweeps(&mut world, millis(4700));
    let end = world.now;
    run_with_sweeps(&mut world, OBJECTIVE);
    let while_full = |sweep: &&Sweep| sweep.asked_at < start + millis(2700);
    let mut refused = 0;
    for sweep in world.sweeps.values().filter(while_full) {
        let Some((at, answer)) = &sweep.answer else { continue };
        let refusal = (answer.verdict(), answer.retry_after_ms > 0, status(answer));
        assert_eq!(refusal, (Verdict::NotRun, true, 503), "{:?}", answer.reason());
        assert!(at.since(sweep.asked_at) <= millis(400), "{:?}", at.since(sweep.asked_at));
        refused += 1;
    }
    assert!(refused > 500, "{refused} refusals");
    let share = share_in_time(&world, start + millis(4000), end);
    assert!(2 * world.most.live < LIMIT, "{} connections to a server", world.most.live);
    assert!(share > 0.95, "{share} in time one second after the servers accept connections");
}
