//! The callers' HTTP interface: `POST /query` and `GET /ready`.

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, Method, Request, Response, StatusCode};
use bytes::Bytes;
use ladder_core::gather;
use ladder_schema::bounds;
use ladder_schema::call;
use ladder_schema::outcome::{Reason, Verdict};
use tokio::net::TcpListener;

use crate::entry::dialect::Listeners;
use crate::entry::gateway::{Answered, Gateway, refusal};
use crate::http::responses::{Connection, Reply};
use crate::http::{self, BodyError};

/// Serves callers and the load balancer; the load balancer at a separate address if the settings
/// define one.
pub(super) async fn serve(gateway: Gateway, listeners: Listeners) {
    let unwritten = gateway.unwritten_responses();
    let api = CallerApi { gateway };
    if let Some(ready) = listeners.readiness.and_then(|ready| TcpListener::from_std(ready).ok()) {
        let api = api.clone();
        let unwritten = unwritten.clone();
        actix_rt::spawn(http::serve(ready, unwritten, move |request| api.clone().handle(request)));
    }
    if let Ok(listener) = TcpListener::from_std(listeners.callers) {
        http::serve(listener, unwritten, move |request| api.clone().handle(request)).await;
    }
}

/// Handles the HTTP requests of callers and the load balancer.
#[derive(Clone)]
struct CallerApi {
    gateway: Gateway,
}

impl CallerApi {
    /// Answers one HTTP request.
    async fn handle(self, mut request: Request) -> Reply {
        let connection = Connection::of(&request);
        match (request.method(), request.path()) {
            (&Method::POST, "/query") => {
                let body = http::read_body(&mut request, bounds::REQUEST_BYTES).await;
                return self.query(body, connection.as_deref()).await;
            }
            (&Method::GET, "/ready") if self.gateway.is_ready() => {
                http::text(StatusCode::OK, "ready\n")
            }
            (&Method::GET, "/ready") => http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            (_, "/query" | "/ready") => {
                http::text(StatusCode::METHOD_NOT_ALLOWED, "POST /query or GET /ready\n")
            }
            _ => http::text(StatusCode::NOT_FOUND, "POST /query or GET /ready\n"),
        }
        .into()
    }

    /// Answers one query.
    async fn query(self, body: Result<Bytes, BodyError>, connection: Option<&Connection>) -> Reply {
        let request = match decode(body) {
            Ok(request) => request,
            Err(answer) => return self.respond(&answer).into(),
        };
        let Answered { answer, on_written } = self.gateway.answer(request, connection).await;
        Reply::new(self.respond(&answer), on_written)
    }

    /// Converts an answer to an HTTP response.
    fn respond(&self, answer: &call::Answer) -> Response<BoxBody> {
        let status = StatusCode::from_u16(gather::status(answer))
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = http::json(status, answer);
        if self.gateway.is_draining() {
            // A request that is sent on an open connection just when the process ends would be
            // aborted and leave its caller without a verdict. Connections are therefore closed
            // earlier, with the last answer.
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }
}

/// Decodes a request, or returns the refusal to answer with; nothing of the request has been
/// executed.
///
/// # Errors
///
/// The refusal to answer with.
pub fn decode(body: Result<Bytes, BodyError>) -> Result<call::Request, Box<call::Answer>> {
    let refuse =
        |reason, detail: String| Box::new(refusal(String::new(), reason, Verdict::NotRun, &detail));
    match body {
        Ok(bytes) => serde_json::from_slice(&bytes)
            .map_err(|error| refuse(Reason::Malformed, error.to_string())),
        Err(error @ BodyError::TooLarge(_)) => Err(refuse(Reason::TooLarge, error.to_string())),
        Err(error @ BodyError::Unreadable(_)) => Err(refuse(Reason::Malformed, error.to_string())),
    }
}
