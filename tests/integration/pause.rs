//! An instance is suspended for longer than every time limit, and wakes.

use std::thread;

use ladder_schema::call::Request;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire::Liveness;
use ladder_standin::layout::user::User;
use rustix::process::Signal;

use crate::fleet::call::{BAGMATI, Exchange, ask};
use crate::fleet::load::Load;
use crate::fleet::{Fleet, layout, until};

/// Waits until all running instances but `victim` hold it dead and for nobody's owner.
fn until_dead(fleet: &Fleet, victim: usize) {
    let name = fleet.name(victim);
    until("the frozen instance is held dead", || {
        let others = fleet.running().into_iter().filter(|&at| at != victim);
        others.into_iter().all(|at| {
            let status = fleet.status(at).expect("a living instance answers");
            let mut members = status.members.iter();
            let alive = |liveness| matches!(liveness, Liveness::Alive | Liveness::Suspect);
            !members.any(|member| member.name == name && alive(member.liveness()))
                && status.services.iter().all(|service| service.owner != name)
        })
    });
}

/// Sends a request from a thread of its own.
fn send(fleet: &Fleet, at: usize, request: Request) -> thread::JoinHandle<Exchange> {
    let door = fleet.door(at);
    thread::spawn(move || ask(&door, request))
}

/// An instance's machine is suspended with bookings in hand, and resumed when others have long
/// taken its services over. It wakes with queued work, open deadlines and a view in which it owns
/// them. A caller would see a dock booked twice, or an answer that calls a booking not run when it
/// ran. Nothing stale may be acted on; every caller is answered, also its own.
#[test]
fn frozen_owner() {
    let fleet = Fleet::start(layout(User::Bagmati, 4));
    let index = fleet.index(BAGMATI.index);
    let service = index.shards[0].service.clone();
    let victim = fleet.owner(&service);
    let entry = fleet.running().into_iter().find(|&at| at != victim);
    let entry = entry.expect("another instance");
    let shards = fleet.shards(BAGMATI.index);
    let beside = Load::mixed(&fleet.others(victim), 4, BAGMATI, shards.clone());
    let own = Load::start(&[fleet.door(victim)], 4, move |caller, number| {
        let key = format!("own-{caller}-{number}");
        BAGMATI.booking(&key, &shards[(caller + number) % shards.len()])
    });
    beside.until_more(50);
    own.until_more(20);
    let open = freeze(&fleet, victim, entry, &service);
    beside.until_more(50);
    until_dead(&fleet, victim);
    let mut exchanges: Vec<Exchange> =
        open.into_iter().map(|sender| sender.join().expect("a caller is answered")).collect();
    check_retries(&fleet, victim, &exchanges);
    fleet.signal(victim, Signal::CONT);
    own.until_more(20);
    fleet.settle();
    beside.until_more(50);
    exchanges.extend(beside.finish());
    exchanges.extend(own.finish());
    fleet.until_idle();
    let executed = fleet.executed();
    executed.check_no_doubles(BAGMATI.booking);
    for exchange in &exchanges {
        exchange.check_own();
        executed.check_verdicts(exchange);
        if exchange.request.operation == BAGMATI.sweep {
            exchange.check_complete(&index);
        }
    }
    fleet.check_connections();
}

/// A booking that is given up before the owner wakes.
fn short(key: &str, service: &str) -> Request {
    Request { deadline_ms: 3000, ..BAGMATI.booking(key, service) }
}

/// Freezes the owner of a service with one booking at a silent target and one on its way to it.
fn freeze(
    fleet: &Fleet,
    victim: usize,
    entry: usize,
    service: &str,
) -> Vec<thread::JoinHandle<Exchange>> {
    fleet.silence(service, true);
    let running = send(fleet, entry, short("running", service));
    until("the booking runs", || fleet.executed().of_key("running") > 0);
    fleet.signal(victim, Signal::STOP);
    fleet.silence(service, false);
    let sent = send(fleet, entry, short("on-its-way", service));
    vec![running, sent]
}

/// What ended without proof is not run by a second attempt either, whoever is asked.
fn check_retries(fleet: &Fleet, victim: usize, exchanges: &[Exchange]) {
    for exchange in exchanges {
        let answer = exchange.answer();
        if exchange.request.key == "running" {
            assert_eq!(answer.verdict(), Verdict::MayHaveRun, "{answer:?}");
        }
        if answer.verdict() == Verdict::NotRun {
            continue;
        }
        for door in fleet.others(victim) {
            let retry = Request { attempt: 2, ..exchange.request.clone() };
            let retry = ask(&door, retry);
            let answer = retry.answer();
            assert_eq!(answer.verdict(), Verdict::MayHaveRun, "{answer:?}");
            assert_eq!(answer.reason(), Reason::RepeatedKey, "{answer:?}");
            assert_eq!(retry.status(), 409);
        }
    }
}
