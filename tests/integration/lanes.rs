//! What the end of an exchange with a target proves.

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

/// One dock is booked twice.
///
/// A target dies right after a booking was written to it; the connection ends without an answer;
/// the leaf sends the booking to the other replica. The cause was that the HTTP client calls this
/// a failed connect, which was taken for proof that nothing was written.
#[test]
fn connection_that_ends_after_the_write_is_lost() {
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
    assert_eq!(broken(&error), Outcome::Lost, "{error}");
}

struct Broken(SendRequestError, Outcome);

#[test]
fn only_errors_before_the_connection_prove_that_nothing_was_written() {
    let reset = || io::Error::from(io::ErrorKind::ConnectionReset);
    let cases = [
        Broken(SendRequestError::Connect(ConnectError::Io(reset())), Outcome::Unsent),
        Broken(SendRequestError::Connect(ConnectError::Timeout), Outcome::Unsent),
        Broken(SendRequestError::Connect(ConnectError::Disconnected), Outcome::Lost),
        Broken(SendRequestError::Send(reset()), Outcome::Lost),
        Broken(SendRequestError::Timeout, Outcome::Lost),
    ];
    for Broken(error, outcome) in cases {
        assert_eq!(broken(&error), outcome, "{error:?}");
    }
}

/// Status and body of a response, and what it proves.
struct Response(StatusCode, &'static str, Outcome);

/// A request that a proxy on the way turned down runs twice.
///
/// A 503 comes from somebody who doesn't know whether the target has started the request; the
/// leaf sends it again. The cause would be to take any 503 for a refusal of the target.
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
        Response(StatusCode::SERVICE_UNAVAILABLE, own, Outcome::Refusal(refusal)),
        Response(StatusCode::SERVICE_UNAVAILABLE, foreign, Outcome::Error),
        Response(StatusCode::SERVICE_UNAVAILABLE, "upstream unavailable", Outcome::Error),
        Response(StatusCode::BAD_GATEWAY, own, Outcome::Error),
        Response(StatusCode::OK, "{", Outcome::Error),
    ];
    for Response(status, body, proof) in cases {
        assert_eq!(outcome(status, body.as_bytes(), "a1"), proof, "{body}");
    }
}
