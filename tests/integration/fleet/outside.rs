//! The platform and the targets of a run: what they publish, their failures.

use ladder_schema::catalogue::Entry;
use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Index, Page, Record, Server};
use ladder_schema::standin::{Fault, Mode};

use super::{Fleet, http, start, until};

impl Fleet {
    /// Starts the platform anew: it serves what was published at the start, as a replica restored
    /// from an old copy would.
    pub(crate) fn restart_platform(&mut self) {
        self.platform.kill();
        let settings = self.folder.join(&self.run.platform_file);
        self.platform = start("standin-platform", &settings);
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
        let page = Page { head: 0, records: records.collect(), ..Page::default() };
        self.posted(&self.run.platform_address, "/admin/publish", &page).json::<Page>().head
    }

    /// Replaces the faults of a server.
    pub(crate) fn fault(&self, server: &str, fault: &Fault) {
        self.posted(self.admin_of(server), &format!("/admin/fault?server={server}"), fault);
    }

    /// Operators' address of the process of a server.
    pub(crate) fn admin_of(&self, server: &str) -> &str {
        let mut processes = self.run.targets.iter();
        let process = processes.find(|process| process.servers.iter().any(|name| name == server));
        &process.expect("a process has the server").admin_address
    }

    /// Makes all servers of a service take requests without answering, or ends that.
    pub(crate) fn silence(&self, service: &str, silent: bool) {
        for server in self.servers_of(service) {
            self.fault(&server.name, &Fault { silent, ..Fault::default() });
        }
    }

    /// What was published at the start, of one kind.
    fn published<'a, T>(&'a self, of: fn(&'a Body) -> Option<T>) -> impl Iterator<Item = T> {
        self.published.iter().flat_map(|record| &record.body).filter_map(of)
    }

    /// The servers as published at the start.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &Server> {
        self.published(|body| if let Body::Server(server) = body { Some(server) } else { None })
    }

    /// The servers of a service as published at the start.
    pub(crate) fn servers_of(&self, service: &str) -> impl Iterator<Item = &Server> {
        self.servers().filter(move |server| server.service == service)
    }

    /// An index as published at the start.
    pub(crate) fn index(&self, name: &str) -> Index {
        let mut indexes =
            self.published(|body| if let Body::Index(index) = body { Some(index) } else { None });
        indexes.find(|index| index.name == name).expect("the index is published").clone()
    }

    /// The entry of a service as published at the start.
    fn entry_of(&self, service: &str) -> &Entry {
        let mut entries =
            self.published(|body| if let Body::Entry(entry) = body { Some(entry) } else { None });
        entries.find(|entry| entry.service == service).expect("the entry is published")
    }

    /// Limit on connections to each server in a service's entry; 0: none.
    pub(crate) fn connections(&self, service: &str) -> u32 {
        self.entry_of(service).limits.map_or(0, |limits| limits.connections)
    }

    /// An entry as published at the start, but with a single repeatable operation of this name.
    pub(crate) fn entry(&self, service: &str, operation: &str) -> Entry {
        let mut entry = self.entry_of(service).clone();
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
