//! Graceful stops.

use std::thread::JoinHandle;

use ladder_schema::call::Request;
use ladder_schema::outcome::Verdict;
use ladder_schema::settings::Timing;
use ladder_schema::standin::Fault;
use ladder_standin::layout::user::User;
use rustix::process::Signal;

use crate::fleet::call::{BAGMATI, Exchange, received, send};
use crate::fleet::load::Load;
use crate::fleet::{Fleet, TIMING, layout, until};

/// Bookings through an instance that take some seconds at their targets, longer than an instance
/// that stops goes on taking callers.
fn long_bookings(fleet: &Fleet, at: usize) -> Vec<JoinHandle<Exchange>> {
    let service = fleet.shards(BAGMATI.index).remove(1);
    for server in fleet.servers_of(&service) {
        fleet.fault(&server.name, &Fault { slowdown: 250, ..Fault::default() });
    }
    let callers = ["long-1", "long-2"].map(|key| {
        let booking = Request { deadline_ms: 50_000, ..BAGMATI.booking(key, &service) };
        send(fleet.door(at), booking)
    });
    until("the targets have the bookings", || {
        let executed = fleet.executed();
        executed.of_key("long-1") + executed.of_key("long-2") == 2
    });
    for server in fleet.servers_of(&service) {
        fleet.fault(&server.name, &Fault::default());
    }
    callers.into()
}

/// An instance is told to stop while it is full of work, its own callers' and that of services it
/// owns. A caller would see a broken connection, a partial check or a payout looked up twice. It
/// tells the balancer first, finishes what it has, hands its services over and ends with code 0.
#[test]
fn stopped_under_load() {
    let timing = Timing { drain_ms: 60_000, ..TIMING };
    let mut fleet = Fleet::start(layout(User::Bagmati, 3).service_us(20_000).timing(timing));
    let index = fleet.index(BAGMATI.index);
    let shards = fleet.shards(BAGMATI.index);
    let victim = fleet.owner(&index.shards[0].service);
    let long = long_bookings(&fleet, victim);
    let beside = Load::mixed("beside", &fleet.others(victim), 4, shards.clone());
    let own = Load::mixed("own", &[fleet.door(victim)], 8, shards);
    own.until_more(50);
    beside.until_more(20);
    fleet.signal(victim, Signal::TERM);
    until("the balancer is told", || !fleet.is_ready(victim));
    let mut exchanges = own.finish();
    assert_eq!(fleet.until_ended(victim), Some(0));
    beside.until_more(50);
    exchanges.extend(beside.finish());
    exchanges.extend(received(long));
    fleet.check(&exchanges);
    for exchange in &exchanges {
        exchange.check_complete(&index);
        assert_eq!(exchange.answer().verdict(), Verdict::Ran);
    }
    fleet.check_connections();
}

/// Two instances are told to stop while a target holds bookings without answering, longer than the
/// stop may take: one that the caller asked, and one that only owned the service. The caller would
/// see a broken connection and not know whether to pay again. Each is answered before the process
/// ends, and the answer does not claim that the booking did not run.
#[test]
fn stopped_at_its_bound() {
    for owner_stops in [false, true] {
        let timing = Timing { drain_ms: 1000, ..TIMING };
        let mut fleet = Fleet::start(layout(User::Bagmati, 3).timing(timing));
        let service = fleet.index(BAGMATI.index).shards[0].service.clone();
        let owner = fleet.owner(&service);
        let mut others = fleet.running().into_iter().filter(|&at| at != owner);
        let entry = others.next().expect("another instance");
        fleet.silence(&service, true);
        let victim = if owner_stops { owner } else { entry };
        let booking = Request { deadline_ms: 40_000, ..BAGMATI.booking("held", &service) };
        let caller = send(fleet.door(entry), booking);
        until("the target holds the booking", || fleet.executed().of_key("held") > 0);
        fleet.signal(victim, Signal::TERM);
        let exchange = caller.join().expect("the caller is answered");
        let answer = exchange.answer();
        assert_eq!(answer.verdict(), Verdict::MayHaveRun, "{answer:?}");
        assert_eq!(fleet.until_ended(victim), Some(0));
        assert_eq!(fleet.executed().of_key("held"), 1);
    }
}
