//! Passes callers' requests to the gathering machine and its answers back to the callers.

use std::cell::RefCell;
use std::rc::Rc;

use ladder_core::collections::Map;
use ladder_core::gather::Event;
use ladder_core::gather::event::{CallerId, Reception};
use ladder_core::time::Instant;
use ladder_schema::call;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::publication::Bounds;
use tokio::sync::oneshot;

use super::Shared;
use crate::http::responses::{Connection, OnWritten, Unwritten, Written};

/// Callers that wait for their answers.
#[derive(Debug, Default)]
pub struct WaitingCallers {
    /// Invariant: holds each open request once, under the caller number that its [`Event::Call`]
    /// carries.
    callers: Map<CallerId, oneshot::Sender<call::Answer>>,
    last_number: u64,
}

impl WaitingCallers {
    /// Sends an answer to its caller; the answer is discarded if the caller has disconnected.
    pub fn answer(&mut self, caller: CallerId, answer: call::Answer) {
        if let Some(sender) = self.callers.remove(&caller) {
            let _ = sender.send(answer);
        }
    }

    /// Registers a new caller and returns its number and the receiver of its answer.
    fn register(&mut self) -> (CallerId, oneshot::Receiver<call::Answer>) {
        self.last_number += 1;
        let caller = CallerId(self.last_number);
        let (sender, receiver) = oneshot::channel();
        self.callers.insert(caller, sender);
        (caller, receiver)
    }
}

/// Reports [`Event::CallerLeft`] to the gathering machine if it is dropped before the answer was
/// sent, as happens when the caller closes its connection.
struct CallerGuard {
    gateway: Gateway,
    caller: CallerId,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.gateway.waiting.borrow_mut().callers.remove(&self.caller).is_some() {
            self.gateway.shared.gather.send(Event::CallerLeft(self.caller));
        }
    }
}

/// An answer, and what to call when the response with it is written.
pub struct Answered {
    /// The answer to the caller.
    pub answer: call::Answer,
    /// Must be called once the whole response is written.
    pub on_written: OnWritten,
}

/// Reports [`Event::Written`] for a response that was written, and [`Event::CallerLeft`] if it is
/// dropped before.
struct WriteGuard {
    gateway: Gateway,
    caller: CallerId,
    is_written: bool,
}

impl WriteGuard {
    fn written(mut self, written: Written) {
        self.is_written = true;
        let at = self.gateway.shared.clock.now() - written.at.elapsed();
        let (caller, transfer) = (self.caller, written.transfer);
        self.gateway.shared.gather.send(Event::Written { caller, at, transfer });
    }
}

impl Drop for WriteGuard {
    fn drop(&mut self) {
        if !self.is_written {
            self.gateway.shared.gather.send(Event::CallerLeft(self.caller));
        }
    }
}

/// Accepts callers' requests; all clones pass them to the same gathering machine.
#[derive(Clone)]
pub struct Gateway {
    shared: Rc<Shared>,
    waiting: Rc<RefCell<WaitingCallers>>,
}

impl Gateway {
    /// Creates a handler of callers' requests that registers the waiting callers in `waiting`.
    pub fn new(shared: Shared, waiting: Rc<RefCell<WaitingCallers>>) -> Self {
        Self { shared: Rc::new(shared), waiting }
    }

    /// Whether the load balancer should send requests to this instance.
    pub fn is_ready(&self) -> bool {
        self.shared.ready.is_ready()
    }

    /// Whether the instance is draining, so that callers should send their next request to another
    /// instance.
    pub fn is_draining(&self) -> bool {
        self.shared.ready.is_draining()
    }

    /// Returns the bounds on callers' requests from the routes in force; all bounds are zero while
    /// there are no routes.
    pub fn bounds(&self) -> Bounds {
        self.shared.caller_bounds.get()
    }

    /// The number of responses that are not written to callers yet. A graceful shutdown waits for
    /// them.
    pub fn unwritten_responses(&self) -> Unwritten {
        self.shared.unwritten_responses.clone()
    }

    /// Passes a request to the gathering machine and waits for the answer. If the returned future
    /// is dropped before the answer, the machine is informed that the caller has disconnected.
    /// `connection` is the one that the request has arrived on.
    pub async fn answer(
        &self,
        request: call::Request,
        connection: Option<&Connection>,
    ) -> Answered {
        let key = request.key.clone();
        let arrived_at = self.shared.clock.now();
        let (caller, receiver) = self.waiting.borrow_mut().register();
        let guard = CallerGuard { gateway: self.clone(), caller };
        let reception = reception(connection, arrived_at);
        self.shared.gather.send(Event::Call { caller, request, reception });
        let answer = match receiver.await {
            Ok(answer) => answer,
            Err(_) => refusal(key, Reason::Draining, Verdict::MayHaveRun, "the instance ended"),
        };
        drop(guard);
        self.shared.metrics.answered(&answer, self.shared.clock.now().since(arrived_at));
        let guard = WriteGuard { gateway: self.clone(), caller, is_written: false };
        Answered { answer, on_written: Box::new(move |written| guard.written(written)) }
    }
}

/// Returns how a request has reached this instance that was decoded at `now`.
fn reception(connection: Option<&Connection>, now: Instant) -> Reception {
    Reception {
        received_at: connection.map(|connection| now - connection.since_read()),
        round_trip: connection.and_then(Connection::round_trip),
    }
}

/// Creates an answer that refuses a whole request.
pub fn refusal(key: String, reason: Reason, verdict: Verdict, detail: &str) -> call::Answer {
    call::Answer {
        key,
        verdict: verdict.into(),
        reason: reason.into(),
        detail: detail.to_owned(),
        ..call::Answer::default()
    }
}
