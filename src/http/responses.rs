//! Counts the responses that are not written to their callers yet.
//!
//! The HTTP library keeps a response until the caller has read enough of it for the rest to fit into
//! the buffers of the operating system. A process that ends earlier breaks the response off.

use std::cell::Cell;
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{Extensions, Request, Response};
use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of responses that are not written yet, over all connections of a process.
#[derive(Clone, Debug, Default)]
pub struct Unwritten(Arc<AtomicUsize>);

impl Unwritten {
    /// Returns the number of responses that are not written yet.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// The responses of one caller's connection that are not written yet.
#[derive(Debug)]
pub struct Connection {
    unwritten: Unwritten,
    /// Responses whose body the HTTP library has not taken over as a whole.
    incomplete: Cell<usize>,
    /// Responses that the HTTP library holds as a whole in its write buffer.
    buffered: Cell<usize>,
}

impl Connection {
    /// Makes the connection of a stream known to the requests that arrive on it.
    pub fn attach(stream: &Stream, data: &mut Extensions) {
        data.insert(Rc::clone(&stream.connection));
    }

    /// The connection that a request has arrived on; `None` if it is not attached.
    pub fn of(request: &Request) -> Option<Rc<Self>> {
        request.conn_data::<Rc<Self>>().cloned()
    }

    /// Counts a response to a caller as unwritten until it is written or its connection has ended.
    /// One without a connection is not counted.
    pub fn track(connection: Option<Rc<Self>>, response: Response<BoxBody>) -> Response<BoxBody> {
        let Some(connection) = connection else {
            return response;
        };
        connection.incomplete.set(connection.incomplete.get() + 1);
        connection.unwritten.0.fetch_add(1, Ordering::Relaxed);
        response.map_body(|_, body| BoxBody::new(Body { body, connection }))
    }

    fn body_taken(&self) {
        self.incomplete.set(self.incomplete.get() - 1);
        self.buffered.set(self.buffered.get() + 1);
    }

    fn written(&self) {
        self.unwritten.0.fetch_sub(self.buffered.take(), Ordering::Relaxed);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let left = self.incomplete.get() + self.buffered.get();
        self.unwritten.0.fetch_sub(left, Ordering::Relaxed);
    }
}

/// Body of a counted response.
struct Body {
    body: BoxBody,
    connection: Rc<Connection>,
}

impl MessageBody for Body {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.body.as_pin_mut().poll_next(context)
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.connection.body_taken();
    }
}

/// Stream of a caller's connection. The HTTP library flushes it when its write buffer is empty.
#[derive(Debug)]
pub struct Stream {
    stream: TcpStream,
    connection: Rc<Connection>,
}

impl Stream {
    /// Wraps the stream of a new connection; its responses are counted in `unwritten`.
    pub fn new(stream: TcpStream, unwritten: &Unwritten) -> Self {
        let (incomplete, buffered) = (Cell::default(), Cell::default());
        let unwritten = unwritten.clone();
        Self { stream, connection: Rc::new(Connection { unwritten, incomplete, buffered }) }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.connection.written();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
