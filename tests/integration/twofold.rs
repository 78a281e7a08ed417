//! Crashes of servers, alone and together with an instance.

use ladder_schema::outcome::Verdict;
use ladder_schema::standin::{Fault, Mode};
use ladder_standin::layout::user::User;

use crate::fleet::call::{BAGMATI, spawn_request};
use crate::fleet::load::CallerLoad;
use crate::fleet::{Fleet, small_layout, wait_until};

/// Name of a server whose service is not owned by the instance that is killed, so that the loss of
/// the owner does not hide the loss of the server.
fn server_not_owned_by(fleet: &Fleet, killed: usize) -> String {
    let shards = fleet.published_index(BAGMATI.index).shards;
    let mut services = shards.iter().map(|shard| &shard.service);
    let service = services.find(|service| fleet.owner(service) != killed);
    let mut servers = fleet.servers_of(service.expect("no instance owns all services"));
    servers.next().expect("the service has servers").name.clone()
}

/// Guards against two faults at once that the platform cannot publish because it is down: a server
/// crashes with requests in progress, and an instance that owns other services is killed. The
/// remaining instances must detect both losses, and every sweep must still cover all shards through
/// the other replica.
#[test]
fn loss_of_server_and_instance_without_platform_keeps_sweeps_complete() {
    let mut fleet = Fleet::start(small_layout(User::Bagmati, 4));
    let killed = fleet.owner(&fleet.published_index(BAGMATI.index).shards[0].service);
    let load = CallerLoad::start_mixed(
        "mixed",
        &fleet.other_caller_addresses(killed),
        8,
        fleet.shard_names(BAGMATI.index),
    );
    load.wait_for_answers(50);
    fleet.set_platform_mode(Mode { down: true, ..Mode::default() });
    let crashed = server_not_owned_by(&fleet, killed);
    fleet.set_fault(&crashed, &Fault { slowdown: 50, ..Fault::default() });
    load.wait_for_answers(50);
    fleet.set_fault(&crashed, &Fault { dead: true, ..Fault::default() });
    fleet.kill(killed);
    load.wait_for_answers(100);
    fleet.wait_until_services_reassigned(killed);
    load.wait_for_answers(200);
    fleet.check_exchanges(&load.stop_and_collect());
}

/// Guards against running a booking twice. A server crashes while it executes a booking, and its
/// connection ends without a reply, which looks like a connection that could not be established.
/// The other replica must not run the booking again, and the caller must learn that it may have
/// run.
#[test]
fn booking_at_crashed_server_runs_once() {
    let fleet = Fleet::start(small_layout(User::Bagmati, 2));
    let service = fleet.shard_names(BAGMATI.index).remove(0);
    fleet.set_silent(&service, true);
    let caller = spawn_request(fleet.caller_address(0), BAGMATI.booking("held", &service));
    wait_until("the booking runs at a server", || {
        fleet.read_executions().count_for_key("held") > 0
    });
    let mut servers = fleet.servers_of(&service);
    let executing_server = servers.find(|server| !fleet.ledger(&server.name).executions.is_empty());
    let executing_server = &executing_server.expect("one of the servers runs the booking").name;
    fleet.set_fault(executing_server, &Fault { dead: true, silent: true, ..Fault::default() });
    // The server that runs the booking stays silent: it may not have come to its answer yet.
    for replica in fleet.servers_of(&service).filter(|server| server.name != *executing_server) {
        fleet.set_fault(&replica.name, &Fault::default());
    }
    let exchange = caller.join().expect("the caller is answered");
    fleet.wait_until_idle();
    assert_eq!(fleet.read_executions().count_for_key("held"), 1, "the booking ran more than once");
    assert_eq!(exchange.answer().verdict(), Verdict::MayHaveRun);
}
