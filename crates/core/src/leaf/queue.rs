//! Queue of one service's waiting portions: urgency classes, and within a class the order of
//! arrival, each portion deferred by a fraction of its time to the deadline.

use std::collections::BTreeMap;

use ladder_schema::catalogue::Urgency;

use super::portion::PortionKey;
use crate::time::Instant;

/// Number of urgency classes.
pub(super) const CLASSES: usize = 4;

/// Number of consecutive dispatches that may pass over a waiting lower class.
///
/// Without this bound a steady stream of urgent work would leave ordinary work waiting until its
/// deadline. With the bound a lower class with waiting work gets at least every eighth dispatch.
const MAX_CONSECUTIVE_PASSES: u32 = 7;

/// Fraction of the time between arrival and deadline by which a portion is deferred in the order of
/// its class.
///
/// If portions were ordered by deadline alone, a portion with one second more time than the rest of
/// its class would wait for all work that arrives in that second: much longer than in order of
/// arrival. If portions were ordered by arrival alone, those with short deadlines would miss them
/// behind a long queue.
const DEFERRAL: f64 = 0.02;

/// Key by which a portion is ordered within its urgency class: arrival time plus a fraction
/// ([`DEFERRAL`]) of the time to the deadline.
pub(super) fn order_key(arrived: Instant, deadline: Instant) -> Instant {
    arrived + deadline.since(arrived).mul_f64(DEFERRAL)
}

/// An urgency class; class 0 is dispatched first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Class(usize);

impl Class {
    /// Class of work whose answer is due by a set time, earliest first.
    pub(super) const TIMED: Self = Self(1);
    /// Class of work that can no longer be answered in time: it is queued behind all other work and
    /// so waits for idle servers.
    pub(super) const LATE: Self = Self(3);

    /// Index of the class in an array over all classes.
    pub(super) fn index(self) -> usize {
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

/// Position of a portion in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    class: Class,
    order_key: Instant,
    sequence: u64,
}

impl Position {
    /// Whether the portion is queued behind all work that can still be answered in time.
    pub(super) fn is_late(&self) -> bool {
        self.class == Class::LATE
    }
}

/// Queue of the waiting portions of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    /// Waiting portions of each class, ordered by [`order_key`] (arrival plus a fraction of the time
    /// to the deadline), then by order of arrival.
    classes: [BTreeMap<(Instant, u64), PortionKey>; CLASSES],
    /// Number of portions queued so far.
    sequence: u64,
    /// Number of consecutive dispatches that passed over a waiting lower class.
    consecutive_passes: u32,
    /// The lower class that was last dispatched ahead of a higher one.
    last_lower_class: usize,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.classes.iter().map(BTreeMap::len).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.classes.iter().all(BTreeMap::is_empty)
    }

    /// Number of portions that are dispatched before a new one of this class.
    pub(super) fn ahead(&self, class: Class) -> usize {
        self.classes[..=class.0].iter().map(BTreeMap::len).sum()
    }

    pub(super) fn push(&mut self, class: Class, order_key: Instant, key: PortionKey) -> Position {
        self.sequence += 1;
        let sequence = self.sequence;
        self.classes[class.0].insert((order_key, sequence), key);
        Position { class, order_key, sequence }
    }

    pub(super) fn remove(&mut self, position: Position) {
        self.classes[position.class.0].remove(&(position.order_key, position.sequence));
    }

    /// The waiting portion of a class that is dispatched first.
    pub(super) fn head(&self, class: Class) -> Option<PortionKey> {
        self.classes[class.0].values().next().copied()
    }

    /// Portions in the order in which they would be dispatched now.
    pub(super) fn order(&self) -> impl Iterator<Item = PortionKey> + '_ {
        let first = self.next_class();
        let other_classes = (0..CLASSES).filter(move |class| *class != first);
        std::iter::once(first)
            .chain(other_classes)
            .flat_map(|class| self.classes[class].values().copied())
    }

    /// Removes a dispatched portion and counts consecutive dispatches that passed over a waiting
    /// lower class.
    pub(super) fn dispatch(&mut self, position: Position) {
        let class = position.class.0;
        let highest = self.first_waiting(0).unwrap_or(class);
        let lower_is_waiting = self.first_waiting(class + 1).is_some();
        self.remove(position);
        if class > highest {
            self.last_lower_class = class;
            self.consecutive_passes = 0;
        } else if lower_is_waiting {
            self.consecutive_passes += 1;
        } else {
            self.consecutive_passes = 0;
        }
    }

    /// The class whose first portion is dispatched next.
    fn next_class(&self) -> usize {
        let Some(highest) = self.first_waiting(0) else {
            return Class::LATE.0;
        };
        if self.consecutive_passes < MAX_CONSECUTIVE_PASSES {
            return highest;
        }
        let after_last = self.first_waiting(self.last_lower_class.max(highest) + 1);
        let lower = after_last.or_else(|| self.first_waiting(highest + 1));
        lower.unwrap_or(highest)
    }

    /// The first class from index `from` on that has waiting portions, the late class excluded.
    fn first_waiting(&self, from: usize) -> Option<usize> {
        (from..Class::LATE.0).find(|class| !self.classes[*class].is_empty())
    }
}
