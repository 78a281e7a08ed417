//! Which servers a part of a sweep may run on, whoever asks them.
//!
//! A route bounds the servers that one part runs on. A part goes to another instance when the one that
//! asked for it is lost, and neither knows whom the other asked; each choosing by its own view, they ask
//! more servers together than the route allows. The instance that a sweep came to is the only one that
//! knows of all its askers, so it chooses the servers, and the choice travels with the part. Askers that
//! hold one of them for gone or leaving have fewer to ask, and refuse the part if none is left: while
//! nothing of a part can have run, it is chosen for anew.

use crate::control::hash;
use crate::view::Server;

/// Stands for a server of a service in messages between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark(pub u32);

impl Mark {
    /// Of the server with this name.
    pub fn of(name: &str) -> Self {
        Self(hash::of(&[name.as_bytes()]) as u32)
    }
}

/// What a choice depends on beside the servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms<'a> {
    /// Servers that the part may run on.
    pub(crate) attempts: usize,
    /// The request's key: the parts of different requests are spread over the servers.
    pub(crate) key: &'a str,
    /// Availability zone of the instance that asks first; its servers come first.
    pub(crate) home: &'a str,
    /// Servers that an asker could not use or would avoid; they come last.
    pub(crate) passed: &'a [Mark],
}

/// The servers that a part may run on.
pub(crate) fn choose<'a>(servers: impl Iterator<Item = &'a Server>, terms: Terms<'_>) -> Vec<Mark> {
    let mut marks: Vec<(&Server, Mark)> =
        servers.map(|server| (server, Mark::of(&server.name))).collect();
    if marks.len() > terms.attempts {
        marks.sort_by_cached_key(|(server, mark)| {
            let hash = hash::of(&[terms.key.as_bytes(), server.name.as_bytes()]);
            (terms.passed.contains(mark), !server.takes_work(), *server.zone != *terms.home, hash)
        });
    }
    marks.into_iter().take(terms.attempts).map(|(_, mark)| mark).collect()
}
