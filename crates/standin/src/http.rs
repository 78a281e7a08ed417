//! HTTP functions shared by the stand-ins: request bodies, query parameters, responses and
//! connections.

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

/// HTTP response of a stand-in.
pub(crate) type Reply = Response<BoxBody>;

/// Time after which a stand-in closes an idle connection: longer than any test or experiment, so
/// that only clients close idle connections.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1800);

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Creates an HTTP/1.1 service over TCP that passes each request to `handler`.
///
/// The handler's future is dropped as soon as the client closes the connection. There is no timeout
/// for the first request of a connection, because clients open some connections in advance.
pub(crate) fn h1_service<H, F, S>(
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
        .keep_alive(KEEP_ALIVE_TIMEOUT)
        .client_request_timeout(Duration::ZERO)
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .h1(handler)
}

/// Creates an HTTP/1.1 service that accepts connections without a limit on their number.
pub(crate) fn unlimited_service<H, F>(
    handler: H,
) -> impl ServiceFactory<TcpStream, Config = (), Response = (), Error = DispatchError, InitError = ()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Result<Reply, Infallible>> + 'static,
{
    h1_service(handler).tcp()
}

/// Decodes the JSON body of a request. On failure, the error is the response to send.
pub(crate) async fn decode_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Reply> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk =
            chunk.map_err(|error| text_response(StatusCode::BAD_REQUEST, &error.to_string()))?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(text_response(StatusCode::PAYLOAD_TOO_LARGE, "body is too large"));
        }
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body)
        .map_err(|error| text_response(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Returns the value of a parameter of the request's query string.
///
/// The value is not percent-decoded; names and numbers need no decoding.
pub(crate) fn query_parameter<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}

/// Returns the number in a parameter of the request's query string, or 0 when it is absent. On
/// failure, the error is the response to send.
pub(crate) fn number_parameter(request: &Request, name: &str) -> Result<u64, Reply> {
    let Some(value) = query_parameter(request, name) else {
        return Ok(0);
    };
    value.parse().map_err(|_| {
        let text = format!("{name}: \"{value}\" is not a number");
        text_response(StatusCode::BAD_REQUEST, &text)
    })
}

/// Creates a response with a JSON body.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => response_with_type(status, "application/json", body),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Creates a response with a plain-text body, such as a description of an error.
pub(crate) fn text_response(status: StatusCode, text: &str) -> Reply {
    response_with_type(status, "text/plain", text.as_bytes().to_vec())
}

/// Creates a response without a body.
pub(crate) fn empty_response(status: StatusCode) -> Reply {
    Response::with_body(status, BoxBody::new(()))
}

fn response_with_type(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Reply {
    let mut response = Response::with_body(status, BoxBody::new(body));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
