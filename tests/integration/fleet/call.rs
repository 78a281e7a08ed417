//! Requests of callers, their answers, and checks of these answers.

use std::collections::BTreeSet;
use std::thread::{self, JoinHandle};

use ladder_schema::call::{Answer, Request};
use ladder_schema::publication::Index;
use ladder_standin::answer::body;

use super::http;

/// Deadline of requests in tests that are not about deadlines, in milliseconds.
const DEADLINE_MS: u32 = 10_000;

/// Names of the index and the operations of one user's catalogue.
#[derive(Clone, Copy)]
pub(crate) struct Operations {
    /// Name of the index.
    pub(crate) index: &'static str,
    /// Name of a repeatable operation over all shards.
    pub(crate) sweep: &'static str,
    /// Name of an unrepeatable operation.
    pub(crate) booking: &'static str,
}

/// Operations of the user Porto.
pub(crate) const PORTO: Operations =
    Operations { index: "gate-finder", sweep: "dock-availability", booking: "dock-booking" };

/// Operations of the user Bagmati. Its sweeps use the whole deadline to be complete.
pub(crate) const BAGMATI: Operations =
    Operations { index: "counter-desk", sweep: "eligibility", booking: "payout-lookup" };

impl Operations {
    /// Creates a request for a sweep over all shards.
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

    /// Creates a request for a booking at one shard.
    pub(crate) fn booking(self, key: &str, shard: &str) -> Request {
        Request {
            operation: self.booking.to_owned(),
            shards: vec![shard.to_owned()],
            payload: format!("booking of {key}"),
            ..self.sweep(key)
        }
    }
}

/// Creates a request for an operation of Bagmati's report desk, an index of one shard.
pub(crate) fn report_request(operation: &str, key: &str) -> Request {
    Request {
        index: "report-desk".to_owned(),
        operation: operation.to_owned(),
        ..BAGMATI.sweep(key)
    }
}

/// A request and its result.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) request: Request,
    /// HTTP status and answer, or the error of a connection that gave no answer.
    pub(crate) outcome: Result<(u16, Answer), String>,
}

/// Sends a request to the caller address of an instance and waits for the answer.
pub(crate) fn ask(caller_address: &str, request: Request) -> Exchange {
    let outcome = match http::post(caller_address, "/query", &request) {
        Ok(response) => Ok((response.status, response.json())),
        Err(error) => Err(error.to_string()),
    };
    Exchange { request, outcome }
}

/// Sends a request from a separate thread.
pub(crate) fn send(caller_address: String, request: Request) -> JoinHandle<Exchange> {
    thread::spawn(move || ask(&caller_address, request))
}

/// Waits for the answers to requests that were sent from separate threads.
pub(crate) fn join_all(sent: Vec<JoinHandle<Exchange>>) -> Vec<Exchange> {
    let joined = sent.into_iter().map(JoinHandle::join);
    joined.map(|exchange| exchange.expect("the caller is answered")).collect()
}

impl Exchange {
    /// Returns the answer; panics if the request got no answer.
    pub(crate) fn answer(&self) -> &Answer {
        match &self.outcome {
            Ok((_, answer)) => answer,
            Err(error) => panic!("lost: {:?}: {error}", self.request),
        }
    }

    /// Returns the HTTP status of the answer.
    pub(crate) fn status(&self) -> u16 {
        self.answer();
        self.outcome.as_ref().map_or(0, |(status, _)| *status)
    }

    /// Checks that the answer belongs to this request, that all of its parts are of one version,
    /// and that its list of covered shards matches its parts.
    pub(crate) fn check_belongs_to_request(&self) {
        let (answer, request) = (self.answer(), &self.request);
        assert_eq!(answer.key, request.key, "another request's answer");
        let covered = answer.parts.iter().map(|part| &part.shard);
        assert!(
            answer.covered.iter().eq(covered),
            "covered shards differ from the shards of the parts: {answer:?}"
        );
        for part in &answer.parts {
            let (key, payload) = (&request.key, &request.payload);
            let expected = body(&request.index, answer.version, &part.shard, key, payload);
            assert_eq!(part.body, expected, "a part of another request or version");
        }
    }

    /// Checks that the covered and the missing shards together are exactly the requested shards of
    /// the index version.
    pub(crate) fn check_accounts_for_shards(&self, index: &Index) {
        let answer = self.answer();
        assert_eq!(answer.version, index.version);
        let requested: BTreeSet<&str> = match self.request.shards.as_slice() {
            [] => index.shards.iter().map(|shard| shard.name.as_str()).collect(),
            some => some.iter().map(String::as_str).collect(),
        };
        let missing = answer.missing.iter().map(|missing| missing.shard.as_str());
        let reported: Vec<&str> =
            answer.covered.iter().map(String::as_str).chain(missing).collect();
        assert_eq!(
            reported.len(),
            requested.len(),
            "a shard is reported twice or not at all: {answer:?}"
        );
        assert_eq!(reported.into_iter().collect::<BTreeSet<_>>(), requested);
    }

    /// Checks that the answer belongs to this request and covers every requested shard of the index
    /// version.
    pub(crate) fn check_complete(&self, index: &Index) {
        self.check_belongs_to_request();
        self.check_accounts_for_shards(index);
        assert!(self.answer().missing.is_empty(), "not complete: {self:?}");
        assert_eq!(self.status(), 200);
    }
}
