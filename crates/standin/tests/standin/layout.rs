//! Tests that a layout has the sizes specified in the users' brief and that its files can be
//! loaded.

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

/// A row of the table "Sizes of today" in the users' brief: group, number of services, servers per
/// service, and per server the slots, connection limit and connection setup time in milliseconds.
struct GroupSizes(&'static str, usize, usize, u32, u32, u32);

/// Sizes of one user in the users' brief.
struct UserSizes {
    user: User,
    zones: usize,
    sizes: [GroupSizes; 4],
}

const BRIEF_SIZES: [UserSizes; 2] = [
    UserSizes {
        user: User::Porto,
        zones: 3,
        sizes: [
            GroupSizes("gate-finder", 20, 2, 2, 25, 6),
            GroupSizes("patrol-rounds", 30, 2, 2, 25, 6),
            GroupSizes("subscriber-desk", 1, 3, 6, 100, 1),
            GroupSizes("tariff-board", 1, 3, 6, 100, 1),
        ],
    },
    UserSizes {
        user: User::Bagmati,
        zones: 4,
        sizes: [
            GroupSizes("counter-desk", 20, 2, 2, 25, 6),
            GroupSizes("ledger-sync", 30, 2, 2, 25, 6),
            GroupSizes("member-portal", 1, 5, 2, 35, 1),
            GroupSizes("report-desk", 1, 4, 2, 35, 1),
        ],
    },
];

/// Servers, indexes and catalogue entries that a plan publishes.
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

fn check_group_sizes(plan: &Plan, size: &GroupSizes) {
    let &GroupSizes(group, services, replicas, slots, connections, connect_ms) = size;
    let Published { servers, indexes, entries } = published(plan);
    let index = indexes.iter().find(|index| index.name == group);
    let index = index.expect("an index for each group");
    assert_eq!(index.shards.len(), services, "{group}");
    for shard in &index.shards {
        let replicas_found = servers.iter().filter(|server| server.service == shard.service);
        let replicas_found: Vec<_> = replicas_found.collect();
        assert_eq!(replicas_found.len(), replicas, "{}", shard.name);
        let zones: Set<&str> = replicas_found.iter().map(|server| server.zone.as_str()).collect();
        assert!(zones.len() >= replicas.min(3), "{} in one zone", shard.name);
        for server in replicas_found {
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

/// Checks that exactly one target process serves a server, with the settings that are published.
fn check_target(plan: &Plan, server: &Server, connect_ms: u32) {
    let targets = plan.targets.iter().flat_map(|targets| &targets.targets);
    let mut targets = targets.filter(|target| target.server.as_ref() == Some(server));
    let target = targets.next().expect("a target for each server");
    assert_eq!(target.connect_ms, connect_ms, "{}", server.name);
    assert!(targets.next().is_none(), "{} is served twice", server.name);
}

#[test]
fn layout_has_sizes_of_the_brief() {
    for user_sizes in &BRIEF_SIZES {
        let plan = Layout::new(user_sizes.user).instances(9).plan().expect("a plan");
        for size in &user_sizes.sizes {
            check_group_sizes(&plan, size);
        }
        let sizes = user_sizes.sizes.iter();
        let server_count: usize =
            sizes.map(|GroupSizes(_, services, replicas, ..)| services * replicas).sum();
        let Published { servers, indexes, .. } = published(&plan);
        assert_eq!(servers.len(), server_count);
        assert_eq!(indexes.len(), user_sizes.sizes.len());
        let zones: Set<&str> = servers.iter().map(|server| server.zone.as_str()).collect();
        assert_eq!(zones.len(), user_sizes.zones);
        let zones: Set<&str> =
            plan.instances.iter().map(|instance| instance.zone.as_str()).collect();
        assert_eq!(zones.len(), user_sizes.zones);
    }
}

#[test]
fn revisions_increase_and_addresses_are_unique() {
    let plan = Layout::new(User::Porto).instances(9).plan().expect("a plan");
    let records = plan.platform.records.iter();
    let revisions: Vec<u64> = records.map(|record| record.revision).collect();
    assert!(revisions.is_sorted_by(|a, b| a < b));
    let mut addresses: Vec<&str> = vec![&plan.platform.address];
    addresses.extend(published(&plan).servers.iter().map(|server| server.address.as_str()));
    addresses.extend(plan.targets.iter().map(|process| process.admin_address.as_str()));
    for instance in &plan.instances {
        let instance_addresses =
            [&instance.caller_address, &instance.peer_address, &instance.admin_address];
        addresses.extend(instance_addresses.map(String::as_str));
        assert_eq!(instance.seeds.len(), 3);
        assert!(!instance.seeds.contains(&instance.peer_address));
    }
    let distinct: Set<&str> = addresses.iter().copied().collect();
    assert_eq!(distinct.len(), addresses.len());
}

#[test]
fn unrepeatable_operations_are_marked() {
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
fn written_settings_files_can_be_loaded() {
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
