//! A server that never reports `draining` is removed from the store, which cuts the watches that
//! wait a second before that and twice after it. No request may reach the server later than
//! `drain_ms` after its removal.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::record::Record;
use crate::server::{Conduct, Server};
use crate::store::{self, Store};
use crate::{Run, Verdict, http};

const ZONES: [&str; 3] = ["campanha", "sao-bento", "trindade"];
const DRAIN_MS: f64 = 3000.0;
/// From the first cut of the watches to the removal, and from the removal to the later cuts.
const FIRST_CUT: Duration = Duration::from_millis(1000);
const LATER_CUTS: [Duration; 2] = [Duration::from_millis(1200), Duration::from_millis(3200)];
const BEFORE_REMOVAL: Duration = Duration::from_secs(8);
const AFTER_REMOVAL: Duration = Duration::from_secs(12);
const DEADLINE_MS: u32 = 2000;

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let store = Store::start();
    let conduct = Conduct {
        service: "kafi81c".to_owned(),
        zone: "campanha".to_owned(),
        slots: 6,
        queue: 4,
        work_ms: (10.0, 20.0),
        body: b"permit".to_vec(),
        garbled_share: 0.0,
    };
    let servers: Vec<Arc<Server>> = (0..3)
        .map(|number| Server::start(&format!("i-{number}"), conduct.clone(), record, run.seed))
        .collect();
    servers.iter().for_each(|server| store.put(&server.key(), &server.entry()));
    let routes = [store::route("r-1", "/timi402/", "idempotent", DEADLINE_MS, "kafi81c")];
    store.put("op/config", &store::configuration(7, &routes, &["kafi81c"]));
    let fleet = Fleet::start(&store.address, &ZONES)?;
    let stopped = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let mut threads = Vec::new();
    for instance in &fleet.instances {
        let (record, stopped) = (Arc::clone(record), Arc::clone(&stopped));
        let (front, served) = (instance.front.clone(), Arc::clone(&served));
        threads.push(thread::spawn(move || send_requests(&record, &front, &stopped, &served)));
    }
    let cut = || {
        // Watches that are not waiting at this moment would not be cut, so it comes as soon as all do.
        let limit = Instant::now() + Duration::from_millis(600);
        while store.waiting_watches() < ZONES.len() as u64 && Instant::now() < limit {
            thread::sleep(Duration::from_millis(2));
        }
        if run.trouble {
            record.note(&format!("the store cuts {} watches", store.waiting_watches()));
            store.cut_watches();
        }
    };
    thread::sleep(BEFORE_REMOVAL);
    cut();
    thread::sleep(FIRST_CUT);
    let gone = &servers[0];
    store.remove(&gone.key());
    let (removed, removed_at) = (Instant::now(), record.now());
    record.note(&format!("the store acknowledges that {} is gone", gone.id));
    for after in LATER_CUTS {
        thread::sleep((removed + after).saturating_duration_since(Instant::now()));
        cut();
    }
    thread::sleep((removed + AFTER_REMOVAL).saturating_duration_since(Instant::now()));
    stopped.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    drop(fleet);
    let runs = gone.runs.lock().expect("runs");
    let before = runs.iter().filter(|(_, at)| *at < removed_at).count();
    let late = runs.iter().filter(|(_, at)| (*at - removed_at) * 1000.0 > DRAIN_MS).count();
    let last = runs.last().map_or(0.0, |(_, at)| at - removed_at);
    record.tell(&format!(
        "{}: {before} requests before it was gone, {late} later than drain_ms after it; the last \
         {last:.2} s after it; {} requests were served",
        gone.id,
        served.load(Ordering::Relaxed)
    ));
    match before > 0 {
        true => Ok(late > 0),
        false => Err("the server got no requests before".to_owned()),
    }
}

/// Sends a request every 50 ms to one instance, on one connection as long as it lasts.
fn send_requests(record: &Record, front: &str, stopped: &AtomicBool, served: &AtomicUsize) {
    let mut connection: Option<(TcpStream, BufReader<TcpStream>)> = None;
    let mut number = 0u64;
    let mut next = Instant::now();
    while !stopped.load(Ordering::Relaxed) {
        next += Duration::from_millis(50);
        thread::sleep(next.saturating_duration_since(Instant::now()));
        number += 1;
        let port = front.rsplit_once(':').map_or("", |(_, port)| port);
        let id = format!("{port:0>8}{number:08x}");
        let status = send(front, &id, &mut connection).unwrap_or(0);
        record.note(&format!("client sent {id} to {front} and got {status}"));
        served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
        if status != 200 {
            connection = None;
        }
    }
}

fn send(
    front: &str,
    id: &str,
    connection: &mut Option<(TcpStream, BufReader<TcpStream>)>,
) -> Option<u16> {
    if connection.is_none() {
        let stream = TcpStream::connect(front).ok()?;
        stream.set_nodelay(true).ok()?;
        let wait = Duration::from_millis(u64::from(DEADLINE_MS) + 300);
        stream.set_read_timeout(Some(wait)).ok()?;
        *connection = Some((stream.try_clone().ok()?, BufReader::new(stream)));
    }
    let (writer, reader) = connection.as_mut()?;
    writer.write_all(&http::request("GET", "/timi402/2f", id, DEADLINE_MS, b"")).ok()?;
    http::read(reader)?.second_word().parse().ok()
}
