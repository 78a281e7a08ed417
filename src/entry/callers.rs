//! Callers' HTTP: `POST /query` and `GET /ready`.

use std::cell::RefCell;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, Method, Request, Response, StatusCode};
use bytes::Bytes;
use ladder_core::collections::Map;
use ladder_core::gather::event::Caller;
use ladder_core::gather::{self, Event};
use ladder_schema::bounds;
use ladder_schema::call;
use ladder_schema::outcome::{Reason, Verdict};
use tokio::sync::oneshot;

use super::Shared;
use crate::http::{self, BodyError};

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
    shared: Shared,
    waiting: Rc<RefCell<Waiting>>,
    caller: Caller,
}

impl Drop for Presence {
    fn drop(&mut self) {
        if self.waiting.borrow_mut().callers.remove(&self.caller).is_some() {
            self.shared.gather.tell(Event::Gone(self.caller));
        }
    }
}

/// Takes callers' requests.
#[derive(Clone)]
pub struct Door {
    shared: Shared,
    waiting: Rc<RefCell<Waiting>>,
}

impl Door {
    /// A door that enters callers into `waiting`.
    pub fn new(shared: Shared, waiting: Rc<RefCell<Waiting>>) -> Self {
        Self { shared, waiting }
    }

    /// Answers one HTTP request.
    pub async fn handle(self, mut request: Request) -> Response<BoxBody> {
        match (request.method(), request.path()) {
            (&Method::POST, "/query") => {
                let body = http::body(&mut request, bounds::REQUEST_BYTES).await;
                self.query(body).await
            }
            (&Method::GET, "/ready") if self.shared.ready.is_ready() => {
                http::text(StatusCode::OK, "ready\n")
            }
            (&Method::GET, "/ready") => http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            (_, "/query" | "/ready") => {
                http::text(StatusCode::METHOD_NOT_ALLOWED, "POST /query or GET /ready\n")
            }
            _ => http::text(StatusCode::NOT_FOUND, "POST /query or GET /ready\n"),
        }
    }

    /// Answers one query.
    async fn query(self, body: Result<Bytes, BodyError>) -> Response<BoxBody> {
        let request = match decode(body) {
            Ok(request) => request,
            Err(answer) => return self.respond(&answer),
        };
        let key = request.key.clone();
        let arrived = self.shared.clock.now();
        let (caller, answered) = self.waiting.borrow_mut().enter();
        let presence =
            Presence { shared: self.shared.clone(), waiting: Rc::clone(&self.waiting), caller };
        self.shared.gather.tell(Event::Call { caller, request });
        let answer = match answered.await {
            Ok(answer) => answer,
            Err(_) => refusal(key, Reason::Draining, Verdict::MayHaveRun, "the instance ended"),
        };
        drop(presence);
        self.shared.metrics.answered(&answer, self.shared.clock.now().since(arrived));
        self.respond(&answer)
    }

    /// An answer as an HTTP response.
    fn respond(&self, answer: &call::Answer) -> Response<BoxBody> {
        let status = StatusCode::from_u16(gather::status(answer))
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = http::json(status, answer);
        if self.shared.ready.is_draining() {
            // A request written to a kept connection right when the process ends would be cut and
            // leave its caller without a verdict: connections are given up beforehand.
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }
}

/// Decodes a request, or gives the refusal to answer with: nothing of it has run.
///
/// # Errors
///
/// The answer to give.
pub fn decode(body: Result<Bytes, BodyError>) -> Result<call::Request, Box<call::Answer>> {
    let refuse =
        |reason, detail: String| Box::new(refusal(String::new(), reason, Verdict::NotRun, &detail));
    match body {
        Ok(bytes) => serde_json::from_slice(&bytes)
            .map_err(|error| refuse(Reason::Malformed, error.to_string())),
        Err(error @ BodyError::TooLarge(_)) => Err(refuse(Reason::TooLarge, error.to_string())),
        Err(error @ BodyError::Broken(_)) => Err(refuse(Reason::Malformed, error.to_string())),
    }
}

/// An answer that refuses a whole request.
fn refusal(key: String, reason: Reason, verdict: Verdict, detail: &str) -> call::Answer {
    call::Answer {
        key,
        verdict: verdict.into(),
        reason: reason.into(),
        detail: detail.to_owned(),
        ..call::Answer::default()
    }
}
