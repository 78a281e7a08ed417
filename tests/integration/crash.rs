//! Tests of requests during which server processes crash.

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
use crate::fleet::{Fleet, layout, wait_until};

/// Payload of the request that crashes the servers.
const CRASHING_PAYLOAD: &str = "ward 7, every season since the first";
/// How long a crashed server is down, in milliseconds.
const DOWN_MS: u32 = 300;
/// Longer than the interval after which instances poll a restarted server for its load.
const LOAD_POLL_WAIT: Duration = Duration::from_millis(1500);
/// Number of times that the request is sent.
const REPETITIONS: usize = 6;

fn crashing_request(number: usize) -> Request {
    Request { payload: CRASHING_PAYLOAD.to_owned(), ..BAGMATI.sweep(&format!("deadly-{number}")) }
}

fn popular_sweep(key: &str) -> Request {
    Request { payload: POPULAR_PAYLOAD.to_owned(), ..BAGMATI.sweep(key) }
}

/// Waits until all servers serve again in the view of each instance.
fn wait_until_served(fleet: &Fleet, number: usize) {
    for (at, caller_address) in fleet.caller_addresses().iter().enumerate() {
        wait_until("a plain check is answered whole", || {
            let check = ask(caller_address, BAGMATI.sweep(&format!("plain-{number}-{at}")));
            check.answer().missing.is_empty()
        });
    }
    sleep(LOAD_POLL_WAIT);
}

/// Guards against a request that crashes servers each time it is sent, at one instance after
/// another.
#[test]
fn request_that_crashes_servers_is_quarantined_at_every_instance() {
    let fleet = Fleet::start(layout(User::Bagmati, 3));
    let crash_fault =
        Fault { ends_at: CRASHING_PAYLOAD.to_owned(), down_ms: DOWN_MS, ..Fault::default() };
    for shard in fleet.shards(BAGMATI.index) {
        fleet.servers_of(&shard).for_each(|server| fleet.set_fault(&server.name, &crash_fault));
    }
    let caller_addresses = fleet.caller_addresses();
    let last = (0..REPETITIONS).find(|&number| {
        ask(&caller_addresses[number % caller_addresses.len()], crashing_request(number));
        let reached = fleet.executions().count_of_key(&format!("deadly-{number}"));
        wait_until_served(&fleet, number);
        reached == 0
    });
    let first_stopped = last.expect("the request still reaches servers");
    for (at, caller_address) in caller_addresses.iter().enumerate() {
        let number = REPETITIONS + at;
        let refused = ask(caller_address, crashing_request(number));
        assert_eq!(refused.status(), 503, "{refused:?}");
        assert_eq!(fleet.executions().count_of_key(&format!("deadly-{number}")), 0);
    }
    assert!(first_stopped <= caller_addresses.len(), "stopped at its repetition {first_stopped}");
    check_release(&fleet);
}

/// Returns the quarantine state of the crashing request at each instance.
fn standings(fleet: &Fleet) -> Vec<Option<Standing>> {
    let fingerprint = Fingerprint::of(&crashing_request(0)).to_string();
    let standing = |at| {
        let status = fleet.expect_status(at);
        let entry = status.quarantines.iter().find(|entry| entry.fingerprint == fingerprint);
        entry.map(Quarantine::standing)
    };
    fleet.running().into_iter().map(standing).collect()
}

/// Checks that operators see the quarantined request, and that a release at one instance applies to
/// all.
fn check_release(fleet: &Fleet) {
    assert_eq!(standings(fleet), [Some(Standing::Quarantined); 3]);
    let admin = &fleet.run.instances[1].admin_address;
    let release = |request: &str| {
        let path = format!("/release?request={request}");
        http::post(admin, &path, &()).expect("it answers").status
    };
    assert_eq!(release("wards"), 400);
    assert_eq!(release(&Fingerprint::of(&crashing_request(0)).to_string()), 202);
    wait_until("it is released everywhere", || standings(fleet) == [Some(Standing::Cleared); 3]);
}

/// Payload of a request that many callers send.
const POPULAR_PAYLOAD: &str = "wards open today";

/// Guards against quarantining a popular request because it is in progress at servers that crash
/// for other reasons.
#[test]
fn popular_request_is_not_quarantined_while_servers_crash() {
    let fleet = Fleet::start(layout(User::Bagmati, 3));
    let shards = fleet.shards(BAGMATI.index);
    let servers: Vec<String> = shards
        .iter()
        .flat_map(|shard| fleet.servers_of(shard))
        .map(|server| server.name.clone())
        .collect();
    let load = Load::start(&fleet.caller_addresses(), 6, |caller, number| {
        popular_sweep(&format!("{caller}-{number}"))
    });
    for group in 0..3 {
        load.wait_for_answers(60);
        let third: Vec<&String> = servers.iter().skip(group).step_by(3).collect();
        for dead in [true, false] {
            third
                .iter()
                .for_each(|name| fleet.set_fault(name, &Fault { dead, ..Fault::default() }));
            load.wait_for_answers(60);
        }
    }
    let exchanges = load.finish();
    let refused = |exchange: &&Exchange| exchange.answer().reason() == Reason::Quarantined;
    assert_eq!(exchanges.iter().filter(refused).count(), 0);
    for (at, caller_address) in fleet.caller_addresses().iter().enumerate() {
        wait_until("it is answered whole", || {
            let check = ask(caller_address, popular_sweep(&format!("last-{at}")));
            check.answer().missing.is_empty()
        });
    }
}
