//! Loopback proxy whose open connections can be silenced.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;

/// Forwards connections to one address. A silenced connection stays open, accepts data and forwards
/// nothing in either direction.
pub(crate) struct Proxy {
    address: String,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    /// Number of calls of [`Proxy::silence`]; a connection that was accepted before the last one is
    /// silent.
    epoch: AtomicU64,
    /// Number of connections accepted so far.
    connections: AtomicUsize,
}

impl Proxy {
    /// Starts a proxy on a free port that forwards to `target`.
    pub(crate) fn start(target: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener has an address").to_string();
        let shared = Arc::new(Shared::default());
        let (accepting, target) = (Arc::clone(&shared), target.to_owned());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                accepting.connections.fetch_add(1, Ordering::Relaxed);
                let epoch = accepting.epoch.load(Ordering::SeqCst);
                let Ok(server) = TcpStream::connect(&target) else { continue };
                let (client_reader, server_reader) = (clone(&client), clone(&server));
                let forward = |from, to| {
                    let shared = Arc::clone(&accepting);
                    thread::spawn(move || shared.forward(epoch, from, to));
                };
                forward(client_reader, server);
                forward(server_reader, client);
            }
        });
        Self { address, shared }
    }

    /// Address on which the proxy accepts connections.
    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    /// Number of connections accepted so far.
    pub(crate) fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Silences all open connections for good; connections that are opened later work.
    pub(crate) fn silence(&self) {
        self.shared.epoch.fetch_add(1, Ordering::SeqCst);
    }
}

impl Shared {
    fn forward(&self, epoch: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        while let Ok(length @ 1..) = from.read(&mut buffer) {
            let is_silent = self.epoch.load(Ordering::SeqCst) != epoch;
            if !is_silent && to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        if self.epoch.load(Ordering::SeqCst) == epoch {
            let _ = to.shutdown(Shutdown::Both);
        }
    }
}

fn clone(stream: &TcpStream) -> TcpStream {
    stream.try_clone().expect("a second handle")
}
