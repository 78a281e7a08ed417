//! An instance vanishes under load.

use std::thread::JoinHandle;

use ladder_schema::outcome::Verdict;
use ladder_standin::layout::user::User;

use crate::fleet::call::{BAGMATI, Exchange, ask, received, send};
use crate::fleet::load::Load;
use crate::fleet::{Fleet, layout, until};

/// Sends a booking through each door, which run at targets that do not answer.
fn hold(fleet: &Fleet, doors: &[String], service: &str) -> Vec<JoinHandle<Exchange>> {
    fleet.silence(service, true);
    let callers = doors.iter().enumerate().map(|(number, door)| {
        send(door.clone(), BAGMATI.booking(&format!("held-{number}"), service))
    });
    let callers = callers.collect();
    until("the bookings run", || {
        let executed = fleet.executed();
        (0..doors.len()).all(|number| executed.of_key(&format!("held-{number}")) > 0)
    });
    fleet.silence(service, false);
    callers
}

/// A ward officer checks a member while an instance's machine is taken away. The instance owned
/// services that the check needs; its queue and its connections end in the middle of the work. The
/// officer, who asks through another instance, still gets every record; a payout lookup runs at
/// most once, and says truly whether it ran.
#[test]
fn killed_instance() {
    let mut fleet = Fleet::start(layout(User::Bagmati, 4));
    let index = fleet.index(BAGMATI.index);
    let service = index.shards[0].service.clone();
    let victim = fleet.owner(&service);
    let held = hold(&fleet, &fleet.others(victim), &service);
    let load = Load::mixed("mixed", &fleet.others(victim), 8, fleet.shards(BAGMATI.index));
    load.until_more(100);
    fleet.kill(victim);
    load.until_more(100);
    fleet.until_replaced(victim);
    load.until_more(100);
    let mut exchanges = load.finish();
    exchanges.extend(received(held));
    fleet.check(&exchanges);
    for exchange in &exchanges {
        exchange.check_map(&index);
    }
    for shard in fleet.shards(BAGMATI.index) {
        let key = format!("afterwards-{shard}");
        let door = fleet.door(fleet.running()[0]);
        let booking = ask(&door, BAGMATI.booking(&key, &shard));
        booking.check_complete(&index);
        assert_eq!(booking.answer().verdict(), Verdict::Ran);
    }
    fleet.check_connections();
}
