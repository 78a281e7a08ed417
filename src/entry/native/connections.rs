//! Connections to servers. Each connection is an HTTP client that keeps at most one TCP connection.

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
use ladder_core::leaf::event::{AttemptKey, ConnectionKey, Outcome};
use ladder_core::time::Instant;
use ladder_schema::{bounds, target};
use serde::de::DeserializeOwned;
use tokio::time::timeout_at;

use crate::clock::Clock;
use crate::entry::dialect::{Reports, Servers};

/// Longest time to open a connection, and for the server to answer a load report or a cancellation.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Idle timeout and lifetime of a connection in the HTTP client. It is long so that only the core
/// or the server closes connections, never the client because of their age.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// The HTTP client of a connection and the server address that it connects to.
#[derive(Clone)]
struct Connection {
    client: Client,
    address: Arc<str>,
}

/// All connections of the leaf thread; clones share them.
#[derive(Clone)]
pub(super) struct Connections {
    /// Invariant: holds exactly the connections that the leaf machine considers open or being
    /// opened.
    connections: Rc<RefCell<Map<ConnectionKey, Connection>>>,
    reports: Reports,
}

impl Connections {
    /// Creates an empty set of connections.
    pub(super) fn new(reports: Reports) -> Self {
        Self { connections: Rc::default(), reports }
    }

    /// Returns the connection `key`, unless it was closed.
    fn get(&self, key: ConnectionKey) -> Option<Connection> {
        self.connections.borrow().get(&key).cloned()
    }

    /// Reports the connection as idle if its last exchange was complete; otherwise closes it and
    /// reports it as closed.
    fn report_end(&self, key: ConnectionKey, complete: bool) {
        if complete {
            self.reports.leaf.send(Event::Opened(key));
        } else {
            self.close(key);
            self.reports.leaf.send(Event::Closed(key));
        }
    }
}

impl Servers for Connections {
    /// Opens a connection by requesting a load report, so that the first query needs no connection
    /// setup.
    fn open(&self, key: ConnectionKey, address: &Arc<str>, _server: &Arc<str>) {
        let connection = Connection { client: client(), address: Arc::clone(address) };
        self.connections.borrow_mut().insert(key, connection.clone());
        let connections = self.clone();
        actix_rt::spawn(async move {
            match ask_load(&connection).await {
                Ok(report) => connections.report_end(key, report.is_some()),
                Err(error) if is_refused(&error) => {
                    connections.close(key);
                    connections.reports.leaf.send(Event::Refused(key));
                }
                Err(_) => connections.report_end(key, false),
            }
        });
    }

    /// Closes a connection.
    fn close(&self, key: ConnectionKey) {
        self.connections.borrow_mut().remove(&key);
    }

    /// Sends a request and reports how it ended. The request counts as lost if no response has
    /// arrived by `until`.
    fn send(
        &self,
        key: ConnectionKey,
        attempt: AttemptKey,
        request: target::Request,
        until: Instant,
    ) {
        let Some(connection) = self.get(key) else {
            self.reports.leaf.send(Event::Ended { attempt, outcome: Outcome::Unsent });
            return;
        };
        let connections = self.clone();
        actix_rt::spawn(async move {
            let outcome = call(&connection, &request, until, connections.reports.clock).await;
            // A connection whose call timed out midway still carries the late response, which the
            // next request on it would take for its own. Only a complete exchange lets the
            // connection stay open.
            if !matches!(outcome, Outcome::Answer(_) | Outcome::Refusal(_)) {
                connections.close(key);
            }
            connections.reports.leaf.send(Event::Ended { attempt, outcome });
        });
    }

    /// Asks the server to cancel the request `id`.
    fn cancel(&self, key: ConnectionKey, id: &str) {
        let Some(connection) = self.get(key) else {
            self.reports.leaf.send(Event::Closed(key));
            return;
        };
        let connections = self.clone();
        let url = format!("http://{}/cancel?id={id}", connection.address);
        actix_rt::spawn(async move {
            let done = match connection.client.post(url).timeout(SHORT_CALL_TIMEOUT).send().await {
                Ok(mut response) => response.body().await.is_ok(),
                Err(_) => false,
            };
            connections.report_end(key, done);
        });
    }

    /// Asks the server for a load report.
    fn probe(&self, key: ConnectionKey, server: Arc<str>) {
        let Some(connection) = self.get(key) else {
            self.reports.leaf.send(Event::Closed(key));
            return;
        };
        let connections = self.clone();
        actix_rt::spawn(async move {
            let load = load(&connection).await;
            if let Some(report) = load.as_ref().filter(|report| report.leaving) {
                connections.reports.control.send(control::Event::ServerLeaving {
                    server: Arc::clone(&server),
                    incarnation: report.incarnation,
                });
            }
            connections.report_end(key, load.is_some());
            connections.reports.leaf.send(Event::Load { server, load });
        });
    }
}

/// Creates an HTTP client that keeps at most one connection.
fn client() -> Client {
    let connector = Connector::new()
        .limit(1)
        .timeout(SHORT_CALL_TIMEOUT)
        .conn_keep_alive(CONNECTION_LIFETIME)
        .conn_lifetime(CONNECTION_LIFETIME)
        .max_http_version(Version::HTTP_11);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .max_http_version(Version::HTTP_11)
        .timeout(CONNECTION_LIFETIME)
        .finish()
}

/// Sends one request and waits for its complete response until `until`.
///
/// A process that was paused between the decision to send and the write would send work whose
/// deadline has passed. The clock is therefore read again right before the write, and late work is
/// reported as unsent.
async fn call(
    connection: &Connection,
    request: &target::Request,
    until: Instant,
    clock: Clock,
) -> Outcome {
    let left = until.since(clock.now());
    if left.is_zero() {
        return Outcome::Unsent;
    }
    let url = format!("http://{}/query", connection.address);
    let end = tokio::time::Instant::now() + left;
    let mut response = match timeout_at(end, connection.client.post(url).send_json(request)).await {
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

/// Returns the outcome of an exchange that failed before a complete response.
///
/// The HTTP client reports a connection that ended after the request was written as a failed
/// connect, too (`Disconnected`). If that counted as unsent, a booking would be sent again to
/// another replica and executed twice. Only errors from before a connection exists prove that
/// nothing was written.
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

/// Returns the outcome of a complete response to the request `id`.
///
/// A refusal proves that the request was not executed only if it names the request. Any other error
/// may come from an intermediary that doesn't know whether the request was started.
pub fn outcome(status: StatusCode, body: &[u8], id: &str) -> Outcome {
    match status {
        StatusCode::OK => decoded(body).map_or(Outcome::Error, Outcome::Answer),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT => decoded(body)
            .filter(|refusal: &target::Refusal| refusal.id == id)
            .map_or(Outcome::Error, Outcome::Refusal),
        _ => Outcome::Error,
    }
}

/// Decodes `body` as a JSON message.
fn decoded<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

/// Requests a load report; `None` if the server does not send one.
async fn load(connection: &Connection) -> Option<target::Load> {
    ask_load(connection).await.ok()?
}

/// Requests a load report. Returns an error if the server does not answer, and `None` if the answer
/// is not a load report.
async fn ask_load(connection: &Connection) -> Result<Option<target::Load>, SendRequestError> {
    let url = format!("http://{}/load", connection.address);
    let mut response = connection.client.get(url).timeout(SHORT_CALL_TIMEOUT).send().await?;
    let report: Result<target::Load, JsonPayloadError> = response.json().await;
    Ok(report.ok())
}

/// Whether the connection was refused because no process listens at the server's address.
fn is_refused(error: &SendRequestError) -> bool {
    let SendRequestError::Connect(ConnectError::Io(error)) = error else {
        return false;
    };
    error.kind() == ErrorKind::ConnectionRefused
}
