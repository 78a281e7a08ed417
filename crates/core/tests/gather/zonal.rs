//! Tests of parts of sweeps that are aggregated in the zone of the entry instance.

use ladder_core::collections::{Map, Set};
use ladder_core::count::{self, Count, Crossing};
use ladder_core::gather::{Action, GroupStatus};
use ladder_core::schema::outcome::Reason;
use ladder_core::schema::wire::Reply;

use crate::fleet::SELF;
use crate::harness::sent_work;
use crate::partial_aggregation::{LOCAL_ZONE, ViewFixture, deliver_replies, reply, sweep};

/// A view with the zones of the instances that must get the parts of a sweep.
struct Case {
    name: &'static str,
    is_zonal: bool,
    parts: Vec<Vec<&'static str>>,
    peers: Vec<(&'static str, &'static str)>,
    /// Zones of the instances that get parts.
    zones: &'static [&'static str],
    /// Reason with which work for other zones is counted.
    reason: Option<Reason>,
}

fn cases() -> Vec<Case> {
    let everywhere = || vec![vec!["campanha", LOCAL_ZONE, "sao-bento"]; 4];
    let peers = || vec![("e2", "campanha"), ("e3", "sao-bento"), ("e4", LOCAL_ZONE)];
    let elsewhere = vec![vec!["sao-bento"]; 4];
    let no_local_peer = vec![("e2", "campanha"), ("e3", "sao-bento")];
    let fleet = &["campanha", "sao-bento"][..];
    let (local, remote) = (&[LOCAL_ZONE][..], &["sao-bento"][..]);
    vec![
        Case {
            name: "fleet",
            is_zonal: false,
            parts: everywhere(),
            peers: peers(),
            zones: fleet,
            reason: None,
        },
        Case {
            name: "zone",
            is_zonal: true,
            parts: everywhere(),
            peers: peers(),
            zones: local,
            reason: None,
        },
        Case {
            name: "no server in the own zone",
            is_zonal: true,
            parts: elsewhere,
            peers: peers(),
            zones: remote,
            reason: Some(Reason::NoServer),
        },
        Case {
            name: "no other instance in the own zone",
            is_zonal: true,
            parts: everywhere(),
            peers: no_local_peer.clone(),
            zones: local,
            reason: None,
        },
        Case {
            name: "the own zone has lost nearly all of its processor capacity",
            is_zonal: true,
            parts: everywhere(),
            peers: [no_local_peer, vec![("weak", LOCAL_ZONE)]].concat(),
            zones: fleet,
            reason: Some(Reason::OwnerLost),
        },
    ]
}

/// Guards against parts that cross zones although the zone of the entry instance has servers of
/// them: with one aggregator for the whole fleet, the strongest instance of any zone gets them. With
/// zonal aggregation an instance of the own zone must get them, in the order of processor capacity,
/// and parts without a server in the own zone must go to a zone that has one.
#[test]
fn parts_stay_in_the_zone_of_the_entry_instance() {
    let strong: Map<&str, u32> = [("e2", 4000), ("e3", 4000), ("e4", 2000)].into_iter().collect();
    for case in cases() {
        let mut millicores = Map::clone(&strong);
        if case.peers.iter().any(|(peer, _)| *peer == "weak") {
            millicores.extend([("weak", 200), (SELF, 200)]);
        }
        let fixture = ViewFixture {
            parts: case.parts,
            peers: case.peers.clone(),
            millicores: Map::clone(&millicores),
            has_few_connections: true,
            is_zonal: case.is_zonal,
            ..ViewFixture::default()
        };
        let mut harness = fixture.harness();
        let actions = harness.call(sweep("k"));
        let works = sent_work(&actions);
        let zone_of = |name: &str| {
            let known = case.peers.iter().find(|(peer, _)| *peer == name);
            known.map_or(LOCAL_ZONE, |(_, zone)| zone)
        };
        let mut zones: Vec<&str> = works.iter().map(|(to, _)| zone_of(to)).collect();
        zones.sort_unstable();
        zones.dedup();
        assert_eq!(zones, case.zones, "{}", case.name);
        let reason = |action: &Action| match action {
            Action::Count(Count { event: count::Event::ZoneCall(Crossing::Peer), reason }) => {
                Some(*reason)
            }
            _ => None,
        };
        let reasons: Set<Reason> = actions.iter().filter_map(reason).collect();
        assert_eq!(reasons, case.reason.into_iter().collect(), "{}", case.name);
    }
}

/// Guards against urgent sweeps that are late under overload because the calls of several zones wait
/// at the same servers: while replies report that a group's servers are busy, one instance of the
/// fleet must get its parts, and the zone's instance again once they are not.
#[test]
fn parts_leave_the_zone_while_servers_are_busy() {
    let fixture = ViewFixture {
        parts: vec![vec!["campanha", LOCAL_ZONE, "sao-bento"]; 4],
        peers: vec![("e2", "campanha"), ("e4", LOCAL_ZONE)],
        millicores: [("e2", 8000), ("e4", 2000)].into_iter().collect(),
        has_few_connections: true,
        is_zonal: true,
        ..ViewFixture::default()
    };
    let mut harness = fixture.harness();
    let mut receivers_at_utilization = |permille: u32, id: &str| {
        let mut receivers = Set::default();
        for number in 0..40 {
            let works = sent_work(&harness.call(sweep(&format!("{id}-{number}"))));
            receivers = works.iter().map(|(to, _)| to.to_string()).collect::<Set<String>>();
            for (to, work) in works {
                let replies = work.portions.iter().map(|portion| Reply {
                    busy_permille: permille,
                    ..reply(&work, &portion.service, &[1])
                });
                let replies = replies.collect();
                deliver_replies(&mut harness, &to, replies);
            }
            harness.advance(10);
        }
        receivers
    };
    let own_zone = receivers_at_utilization(300, "calm");
    assert!(!own_zone.contains("e2"), "{own_zone:?}");
    let fleet: Set<String> = ["e2".to_owned()].into_iter().collect();
    assert_eq!(receivers_at_utilization(950, "busy"), fleet);
    assert_eq!(receivers_at_utilization(700, "still busy"), fleet);
    assert_eq!(receivers_at_utilization(300, "calm again"), own_zone);
}

/// Guards against a status that names other aggregators than the ones that get the parts: operators
/// look for the instance that delays a zone's sweeps.
#[test]
fn status_names_the_aggregator_of_each_group_and_zone() {
    let zones = ["campanha", "sao-bento", LOCAL_ZONE];
    for is_zonal in [false, true] {
        let fixture = ViewFixture {
            parts: vec![zones.to_vec(); 4],
            peers: vec![("e2", "campanha"), ("e3", "sao-bento"), ("e4", LOCAL_ZONE)],
            has_few_connections: true,
            is_zonal,
            ..ViewFixture::default()
        };
        let mut harness = fixture.harness();
        assert_eq!(harness.machine.aggregators(), []);
        let mut sent: Vec<(String, String)> = Vec::new();
        for (to, work) in sent_work(&harness.call(sweep("k"))) {
            let services = work.portions.into_iter().map(|portion| portion.service);
            sent.extend(services.map(|service| (service, to.to_string())));
        }
        let all = harness.machine.aggregators();
        let is_own = |group: &&GroupStatus| {
            group.zone.as_ref().is_none_or(|zone| **zone == *LOCAL_ZONE) && group.in_use
        };
        let mut listed: Vec<(String, String)> = Vec::new();
        for group in all.iter().filter(is_own) {
            let services = group.services.iter();
            listed.extend(services.map(|name| (name.to_string(), group.instance.to_string())));
        }
        sent.sort();
        listed.sort();
        assert_eq!(listed, sent);
        let zone_of = |group: &GroupStatus| {
            let peer = fixture.peers.iter().find(|(name, _)| **name == *group.instance);
            Some(peer.map_or(LOCAL_ZONE, |(_, zone)| zone).into())
        };
        for group in &all {
            let zone = if is_zonal { zone_of(group) } else { None };
            assert_eq!(group.zone, zone, "{group:?}");
        }
        assert_eq!(all.len(), if is_zonal { 2 * zones.len() } else { 2 });
    }
}
