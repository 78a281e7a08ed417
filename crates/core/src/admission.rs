//! Admission of sweeps: in overload, each sweep is admitted or refused as a whole before anything
//! of it is sent.
//!
//! A sweep needs nearly all of its services. If each service refused work by itself, nearly every
//! sweep would lack some parts, and the work done for it would be wasted. [`capacity`] runs at the
//! instance that sends to a service's servers: it computes which share of the offered sweeps the
//! servers can answer in time, and reports the share with each reply. [`decision`] runs at the
//! instance that the caller reached: it keeps the reported shares and selects the sweeps to admit.
//! [`reservation`] keeps reservations for callers that were refused and retry at the advised time,
//! at the instance that [`holder`] selects.

pub mod capacity;
pub mod decision;
pub mod holder;
pub mod reservation;

use ladder_schema::catalogue::Urgency;

pub use capacity::Capacity;
pub use decision::Decision;

/// Number of urgency classes of sweeps.
pub const CLASSES: usize = 3;

/// Urgency class of a sweep; the first class is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class(usize);

impl Class {
    /// All classes, the most urgent one first.
    pub const ALL: [Self; CLASSES] = [Self(0), Self(1), Self(2)];

    /// Index of the class in an array over all classes.
    pub const fn index(self) -> usize {
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

/// Share of the offered sweeps that are admitted, in thousandths; at most 1000.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Share(u32);

impl Share {
    /// All sweeps.
    pub const ALL: Self = Self(1000);
    /// No sweeps.
    pub const NONE: Self = Self(0);
    /// Smallest share that a sender reports. Some sweeps must be sent in the heaviest overload too,
    /// since only their replies show its end.
    pub const MIN: Self = Self(20);

    /// Creates a share of `permille` thousandths, at most all.
    pub fn from_permille(permille: u32) -> Self {
        Self(permille.min(Self::ALL.0))
    }

    /// Creates a share from a fraction between 0 and 1.
    pub fn from_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * 1000.0).round() as u32)
    }

    /// The share in thousandths.
    pub const fn permille(self) -> u32 {
        self.0
    }

    /// The share as a fraction between 0 and 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 1000.0
    }

    /// Share that is admitted on arrival if `reserved_percent` of the sweeps that can be served are
    /// reserved for callers that retry. There are no reservations while all can be served.
    pub fn without_reserved(self, reserved_percent: u32) -> Self {
        if self == Self::ALL {
            return self;
        }
        Self(self.0 * 100_u32.saturating_sub(reserved_percent) / 100)
    }

    /// Share of the sweeps without a reservation that are admitted on arrival, in thousandths, by
    /// which an admitted one is counted as several offered ones; at least 1.
    ///
    /// A sweep with a reservation is counted for itself. If the others were counted by
    /// [`Share::without_reserved`], they would stand for those with a reservation too: at twice the
    /// capacity and 30% reserved, an eighth of the capacity was not used. This share is right if
    /// all reservations are used; if fewer are, the offered sweeps are counted too low, but by less
    /// than the capacity that the reservations leave.
    pub fn unreserved_permille(self, reserved_percent: u32) -> u32 {
        let reserved = self.fraction() * f64::from(reserved_percent.min(100)) / 100.0;
        let on_arrival = self.without_reserved(reserved_percent).fraction();
        if self == Self::ALL {
            return Self::ALL.0;
        }
        ((on_arrival / (1.0 - reserved) * 1000.0).round() as u32).max(1)
    }

    /// Reads the share that a reply reports: thousandths plus 1, or 0 for all sweeps.
    pub fn from_reply(admissible_permille: u32) -> Self {
        match admissible_permille {
            0 => Self::ALL,
            one_more => Self::from_permille(one_more - 1),
        }
    }

    /// Encodes the share for a reply; the inverse of [`Share::from_reply`].
    pub fn to_reply(self) -> u32 {
        if self == Self::ALL { 0 } else { self.0 + 1 }
    }
}

/// Number of offered portions that one received portion stands for, given the share of the sweeps
/// that its entry instance admitted; 0, as from an instance without sweep admission, means all.
pub fn weight(admitted_permille: u32) -> f64 {
    match admitted_permille {
        0 => 1.0,
        permille => Share::ALL.0 as f64 / f64::from(permille.min(Share::ALL.0)),
    }
}
