//! The platform and the targets of a run: what they publish, their failures.

use ladder_schema::catalogue::Entry;
use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Index, Page, Record, Server};
use ladder_schema::standin::{Fault, Mode};

use super::child::Child;
use super::{Fleet, binary, http, until};

impl Fleet {
    /// Starts the platform anew: it serves what was published at the start, as a replica restored
    /// from an old copy would.
    pub(crate) fn restart_platform(&mut self) {
        self.platform.kill();
        let settings = self.folder.join(&self.run.platform_file);
        self.platform = Child::start(&binary("standin-platform"), &settings);
        until("the platform answers again", || {
            http::get(&self.run.platform_address, "/admin/counts").is_ok()
        });
    }

    /// Sets the platform's failure.
    pub(crate) fn mode(&self, mode: Mode) {
        self.posted(&self.run.platform_address, "/admin/mode", &mode);
    }

    /// Publishes bodies in order, with the next revisions; gives the highest.
    pub(crate) fn publish(&self, bodies: Vec<Body>) -> u64 {
        let records = bodies.into_iter().map(|body| Record { revision: 0, body: Some(body) });
        let page = Page { head: 0, records: records.collect() };
        let response = http::post(&self.run.platform_address, "/admin/publish", &page);
        let response = response.expect("the platform answers");
        assert_eq!(response.status, 200);
        response.json::<Page>().head
    }

    /// Replaces the faults of a server.
    pub(crate) fn fault(&self, server: &str, fault: &Fault) {
        let mut processes = self.run.targets.iter();
        let process = processes.find(|process| process.servers.iter().any(|name| name == server));
        let address = &process.expect("a process has the server").admin_address;
        self.posted(address, &format!("/admin/fault?server={server}"), fault);
    }

    /// Makes all servers of a service take requests without answering, or ends that.
    pub(crate) fn silence(&self, service: &str, silent: bool) {
        for server in self.servers().filter(|server| server.service == service) {
            let fault = Fault { silent, ..Fault::default() };
            self.fault(&server.name, &fault);
        }
    }

    /// The servers as published at the start.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &Server> {
        let bodies = self.published.iter().flat_map(|record| &record.body);
        bodies.filter_map(|body| match body {
            Body::Server(server) => Some(server),
            _ => None,
        })
    }

    /// An index as published at the start.
    pub(crate) fn index(&self, name: &str) -> Index {
        let bodies = self.published.iter().flat_map(|record| &record.body);
        let mut indexes = bodies.filter_map(|body| match body {
            Body::Index(index) => Some(index),
            _ => None,
        });
        let found = indexes.find(|index| index.name == name);
        found.expect("the index is published").clone()
    }

    /// Limit on connections to each server in a service's entry; 0: none.
    pub(crate) fn connections(&self, service: &str) -> u32 {
        let bodies = self.published.iter().flat_map(|record| &record.body);
        let mut entries = bodies.filter_map(|body| match body {
            Body::Entry(entry) => Some(entry),
            _ => None,
        });
        let found = entries.find(|entry| entry.service == service);
        let limits = found.expect("the entry is published").limits;
        limits.map_or(0, |limits| limits.connections)
    }

    /// An entry as published at the start, but with a single repeatable operation of this name.
    pub(crate) fn entry(&self, service: &str, operation: &str) -> Entry {
        let mut bodies = self.published.iter().flat_map(|record| &record.body);
        let found = bodies.find_map(|body| match body {
            Body::Entry(entry) if entry.service == service => Some(entry.clone()),
            _ => None,
        });
        let mut entry = found.expect("the entry is published");
        entry.operations.truncate(1);
        entry.operations[0].name = operation.to_owned();
        entry
    }

    /// Names of the shards of an index, which at the start are those of its services.
    pub(crate) fn shards(&self, index: &str) -> Vec<String> {
        let shards = self.index(index).shards.into_iter();
        shards.map(|shard| shard.name).collect()
    }
}
