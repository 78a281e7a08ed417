//! Targets die, alone and together with an instance.

use ladder_schema::outcome::Verdict;
use ladder_schema::standin::{Fault, Mode};
use ladder_standin::layout::user::User;

use crate::fleet::call::{BAGMATI, send};
use crate::fleet::load::Load;
use crate::fleet::{Fleet, layout, until};

/// A server of a service that another instance owns, so that its loss is not hidden by the owner's.
fn target_of_another(fleet: &Fleet, victim: usize) -> String {
    let shards = fleet.index(BAGMATI.index).shards;
    let mut services = shards.iter().map(|shard| &shard.service);
    let service = services.find(|service| fleet.owner(service) != victim);
    let mut servers = fleet.servers_of(service.expect("no instance owns all"));
    servers.next().expect("the service has servers").name.clone()
}

/// Two things break at once while the platform is out of service: a target dies with requests in hand and
/// the machine of an instance that owned other services goes. Nobody can publish either loss. The survivors notice
/// both by themselves, and every check still covers all shards through the other replica.
#[test]
fn two_faults_without_platform() {
    let mut fleet = Fleet::start(layout(User::Bagmati, 4));
    let victim = fleet.owner(&fleet.index(BAGMATI.index).shards[0].service);
    let load = Load::mixed("mixed", &fleet.others(victim), 8, fleet.shards(BAGMATI.index));
    load.until_more(50);
    fleet.mode(Mode { down: true, ..Mode::default() });
    let dead = target_of_another(&fleet, victim);
    fleet.fault(&dead, &Fault { slowdown: 50, ..Fault::default() });
    load.until_more(50);
    fleet.fault(&dead, &Fault { dead: true, ..Fault::default() });
    fleet.kill(victim);
    load.until_more(100);
    fleet.until_replaced(victim);
    load.until_more(200);
    fleet.check(&load.finish());
}

/// A target dies with a payout lookup in hand. Its connection ends before any answer, which looks
/// like a connection that could not be made. The other replica would run the lookup once more and
/// the member's account be frozen. It runs once, and the caller is told that it may have run.
#[test]
fn dead_target_with_a_booking() {
    let fleet = Fleet::start(layout(User::Bagmati, 2));
    let service = fleet.shards(BAGMATI.index).remove(0);
    fleet.silence(&service, true);
    let caller = send(fleet.door(0), BAGMATI.booking("held", &service));
    until("the booking runs", || fleet.executed().of_key("held") > 0);
    let mut servers = fleet.servers_of(&service);
    let holder = servers.find(|server| !fleet.ledger(&server.name).executions.is_empty());
    let holder = holder.expect("one of them has it");
    fleet.silence(&service, false);
    fleet.fault(&holder.name, &Fault { dead: true, ..Fault::default() });
    let exchange = caller.join().expect("the caller is answered");
    fleet.until_idle();
    assert_eq!(fleet.executed().of_key("held"), 1, "doubled");
    assert_eq!(exchange.answer().verdict(), Verdict::MayHaveRun);
}
