//! The connection limit, seen from outside.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use ladder_schema::standin::Fault;

use crate::client::{Pair, eventually, run};

const LIMIT: usize = 8;

fn connect(pair: &Pair) -> TcpStream {
    let stream = TcpStream::connect(pair.url("")).expect("a listening server");
    let timeout = Some(Duration::from_secs(60));
    stream.set_read_timeout(timeout).expect("a timeout");
    stream
}

/// Asks for the load on a connection; false when the server closed it instead.
fn served(stream: &mut TcpStream) -> bool {
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

/// Instances that hold more connections than a server allows would see some of them closed, and
/// the experiment must report it. Open as many as allowed, one more, give one back, open one.
/// Operators look at the ledger all the while and must not take a place.
#[test]
fn a_connection_beyond_the_limit_is_closed_and_counted() {
    run(async {
        let pair = Pair::start();
        let mut open: Vec<TcpStream> = (0..LIMIT).map(|_| connect(&pair)).collect();
        assert!(open.iter_mut().all(served), "within the limit");
        assert!(!served(&mut connect(&pair)), "beyond the limit");

        let ledger = pair.ledger().await;
        assert_eq!(ledger.peak_connections, 8);
        assert_eq!(ledger.refused_connections, 1);

        open.pop();
        eventually("the freed place", async || served(&mut connect(&pair))).await;
        assert_eq!(pair.ledger().await.peak_connections, 8);
    });
}

/// A server dies without a word: its connections break in the middle of a request, new ones are
/// closed, and its successor at the same address is another incarnation. Neither the break nor
/// the closing counts as a connection beyond the limit.
#[test]
fn a_dead_server_closes_connections_and_returns_as_a_new_incarnation() {
    run(async {
        let pair = Pair::start();
        let mut idle = connect(&pair);
        assert!(served(&mut idle));
        pair.fault(Fault { slowdown: crate::client::ENDLESS, ..Fault::default() }).await;
        let busy = pair.send("1", 60_000);
        eventually("service", async || pair.load().await.in_service == 1).await;

        pair.fault(Fault { dead: true, ..Fault::default() }).await;
        assert!(busy.await.expect("no panic").is_none(), "request cut");
        assert!(!served(&mut idle), "idle connection closed");
        assert!(!served(&mut connect(&pair)), "new connection closed");
        assert_eq!(pair.ledger().await.refused_connections, 0);

        pair.fault(Fault::default()).await;
        let load = pair.load().await;
        assert_eq!((load.incarnation, load.in_service), (2, 0));
    });
}
