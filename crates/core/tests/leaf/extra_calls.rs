//! Tests that every arrival of a part at a server beyond the first is paid for, counted over all
//! instances that send the part, and that nothing else is.

use std::collections::BTreeSet;

use ladder_core::leaf::event::Outcome;
use ladder_core::schema::catalogue::Limits;
use ladder_core::schema::outcome::{Reason, Verdict};

use crate::attempts::{End, INSTANCES, PARTS, Property, ServerState, Simulation, Step, ZONES};
use crate::harness::{Harness, limited, server, settings};

/// Extra calls that the whole fleet may make beyond those that first calls earn, for each service.
const FLEET_EXTRA_CALLS: u32 = 8;

/// Limits that count every arrival at a server, as the fleet's operators do.
fn limits(extra_percent: u32) -> Limits {
    let extra_burst = FLEET_EXTRA_CALLS;
    Limits { queue: 100, extra_percent, extra_burst, count_refused: true, ..Limits::default() }
}

/// Checks the number of arrivals at the servers of each service.
///
/// With a share of 0% no instance has an extra call, so each part arrives at most once. Otherwise
/// all instances together make no more extra calls than the limits of the fleet allow.
fn check_arrivals(simulation: &Simulation, extra_percent: u32) {
    for service in PARTS {
        let parts = simulation.arrivals.iter().filter(|((_, name), _)| name == service);
        let arrivals: Vec<u32> = parts.map(|(_, arrivals)| *arrivals).collect();
        let extra: u32 = arrivals.iter().map(|arrivals| arrivals.saturating_sub(1)).sum();
        let allowed = if extra_percent == 0 { 0 } else { FLEET_EXTRA_CALLS };
        let paid = allowed + arrivals.len() as u32 * extra_percent / 100;
        assert!(extra <= paid, "{service}: {extra} extra arrivals, {paid} paid for");
    }
}

fn check_extra_calls(property: Property) {
    let steps = bolero::produce::<Vec<Step>>().with().len(0_usize..=200);
    property.with_generator((bolero::produce::<[bool; 2]>(), steps)).for_each(
        |([has_few_connections, has_budget], steps)| {
            let extra_percent = if *has_budget { 20 } else { 0 };
            let mut simulation =
                Simulation::with_limits(*has_few_connections, limits(extra_percent));
            for step in steps {
                simulation.step(*step, *has_few_connections);
            }
            check_arrivals(&simulation, extra_percent);
        },
    );
}

/// Guards against a part that arrives at a second server without an extra call, in any order of
/// refusals, losses of peers, lost messages and answers. Whether the part is paid for is decided at
/// the entry instance, which sees only replies and losses.
#[test]
fn arrivals_beyond_the_first_are_paid_for() {
    check_extra_calls(ladder_property::check_short(1000, 4096));
}

/// Delivers all work and all replies in transit and answers all calls, until nothing is in transit.
fn settle(simulation: &mut Simulation) {
    while !(simulation.messages.is_empty()
        && simulation.replies.is_empty()
        && simulation.calls.is_empty())
    {
        for instance in 0..INSTANCES.len() as u8 {
            simulation.step(Step::Deliver(instance), true);
        }
        while !simulation.calls.is_empty() {
            simulation.step(Step::End(0, End::Answer), true);
        }
        while !simulation.replies.is_empty() {
            simulation.step(Step::Reply(0), true);
        }
    }
}

/// After a loss of all instances, a partial aggregator has no connection to the servers and refuses
/// its parts as `CONNECT_FAILED` without a call. Guards against a successor that charges extra calls
/// for these parts: with an empty budget it refused them, and the sweep ended as `RETRY_BUDGET`.
#[test]
fn parts_refused_without_a_connection_are_answered_by_the_next_instance() {
    let mut simulation = Simulation::with_limits(true, limits(0));
    simulation.step(Step::Sweep, true);
    let aggregator = simulation.messages[0].0;
    simulation.cut_off(aggregator);
    // The aggregator counts its servers as unreachable after some failed attempts to connect.
    simulation.step(Step::Deliver(aggregator as u8), true);
    for _ in 0..4 {
        simulation.step(Step::Wait(255), true);
    }
    settle(&mut simulation);
    simulation.arrivals.clear();
    simulation.answers.clear();

    simulation.step(Step::Sweep, true);
    assert_eq!(simulation.messages[0].0, aggregator);
    let parts = simulation.messages[0].1.portions.len();
    simulation.step(Step::Deliver(aggregator as u8), true);
    let refusals = simulation.replies.iter().map(|(_, reply)| {
        assert_eq!((reply.verdict(), reply.calls), (Verdict::NotRun, 0));
        reply.reason()
    });
    assert_eq!(refusals.collect::<Vec<_>>(), vec![Reason::ConnectFailed; parts]);
    settle(&mut simulation);
    let answer = simulation.answers.pop().expect("an answer");
    assert_eq!(answer.missing, []);
    check_arrivals(&simulation, 0);
}

/// A call ends as not run, and then all servers leave according to the view of the instance that made
/// it, which refuses the part. Guards against a successor that calls another server without paying
/// for it although the first one received the part, and against charging a part whose call was never
/// sent because its connection was broken.
#[test]
fn parts_refused_after_a_call_are_paid_for() {
    for (end, calls, missing) in [(End::Shed, 1, PARTS.len()), (End::Unsent, 0, 0)] {
        let mut simulation = Simulation::with_limits(true, limits(0));
        simulation.step(Step::Sweep, true);
        let instances: BTreeSet<usize> = simulation.messages.iter().map(|(to, _)| *to).collect();
        for instance in instances {
            let instance = instance as u8;
            simulation.step(Step::Deliver(instance), true);
            for server in 0..ZONES.len() as u8 {
                let state = ServerState::Leaving;
                simulation.step(Step::SetState { instance, server, state }, true);
            }
        }
        assert_eq!(simulation.calls.len(), PARTS.len());
        while !simulation.calls.is_empty() {
            simulation.step(Step::End(0, end), true);
        }
        for (_, reply) in &simulation.replies {
            assert_eq!((reply.reason(), reply.calls), (Reason::NoServer, calls));
            assert_eq!(reply.verdict(), Verdict::NotRun);
        }
        settle(&mut simulation);
        check_arrivals(&simulation, 0);
        let answer = simulation.answers.pop().expect("an answer");
        assert_eq!(answer.missing.len(), missing, "{end:?}");
    }
}

/// Checks that the simulation gets beyond first calls; otherwise the property test above would
/// prove nothing.
#[test]
fn random_orders_reach_paid_arrivals() {
    let mut simulation = Simulation::with_limits(true, limits(20));
    for number in 0..200_u8 {
        simulation.step(Step::Sweep, true);
        for which in 0..12 {
            simulation.step(Step::Deliver(which), true);
            simulation.step(Step::End(which, End::Shed), true);
        }
        simulation.step(Step::LinkDown(number), true);
        simulation.step(Step::Wait(20), true);
    }
    check_arrivals(&simulation, 20);
    assert!(simulation.arrivals.values().filter(|arrivals| **arrivals > 1).count() > 20);
}

/// Guards against counting a large allowance of extra calls as none: 30 queries whose first call
/// fails need a retry each.
#[test]
fn largest_allowance_pays_for_every_retry() {
    for extra_burst in [1_000_000, 4_294_968, u32::MAX] {
        let limits = Limits { extra_burst, extra_window_ms: 1000, ..limits(1) };
        let servers = vec![server(1), server(2)];
        let mut harness = Harness::connected(settings(), limited(limits, servers));
        harness.learn_call_times(40, 4);
        harness.advance(10_000);
        for query in 0..30 {
            let failed = harness.deliver_and_take_call(query, "sweep");
            harness.end_call(failed.attempt, Outcome::Error);
            harness.connect();
            let calls = harness.sent();
            assert_eq!(calls.len(), 2, "{extra_burst}: calls of query {query}");
            harness.answer(&calls[1]);
        }
    }
}
