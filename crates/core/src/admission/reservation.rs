//! Reservations for callers whose sweeps were refused and that retry at the advised time.
//!
//! The instance that rendezvous hashing selects for the fingerprint of a refused sweep, the holder,
//! keeps the reservations of that fingerprint in its [`Book`]. No other instance has a copy. A
//! reservation that is lost with its holder only costs its caller the preference.

use std::collections::BTreeSet;
use std::time::Duration;

use ladder_schema::{bounds, wire};
use slotmap::{SlotMap, new_key_type};

use crate::fingerprint::Fingerprint;
use crate::time::{Instant, whole_millis};

/// Maximum number of reservations that one instance keeps.
pub const CAPACITY: usize = 4096;
/// Maximum credit for reservations that is kept while requests are granted or can't wait, or when
/// many reservations expire together. Otherwise, a holder could make any number of reservations in
/// a row after such a time.
const MAX_CREDIT: f64 = 4.0;
/// A reservation is valid from this fraction of the latency objective before its time. Callers
/// measure their remaining time from when they sent the request, so that they return slightly
/// before the time that the entry instance computes.
const EARLY_DIVISOR: u32 = 8;
/// Increment between the return times of successive requests, as a fraction of 2^32: the golden
/// ratio. Multiples of it divide the range of return times more evenly than random numbers do, for
/// any number of requests.
const PHASE_INCREMENT: u32 = 0x9e37_79b9;

new_key_type! {
    /// Key of a reservation in a [`Book`].
    struct ReservationKey;
}

/// Request for a reservation on behalf of a sweep that is about to be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Fingerprint of the sweep's request. Equal requests of different callers have the same one.
    pub fingerprint: Fingerprint,
    /// Longest time that the caller can wait before it retries.
    pub max_wait: Duration,
    /// Share of the offered sweeps that can be served, in thousandths.
    pub share_permille: u32,
    /// Latency objective of the sweep's route.
    pub target: Duration,
}

impl Request {
    /// Decodes a request from a peer; `None` if it has no valid fingerprint.
    pub fn read(request: &wire::ReservationRequest) -> Option<Self> {
        let duration = |ms: u32| Duration::from_millis(ms.min(bounds::DEADLINE_MS).into());
        Some(Self {
            fingerprint: Fingerprint::read(&request.fingerprint)?,
            max_wait: duration(request.max_wait_ms),
            share_permille: request.share_permille,
            target: duration(request.target_ms),
        })
    }

    /// Encodes the request for query number `query`.
    pub fn wire(&self, query: u64) -> wire::ReservationRequest {
        wire::ReservationRequest {
            query,
            fingerprint: self.fingerprint.bytes().into(),
            max_wait_ms: whole_millis(self.max_wait),
            share_permille: self.share_permille,
            target_ms: rounded_up_millis(self.target),
        }
    }

    /// Returns whether a reservation can be of use: the caller can wait, and the route has a latency
    /// objective, which is also how long a reservation is valid.
    fn is_reservable(&self) -> bool {
        !self.max_wait.is_zero() && !self.target.is_zero()
    }

    /// Returns the earliest and latest delay after which the caller may be advised to retry.
    fn delay_range(&self) -> (Duration, Duration) {
        match self.max_wait {
            Duration::ZERO => (self.target, self.target),
            max_wait if max_wait < self.target => (max_wait / 2, max_wait),
            max_wait => (self.target, max_wait),
        }
    }
}

/// Response of a [`Book`] to a [`Request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// A reservation of the fingerprint was due and is now used up: the sweep is admitted.
    Granted,
    /// The sweep is refused, and a reservation is kept for a retry after `retry_after`.
    Reserved {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The sweep is refused without a reservation.
    Refused {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

impl Response {
    /// Decodes a reply from the holder.
    pub fn read(reply: &wire::ReservationReply) -> Self {
        let retry_after = Duration::from_millis(reply.retry_after_ms.into());
        match (reply.granted, reply.reserved) {
            (true, _) => Self::Granted,
            (false, true) => Self::Reserved { retry_after },
            (false, false) => Self::Refused { retry_after },
        }
    }

    /// Encodes the response to the request for query number `query` of an instance in its
    /// `incarnation`.
    pub fn wire(self, query: u64, incarnation: u64) -> wire::ReservationReply {
        wire::ReservationReply {
            query,
            incarnation,
            granted: self == Self::Granted,
            retry_after_ms: rounded_up_millis(self.retry_after()),
            reserved: matches!(self, Self::Reserved { .. }),
        }
    }

    /// Returns the time after which the caller should retry; zero if the sweep is admitted.
    pub const fn retry_after(self) -> Duration {
        match self {
            Self::Granted => Duration::ZERO,
            Self::Reserved { retry_after } | Self::Refused { retry_after } => retry_after,
        }
    }

    /// Returns the event by which the response is counted.
    pub const fn event(self) -> Event {
        match self {
            Self::Granted => Event::Claimed,
            Self::Reserved { .. } => Event::Made,
            Self::Refused { .. } => Event::Refused,
        }
    }
}

/// Event in the life of a reservation, as counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A reservation was made.
    Made,
    /// A due reservation was used by a sweep.
    Claimed,
    /// A reservation expired unused.
    Expired,
    /// A request got neither a grant nor a reservation.
    Refused,
}

impl Event {
    /// Returns the name of the event in the metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Made => "made",
            Self::Claimed => "claimed",
            Self::Expired => "expired",
            Self::Refused => "refused",
        }
    }
}

/// One reservation.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    fingerprint: Fingerprint,
    /// Time from which the reservation can be used.
    valid_from: Instant,
    /// Time from which the reservation can no longer be used.
    expires_at: Instant,
}

/// The reservations that one instance keeps.
///
/// Of the sweeps that can be served, a fixed fraction R is for reservations. With a share `s` that
/// can be served, new sweeps are admitted at `(1 - R) s`, and of the others the fraction
/// `R s / (1 - (1 - R) s)` gets a reservation, and one more for each that expired unused. As every
/// reservation serves at most one sweep, both together are at most `s`.
#[derive(Debug)]
pub struct Book {
    /// Share of the sweeps that can be served that is for reservations, in percent.
    reserved_percent: u32,
    /// Invariant: at most [`CAPACITY`].
    reservations: SlotMap<ReservationKey, Reservation>,
    /// Reservations by fingerprint and then by the start of their validity.
    ///
    /// Invariant: contains each of `reservations` once.
    by_fingerprint: BTreeSet<(Fingerprint, Instant, ReservationKey)>,
    /// Reservations by the end of their validity.
    ///
    /// Invariant: contains each of `reservations` once.
    by_expiry: BTreeSet<(Instant, ReservationKey)>,
    /// Reservations that may be made in addition to the present ones and those that were used.
    ///
    /// Invariant: from 0 to [`MAX_CREDIT`].
    credit: f64,
    /// Position of the last advised delay in its range, as a fraction of 2^32.
    phase: u32,
}

impl Book {
    /// Creates an empty book that reserves this percentage of the sweeps that can be served.
    ///
    /// `seed` selects the first advised delay. Books with different seeds don't advise the same
    /// delays at the start of an overload, when the first callers arrive at all of them together.
    pub fn new(reserved_percent: u32, seed: u64) -> Self {
        Self {
            reserved_percent,
            reservations: SlotMap::default(),
            by_fingerprint: BTreeSet::default(),
            by_expiry: BTreeSet::default(),
            credit: 0.0,
            phase: (seed >> 32) as u32,
        }
    }

    /// Returns the number of reservations, including expired ones that [`Book::expire`] has not
    /// removed yet.
    pub fn len(&self) -> usize {
        self.reservations.len()
    }

    /// Returns whether there are no reservations.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// Removes the reservations whose time has passed and returns their number.
    ///
    /// Others may be made in their place. A third of the reservations is made for callers that do
    /// not return or are admitted without one; at twice the capacity, half of the returning callers
    /// were admitted when these reservations were not replaced, and three quarters when they were.
    pub fn expire(&mut self, now: Instant) -> usize {
        let mut expired = 0;
        while let Some(&(at, key)) = self.by_expiry.first() {
            if at > now {
                break;
            }
            self.remove(key);
            expired += 1;
        }
        self.credit = (self.credit + expired as f64).min(MAX_CREDIT);
        expired
    }

    /// Uses a due reservation of the request's fingerprint, or makes a new one if the share of
    /// reservations and the capacity allow it.
    ///
    /// Expired reservations must have been removed by [`Book::expire`] at the same `now`; otherwise
    /// they are removed here and not counted.
    pub fn request(&mut self, now: Instant, request: &Request) -> Response {
        self.expire(now);
        self.credit = (self.credit + self.reserved_fraction(request)).min(MAX_CREDIT);
        if let Some(key) = self.due(now, request.fingerprint) {
            self.remove(key);
            return Response::Granted;
        }
        let retry_after = self.next_delay(request);
        let has_room = self.reservations.len() < CAPACITY;
        if !request.is_reservable() || !has_room || self.credit < 1.0 {
            return Response::Refused { retry_after };
        }
        self.credit -= 1.0;
        let at = now + retry_after;
        self.insert(Reservation {
            fingerprint: request.fingerprint,
            valid_from: at - request.target / EARLY_DIVISOR,
            expires_at: at + request.target,
        });
        Response::Reserved { retry_after }
    }

    /// Returns the fraction of requests that get a reservation.
    fn reserved_fraction(&self, request: &Request) -> f64 {
        let share = f64::from(request.share_permille.min(1000)) / 1000.0;
        let reserved = f64::from(self.reserved_percent.min(100)) / 100.0 * share;
        let not_fresh = 1.0 - (share - reserved);
        if reserved <= 0.0 { 0.0 } else { reserved / not_fresh }
    }

    /// Returns the delay to advise next, between one latency objective and the longest wait.
    fn next_delay(&mut self, request: &Request) -> Duration {
        self.phase = self.phase.wrapping_add(PHASE_INCREMENT);
        let (earliest, latest) = request.delay_range();
        let range = latest.saturating_sub(earliest);
        earliest + range.mul_f64(f64::from(self.phase) / f64::from(u32::MAX))
    }

    /// Returns the reservation of a fingerprint that became valid first, if it is valid.
    fn due(&self, now: Instant, fingerprint: Fingerprint) -> Option<ReservationKey> {
        let from = (fingerprint, Instant::default(), ReservationKey::default());
        let &(found, valid_from, key) = self.by_fingerprint.range(from..).next()?;
        (found == fingerprint && valid_from <= now).then_some(key)
    }

    fn insert(&mut self, reservation: Reservation) {
        let key = self.reservations.insert(reservation);
        self.by_fingerprint.insert((reservation.fingerprint, reservation.valid_from, key));
        self.by_expiry.insert((reservation.expires_at, key));
    }

    fn remove(&mut self, key: ReservationKey) {
        if let Some(reservation) = self.reservations.remove(key) {
            let Reservation { fingerprint, valid_from, expires_at } = reservation;
            self.by_fingerprint.remove(&(fingerprint, valid_from, key));
            self.by_expiry.remove(&(expires_at, key));
        }
    }
}

/// Converts a duration to whole milliseconds, rounded up: a caller that returns after the rounded
/// time returns within the validity of its reservation.
fn rounded_up_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
