//! Graceful stops.

use std::thread::{self, JoinHandle};

use ladder_schema::call::Request;
use ladder_schema::outcome::Verdict;
use ladder_schema::standin::Fault;
use ladder_standin::layout::user::User;
use rustix::process::Signal;

use crate::fleet::call::{BAGMATI, Exchange, ask};
use crate::fleet::load::Load;
use crate::fleet::{Edits, Fleet, layout, until};

/// Bookings through an instance that take some seconds at their targets, longer than an instance
/// that stops goes on taking callers.
fn long_bookings(fleet: &Fleet, at: usize) -> Vec<JoinHandle<Exchange>> {
    let service = fleet.shards(BAGMATI.index).remove(1);
    let servers = fleet.servers().filter(|server| server.service == service);
    let names: Vec<&str> = servers.map(|server| server.name.as_str()).collect();
    for name in &names {
        let slow = Fault { slowdown: 250, ..Fault::default() };
        fleet.fault(name, &slow);
    }
    let callers = ["long-1", "long-2"].map(|key| {
        let booking = Request { deadline_ms: 50_000, ..BAGMATI.booking(key, &service) };
        let door = fleet.door(at);
        thread::spawn(move || ask(&door, booking))
    });
    until("the targets have the bookings", || {
        let executed = fleet.executed();
        executed.of_key("long-1") + executed.of_key("long-2") == 2
    });
    for name in &names {
        fleet.fault(name, &Fault::default());
    }
    callers.into()
}

/// An instance is told to stop while it is full of work, its own callers' and that of services it
/// owns. A caller would see a broken connection, a partial check or a payout looked up twice. It
/// tells the balancer first, finishes what it has, hands its services over and ends with code 0.
#[test]
fn stopped_under_load() {
    let edits = Edits {
        instance: |_, settings| settings.timing.get_or_insert_default().drain_ms = 60_000,
        ..Edits::default()
    };
    let layout = layout(User::Bagmati, 3).service_us(20_000);
    let mut fleet = Fleet::start_edited(layout, edits);
    let index = fleet.index(BAGMATI.index);
    let shards = fleet.shards(BAGMATI.index);
    let victim = fleet.owner(&index.shards[0].service);
    let long = long_bookings(&fleet, victim);
    let beside = Load::mixed(&fleet.others(victim), 4, BAGMATI, shards.clone());
    let own = Load::start(&[fleet.door(victim)], 8, move |caller, number| {
        let key = format!("own-{caller}-{number}");
        match number % 2 {
            0 => BAGMATI.sweep(&key),
            _ => BAGMATI.booking(&key, &shards[(caller + number / 2) % shards.len()]),
        }
    });
    own.until_more(50);
    beside.until_more(20);
    fleet.signal(victim, Signal::TERM);
    until("the balancer is told", || !fleet.is_ready(victim));
    let mut exchanges = own.finish();
    assert_eq!(fleet.until_ended(victim), Some(0));
    beside.until_more(50);
    exchanges.extend(beside.finish());
    let long = long.into_iter().map(JoinHandle::join);
    exchanges.extend(long.map(|exchange| exchange.expect("a caller is answered")));
    fleet.until_idle();
    let executed = fleet.executed();
    executed.check_no_doubles(BAGMATI.booking);
    for exchange in &exchanges {
        exchange.check_complete(&index);
        assert_eq!(exchange.answer().verdict(), Verdict::Ran);
        executed.check_verdicts(exchange);
    }
    fleet.check_connections();
}

/// Two instances are told to stop while a target holds bookings without answering, longer than the
/// stop may take: one that the caller asked, and one that only owned the service. The caller would
/// see a broken connection and not know whether to pay again. Each is answered before the process
/// ends, and the answer does not claim that the booking did not run.
#[test]
fn stopped_at_its_bound() {
    for stops in [Stops::Entry, Stops::Owner] {
        let edits = Edits {
            instance: |_, settings| settings.timing.get_or_insert_default().drain_ms = 1000,
            ..Edits::default()
        };
        let mut fleet = Fleet::start_edited(layout(User::Bagmati, 3), edits);
        let service = fleet.index(BAGMATI.index).shards[0].service.clone();
        let owner = fleet.owner(&service);
        let mut others = fleet.running().into_iter().filter(|&at| at != owner);
        let entry = others.next().expect("another instance");
        fleet.silence(&service, true);
        let victim = match stops {
            Stops::Entry => entry,
            Stops::Owner => owner,
        };
        let caller = held_booking(&fleet, entry, &service);
        fleet.signal(victim, Signal::TERM);
        let exchange = caller.join().expect("the caller is answered");
        let answer = exchange.answer();
        assert_eq!(answer.verdict(), Verdict::MayHaveRun, "{answer:?}");
        assert_eq!(fleet.until_ended(victim), Some(0));
        assert_eq!(fleet.executed().of_key("held"), 1);
    }
}

/// Which instance is told to stop.
#[derive(Clone, Copy)]
enum Stops {
    Entry,
    Owner,
}

/// Sends a booking and waits until a target holds it.
fn held_booking(fleet: &Fleet, entry: usize, service: &str) -> JoinHandle<Exchange> {
    let booking = Request { deadline_ms: 40_000, ..BAGMATI.booking("held", service) };
    let door = fleet.door(entry);
    let caller = thread::spawn(move || ask(&door, booking));
    until("the target holds the booking", || fleet.executed().of_key("held") > 0);
    caller
}
