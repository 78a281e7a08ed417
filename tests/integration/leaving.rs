//! Tests of servers that leave the fleet.

use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Server, State};
use ladder_schema::standin::{Fault, Mode};
use ladder_standin::layout::user::User;

use crate::fleet::call::BAGMATI;
use crate::fleet::load::Load;
use crate::fleet::{Fleet, layout, wait_until};

/// Number of answers after which the last request sent before the server's departure has finished.
const ANSWERS: usize = 150;

/// Returns a server of the first service.
fn first_server(fleet: &Fleet) -> Server {
    let service = &fleet.index(BAGMATI.index).shards[0].service;
    fleet.servers_of(service).next().expect("the service has servers").clone()
}

/// Waits until no new request starts at the server while the load continues.
fn wait_until_no_new_calls(fleet: &Fleet, server: &Server, load: &Load) {
    let mut last = fleet.calls(&server.name);
    wait_until("no new request starts at the server", || {
        load.wait_for_answers(ANSWERS);
        let now = fleet.calls(&server.name);
        std::mem::replace(&mut last, now) == now
    });
}

/// Checks that all sweeps were answered completely.
fn check_complete(fleet: &Fleet, load: Load) {
    let index = fleet.index(BAGMATI.index);
    for exchange in load.finish() {
        exchange.check_complete(&index);
    }
}

/// Guards against requests to a server that the platform lists as leaving, when some instances
/// cannot reach the platform. Their requests would be aborted with the server's machine. Within a
/// few seconds no instance sends the server any more work, and sweeps stay complete through the
/// other replica.
#[test]
fn server_listed_as_leaving_gets_no_new_work() {
    let fleet = Fleet::start_edited(layout(User::Bagmati, 4), &[2, 3], |_| {});
    let mut server = first_server(&fleet);
    let load = Load::sweeps("list", &fleet.caller_addresses(), 6);
    load.wait_for_answers(ANSWERS);
    assert!(fleet.calls(&server.name) > 0, "it had work before");
    server.set_state(State::Leaving);
    let changed = fleet.publish(vec![Body::Server(server.clone())]);
    fleet.wait_until_in_force(changed);
    wait_until_no_new_calls(&fleet, &server, &load);
    let before = fleet.calls(&server.name);
    load.wait_for_answers(2 * ANSWERS);
    assert_eq!(fleet.calls(&server.name), before, "new work at a leaving server");
    check_complete(&fleet, load);
}

/// Guards against new requests to a server that has announced that it leaves, while the platform is
/// down. The server announces this in its load report and then accepts requests again, as a server
/// does whose drain was started too early. Only the owner of its service has received the report.
/// When the owner's machine is lost too, its successors must not send new work either, until the
/// server starts as a new incarnation.
#[test]
fn server_that_reports_leaving_gets_no_new_work() {
    let mut fleet = Fleet::start(layout(User::Bagmati, 4));
    let mut server = first_server(&fleet);
    let owner = fleet.owner(&server.service);
    let before = Load::sweeps("before", &fleet.caller_addresses(), 6);
    before.wait_for_answers(ANSWERS);
    assert!(fleet.calls(&server.name) > 0, "it had work before");
    fleet.set_platform_mode(Mode { down: true, ..Mode::default() });
    fleet.set_fault(&server.name, &Fault { leaving: true, ..Fault::default() });
    before.wait_for_answers(3 * ANSWERS);
    check_complete(&fleet, before);
    fleet.set_fault(&server.name, &Fault::default());
    let calls_after_leaving = fleet.calls(&server.name);
    fleet.kill(owner);
    let after = Load::sweeps("after", &fleet.caller_addresses(), 6);
    after.wait_for_answers(3 * ANSWERS);
    assert_ne!(fleet.owner(&server.service), owner);
    assert_eq!(fleet.calls(&server.name), calls_after_leaving, "new work at a leaving server");
    fleet.set_platform_mode(Mode::default());
    server.incarnation += 1;
    let changed = fleet.publish(vec![Body::Server(server.clone())]);
    fleet.wait_until_in_force(changed);
    wait_until("a new incarnation has work again", || {
        after.wait_for_answers(10);
        fleet.calls(&server.name) > calls_after_leaving
    });
    check_complete(&fleet, after);
}
