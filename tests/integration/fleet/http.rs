//! Blocking HTTP client that opens one connection for each request and accepts only complete
//! responses.

use std::io::{self, Error, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest time to establish a connection, and longest wait for the next bytes of a response.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A complete HTTP response.
#[derive(Debug)]
pub(crate) struct Response {
    /// HTTP status code.
    pub(crate) status: u16,
    /// Response body; its length equals the `content-length` header.
    pub(crate) body: Vec<u8>,
}

impl Response {
    /// Parses the response body as JSON; a body that is not valid JSON fails the test.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).unwrap_or_else(|error| {
            let text = String::from_utf8_lossy(&self.body);
            panic!("{error}: status {}, body {text}", self.status)
        })
    }
}

/// Sends a GET request.
pub(crate) fn get(address: &str, path: &str) -> io::Result<Response> {
    round_trip(address, "GET", path, &[])
}

/// Sends a POST request with `value` as JSON.
pub(crate) fn post<T: Serialize>(address: &str, path: &str, value: &T) -> io::Result<Response> {
    let body = serde_json::to_vec(value).expect("the message can be serialized as JSON");
    round_trip(address, "POST", path, &body)
}

/// Sends one HTTP request and reads the response; a truncated response is an error.
pub(crate) fn round_trip(
    address: &str,
    method: &str,
    path: &str,
    body: &[u8],
) -> io::Result<Response> {
    let address: SocketAddr = address.parse().expect("the address is an IP address with a port");
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    parse(&response).ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))
}

/// Parses an HTTP response; `None` if it is malformed or its body differs in length from
/// `content-length`.
fn parse(response: &[u8]) -> Option<Response> {
    let head_length = response.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&response[..head_length]).ok()?.to_ascii_lowercase();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let length: usize =
        lines.find_map(|line| line.strip_prefix("content-length:"))?.trim().parse().ok()?;
    let body = response[head_length + 4..].to_vec();
    (body.len() == length).then_some(Response { status, body })
}
