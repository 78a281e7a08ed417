//! Changes of a store since its last view, and the servers of each service.

use std::sync::Arc;

use ladder_schema::publication::{Kind, Record, Server, record::Body};

use super::Key;
use crate::collections::{Map, Set};

/// Changes of a store since they were last taken.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Services whose catalogue entry, servers or departures changed.
    pub services: Set<Arc<str>>,
    /// Whether some index version changed.
    pub indexes: bool,
    /// Whether the published list of instances changed.
    pub instances: bool,
    /// Whether another version of the routes is in force.
    pub routing: bool,
    /// Whether the evacuation of some availability zone started or ended.
    pub evacuations: bool,
}

/// Server records in force, grouped by service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServersByService {
    /// Server records by service.
    ///
    /// Invariant: each list is sorted by server name and not empty.
    servers: Map<Arc<str>, Vec<Arc<Record>>>,
}

impl ServersByService {
    /// Servers of a service, in order of name.
    pub(super) fn servers_of_service(&self, service: &str) -> impl Iterator<Item = &Server> {
        let records = self.servers.get(service).map_or(&[][..], Vec::as_slice);
        records.iter().filter_map(|record| server(record))
    }

    /// Shared copy of a service name, or a new one if the service has no servers.
    pub(super) fn shared_name(&self, service: &str) -> Arc<str> {
        let known = self.servers.get_key_value(service);
        known.map_or_else(|| service.into(), |(name, _)| Arc::clone(name))
    }

    /// Adds a server record that came into force; returns its service.
    pub(super) fn add(&mut self, record: &Arc<Record>) -> Option<Arc<str>> {
        let added = server(record)?;
        let service = self.shared_name(&added.service);
        let records = self.servers.entry(Arc::clone(&service)).or_default();
        let found = position(records, &added.name);
        match found {
            Ok(index) => records[index] = Arc::clone(record),
            Err(index) => records.insert(index, Arc::clone(record)),
        }
        Some(service)
    }

    /// Removes a server record that is no longer in force; returns its service.
    pub(super) fn remove(&mut self, record: &Record) -> Option<Arc<str>> {
        let removed = server(record)?;
        let service = self.shared_name(&removed.service);
        let records = self.servers.get_mut(&service)?;
        if let Ok(index) = position(records, &removed.name) {
            records.remove(index);
        }
        if records.is_empty() {
            self.servers.remove(&service);
        }
        Some(service)
    }
}

/// Index of a server in a list sorted by name, or where it would be inserted.
fn position(list: &[Arc<Record>], name: &str) -> Result<usize, usize> {
    list.binary_search_by(|record| {
        let record_name = server(record).map(|server| server.name.as_str());
        record_name.cmp(&Some(name))
    })
}

fn server(record: &Record) -> Option<&Server> {
    match &record.body {
        Some(Body::Server(server)) => Some(server),
        _ => None,
    }
}

impl Changes {
    /// Notes a changed record by its key. Server records are skipped: their changes are noted by
    /// service when they are put in force.
    pub(super) fn note(&mut self, key: &Key) {
        match key.kind {
            Kind::Entry => {
                self.services.insert(Arc::clone(&key.name));
            }
            Kind::Index => self.indexes = true,
            Kind::Instance => self.instances = true,
            Kind::Routing => self.routing = true,
            Kind::Evacuation => self.evacuations = true,
            Kind::Server | Kind::Unspecified => {}
        }
    }
}
