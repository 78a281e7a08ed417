//! Non-idempotent requests to servers that are full for moments, one of which sends some of its
//! answers a second time, late. No request may run more than once, and none that ran may be
//! answered with 429 or 503.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::random::Random;
use crate::record::Record;
use crate::server::{Conduct, Server};
use crate::store::{self, Store};
use crate::{Run, Verdict, http};

const INSTANCES: [&str; 7] =
    ["campanha", "campanha", "campanha", "sao-bento", "sao-bento", "trindade", "trindade"];
/// Services, each with two servers, as the shards of the sheets have. One server of each garbles:
/// a share of 0.5.
const SERVICES: [&str; 5] = ["kafi81c", "huvo11a", "lohu93e", "daje37f", "ficu72g"];
const SERVERS_EACH: usize = 2;
const GARBLING_EACH: usize = 1;
/// Share of its answers that a garbling server sends twice: the `x` of the site file.
const GARBLED_SHARE: f64 = 0.04;
/// Length of one spell, `for_s` of the site file, and the calm time before each.
const SPELL: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(1);
const SPELLS: usize = 10;
/// Requests come in groups, each for one service, at random times: this many groups a second on
/// average. The servers have room for twice as many requests as come on average.
const GROUPS_PER_SECOND: f64 = 100.0;
const GROUP: usize = 10;
const DEADLINE_MS: u32 = 2000;
/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let store = Store::start();
    let conduct = |service: &str| Conduct {
        service: service.to_owned(),
        zone: "campanha".to_owned(),
        slots: 2,
        queue: 2,
        work_ms: (4.0, 12.0),
        body: b"booked".to_vec(),
        garbled_share: GARBLED_SHARE,
    };
    let numbers = 0..SERVICES.len() * SERVERS_EACH;
    let servers: Vec<Arc<Server>> = numbers
        .map(|number| {
            let conduct = conduct(SERVICES[number / SERVERS_EACH]);
            Server::start(&format!("i-{number}"), conduct, record, run.seed * 100 + number as u64)
        })
        .collect();
    servers.iter().for_each(|server| store.put(&server.key(), &server.entry()));
    let route = |service: &&str| {
        store::route(
            &format!("r-{service}"),
            &prefix(service),
            "non_idempotent",
            DEADLINE_MS,
            service,
        )
    };
    let routes: Vec<String> = SERVICES.iter().map(route).collect();
    store.put("op/config", &store::configuration(7, &routes, &SERVICES));
    let fleet = Fleet::start(&store.address, &INSTANCES)?;
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let fronts: Vec<String> = fleet.instances.iter().map(|one| one.front.clone()).collect();
    let clients = {
        let (record, answers, seed) = (Arc::clone(record), Arc::clone(&answers), run.seed);
        thread::spawn(move || send_requests(&record, &fronts, &answers, seed))
    };
    for _ in 0..SPELLS {
        thread::sleep(PAUSE);
        let set = |garbles| {
            let garbling = servers.chunks(SERVERS_EACH).flat_map(|all| &all[..GARBLING_EACH]);
            garbling.for_each(|server| server.is_garbling.store(garbles, Ordering::Relaxed));
        };
        set(run.trouble);
        record.note(if run.trouble { "the spell begins" } else { "no spell" });
        thread::sleep(SPELL);
        set(false);
        record.note("the spell ends");
    }
    clients.join().map_err(|_| "a client failed")?;
    thread::sleep(Duration::from_millis(u64::from(DEADLINE_MS) + 500));
    drop(fleet);
    judge(record, &servers, &answers.lock().expect("answers"))
}

/// Sends requests at random times, each on a connection of its own to a random instance.
fn send_requests(
    record: &Arc<Record>,
    fronts: &[String],
    answers: &Arc<Mutex<HashMap<String, u16>>>,
    seed: u64,
) {
    let mut random = Random::new(seed);
    let end = Instant::now() + (PAUSE + SPELL) * SPELLS as u32;
    let mut next = Instant::now();
    let mut number = 0u64;
    let mut service = SERVICES[0];
    while next < end {
        if number % GROUP as u64 == 0 {
            next += random.arrival_gap(GROUPS_PER_SECOND);
            service = SERVICES[random.below(SERVICES.len())];
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
        number += 1;
        let id = format!("{number:08x}{:08x}", random.next() as u32);
        let front = fronts[random.below(fronts.len())].clone();
        let (record, answers) = (Arc::clone(record), Arc::clone(answers));
        thread::spawn(move || {
            record.note(&format!("client sends {id} for {service} to {front}"));
            let status = send(&front, &prefix(service), &id).unwrap_or(0);
            record.note(&format!("client got {status} for {id}"));
            answers.lock().expect("answers").insert(id, status);
        });
    }
}

/// Prefix of a service's route.
fn prefix(service: &str) -> String {
    format!("/{service}-book/")
}

/// Sends one request; `None` if it gets no answer.
fn send(front: &str, prefix: &str, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_nodelay(true).ok()?;
    let wait = Duration::from_millis(u64::from(DEADLINE_MS) + 300);
    stream.set_read_timeout(Some(wait)).ok()?;
    stream
        .write_all(&http::request("POST", &format!("{prefix}2f"), id, DEADLINE_MS, b"dock 7"))
        .ok()?;
    http::read(&mut BufReader::new(stream))?.second_word().parse().ok()
}

fn judge(record: &Record, servers: &[Arc<Server>], answers: &HashMap<String, u16>) -> Verdict {
    let mut runs: HashMap<String, Vec<(f64, String)>> = HashMap::new();
    for server in servers {
        for (id, at) in server.runs.lock().expect("runs").iter() {
            runs.entry(id.clone()).or_default().push((*at, server.id.clone()));
        }
        let count = |number: &std::sync::atomic::AtomicUsize| number.load(Ordering::Relaxed);
        let (answered, garbled) = (count(&server.answers), count(&server.garbled));
        record.tell(&format!("{}: {answered} answers, {garbled} sent twice", server.id));
    }
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    answers.values().for_each(|status| *statuses.entry(*status).or_default() += 1);
    let mut statuses: Vec<_> = statuses.into_iter().collect();
    statuses.sort_unstable();
    record.tell(&format!("{} requests; answers by status: {statuses:?}", answers.len()));
    let twice = runs.iter().filter(|(_, runs)| runs.len() > 1);
    let twice: Vec<_> = twice.collect();
    let refused =
        answers.iter().filter(|(id, status)| PROMISES.contains(status) && runs.contains_key(*id));
    let refused: Vec<_> = refused.collect();
    for (id, runs) in &twice {
        record.tell(&format!("TWICE: {id} ran at {runs:?}, answered {:?}", answers.get(*id)));
    }
    for (id, status) in &refused {
        record.tell(&format!("REFUSED: {id} was answered {status} and ran: {:?}", runs[*id]));
    }
    record.tell(&format!("TWICE {}, REFUSED {}", twice.len(), refused.len()));
    match answers.values().filter(|status| **status == 200).count() * 4 > answers.len() {
        true => Ok(!twice.is_empty() || !refused.is_empty()),
        false => Err("less than a quarter of the requests was served".to_owned()),
    }
}
