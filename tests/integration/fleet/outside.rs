//! Controls the platform and the targets of a fleet: published records and injected faults.

use ladder_schema::catalogue::Entry;
use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Index, Page, Record, Server};
use ladder_schema::standin::{Fault, Mode};

use super::{Fleet, http, start_binary, wait_until};

impl Fleet {
    /// Restarts the platform with the records published at the start, like a replica restored from
    /// an old copy.
    pub(crate) fn restart_platform(&mut self) {
        self.platform.kill();
        let settings = self.folder.join(&self.run.platform_file);
        self.platform = start_binary("standin-platform", &settings);
        wait_until("the restarted platform replies", || {
            http::get(&self.run.platform_address, "/admin/counts").is_ok()
        });
    }

    /// Restores the platform's store from a copy that lacks all records above a revision.
    pub(crate) fn restore_store(&self, copy: u64) {
        let path = format!("/admin/restore?copy={copy}");
        self.post_json(&self.run.platform_address, &path, &Mode::default());
    }

    /// Sets the fault mode of the platform, replacing the current one.
    pub(crate) fn set_platform_mode(&self, mode: Mode) {
        self.post_json(&self.run.platform_address, "/admin/mode", &mode);
    }

    /// Publishes records in order under the next revisions and returns the highest of these
    /// revisions.
    pub(crate) fn publish(&self, bodies: Vec<Body>) -> u64 {
        let records = bodies.into_iter().map(|body| Record {
            revision: 0,
            body: Some(body),
            ..Record::default()
        });
        let page = Page { head: 0, records: records.collect(), ..Page::default() };
        self.post_json(&self.run.platform_address, "/admin/publish", &page).json::<Page>().head
    }

    /// Replaces the injected faults of a server.
    pub(crate) fn set_fault(&self, server: &str, fault: &Fault) {
        self.post_json(
            self.admin_address_of(server),
            &format!("/admin/fault?server={server}"),
            fault,
        );
    }

    /// Admin address of the target process that runs a server.
    pub(crate) fn admin_address_of(&self, server: &str) -> &str {
        let mut processes = self.run.targets.iter();
        let process = processes.find(|process| process.servers.iter().any(|name| name == server));
        &process.expect("a target process runs the server").admin_address
    }

    /// Makes all servers of a service accept requests without replying, or restores them.
    pub(crate) fn set_silent(&self, service: &str, silent: bool) {
        for server in self.servers_of(service) {
            self.set_fault(&server.name, &Fault { silent, ..Fault::default() });
        }
    }

    /// Bodies of the records published at the start that `select` returns a value for.
    fn published_bodies<'a, T>(
        &'a self,
        select: fn(&'a Body) -> Option<T>,
    ) -> impl Iterator<Item = T> {
        self.published.iter().flat_map(|record| &record.body).filter_map(select)
    }

    /// Servers that the platform published at the start.
    pub(crate) fn published_servers(&self) -> impl Iterator<Item = &Server> {
        self.published_bodies(
            |body| if let Body::Server(server) = body { Some(server) } else { None },
        )
    }

    /// Servers of one service that the platform published at the start.
    pub(crate) fn servers_of(&self, service: &str) -> impl Iterator<Item = &Server> {
        self.published_servers().filter(move |server| server.service == service)
    }

    /// Index with a given name as the platform published it at the start.
    pub(crate) fn published_index(&self, name: &str) -> Index {
        let mut indexes =
            self.published_bodies(
                |body| if let Body::Index(index) = body { Some(index) } else { None },
            );
        indexes.find(|index| index.name == name).expect("the index is published").clone()
    }

    /// Catalogue entry of a service as published at the start.
    fn published_entry(&self, service: &str) -> &Entry {
        let mut entries =
            self.published_bodies(
                |body| if let Body::Entry(entry) = body { Some(entry) } else { None },
            );
        entries.find(|entry| entry.service == service).expect("the entry is published")
    }

    /// Limit on connections to each server in the catalogue entry of a service; 0 if there is none.
    pub(crate) fn connection_limit(&self, service: &str) -> u32 {
        self.published_entry(service).limits.map_or(0, |limits| limits.connections)
    }

    /// Catalogue entry of a service as published at the start, but with a single idempotent
    /// operation named `operation`.
    pub(crate) fn entry_with_operation(&self, service: &str, operation: &str) -> Entry {
        let mut entry = self.published_entry(service).clone();
        entry.operations.truncate(1);
        entry.operations[0].name = operation.to_owned();
        entry
    }

    /// Names of the shards of an index; at the start each shard has the name of its service.
    pub(crate) fn shard_names(&self, index: &str) -> Vec<String> {
        let shards = self.published_index(index).shards.into_iter();
        shards.map(|shard| shard.name).collect()
    }
}
