//! Test of a new version of an index with other shards, published while sweeps run.

use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Holding, Index, Server, Shard};
use ladder_schema::standin::Fault;
use ladder_standin::layout::user::User;

use crate::fleet::call::BAGMATI;
use crate::fleet::load::Load;
use crate::fleet::{Fleet, layout};

/// Returns the next version of an index, in which each shard is split in two on the same service.
fn split_shards(old: &Index) -> Index {
    let halves = old.shards.iter().flat_map(|shard| {
        ["low", "high"].map(|half| Shard {
            name: format!("{}-{half}", shard.name),
            service: shard.service.clone(),
        })
    });
    Index { name: old.name.clone(), version: old.version + 1, shards: halves.collect() }
}

/// Makes a server hold these versions of an index, publishes the change and returns its revision.
fn publish_holdings(fleet: &Fleet, server: &Server, index: &str, versions: &[u64]) -> u64 {
    let holdings = versions.iter().map(|&version| Holding { index: index.to_owned(), version });
    let server = Server { holdings: holdings.collect(), ..server.clone() };
    let fault = Fault { holdings: server.holdings.clone(), ..Fault::default() };
    fleet.set_fault(&server.name, &fault);
    fleet.publish(vec![Body::Server(server)])
}

/// Guards against an answer that combines two versions of an index, which would contain a record
/// twice or not at all. An index version with split shards is loaded by one server after another,
/// and the old version dropped, while sweeps run. An answer that counts shards without naming them
/// would hide the fault. Every answer is of one version and accounts for all shards of that
/// version.
#[test]
fn answers_during_repartitioning_are_of_one_version() {
    let fleet = Fleet::start(layout(User::Bagmati, 4));
    let old = fleet.index(BAGMATI.index);
    let new = split_shards(&old);
    let holders = old.shards.iter().flat_map(|shard| fleet.servers_of(&shard.service));
    let holders: Vec<&Server> = holders.collect();
    let load = Load::sweeps("sweep", &fleet.caller_addresses(), 8);
    load.wait_for_answers(50);
    fleet.publish(vec![Body::Index(new.clone())]);
    load.wait_for_answers(20);
    for server in &holders {
        publish_holdings(&fleet, server, &old.name, &[old.version, new.version]);
        load.wait_for_answers(10);
    }
    let mut last = 0;
    for server in &holders {
        last = publish_holdings(&fleet, server, &old.name, &[new.version]);
        load.wait_for_answers(10);
    }
    fleet.wait_until_in_force(last);
    load.wait_for_answers(50);
    let exchanges = load.finish();
    for exchange in &exchanges {
        let version = exchange.answer().version;
        let index = [&old, &new].into_iter().find(|index| index.version == version);
        exchange.check_complete(index.expect("a published version"));
    }
    let of = |version| exchanges.iter().filter(move |e| e.answer().version == version);
    assert!(of(old.version).count() > 0 && of(new.version).count() > 0);
}
