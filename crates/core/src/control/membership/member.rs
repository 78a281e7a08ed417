//! One member of the fleet.

use std::sync::Arc;

use ladder_schema::publication::State;
use ladder_schema::wire::{Liveness, Rumour};

use crate::time::Instant;

/// Evidence that a member's liveness is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum Evidence {
    /// The member is this instance.
    ThisInstance,
    /// Listed by the platform; no frame received yet.
    Published,
    /// A frame of the member was received.
    FrameReceived,
    /// Reported by a peer.
    PeerReport,
    /// The member did not answer probes.
    Silent,
    /// The link to the member broke.
    LinkDown,
    /// Most links broke at once: the network fault is this instance's own.
    OwnNetworkFault,
    /// Nothing refuted the suspicion in time.
    Unrefuted,
    /// The member was considered dead and sent a frame again; it has yet to refute.
    SeenAgain,
}

/// One member of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// Unique name of the member.
    pub name: Arc<str>,
    /// IP address and port of the member's peer socket.
    pub address: Arc<str>,
    /// Availability zone of the member.
    pub zone: Arc<str>,
    /// Processor capacity that the member may use, in thousandths of a core; 0 while it is not
    /// known.
    pub millicores: u32,
    /// Orders the process lives of a member; 0 while only the published list names it. The
    /// generation is the incarnation of the member's process, unless peers already knew a higher
    /// generation under its name when the process started.
    ///
    /// Invariant: never decreases.
    pub generation: u64,
    /// Counter that the member itself increases to refute a suspicion that it is dead.
    ///
    /// Invariant: never decreases within a generation.
    pub refutation: u32,
    /// Whether the member is considered alive, suspected, dead or leaving.
    ///
    /// Invariant: leaving is final for a generation.
    pub liveness: Liveness,
    /// When the member's liveness last changed.
    pub liveness_since: Instant,
    /// Evidence that the member's liveness is based on.
    pub why: Evidence,
    /// When this instance first learned of the member's current generation.
    pub generation_known_at: Instant,
    /// When the last frame of the member was received.
    pub last_frame_at: Option<Instant>,
    /// State of the member in the published list of instances; `None` if it is not listed.
    pub published_state: Option<State>,
}

impl Member {
    /// Creates a member considered alive.
    pub(super) fn new(name: &Arc<str>, now: Instant, why: Evidence) -> Self {
        Self {
            name: Arc::clone(name),
            address: "".into(),
            zone: "".into(),
            millicores: 0,
            generation: 0,
            refutation: 0,
            liveness: Liveness::Alive,
            liveness_since: now,
            why,
            generation_known_at: now,
            last_frame_at: None,
            published_state: None,
        }
    }

    /// The member's name, for use as a map key.
    pub(super) fn key(&self) -> Arc<str> {
        Arc::clone(&self.name)
    }

    /// Whether the member is neither dead nor leaving.
    pub(super) fn is_reachable(&self) -> bool {
        matches!(self.liveness, Liveness::Alive | Liveness::Suspect)
    }

    /// Whether views and the probe ring would treat both states of the member the same.
    pub(super) fn is_equivalent_in_views(&self, other: &Self) -> bool {
        let state = |member: &Self| (member.liveness, member.generation);
        state(self) == state(other)
            && self.address == other.address
            && self.zone == other.zone
            && self.millicores == other.millicores
    }

    /// Sets the member's liveness, the time of its change and the evidence for it.
    pub(super) fn set_liveness(&mut self, now: Instant, liveness: Liveness, why: Evidence) {
        self.liveness = liveness;
        self.liveness_since = now;
        self.why = why;
    }

    /// The state of the member as this instance knows it, for sending to peers.
    pub fn to_gossip_update(&self) -> Rumour {
        Rumour {
            name: self.name.to_string(),
            generation: self.generation,
            refutation: self.refutation,
            liveness: self.liveness as i32,
            address: self.address.to_string(),
            zone: self.zone.to_string(),
            millicores: self.millicores,
        }
    }

    /// Whether a gossip update is newer than the known state. The order is: the higher generation,
    /// then leaving, then the higher refutation, then the worse liveness.
    pub(super) fn is_superseded_by(&self, rumour: &Rumour) -> bool {
        let received = (
            rumour.generation,
            rumour.liveness() == Liveness::Leaving,
            rumour.refutation,
            rumour.liveness(),
        );
        let known =
            (self.generation, self.liveness == Liveness::Leaving, self.refutation, self.liveness);
        rumour.liveness() != Liveness::Unspecified && received > known
    }

    /// Whether a gossip update reports the silence of an earlier life or refutation than the known
    /// one.
    pub(super) fn is_later_than(&self, rumour: &Rumour) -> bool {
        matches!(rumour.liveness(), Liveness::Suspect | Liveness::Dead)
            && (self.generation, self.refutation) > (rumour.generation, rumour.refutation)
    }

    /// Replaces the known state of the member with that of a gossip update.
    pub(super) fn apply_update(&mut self, now: Instant, rumour: &Rumour) {
        if self.generation > 0 && self.generation < rumour.generation {
            self.generation_known_at = now;
        }
        self.generation = rumour.generation;
        self.refutation = rumour.refutation;
        if !rumour.address.is_empty() {
            self.address = rumour.address.as_str().into();
            self.zone = rumour.zone.as_str().into();
            self.millicores = rumour.millicores;
        }
        if self.liveness != rumour.liveness() {
            self.set_liveness(now, rumour.liveness(), Evidence::PeerReport);
        }
    }
}
