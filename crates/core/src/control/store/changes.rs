//! What changed in a store, and which servers each service has.

use std::sync::Arc;

use ladder_schema::publication::{Kind, Record, Server, record::Body};

use super::Key;
use crate::collections::{Map, Set};

/// What changed in a store since it was last asked.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Services of which the entry, a server or a departure changed.
    pub services: Set<Arc<str>>,
    /// Some index version changed.
    pub indexes: bool,
    /// The published list of instances changed.
    pub instances: bool,
    /// Another version of the routes is in force.
    pub routing: bool,
    /// Some availability zone is evacuated, or not any more.
    pub evacuations: bool,
}

/// Records of the servers of each service.
#[derive(Clone, Debug, Default)]
pub(super) struct Groups {
    /// Invariant: each list is in order of the server's name and not empty.
    servers: Map<Arc<str>, Vec<Arc<Record>>>,
}

impl Groups {
    /// The servers of a service in order of name.
    pub(super) fn of(&self, service: &str) -> impl Iterator<Item = &Server> {
        let list = self.servers.get(service).map_or(&[][..], Vec::as_slice);
        list.iter().filter_map(|record| server(record))
    }

    /// The name of a service that has servers, shared.
    pub(super) fn name(&self, service: &str) -> Arc<str> {
        let known = self.servers.get_key_value(service);
        known.map_or_else(|| service.into(), |(name, _)| Arc::clone(name))
    }

    /// Takes in that a record of a server came into force; returns the service.
    pub(super) fn add(&mut self, record: &Arc<Record>) -> Option<Arc<str>> {
        let added = server(record)?;
        let service = self.name(&added.service);
        let list = self.servers.entry(Arc::clone(&service)).or_default();
        let place = place(list, &added.name);
        match place {
            Ok(at) => list[at] = Arc::clone(record),
            Err(at) => list.insert(at, Arc::clone(record)),
        }
        Some(service)
    }

    /// Takes in that a record of a server is not in force any more; returns the service.
    pub(super) fn remove(&mut self, record: &Record) -> Option<Arc<str>> {
        let gone = server(record)?;
        let service = self.name(&gone.service);
        let list = self.servers.get_mut(&service)?;
        if let Ok(at) = place(list, &gone.name) {
            list.remove(at);
        }
        if list.is_empty() {
            self.servers.remove(&service);
        }
        Some(service)
    }
}

/// Where a server stands in the list, or would.
fn place(list: &[Arc<Record>], name: &str) -> Result<usize, usize> {
    list.binary_search_by(|record| {
        let known = server(record).map(|server| server.name.as_str());
        known.cmp(&Some(name))
    })
}

fn server(record: &Record) -> Option<&Server> {
    match &record.body {
        Some(Body::Server(server)) => Some(server),
        _ => None,
    }
}

impl Changes {
    /// Notes a change of a key's record that is not a server's.
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
