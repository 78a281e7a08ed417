//! Waiting portions of one service: urgency classes, within a class the order of arrival put off by
//! a part of the time that the portion has.

use std::collections::BTreeMap;

use ladder_schema::catalogue::Urgency;

use super::portion::PortionKey;
use crate::time::Instant;

/// Urgency classes.
pub(super) const CLASSES: usize = 4;

/// Dispatches in a row that may pass over a waiting lower class.
///
/// Without this bound a steady stream of urgent work would leave ordinary work waiting until its
/// deadline. With it a lower class that waits gets at least every eighth dispatch.
const PASSES: u32 = 7;

/// Part of the time between arrival and deadline by which a portion's turn is put off.
///
/// With the deadline itself as the turn, work that has a second more than the rest of its class
/// would wait for all that arrives in that second: longer than in order of arrival by far. With
/// the arrival as the turn, short deadlines would be missed behind a long queue.
const PUT_OFF: f64 = 0.02;

/// When a portion's turn is, compared with others of its class.
pub(super) fn turn(arrived: Instant, deadline: Instant) -> Instant {
    arrived + deadline.since(arrived).mul_f64(PUT_OFF)
}

/// An urgency class; zero goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Class(usize);

impl Class {
    /// Work whose answer has a time by which it must be there, earliest first.
    pub(super) const TIMED: Self = Self(1);
    /// Work that can't be there in time any more: it waits for idle servers.
    pub(super) const LATE: Self = Self(3);

    /// Its place in an array over all classes.
    pub(super) fn place(self) -> usize {
        self.0
    }
}

impl From<Urgency> for Class {
    fn from(urgency: Urgency) -> Self {
        match urgency {
            Urgency::Urgent => Self(0),
            Urgency::Elevated => Self(1),
            Urgency::Ordinary | Urgency::Unspecified => Self(2),
        }
    }
}

/// Place of a portion in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    class: Class,
    turn: Instant,
    sequence: u64,
}

impl Place {
    /// Whether it is behind all that can be in time.
    pub(super) fn is_late(&self) -> bool {
        self.class == Class::LATE
    }
}

/// Waiting portions of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    /// Earliest turn first, then order of arrival.
    classes: [BTreeMap<(Instant, u64), PortionKey>; CLASSES],
    /// Grows with every portion.
    sequence: u64,
    /// Dispatches in a row that passed over a waiting lower class.
    passes: u32,
    /// The lower class whose turn it was last.
    turn: usize,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.classes.iter().map(BTreeMap::len).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.classes.iter().all(BTreeMap::is_empty)
    }

    /// Portions that go before a new one of this class.
    pub(super) fn ahead(&self, class: Class) -> usize {
        self.classes[..=class.0].iter().map(BTreeMap::len).sum()
    }

    pub(super) fn push(&mut self, class: Class, turn: Instant, key: PortionKey) -> Place {
        self.sequence += 1;
        let sequence = self.sequence;
        self.classes[class.0].insert((turn, sequence), key);
        Place { class, turn, sequence }
    }

    pub(super) fn remove(&mut self, place: Place) {
        self.classes[place.class.0].remove(&(place.turn, place.sequence));
    }

    /// The waiting portion of a class that goes first.
    pub(super) fn head(&self, class: Class) -> Option<PortionKey> {
        self.classes[class.0].values().next().copied()
    }

    /// Portions in the order in which they would be dispatched now.
    pub(super) fn order(&self) -> impl Iterator<Item = PortionKey> + '_ {
        let first = self.first_class();
        let rest = (0..CLASSES).filter(move |class| *class != first);
        std::iter::once(first).chain(rest).flat_map(|class| self.classes[class].values().copied())
    }

    /// Removes a portion that is dispatched and keeps account of the classes passed over.
    pub(super) fn dispatch(&mut self, place: Place) {
        let class = place.class.0;
        let highest = self.waiting(0).unwrap_or(class);
        let lower_waits = self.waiting(class + 1).is_some();
        self.remove(place);
        if class > highest {
            self.turn = class;
            self.passes = 0;
        } else if lower_waits {
            self.passes += 1;
        } else {
            self.passes = 0;
        }
    }

    /// The class whose head goes next.
    fn first_class(&self) -> usize {
        let Some(highest) = self.waiting(0) else {
            return Class::LATE.0;
        };
        if self.passes < PASSES {
            return highest;
        }
        let after_turn = self.waiting(self.turn.max(highest) + 1);
        let lower = after_turn.or_else(|| self.waiting(highest + 1));
        lower.unwrap_or(highest)
    }

    /// The first class from `from` on that has waiting portions.
    fn waiting(&self, from: usize) -> Option<usize> {
        (from..Class::LATE.0).find(|class| !self.classes[*class].is_empty())
    }
}
