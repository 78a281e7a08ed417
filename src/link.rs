//! Frames between instances over nng: one pull socket per instance, one push socket per peer.
//!
//! Frames may be lost, never reordered within one connection. A frame lies in buffers while its
//! receiver is suspended; [`inbound`] estimates that time and takes it off the budgets.

pub mod inbound;
pub mod outbound;

use std::sync::{Arc, RwLock};

use ladder_core::collections::Set;

pub use inbound::Inbound;
pub use outbound::Outbound;

/// Who this instance is to its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Fleet name.
    pub fleet: String,
    /// Instance name.
    pub name: String,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Peer address: IP number and port.
    pub address: String,
    /// Availability zone.
    pub zone: String,
}

/// Addresses whose frames are dropped in both directions, for failure tests.
#[derive(Clone, Debug, Default)]
pub struct Cut(Arc<RwLock<Set<String>>>);

impl Cut {
    /// Replaces the addresses cut off.
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
