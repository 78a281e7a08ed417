//! Tests of the connection limit and of dead servers, over real connections.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use ladder_schema::standin::Fault;

use crate::client::{ServerPair, run_async, wait_until};

/// Connection limit of each server of a [`ServerPair`].
const CONNECTION_LIMIT: usize = 8;

fn connect(pair: &ServerPair) -> TcpStream {
    let stream = TcpStream::connect(pair.url("")).expect("a listening server");
    let timeout = Some(Duration::from_secs(60));
    stream.set_read_timeout(timeout).expect("a timeout");
    stream
}

/// Requests the load on a connection. Returns false when the server closes the connection instead.
fn is_served(stream: &mut TcpStream) -> bool {
    let request = b"GET /load HTTP/1.1\r\nhost: s\r\n\r\n";
    if stream.write_all(request).is_err() {
        return false;
    }
    match stream.read(&mut [0; 1024]) {
        Ok(length) => length > 0,
        Err(error) if error.kind() == ErrorKind::ConnectionReset => false,
        Err(error) => panic!("neither served nor closed: {error}"),
    }
}

/// Guards against a connection limit that is not enforced or whose violation is not counted, so
/// that an experiment would not report instances that open too many connections. Reading the ledger
/// must not use one of the server's connections.
#[test]
fn connection_beyond_limit_is_closed_and_counted() {
    run_async(async {
        let pair = ServerPair::start();
        let mut open: Vec<TcpStream> = (0..CONNECTION_LIMIT).map(|_| connect(&pair)).collect();
        assert!(open.iter_mut().all(is_served), "within the limit");
        assert!(!is_served(&mut connect(&pair)), "beyond the limit");

        let ledger = pair.ledger().await;
        assert_eq!(ledger.peak_connections, 8);
        assert_eq!(ledger.refused_connections, 1);

        open.pop();
        wait_until("the freed place", async || is_served(&mut connect(&pair))).await;
        assert_eq!(pair.ledger().await.peak_connections, 8);
    });
}

/// A server that becomes dead closes its connections, also during a request, and every new one.
/// When it is alive again at the same address, it has a new incarnation. None of these closed
/// connections may count as a connection beyond the limit.
#[test]
fn dead_server_closes_connections_and_restarts_with_new_incarnation() {
    run_async(async {
        let pair = ServerPair::start();
        let mut idle = connect(&pair);
        assert!(is_served(&mut idle));
        pair.set_fault(Fault { slowdown: crate::client::ENDLESS_SLOWDOWN, ..Fault::default() })
            .await;
        let busy = pair.send("1", 60_000);
        wait_until("service", async || pair.load().await.in_service == 1).await;

        pair.set_fault(Fault { dead: true, ..Fault::default() }).await;
        assert!(busy.await.expect("no panic").is_none(), "request cut");
        assert!(!is_served(&mut idle), "idle connection closed");
        assert!(!is_served(&mut connect(&pair)), "new connection closed");
        assert_eq!(pair.ledger().await.refused_connections, 0);

        pair.set_fault(Fault::default()).await;
        let load = pair.load().await;
        assert_eq!((load.incarnation, load.in_service), (2, 0));
    });
}
