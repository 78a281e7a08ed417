//! An instance is paused for longer than every time limit and then resumed.

use std::thread::JoinHandle;

use ladder_schema::call::Request;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire::Liveness;
use ladder_standin::layout::user::User;
use rustix::process::Signal;

use crate::fleet::call::{BAGMATI, Exchange, join_requests, send_request, spawn_request};
use crate::fleet::load::CallerLoad;
use crate::fleet::{Fleet, small_layout, wait_until};

/// Waits until all running instances except `paused` consider it dead and report it as the owner of
/// no service.
fn wait_until_considered_dead(fleet: &Fleet, paused: usize) {
    let name = fleet.instance_name(paused);
    wait_until("the other instances consider the paused instance dead", || {
        let mut other_instances =
            fleet.running_instances().into_iter().filter(|&instance| instance != paused);
        other_instances.all(|instance| {
            let status = fleet.expect_status(instance);
            let mut members = status.members.iter();
            let may_be_alive = |liveness| matches!(liveness, Liveness::Alive | Liveness::Suspect);
            !members.any(|member| member.name == name && may_be_alive(member.liveness()))
                && status.services.iter().all(|service| service.owner != name)
        })
    });
}

/// Guards against an instance acting on stale state after a process pause. The owner of a service
/// is paused with bookings in progress and resumed long after other instances have taken over its
/// services. It then still has queued work, open deadlines and a view in which it owns these
/// services. It could run a booking a second time, or report a booking that ran as not run. Every
/// caller must be answered, also those of the paused instance.
#[test]
fn resumed_owner_does_not_act_on_stale_state() {
    let fleet = Fleet::start(small_layout(User::Bagmati, 4));
    let service = fleet.published_index(BAGMATI.index).shards.remove(0).service;
    let paused = fleet.owner(&service);
    let entry_address = fleet.other_caller_addresses(paused).remove(0);
    let shards = fleet.shard_names(BAGMATI.index);
    let other_load =
        CallerLoad::start_mixed("beside", &fleet.other_caller_addresses(paused), 4, shards.clone());
    let own_load = CallerLoad::start(&[fleet.caller_address(paused)], 4, move |caller, number| {
        let key = format!("own-{caller}-{number}");
        BAGMATI.booking(&key, &shards[(caller + number) % shards.len()])
    });
    other_load.wait_for_answers(50);
    own_load.wait_for_answers(20);
    let pending = pause_owner(&fleet, paused, &entry_address, &service);
    other_load.wait_for_answers(50);
    wait_until_considered_dead(&fleet, paused);
    let mut exchanges = join_requests(pending);
    check_retries(&fleet, paused, &exchanges);
    fleet.signal(paused, Signal::CONT);
    own_load.wait_for_answers(20);
    fleet.wait_until_settled();
    other_load.wait_for_answers(50);
    exchanges.extend(other_load.stop_and_collect());
    exchanges.extend(own_load.stop_and_collect());
    fleet.check_exchanges(&exchanges);
    fleet.check_connection_limits();
}

/// Pauses the process of the owner of a service while one booking runs at a target that does not
/// reply and another one is on its way to the owner.
fn pause_owner(
    fleet: &Fleet,
    paused: usize,
    entry_address: &str,
    service: &str,
) -> Vec<JoinHandle<Exchange>> {
    // The deadline of these bookings passes before the owner is resumed.
    let short_booking = |key: &str| Request { deadline_ms: 3000, ..BAGMATI.booking(key, service) };
    let mut pending = Vec::new();
    // Bookings of other callers may use all connections to the target that does not reply. A
    // booking that then cannot run in time is refused at once, and must really not have run; the
    // target is made to reply again and the next booking is sent.
    for attempt in 0.. {
        assert!(attempt < 20, "no booking started to run");
        let key = format!("running-{attempt}");
        fleet.set_silent(service, true);
        pending.push(spawn_request(entry_address.to_owned(), short_booking(&key)));
        let sent_request = pending.last().expect("a request was sent");
        wait_until("the booking runs or is refused", || {
            fleet.read_executions().count_for_key(&key) > 0 || sent_request.is_finished()
        });
        if fleet.read_executions().count_for_key(&key) > 0 {
            break;
        }
        fleet.set_silent(service, false);
        let mut requests_sent = 0;
        wait_until("a booking runs again", || {
            requests_sent += 1;
            let again = send_request(
                entry_address,
                short_booking(&format!("again-{attempt}-{requests_sent}")),
            );
            again.answer().verdict() == Verdict::Ran
        });
    }
    fleet.signal(paused, Signal::STOP);
    fleet.set_silent(service, false);
    pending.push(spawn_request(entry_address.to_owned(), short_booking("on-its-way")));
    pending
}

/// Checks the verdicts of the bookings that the paused owner held, and that every other instance
/// refuses a second attempt of a booking that may have run.
fn check_retries(fleet: &Fleet, paused: usize, exchanges: &[Exchange]) {
    let executions = fleet.read_executions();
    for exchange in exchanges {
        let answer = exchange.answer();
        if exchange.request.key.starts_with("running") {
            let ran = executions.count_for_key(&exchange.request.key) > 0;
            let reported = if ran { Verdict::MayHaveRun } else { Verdict::NotRun };
            assert_eq!(answer.verdict(), reported, "{answer:?}");
        }
        if answer.verdict() == Verdict::NotRun {
            continue;
        }
        // An instance that received proof of the execution may report `Ran`; the others must report
        // `MayHaveRun`.
        let ran = answer.verdict() == Verdict::Ran;
        for address in fleet.other_caller_addresses(paused) {
            let retry = send_request(&address, Request { attempt: 2, ..exchange.request.clone() });
            let answer = retry.answer();
            let reported = answer.verdict();
            assert!(
                reported == Verdict::MayHaveRun || ran && reported == Verdict::Ran,
                "{answer:?}"
            );
            assert_eq!(answer.reason(), Reason::RepeatedKey, "{answer:?}");
            assert_eq!(retry.status(), 409);
        }
    }
}
