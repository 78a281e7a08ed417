//! Test of an instance that is paused for longer than every timeout and then resumes.

use std::thread::JoinHandle;

use ladder_schema::call::Request;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire::Liveness;
use ladder_standin::layout::user::User;
use rustix::process::Signal;

use crate::fleet::call::{BAGMATI, Exchange, ask, join_all, send};
use crate::fleet::load::Load;
use crate::fleet::{Fleet, layout, wait_until};

/// Waits until all running instances except `victim` consider it dead and not the owner of any
/// service.
fn wait_until_considered_dead(fleet: &Fleet, victim: usize) {
    let name = fleet.name(victim);
    wait_until("the paused instance is considered dead", || {
        let mut others = fleet.running().into_iter().filter(|&at| at != victim);
        others.all(|at| {
            let status = fleet.expect_status(at);
            let mut members = status.members.iter();
            let is_alive = |liveness| matches!(liveness, Liveness::Alive | Liveness::Suspect);
            !members.any(|member| member.name == name && is_alive(member.liveness()))
                && status.services.iter().all(|service| service.owner != name)
        })
    });
}

/// Guards against a double booking, or an answer that reports an executed booking as not executed,
/// after a process pause. An instance with open bookings is paused, and resumes long after others
/// have taken over its services. It then has queued work, open deadlines and a view in which it
/// owns these services. It must not act on outdated state, and every caller is answered, including
/// its own.
#[test]
fn paused_owner_acts_on_no_outdated_state() {
    let fleet = Fleet::start(layout(User::Bagmati, 4));
    let service = fleet.index(BAGMATI.index).shards.remove(0).service;
    let victim = fleet.owner(&service);
    let entry = fleet.other_caller_addresses(victim).remove(0);
    let shards = fleet.shards(BAGMATI.index);
    let other_load =
        Load::mixed("beside", &fleet.other_caller_addresses(victim), 4, shards.clone());
    let own_load = Load::start(&[fleet.caller_address(victim)], 4, move |caller, number| {
        let key = format!("own-{caller}-{number}");
        BAGMATI.booking(&key, &shards[(caller + number) % shards.len()])
    });
    other_load.wait_for_answers(50);
    own_load.wait_for_answers(20);
    let open_bookings = pause_owner(&fleet, victim, &entry, &service);
    other_load.wait_for_answers(50);
    wait_until_considered_dead(&fleet, victim);
    let mut exchanges = join_all(open_bookings);
    check_retries(&fleet, victim, &exchanges);
    fleet.signal(victim, Signal::CONT);
    own_load.wait_for_answers(20);
    fleet.wait_until_settled();
    other_load.wait_for_answers(50);
    exchanges.extend(other_load.finish());
    exchanges.extend(own_load.finish());
    fleet.check(&exchanges);
    fleet.check_connections();
}

/// Pauses the owner of a service while one booking is held by a silent target and another is on its
/// way to the owner.
fn pause_owner(
    fleet: &Fleet,
    victim: usize,
    caller_address: &str,
    service: &str,
) -> Vec<JoinHandle<Exchange>> {
    // The caller's deadline passes before the owner resumes.
    let short_booking = |key: &str| Request { deadline_ms: 3000, ..BAGMATI.booking(key, service) };
    let mut open_bookings = Vec::new();
    // Other bookings may occupy all connections to the silent target. A booking that then can't run
    // in time is refused at once, and that refusal must be true. In this case the target answers
    // again and another booking is sent.
    for attempt in 0.. {
        assert!(attempt < 20, "no booking runs");
        let key = format!("running-{attempt}");
        fleet.set_silent(service, true);
        open_bookings.push(send(caller_address.to_owned(), short_booking(&key)));
        let running = open_bookings.last().expect("it was sent just now");
        wait_until("the booking runs or is refused", || {
            fleet.executions().count_of_key(&key) > 0 || running.is_finished()
        });
        if fleet.executions().count_of_key(&key) > 0 {
            break;
        }
        fleet.set_silent(service, false);
        let mut retries = 0;
        wait_until("a booking runs again", || {
            retries += 1;
            let again = ask(caller_address, short_booking(&format!("again-{attempt}-{retries}")));
            again.answer().verdict() == Verdict::Ran
        });
    }
    fleet.signal(victim, Signal::STOP);
    fleet.set_silent(service, false);
    open_bookings.push(send(caller_address.to_owned(), short_booking("on-its-way")));
    open_bookings
}

/// A second attempt of a booking that ended without proof is not executed either, at whichever
/// instance.
fn check_retries(fleet: &Fleet, victim: usize, exchanges: &[Exchange]) {
    let executions = fleet.executions();
    for exchange in exchanges {
        let answer = exchange.answer();
        if exchange.request.key.starts_with("running") {
            let ran = executions.count_of_key(&exchange.request.key) > 0;
            let verdict = if ran { Verdict::MayHaveRun } else { Verdict::NotRun };
            assert_eq!(answer.verdict(), verdict, "{answer:?}");
        }
        if answer.verdict() == Verdict::NotRun {
            continue;
        }
        // An instance that saw the booking run may report so; no instance may claim more than is
        // true.
        let ran = answer.verdict() == Verdict::Ran;
        for caller_address in fleet.other_caller_addresses(victim) {
            let retry = ask(&caller_address, Request { attempt: 2, ..exchange.request.clone() });
            let answer = retry.answer();
            let verdict = answer.verdict();
            assert!(verdict == Verdict::MayHaveRun || ran && verdict == Verdict::Ran, "{answer:?}");
            assert_eq!(answer.reason(), Reason::RepeatedKey, "{answer:?}");
            assert_eq!(retry.status(), 409);
        }
    }
}
