//! Selection of the servers that a part of a sweep may run on, whichever instance sends the part to
//! them.
//!
//! A route limits the number of servers that one part runs on. A part goes to another instance when
//! the first one is lost, and neither instance knows which servers the other used; if each selected
//! servers by its own view, together they would use more servers than the route allows. The entry
//! instance is the only one that knows all instances that send the sweep's parts, so it selects the
//! servers, and the selection is sent with the part. An instance that considers one of these
//! servers dead or leaving has fewer servers left, and refuses the part if none is left: while no
//! server can have received the part, the entry instance selects servers again.

use crate::control::hash;
use crate::view::Server;

/// Hash of a server's name that identifies the server in messages between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerHash(pub u32);

impl ServerHash {
    /// Computes the hash of the server with this name.
    pub fn of(name: &str) -> Self {
        Self(hash::of(&[name.as_bytes()]) as u32)
    }
}

/// Inputs of a selection besides the servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms<'a> {
    /// Maximum number of servers that the part may run on.
    pub(crate) attempts: usize,
    /// Request key; distributes the parts of different requests over the servers.
    pub(crate) key: &'a str,
    /// Availability zone of the instance that first sends the part; servers of that zone are
    /// selected first.
    pub(crate) preferred_zone: &'a str,
    /// Servers that an instance could not use or would avoid; they are selected last.
    pub(crate) avoided: &'a [ServerHash],
}

/// Selects the servers that a part may run on.
pub(crate) fn select_servers<'a>(
    servers: impl Iterator<Item = &'a Server>,
    terms: Terms<'_>,
) -> Vec<ServerHash> {
    let mut server_hashes: Vec<(&Server, ServerHash)> =
        servers.map(|server| (server, ServerHash::of(&server.name))).collect();
    if server_hashes.len() > terms.attempts {
        server_hashes.sort_by_cached_key(|(server, server_hash)| {
            let hash = hash::of(&[terms.key.as_bytes(), server.name.as_bytes()]);
            (
                terms.avoided.contains(server_hash),
                !server.takes_work(),
                *server.zone != *terms.preferred_zone,
                hash,
            )
        });
    }
    server_hashes.into_iter().take(terms.attempts).map(|(_, server_hash)| server_hash).collect()
}
