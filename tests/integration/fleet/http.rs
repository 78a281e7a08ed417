//! A blocking HTTP client: one request for each connection, whole answers only.

use std::io::{self, Error, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest wait for a connection and between two pieces of an answer.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A whole response.
#[derive(Debug)]
pub(crate) struct Response {
    /// HTTP status.
    pub(crate) status: u16,
    /// Body, of the length that the head names.
    pub(crate) body: Vec<u8>,
}

impl Response {
    /// The body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).unwrap_or_else(|error| {
            let text = String::from_utf8_lossy(&self.body);
            panic!("{error}: status {}, body {text}", self.status)
        })
    }
}

/// Gets a path.
pub(crate) fn get(address: &str, path: &str) -> io::Result<Response> {
    exchange(address, "GET", path, &[])
}

/// Posts a value as JSON.
pub(crate) fn post<T: Serialize>(address: &str, path: &str, value: &T) -> io::Result<Response> {
    let body = serde_json::to_vec(value).expect("messages have a JSON form");
    exchange(address, "POST", path, &body)
}

/// Sends one request and reads the answer; an answer cut short is an error.
pub(crate) fn exchange(
    address: &str,
    method: &str,
    path: &str,
    body: &[u8],
) -> io::Result<Response> {
    let address: SocketAddr = address.parse().expect("an IP number and port");
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    parse(&answer).ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))
}

/// The response in these bytes; none when it is not whole.
fn parse(answer: &[u8]) -> Option<Response> {
    let end = answer.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&answer[..end]).ok()?.to_ascii_lowercase();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let length: usize =
        lines.find_map(|line| line.strip_prefix("content-length:"))?.trim().parse().ok()?;
    let body = answer[end + 4..].to_vec();
    (body.len() == length).then_some(Response { status, body })
}
