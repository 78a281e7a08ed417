//! The platform cuts watches that wait for changes, and goes on answering.

use std::time::Duration;

use ladder_core::schema::publication::Kind;
use ladder_core::time::Instant;

use crate::fixtures;
use crate::harness::{Fleet, SimulatedInstance};
use crate::simulation::{TIMEOUT, all_ready, name, observed_fleet, takes_work, zone};

/// Server that is withdrawn.
const SERVER: &str = "docks-3";
/// Longest time after the withdrawal of a server until no instance sends work to it.
const WITHDRAWAL_TIME: Duration = Duration::from_millis(3000);

/// Times of the cuts, in milliseconds before and after a server is withdrawn.
struct Case {
    name: &'static str,
    before: &'static [u64],
    after: &'static [u64],
}

const CASES: [Case; 4] = [
    Case { name: "a cut before the withdrawal", before: &[1000], after: &[] },
    Case { name: "a cut after it", before: &[], after: &[200] },
    Case { name: "cuts before and after it", before: &[1000], after: &[1200, 2800] },
    Case { name: "a cut every half second", before: &[1000, 500], after: &[500, 1000, 1500, 2000] },
];

fn ready_fleet() -> Fleet {
    let mut fleet = observed_fleet();
    fleet.publish_next([fixtures::routes(7)]);
    for at in 0..9 {
        fleet.start(&name(at), zone(at));
    }
    fleet.run_until("all ready", TIMEOUT, all_ready);
    fleet.run(Duration::from_secs(5));
    fleet
}

fn sends_work(node: &SimulatedInstance) -> bool {
    takes_work(node, SERVER)
}

/// Guards against taking a cut watch for an outage of the platform, after which the withdrawal of a
/// server is held back anew: requests reach the server long after it may have gone.
#[test]
fn withdrawn_server_gets_no_work_although_watches_are_cut() {
    for case in CASES {
        let mut fleet = ready_fleet();
        assert!(fleet.nodes.values().all(sends_work), "{}", case.name);
        let withdrawn_at = fleet.now + Duration::from_millis(2000);
        for before in case.before {
            fleet.run(time_until(&fleet, withdrawn_at - Duration::from_millis(*before)));
            fleet.cut_watches();
        }
        fleet.run(time_until(&fleet, withdrawn_at));
        fleet.publish_next([fixtures::tombstone(Kind::Server, SERVER)]);
        for after in case.after {
            fleet.run(time_until(&fleet, withdrawn_at + Duration::from_millis(*after)));
            fleet.cut_watches();
        }
        fleet.run(time_until(&fleet, withdrawn_at + WITHDRAWAL_TIME));
        let late: Vec<&String> =
            fleet.nodes.iter().filter(|(_, node)| sends_work(node)).map(|(name, _)| name).collect();
        assert_eq!(late, Vec::<&String>::new(), "{}", case.name);
    }
}

fn time_until(fleet: &Fleet, end: Instant) -> Duration {
    end.since(fleet.now)
}

/// Guards against applying withdrawals at once after an outage that began with cut watches: servers
/// that could not reach the platform register again moments later.
#[test]
fn withdrawals_after_an_outage_that_cuts_watches_are_held_back() {
    let mut fleet = ready_fleet();
    fleet.cut_watches();
    fleet.stop_platform();
    fleet.run(Duration::from_secs(4));
    fleet.publish_next([fixtures::tombstone(Kind::Server, SERVER)]);
    fleet.restore_platform(u64::MAX);
    fleet.run(Duration::from_millis(1800));
    assert!(fleet.nodes.values().all(sends_work));
}
