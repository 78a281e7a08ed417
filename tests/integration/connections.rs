//! Tests what the outcome of an exchange with a target proves about the execution of the request.

use std::io;
use std::time::Duration;

use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use ladder_core::leaf::event::Outcome;
use ladder_schema::outcome::Reason;
use ladder_schema::target;
use sycamoreladder::entry::native::{broken, outcome};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Guards against running a booking twice. A target process crashes right after a booking was
/// written to it, and the connection ends without a response. The HTTP client reports this as a
/// failed connect. If that counted as proof that nothing was written, the booking would be sent to
/// the other replica as well.
#[test]
fn connection_closed_after_the_write_is_reported_lost() {
    let error = actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the client connects");
            let mut request = [0; 1024];
            let read = stream.read(&mut request).await.expect("the request can be read");
            assert!(read > 0, "the request was written");
        });
        let request = target::Request::default();
        let client = Client::builder().timeout(Duration::from_secs(30)).finish();
        client.post(format!("http://{address}/query")).send_json(&request).await.err()
    });
    let error = error.expect("the client reports an error");
    assert_eq!(broken(&error), Outcome::Lost, "{error}");
}

struct FailureCase(SendRequestError, Outcome);

#[test]
fn only_errors_before_the_connection_prove_that_nothing_was_written() {
    let reset = || io::Error::from(io::ErrorKind::ConnectionReset);
    let cases = [
        FailureCase(SendRequestError::Connect(ConnectError::Io(reset())), Outcome::Unsent),
        FailureCase(SendRequestError::Connect(ConnectError::Timeout), Outcome::Unsent),
        FailureCase(SendRequestError::Connect(ConnectError::Disconnected), Outcome::Lost),
        FailureCase(SendRequestError::Send(reset()), Outcome::Lost),
        FailureCase(SendRequestError::Timeout, Outcome::Lost),
    ];
    for FailureCase(error, outcome) in cases {
        assert_eq!(broken(&error), outcome, "{error:?}");
    }
}

/// Status and body of a target's response, and the expected outcome of the call.
struct ResponseCase(StatusCode, &'static str, Outcome);

/// Guards against running a request twice after a proxy on the path rejected it. A proxy's 503 does
/// not tell whether the target has started the request. If every 503 counted as a refusal by the
/// target, the owner of the service would send the request again.
#[test]
fn only_a_refusal_that_names_the_request_proves_that_it_did_not_run() {
    let refusal = target::Refusal {
        id: "a1".to_owned(),
        reason: Reason::TargetShed.into(),
        retry_after_ms: 0,
    };
    let matching = r#"{"id":"a1","reason":"REASON_TARGET_SHED"}"#;
    let other_request = r#"{"id":"a2","reason":"REASON_TARGET_SHED"}"#;
    let cases = [
        ResponseCase(StatusCode::SERVICE_UNAVAILABLE, matching, Outcome::Refusal(refusal)),
        ResponseCase(StatusCode::SERVICE_UNAVAILABLE, other_request, Outcome::Error),
        ResponseCase(StatusCode::SERVICE_UNAVAILABLE, "upstream unavailable", Outcome::Error),
        ResponseCase(StatusCode::BAD_GATEWAY, matching, Outcome::Error),
        ResponseCase(StatusCode::OK, "{", Outcome::Error),
    ];
    for ResponseCase(status, body, expected) in cases {
        assert_eq!(outcome(status, body.as_bytes(), "a1"), expected, "{body}");
    }
}
