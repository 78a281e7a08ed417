//! Counts the responses that are not written to their callers yet.
//!
//! The HTTP library keeps a response until the caller has read enough of it for the rest to fit into
//! the buffers of the operating system. A process that ends earlier breaks the response off.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{Extensions, Request, Response};
use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::tcp::{self, Transfer};

/// A response that was passed to the operating system as a whole.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    /// When the last byte was passed on.
    pub at: Instant,
    /// How much longer than a single packet the response was on the way; zero if it is not known.
    pub transfer: Duration,
}

/// Is called after a response was written as a whole; dropped if its connection ends before.
pub type OnWritten = Box<dyn FnOnce(Written)>;

/// A response, and what to call when it is written.
pub struct Reply {
    response: Response<BoxBody>,
    on_written: Option<OnWritten>,
}

impl Reply {
    /// Creates a reply that calls `on_written` when the response is written.
    pub fn new(response: Response<BoxBody>, on_written: OnWritten) -> Self {
        Self { response, on_written: Some(on_written) }
    }
}

impl From<Response<BoxBody>> for Reply {
    fn from(response: Response<BoxBody>) -> Self {
        Self { response, on_written: None }
    }
}

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
pub struct Connection {
    unwritten: Unwritten,
    /// Round-trip time to the other end when the connection was accepted, if the operating system
    /// reports it.
    round_trip: Option<Duration>,
    /// When bytes were last read.
    read_at: Cell<Instant>,
    /// Responses whose body the HTTP library has not taken over as a whole.
    incomplete: Cell<usize>,
    /// Responses that the HTTP library holds as a whole in its write buffer.
    buffered: RefCell<Vec<Option<OnWritten>>>,
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

    /// Round-trip time to the other end when the connection was accepted, if it is known.
    pub fn round_trip(&self) -> Option<Duration> {
        self.round_trip
    }

    /// Time since bytes were last read from the connection.
    pub fn since_read(&self) -> Duration {
        self.read_at.get().elapsed()
    }

    /// Counts a response to a caller as unwritten until it is written or its connection has ended.
    /// One without a connection is not counted.
    pub fn track(connection: Option<Rc<Self>>, reply: Reply) -> Response<BoxBody> {
        let Reply { response, on_written } = reply;
        let Some(connection) = connection else {
            return response;
        };
        connection.incomplete.set(connection.incomplete.get() + 1);
        connection.unwritten.0.fetch_add(1, Ordering::Relaxed);
        response.map_body(|_, body| BoxBody::new(Body { body, connection, on_written }))
    }

    fn body_taken(&self, on_written: Option<OnWritten>) {
        self.incomplete.set(self.incomplete.get() - 1);
        self.buffered.borrow_mut().push(on_written);
    }

    /// Takes note that all buffered responses are written, and reports them once they have arrived.
    fn written(&self, stream: &TcpStream) {
        let buffered = self.buffered.take();
        self.unwritten.0.fetch_sub(buffered.len(), Ordering::Relaxed);
        let reports: Vec<OnWritten> = buffered.into_iter().flatten().collect();
        if reports.is_empty() {
            return;
        }
        let at = Instant::now();
        let transfer = Transfer::begin(stream, self.round_trip);
        actix_rt::spawn(async move {
            let transfer = match transfer {
                Some(transfer) => transfer.end().await,
                None => Duration::ZERO,
            };
            reports.into_iter().for_each(|report| report(Written { at, transfer }));
        });
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let left = self.incomplete.get() + self.buffered.get_mut().len();
        self.unwritten.0.fetch_sub(left, Ordering::Relaxed);
    }
}

/// Body of a counted response.
struct Body {
    body: BoxBody,
    connection: Rc<Connection>,
    on_written: Option<OnWritten>,
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
        let on_written = self.on_written.take();
        self.connection.body_taken(on_written);
    }
}

/// Stream of a caller's connection. The HTTP library flushes it when its write buffer is empty.
pub struct Stream {
    stream: TcpStream,
    connection: Rc<Connection>,
}

impl Stream {
    /// Wraps the stream of a new connection; its responses are counted in `unwritten`.
    pub fn new(stream: TcpStream, unwritten: &Unwritten) -> Self {
        let connection = Connection {
            unwritten: unwritten.clone(),
            round_trip: tcp::round_trip(&stream),
            read_at: Cell::new(Instant::now()),
            incomplete: Cell::default(),
            buffered: RefCell::default(),
        };
        Self { stream, connection: Rc::new(connection) }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled {
            self.connection.read_at.set(Instant::now());
        }
        read
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
            self.connection.written(&self.stream);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
