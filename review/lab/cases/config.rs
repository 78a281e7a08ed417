//! The operator moves a route to another service and, in the same version, raises the timeout of
//! another route above a minute. Requests sent later than `config_apply_ms` after the
//! acknowledgement must run at the new service.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::record::Record;
use crate::server::{Conduct, Server};
use crate::store::{self, Store};
use crate::{Run, Verdict, http};

const CONFIG_APPLY_MS: f64 = 3000.0;
const OLD: &str = "kafi81c";
const NEW: &str = "huvo11a";
/// Timeout of the second route before and after the change. Without the disruption it stays.
const TIMEOUT_MS: u32 = 15_000;
const RAISED_TIMEOUT_MS: u32 = 90_000;
const DEADLINE_MS: u32 = 2000;
const BEFORE: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(12);

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let store = Store::start();
    let start = |number: usize, service: &str| {
        let conduct = Conduct {
            service: service.to_owned(),
            zone: "campanha".to_owned(),
            slots: 6,
            queue: 4,
            work_ms: (5.0, 10.0),
            body: service.as_bytes().to_vec(),
            garbled_share: 0.0,
        };
        Server::start(&format!("i-{number}"), conduct, record, run.seed)
    };
    let old: Vec<Arc<Server>> = (0..3).map(|number| start(number, OLD)).collect();
    let new: Vec<Arc<Server>> = (3..6).map(|number| start(number, NEW)).collect();
    old.iter().chain(&new).for_each(|server| store.put(&server.key(), &server.entry()));
    let configuration = |version, service, timeout_ms| {
        let moved = store::route("r-1", "/timi402/", "idempotent", DEADLINE_MS, service);
        let other = store::route("r-2", "/bapu561/", "idempotent", timeout_ms, OLD);
        store::configuration(version, &[moved, other], &[OLD, NEW])
    };
    store.put("op/config", &configuration(7, OLD, TIMEOUT_MS));
    let fleet = Fleet::start(&store.address, &["campanha", "sao-bento", "trindade"])?;
    let fronts: Vec<&str> = fleet.instances.iter().map(|one| one.front.as_str()).collect();
    send_requests(record, &fronts, BEFORE);
    let timeout_ms = if run.trouble { RAISED_TIMEOUT_MS } else { TIMEOUT_MS };
    store.put("op/config", &configuration(12, NEW, timeout_ms));
    let changed_at = record.now();
    record.note(&format!("the store acknowledges version 12, with a timeout of {timeout_ms} ms"));
    send_requests(record, &fronts, AFTER);
    drop(fleet);
    let runs = |servers: &[Arc<Server>], from: f64, until: f64| -> usize {
        let count = |server: &Arc<Server>| {
            let runs = server.runs.lock().expect("runs");
            runs.iter().filter(|(_, at)| (from..until).contains(at)).count()
        };
        servers.iter().map(count).sum()
    };
    let due_at = changed_at + CONFIG_APPLY_MS / 1000.0 + 0.1;
    let before = runs(&old, 0.0, changed_at);
    let (stale, moved) = (runs(&old, due_at, f64::MAX), runs(&new, due_at, f64::MAX));
    record.tell(&format!(
        "before the change {before} requests ran at the old service; later than config_apply_ms \
         after it {stale} ran at the old service and {moved} at the new one"
    ));
    match before > 0 {
        true => Ok(stale > 0),
        false => Err("nothing ran before the change".to_owned()),
    }
}

/// Sends a request every 50 ms, to one instance after the other.
fn send_requests(record: &Record, fronts: &[&str], span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        for front in fronts {
            let port = front.rsplit_once(':').map_or("", |(_, port)| port);
            let id = format!("{port:0>6}{:010x}", (record.now() * 1e6) as u64);
            let status = send(front, &id).unwrap_or(0);
            record.note(&format!("client sent {id} to {front} and got {status}"));
            thread::sleep(Duration::from_millis(50));
        }
    }
}

fn send(front: &str, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(u64::from(DEADLINE_MS) + 300))).ok()?;
    stream.write_all(&http::request("GET", "/timi402/2f", id, DEADLINE_MS, b"")).ok()?;
    http::read(&mut BufReader::new(stream))?.second_word().parse().ok()
}
