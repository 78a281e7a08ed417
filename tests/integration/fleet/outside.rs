//! The platform and the targets of a fleet: published records and injected faults.

use ladder_schema::catalogue::Entry;
use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Index, Page, Record, Server};
use ladder_schema::standin::{Fault, Mode};

use super::{Fleet, http, start, wait_until};

impl Fleet {
    /// Restarts the platform with the records that were published at the start, like a replica
    /// restored from an old copy.
    pub(crate) fn restart_platform(&mut self) {
        self.platform.kill();
        let settings = self.folder.join(&self.run.platform_file);
        self.platform = start("standin-platform", &settings);
        wait_until("the platform answers again", || {
            http::get(&self.run.platform_address, "/admin/counts").is_ok()
        });
    }

    /// Sets the injected failure of the platform.
    pub(crate) fn set_platform_mode(&self, mode: Mode) {
        self.post(&self.run.platform_address, "/admin/mode", &mode);
    }

    /// Publishes records with the next revisions, in order; returns the highest revision.
    pub(crate) fn publish(&self, bodies: Vec<Body>) -> u64 {
        let records = bodies.into_iter().map(|body| Record { revision: 0, body: Some(body) });
        let page = Page { head: 0, records: records.collect(), ..Page::default() };
        self.post(&self.run.platform_address, "/admin/publish", &page).json::<Page>().head
    }

    /// Replaces the injected faults of a server.
    pub(crate) fn set_fault(&self, server: &str, fault: &Fault) {
        self.post(self.admin_of(server), &format!("/admin/fault?server={server}"), fault);
    }

    /// Returns the admin address of the process that runs a server.
    pub(crate) fn admin_of(&self, server: &str) -> &str {
        let mut processes = self.run.targets.iter();
        let process = processes.find(|process| process.servers.iter().any(|name| name == server));
        &process.expect("one process runs the server").admin_address
    }

    /// Makes all servers of a service accept requests without answering, or ends that.
    pub(crate) fn set_silent(&self, service: &str, silent: bool) {
        for server in self.servers_of(service) {
            self.set_fault(&server.name, &Fault { silent, ..Fault::default() });
        }
    }

    /// Returns the records of one kind that were published at the start.
    fn published<'a, T>(&'a self, of: fn(&'a Body) -> Option<T>) -> impl Iterator<Item = T> {
        self.published.iter().flat_map(|record| &record.body).filter_map(of)
    }

    /// Returns the servers as published at the start.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &Server> {
        self.published(|body| if let Body::Server(server) = body { Some(server) } else { None })
    }

    /// Returns the servers of a service as published at the start.
    pub(crate) fn servers_of(&self, service: &str) -> impl Iterator<Item = &Server> {
        self.servers().filter(move |server| server.service == service)
    }

    /// Returns an index as published at the start.
    pub(crate) fn index(&self, name: &str) -> Index {
        let mut indexes =
            self.published(|body| if let Body::Index(index) = body { Some(index) } else { None });
        indexes.find(|index| index.name == name).expect("the index is published").clone()
    }

    /// Returns the catalogue entry of a service as published at the start.
    fn entry_of(&self, service: &str) -> &Entry {
        let mut entries =
            self.published(|body| if let Body::Entry(entry) = body { Some(entry) } else { None });
        entries.find(|entry| entry.service == service).expect("the entry is published")
    }

    /// Returns the limit on connections to each server in the catalogue entry of a service; 0 if
    /// there is none.
    pub(crate) fn connections(&self, service: &str) -> u32 {
        self.entry_of(service).limits.map_or(0, |limits| limits.connections)
    }

    /// Returns the catalogue entry of a service as published at the start, but with a single
    /// repeatable operation named `operation`.
    pub(crate) fn entry(&self, service: &str, operation: &str) -> Entry {
        let mut entry = self.entry_of(service).clone();
        entry.operations.truncate(1);
        entry.operations[0].name = operation.to_owned();
        entry
    }

    /// Returns the names of the shards of an index; at the start these are also the names of its
    /// services.
    pub(crate) fn shards(&self, index: &str) -> Vec<String> {
        let shards = self.index(index).shards.into_iter();
        shards.map(|shard| shard.name).collect()
    }
}
