//! Callers' requests, their answers and the checks that apply to every answer.

use std::collections::BTreeSet;
use std::thread::{self, JoinHandle};

use ladder_schema::call::{Answer, Request};
use ladder_schema::publication::Index;
use ladder_standin::answer::body;

use super::http;

/// Deadline in milliseconds of requests in tests that are not about deadlines.
const DEADLINE_MS: u32 = 10_000;

/// Names of the index and the operations that the tests use in one user's catalogue.
#[derive(Clone, Copy)]
pub(crate) struct Operations {
    /// Name of the index that sweeps and bookings query.
    pub(crate) index: &'static str,
    /// Name of an idempotent operation that queries all shards.
    pub(crate) sweep: &'static str,
    /// Name of a non-idempotent operation on one shard, called a booking in these tests.
    pub(crate) booking: &'static str,
}

/// Operations that the tests use in the catalogue of the user Porto.
pub(crate) const PORTO: Operations =
    Operations { index: "gate-finder", sweep: "dock-availability", booking: "dock-booking" };

/// Operations that the tests use in the catalogue of the user Bagmati. The sweeps of Bagmati may
/// use the whole deadline to get an answer from every shard.
pub(crate) const BAGMATI: Operations =
    Operations { index: "counter-desk", sweep: "eligibility", booking: "payout-lookup" };

impl Operations {
    /// Returns a sweep, which is a request of the idempotent operation for all shards.
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

    /// Returns a booking, which is a request of the non-idempotent operation for one shard.
    pub(crate) fn booking(self, key: &str, shard: &str) -> Request {
        Request {
            operation: self.booking.to_owned(),
            shards: vec![shard.to_owned()],
            payload: format!("booking of {key}"),
            ..self.sweep(key)
        }
    }
}

/// Request for an operation of Bagmati's index `report-desk`, which has a single shard.
pub(crate) fn report_desk_request(operation: &str, key: &str) -> Request {
    Request {
        index: "report-desk".to_owned(),
        operation: operation.to_owned(),
        ..BAGMATI.sweep(key)
    }
}

/// A caller's request and its outcome.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) request: Request,
    /// HTTP status and answer, or the error of a connection that gave no answer.
    pub(crate) outcome: Result<(u16, Answer), String>,
}

/// Sends a request to an instance and waits for the answer.
pub(crate) fn send_request(address: &str, request: Request) -> Exchange {
    let outcome = match http::post(address, "/query", &request) {
        Ok(response) => Ok((response.status, response.json())),
        Err(error) => Err(error.to_string()),
    };
    Exchange { request, outcome }
}

/// Sends a request from its own thread and returns the handle of that thread.
pub(crate) fn spawn_request(address: String, request: Request) -> JoinHandle<Exchange> {
    thread::spawn(move || send_request(&address, request))
}

/// Waits for the answers to requests that [`spawn_request`] has sent.
pub(crate) fn join_requests(requests: Vec<JoinHandle<Exchange>>) -> Vec<Exchange> {
    let joined = requests.into_iter().map(JoinHandle::join);
    joined.map(|exchange| exchange.expect("the caller is answered")).collect()
}

impl Exchange {
    /// Answer to the request; a request without an answer fails the test.
    pub(crate) fn answer(&self) -> &Answer {
        match &self.outcome {
            Ok((_, answer)) => answer,
            Err(error) => panic!("no answer to the request {:?}: {error}", self.request),
        }
    }

    /// HTTP status of the answer.
    pub(crate) fn status(&self) -> u16 {
        self.answer();
        self.outcome.as_ref().map_or(0, |(status, _)| *status)
    }

    /// Checks that the answer belongs to this request, that all its parts are of one index version
    /// and that the list of covered shards matches the parts.
    pub(crate) fn check_matches_request(&self) {
        let (answer, request) = (self.answer(), &self.request);
        assert_eq!(answer.key, request.key, "the answer is to another request");
        let covered = answer.parts.iter().map(|part| &part.shard);
        assert!(
            answer.covered.iter().eq(covered),
            "the covered shards differ from the shards of the parts: {answer:?}"
        );
        for part in &answer.parts {
            let (key, payload) = (&request.key, &request.payload);
            let expected = body(&request.index, answer.version, &part.shard, key, payload);
            assert_eq!(part.body, expected, "the part belongs to another request or index version");
        }
    }

    /// Checks that the covered and missing shards of the answer together are exactly the requested
    /// shards of this index version.
    pub(crate) fn check_all_shards_listed(&self, index: &Index) {
        let answer = self.answer();
        assert_eq!(answer.version, index.version);
        let expected: BTreeSet<&str> = match self.request.shards.as_slice() {
            [] => index.shards.iter().map(|shard| shard.name.as_str()).collect(),
            requested => requested.iter().map(String::as_str).collect(),
        };
        let missing = answer.missing.iter().map(|missing| missing.shard.as_str());
        let listed: Vec<&str> = answer.covered.iter().map(String::as_str).chain(missing).collect();
        assert_eq!(
            listed.len(),
            expected.len(),
            "a requested shard is listed twice or not at all: {answer:?}"
        );
        assert_eq!(listed.into_iter().collect::<BTreeSet<_>>(), expected);
    }

    /// Checks that the answer belongs to this request and covers every requested shard of this
    /// index version.
    pub(crate) fn check_complete(&self, index: &Index) {
        self.check_matches_request();
        self.check_all_shards_listed(index);
        assert!(self.answer().missing.is_empty(), "shards are missing from the answer: {self:?}");
        assert_eq!(self.status(), 200);
    }
}
