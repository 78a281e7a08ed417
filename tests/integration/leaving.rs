//! Tests that no new work is sent to servers that are leaving, which are about to be removed.

use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Server, State};
use ladder_schema::standin::{Fault, Mode};
use ladder_standin::layout::user::User;

use crate::fleet::call::BAGMATI;
use crate::fleet::load::CallerLoad;
use crate::fleet::{Fleet, small_layout, wait_until};

/// Number of answers to wait for, enough for every request sent before the departure to be
/// finished.
const ANSWERS_UNTIL_DRAINED: usize = 150;

/// A server of the first service of the index.
fn first_server(fleet: &Fleet) -> Server {
    let service = &fleet.published_index(BAGMATI.index).shards[0].service;
    fleet.servers_of(service).next().expect("the service has servers").clone()
}

/// Waits until no new request starts at the server while callers continue to send requests.
fn wait_until_no_new_requests(fleet: &Fleet, server: &Server, load: &CallerLoad) {
    let mut last_count = fleet.started_requests(&server.name);
    wait_until("no new request starts at the server", || {
        load.wait_for_answers(ANSWERS_UNTIL_DRAINED);
        let count = fleet.started_requests(&server.name);
        std::mem::replace(&mut last_count, count) == count
    });
}

/// Checks that all sweeps were answered completely.
fn check_sweeps_complete(fleet: &Fleet, load: CallerLoad) {
    let index = fleet.published_index(BAGMATI.index);
    for exchange in load.stop_and_collect() {
        exchange.check_complete(&index);
    }
}

/// Guards against sending work to a server whose machine is about to be removed. The platform
/// publishes the server as leaving, and two of the four instances cannot reach the platform. After
/// a few seconds no instance may send new work to the server, and sweeps must stay complete through
/// the other replica.
#[test]
fn server_published_as_leaving_gets_no_new_work() {
    let fleet = Fleet::start_with(small_layout(User::Bagmati, 4), &[2, 3], |_| {});
    let mut server = first_server(&fleet);
    let load = CallerLoad::start_sweeps("list", &fleet.caller_addresses(), 6);
    load.wait_for_answers(ANSWERS_UNTIL_DRAINED);
    assert!(fleet.started_requests(&server.name) > 0, "the server had work before it left");
    server.set_state(State::Leaving);
    let changed_revision = fleet.publish(vec![Body::Server(server.clone())]);
    fleet.wait_for_revision(changed_revision);
    wait_until_no_new_requests(&fleet, &server, &load);
    let started_before = fleet.started_requests(&server.name);
    load.wait_for_answers(2 * ANSWERS_UNTIL_DRAINED);
    assert_eq!(
        fleet.started_requests(&server.name),
        started_before,
        "a leaving server started new work"
    );
    check_sweeps_complete(&fleet, load);
}

/// Guards against losing the knowledge that a server leaves. While the platform is down, the server
/// reports in its load replies that it is leaving, and later accepts requests again, as after a
/// drain that was started too early. Only the owner of its service has received the report; then
/// the owner is killed. Its successors must send no new work to the server until the server has a
/// new incarnation.
#[test]
fn server_reporting_leaving_gets_no_new_work_after_owner_is_lost() {
    let mut fleet = Fleet::start(small_layout(User::Bagmati, 4));
    let mut server = first_server(&fleet);
    let owner = fleet.owner(&server.service);
    let load_before = CallerLoad::start_sweeps("before", &fleet.caller_addresses(), 6);
    load_before.wait_for_answers(ANSWERS_UNTIL_DRAINED);
    assert!(fleet.started_requests(&server.name) > 0, "the server had work before it left");
    fleet.set_platform_mode(Mode { down: true, ..Mode::default() });
    fleet.set_fault(&server.name, &Fault { leaving: true, ..Fault::default() });
    load_before.wait_for_answers(3 * ANSWERS_UNTIL_DRAINED);
    check_sweeps_complete(&fleet, load_before);
    fleet.set_fault(&server.name, &Fault::default());
    let started_before = fleet.started_requests(&server.name);
    fleet.kill(owner);
    let load_after = CallerLoad::start_sweeps("after", &fleet.caller_addresses(), 6);
    load_after.wait_for_answers(3 * ANSWERS_UNTIL_DRAINED);
    assert_ne!(fleet.owner(&server.service), owner);
    assert_eq!(
        fleet.started_requests(&server.name),
        started_before,
        "a leaving server started new work"
    );
    fleet.set_platform_mode(Mode::default());
    server.incarnation += 1;
    let changed_revision = fleet.publish(vec![Body::Server(server.clone())]);
    fleet.wait_for_revision(changed_revision);
    wait_until("the new incarnation of the server gets work", || {
        load_after.wait_for_answers(10);
        fleet.started_requests(&server.name) > started_before
    });
    check_sweeps_complete(&fleet, load_after);
}
