//! Replacement of instances while all instances serve.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::Event;
use ladder_core::schema::publication::{Kind, State, record::Body};
use ladder_core::view::Service;

use crate::fixtures;
use crate::harness::Fleet;
use crate::simulation::{
    TIMEOUT, all_ready, assert_connection_limits, name, owners_agree, owns_nothing, ready_fleet,
    zone,
};

/// Connections of a primary candidate to one server with the connection limit of these tests.
const PRIMARY_SHARE: u32 = 4;

/// Replaces all instances one after the other by new ones with new names. Each new instance runs
/// for `overlap` before the old one drains. Returns the fleet when its instances agree again.
fn replace_all(overlap: Duration) -> Fleet {
    let mut fleet = ready_fleet(9, 20);
    let mut revision = 1000;
    let mut publish = |fleet: &mut Fleet, body: Body| {
        revision += 1;
        fleet.publish_body(revision, body);
    };
    for at in 0..9 {
        let (old, new) = (name(at), name(100 + at));
        fleet.start(&new, zone(at));
        publish(&mut fleet, fixtures::instance(&new, zone(at), State::Live));
        fleet.run(overlap);
        publish(&mut fleet, fixtures::instance(&old, zone(at), State::Leaving));
        fleet.handle_event(&old, Event::Drain);
        fleet.run_until("left", Duration::from_secs(3), |fleet| owns_nothing(fleet, &old));
        fleet.kill(&old, true);
        publish(&mut fleet, fixtures::tombstone(Kind::Instance, &old));
        fleet.run(Duration::from_millis(300));
    }
    fleet.run_until("agreed", TIMEOUT, |fleet| owners_agree(fleet) && all_ready(fleet));
    fleet.run(Duration::from_secs(5));
    let served = fleet.nodes.values().map(|node| node.machine.view());
    let mut services = served.flat_map(|view| view.services.values());
    assert!(services.all(|service| service.candidates.len() == 8));
    fleet
}

/// A rolling replacement that is faster than a new list is allowed to spread. Old and new
/// instances hold connections at the same time, and no server may have more connections than its
/// limit.
#[test]
fn rolling_replacement_keeps_connection_limits() {
    let fleet = replace_all(Duration::from_millis(700));
    assert_connection_limits(&fleet);
}

/// A rolling replacement that waits until each new instance is ready. No service may be owned by
/// an instance whose connection shares have not grown yet.
#[test]
fn rolling_replacement_never_makes_an_owner_without_its_connections() {
    let fleet = replace_all(Duration::from_millis(2500));
    assert_connection_limits(&fleet);
    assert_owners_have_shares(&fleet);
}

/// Asserts that no instance owned a service with only a spare's connections, or none, while it was
/// ready. This could happen when a new instance becomes the best candidate of a service.
fn assert_owners_have_shares(fleet: &Fleet) {
    for (owner_name, node) in &fleet.nodes {
        let ready_views = node.views.iter().filter(|(_, view)| view.ready);
        for (built_at, view) in ready_views {
            let is_owned_here =
                |service: &&Arc<Service>| service.owner().is_some_and(|owner| owner.local);
            for service in view.services.values().filter(is_owned_here) {
                let share = service.servers[0].share;
                assert!(
                    share >= PRIMARY_SHARE,
                    "{owner_name} owns {} with {share} at {built_at:?}",
                    service.name
                );
            }
        }
    }
}

/// Half of the fleet is replaced at once, and half of the instances learn of the new list only a
/// second later. Until then the other instances must not take the connections that these still
/// hold.
#[test]
fn sudden_replacement_keeps_connection_limits() {
    let mut fleet = ready_fleet(24, 20);
    let replaced = 0..12;
    fleet.partition_side = (0..24).filter(|at| at % 2 == 0).map(name).collect();
    fleet.stalled_watches = fleet.partition_side.clone();
    let records = replaced.clone().flat_map(|at| {
        let revision = 1000 + 2 * at as u64;
        let new = fixtures::instance(&name(100 + at), zone(at), State::Live);
        let gone = fixtures::tombstone(Kind::Instance, &name(at));
        [fixtures::record(revision, new), fixtures::record(revision + 1, gone)]
    });
    fleet.publish(records);
    for at in replaced.clone() {
        fleet.start(&name(100 + at), zone(at));
    }
    fleet.run(Duration::from_millis(1000));
    fleet.partition_side.clear();
    fleet.stalled_watches.clear();
    fleet.run(Duration::from_millis(1500));
    for at in replaced {
        fleet.kill(&name(at), false);
    }
    fleet.run_until("agreed", TIMEOUT, owners_agree);
    fleet.run(Duration::from_secs(5));
    assert_connection_limits(&fleet);
}
