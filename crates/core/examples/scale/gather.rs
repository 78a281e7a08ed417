//! Measures the cost of the gather machine for a query, with the view of the fleet expected in two
//! years.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::placement::LimitPart;
use ladder_core::gather::event::{CallerId, Reception};
use ladder_core::gather::{Action, Event, Machine, Settings};
use ladder_core::schema::outcome::Verdict;
use ladder_core::schema::publication::{Index, Shard, record::Body};
use ladder_core::schema::{call, wire};
use ladder_core::time::Instant;
use ladder_core::view::{Candidate, Peer, Server, Service, View};
use prost::Message;

use crate::fleet::{
    self, MAX_SHARDS, SIZES, Size, entry, index_name, instance_address, instance_name, service_name,
};
use crate::random::median;
use crate::table::{Metric, Part, Row};

/// Number of owners that a query of all shards asks: 2,000 servers, of which each instance owns 17.
const OWNERS: usize = 120;
/// Number of measured queries.
const QUERIES: usize = 400;
/// Number of candidates for the ownership of a service.
const CANDIDATES: usize = 8;
/// Size in bytes of the answer of a shard.
const BODY_BYTES: usize = 16;

pub(crate) fn measure() -> Vec<Row> {
    let size = SIZES[SIZES.len() - 1];
    [20, MAX_SHARDS].iter().flat_map(|&shards| measure_query(size, shards)).collect()
}

fn measure_query(size: Size, shards: usize) -> Vec<Row> {
    let view = Arc::new(view(&size, shards));
    let mut bench = Bench {
        machine: Machine::new(Settings::builder("instance-00000", 1).build()),
        now: Instant::from_millis(1000),
        callers: 0,
        codec_time: Duration::ZERO,
        message_bytes: 0,
    };
    let mut first_times = Vec::new();
    for _ in 0..10 {
        bench.handle(Event::View(Arc::clone(&view)));
        first_times.push(micros(bench.query()));
    }
    bench.codec_time = Duration::ZERO;
    bench.message_bytes = 0;
    let times: Vec<f64> = (0..QUERIES).map(|_| micros(bench.query())).collect();
    let queries = QUERIES as f64;
    let row = |metric, value| Row::new(Part::Gather, size, metric, value).shards(shards);
    vec![
        row(Metric::FirstQueryTime, median(first_times)),
        row(Metric::QueryTime, median(times)),
        row(Metric::CodecTime, micros(bench.codec_time) / queries),
        row(Metric::WorkBytes, bench.message_bytes as f64 / queries / 1000.0),
    ]
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

struct Bench {
    machine: Machine,
    now: Instant,
    callers: u64,
    /// Time to encode requests for work and to decode the replies to them.
    codec_time: Duration,
    message_bytes: usize,
}

impl Bench {
    fn handle(&mut self, event: Event) -> (Vec<Action>, Duration) {
        let mut out = Vec::new();
        let before = std::time::Instant::now();
        self.machine.handle(self.now, event, &mut out);
        (out, before.elapsed())
    }

    /// Sends one query of all shards, answers it for each owner, and returns the processor time of
    /// the machine.
    fn query(&mut self) -> Duration {
        self.callers += 1;
        self.now = self.now + Duration::from_millis(1);
        let call = Event::Call {
            caller: CallerId(self.callers),
            request: call::Request {
                key: format!("key-{}", self.callers),
                index: index_name(0),
                operation: "sweep".to_owned(),
                ..call::Request::default()
            },
            reception: Reception::default(),
        };
        let (out, mut time) = self.handle(call);
        self.now = self.now + Duration::from_millis(10);
        let mut is_answered = false;
        for action in out {
            let Action::Send { to, work } = action else {
                continue;
            };
            let replies = self.transfer(&work);
            let from = to.name;
            let (out, reply_time) = self.handle(Event::Replies { from, replies });
            time += reply_time;
            is_answered |= out.iter().any(is_complete);
        }
        assert!(is_answered, "the query is answered whole");
        time
    }

    /// Encodes the work, creates its replies and decodes them.
    fn transfer(&mut self, work: &wire::Work) -> Vec<wire::Reply> {
        let before = std::time::Instant::now();
        self.message_bytes += work.encode_to_vec().len();
        self.codec_time += before.elapsed();
        let replies = work.portions.iter().map(|portion| reply(work, portion));
        let frame = wire::Frame { replies: replies.collect(), ..wire::Frame::default() };
        let bytes = frame.encode_to_vec();
        self.message_bytes += bytes.len();
        let before = std::time::Instant::now();
        let frame = wire::Frame::decode(&bytes[..]).expect("just encoded");
        self.codec_time += before.elapsed();
        frame.replies
    }
}

fn is_complete(action: &Action) -> bool {
    matches!(action, Action::Answer { answer, .. } if answer.missing.is_empty())
}

fn reply(work: &wire::Work, portion: &wire::Portion) -> wire::Reply {
    let part = |shard: &String| call::Part {
        shard: shard.clone(),
        body: "x".repeat(BODY_BYTES),
        response: None,
    };
    wire::Reply {
        query: work.query,
        round: work.round,
        incarnation: 1,
        service: portion.service.clone(),
        verdict: Verdict::Ran as i32,
        version: work.version,
        parts: portion.shards.iter().map(part).collect(),
        calls: 1,
        ..wire::Reply::default()
    }
}

/// Returns a view of the whole fleet in which the index has `shards` shards, one for each of its
/// services, owned by [`OWNERS`] instances.
fn view(size: &Size, shards: usize) -> View {
    let mut view = View { generation: 1, revision: 1, ready: true, ..View::default() };
    for number in 0..size.services() {
        view.insert(service(size, number));
    }
    let shard =
        |number| Shard { name: format!("shard-{number:05}"), service: service_name(number) };
    let index = Index { name: index_name(0), version: 1, shards: (0..shards).map(shard).collect() };
    let name = index_name(0).as_str().into();
    view.indexes.insert(name, vec![Arc::new(index)]);
    view
}

fn service(size: &Size, number: usize) -> Service {
    let Body::Entry(entry) = entry(number, 1000) else {
        unreachable!("it is an entry");
    };
    let first_owner = number / MAX_SHARDS * OWNERS;
    let candidate = |place: usize| {
        let instance = 1 + (first_owner + (number + place) % OWNERS) % (size.instances - 1);
        Candidate {
            peer: Peer {
                name: instance_name(instance).as_str().into(),
                address: instance_address(instance).as_str().into(),
            },
            live: true,
            local: false,
        }
    };
    Service {
        name: service_name(number).as_str().into(),
        entry: Arc::new(entry),
        servers: (0..3).map(|place| server(number, place)).collect(),
        candidates: (0..CANDIDATES).map(candidate).collect(),
        sharer_count: 1,
        limit_part: LimitPart::default(),
        has_few_connections: false,
        keeps_idle_connection: true,
    }
}

/// Returns a server of a service; it holds the first index.
pub(crate) fn server(service: usize, place: usize) -> Server {
    Server {
        name: format!("server-{service:05}-{place}").as_str().into(),
        address: format!("10.2.{}.{place}:8000", service % 250).as_str().into(),
        zone: "zone-0".into(),
        incarnation: 1,
        leaving: false,
        evacuated: false,
        warmup: Duration::ZERO,
        slots: 2,
        share: 4,
        holdings: vec![ladder_core::schema::publication::Holding {
            index: fleet::index_name(0),
            version: 1,
        }],
    }
}
