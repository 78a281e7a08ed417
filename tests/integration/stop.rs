//! Graceful stops of an instance.

use std::thread::JoinHandle;

use ladder_schema::call::Request;
use ladder_schema::outcome::Verdict;
use ladder_schema::settings::Timing;
use ladder_schema::standin::Fault;
use ladder_standin::layout::user::User;
use rustix::process::Signal;

use crate::fleet::call::{BAGMATI, Exchange, join_requests, spawn_request};
use crate::fleet::load::CallerLoad;
use crate::fleet::{Fleet, SHORT_TIMING, small_layout, wait_until};

/// Sends bookings through an instance that run for several seconds at their targets, longer than a
/// stopping instance continues to accept callers.
fn start_slow_bookings(fleet: &Fleet, instance: usize) -> Vec<JoinHandle<Exchange>> {
    let service = fleet.shard_names(BAGMATI.index).remove(1);
    for server in fleet.servers_of(&service) {
        fleet.set_fault(&server.name, &Fault { slowdown: 250, ..Fault::default() });
    }
    let callers = ["long-1", "long-2"].map(|key| {
        let booking = Request { deadline_ms: 50_000, ..BAGMATI.booking(key, &service) };
        spawn_request(fleet.caller_address(instance), booking)
    });
    wait_until("both bookings run at the targets", || {
        let executions = fleet.read_executions();
        executions.count_for_key("long-1") + executions.count_for_key("long-2") == 2
    });
    for server in fleet.servers_of(&service) {
        fleet.set_fault(&server.name, &Fault::default());
    }
    callers.into()
}

/// Guards against a stop that loses work. An instance is stopped under load from its own callers
/// and from services that it owns. Callers could get a broken connection or an incomplete sweep, or
/// a booking could run twice. The instance must first report itself as not ready to the load
/// balancer, then finish its work, hand over its services and exit with code 0.
#[test]
fn stop_under_load_completes_all_requests() {
    let timing = Timing { drain_ms: 60_000, ..SHORT_TIMING };
    let mut fleet = Fleet::start(small_layout(User::Bagmati, 3).service_us(20_000).timing(timing));
    let index = fleet.published_index(BAGMATI.index);
    let shards = fleet.shard_names(BAGMATI.index);
    let stopping = fleet.owner(&index.shards[0].service);
    let slow_bookings = start_slow_bookings(&fleet, stopping);
    let other_load = CallerLoad::start_mixed(
        "beside",
        &fleet.other_caller_addresses(stopping),
        4,
        shards.clone(),
    );
    let own_load = CallerLoad::start_mixed("own", &[fleet.caller_address(stopping)], 8, shards);
    own_load.wait_for_answers(50);
    other_load.wait_for_answers(20);
    fleet.signal(stopping, Signal::TERM);
    wait_until("the instance reports that it is not ready", || !fleet.is_ready(stopping));
    let mut exchanges = own_load.stop_and_collect();
    assert_eq!(fleet.wait_for_exit(stopping), Some(0));
    other_load.wait_for_answers(50);
    exchanges.extend(other_load.stop_and_collect());
    exchanges.extend(join_requests(slow_bookings));
    fleet.check_exchanges(&exchanges);
    for exchange in &exchanges {
        exchange.check_complete(&index);
        assert_eq!(exchange.answer().verdict(), Verdict::Ran);
    }
    fleet.check_connection_limits();
}

/// Guards against callers left without an answer when a stop reaches its time limit. A target keeps
/// a booking without replying for longer than the stop may take. The stopped instance is the one
/// that the caller asked in one case, and only the owner of the service in the other. The caller
/// must be answered before the process ends, and the answer must not report that the booking did
/// not run.
#[test]
fn stop_at_its_time_limit_answers_pending_callers() {
    for owner_stops in [false, true] {
        let timing = Timing { drain_ms: 1000, ..SHORT_TIMING };
        let mut fleet = Fleet::start(small_layout(User::Bagmati, 3).timing(timing));
        let service = fleet.published_index(BAGMATI.index).shards[0].service.clone();
        let owner = fleet.owner(&service);
        let mut other_instances =
            fleet.running_instances().into_iter().filter(|&instance| instance != owner);
        let entry_instance = other_instances.next().expect("another instance");
        fleet.set_silent(&service, true);
        let stopping = if owner_stops { owner } else { entry_instance };
        let booking = Request { deadline_ms: 40_000, ..BAGMATI.booking("held", &service) };
        let caller = spawn_request(fleet.caller_address(entry_instance), booking);
        wait_until("the booking runs at the silent target", || {
            fleet.read_executions().count_for_key("held") > 0
        });
        fleet.signal(stopping, Signal::TERM);
        let exchange = caller.join().expect("the caller is answered");
        let answer = exchange.answer();
        assert_eq!(answer.verdict(), Verdict::MayHaveRun, "{answer:?}");
        assert_eq!(fleet.wait_for_exit(stopping), Some(0));
        assert_eq!(fleet.read_executions().count_for_key("held"), 1);
    }
}
