//! A new version of an index with other shards, while sweeps run.

use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Holding, Index, Server, Shard};
use ladder_schema::standin::Fault;
use ladder_standin::layout::user::User;

use crate::fleet::call::BAGMATI;
use crate::fleet::load::Load;
use crate::fleet::{Fleet, layout};

/// The next version, in which each shard is split in two on the same service.
fn split(old: &Index) -> Index {
    let halves = old.shards.iter().flat_map(|shard| {
        ["low", "high"].map(|half| Shard {
            name: format!("{}-{half}", shard.name),
            service: shard.service.clone(),
        })
    });
    Index { name: old.name.clone(), version: old.version + 1, shards: halves.collect() }
}

/// Makes a server hold these versions of an index, and publishes it.
fn hold(fleet: &Fleet, server: &Server, index: &str, versions: &[u64]) -> u64 {
    let holdings = versions.iter().map(|&version| Holding { index: index.to_owned(), version });
    let server = Server { holdings: holdings.collect(), ..server.clone() };
    let fault = Fault { holdings: server.holdings.clone(), ..Fault::default() };
    fleet.fault(&server.name, &fault);
    fleet.publish(vec![Body::Server(server)])
}

/// A new index version with split shards is loaded by one server after another and the old one
/// dropped, while officers' checks run. An answer put together of both would show a member twice or
/// not at all, and one that counts shards without naming them would hide that. Every answer is of
/// one version and accounts for all shards of that version's map.
#[test]
fn repartitioned_under_load() {
    let fleet = Fleet::start(layout(User::Bagmati, 4));
    let old = fleet.index(BAGMATI.index);
    let new = split(&old);
    let holders = old.shards.iter().flat_map(|shard| fleet.servers_of(&shard.service));
    let holders: Vec<&Server> = holders.collect();
    let load = Load::sweeps("sweep", &fleet.doors(), 8);
    load.until_more(50);
    fleet.publish(vec![Body::Index(new.clone())]);
    load.until_more(20);
    for server in &holders {
        hold(&fleet, server, &old.name, &[old.version, new.version]);
        load.until_more(10);
    }
    let mut last = 0;
    for server in &holders {
        last = hold(&fleet, server, &old.name, &[new.version]);
        load.until_more(10);
    }
    fleet.until_in_force(last);
    load.until_more(50);
    let exchanges = load.finish();
    for exchange in &exchanges {
        let version = exchange.answer().version;
        let index = [&old, &new].into_iter().find(|index| index.version == version);
        exchange.check_complete(index.expect("a published version"));
    }
    let of = |version| exchanges.iter().filter(move |e| e.answer().version == version);
    assert!(of(old.version).count() > 0 && of(new.version).count() > 0);
}
