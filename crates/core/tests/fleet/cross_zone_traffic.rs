//! Bytes sent between zones while the publication spreads over a large fleet.

use std::time::Duration;

use ladder_core::control::reader::READERS_PER_ZONE;
use ladder_core::control::settings::Listing;
use ladder_core::schema::catalogue::Urgency;
use ladder_core::schema::publication::{Record, Route, Routing, State, record::Body};
use prost::Message;

use crate::fixtures;
use crate::harness::{Fleet, SimulatedInstance};
use crate::simulation::{self, all_ready};

const ZONES: [&str; 5] = ["campanha", "sao-bento", "trindade", "boavista", "matosinhos"];
const INSTANCE_COUNT: usize = 40;
const SERVICE_COUNT: usize = 60;

fn routes(version: u64) -> Body {
    let name = |at: usize| format!("gate-finder-{at}");
    let entries = (0..SERVICE_COUNT).map(|at| match fixtures::entry(&name(at), 100) {
        Body::Entry(entry) => entry,
        _ => unreachable!("the fixture is an entry"),
    });
    let sweep = Route {
        name: "sweep".to_owned(),
        host: "porto.example".to_owned(),
        prefix: "/".to_owned(),
        urgency: Urgency::Elevated.into(),
        target_ms: 100,
        floor_permille: 900,
        parts: (0..SERVICE_COUNT).map(name).collect(),
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
    Body::Routing(Routing {
        version,
        entries,
        routes: vec![sweep],
        bounds: Some(bounds),
        ..Routing::default()
    })
}

fn servers(first: u64) -> Vec<Record> {
    let server = |at: usize| {
        let service = format!("gate-finder-{}", at / 2);
        fixtures::server(&format!("{service}-{}", at % 2), &service, first, State::Live)
    };
    fixtures::records(first, (0..2 * SERVICE_COUNT).map(server))
}

fn started_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.listing = Listing::Observed;
    fleet.sends_full_listing = true;
    fleet.publish(servers(10));
    fleet.publish([fixtures::record(1000, routes(1))]);
    fleet.seeds = (0..5).map(|at| fixtures::address(&simulation::name(at))).collect();
    for at in 0..INSTANCE_COUNT {
        fleet.start(&simulation::name(at), ZONES[at % ZONES.len()]);
    }

    fleet.run_until("ready", Duration::from_secs(10), all_ready);
    fleet
}

/// Number of bytes sent between zones while the fleet runs for this time.
fn cross_zone_bytes_during(fleet: &mut Fleet, span: Duration) -> usize {
    let before = fleet.cross_zone_bytes;
    fleet.run(span);
    fleet.cross_zone_bytes - before
}

fn encoded_bytes(records: &[Record]) -> usize {
    records.iter().map(Message::encoded_len).sum()
}

/// Operators pay for traffic between zones, and the start of a large fleet once made up half of it
/// on a day without failures. Each instance read the whole publication and pushed it to four peers,
/// sent each seed an empty digest and received the publication again, and sent each gossip update
/// about two dozen times. No record has to cross zones at a start, because each instance gets all
/// records from the platform.
#[test]
fn starting_instances_do_not_send_the_publication_across_zones() {
    let mut fleet = started_fleet();
    fleet.run(Duration::from_secs(10));
    let start_bytes = fleet.cross_zone_bytes;
    let idle_bytes = cross_zone_bytes_during(&mut fleet, Duration::from_secs(10));
    let publication_bytes =
        encoded_bytes(&servers(10)) + encoded_bytes(&[fixtures::record(1000, routes(1))]);
    let bytes_per_instance = start_bytes.saturating_sub(idle_bytes) / INSTANCE_COUNT;
    assert!(
        bytes_per_instance < publication_bytes,
        "{bytes_per_instance} bytes per instance, publication of {publication_bytes}"
    );
}

/// A new version of the routes is a record of many kilobytes. Each instance used to push it to four
/// peers in any zone, so that it crossed zones three times per instance. Each zone has readers that
/// get it from the platform, so it has to cross at most once per zone.
#[test]
fn change_crosses_zones_at_most_once_per_zone() {
    let mut fleet = started_fleet();
    fleet.run(Duration::from_secs(10));
    let idle_bytes = cross_zone_bytes_during(&mut fleet, Duration::from_secs(5));
    let record = fixtures::record(2000, routes(2));
    fleet.publish([record.clone()]);
    let change_bytes =
        cross_zone_bytes_during(&mut fleet, Duration::from_secs(5)).saturating_sub(idle_bytes);
    let max_bytes = encoded_bytes(&[record]) * ZONES.len();
    assert!(change_bytes < max_bytes, "{change_bytes} bytes, one copy per zone is {max_bytes}");
    assert!(fleet.nodes.values().all(|node| route_version(node) == Some(2)));
}

/// The platform refuses all instances of one zone. A change that is pushed only within zones would
/// never arrive there; digests, which also cross zones, deliver it.
#[test]
fn zone_without_platform_access_receives_changes_by_digest() {
    let mut fleet = started_fleet();
    fleet.run(Duration::from_secs(10));
    let zone_instances: Vec<String> =
        (0..INSTANCE_COUNT).step_by(ZONES.len()).map(simulation::name).collect();
    fleet.refuse_reads_of(&zone_instances);
    fleet.run(Duration::from_secs(2));
    fleet.publish_body(2000, routes(2));
    fleet.run_until("routes in the zone that can't read", Duration::from_secs(3), |fleet| {
        fleet.nodes.values().all(|node| route_version(node) == Some(2))
    });
}

/// Version of the routes in force at an instance.
fn route_version(node: &SimulatedInstance) -> Option<u64> {
    node.machine.records().find_map(|(_, record)| match &record.body {
        Some(Body::Routing(routing)) => Some(routing.version),
        _ => None,
    })
}

/// Bytes sent and reads of the platform while the fleet runs for ten seconds.
fn traffic(fleet: &mut Fleet) -> (usize, usize) {
    let reads =
        |fleet: &Fleet| -> usize { fleet.nodes.values().map(|node| node.platform_reads).sum() };
    let before = (fleet.bytes, reads(fleet));
    fleet.run(Duration::from_secs(10));
    (fleet.bytes - before.0, reads(fleet) - before.1)
}

/// Guards against a restored store that sends the whole publication through the fleet, or makes each
/// reader list more than once.
#[test]
fn store_drill_sends_what_changed() {
    let mut fleet = started_fleet();
    fleet.era = 1;
    fleet.run(Duration::from_secs(10));
    let (idle_bytes, idle_reads) = traffic(&mut fleet);
    let changed: Vec<Body> =
        servers(2000).into_iter().take(2).filter_map(|record| record.body).collect();
    let copy = fleet.head();
    fleet.publish_next(changed.clone());
    fleet.run(Duration::from_secs(2));
    fleet.drill(copy);
    fleet.publish_next(changed.into_iter().rev());
    let (bytes, reads) = traffic(&mut fleet);
    let most_bytes = INSTANCE_COUNT * encoded_bytes(&servers(10)) / 4;
    assert!(bytes < idle_bytes + most_bytes, "{bytes} bytes, idle {idle_bytes}");
    let readers = READERS_PER_ZONE * ZONES.len();
    assert!(reads <= idle_reads + 2 * readers, "{reads} reads, idle {idle_reads}");
}
