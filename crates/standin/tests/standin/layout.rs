//! The layout has the sizes of the brief, and its files load.

use std::path::Path;

use ladder_core::collections::Set;
use ladder_schema::catalogue::Entry;
use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Holding, Index, Server};
use ladder_schema::settings::{Instance, Strategy, Switch};
use ladder_schema::standin::{Platform, Run, Targets};
use ladder_standin::layout::user::User;
use ladder_standin::layout::{Layout, Plan};
use ladder_standin::settings;

/// A row of the brief's "Sizes of today": group, services, servers of each, then of each server
/// slots, connections and milliseconds to connect.
struct Size(&'static str, usize, usize, u32, u32, u32);

struct Brief {
    user: User,
    zones: usize,
    sizes: [Size; 4],
}

const BRIEF: [Brief; 2] = [
    Brief {
        user: User::Porto,
        zones: 3,
        sizes: [
            Size("gate-finder", 20, 2, 2, 25, 6),
            Size("patrol-rounds", 30, 2, 2, 25, 6),
            Size("subscriber-desk", 1, 3, 6, 100, 1),
            Size("tariff-board", 1, 3, 6, 100, 1),
        ],
    },
    Brief {
        user: User::Bagmati,
        zones: 4,
        sizes: [
            Size("counter-desk", 20, 2, 2, 25, 6),
            Size("ledger-sync", 30, 2, 2, 25, 6),
            Size("member-portal", 1, 5, 2, 35, 1),
            Size("report-desk", 1, 4, 2, 35, 1),
        ],
    },
];

/// What a plan publishes.
#[derive(Default)]
struct Published<'a> {
    servers: Vec<&'a Server>,
    indexes: Vec<&'a Index>,
    entries: Vec<&'a Entry>,
}

fn published(plan: &Plan) -> Published<'_> {
    let mut published = Published::default();
    for body in plan.platform.records.iter().flat_map(|record| &record.body) {
        match body {
            Body::Server(server) => published.servers.push(server),
            Body::Index(index) => published.indexes.push(index),
            Body::Entry(entry) => published.entries.push(entry),
            _ => {}
        }
    }
    published
}

fn check_size(plan: &Plan, size: &Size) {
    let &Size(group, services, replicas, slots, connections, connect_ms) = size;
    let Published { servers, indexes, entries } = published(plan);
    let index = indexes.iter().find(|index| index.name == group);
    let index = index.expect("an index for each group");
    assert_eq!(index.shards.len(), services, "{group}");
    for shard in &index.shards {
        let own = servers.iter().filter(|server| server.service == shard.service);
        let own: Vec<_> = own.collect();
        assert_eq!(own.len(), replicas, "{}", shard.name);
        let zones: Set<&str> = own.iter().map(|server| server.zone.as_str()).collect();
        assert!(zones.len() >= replicas.min(3), "{} in one zone", shard.name);
        for server in own {
            assert_eq!((server.slots, server.connections), (slots, connections), "{}", server.name);
            let holding = Holding { index: group.to_owned(), version: index.version };
            assert_eq!(server.holdings, [holding]);
            check_target(plan, server, connect_ms);
        }
        let mut entries = entries.iter().filter(|entry| entry.service == shard.service);
        assert!(!entries.next().expect("an entry").operations.is_empty());
        assert!(entries.next().is_none(), "two entries of {}", shard.service);
    }
}

/// A server is served by exactly one process, as it is published.
fn check_target(plan: &Plan, server: &Server, connect_ms: u32) {
    let targets = plan.targets.iter().flat_map(|targets| &targets.targets);
    let mut targets = targets.filter(|target| target.server.as_ref() == Some(server));
    let target = targets.next().expect("a target for each server");
    assert_eq!(target.connect_ms, connect_ms, "{}", server.name);
    assert!(targets.next().is_none(), "{} is served twice", server.name);
}

#[test]
fn sizes_are_those_of_the_brief() {
    for brief in &BRIEF {
        let plan = Layout::new(brief.user).instances(9).plan().expect("a plan");
        for size in &brief.sizes {
            check_size(&plan, size);
        }
        let sizes = brief.sizes.iter();
        let all: usize = sizes.map(|Size(_, services, replicas, ..)| services * replicas).sum();
        let Published { servers, indexes, .. } = published(&plan);
        assert_eq!(servers.len(), all);
        assert_eq!(indexes.len(), brief.sizes.len());
        let zones: Set<&str> = servers.iter().map(|server| server.zone.as_str()).collect();
        assert_eq!(zones.len(), brief.zones);
        let zones: Set<&str> = plan.instances.iter().map(|one| one.zone.as_str()).collect();
        assert_eq!(zones.len(), brief.zones);
    }
}

#[test]
fn revisions_grow_and_no_address_is_given_twice() {
    let plan = Layout::new(User::Porto).instances(9).plan().expect("a plan");
    let records = plan.platform.records.iter();
    let revisions: Vec<u64> = records.map(|record| record.revision).collect();
    assert!(revisions.is_sorted_by(|a, b| a < b));
    let mut addresses: Vec<&str> = vec![&plan.platform.address];
    addresses.extend(published(&plan).servers.iter().map(|server| server.address.as_str()));
    addresses.extend(plan.targets.iter().map(|one| one.admin_address.as_str()));
    for instance in &plan.instances {
        let own = [&instance.caller_address, &instance.peer_address, &instance.admin_address];
        addresses.extend(own.map(String::as_str));
        assert_eq!(instance.seeds.len(), 3);
        assert!(!instance.seeds.contains(&instance.peer_address));
    }
    let distinct: Set<&str> = addresses.iter().copied().collect();
    assert_eq!(distinct.len(), addresses.len());
}

#[test]
fn the_unrepeatable_operations_are_marked() {
    let mut unrepeatable = Vec::new();
    for user in [User::Porto, User::Bagmati] {
        let plan = Layout::new(user).scale(0.01).plan().expect("a plan");
        let entries = published(&plan).entries;
        let operations = entries.iter().flat_map(|entry| &entry.operations);
        let marked = operations.filter(|operation| operation.unrepeatable);
        unrepeatable.extend(marked.map(|operation| operation.name.clone()));
    }
    assert_eq!(unrepeatable, ["dock-booking", "payment", "payout-lookup"]);
}

#[test]
fn the_files_of_a_run_load() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("layout");
    let strategy = Strategy { hedging: Switch::Off.into(), ..Strategy::default() };
    let layout = Layout::new(User::Bagmati).scale(0.1).processes(2);
    let written = layout.strategy(strategy).write(&folder).expect("written");
    let run: Run = settings::load(&folder.join("run.json")).expect("loads");
    assert_eq!(run, written);
    let platform: Platform = settings::load(&folder.join(&run.platform_file)).expect("loads");
    assert_eq!(platform.address, run.platform_address);
    assert_eq!((run.targets.len(), run.instances.len()), (2, 3));
    for process in &run.targets {
        let targets: Targets = settings::load(&folder.join(&process.file)).expect("loads");
        assert_eq!(targets.admin_address, process.admin_address);
        assert_eq!(targets.targets.len(), process.servers.len());
    }
    for member in &run.instances {
        let instance: Instance = settings::load(&folder.join(&member.file)).expect("loads");
        assert_eq!(instance.caller_address, member.caller_address);
        assert_eq!(instance.platform_address, run.platform_address);
        assert_eq!(instance.strategy, Some(strategy));
        assert!(instance.fault_injection);
    }
}
