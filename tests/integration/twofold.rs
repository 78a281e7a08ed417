//! Tests of servers that die, alone and together with an instance.

use ladder_schema::outcome::Verdict;
use ladder_schema::standin::{Fault, Mode};
use ladder_standin::layout::user::User;

use crate::fleet::call::{BAGMATI, send};
use crate::fleet::load::Load;
use crate::fleet::{Fleet, layout, wait_until};

/// Returns a server of a service that another instance than `victim` owns, so that the loss of
/// `victim` does not hide the loss of the server.
fn target_of_another(fleet: &Fleet, victim: usize) -> String {
    let shards = fleet.index(BAGMATI.index).shards;
    let mut services = shards.iter().map(|shard| &shard.service);
    let service = services.find(|service| fleet.owner(service) != victim);
    let mut servers = fleet.servers_of(service.expect("no instance owns all services"));
    servers.next().expect("the service has servers").name.clone()
}

/// Guards against incomplete sweeps when two faults occur while the platform is down: a server dies
/// with requests in progress, and the machine of an instance that owned other services is lost.
/// Neither loss can be published. The remaining instances detect both, and every sweep still covers
/// all shards through the other replica.
#[test]
fn sweeps_stay_complete_when_a_server_and_an_instance_die_without_platform() {
    let mut fleet = Fleet::start(layout(User::Bagmati, 4));
    let victim = fleet.owner(&fleet.index(BAGMATI.index).shards[0].service);
    let load =
        Load::mixed("mixed", &fleet.other_caller_addresses(victim), 8, fleet.shards(BAGMATI.index));
    load.wait_for_answers(50);
    fleet.set_platform_mode(Mode { down: true, ..Mode::default() });
    let dead = target_of_another(&fleet, victim);
    fleet.set_fault(&dead, &Fault { slowdown: 50, ..Fault::default() });
    load.wait_for_answers(50);
    fleet.set_fault(&dead, &Fault { dead: true, ..Fault::default() });
    fleet.kill(victim);
    load.wait_for_answers(100);
    fleet.wait_until_replaced(victim);
    load.wait_for_answers(200);
    fleet.check(&load.finish());
}

/// Guards against executing a booking twice after a server died with it. The connection ends before
/// any answer, like a connection that could not be opened, and another replica would execute the
/// booking again. The booking is executed once, and its caller is informed that it may have run.
#[test]
fn booking_at_a_dead_server_runs_once() {
    let fleet = Fleet::start(layout(User::Bagmati, 2));
    let service = fleet.shards(BAGMATI.index).remove(0);
    fleet.set_silent(&service, true);
    let caller = send(fleet.caller_address(0), BAGMATI.booking("held", &service));
    wait_until("the booking runs", || fleet.executions().count_of_key("held") > 0);
    let mut servers = fleet.servers_of(&service);
    let holder = servers.find(|server| !fleet.ledger(&server.name).executions.is_empty());
    let holder = holder.expect("one of the servers has the booking");
    fleet.set_silent(&service, false);
    fleet.set_fault(&holder.name, &Fault { dead: true, ..Fault::default() });
    let exchange = caller.join().expect("the caller is answered");
    fleet.wait_until_idle();
    assert_eq!(fleet.executions().count_of_key("held"), 1, "executed twice");
    assert_eq!(exchange.answer().verdict(), Verdict::MayHaveRun);
}
