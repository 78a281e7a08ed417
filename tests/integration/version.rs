//! Change to a new index version with other shards while sweeps run.

use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Holding, Index, Server, Shard};
use ladder_schema::standin::Fault;
use ladder_standin::layout::user::User;

use crate::fleet::call::BAGMATI;
use crate::fleet::load::CallerLoad;
use crate::fleet::{Fleet, small_layout};

/// Returns the next index version, in which each shard is split into two shards of the same
/// service.
fn split_shards(old: &Index) -> Index {
    let halves = old.shards.iter().flat_map(|shard| {
        ["low", "high"].map(|half| Shard {
            name: format!("{}-{half}", shard.name),
            service: shard.service.clone(),
        })
    });
    Index { name: old.name.clone(), version: old.version + 1, shards: halves.collect() }
}

/// Makes a server hold the given versions of an index and publishes the server with them; returns
/// the revision of its record.
fn set_holdings(fleet: &Fleet, server: &Server, index: &str, versions: &[u64]) -> u64 {
    let holdings = versions.iter().map(|&version| Holding { index: index.to_owned(), version });
    let server = Server { holdings: holdings.collect(), ..server.clone() };
    let fault = Fault { holdings: server.holdings.clone(), ..Fault::default() };
    fleet.set_fault(&server.name, &fault);
    fleet.publish(vec![Body::Server(server)])
}

/// Guards against answers that mix two index versions. The servers load a new version with split
/// shards one after another and then drop the old version, while sweeps run. A mixed answer would
/// contain an item twice or not at all, and counting shards without their names would hide that.
/// Every answer must be of one version and account for all shards of that version.
#[test]
fn answers_use_one_index_version_during_repartition() {
    let fleet = Fleet::start(small_layout(User::Bagmati, 4));
    let old = fleet.published_index(BAGMATI.index);
    let new = split_shards(&old);
    let index_servers = old.shards.iter().flat_map(|shard| fleet.servers_of(&shard.service));
    let index_servers: Vec<&Server> = index_servers.collect();
    let load = CallerLoad::start_sweeps("sweep", &fleet.caller_addresses(), 8);
    load.wait_for_answers(50);
    fleet.publish(vec![Body::Index(new.clone())]);
    load.wait_for_answers(20);
    for server in &index_servers {
        set_holdings(&fleet, server, &old.name, &[old.version, new.version]);
        load.wait_for_answers(10);
    }
    let mut last_revision = 0;
    for server in &index_servers {
        last_revision = set_holdings(&fleet, server, &old.name, &[new.version]);
        load.wait_for_answers(10);
    }
    fleet.wait_for_revision(last_revision);
    load.wait_for_answers(50);
    let exchanges = load.stop_and_collect();
    for exchange in &exchanges {
        let version = exchange.answer().version;
        let index = [&old, &new].into_iter().find(|index| index.version == version);
        exchange.check_complete(index.expect("a published version"));
    }
    let answers_of = |version| exchanges.iter().filter(move |e| e.answer().version == version);
    assert!(answers_of(old.version).count() > 0 && answers_of(new.version).count() > 0);
}
