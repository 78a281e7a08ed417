//! Test of an instance that is killed under load.

use std::thread::JoinHandle;

use ladder_schema::outcome::Verdict;
use ladder_standin::layout::user::User;

use crate::fleet::call::{BAGMATI, Exchange, ask, join_all, send};
use crate::fleet::load::Load;
use crate::fleet::{Fleet, layout, wait_until};

/// Sends a booking through each address to targets that do not answer until all of these bookings
/// run.
fn start_held_bookings(
    fleet: &Fleet,
    caller_addresses: &[String],
    service: &str,
) -> Vec<JoinHandle<Exchange>> {
    fleet.set_silent(service, true);
    let callers = caller_addresses.iter().enumerate().map(|(number, caller_address)| {
        send(caller_address.clone(), BAGMATI.booking(&format!("held-{number}"), service))
    });
    let callers = callers.collect();
    wait_until("the bookings run", || {
        let executions = fleet.executions();
        (0..caller_addresses.len())
            .all(|number| executions.count_of_key(&format!("held-{number}")) > 0)
    });
    fleet.set_silent(service, false);
    callers
}

/// Guards against incomplete sweeps, repeated bookings and false verdicts when the owner of
/// services is killed under load. Its queue and its connections end during the work. Sweeps through
/// other instances stay complete; a booking is executed at most once, and its verdict is true.
#[test]
fn killed_owner_costs_no_answer_and_repeats_no_booking() {
    let mut fleet = Fleet::start(layout(User::Bagmati, 4));
    let index = fleet.index(BAGMATI.index);
    let service = index.shards[0].service.clone();
    let victim = fleet.owner(&service);
    let held_bookings =
        start_held_bookings(&fleet, &fleet.other_caller_addresses(victim), &service);
    let load =
        Load::mixed("mixed", &fleet.other_caller_addresses(victim), 8, fleet.shards(BAGMATI.index));
    load.wait_for_answers(100);
    fleet.kill(victim);
    load.wait_for_answers(100);
    fleet.wait_until_replaced(victim);
    load.wait_for_answers(100);
    let mut exchanges = load.finish();
    exchanges.extend(join_all(held_bookings));
    fleet.check(&exchanges);
    for exchange in &exchanges {
        exchange.check_accounts_for_shards(&index);
    }
    for shard in fleet.shards(BAGMATI.index) {
        let key = format!("afterwards-{shard}");
        let caller_address = fleet.caller_address(fleet.running()[0]);
        let booking = ask(&caller_address, BAGMATI.booking(&key, &shard));
        booking.check_complete(&index);
        assert_eq!(booking.answer().verdict(), Verdict::Ran);
    }
    fleet.check_connections();
}
