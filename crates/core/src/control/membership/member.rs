//! One member of the fleet.

use std::sync::Arc;

use ladder_schema::publication::State;
use ladder_schema::wire::{Liveness, Rumour};

use crate::time::Instant;

/// What a member's liveness rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum Why {
    /// It is this instance.
    Own,
    /// The platform lists it; nothing was heard of it.
    Published,
    /// A frame of it came.
    Heard,
    /// A peer said so.
    Rumour,
    /// It did not answer probes.
    Silent,
    /// The link to it broke.
    LinkDown,
    /// Most links broke at once: the fault is this instance's.
    OwnFault,
    /// Nothing refuted the suspicion in time.
    Unrefuted,
    /// It was held dead and spoke again; it has yet to refute.
    Returned,
}

/// One member of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// Unique name.
    pub name: Arc<str>,
    /// IP number and port of its peer socket.
    pub address: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Thousandths of a processor core that it may use; 0 while that is not known.
    pub millicores: u32,
    /// Orders its lives; 0 while nothing was heard of it. It is the incarnation of its process,
    /// unless peers knew a higher one of its name when it started.
    ///
    /// Invariant: never shrinks.
    pub generation: u64,
    /// Raised by the member itself to refute a suspicion.
    ///
    /// Invariant: never shrinks within a generation.
    pub refutation: u32,
    /// Whether it is held alive.
    ///
    /// Invariant: leaving is final for a generation.
    pub liveness: Liveness,
    /// When the liveness last changed.
    pub since: Instant,
    /// What the liveness rests on.
    pub why: Why,
    /// When this generation became known.
    pub joined: Instant,
    /// When the last frame of it came.
    pub heard: Option<Instant>,
    /// Its state in the published list, if it is in there.
    pub published: Option<State>,
}

impl Member {
    /// A member held alive.
    pub(super) fn new(name: &Arc<str>, now: Instant, why: Why) -> Self {
        Self {
            name: Arc::clone(name),
            address: "".into(),
            zone: "".into(),
            millicores: 0,
            generation: 0,
            refutation: 0,
            liveness: Liveness::Alive,
            since: now,
            why,
            joined: now,
            heard: None,
            published: None,
        }
    }

    /// Its name, for use as a key.
    pub(super) fn key(&self) -> Arc<str> {
        Arc::clone(&self.name)
    }

    /// Neither dead nor leaving.
    pub(super) fn is_reachable(&self) -> bool {
        matches!(self.liveness, Liveness::Alive | Liveness::Suspect)
    }

    /// Whether views and the ring of probes take both alike.
    pub(super) fn stands_as(&self, other: &Self) -> bool {
        let standing = |member: &Self| (member.liveness, member.generation);
        standing(self) == standing(other)
            && self.address == other.address
            && self.zone == other.zone
            && self.millicores == other.millicores
    }

    /// Changes the liveness.
    pub(super) fn turn(&mut self, now: Instant, liveness: Liveness, why: Why) {
        self.liveness = liveness;
        self.since = now;
        self.why = why;
    }

    /// What this instance holds true of it.
    pub fn as_rumour(&self) -> Rumour {
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

    /// Whether a rumour says something newer: a higher generation, then leaving, then a higher
    /// refutation, then the worse liveness.
    pub(super) fn is_beaten_by(&self, rumour: &Rumour) -> bool {
        let heard = (
            rumour.generation,
            rumour.liveness() == Liveness::Leaving,
            rumour.refutation,
            rumour.liveness(),
        );
        let held =
            (self.generation, self.liveness == Liveness::Leaving, self.refutation, self.liveness);
        rumour.liveness() != Liveness::Unspecified && heard > held
    }

    /// Takes a rumour over.
    pub(super) fn accept(&mut self, now: Instant, rumour: &Rumour) {
        if self.generation > 0 && self.generation < rumour.generation {
            self.joined = now;
        }
        self.generation = rumour.generation;
        self.refutation = rumour.refutation;
        if !rumour.address.is_empty() {
            self.address = rumour.address.as_str().into();
            self.zone = rumour.zone.as_str().into();
            self.millicores = rumour.millicores;
        }
        if self.liveness != rumour.liveness() {
            self.turn(now, rumour.liveness(), Why::Rumour);
        }
    }
}
