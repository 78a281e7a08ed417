//! Open connections between instances go silent for good while new ones work.

use std::time::Duration;

use ladder_core::control::settings::{Listing, Timing};
use ladder_core::schema::publication::State;
use ladder_core::time::Instant;

use crate::fixtures;
use crate::harness::Fleet;
use crate::simulation::{TIMEOUT, all_ready, name, zone};
use crate::wiring::Wiring;

/// Maximum time from the first instance with a change to the last one.
const SPREAD: Duration = Duration::from_millis(2500);
/// Time after which a fleet of three zones has settled.
const SETTLING_TIME: Duration = Duration::from_secs(8);

struct Case {
    description: &'static str,
    instances: usize,
    is_affected: fn(&str, &str) -> bool,
    /// Time from the silence to the change.
    change_after: Duration,
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn always(_: &str, _: &str) -> bool {
    true
}

/// Connections in one direction between each two instances.
fn one_direction(from: &str, to: &str) -> bool {
    from < to
}

fn last_one(from: &str, to: &str) -> bool {
    let last = name(65);
    from == last || to == last
}

const CASES: &[Case] = &[
    Case { description: "all", instances: 9, is_affected: always, change_after: ms(1) },
    Case { description: "all", instances: 66, is_affected: always, change_after: ms(1) },
    Case { description: "all", instances: 66, is_affected: always, change_after: ms(700) },
    Case { description: "one way", instances: 9, is_affected: one_direction, change_after: ms(1) },
    Case { description: "one way", instances: 66, is_affected: one_direction, change_after: ms(1) },
    Case { description: "of one", instances: 66, is_affected: last_one, change_after: ms(1) },
    Case { description: "of one", instances: 66, is_affected: last_one, change_after: ms(4000) },
];

fn ready_fleet(instances: usize) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.wiring = Some(Wiring::default());
    fleet.sends_full_listing = true;
    fleet.listing = Listing::Observed;
    fleet.timing = Timing { contact: Duration::from_secs(5), ..Timing::default() };
    fleet.seeds = (0..3).map(|at| fixtures::address(&name(at))).collect();
    let server = |number| {
        let name = format!("docks-{number}");
        fixtures::record(number, fixtures::server(&name, "docks", 1, State::Live))
    };
    fleet.publish((1..=20).map(server));
    fleet.publish([fixtures::record(100, fixtures::routes(7))]);
    for at in 0..instances {
        fleet.start(&name(at), zone(at));
    }
    fleet.run_until("all ready", TIMEOUT, all_ready);
    fleet.run(SETTLING_TIME);
    fleet
}

/// When each instance first had a version of the routes in force.
fn times_in_force(fleet: &Fleet, version: u64) -> Vec<Instant> {
    let has_version = |view: &ladder_core::view::View| {
        view.routing.as_ref().is_some_and(|routing| routing.version == version)
    };
    let nodes = fleet.nodes.values();
    nodes
        .filter_map(|node| Some(node.views.iter().find(|(_, view)| has_version(view))?.0))
        .collect()
}

/// Guards against an instance without a version of the routes past the bound, and against members
/// that are held for dead, after connections between instances had gone silent: changes were sent
/// into them, and a connection was replaced later than its peer counted as dead.
#[test]
fn change_reaches_all_instances_and_none_counts_as_dead() {
    for Case { description, instances, is_affected, change_after } in CASES {
        let name = format!("{description} of {instances}, change after {change_after:?}");
        let mut fleet = ready_fleet(*instances);
        let wiring = fleet.wiring.as_mut().expect("set at the start");
        wiring.silence(is_affected);
        let lines = fleet.action_log.len();
        fleet.run(*change_after);
        fleet.publish([fixtures::record(101, fixtures::routes(11))]);
        fleet.run(SPREAD);
        let times = times_in_force(&fleet, 11);
        assert_eq!(times.len(), *instances, "{name}: instances with the change");
        fleet.run(Duration::from_secs(3));
        let is_death = |line: &&String| line.contains("log Member") && line.contains("now: Gone");
        let deaths: Vec<&String> = fleet.action_log[lines..].iter().filter(is_death).collect();
        assert_eq!(deaths, Vec::<&String>::new(), "{name}: instances that counted as dead");
    }
}
