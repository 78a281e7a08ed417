//! Connections to servers. Each lane is one HTTP client that holds one connection at most.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use awc::error::{ConnectError, JsonPayloadError, SendRequestError};
use awc::http::{StatusCode, Version};
use awc::{Client, Connector};
use ladder_core::collections::Map;
use ladder_core::control;
use ladder_core::leaf::Event;
use ladder_core::leaf::event::{AttemptKey, LaneKey, Outcome};
use ladder_core::time::Instant;
use ladder_schema::{bounds, target};
use serde::de::DeserializeOwned;
use tokio::time::timeout_at;

use crate::clock::Clock;
use crate::entry::dialect::{Reports, Servers};

/// Longest time to open a connection, and to answer a load report or a cancellation.
const SHORT: Duration = Duration::from_millis(2000);
/// Connections are closed by decision of the core or by the server, never by age here.
const AGE: Duration = Duration::from_secs(24 * 3600);

/// A connection's client and where it leads.
#[derive(Clone)]
struct Lane {
    client: Client,
    address: Arc<str>,
}

/// All lanes of the leaf thread; clones share them.
#[derive(Clone)]
pub(super) struct Lanes {
    /// Invariant: holds the lanes that the machine holds open or is opening.
    lanes: Rc<RefCell<Map<LaneKey, Lane>>>,
    reports: Reports,
}

impl Lanes {
    /// No lanes yet.
    pub(super) fn new(reports: Reports) -> Self {
        Self { lanes: Rc::default(), reports }
    }

    /// The lane of this key, unless it was closed.
    fn get(&self, key: LaneKey) -> Option<Lane> {
        self.lanes.borrow().get(&key).cloned()
    }

    /// Reports the lane idle after a whole exchange, closed otherwise.
    fn settle(&self, key: LaneKey, whole: bool) {
        if whole {
            self.reports.leaf.tell(Event::Opened(key));
        } else {
            self.close(key);
            self.reports.leaf.tell(Event::Closed(key));
        }
    }
}

impl Servers for Lanes {
    /// Opens a connection by asking for the load, so that the first query finds it warm.
    fn open(&self, key: LaneKey, address: &Arc<str>, _server: &Arc<str>) {
        let lane = Lane { client: client(), address: Arc::clone(address) };
        self.lanes.borrow_mut().insert(key, lane.clone());
        let lanes = self.clone();
        actix_rt::spawn(async move {
            match ask_load(&lane).await {
                Ok(report) => lanes.settle(key, report.is_some()),
                Err(error) if is_refused(&error) => {
                    lanes.close(key);
                    lanes.reports.leaf.tell(Event::Refused(key));
                }
                Err(_) => lanes.settle(key, false),
            }
        });
    }

    /// Closes a connection.
    fn close(&self, key: LaneKey) {
        self.lanes.borrow_mut().remove(&key);
    }

    /// Sends a request and reports how it ended. `until` is when it counts as lost.
    fn send(&self, key: LaneKey, attempt: AttemptKey, request: target::Request, until: Instant) {
        let Some(lane) = self.get(key) else {
            self.reports.leaf.tell(Event::Ended { attempt, outcome: Outcome::Unsent });
            return;
        };
        let lanes = self.clone();
        actix_rt::spawn(async move {
            let outcome = call(&lane, &request, until, lanes.reports.clock).await;
            // A connection that timed out midway still carries the late answer, which the next
            // request on it would take for its own: only a whole exchange lets it live.
            if !matches!(outcome, Outcome::Answer(_) | Outcome::Refusal(_)) {
                lanes.close(key);
            }
            lanes.reports.leaf.tell(Event::Ended { attempt, outcome });
        });
    }

    /// Asks the server to cancel the request `id`.
    fn cancel(&self, key: LaneKey, id: &str) {
        let Some(lane) = self.get(key) else {
            self.reports.leaf.tell(Event::Closed(key));
            return;
        };
        let lanes = self.clone();
        let url = format!("http://{}/cancel?id={id}", lane.address);
        actix_rt::spawn(async move {
            let done = match lane.client.post(url).timeout(SHORT).send().await {
                Ok(mut response) => response.body().await.is_ok(),
                Err(_) => false,
            };
            lanes.settle(key, done);
        });
    }

    /// Asks the server for its load.
    fn probe(&self, key: LaneKey, server: Arc<str>) {
        let Some(lane) = self.get(key) else {
            self.reports.leaf.tell(Event::Closed(key));
            return;
        };
        let lanes = self.clone();
        actix_rt::spawn(async move {
            let load = load(&lane).await;
            if let Some(report) = load.as_ref().filter(|report| report.leaving) {
                lanes.reports.control.tell(control::Event::ServerLeaving {
                    server: Arc::clone(&server),
                    incarnation: report.incarnation,
                });
            }
            lanes.settle(key, load.is_some());
            lanes.reports.leaf.tell(Event::Load { server, load });
        });
    }
}

/// A client that holds one connection at most.
fn client() -> Client {
    let connector = Connector::new()
        .limit(1)
        .timeout(SHORT)
        .conn_keep_alive(AGE)
        .conn_lifetime(AGE)
        .max_http_version(Version::HTTP_11);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .max_http_version(Version::HTTP_11)
        .timeout(AGE)
        .finish()
}

/// Sends one request to its end.
///
/// A process that was suspended between the decision and the write would send work whose deadline
/// has passed: the time is read again right before the write, and late work is reported unsent.
async fn call(lane: &Lane, request: &target::Request, until: Instant, clock: Clock) -> Outcome {
    let left = until.since(clock.now());
    if left.is_zero() {
        return Outcome::Unsent;
    }
    let url = format!("http://{}/query", lane.address);
    let end = tokio::time::Instant::now() + left;
    let mut response = match timeout_at(end, lane.client.post(url).send_json(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return broken(&error),
        Err(_) => return Outcome::Lost,
    };
    let status = response.status();
    let body = match timeout_at(end, response.body().limit(bounds::ANSWER_BYTES)).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) | Err(_) => return Outcome::Lost,
    };
    outcome(status, &body, &request.id)
}

/// What an exchange without a whole response means.
///
/// The client names a connection that ended after the request was written a failed connect too
/// (`Disconnected`). Taken for unsent, a booking would be sent again to the other replica and run
/// twice. Only errors that come before there is a connection prove that nothing was written.
pub fn broken(error: &SendRequestError) -> Outcome {
    let SendRequestError::Connect(error) = error else {
        return Outcome::Lost;
    };
    match error {
        ConnectError::Resolver(_)
        | ConnectError::NoRecords
        | ConnectError::Unresolved
        | ConnectError::Timeout
        | ConnectError::Io(_) => Outcome::Unsent,
        _ => Outcome::Lost,
    }
}

/// What a target's whole response to the request `id` means.
///
/// A refusal counts as proof only when it names the request: anything else may come from a party
/// on the way that doesn't know whether the request was started.
pub fn outcome(status: StatusCode, body: &[u8], id: &str) -> Outcome {
    match status {
        StatusCode::OK => decoded(body).map_or(Outcome::Error, Outcome::Answer),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT => decoded(body)
            .filter(|refusal: &target::Refusal| refusal.id == id)
            .map_or(Outcome::Error, Outcome::Refusal),
        _ => Outcome::Error,
    }
}

/// `body` as a message.
fn decoded<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

/// Asks for a load report.
async fn load(lane: &Lane) -> Option<target::Load> {
    ask_load(lane).await.ok()?
}

/// The same; an error when nothing answers, nothing when the answer is no report.
async fn ask_load(lane: &Lane) -> Result<Option<target::Load>, SendRequestError> {
    let url = format!("http://{}/load", lane.address);
    let mut response = lane.client.get(url).timeout(SHORT).send().await?;
    let report: Result<target::Load, JsonPayloadError> = response.json().await;
    Ok(report.ok())
}

/// Whether nothing listens at the server's address.
fn is_refused(error: &SendRequestError) -> bool {
    let SendRequestError::Connect(ConnectError::Io(error)) = error else {
        return false;
    };
    error.kind() == ErrorKind::ConnectionRefused
}
