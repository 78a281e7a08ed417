//! The platform's store is restored from a copy that lacks acknowledged changes, and gives their
//! revisions out again.

use std::time::Duration;

use ladder_core::control::{Event, Machine};
use ladder_core::schema::publication::{
    Evacuation, Kind, Page, Record, Routing, State, record::Body,
};

use crate::fixtures;
use crate::harness::{Fleet, SimulatedInstance};
use crate::simulation::{TIMEOUT, all_ready, name, observed_fleet, takes_work, zone};

/// Maximum time after the acknowledgement of a change until it must be in force at every instance.
const APPLY: Duration = Duration::from_secs(3);
/// Highest revision before the drill.
const HEAD: u64 = 57;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn routes(revision: u64, version: u64) -> Record {
    fixtures::record(revision, fixtures::routes(version))
}

/// A fleet with version 22 of the routes in force at every instance, as the highest revision.
fn fleet_before_drill(instances: usize) -> Fleet {
    let mut fleet = observed_fleet();
    fleet.publish([routes(50, 19)]);
    for at in 0..instances {
        fleet.start(&name(at), zone(at));
    }
    fleet.run_until("all ready", TIMEOUT, all_ready);
    fleet.run(Duration::from_secs(3));
    fleet.publish([routes(HEAD, 22)]);
    fleet.run(APPLY);
    assert_eq!(versions(&fleet), vec![22; instances]);
    fleet
}

fn version(node: &SimulatedInstance) -> u64 {
    node.machine.view().routing.as_ref().map_or(0, |routing| routing.version)
}

/// Version of the routes in force at each instance.
fn versions(fleet: &Fleet) -> Vec<u64> {
    fleet.nodes.values().map(version).collect()
}

struct Change {
    description: &'static str,
    /// Highest revision of the copy that the store is restored from.
    copy: u64,
    /// Revisions and versions of the routes that are written after the drill.
    written: &'static [(u64, u64)],
}

/// Guards against changes that instances ignore because the store gave their revisions out before:
/// callers were handled by version 22 more than three seconds after version 25 was acknowledged.
#[test]
fn change_after_a_store_drill_is_in_force_in_time() {
    let changes = [
        Change {
            description: "the version is written again and a newer one follows, both below",
            copy: 53,
            written: &[(54, 22), (55, 25)],
        },
        Change {
            description: "the newer version has the revision of the one in force",
            copy: 55,
            written: &[(56, 22), (HEAD, 25)],
        },
        Change {
            description: "the store passes the highest revision before anybody reads",
            copy: 55,
            written: &[(56, 22), (HEAD, 25), (58, 25)],
        },
        Change { description: "the copy has no routes", copy: 20, written: &[(21, 22), (22, 25)] },
        Change {
            description: "the copy has the version in force",
            copy: HEAD,
            written: &[(58, 25)],
        },
    ];
    for Change { description, copy, written } in changes {
        for instances in [1, 9, 24] {
            let mut fleet = fleet_before_drill(instances);
            fleet.stop_platform();
            fleet.run(ms(2300));
            fleet.drill(copy);
            fleet.run(ms(3500));
            fleet.publish(written.iter().map(|&(revision, version)| routes(revision, version)));
            fleet.run(Duration::from_secs(4));
            assert_no_version_came_back(&fleet, description);
            let outdated = versions(&fleet).iter().filter(|&&version| version != 25).count();
            assert_eq!(outdated, 0, "{description}, {instances} instances");
        }
    }
}

/// How the store returns after its restoration from a copy.
#[derive(Clone, Copy, Debug)]
enum Return {
    /// After an outage in which all reads failed.
    Outage,
    /// Without a failed read: open watches go on waiting.
    Unnoticed,
    /// After an outage, with so many changes that its revision passes the highest one before the
    /// drill, so that no watch is refused.
    Ahead,
    /// Without a failed read and without a refused watch.
    UnnoticedAhead,
    /// After an outage in which all answers were lost without an error.
    Silence,
}

const RETURNS: [Return; 5] =
    [Return::Outage, Return::Unnoticed, Return::Ahead, Return::UnnoticedAhead, Return::Silence];

fn drill(fleet: &mut Fleet, copy: u64, way: Return) {
    match way {
        Return::Outage | Return::Ahead => {
            fleet.stop_platform();
            fleet.run(ms(2300));
        }
        Return::Silence => {
            fleet.start_losing_answers();
            fleet.run(ms(2300));
            fleet.stop_losing_answers();
        }
        Return::Unnoticed | Return::UnnoticedAhead => {}
    }
    fleet.drill(copy);
    if matches!(way, Return::Ahead | Return::UnnoticedAhead) {
        let filler = |at: u64| fixtures::server(&format!("filler-{at}"), "filler", 1, State::Live);
        fleet.publish_next((0..20).map(filler));
    }
}

/// What is lost in a drill, when it is written again, and what must hold.
struct Loss {
    description: &'static str,
    /// Published before the copy was made.
    before: Vec<Body>,
    /// Published after the copy was made, and lost.
    lost: Vec<Body>,
    /// Published after the drill, after this time.
    again: Vec<Body>,
    again_after: Duration,
    /// Must hold at every instance at each moment after the drill.
    always: fn(&SimulatedInstance) -> bool,
    /// Must hold at every instance some seconds after the drill.
    finally: fn(&SimulatedInstance) -> bool,
}

/// Server that changes in the lost seconds.
const SERVER: &str = "docks-3";

fn server(state: State) -> Vec<Body> {
    vec![fixtures::server(SERVER, "docks", 1, state)]
}

fn new_server() -> Vec<Body> {
    vec![fixtures::server("docks-new", "docks", 1, State::Live)]
}

fn withdrawn_server() -> Vec<Body> {
    vec![fixtures::tombstone(Kind::Server, SERVER)]
}

fn evacuation() -> Vec<Body> {
    vec![Body::Evacuation(Evacuation { zone: "campanha".to_owned() })]
}

fn ended_evacuation() -> Vec<Body> {
    vec![fixtures::tombstone(Kind::Evacuation, "campanha")]
}

fn server_losses() -> Vec<Loss> {
    let unaffected = |node: &SimulatedInstance| takes_work(node, "docks-1");
    let new_works = |node: &SimulatedInstance| takes_work(node, "docks-new");
    let old_works = |node: &SimulatedInstance| takes_work(node, SERVER);
    vec![
        Loss {
            description: "a server registers, and again",
            before: vec![],
            lost: new_server(),
            again: new_server(),
            again_after: ms(1800),
            always: new_works,
            finally: new_works,
        },
        Loss {
            description: "a server registers and ends",
            before: vec![],
            lost: new_server(),
            again: vec![],
            again_after: ms(0),
            always: unaffected,
            finally: |node| !takes_work(node, "docks-new"),
        },
        Loss {
            description: "a server drains, and again",
            before: vec![],
            lost: server(State::Leaving),
            again: server(State::Leaving),
            again_after: ms(1800),
            always: |node| !takes_work(node, SERVER),
            finally: |node| !takes_work(node, SERVER),
        },
        Loss {
            description: "a server drains and ends; the platform withdraws it for its silence",
            before: vec![],
            lost: server(State::Leaving),
            again: withdrawn_server(),
            again_after: ms(3600),
            always: |node| !takes_work(node, SERVER),
            finally: |node| !takes_work(node, SERVER),
        },
        Loss {
            description: "a server is withdrawn; the platform withdraws it again for its silence",
            before: vec![],
            lost: withdrawn_server(),
            again: withdrawn_server(),
            again_after: ms(3600),
            always: |node| !takes_work(node, SERVER),
            finally: |node| !takes_work(node, SERVER),
        },
        Loss {
            description: "a server is withdrawn for its silence, but lives",
            before: vec![],
            lost: withdrawn_server(),
            again: vec![],
            again_after: ms(0),
            always: unaffected,
            finally: old_works,
        },
    ]
}

fn operator_losses() -> Vec<Loss> {
    let evacuated = |node: &SimulatedInstance| !takes_work(node, "docks-1");
    let working = |node: &SimulatedInstance| takes_work(node, "docks-1");
    vec![
        Loss {
            description: "an evacuation, ordered again",
            before: vec![],
            lost: evacuation(),
            again: evacuation(),
            again_after: ms(1800),
            always: evacuated,
            finally: evacuated,
        },
        Loss {
            description: "the end of an evacuation, ordered again",
            before: evacuation(),
            lost: ended_evacuation(),
            again: ended_evacuation(),
            again_after: ms(1800),
            always: working,
            finally: working,
        },
        Loss {
            description: "the end of an evacuation, never ordered again",
            before: evacuation(),
            lost: ended_evacuation(),
            again: vec![],
            again_after: ms(0),
            always: |_| true,
            finally: evacuated,
        },
        Loss {
            description: "a version of the routes, written again late",
            before: vec![],
            lost: vec![fixtures::routes(25)],
            again: vec![fixtures::routes(25)],
            again_after: ms(3000),
            always: |node| version(node) == 25,
            finally: |node| version(node) == 25,
        },
    ]
}

/// Loses each change in fleets of two sizes, with the drill at different moments of a watch.
fn lose_all(losses: &[Loss]) {
    for loss in losses {
        for way in RETURNS {
            for (instances, phase) in [(1, 0), (9, 0), (9, 600), (9, 1100)] {
                lose(loss, instances, way, ms(phase));
            }
        }
    }
}

fn lose(loss: &Loss, instances: usize, way: Return, phase: Duration) {
    let context = format!("{}: {way:?}, {instances} instances, {phase:?}", loss.description);
    let mut fleet = fleet_before_drill(instances);
    fleet.run(phase);
    fleet.publish_next(loss.before.clone());
    fleet.run(ms(1000));
    let copy = fleet.head();
    fleet.publish_next(loss.lost.clone());
    fleet.run(ms(1000));
    drill(&mut fleet, copy, way);
    let drilled_at = fleet.now;
    let mut again = loss.again.clone();
    while fleet.now.since(drilled_at) < Duration::from_secs(9) {
        if fleet.now.since(drilled_at) >= loss.again_after {
            fleet.publish_next(std::mem::take(&mut again));
        }
        for (name, node) in &fleet.nodes {
            let since = fleet.now.since(drilled_at);
            assert!((loss.always)(node), "{context}: {name} {since:?} after the drill");
        }
        fleet.run(ms(50));
    }
    for (name, node) in &fleet.nodes {
        assert!((loss.finally)(node), "{context}: {name} at the end");
    }
    assert_agreement(&fleet, &context);
}

/// No instance has gone back to an older version of the routes, or to none.
fn assert_no_version_came_back(fleet: &Fleet, context: &str) {
    for (name, node) in &fleet.nodes {
        let views = node.views.iter().map(|(_, view)| view.routing.as_ref());
        let versions: Vec<u64> =
            views.map(|routing| routing.map_or(0, |routing| routing.version)).collect();
        assert!(versions.is_sorted(), "{context}: {name} went back: {versions:?}");
    }
}

/// All instances have the same records, so that their digests cause no exchange.
fn assert_agreement(fleet: &Fleet, context: &str) {
    let records = |node: &SimulatedInstance| -> Vec<(u64, Option<Body>)> {
        let records = node.machine.records();
        records.map(|(_, record)| (record.revision, record.body.clone())).collect()
    };
    let mut all = fleet.nodes.values().map(records);
    let first = all.next();
    assert!(all.all(|other| Some(&other) == first.as_ref()), "{context}: the records differ");
}

/// Guards against work for servers that announced their departure, and against servers without
/// work, because the store was restored from a copy that shows an earlier state.
#[test]
fn servers_keep_their_state_through_a_store_drill() {
    lose_all(&server_losses());
}

/// Guards against an operator's orders that are undone while the store shows an older state of
/// them.
#[test]
fn orders_stay_in_force_through_a_store_drill() {
    lose_all(&operator_losses());
}

/// What happens to an instance beside a drill.
struct Disturbance {
    description: &'static str,
    /// Before the drill.
    begin: fn(&mut Fleet),
    /// Three seconds after the drill.
    end: fn(&mut Fleet),
}

fn cuts() -> Vec<Disturbance> {
    vec![
        Disturbance {
            description: "one instance is cut off from the store",
            begin: |fleet| fleet.refuse_reads_of(&[name(0)]),
            end: |fleet| fleet.refused_readers.clear(),
        },
        Disturbance {
            description: "one instance is cut off from the store and its peers",
            begin: |fleet| {
                fleet.refuse_reads_of(&[name(0)]);
                fleet.partition_side = [name(0)].into();
            },
            end: |fleet| {
                fleet.refused_readers.clear();
                fleet.partition_side.clear();
            },
        },
        Disturbance {
            description: "half of the fleet is cut off from the rest, and from the store",
            begin: |fleet| {
                let half: Vec<String> = (0..4).map(name).collect();
                fleet.refuse_reads_of(&half);
                fleet.partition_side = half.into_iter().collect();
            },
            end: |fleet| {
                fleet.refused_readers.clear();
                fleet.partition_side.clear();
            },
        },
        Disturbance {
            description: "all instances are cut off from the store",
            begin: |fleet| fleet.refuse_reads_of(&(0..9).map(name).collect::<Vec<_>>()),
            end: |fleet| fleet.refused_readers.clear(),
        },
    ]
}

fn restarts() -> Vec<Disturbance> {
    vec![
        Disturbance {
            description: "two instances are paused",
            begin: |fleet| (0..2).for_each(|at| fleet.pause(&name(at))),
            end: |fleet| (0..2).for_each(|at| fleet.resume(&name(at), ms(5000))),
        },
        Disturbance {
            description: "two instances are restarted",
            begin: |fleet| (0..2).for_each(|at| fleet.kill(&name(at), true)),
            end: |fleet| {
                fleet.incarnation += 1;
                (0..2).for_each(|at| fleet.start(&name(at), zone(at)));
            },
        },
        Disturbance {
            description: "instances are new",
            begin: |_| {},
            end: |fleet| (9..12).for_each(|at| fleet.start(&name(at), zone(at))),
        },
        Disturbance {
            description: "the store is restored a second time before the first time is over",
            begin: |_| {},
            end: |fleet| {
                let copy = fleet.head() - 1;
                drill(fleet, copy, Return::Outage);
                fleet.publish_next([fixtures::routes(25)]);
            },
        },
    ]
}

/// Guards against instances that keep or spread what was lost in a drill because they did not
/// follow it: records of an earlier era won over later ones by their revisions.
#[test]
fn instances_that_miss_a_store_drill_adopt_its_outcome() {
    for disturbance in cuts().into_iter().chain(restarts()) {
        for way in RETURNS {
            let context = format!("{}: {way:?}", disturbance.description);
            let mut fleet = fleet_before_drill(9);
            let copy = fleet.head();
            // Revisions that are given out again, and a server that is never published again.
            fleet.publish_next(new_server());
            fleet.publish_next([fixtures::routes(23), fixtures::routes(24)]);
            fleet.run(ms(1000));
            (disturbance.begin)(&mut fleet);
            drill(&mut fleet, copy, way);
            fleet.publish_next([fixtures::routes(24)]);
            fleet.run(ms(2000));
            fleet.publish_next([fixtures::routes(25)]);
            fleet.run(ms(1000));
            (disturbance.end)(&mut fleet);
            fleet.run(Duration::from_secs(10));
            assert_eq!(versions(&fleet), vec![25; fleet.nodes.len()], "{context}");
            let knows_lost = |node: &SimulatedInstance| takes_work(node, "docks-new");
            assert!(!fleet.nodes.values().any(knows_lost), "{context}: a lost server has work");
            assert_agreement(&fleet, &context);
            for node in fleet.nodes.values() {
                assert_eq!(node.machine.era(), fleet.era, "{context}");
            }
            assert_no_version_came_back(&fleet, &context);
        }
    }
}

/// An answer of the store, and the version in force after it.
struct Answer {
    description: &'static str,
    era: u64,
    revision: u64,
    version: u64,
    in_force: u64,
}

fn version_of(machine: &Machine) -> u64 {
    machine.view().routing.as_ref().map_or(0, |routing| routing.version)
}

/// Guards against a delayed answer that restores what was lost, and against an answer without an
/// era that is ignored.
#[test]
fn answers_of_an_earlier_era_are_ignored() {
    let answers = [
        Answer { description: "a new era", era: 2, revision: 54, version: 22, in_force: 22 },
        Answer { description: "delayed", era: 1, revision: 58, version: 23, in_force: 22 },
        Answer { description: "a change", era: 2, revision: 55, version: 24, in_force: 24 },
        Answer { description: "delayed again", era: 1, revision: 99, version: 99, in_force: 24 },
        Answer { description: "no era", era: 0, revision: 56, version: 25, in_force: 25 },
    ];
    let mut fleet = fleet_before_drill(1);
    for Answer { description, era, revision, version, in_force } in answers {
        let records = vec![routes(revision, version)];
        let page = Page { head: revision, records, whole: true, era, ..Page::default() };
        fleet.handle_event(&name(0), Event::Page(page));
        assert_eq!(version_of(&fleet.nodes[&name(0)].machine), in_force, "{description}");
        assert_eq!(fleet.nodes[&name(0)].machine.era(), 2, "{description}");
    }
}

/// Guards against an invalid configuration of a new era that replaces the last valid one, or that
/// is dropped without a report.
#[test]
fn invalid_routes_after_a_store_drill_are_refused() {
    let mut fleet = fleet_before_drill(9);
    drill(&mut fleet, 53, Return::Outage);
    fleet.publish_next([Body::Routing(Routing::default())]);
    fleet.run(Duration::from_secs(5));
    assert_eq!(versions(&fleet), vec![22; 9]);
    assert!(fleet.nodes.values().any(|node| node.machine.refused().count() == 1));
    fleet.publish_next([fixtures::routes(25)]);
    fleet.run(Duration::from_secs(5));
    assert_eq!(versions(&fleet), vec![25; 9]);
    assert!(fleet.nodes.values().all(|node| node.machine.refused().count() == 0));
}

/// Guards against records of a peer that are held back for good at instances whose own reads of the
/// platform fail.
#[test]
fn peer_records_take_effect_at_instances_without_the_platform() {
    let mut fleet = fleet_before_drill(9);
    fleet.publish_next(evacuation());
    fleet.run(ms(1000));
    let copy = fleet.head();
    fleet.publish_next(ended_evacuation());
    fleet.run(ms(1000));
    fleet.refuse_reads_of(&(0..9).map(name).collect::<Vec<_>>());
    fleet.run(ms(5000));
    fleet.drill(copy);
    fleet.start(&name(9), zone(9));
    fleet.run(Duration::from_secs(10));
    for (name, node) in &fleet.nodes {
        assert!(!takes_work(node, "docks-1"), "{name} still holds back the evacuation");
    }
}

/// Guards against a lost server that only an instance knows that was cut off during the drill: the
/// other instances would take it over, and no listing would ever withdraw it.
#[test]
fn lost_server_known_to_one_instance_is_withdrawn() {
    let mut fleet = fleet_before_drill(9);
    let copy = fleet.head();
    fleet.partition_side = [name(0)].into();
    fleet.refuse_reads_of(&(1..9).map(name).collect::<Vec<_>>());
    fleet.run(ms(4000));
    fleet.publish_next(new_server());
    fleet.run(ms(4000));
    assert!(takes_work(&fleet.nodes[&name(0)], "docks-new"));
    fleet.refused_readers.clear();
    fleet.refuse_reads_of(&[name(0)]);
    fleet.drill(copy);
    fleet.run(Duration::from_secs(5));
    fleet.partition_side.clear();
    fleet.run(Duration::from_secs(20));
    for (name, node) in &fleet.nodes {
        assert!(!takes_work(node, "docks-new"), "{name} has a server that was lost");
    }
    assert_agreement(&fleet, "one instance was cut off");
}

/// Runs a fleet and checks a condition at every instance on the way.
fn run_while(fleet: &mut Fleet, span: Duration, holds: fn(&SimulatedInstance) -> bool) {
    let end = fleet.now + span;
    while fleet.now < end {
        fleet.run(ms(50));
        assert!(fleet.nodes.values().all(holds), "at {:?}", fleet.now);
    }
}

/// Guards against a server that loses its work because the time in which it could register again
/// passed while the platform was away a second time.
#[test]
fn outage_after_a_store_drill_restarts_the_wait() {
    let works = |node: &SimulatedInstance| takes_work(node, "docks-new");
    let mut fleet = fleet_before_drill(9);
    let copy = fleet.head();
    fleet.publish_next(new_server());
    fleet.run(ms(1000));
    drill(&mut fleet, copy, Return::Outage);
    run_while(&mut fleet, ms(1500), works);
    fleet.stop_platform();
    run_while(&mut fleet, ms(3000), works);
    fleet.restore_platform(u64::MAX);
    run_while(&mut fleet, ms(1800), works);
    fleet.publish_next(new_server());
    run_while(&mut fleet, ms(6000), works);
}

/// Guards against work for a withdrawn server that a second copy shows again, before the platform
/// has withdrawn it a second time.
#[test]
fn second_store_drill_restarts_the_wait() {
    let idle = |node: &SimulatedInstance| !takes_work(node, SERVER);
    let mut fleet = fleet_before_drill(9);
    let copy = fleet.head();
    fleet.publish_next(withdrawn_server());
    fleet.run(ms(1000));
    for _ in 0..2 {
        drill(&mut fleet, copy, Return::Outage);
        run_while(&mut fleet, ms(3000), idle);
    }
    run_while(&mut fleet, ms(600), idle);
    fleet.publish_next(withdrawn_server());
    run_while(&mut fleet, ms(6000), idle);
}
