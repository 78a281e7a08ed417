//! Targets leave.

use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Server, State};
use ladder_schema::standin::{Fault, Mode};
use ladder_standin::layout::user::User;

use crate::fleet::call::BAGMATI;
use crate::fleet::load::Load;
use crate::fleet::{Fleet, layout, until};

/// Answers after which the last request before the departure is through, at least.
const ANSWERS: usize = 150;

/// A server of the first service.
fn first(fleet: &Fleet) -> Server {
    let service = &fleet.index(BAGMATI.index).shards[0].service;
    fleet.servers_of(service).next().expect("the service has servers").clone()
}

/// Waits until no new request starts at the server while callers go on.
fn until_quiet(fleet: &Fleet, server: &Server, load: &Load) {
    let mut last = fleet.calls(&server.name);
    until("no new request starts at the server", || {
        load.until_more(ANSWERS);
        let now = fleet.calls(&server.name);
        std::mem::replace(&mut last, now) == now
    });
}

/// All sweeps were answered whole.
fn check_complete(fleet: &Fleet, load: Load) {
    let index = fleet.index(BAGMATI.index);
    for exchange in load.finish() {
        exchange.check_complete(&index);
    }
}

/// The platform lists a target as leaving, so that its machine can go. Two of the instances cannot
/// reach the platform. Requests that they went on sending would be cut with the machine. After a
/// few seconds none of them sends it any more work, and sweeps stay whole by the other replica.
#[test]
fn leaving_by_the_list() {
    let fleet = Fleet::start_edited(layout(User::Bagmati, 4), &[2, 3], |_| {});
    let mut server = first(&fleet);
    let load = Load::sweeps("list", &fleet.doors(), 6);
    load.until_more(ANSWERS);
    assert!(fleet.calls(&server.name) > 0, "it had work before");
    server.set_state(State::Leaving);
    let changed = fleet.publish(vec![Body::Server(server.clone())]);
    fleet.until_in_force(changed);
    until_quiet(&fleet, &server, &load);
    let before = fleet.calls(&server.name);
    load.until_more(2 * ANSWERS);
    assert_eq!(fleet.calls(&server.name), before, "new work at a leaving server");
    check_complete(&fleet, load);
}

/// A target says itself that it leaves, to those who ask it, while the platform is down; then it
/// takes requests again, as one does whose drain was begun too early. Only the owner of its service
/// has heard it. When the owner's machine is taken away too, its successors would send new work.
/// They do not, until the target starts anew.
#[test]
fn leaving_by_its_own_word() {
    let mut fleet = Fleet::start(layout(User::Bagmati, 4));
    let mut server = first(&fleet);
    let owner = fleet.owner(&server.service);
    let before = Load::sweeps("before", &fleet.doors(), 6);
    before.until_more(ANSWERS);
    assert!(fleet.calls(&server.name) > 0, "it had work before");
    fleet.mode(Mode { down: true, ..Mode::default() });
    fleet.fault(&server.name, &Fault { leaving: true, ..Fault::default() });
    before.until_more(3 * ANSWERS);
    check_complete(&fleet, before);
    fleet.fault(&server.name, &Fault::default());
    let quiet = fleet.calls(&server.name);
    fleet.kill(owner);
    let after = Load::sweeps("after", &fleet.doors(), 6);
    after.until_more(3 * ANSWERS);
    assert_ne!(fleet.owner(&server.service), owner);
    assert_eq!(fleet.calls(&server.name), quiet, "new work at a leaving server");
    fleet.mode(Mode::default());
    server.incarnation += 1;
    let changed = fleet.publish(vec![Body::Server(server.clone())]);
    fleet.until_in_force(changed);
    until("a new incarnation has work again", || {
        after.until_more(10);
        fleet.calls(&server.name) > quiet
    });
    check_complete(&fleet, after);
}
