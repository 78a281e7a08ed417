//! Clients read a long answer slowly while the instance that sends it is stopped. Each must get the
//! whole answer, as it is complete before the grace is over.

use std::io::Read;
use std::net::TcpStream;
use std::os::fd::FromRawFd;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::record::Record;
use crate::server::{Conduct, Server};
use crate::store::{self, Store};
use crate::{Run, Verdict, http};

const ANSWER_BYTES: usize = 1_000_000;
const BYTES_PER_SECOND: f64 = 185_000.0;
/// A client that has received this much lets the stop begin.
const UNTIL_STOP: usize = 20_000;
const DEADLINE_MS: u32 = 15_000;
const CLIENTS_PER_INSTANCE: usize = 4;
/// Segment size and receive buffer of a client on an ordinary network with little memory.
const SEGMENT_BYTES: i32 = 1400;
const RECEIVE_BUFFER_BYTES: i32 = 4096;

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let store = Store::start();
    let conduct = Conduct {
        service: "kafi81c".to_owned(),
        zone: "campanha".to_owned(),
        slots: 6,
        queue: 4,
        work_ms: (50.0, 60.0),
        body: (0..ANSWER_BYTES).map(|at| b'a' + (at / 16 % 26) as u8).collect(),
        garbled_share: 0.0,
    };
    let servers: Vec<Arc<Server>> = (0..3)
        .map(|number| Server::start(&format!("i-{number}"), conduct.clone(), record, run.seed))
        .collect();
    servers.iter().for_each(|server| store.put(&server.key(), &server.entry()));
    let routes = [store::route("r-1", "/timi402/", "idempotent", DEADLINE_MS, "kafi81c")];
    store.put("op/config", &store::configuration(7, &routes, &["kafi81c"]));
    let mut fleet = Fleet::start(&store.address, &["campanha", "sao-bento"])?;
    thread::sleep(Duration::from_millis(2500));
    let ended: Arc<Mutex<Vec<(String, usize, bool)>>> = Arc::default();
    let (begun, begins) = mpsc::channel();
    let mut clients = Vec::new();
    for instance in &fleet.instances {
        for number in 0..CLIENTS_PER_INSTANCE {
            let name = format!("client {number} of {}", instance.name);
            let front = instance.front.clone();
            let (record, ended, begun) = (Arc::clone(record), Arc::clone(&ended), begun.clone());
            let whole = conduct.body.clone();
            clients.push(thread::spawn(move || {
                let (bytes, complete) = read_slowly(&record, &name, &front, &whole, &begun);
                record.tell(&format!("{name}: {bytes} bytes, complete: {complete}"));
                ended.lock().expect("ended").push((name, bytes, complete));
            }));
        }
    }
    for _ in 0..clients.len() {
        let started = begins.recv_timeout(Duration::from_secs(10));
        started.map_err(|_| "a client got no answer")?;
    }
    if run.trouble {
        let first = &mut fleet.instances[0];
        let at = Instant::now();
        first.terminate();
        record.note(&format!("SIGTERM to {}", first.name));
        let ran = first.end_and_restart(at)?;
        record.tell(&format!("{} ended {:.2} s after SIGTERM", first.name, ran.as_secs_f64()));
    }
    clients.into_iter().try_for_each(|client| client.join().map_err(|_| "a client failed"))?;
    let ended = ended.lock().expect("ended");
    let lost = ended.iter().filter(|(.., complete)| !complete).count();
    record.tell(&format!("LOST: {lost} of {} answers were broken off", ended.len()));
    Ok(lost > 0)
}

/// Sends a request and reads the answer at a steady pace. Returns the bytes of the body that came
/// and whether they are the whole body.
fn read_slowly(
    record: &Record,
    name: &str,
    front: &str,
    whole: &[u8],
    begun: &mpsc::Sender<()>,
) -> (usize, bool) {
    use std::io::Write;
    let Some(mut stream) = connect(front) else { return (0, false) };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(u64::from(DEADLINE_MS))));
    let id = format!("{:016x}", name.bytes().fold(7u64, |id, byte| id * 31 + u64::from(byte)));
    let _ = stream.write_all(&http::request("GET", "/timi402/2f", &id, DEADLINE_MS, b""));
    record.note(&format!("{name} sent {id}"));
    let mut received = Vec::new();
    let mut chunk = [0; 1400];
    let mut started: Option<Instant> = None;
    let mut has_begun = false;
    loop {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(count) => received.extend_from_slice(&chunk[..count]),
        }
        if !has_begun && received.len() >= UNTIL_STOP {
            has_begun = true;
            let _ = begun.send(());
        }
        let body_start = received.windows(4).take(2000).position(|end| end == b"\r\n\r\n");
        if body_start.is_some_and(|start| received.len() - start - 4 >= whole.len()) {
            break;
        }
        let started = started.get_or_insert_with(Instant::now);
        let due = *started + Duration::from_secs_f64(received.len() as f64 / BYTES_PER_SECOND);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    record.note(&format!("{name}: the connection ended or the answer is complete"));
    let head_end = received.windows(4).position(|end| end == b"\r\n\r\n").map(|at| at + 4);
    let body = head_end.map_or(&[][..], |at| &received[at..]);
    (body.len(), body == whole && received.starts_with(b"HTTP/1.1 200"))
}

mod socket {
    unsafe extern "C" {
        pub fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        pub fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
        pub fn connect(socket: i32, address: *const Address, size: u32) -> i32;
    }

    /// `sockaddr_in`.
    #[repr(C)]
    pub struct Address {
        pub family: u16,
        pub port: [u8; 2],
        pub number: [u8; 4],
        pub rest: [u8; 8],
    }
}

/// Connects with the segment size and receive buffer of a client on an ordinary network. Both have
/// to be set before the connection is opened.
fn connect(front: &str) -> Option<TcpStream> {
    let port: u16 = front.rsplit_once(':')?.1.parse().ok()?;
    let address = socket::Address {
        family: 2,
        port: port.to_be_bytes(),
        number: [127, 0, 0, 1],
        rest: [0; 8],
    };
    // SAFETY: the calls get valid pointers with their sizes, and the descriptor has one owner.
    unsafe {
        let descriptor = socket::socket(2, 1, 0);
        if descriptor < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        socket::setsockopt(descriptor, 1, 8, &RECEIVE_BUFFER_BYTES, 4);
        socket::setsockopt(descriptor, 6, 2, &SEGMENT_BYTES, 4);
        (socket::connect(descriptor, &address, 16) == 0).then_some(stream)
    }
}
