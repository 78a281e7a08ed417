//! A small part of HTTP/1.1, enough for the stand-ins.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// A message: its first line, header fields and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header field; empty if there is none.
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Second word of the first line: path of a request, status of a response.
    pub fn second_word(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Parameter of a request's query.
    pub fn parameter(&self, name: &str) -> &str {
        let query = self.second_word().split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next().unwrap_or_default()
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim_end().is_empty() {
            break;
        }
        lines.push(line.trim_end().to_owned());
    }
    let field = |line: &String| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_owned(), value.trim().to_owned()))
    };
    let fields = lines.iter().skip(1).filter_map(field).collect();
    Some(Message { line: lines.first()?.clone(), fields, body: Vec::new() })
}

/// Reads a message whose body has a length; `None` if it ends before it is complete.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    message.body = vec![0; message.field("content-length").parse().unwrap_or(0)];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// The bytes of a response; `fields` are whole lines.
pub fn response(status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// The bytes of a client's request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u32, body: &[u8]) -> Vec<u8> {
    let length = match body.len() {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {}\r\nSycamoreladder-Request-Id: {id}\r\n\
         Sycamoreladder-Request-Deadline: {deadline_ms}\r\n{length}\r\n",
        crate::store::HOST
    );
    [head.as_bytes(), body].concat()
}
