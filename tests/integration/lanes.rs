//! Tests what the end of an HTTP exchange with a target proves about the execution of the request.

use std::io;
use std::time::Duration;

use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use ladder_core::leaf::event::Outcome;
use ladder_schema::outcome::Reason;
use ladder_schema::target;
use sycamoreladder::entry::native::{failure_outcome, response_outcome};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Guards against executing one booking twice.
///
/// A target dies right after a booking was written to it, and the connection ends without an
/// answer. The HTTP client reports this as a failed connect. If the leaf took that as proof that
/// nothing was written, it would send the booking to another replica.
#[test]
fn connection_closed_after_the_write_is_lost_not_unsent() {
    let error = actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 1024];
            let read = stream.read(&mut request).await.expect("a request");
            assert!(read > 0, "the request was written");
        });
        let request = target::Request::default();
        let client = Client::builder().timeout(Duration::from_secs(30)).finish();
        client.post(format!("http://{address}/query")).send_json(&request).await.err()
    });
    let error = error.expect("no answer");
    assert_eq!(failure_outcome(&error), Outcome::Lost, "{error}");
}

struct FailedExchange(SendRequestError, Outcome);

#[test]
fn only_errors_before_the_connection_prove_that_nothing_was_written() {
    let reset = || io::Error::from(io::ErrorKind::ConnectionReset);
    let cases = [
        FailedExchange(SendRequestError::Connect(ConnectError::Io(reset())), Outcome::Unsent),
        FailedExchange(SendRequestError::Connect(ConnectError::Timeout), Outcome::Unsent),
        FailedExchange(SendRequestError::Connect(ConnectError::Disconnected), Outcome::Lost),
        FailedExchange(SendRequestError::Send(reset()), Outcome::Lost),
        FailedExchange(SendRequestError::Timeout, Outcome::Lost),
    ];
    for FailedExchange(error, outcome) in cases {
        assert_eq!(failure_outcome(&error), outcome, "{error:?}");
    }
}

/// HTTP status and body of a response, and the outcome that it proves.
struct ResponseCase(StatusCode, &'static str, Outcome);

/// Guards against executing a request twice after an intermediary rejected it.
///
/// A 503 may come from a proxy that doesn't know whether the target has started the request. If the
/// leaf took any 503 as a refusal of the target, it would send the request again.
#[test]
fn only_a_refusal_that_names_the_request_proves_that_it_did_not_run() {
    let refusal = target::Refusal {
        id: "a1".to_owned(),
        reason: Reason::TargetShed.into(),
        retry_after_ms: 0,
    };
    let own = r#"{"id":"a1","reason":"REASON_TARGET_SHED"}"#;
    let foreign = r#"{"id":"a2","reason":"REASON_TARGET_SHED"}"#;
    let cases = [
        ResponseCase(StatusCode::SERVICE_UNAVAILABLE, own, Outcome::Refusal(refusal)),
        ResponseCase(StatusCode::SERVICE_UNAVAILABLE, foreign, Outcome::Error),
        ResponseCase(StatusCode::SERVICE_UNAVAILABLE, "upstream unavailable", Outcome::Error),
        ResponseCase(StatusCode::BAD_GATEWAY, own, Outcome::Error),
        ResponseCase(StatusCode::OK, "{", Outcome::Error),
    ];
    for ResponseCase(status, body, expected) in cases {
        assert_eq!(response_outcome(status, body.as_bytes(), "a1"), expected, "{body}");
    }
}
