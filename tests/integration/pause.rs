//! An instance is suspended for longer than every time limit, and wakes.

use std::thread::JoinHandle;

use ladder_schema::call::Request;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire::Liveness;
use ladder_standin::layout::user::User;
use rustix::process::Signal;

use crate::fleet::call::{BAGMATI, Exchange, ask, received, send};
use crate::fleet::load::Load;
use crate::fleet::{Fleet, layout, until};

/// Waits until all running instances but `victim` hold it dead and for nobody's owner.
fn until_dead(fleet: &Fleet, victim: usize) {
    let name = fleet.name(victim);
    until("the frozen instance is held dead", || {
        let mut others = fleet.running().into_iter().filter(|&at| at != victim);
        others.all(|at| {
            let status = fleet.view(at);
            let mut members = status.members.iter();
            let alive = |liveness| matches!(liveness, Liveness::Alive | Liveness::Suspect);
            !members.any(|member| member.name == name && alive(member.liveness()))
                && status.services.iter().all(|service| service.owner != name)
        })
    });
}

/// An instance's machine is suspended with bookings in hand, and resumed when others have long
/// taken its services over. It wakes with queued work, open deadlines and a view in which it owns
/// them. A caller would see a dock booked twice, or an answer that calls a booking not run when it
/// ran. Nothing stale may be acted on; every caller is answered, also its own.
#[test]
fn frozen_owner() {
    let fleet = Fleet::start(layout(User::Bagmati, 4));
    let service = fleet.index(BAGMATI.index).shards.remove(0).service;
    let victim = fleet.owner(&service);
    let entry = fleet.others(victim).remove(0);
    let shards = fleet.shards(BAGMATI.index);
    let beside = Load::mixed("beside", &fleet.others(victim), 4, shards.clone());
    let own = Load::start(&[fleet.door(victim)], 4, move |caller, number| {
        let key = format!("own-{caller}-{number}");
        BAGMATI.booking(&key, &shards[(caller + number) % shards.len()])
    });
    beside.until_more(50);
    own.until_more(20);
    let open = freeze(&fleet, victim, &entry, &service);
    beside.until_more(50);
    until_dead(&fleet, victim);
    let mut exchanges = received(open);
    check_retries(&fleet, victim, &exchanges);
    fleet.signal(victim, Signal::CONT);
    own.until_more(20);
    fleet.settle();
    beside.until_more(50);
    exchanges.extend(beside.finish());
    exchanges.extend(own.finish());
    fleet.check(&exchanges);
    fleet.check_connections();
}

/// Freezes the owner of a service with one booking at a silent target and one on its way to it.
fn freeze(fleet: &Fleet, victim: usize, door: &str, service: &str) -> Vec<JoinHandle<Exchange>> {
    // Given up before the owner wakes.
    let short = |key: &str| Request { deadline_ms: 3000, ..BAGMATI.booking(key, service) };
    let mut open = Vec::new();
    // The bookings beside it may hold all connections to the silent target. One that can't run in
    // time then is refused at once, which must be true; the target speaks again and another is sent.
    for attempt in 0.. {
        assert!(attempt < 20, "no booking runs");
        let key = format!("running-{attempt}");
        fleet.silence(service, true);
        open.push(send(door.to_owned(), short(&key)));
        let running = open.last().expect("it was sent just now");
        until("the booking runs or is refused", || {
            fleet.executed().of_key(&key) > 0 || running.is_finished()
        });
        if fleet.executed().of_key(&key) > 0 {
            break;
        }
        fleet.silence(service, false);
        let mut asked = 0;
        until("a booking runs again", || {
            asked += 1;
            let again = ask(door, short(&format!("again-{attempt}-{asked}")));
            again.answer().verdict() == Verdict::Ran
        });
    }
    fleet.signal(victim, Signal::STOP);
    fleet.silence(service, false);
    open.push(send(door.to_owned(), short("on-its-way")));
    open
}

/// What ended without proof is not run by a second attempt either, whoever is asked.
fn check_retries(fleet: &Fleet, victim: usize, exchanges: &[Exchange]) {
    let executed = fleet.executed();
    for exchange in exchanges {
        let answer = exchange.answer();
        if exchange.request.key.starts_with("running") {
            let ran = executed.of_key(&exchange.request.key) > 0;
            let told = if ran { Verdict::MayHaveRun } else { Verdict::NotRun };
            assert_eq!(answer.verdict(), told, "{answer:?}");
        }
        if answer.verdict() == Verdict::NotRun {
            continue;
        }
        // A door that saw it run may say so; none may say more than is true.
        let ran = answer.verdict() == Verdict::Ran;
        for door in fleet.others(victim) {
            let retry = ask(&door, Request { attempt: 2, ..exchange.request.clone() });
            let answer = retry.answer();
            let told = answer.verdict();
            assert!(told == Verdict::MayHaveRun || ran && told == Verdict::Ran, "{answer:?}");
            assert_eq!(answer.reason(), Reason::RepeatedKey, "{answer:?}");
            assert_eq!(retry.status(), 409);
        }
    }
}
