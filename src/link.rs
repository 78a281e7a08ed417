//! Frames between instances over nng: each instance has one pull socket, and one push socket per
//! peer.
//!
//! Frames may be lost, but are never reordered within one connection. A frame waits in buffers
//! while its receiver is paused; [`inbound`] estimates the waiting time and subtracts it from the
//! frame's time budgets.

mod connection;
pub mod inbound;
pub mod outbound;

use std::sync::{Arc, RwLock};

use ladder_core::collections::Set;

pub use inbound::Inbound;
pub use outbound::{Context, Outbound};

/// The identity under which an instance sends frames to its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Fleet name.
    pub fleet: String,
    /// Instance name.
    pub name: String,
    /// Incarnation number of this process.
    pub incarnation: u64,
    /// Peer address: IP number and port.
    pub address: String,
    /// Availability zone.
    pub zone: String,
}

/// Peer addresses whose frames are dropped in both directions, for failure tests.
#[derive(Clone, Debug, Default)]
pub struct Cut(Arc<RwLock<Set<String>>>);

impl Cut {
    /// Replaces the set of addresses whose links are cut.
    pub fn replace(&self, addresses: impl IntoIterator<Item = String>) {
        if let Ok(mut cut) = self.0.write() {
            *cut = addresses.into_iter().collect();
        }
    }

    /// Whether the link to `address` is cut.
    pub fn contains(&self, address: &str) -> bool {
        self.0.read().is_ok_and(|cut| cut.contains(address))
    }
}
