//! Tests of a fleet in which each zone aggregates the parts of its own sweeps.

use std::time::Duration;

use crate::zonal_fleet::{Behaviour, Fleet, Totals, ZONES, name};

const PER_ZONE: usize = 4;
const SERVICES: usize = 9;
/// Time between two sweeps in one zone. A server's two slots take a call each 5 ms.
const INTERVAL_MS: u64 = 20;
const ALL_ZONES: &[usize] = &[0, 1, 2];

fn fleet(is_zonal: bool) -> Fleet {
    Fleet::new(is_zonal, PER_ZONE, SERVICES, ALL_ZONES)
}

/// Starts one sweep in each zone at each interval, at the zone's instances in turn.
fn calm(fleet: &mut Fleet, step: u64) {
    skewed(fleet, step, 1);
}

/// Starts sweeps as [`calm`] does, with `factor` times the sweeps in the first zone.
fn skewed(fleet: &mut Fleet, step: u64, factor: u64) {
    for zone in 0..ZONES.len() {
        let interval = if zone == 0 { INTERVAL_MS / factor } else { INTERVAL_MS };
        if (step + 5 * zone as u64).is_multiple_of(interval) {
            let number = (step / interval) as usize % PER_ZONE;
            fleet.sweep(&name(zone, number));
        }
    }
}

/// Starts sweeps as [`calm`] does, all at the first instance of each zone.
fn calm_at_first(fleet: &mut Fleet, step: u64) {
    for zone in 0..ZONES.len() {
        if (step + 5 * zone as u64).is_multiple_of(INTERVAL_MS) {
            fleet.sweep(&name(zone, 0));
        }
    }
}

/// Runs a fleet that has learned its call times, with this change; returns what happened after it.
fn totals_after(fleet: &mut Fleet, change: fn(&mut Fleet), arrive: fn(&mut Fleet, u64)) -> Totals {
    fleet.run(6000, calm);
    fleet.run(300, |_, _| {});
    fleet.totals = Totals::default();
    fleet.forget_senders();
    change(fleet);
    fleet.run(2000, arrive);
    let totals = fleet.totals.clone();
    fleet.run(1500, |_, _| {});
    fleet.check_runs();
    Totals { in_time: fleet.totals.in_time, ..totals }
}

fn lose_all_but_one_of_first_zone(fleet: &mut Fleet) {
    (1..PER_ZONE).for_each(|number| fleet.lose(&name(0, number)));
}

/// A fleet with a change, and the share of what must cross zones, in thousandths.
struct Case {
    name: &'static str,
    is_zonal: bool,
    server_zones: &'static [usize],
    change: fn(&mut Fleet),
    arrive: fn(&mut Fleet, u64),
    /// Least and most parts that are sent to an instance of another zone.
    parts: (usize, usize),
    /// Least and most calls to a server of another zone than the calling instance's.
    calls: (usize, usize),
    /// Least sweeps that are answered completely within the target time.
    in_time: usize,
}

const CALM: Case = Case {
    name: "calm",
    is_zonal: true,
    server_zones: ALL_ZONES,
    change: |_| {},
    arrive: calm,
    parts: (0, 0),
    calls: (0, 0),
    in_time: 1000,
};

/// Changes of the load and of the instances.
fn instance_cases() -> Vec<Case> {
    vec![
        CALM,
        Case {
            name: "one aggregator for the fleet",
            is_zonal: false,
            parts: (600, 700),
            calls: (400, 700),
            ..CALM
        },
        Case {
            name: "four times the sweeps in one zone",
            arrive: |fleet, step| skewed(fleet, step, 4),
            calls: (100, 600),
            ..CALM
        },
        Case {
            name: "one aggregator is lost",
            change: |fleet| fleet.lose(&name(0, 1)),
            calls: (0, 20),
            in_time: 900,
            ..CALM
        },
        Case {
            name: "one aggregator is silent",
            change: |fleet| fleet.silence(&name(0, 1)),
            calls: (0, 20),
            in_time: 850,
            ..CALM
        },
        Case { name: "one aggregator leaves", change: |fleet| fleet.leave(&name(0, 1)), ..CALM },
        Case {
            name: "one zone has one instance left",
            change: lose_all_but_one_of_first_zone,
            arrive: calm_at_first,
            ..CALM
        },
    ]
}

/// Changes of the servers.
fn server_cases() -> Vec<Case> {
    vec![
        Case {
            name: "the servers of one zone are dark",
            change: |fleet| fleet.set_behaviour(0, Behaviour::Dark),
            calls: (300, 350),
            in_time: 950,
            ..CALM
        },
        Case {
            name: "the servers of one zone pause",
            change: |fleet| {
                let until = fleet.now + Duration::from_millis(400);
                fleet.set_behaviour(0, Behaviour::PausedUntil(until));
            },
            calls: (30, 200),
            in_time: 900,
            ..CALM
        },
        Case {
            name: "one zone is evacuated",
            change: |fleet| {
                fleet.evacuated.insert(0);
                fleet.publish();
            },
            parts: (300, 350),
            calls: (0, 50),
            ..CALM
        },
        Case {
            name: "the servers of one zone are cold",
            change: |fleet| {
                fleet.cold.insert(0);
                fleet.publish();
            },
            calls: (250, 333),
            ..CALM
        },
        Case {
            name: "servers in two of three zones",
            server_zones: &[0, 1],
            parts: (300, 350),
            calls: (0, 50),
            ..CALM
        },
    ]
}

/// Guards against parts and calls that cross zones without need, which are charged, and against
/// answers that come later because calls stay in a zone whose servers or instances cannot take
/// them.
#[test]
fn parts_and_calls_cross_zones_only_when_needed() {
    for case in instance_cases().into_iter().chain(server_cases()) {
        let mut fleet = Fleet::new(case.is_zonal, PER_ZONE, SERVICES, case.server_zones);
        let totals = totals_after(&mut fleet, case.change, case.arrive);
        let permille = |part: usize, of: usize| 1000 * part / of.max(1);
        let parts = permille(totals.parts_to_other_zones, totals.parts);
        let calls = permille(totals.calls_to_other_zones, totals.calls);
        let in_time = permille(totals.in_time, totals.sweeps);
        let is_within = |value, (least, most)| (least..=most).contains(&value);
        assert!(
            is_within(parts, case.parts) && is_within(calls, case.calls) && in_time >= case.in_time,
            "{}: parts {parts}, calls {calls}, in time {in_time}; {totals:?}",
            case.name
        );
    }
}

/// Guards against a zone that keeps sending its sweeps elsewhere after it has returned: its servers
/// and instances must be used again once the servers are warm.
#[test]
fn zone_that_returns_is_used_again() {
    let mut fleet = fleet(true);
    fleet.evacuated.insert(0);
    fleet.publish();
    let during = totals_after(&mut fleet, |_| {}, calm);
    assert!(during.parts_to_other_zones > 0);
    fleet.evacuated.clear();
    fleet.publish();
    fleet.run(4000, calm);
    let after = totals_after(&mut fleet, |_| {}, calm);
    assert_eq!((after.parts_to_other_zones, after.calls_to_other_zones), (0, 0));
}

/// Guards against more senders than the limits of a server leave room for, and against parts that
/// run on more servers than the route allows, while instances do not agree which others there are.
#[test]
fn instances_with_different_views_stay_within_the_limits() {
    for missing in 0..PER_ZONE {
        let mut fleet = fleet(true);
        let change = |fleet: &mut Fleet, missing: usize| {
            // The first two instances of each zone do not list one instance of each zone.
            for zone in 0..ZONES.len() {
                for number in (0..2).filter(|number| *number != missing) {
                    let unknown = (0..ZONES.len()).map(|zone| name(zone, missing)).collect();
                    fleet.unknown.insert(name(zone, number), unknown);
                }
            }
            fleet.publish();
        };
        change(&mut fleet, missing);
        let totals = totals_after(&mut fleet, |_| {}, calm);
        assert_eq!((totals.parts_to_other_zones, totals.in_time), (0, totals.sweeps));
        for (service, senders) in &fleet.senders {
            assert!(senders.len() <= 2 * ZONES.len(), "{senders:?} send calls of {service}");
        }
    }
}
