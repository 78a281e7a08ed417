//! A small HTTP server that runs on the calling thread, and helpers for bodies and responses.

pub mod responses;
pub mod tcp;

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::error::PayloadError;
use actix_http::header::{self, HeaderValue};
use actix_http::{HttpService, Protocol, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use awc::error::{ConnectError, SendRequestError};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::net::TcpListener;

use responses::{Connection, Reply, Stream, Unwritten};

/// How long an idle connection stays open; longer than the 60 s idle timeout of most load
/// balancers.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// Errors of reading a request body.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum BodyError {
    /// body exceeds {0} bytes
    TooLarge(usize),
    /// body cannot be read: {0}
    Unreadable(PayloadError),
}

impl std::error::Error for BodyError {}

/// Serves every connection of `listener` with `handler` on the calling thread, without end. Counts
/// the responses that are not written yet in `unwritten`.
///
/// The future of a handler is dropped if its caller closes the connection.
pub async fn serve<H, F>(listener: TcpListener, unwritten: Unwritten, handler: H)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output: Into<Reply>> + 'static,
{
    let factory =
        HttpService::build()
            .keep_alive(KEEP_ALIVE_TIMEOUT)
            .h1_allow_half_closed(false)
            .on_connect_ext(Connection::attach)
            .finish(fn_service(move |request: Request| {
                let connection = Connection::of(&request);
                let answer = handler(request);
                async move {
                    Ok::<_, actix_http::Error>(Connection::track(connection, answer.await.into()))
                }
            }));
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let service = Rc::clone(&service);
                let stream = Stream::new(stream, &unwritten);
                actix_rt::spawn(async move {
                    // The only errors here are broken connections of callers; they need no report.
                    let _ = service.call((stream, Protocol::Http1, None)).await;
                });
            }
            // The process is probably out of file descriptors: wait for open connections to close.
            Err(_) => actix_rt::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Reads a request body of at most `limit` bytes.
///
/// # Errors
///
/// [`BodyError`] if the body is longer than `limit` or cannot be read.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let mut payload = request.take_payload();
    let mut bytes = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(BodyError::Unreadable)?;
        if bytes.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes.freeze())
}

/// Whether a call failed because its open connection ended before the response.
pub fn is_disconnect(error: &SendRequestError) -> bool {
    matches!(
        error,
        SendRequestError::Connect(ConnectError::Disconnected)
            | SendRequestError::Send(_)
            | SendRequestError::Response(_)
    )
}

/// Creates a response with `value` as its JSON body.
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<BoxBody> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::build(status)
            .insert_header((header::CONTENT_TYPE, HeaderValue::from_static("application/json")))
            .body(body)
            .map_into_boxed_body(),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Creates a plain text response.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response<BoxBody> {
    Response::build(status).body(body.into()).map_into_boxed_body()
}

/// Returns the value of the parameter `name` in the query string, without decoding.
pub fn query_parameter<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.uri().query()?.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
