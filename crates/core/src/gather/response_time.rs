//! Measures how long the responses to sweeps take after they are due.
//!
//! A sweep is answered in time if its response reaches the caller by the target time of its route.
//! Between the moment at which the answer is due and the last byte of the response, the timer
//! fires late because the thread is busy, the parts are merged, and the response is encoded and
//! written.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::event::{Action, CallerId};
use super::machine::Machine;
use super::query::Query;
use crate::time::Instant;

/// Maximum number of answers whose responses are not written yet. Of more, the oldest are not
/// measured.
const MAX_UNWRITTEN: usize = 256;

/// Times of the response to a sweep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseTime {
    /// Key of the request.
    pub key: String,
    /// Name of the sweep's route.
    pub route: Arc<str>,
    /// Time from the moment at which the answer was due until the machine answered.
    pub wake: Duration,
    /// Time from the answer until the whole response was passed to the operating system.
    pub write: Duration,
    /// How much later than at the target time the response reaches the caller, by the caller's
    /// round-trip time; zero if it is in time.
    pub late: Duration,
}

impl ResponseTime {
    /// Time from the moment at which the answer was due until the whole response was passed to the
    /// operating system.
    pub fn total(&self) -> Duration {
        self.wake + self.write
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

/// The answers whose responses are not written yet.
#[derive(Debug, Default)]
pub(crate) struct ResponseTimes {
    /// Invariant: at most [`MAX_UNWRITTEN`] answers, oldest first.
    unwritten: VecDeque<Unwritten>,
}

impl ResponseTimes {
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
    fn take(&mut self, caller: CallerId, at: Instant) -> Option<ResponseTime> {
        let position = self.unwritten.iter().position(|answer| answer.caller == caller)?;
        let answer = self.unwritten.remove(position)?;
        Some(ResponseTime {
            key: answer.key,
            route: answer.route,
            wake: answer.answered_at.since(answer.due_at),
            write: at.since(answer.answered_at),
            late: at.since(answer.write_by),
        })
    }
}

impl Machine {
    /// Starts the measurement of the response to a sweep with a target time, which is being
    /// answered.
    pub(super) fn measure_response(&mut self, now: Instant, query: &Query) {
        let Some(route) = query.route.as_ref().filter(|route| route.is_sweep()) else {
            return;
        };
        if route.spec.target_ms == 0 {
            return;
        }
        let target = Duration::from_millis(route.spec.target_ms.into());
        self.response_times.add(Unwritten {
            caller: query.caller,
            key: query.request.key.clone(),
            route: route.spec.name.as_str().into(),
            due_at: query.due_at(now),
            answered_at: now,
            write_by: query.arrived_at + target - query.caller_round_trip.unwrap_or_default(),
        });
    }

    /// Ends the measurement of a response that was written.
    pub(super) fn handle_written(&mut self, caller: CallerId, at: Instant, out: &mut Vec<Action>) {
        if let Some(response) = self.response_times.take(caller, at) {
            out.push(Action::Written(Box::new(response)));
        }
    }
}
