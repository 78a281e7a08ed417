//! Measures how long the responses to sweeps take after they are due.
//!
//! A sweep is answered in time if its response reaches the caller by the target time of its route.
//! Between the moment at which the answer is due and the arrival of the response, the timer fires
//! late because the thread is busy, the parts are merged, the response is encoded and written, and
//! its packets pass the instance's own link. On a slow or busy instance that takes longer than the
//! way to the caller, so the time that is reserved for it follows the measured delays.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::event::{Action, CallerId};
use super::machine::Machine;
use super::query::Query;
use crate::average::Delay;
use crate::time::Instant;

/// Time reserved before a delay has been measured, and the percentage of the available time that is
/// reserved in addition. It includes the way to a caller some milliseconds away and back.
const UNMEASURED_RESERVE: (Duration, u32) = (Duration::from_millis(9), 8);
/// Round-trip time to a caller that is assumed if the operating system does not report it.
const ASSUMED_ROUND_TRIP: Duration = Duration::from_millis(6);
/// A delay enters the estimate as at most this or twice the present bound, whichever is more, so
/// that one caller who reads slowly does not shorten the wait of many sweeps.
const MAX_FIRST_DELAY: Duration = Duration::from_millis(30);

/// Maximum number of answers whose responses are not written yet. Of more, the oldest are not
/// measured.
const MAX_UNWRITTEN: usize = 256;

/// Times of the response to a sweep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseTime {
    /// Key of the request.
    pub key: String,
    /// Name of the sweep's route, or of the index of a request that names its shards itself.
    pub route: Arc<str>,
    /// Time from the moment at which the answer was due until the machine answered.
    pub wake: Duration,
    /// Time from the answer until the whole response was passed to the operating system.
    pub write: Duration,
    /// Time for which the response was on the way to the caller, beyond the way of a single packet;
    /// zero if it is not known.
    pub transfer: Duration,
    /// How much later than at the target time, or without one the deadline, the response reaches
    /// the caller, by the caller's round-trip time; zero if it is in time.
    pub late: Duration,
}

impl ResponseTime {
    /// Time from the moment at which the answer was due until the caller had the whole response,
    /// beyond the way of a single packet.
    pub fn total(&self) -> Duration {
        self.wake + self.write + self.transfer
    }
}

/// An answer to a sweep whose response is not written yet.
#[derive(Clone, Debug)]
struct Unwritten {
    caller: CallerId,
    key: String,
    route: Arc<str>,
    /// When the answer was due: at the query's timer or, if a reply completed the sweep, when that
    /// reply was handled.
    due_at: Instant,
    answered_at: Instant,
    /// When the response has to be written to reach the caller by the route's target time.
    write_by: Instant,
}

/// Time that has to be reserved for the response to a caller.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResponseReserve {
    /// Round-trip time to the caller, if it is known. Half of it passed before the request arrived.
    round_trip: Option<Duration>,
    /// Bound on the delay of a response after it is due; `None` until a delay was measured.
    delay: Option<Duration>,
}

impl ResponseReserve {
    /// Returns the round-trip time to the caller, if it is known.
    pub(crate) fn round_trip(self) -> Option<Duration> {
        self.round_trip
    }

    /// Returns a bound on the delay of a response after it is due; zero until one was measured.
    pub(crate) fn delay(self) -> Duration {
        self.delay.unwrap_or_default()
    }

    /// Returns how long before a target time an answer is due; at most half of the time.
    pub(crate) fn before_target(self, target: Duration) -> Duration {
        let unmeasured = || unmeasured_reserve(target).max(self.round_trip.unwrap_or_default());
        self.measured().unwrap_or_else(unmeasured).min(target / 2)
    }

    /// Returns how long before a deadline an answer is due; at most a quarter of the time.
    pub(crate) fn before_deadline(self, deadline: Duration) -> Duration {
        let reserve = self.measured().unwrap_or_default().max(unmeasured_reserve(deadline));
        reserve.min(deadline / 4)
    }

    fn measured(self) -> Option<Duration> {
        Some(self.round_trip.unwrap_or(ASSUMED_ROUND_TRIP) + self.delay?)
    }
}

/// Returns the time reserved out of `available` before a delay has been measured.
fn unmeasured_reserve(available: Duration) -> Duration {
    let (least, percent) = UNMEASURED_RESERVE;
    least + available * percent / 100
}

/// The answers whose responses are not written yet, and the delays of earlier responses.
#[derive(Debug, Default)]
pub(crate) struct ResponseTimes {
    /// Invariant: at most [`MAX_UNWRITTEN`] answers, oldest first.
    unwritten: VecDeque<Unwritten>,
    /// Delays of responses after their answers were due.
    delay: Delay,
    /// When the process last resumed after a pause.
    resumed_at: Instant,
}

impl ResponseTimes {
    /// Returns the time to reserve for the response to a caller.
    pub(crate) fn reserve(&self, round_trip: Option<Duration>) -> ResponseReserve {
        ResponseReserve { round_trip, delay: self.delay.bound() }
    }

    /// Takes note that the process was paused until `now`. Responses that were due before
    /// are not samples of the usual delay.
    pub(crate) fn pause_ended(&mut self, now: Instant) {
        self.resumed_at = now;
    }

    /// Forgets the answer to a caller who has left.
    pub(crate) fn discard(&mut self, caller: CallerId) {
        self.unwritten.retain(|answer| answer.caller != caller);
    }

    fn add(&mut self, answer: Unwritten) {
        if self.unwritten.len() >= MAX_UNWRITTEN {
            self.unwritten.pop_front();
        }
        self.unwritten.push_back(answer);
    }

    /// Removes the answer whose response was written at `at`, and returns its times.
    fn take(&mut self, caller: CallerId, at: Instant, transfer: Duration) -> Option<ResponseTime> {
        let position = self.unwritten.iter().position(|answer| answer.caller == caller)?;
        let answer = self.unwritten.remove(position)?;
        let response = ResponseTime {
            key: answer.key,
            route: answer.route,
            wake: answer.answered_at.since(answer.due_at),
            write: at.since(answer.answered_at),
            transfer,
            late: (at + transfer).since(answer.write_by),
        };
        if answer.due_at >= self.resumed_at {
            let most = self.delay.bound().unwrap_or_default() * 2;
            self.delay.add(response.total().min(most.max(MAX_FIRST_DELAY)));
        }
        Some(response)
    }
}

impl Machine {
    /// Starts the measurement of the response to a query that is being answered: a forwarded sweep
    /// with a target time, or a request that names its shards itself.
    pub(super) fn measure_response(&mut self, now: Instant, query: &Query) {
        let (route, available) = match &query.route {
            None => (&query.index.name, query.terms.deadline),
            Some(route) if route.is_sweep() && route.spec.target_ms > 0 => {
                (&route.spec.name, Duration::from_millis(route.spec.target_ms.into()))
            }
            Some(_) => return,
        };
        self.response_times.add(Unwritten {
            caller: query.caller,
            key: query.request.key.clone(),
            route: route.as_str().into(),
            due_at: query.due_at(now),
            answered_at: now,
            write_by: query.arrived_at + available - query.caller_round_trip.unwrap_or_default(),
        });
    }

    /// Ends the measurement of a response that was written.
    pub(super) fn handle_written(
        &mut self,
        caller: CallerId,
        at: Instant,
        transfer: Duration,
        out: &mut Vec<Action>,
    ) {
        if let Some(response) = self.response_times.take(caller, at, transfer) {
            out.push(Action::Written(Box::new(response)));
        }
    }
}
