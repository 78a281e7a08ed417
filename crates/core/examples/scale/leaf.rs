//! Measures the cost of the leaf machine on one thread: handling of work, calls sent, calls ended
//! and replies.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::placement::LimitPart;
use ladder_core::leaf::event::{AttemptKey, ConnectionKey, Outcome};
use ladder_core::leaf::{Action, Event, Machine, Settings};
use ladder_core::schema::publication::record::Body;
use ladder_core::schema::{call, target, wire};
use ladder_core::time::Instant;
use ladder_core::view::{Candidate, Peer, Service, View};
use prost::Message;

use crate::fleet::{Size, entry, index_name, service_name, size};
use crate::gather::server;
use crate::random::median;
use crate::table::{Metric, Part, Row};

/// Size of the part of the fleet that one instance owns in two years: 17 servers, in services of
/// two or three servers.
const SIZE: Size = size(1, 17, 1);
const SERVICES: usize = 6;
const ROUNDS: usize = 2000;
const WINDOWS: usize = 9;

pub(crate) fn measure() -> Vec<Row> {
    [1, 100].iter().flat_map(|&shards| measure_calls(shards)).collect()
}

fn measure_calls(shards: usize) -> Vec<Row> {
    let mut bench = Bench::new(shards);
    bench.run_window();
    let rates = (0..WINDOWS).map(|_| bench.run_window()).collect();
    let rate = median(rates);
    let row = |metric, value| Row::new(Part::Leaf, SIZE, metric, value).shards(shards);
    let (json, binary) = codec_times(shards);
    vec![
        row(Metric::Decisions, rate),
        row(Metric::Reads, rate * shards as f64),
        row(Metric::JsonTime, json),
        row(Metric::BinaryTime, binary),
    ]
}

/// Returns the microseconds to encode one target request and decode its answer, in JSON and in
/// protobuf.
fn codec_times(shards: usize) -> (f64, f64) {
    let request = target::Request {
        id: "instance-00000/1/123456".to_owned(),
        key: "key-123456".to_owned(),
        index: index_name(0),
        version: 1,
        shards: (0..shards).map(shard_name).collect(),
        operation: "sweep".to_owned(),
        deadline_ms: 90,
        payload: String::new(),
        message: None,
    };
    let answer = complete_answer(&request);
    let json = serde_json::to_vec(&answer).expect("an answer is JSON");
    let binary = answer.encode_to_vec();
    let by_json = mean_time_us(|| {
        let bytes = serde_json::to_vec(&request).expect("a request is JSON");
        let answer: target::Answer = serde_json::from_slice(&json).expect("just encoded");
        bytes.len() + answer.parts.len()
    });
    let by_binary = mean_time_us(|| {
        let bytes = request.encode_to_vec();
        let answer = target::Answer::decode(&binary[..]).expect("just encoded");
        bytes.len() + answer.parts.len()
    });
    (by_json, by_binary)
}

/// Returns the mean time of a call of `act` in microseconds.
fn mean_time_us(act: impl Fn() -> usize) -> f64 {
    let before = std::time::Instant::now();
    for _ in 0..ROUNDS {
        std::hint::black_box(act());
    }
    before.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn shard_name(number: usize) -> String {
    format!("shard-{number:05}")
}

struct Bench {
    machine: Machine,
    now: Instant,
    shards: usize,
    query: u64,
    calls: u64,
    replies: u64,
    machine_time: Duration,
}

impl Bench {
    fn new(shards: usize) -> Self {
        let mut view = View { ready: true, ..View::default() };
        for number in 0..SERVICES {
            view.insert(service(number));
        }
        let settings = Settings::builder("instance-00000", 1).seed(3).build();
        let mut bench = Self {
            machine: Machine::new(settings),
            now: Instant::from_millis(1000),
            shards,
            query: 0,
            calls: 0,
            replies: 0,
            machine_time: Duration::ZERO,
        };
        bench.handle(Event::View(Arc::new(view)));
        bench
    }

    /// Runs `ROUNDS` queries and returns the calls per second of the machine's own processor time.
    fn run_window(&mut self) -> f64 {
        self.calls = 0;
        self.machine_time = Duration::ZERO;
        for _ in 0..ROUNDS {
            self.run_round();
        }
        self.calls as f64 / self.machine_time.as_secs_f64()
    }

    /// Sends one query to all services; each call is answered one millisecond later.
    fn run_round(&mut self) {
        self.query += 1;
        self.replies = 0;
        let work = Event::Work { from: peer("entry"), incarnation: 1, work: self.work() };
        let mut sends = self.handle(work);
        for _ in 0..100 {
            if self.replies == SERVICES as u64 {
                return;
            }
            self.now = self.now + Duration::from_millis(1);
            let calls_to_end = std::mem::take(&mut sends);
            if calls_to_end.is_empty() {
                sends = self.handle(Event::Tick);
            }
            for (attempt, request) in calls_to_end {
                let outcome = answer(&request);
                sends.extend(self.handle(Event::Ended { attempt, outcome }));
            }
        }
        panic!("the query {} is not answered", self.query);
    }

    fn work(&self) -> wire::Work {
        let portion = |number| wire::Portion {
            service: service_name(number),
            shards: (0..self.shards).map(shard_name).collect(),
            repeated: false,
            eligible: None,
        };
        wire::Work {
            query: self.query,
            round: 1,
            key: format!("key-{}", self.query),
            attempt: 1,
            index: index_name(0),
            version: 1,
            operation: "sweep".to_owned(),
            budget_us: 90_000,
            portions: (0..SERVICES).map(portion).collect(),
            ..wire::Work::default()
        }
    }

    /// Passes an event to the machine, reports its new connections as open at once, and returns the
    /// calls that it sends.
    fn handle(&mut self, event: Event) -> Vec<(AttemptKey, target::Request)> {
        let mut sends = Vec::new();
        let mut opened_connections: Vec<ConnectionKey> = Vec::new();
        let mut next_event = Some(event);
        while let Some(event) = next_event {
            let mut out = Vec::new();
            let before = std::time::Instant::now();
            self.machine.handle(self.now, event, &mut out);
            self.machine_time += before.elapsed();
            for action in out {
                match action {
                    Action::Open { connection, .. }
                    | Action::Probe { connection, .. }
                    | Action::Cancel { connection, .. } => opened_connections.push(connection),
                    Action::Send { attempt, request, .. } => {
                        self.calls += 1;
                        sends.push((attempt, request));
                    }
                    Action::Reply { .. } => self.replies += 1,
                    Action::Close(_)
                    | Action::Log(_)
                    | Action::Pending { .. }
                    | Action::Server { .. }
                    | Action::Crashed { .. }
                    | Action::Refuted { .. }
                    | Action::Cleared { .. }
                    | Action::Connection(_)
                    | Action::Count(_) => {}
                }
            }
            next_event = opened_connections.pop().map(Event::Opened);
        }
        sends
    }
}

fn answer(request: &target::Request) -> Outcome {
    Outcome::Answer(complete_answer(request))
}

fn complete_answer(request: &target::Request) -> target::Answer {
    let part =
        |shard: &String| call::Part { shard: shard.clone(), body: "x".repeat(16), response: None };
    target::Answer {
        id: request.id.clone(),
        index: request.index.clone(),
        version: request.version,
        parts: request.shards.iter().map(part).collect(),
        occupancy: None,
    }
}

fn peer(name: &str) -> Peer {
    Peer { name: name.into(), address: "10.1.0.1:7000".into() }
}

fn service(number: usize) -> Service {
    let Body::Entry(entry) = entry(number, 1000) else {
        unreachable!("it is an entry");
    };
    let replicas = if number == 0 { 2 } else { 3 };
    Service {
        name: service_name(number).as_str().into(),
        entry: Arc::new(entry),
        servers: (0..replicas).map(|place| server(number, place)).collect(),
        candidates: vec![Candidate { peer: peer("instance-00000"), live: true, local: true }],
        sharer_count: 1,
        limit_part: LimitPart::default(),
        has_few_connections: false,
        keeps_idle_connection: true,
    }
}
