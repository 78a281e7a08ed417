//! Requests that crash the servers that execute them, and their quarantine.

use std::thread::sleep;
use std::time::Duration;

use ladder_core::fingerprint::Fingerprint;
use ladder_schema::call::Request;
use ladder_schema::outcome::Reason;
use ladder_schema::standin::Fault;
use ladder_schema::status::Quarantine;
use ladder_schema::wire::Standing;
use ladder_standin::layout::user::User;

use crate::fleet::call::{BAGMATI, Exchange, send_request};
use crate::fleet::http;
use crate::fleet::load::CallerLoad;
use crate::fleet::{Fleet, small_layout, wait_until};

/// Payload of the request that crashes servers.
const CRASHING_PAYLOAD: &str = "ward 7, every season since the first";
/// Time in milliseconds for which a crashed server is down before it restarts.
const RESTART_DELAY_MS: u32 = 300;
/// Wait that is longer than instances take to ask a restarted server for its load.
const LOAD_POLL_WAIT: Duration = Duration::from_millis(1500);
/// Highest number of times that the crashing request is sent until no server executes it any more.
const MAX_REPETITIONS: usize = 6;

fn crashing_request(number: usize) -> Request {
    Request { payload: CRASHING_PAYLOAD.to_owned(), ..BAGMATI.sweep(&format!("deadly-{number}")) }
}

fn popular_request(key: &str) -> Request {
    Request { payload: POPULAR_PAYLOAD.to_owned(), ..BAGMATI.sweep(key) }
}

/// Waits until every instance answers a normal sweep completely, so that all crashed servers serve
/// again.
fn wait_until_served(fleet: &Fleet, number: usize) {
    for (instance, address) in fleet.caller_addresses().iter().enumerate() {
        wait_until("a normal sweep is answered completely", || {
            let check = send_request(address, BAGMATI.sweep(&format!("plain-{number}-{instance}")));
            check.answer().missing.is_empty()
        });
    }
    sleep(LOAD_POLL_WAIT);
}

/// Guards against a poison request that crashes servers each time callers send it, through one
/// instance after another. Every instance must quarantine it.
#[test]
fn request_that_crashes_servers_is_quarantined_at_every_instance() {
    let fleet = Fleet::start(small_layout(User::Bagmati, 3));
    let crash_fault = Fault {
        ends_at: CRASHING_PAYLOAD.to_owned(),
        down_ms: RESTART_DELAY_MS,
        ..Fault::default()
    };
    for shard in fleet.shard_names(BAGMATI.index) {
        fleet.servers_of(&shard).for_each(|server| fleet.set_fault(&server.name, &crash_fault));
    }
    let caller_addresses = fleet.caller_addresses();
    let first_not_executed = (0..MAX_REPETITIONS).find(|&number| {
        send_request(&caller_addresses[number % caller_addresses.len()], crashing_request(number));
        let execution_count = fleet.read_executions().count_for_key(&format!("deadly-{number}"));
        wait_until_served(&fleet, number);
        execution_count == 0
    });
    let repetitions_until_quarantine =
        first_not_executed.expect("the request was quarantined within the repetitions");
    for (instance, address) in caller_addresses.iter().enumerate() {
        let number = MAX_REPETITIONS + instance;
        let refused = send_request(address, crashing_request(number));
        assert_eq!(refused.status(), 503, "{refused:?}");
        assert_eq!(fleet.read_executions().count_for_key(&format!("deadly-{number}")), 0);
    }
    assert!(
        repetitions_until_quarantine <= caller_addresses.len(),
        "quarantined only at repetition {repetitions_until_quarantine}"
    );
    check_release(&fleet);
}

/// Quarantine standing of the crashing request on each running instance; `None` if an instance has
/// no record of the request.
fn quarantine_standings(fleet: &Fleet) -> Vec<Option<Standing>> {
    let fingerprint = Fingerprint::of(&crashing_request(0)).to_string();
    let standing = |instance| {
        let status = fleet.expect_status(instance);
        let entry = status.quarantines.iter().find(|entry| entry.fingerprint == fingerprint);
        entry.map(Quarantine::standing)
    };
    fleet.running_instances().into_iter().map(standing).collect()
}

/// Checks that every instance reports the request as quarantined, and that a release at one
/// instance clears the quarantine on all.
fn check_release(fleet: &Fleet) {
    assert_eq!(quarantine_standings(fleet), [Some(Standing::Quarantined); 3]);
    let admin = &fleet.run.instances[1].admin_address;
    let release = |request: &str| {
        let path = format!("/release?request={request}");
        http::post(admin, &path, &()).expect("the instance replies").status
    };
    assert_eq!(release("wards"), 400);
    assert_eq!(release(&Fingerprint::of(&crashing_request(0)).to_string()), 202);
    wait_until("every instance has cleared the quarantine", || {
        quarantine_standings(fleet) == [Some(Standing::Cleared); 3]
    });
}

/// Payload of the request that all callers send.
const POPULAR_PAYLOAD: &str = "wards open today";

/// Guards against quarantining a request that all callers send, only because it is in progress at
/// servers that crash for another reason.
#[test]
fn popular_request_is_served_while_servers_crash() {
    let fleet = Fleet::start(small_layout(User::Bagmati, 3));
    let shards = fleet.shard_names(BAGMATI.index);
    let server_names: Vec<String> = shards
        .iter()
        .flat_map(|shard| fleet.servers_of(shard))
        .map(|server| server.name.clone())
        .collect();
    let load = CallerLoad::start(&fleet.caller_addresses(), 6, |caller, number| {
        popular_request(&format!("{caller}-{number}"))
    });
    for group in 0..3 {
        load.wait_for_answers(60);
        let group_servers: Vec<&String> = server_names.iter().skip(group).step_by(3).collect();
        for dead in [true, false] {
            group_servers
                .iter()
                .for_each(|name| fleet.set_fault(name, &Fault { dead, ..Fault::default() }));
            load.wait_for_answers(60);
        }
    }
    let exchanges = load.stop_and_collect();
    let refused = |exchange: &&Exchange| exchange.answer().reason() == Reason::Quarantined;
    assert_eq!(exchanges.iter().filter(refused).count(), 0);
    for (instance, address) in fleet.caller_addresses().iter().enumerate() {
        wait_until("the popular request is answered completely", || {
            let check = send_request(address, popular_request(&format!("last-{instance}")));
            check.answer().missing.is_empty()
        });
    }
}
