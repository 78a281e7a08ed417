//! Tests of the graceful shutdown.

use std::thread::JoinHandle;

use ladder_schema::call::Request;
use ladder_schema::outcome::Verdict;
use ladder_schema::settings::Timing;
use ladder_schema::standin::Fault;
use ladder_standin::layout::user::User;
use rustix::process::Signal;

use crate::fleet::call::{BAGMATI, Exchange, join_all, send};
use crate::fleet::load::Load;
use crate::fleet::{Fleet, TIMING, layout, wait_until};

/// Starts bookings through one instance that take some seconds at their targets, longer than a
/// stopping instance accepts new requests.
fn long_bookings(fleet: &Fleet, at: usize) -> Vec<JoinHandle<Exchange>> {
    let service = fleet.shards(BAGMATI.index).remove(1);
    for server in fleet.servers_of(&service) {
        fleet.set_fault(&server.name, &Fault { slowdown: 250, ..Fault::default() });
    }
    let callers = ["long-1", "long-2"].map(|key| {
        let booking = Request { deadline_ms: 50_000, ..BAGMATI.booking(key, &service) };
        send(fleet.caller_address(at), booking)
    });
    wait_until("the targets have the bookings", || {
        let executions = fleet.executions();
        executions.count_of_key("long-1") + executions.count_of_key("long-2") == 2
    });
    for server in fleet.servers_of(&service) {
        fleet.set_fault(&server.name, &Fault::default());
    }
    callers.into()
}

/// Guards against broken connections, incomplete sweeps and repeated bookings when an instance is
/// stopped under load from its own callers and as owner of services. The instance informs the load
/// balancer first, finishes its open work, hands its services over and exits with code 0.
#[test]
fn stop_under_load_loses_no_request() {
    let timing = Timing { drain_ms: 60_000, ..TIMING };
    let mut fleet = Fleet::start(layout(User::Bagmati, 3).service_us(20_000).timing(timing));
    let index = fleet.index(BAGMATI.index);
    let shards = fleet.shards(BAGMATI.index);
    let victim = fleet.owner(&index.shards[0].service);
    let open_bookings = long_bookings(&fleet, victim);
    let other_load =
        Load::mixed("beside", &fleet.other_caller_addresses(victim), 4, shards.clone());
    let own_load = Load::mixed("own", &[fleet.caller_address(victim)], 8, shards);
    own_load.wait_for_answers(50);
    other_load.wait_for_answers(20);
    fleet.signal(victim, Signal::TERM);
    wait_until("the load balancer is informed", || !fleet.is_ready(victim));
    let mut exchanges = own_load.finish();
    assert_eq!(fleet.wait_until_ended(victim), Some(0));
    other_load.wait_for_answers(50);
    exchanges.extend(other_load.finish());
    exchanges.extend(join_all(open_bookings));
    fleet.check(&exchanges);
    for exchange in &exchanges {
        exchange.check_complete(&index);
        assert_eq!(exchange.answer().verdict(), Verdict::Ran);
    }
    fleet.check_connections();
}

/// Guards against a caller that gets a broken connection and doesn't know whether to repeat its
/// booking. A target holds a booking without answering for longer than the drain timeout of the
/// stopping instance, which is either the entry instance of the booking or the owner of the
/// service. The caller is answered before the process ends, and the answer does not claim that the
/// booking was not executed.
#[test]
fn stop_at_the_drain_timeout_answers_open_bookings() {
    for owner_stops in [false, true] {
        let timing = Timing { drain_ms: 1000, ..TIMING };
        let mut fleet = Fleet::start(layout(User::Bagmati, 3).timing(timing));
        let service = fleet.index(BAGMATI.index).shards[0].service.clone();
        let owner = fleet.owner(&service);
        let mut others = fleet.running().into_iter().filter(|&at| at != owner);
        let entry = others.next().expect("another instance");
        fleet.set_silent(&service, true);
        let victim = if owner_stops { owner } else { entry };
        let booking = Request { deadline_ms: 40_000, ..BAGMATI.booking("held", &service) };
        let caller = send(fleet.caller_address(entry), booking);
        wait_until("the target holds the booking", || fleet.executions().count_of_key("held") > 0);
        fleet.signal(victim, Signal::TERM);
        let exchange = caller.join().expect("the caller is answered");
        let answer = exchange.answer();
        assert_eq!(answer.verdict(), Verdict::MayHaveRun, "{answer:?}");
        assert_eq!(fleet.wait_until_ended(victim), Some(0));
        assert_eq!(fleet.executions().count_of_key("held"), 1);
    }
}
