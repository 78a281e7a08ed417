//! The way of a caller's request to the gathering machine and of its answer back.

use std::cell::RefCell;
use std::rc::Rc;

use ladder_core::collections::Map;
use ladder_core::gather::Event;
use ladder_core::gather::event::Caller;
use ladder_schema::call;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::publication::Bounds;
use tokio::sync::oneshot;

use super::Shared;

/// Callers that wait for their answer.
#[derive(Debug, Default)]
pub struct Waiting {
    /// Invariant: holds each open request once, under the number its machine event carries.
    callers: Map<Caller, oneshot::Sender<call::Answer>>,
    last: u64,
}

impl Waiting {
    /// Gives an answer to its caller; a caller that is gone is not told.
    pub fn answer(&mut self, caller: Caller, answer: call::Answer) {
        if let Some(sender) = self.callers.remove(&caller) {
            let _ = sender.send(answer);
        }
    }

    /// Enters a new caller.
    fn enter(&mut self) -> (Caller, oneshot::Receiver<call::Answer>) {
        self.last += 1;
        let caller = Caller(self.last);
        let (sender, receiver) = oneshot::channel();
        self.callers.insert(caller, sender);
        (caller, receiver)
    }
}

/// Tells the machine when the caller closes its connection before the answer.
struct Presence {
    door: Door,
    caller: Caller,
}

impl Drop for Presence {
    fn drop(&mut self) {
        if self.door.waiting.borrow_mut().callers.remove(&self.caller).is_some() {
            self.door.shared.gather.tell(Event::Gone(self.caller));
        }
    }
}

/// Takes callers' requests; clones lead to the same machine.
#[derive(Clone)]
pub struct Door {
    shared: Rc<Shared>,
    waiting: Rc<RefCell<Waiting>>,
}

impl Door {
    /// A door that enters callers into `waiting`.
    pub fn new(shared: Shared, waiting: Rc<RefCell<Waiting>>) -> Self {
        Self { shared: Rc::new(shared), waiting }
    }

    /// Whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        self.shared.ready.is_ready()
    }

    /// Whether a stop has begun: callers are to go elsewhere with their next request.
    pub fn is_draining(&self) -> bool {
        self.shared.ready.is_draining()
    }

    /// What a caller may send, by the routes in force; all zero while none are.
    pub fn bounds(&self) -> Bounds {
        self.shared.bounds.get()
    }

    /// Answers a request. Dropped before the end, it tells the machine that its caller has left.
    pub async fn ask(&self, request: call::Request) -> call::Answer {
        let key = request.key.clone();
        let arrived = self.shared.clock.now();
        let (caller, answered) = self.waiting.borrow_mut().enter();
        let presence = Presence { door: self.clone(), caller };
        self.shared.gather.tell(Event::Call { caller, request });
        let answer = match answered.await {
            Ok(answer) => answer,
            Err(_) => refusal(key, Reason::Draining, Verdict::MayHaveRun, "the instance ended"),
        };
        drop(presence);
        self.shared.metrics.answered(&answer, self.shared.clock.now().since(arrived));
        answer
    }
}

/// An answer that refuses a whole request.
pub fn refusal(key: String, reason: Reason, verdict: Verdict, detail: &str) -> call::Answer {
    call::Answer {
        key,
        verdict: verdict.into(),
        reason: reason.into(),
        detail: detail.to_owned(),
        ..call::Answer::default()
    }
}
