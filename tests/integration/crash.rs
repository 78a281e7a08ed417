//! Requests under which servers end.

use std::thread::sleep;
use std::time::Duration;

use ladder_core::fingerprint::Fingerprint;
use ladder_schema::call::Request;
use ladder_schema::outcome::Reason;
use ladder_schema::standin::Fault;
use ladder_schema::status::Quarantine;
use ladder_schema::wire::Standing;
use ladder_standin::layout::user::User;

use crate::fleet::call::{BAGMATI, Exchange, ask};
use crate::fleet::http;
use crate::fleet::load::Load;
use crate::fleet::{Fleet, layout, until};

/// What ends the servers.
const PAYLOAD: &str = "ward 7, every season since the first";
/// How long a server that ended is gone.
const DOWN_MS: u32 = 300;
/// Longer than instances take to ask a server that is back for its load.
const ASKED: Duration = Duration::from_millis(1500);
/// Times that the request comes.
const TIMES: usize = 6;

fn deadly(number: usize) -> Request {
    Request { payload: PAYLOAD.to_owned(), ..BAGMATI.sweep(&format!("deadly-{number}")) }
}

fn popular(key: &str) -> Request {
    Request { payload: POPULAR.to_owned(), ..BAGMATI.sweep(key) }
}

/// Waits until all servers serve again, as each instance sees it.
fn until_served(fleet: &Fleet, number: usize) {
    for (at, door) in fleet.doors().iter().enumerate() {
        until("a plain check is answered whole", || {
            let check = ask(door, BAGMATI.sweep(&format!("plain-{number}-{at}")));
            check.answer().missing.is_empty()
        });
    }
    sleep(ASKED);
}

/// Guards against a request that ends servers each time that it comes, at one instance after the other.
#[test]
fn request_that_ends_servers_is_stopped_at_every_instance() {
    let fleet = Fleet::start(layout(User::Bagmati, 3));
    let ends = Fault { ends_at: PAYLOAD.to_owned(), down_ms: DOWN_MS, ..Fault::default() };
    for shard in fleet.shards(BAGMATI.index) {
        fleet.servers_of(&shard).for_each(|server| fleet.fault(&server.name, &ends));
    }
    let doors = fleet.doors();
    let last = (0..TIMES).find(|&number| {
        ask(&doors[number % doors.len()], deadly(number));
        let reached = fleet.executed().of_key(&format!("deadly-{number}"));
        until_served(&fleet, number);
        reached == 0
    });
    let first_stopped = last.expect("the request still reaches servers");
    for (at, door) in doors.iter().enumerate() {
        let number = TIMES + at;
        let refused = ask(door, deadly(number));
        assert_eq!(refused.status(), 503, "{refused:?}");
        assert_eq!(fleet.executed().of_key(&format!("deadly-{number}")), 0);
    }
    assert!(first_stopped <= doors.len(), "stopped at its repetition {first_stopped}");
    check_release(&fleet);
}

/// What each instance holds of the request.
fn standings(fleet: &Fleet) -> Vec<Option<Standing>> {
    let fingerprint = Fingerprint::of(&deadly(0)).to_string();
    let standing = |at| {
        let status = fleet.view(at);
        let entry = status.quarantines.iter().find(|entry| entry.fingerprint == fingerprint);
        entry.map(Quarantine::standing)
    };
    fleet.running().into_iter().map(standing).collect()
}

/// Operators see what is refused, and release it at one instance for all.
fn check_release(fleet: &Fleet) {
    assert_eq!(standings(fleet), [Some(Standing::Quarantined); 3]);
    let admin = &fleet.run.instances[1].admin_address;
    let release = |request: &str| {
        let path = format!("/release?request={request}");
        http::post(admin, &path, &()).expect("it answers").status
    };
    assert_eq!(release("wards"), 400);
    assert_eq!(release(&Fingerprint::of(&deadly(0)).to_string()), 202);
    until("it is released everywhere", || standings(fleet) == [Some(Standing::Cleared); 3]);
}

/// What everybody asks.
const POPULAR: &str = "wards open today";

/// Guards against refusing what everybody asks because it is open at servers that end.
#[test]
fn popular_request_is_served_while_servers_end() {
    let fleet = Fleet::start(layout(User::Bagmati, 3));
    let shards = fleet.shards(BAGMATI.index);
    let servers: Vec<String> = shards
        .iter()
        .flat_map(|shard| fleet.servers_of(shard))
        .map(|server| server.name.clone())
        .collect();
    let load =
        Load::start(&fleet.doors(), 6, |caller, number| popular(&format!("{caller}-{number}")));
    for dark in 0..3 {
        load.until_more(60);
        let third: Vec<&String> = servers.iter().skip(dark).step_by(3).collect();
        for dead in [true, false] {
            third.iter().for_each(|name| fleet.fault(name, &Fault { dead, ..Fault::default() }));
            load.until_more(60);
        }
    }
    let exchanges = load.finish();
    let refused = |exchange: &&Exchange| exchange.answer().reason() == Reason::Quarantined;
    assert_eq!(exchanges.iter().filter(refused).count(), 0);
    for (at, door) in fleet.doors().iter().enumerate() {
        until("it is answered whole", || {
            let check = ask(door, popular(&format!("last-{at}")));
            check.answer().missing.is_empty()
        });
    }
}
