//! Callers' requests, what they get, and what must be true of it.

use std::collections::BTreeSet;
use std::thread::{self, JoinHandle};

use ladder_schema::call::{Answer, Request};
use ladder_schema::publication::Index;
use ladder_standin::answer::body;

use super::http;

/// Milliseconds that a caller waits where a test is not about deadlines.
const DEADLINE_MS: u32 = 10_000;

/// The operations of a user.
#[derive(Clone, Copy)]
pub(crate) struct Operations {
    /// The index.
    pub(crate) index: &'static str,
    /// A repeatable operation over all shards.
    pub(crate) sweep: &'static str,
    /// An unrepeatable operation.
    pub(crate) booking: &'static str,
}

/// Of Porto.
pub(crate) const PORTO: Operations =
    Operations { index: "gate-finder", sweep: "dock-availability", booking: "dock-booking" };

/// Of Bagmati; its sweeps use the whole deadline to be complete.
pub(crate) const BAGMATI: Operations =
    Operations { index: "counter-desk", sweep: "eligibility", booking: "payout-lookup" };

impl Operations {
    /// A sweep over all shards.
    pub(crate) fn sweep(self, key: &str) -> Request {
        Request {
            key: key.to_owned(),
            attempt: 1,
            index: self.index.to_owned(),
            operation: self.sweep.to_owned(),
            deadline_ms: DEADLINE_MS,
            payload: format!("sweep of {key}"),
            ..Request::default()
        }
    }

    /// A booking at one shard.
    pub(crate) fn booking(self, key: &str, shard: &str) -> Request {
        Request {
            operation: self.booking.to_owned(),
            shards: vec![shard.to_owned()],
            payload: format!("booking of {key}"),
            ..self.sweep(key)
        }
    }
}

/// A request for an operation of Bagmati's report desk, an index of one shard.
pub(crate) fn report(operation: &str, key: &str) -> Request {
    Request {
        index: "report-desk".to_owned(),
        operation: operation.to_owned(),
        ..BAGMATI.sweep(key)
    }
}

/// One request and what came of it.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) request: Request,
    /// HTTP status and answer; the error of a connection that gave none.
    pub(crate) outcome: Result<(u16, Answer), String>,
}

/// Sends a request and waits for its answer.
pub(crate) fn ask(door: &str, request: Request) -> Exchange {
    let outcome = match http::post(door, "/query", &request) {
        Ok(response) => Ok((response.status, response.json())),
        Err(error) => Err(error.to_string()),
    };
    Exchange { request, outcome }
}

/// Sends a request from a thread of its own.
pub(crate) fn send(door: String, request: Request) -> JoinHandle<Exchange> {
    thread::spawn(move || ask(&door, request))
}

/// Waits for the answers to requests that were sent.
pub(crate) fn received(sent: Vec<JoinHandle<Exchange>>) -> Vec<Exchange> {
    let joined = sent.into_iter().map(JoinHandle::join);
    joined.map(|exchange| exchange.expect("the caller is answered")).collect()
}

impl Exchange {
    /// The answer; a request without any fails the test.
    pub(crate) fn answer(&self) -> &Answer {
        match &self.outcome {
            Ok((_, answer)) => answer,
            Err(error) => panic!("lost: {:?}: {error}", self.request),
        }
    }

    /// HTTP status of the answer.
    pub(crate) fn status(&self) -> u16 {
        self.answer();
        self.outcome.as_ref().map_or(0, |(status, _)| *status)
    }

    /// The answer is to this request, of one version, and its lists are true to its parts.
    pub(crate) fn check_own(&self) {
        let (answer, request) = (self.answer(), &self.request);
        assert_eq!(answer.key, request.key, "another request's answer");
        let covered = answer.parts.iter().map(|part| &part.shard);
        assert!(
            answer.covered.iter().eq(covered),
            "coverage is not what the parts are of: {answer:?}"
        );
        for part in &answer.parts {
            let (key, payload) = (&request.key, &request.payload);
            let expected = body(&request.index, answer.version, &part.shard, key, payload);
            assert_eq!(part.body, expected, "a part of another request or version");
        }
    }

    /// Covered and missing shards together are exactly the asked ones of the version's map.
    pub(crate) fn check_map(&self, index: &Index) {
        let answer = self.answer();
        assert_eq!(answer.version, index.version);
        let asked: BTreeSet<&str> = match self.request.shards.as_slice() {
            [] => index.shards.iter().map(|shard| shard.name.as_str()).collect(),
            some => some.iter().map(String::as_str).collect(),
        };
        let missing = answer.missing.iter().map(|missing| missing.shard.as_str());
        let stated: Vec<&str> = answer.covered.iter().map(String::as_str).chain(missing).collect();
        assert_eq!(stated.len(), asked.len(), "a shard stands twice or not at all: {answer:?}");
        assert_eq!(stated.into_iter().collect::<BTreeSet<_>>(), asked);
    }

    /// The answer is its own and covers every asked shard of the version's map.
    pub(crate) fn check_complete(&self, index: &Index) {
        self.check_own();
        self.check_map(index);
        assert!(self.answer().missing.is_empty(), "not complete: {self:?}");
        assert_eq!(self.status(), 200);
    }
}
