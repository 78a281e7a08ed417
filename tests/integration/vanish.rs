//! An instance is killed under load.

use std::thread::JoinHandle;

use ladder_schema::outcome::Verdict;
use ladder_standin::layout::user::User;

use crate::fleet::call::{BAGMATI, Exchange, join_requests, send_request, spawn_request};
use crate::fleet::load::CallerLoad;
use crate::fleet::{Fleet, small_layout, wait_until};

/// Sends one booking through each instance address and waits until all of them run at targets that
/// accept requests without replying.
fn start_unanswered_bookings(
    fleet: &Fleet,
    addresses: &[String],
    service: &str,
) -> Vec<JoinHandle<Exchange>> {
    fleet.set_silent(service, true);
    let callers = addresses.iter().enumerate().map(|(number, address)| {
        spawn_request(address.clone(), BAGMATI.booking(&format!("held-{number}"), service))
    });
    let callers = callers.collect();
    wait_until("all bookings run at the silent targets", || {
        let executions = fleet.read_executions();
        (0..addresses.len()).all(|number| executions.count_for_key(&format!("held-{number}")) > 0)
    });
    fleet.set_silent(service, false);
    callers
}

/// Guards against lost answers and repeated bookings when the owner of services is killed with
/// queued work and open connections. Callers that use the other instances must still get complete
/// sweeps. Each booking must run at most once and be answered with a true verdict.
#[test]
fn killed_owner_leaves_sweeps_complete_and_bookings_run_once() {
    let mut fleet = Fleet::start(small_layout(User::Bagmati, 4));
    let index = fleet.published_index(BAGMATI.index);
    let service = index.shards[0].service.clone();
    let killed = fleet.owner(&service);
    let pending_bookings =
        start_unanswered_bookings(&fleet, &fleet.other_caller_addresses(killed), &service);
    let load = CallerLoad::start_mixed(
        "mixed",
        &fleet.other_caller_addresses(killed),
        8,
        fleet.shard_names(BAGMATI.index),
    );
    load.wait_for_answers(100);
    fleet.kill(killed);
    load.wait_for_answers(100);
    fleet.wait_until_services_reassigned(killed);
    load.wait_for_answers(100);
    let mut exchanges = load.stop_and_collect();
    exchanges.extend(join_requests(pending_bookings));
    fleet.check_exchanges(&exchanges);
    for exchange in &exchanges {
        exchange.check_all_shards_listed(&index);
    }
    for shard in fleet.shard_names(BAGMATI.index) {
        let key = format!("afterwards-{shard}");
        let address = fleet.caller_address(fleet.running_instances()[0]);
        let booking = send_request(&address, BAGMATI.booking(&key, &shard));
        booking.check_complete(&index);
        assert_eq!(booking.answer().verdict(), Verdict::Ran);
    }
    fleet.check_connection_limits();
}
