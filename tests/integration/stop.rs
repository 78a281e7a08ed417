//! Graceful stops.

use std::thread;

use ladder_schema::call::Request;
use ladder_schema::outcome::Verdict;
use ladder_standin::layout::user::User;
use rustix::process::Signal;

use crate::fleet::call::{BAGMATI, Exchange, ask};
use crate::fleet::load::Load;
use crate::fleet::{Fleet, layout, until};

/// An instance is told to stop while it is full of work, its own callers' and that of services it
/// owns. A caller would see a broken connection, a partial check or a payout looked up twice. It
/// tells the balancer first, finishes what it has, hands its services over and ends with code 0.
#[test]
fn stopped_under_load() {
    let mut fleet = Fleet::start(layout(User::Bagmati, 3).service_us(20_000));
    let index = fleet.index(BAGMATI.index);
    let shards = fleet.shards(BAGMATI.index);
    let victim = fleet.owner(&index.shards[0].service);
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
        let mut fleet = Fleet::start_edited(layout(User::Bagmati, 3), |_, settings| {
            settings.timing.get_or_insert_default().drain_ms = 1000;
        });
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
fn held_booking(fleet: &Fleet, entry: usize, service: &str) -> thread::JoinHandle<Exchange> {
    let booking = Request {
        deadline_ms: 40_000,
        ..BAGMATI.booking("held", service)
    };
    let door = fleet.door(entry);
    let caller = thread::spawn(move || ask(&door, booking));
    until("the target holds the booking", || {
        fleet.executed().of_key("held") > 0
    });
    caller
}
