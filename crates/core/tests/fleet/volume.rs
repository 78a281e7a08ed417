//! What the publication costs in bytes between zones while it spreads over a large fleet.

use std::time::Duration;

use ladder_core::control::settings::Listing;
use ladder_core::schema::catalogue::Urgency;
use ladder_core::schema::publication::{Record, Route, Routing, State, record::Body};
use prost::Message;

use crate::concert::{self, all_ready};
use crate::harness::{Fleet, Node};
use crate::publish;

const ZONES: [&str; 5] = ["campanha", "sao-bento", "trindade", "boavista", "matosinhos"];
const INSTANCES: usize = 40;
const SERVICES: usize = 60;

fn routing(version: u64) -> Body {
    let name = |at: usize| format!("gate-finder-{at}");
    let entries = (0..SERVICES).map(|at| match publish::entry(&name(at), 100) {
        Body::Entry(entry) => entry,
        _ => unreachable!("an entry"),
    });
    let sweep = Route {
        name: "sweep".to_owned(),
        host: "porto.example".to_owned(),
        prefix: "/".to_owned(),
        urgency: Urgency::Elevated.into(),
        target_ms: 100,
        floor_permille: 900,
        parts: (0..SERVICES).map(name).collect(),
        timeout_ms: 600,
        attempts: 2,
        top: 20,
        ..Route::default()
    };
    let bounds = ladder_core::schema::publication::Bounds {
        header_bytes: 1,
        body_bytes: 1,
        header_ms: 1,
        idle_ms: 1,
    };
    let entries = entries.collect();
    Body::Routing(Routing { version, entries, routes: vec![sweep], bounds: Some(bounds) })
}

fn servers(first: u64) -> Vec<Record> {
    let server = |at: usize| {
        let service = format!("gate-finder-{}", at / 2);
        publish::server(&format!("{service}-{}", at % 2), &service, first, State::Live)
    };
    publish::records(first, (0..2 * SERVICES).map(server))
}

fn started() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.listing = Listing::Observed;
    fleet.lists_whole = true;
    fleet.publish(servers(10));
    fleet.publish([publish::record(1000, routing(1))]);
    fleet.seeds = (0..5).map(|at| publish::address(&concert::name(at))).collect();
    for at in 0..INSTANCES {
        fleet.start(&concert::name(at), ZONES[at % ZONES.len()]);
    }

    fleet.until("ready", Duration::from_secs(10), all_ready);
    fleet
}

/// Bytes that cross between zones in this time.
fn crossed(fleet: &mut Fleet, span: Duration) -> usize {
    let before = fleet.crossed;
    fleet.run(span);
    fleet.crossed - before
}

fn size(records: &[Record]) -> usize {
    records.iter().map(Message::encoded_len).sum()
}

/// Operators pay for what crosses between zones, and on a quiet day the start of a large fleet was half
/// of it. Each instance read the whole publication and pushed it to four peers, told each seed that it
/// held nothing and got it from them again, and told every rumour of the others two dozen times.
/// Nothing of the publication has to cross, as each instance has it from the platform.
#[test]
fn starts_do_not_carry_the_publication_between_zones() {
    let mut fleet = started();
    fleet.run(Duration::from_secs(10));
    let start = fleet.crossed;
    let idle = crossed(&mut fleet, Duration::from_secs(10));
    let publication = size(&servers(10)) + size(&[publish::record(1000, routing(1))]);
    let each = start.saturating_sub(idle) / INSTANCES;
    assert!(each < publication, "{each} bytes an instance, publication {publication}");
}

/// A new version of the routes is a record of many kilobytes. Each instance pushed it to four peers in
/// any zone, so that it crossed three times for each instance. Each zone has readers that have it from
/// the platform: it has to cross no more than once for each zone.
#[test]
fn news_stays_in_its_zone() {
    let mut fleet = started();
    fleet.run(Duration::from_secs(10));
    let idle = crossed(&mut fleet, Duration::from_secs(5));
    let record = publish::record(2000, routing(2));
    fleet.publish([record.clone()]);
    let news = crossed(&mut fleet, Duration::from_secs(5)).saturating_sub(idle);
    let most = size(&[record]) * ZONES.len();
    assert!(news < most, "{news} bytes, one copy for each zone is {most}");
    assert!(fleet.nodes.values().all(|node| version(node) == Some(2)));
}

/// The platform serves no instance of one zone. News that is told within zones alone would never be in
/// force there; digests, which go anywhere, bring it.
#[test]
fn zone_that_can_not_read_learns_from_others() {
    let mut fleet = started();
    fleet.run(Duration::from_secs(10));
    let lone: Vec<String> = (0..INSTANCES).step_by(ZONES.len()).map(concert::name).collect();
    fleet.refuse(&lone);
    fleet.run(Duration::from_secs(2));
    fleet.put(2000, routing(2));
    fleet.until("routes in the zone that can't read", Duration::from_secs(3), |fleet| {
        fleet.nodes.values().all(|node| version(node) == Some(2))
    });
}

/// The version of the routes in force.
fn version(node: &Node) -> Option<u64> {
    node.machine.records().find_map(|(_, record)| match &record.body {
        Some(Body::Routing(routing)) => Some(routing.version),
        _ => None,
    })
}
