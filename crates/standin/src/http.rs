//! HTTP shared by the stand-ins: bodies, queries, responses and how connections are served.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::error::DispatchError;
use actix_http::header::{self, HeaderValue};
use actix_http::{HttpService, Request, Response, StatusCode, h1};
use actix_rt::net::TcpStream;
use actix_service::{IntoServiceFactory, ServiceFactory};
use bytes::BytesMut;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Answer to any request.
pub(crate) type Reply = Response<BoxBody>;

/// How long a connection may be idle: longer than any test or experiment, so that it is always the
/// client that gives connections up.
const KEEP_ALIVE: Duration = Duration::from_secs(1800);

/// Bytes in a request body.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// HTTP/1.1 over TCP for one handler.
///
/// A request's handler is dropped as soon as the client closes the connection. A connection may
/// stay idle before its first request, as clients open some in advance.
pub(crate) fn service<H, F, S>(
    handler: H,
) -> h1::H1Service<TcpStream, S, BoxBody, h1::ExpectHandler, h1::UpgradeHandler>
where
    H: IntoServiceFactory<S, Request> + Fn(Request) -> F,
    S: ServiceFactory<Request, Config = (), Response = Reply, Error = Infallible, InitError = ()>,
    S::Future: 'static,
    S::Service: 'static,
    <S::Service as actix_service::Service<Request>>::Future: 'static,
{
    HttpService::<TcpStream, S, BoxBody>::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(Duration::ZERO)
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .h1(handler)
}

/// Accepts every connection.
pub(crate) fn open<H, F>(
    handler: H,
) -> impl ServiceFactory<TcpStream, Config = (), Response = (), Error = DispatchError, InitError = ()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Result<Reply, Infallible>> + 'static,
{
    service(handler).tcp()
}

/// Decodes the JSON body of a request; the error is the response to send.
pub(crate) async fn decode<T: DeserializeOwned>(request: &mut Request) -> Result<T, Reply> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| problem(StatusCode::BAD_REQUEST, &error.to_string()))?;
        if body.len() + chunk.len() > BODY_BYTES {
            return Err(problem(StatusCode::PAYLOAD_TOO_LARGE, "body is too large"));
        }
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body)
        .map_err(|error| problem(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// The value of a parameter of the request's query; names and numbers need no decoding.
pub(crate) fn parameter<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}

/// The number in a parameter; 0 when it is absent. The error is the response to send.
pub(crate) fn number(request: &Request, name: &str) -> Result<u64, Reply> {
    let Some(value) = parameter(request, name) else {
        return Ok(0);
    };
    value.parse().map_err(|_| {
        let text = format!("{name}: \"{value}\" is not a number");
        problem(StatusCode::BAD_REQUEST, &text)
    })
}

/// A response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => typed(status, "application/json", body),
        Err(error) => problem(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// A response that explains itself in text.
pub(crate) fn problem(status: StatusCode, text: &str) -> Reply {
    typed(status, "text/plain", text.as_bytes().to_vec())
}

/// A response without a body.
pub(crate) fn empty(status: StatusCode) -> Reply {
    Response::with_body(status, BoxBody::new(()))
}

fn typed(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Reply {
    let mut response = Response::with_body(status, BoxBody::new(body));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
