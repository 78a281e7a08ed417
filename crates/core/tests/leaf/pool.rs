//! Connections of a simulated instance to servers.

use std::collections::BTreeMap;
use std::sync::Arc;

use ladder_core::leaf::Event;
use ladder_core::leaf::event::ConnectionKey;

/// Connections of a simulated instance to servers.
#[derive(Default)]
pub(crate) struct Pool {
    opening: Vec<ConnectionKey>,
    addresses: BTreeMap<ConnectionKey, Arc<str>>,
}

impl Pool {
    /// Begins to open a connection.
    pub(crate) fn open(&mut self, connection: ConnectionKey, address: Arc<str>) {
        self.opening.push(connection);
        self.addresses.insert(connection, address);
    }

    /// Gives up opening a connection that the instance has closed.
    pub(crate) fn close(&mut self, connection: ConnectionKey) {
        self.opening.retain(|other| *other != connection);
    }

    /// Address of the server of a connection.
    pub(crate) fn address(&self, connection: ConnectionKey) -> Arc<str> {
        Arc::clone(&self.addresses[&connection])
    }

    /// Ends the latest attempt to open a connection, and returns what the instance learns of it.
    pub(crate) fn next_event(&mut self, is_reachable: impl Fn(&str) -> bool) -> Option<Event> {
        let connection = self.opening.pop()?;
        Some(match is_reachable(&self.addresses[&connection]) {
            true => Event::Opened(connection),
            false => Event::Closed(connection),
        })
    }

    /// Forgets all connections and returns them.
    pub(crate) fn take_all(&mut self) -> impl Iterator<Item = ConnectionKey> + use<> {
        std::mem::take(&mut self.addresses).into_keys()
    }
}
