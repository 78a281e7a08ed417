//! Cost of the control machine.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::collections::{Map, Set};
use ladder_core::control::store::Store;
use ladder_core::control::{Event, placement};
use ladder_core::schema::publication::Record;
use ladder_core::schema::wire::{Frame, Liveness, Rumour};
use ladder_core::view::View;
use ladder_core::{gather, leaf};

use crate::bench::{Bench, Spent};
use crate::fleet::{self, Publisher, Size, index_name, instance_address, instance_name};
use crate::memory::{self, Publication};
use crate::random::median;
use crate::table::{Metric, Part, Row};

/// Repeats of each event.
const REPEATS: usize = 5;
/// Time in which the consequences of an event are over.
const AFTER: Duration = Duration::from_secs(5);
/// Records of one page while memory is measured.
const PAGE: usize = 8000;
/// Rumours of one frame, as the machine sends them.
const RUMOURS: usize = 16;
const KILO: f64 = 1000.0;

/// All figures at one size.
pub(crate) fn measure(size: &Size) -> Vec<Row> {
    let mut rows = Rows { size: *size, rows: Vec::new() };
    memory_use(size, &mut rows);
    ranking(size, &mut rows);
    let mut publisher = Publisher::default();
    let mut bench = start(size, &mut publisher, &mut rows);
    let idle = idle(&mut bench, &mut rows);
    let mut measure = Measure { bench, publisher, idle, rows, victim: size.instances };
    measure.changes();
    measure.bucket();
    measure.views();
    measure.failures();
    measure.replacements();
    measure.zone();
    measure.rows.rows
}

struct Rows {
    size: Size,
    rows: Vec<Row>,
}

impl Rows {
    fn add(&mut self, metric: Metric, value: f64) {
        self.rows.push(Row::new(Part::Control, self.size, metric, value));
    }
}

/// Memory of the records alone, in a process of its own.
pub(crate) fn store(size: &Size) -> Vec<Row> {
    let mut rows = Rows { size: *size, rows: Vec::new() };
    let publication = Publication::new(size);
    let before = memory::resident();
    let mut store = Store::default();
    for record in publication.decode() {
        store.apply(&record);
    }
    rows.add(Metric::StoreMemory, memory::resident() - before);
    rows.rows
}

/// Loads in several pages, so that the records on their way count little.
fn memory_use(size: &Size, rows: &mut Rows) {
    let publication = Publication::new(size);
    rows.add(Metric::Records, publication.records as f64);
    rows.add(Metric::PageBytes, publication.bytes.len() as f64 / KILO);
    rows.add(Metric::LargestRecord, publication.largest as f64 / KILO);
    let before = memory::resident();
    let before_peak = memory::peak();
    let mut bench = Bench::new(*size);
    let mut records = publication.decode();
    loop {
        let page: Vec<Record> = records.by_ref().take(PAGE).collect();
        if page.is_empty() {
            break;
        }
        bench.page(page, publication.revision);
    }
    bench.run(AFTER);
    rows.add(Metric::Memory, memory::resident() - before);
    rows.add(Metric::PeakMemory, memory::peak() - before_peak);
}

fn start(size: &Size, publisher: &mut Publisher, rows: &mut Rows) -> Bench {
    let records = publisher.all(size);
    let mut bench = Bench::new(*size);
    bench.publish(&records);
    bench.give(Event::Tick);
    bench.spent = Spent::default();
    bench.page(records, publisher.revision);
    rows.add(Metric::StartTime, milliseconds(bench.spent.time));
    introduce(&mut bench, rows);
    bench.run(AFTER * 2);
    bench
}

/// One ranking of a service over the published list.
fn ranking(size: &Size, rows: &mut Rows) {
    let names: Vec<(String, String)> =
        (0..size.instances).map(|number| (instance_name(number), size.zone(number))).collect();
    let fleet: Vec<placement::Instance<'_>> =
        names.iter().map(|(name, zone)| placement::Instance { name, zone }).collect();
    let mut times = Vec::new();
    for service in 0..100 {
        let name = fleet::service_name(service);
        let before = std::time::Instant::now();
        std::hint::black_box(placement::rank(&name, &fleet));
        times.push(milliseconds(before.elapsed()) * KILO);
    }
    rows.add(Metric::RankTime, median(times));
}

/// A listed peer speaks for the first time; peers tell of the incarnations: sixteen as in one frame
/// of the machine, then all the others.
fn introduce(bench: &mut Bench, rows: &mut Rows) {
    bench.spent = Spent::default();
    let first = bench.frame(bench.size.instances - 1);
    bench.give(Event::Frame(Box::new(first)));
    rows.add(Metric::FirstFrame, milliseconds(bench.spent.time));
    let all: Vec<Rumour> = (1..bench.size.instances)
        .map(|number| rumour(&bench.size, number, Liveness::Alive))
        .collect();
    let (first, rest) = all.split_at(RUMOURS.min(all.len()));
    bench.spent = Spent::default();
    tell(bench, first.to_vec());
    rows.add(Metric::StartRumours, milliseconds(bench.spent.time));
    tell(bench, rest.to_vec());
}

fn tell(bench: &mut Bench, rumours: Vec<Rumour>) {
    let frame = Frame { rumours, ..bench.frame(1) };
    bench.give(Event::Frame(Box::new(frame)));
}

fn rumour(size: &Size, number: usize, liveness: Liveness) -> Rumour {
    Rumour {
        name: instance_name(number),
        generation: 1,
        refutation: 0,
        liveness: liveness as i32,
        address: instance_address(number),
        zone: size.zone(number),
        millicores: 1000,
    }
}

/// Microseconds a second without news.
fn idle(bench: &mut Bench, rows: &mut Rows) -> Spent {
    let mut all: Vec<Spent> = (0..REPEATS).map(|_| bench.spend(AFTER, |_| {})).collect();
    all.sort_by_key(|spent| spent.time);
    let middle = all[REPEATS / 2];
    let seconds = AFTER.as_secs_f64();
    let time = middle.time.as_secs_f64() * 1e6 / seconds;
    rows.add(Metric::IdleTime, time);
    rows.add(Metric::IdleFrames, middle.frames as f64 / seconds);
    rows.add(Metric::IdleSent, middle.sent as f64 / seconds);
    rows.add(Metric::IdleReceived, middle.received as f64 / seconds);
    middle
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * KILO
}

struct Measure {
    bench: Bench,
    publisher: Publisher,
    /// Spent in `AFTER` without news.
    idle: Spent,
    rows: Rows,
    /// The next instance to lose, counted down.
    victim: usize,
}

impl Measure {
    /// Median milliseconds and bytes sent beyond those without news.
    fn beyond(&self, all: &[Spent]) -> (f64, f64) {
        let time = |spent: &Spent| milliseconds(spent.time) - milliseconds(self.idle.time);
        let sent = |spent: &Spent| spent.sent as f64 - self.idle.sent as f64;
        let times = all.iter().map(time).collect();
        let sent = all.iter().map(sent).collect();
        (median(times), median(sent))
    }

    fn changes(&mut self) {
        let mut all = Vec::new();
        let mut copies = Vec::new();
        for repeat in 0..REPEATS {
            let service = repeat % self.bench.size.services();
            let body = fleet::entry(service, 2000 + repeat as u32);
            let record = self.publisher.record(body);
            self.bench.publish(std::slice::from_ref(&record));
            let peer = self.bench.peer();
            let mut frame = self.bench.frame(peer);
            frame.records.push(record);
            let copy = frame.clone();
            let give = |bench: &mut Bench| bench.give(Event::Frame(Box::new(frame)));
            all.push(self.bench.spend(AFTER, give));
            self.bench.spent = Spent::default();
            self.bench.give(Event::Frame(Box::new(copy)));
            copies.push(milliseconds(self.bench.spent.time) * KILO);
        }
        let (time, sent) = self.beyond(&all);
        self.rows.add(Metric::ChangeTime, time);
        self.rows.add(Metric::ChangeCopyTime, median(copies));
        self.rows.add(Metric::ChangeSent, sent);
    }

    /// A peer's digest differs in one bucket.
    fn bucket(&mut self) {
        let mut times = Vec::new();
        let mut sent = Vec::new();
        for repeat in 0..REPEATS {
            let mut frame = self.bench.frame(2);
            let mut digest = self.bench.peers.digest();
            digest.buckets[repeat] ^= 1;
            frame.digest = Some(digest);
            self.bench.spent = Spent::default();
            self.bench.give(Event::Frame(Box::new(frame)));
            times.push(milliseconds(self.bench.spent.time));
            sent.push(self.bench.spent.sent as f64 / KILO);
        }
        self.rows.add(Metric::BucketTime, median(times));
        self.rows.add(Metric::BucketSent, median(sent));
    }

    /// What a view costs those that take it, and what it says of an index.
    fn views(&mut self) {
        let Some(view) = self.bench.view.clone() else {
            return;
        };
        let now = self.bench.now;
        let mut gather = gather::Machine::new(gather::Settings::builder("gather", 1).build());
        let name = instance_name(0);
        let mut leaf = leaf::Machine::new(leaf::Settings::builder(&name, 1).build());
        let mut gather_times = Vec::new();
        let mut leaf_times = Vec::new();
        for _ in 0..REPEATS {
            let before = std::time::Instant::now();
            let event = gather::Event::View(Arc::clone(&view));
            gather.handle(now, event, &mut Vec::new());
            gather_times.push(milliseconds(before.elapsed()));
            let before = std::time::Instant::now();
            let event = leaf::Event::View(Arc::clone(&view));
            leaf.handle(now, event, &mut Vec::new());
            leaf_times.push(milliseconds(before.elapsed()));
        }
        self.rows.add(Metric::GatherView, median(gather_times));
        self.rows.add(Metric::LeafView, median(leaf_times));
        self.rows.add(Metric::OwnersPerQuery, owners(&view) as f64);
        self.rows.add(Metric::MostServicesOwned, most(&view) as f64);
    }

    /// Peers suspect an instance and hold it dead a second later.
    fn failures(&mut self) {
        let mut all = Vec::new();
        for _ in 0..REPEATS.min(self.bench.size.instances / 4) {
            self.victim -= 1;
            all.push(self.lose(&[self.victim]));
        }
        let (time, sent) = self.beyond(&all);
        self.rows.add(Metric::FailureTime, time);
        self.rows.add(Metric::FailureSent, sent);
    }

    fn lose(&mut self, victims: &[usize]) -> Spent {
        let size = self.bench.size;
        let rumours = |liveness| {
            let all = victims.iter().map(|&at| rumour(&size, at, liveness));
            all.collect::<Vec<_>>()
        };
        let suspect = rumours(Liveness::Suspect);
        let dead = rumours(Liveness::Dead);
        self.bench.dead.extend(victims);
        self.bench.spend(AFTER, |bench| {
            spread_over(bench, Duration::ZERO, &suspect);
            spread_over(bench, Duration::from_secs(1), &dead);
        })
    }

    /// The platform lists a successor in the place of an instance, and it speaks.
    fn replacements(&mut self) {
        let mut all = Vec::new();
        for _ in 0..REPEATS.min(self.bench.size.instances / 4) {
            self.victim -= 1;
            self.bench.dead.insert(self.victim);
            let new = self.victim + 2 * self.bench.size.instances;
            let gone = self.publisher.record(fleet::withdrawn(self.victim));
            let body = fleet::instance(&self.bench.size, new);
            let records = vec![gone, self.publisher.record(body)];
            self.bench.publish(&records);
            let frame = Frame {
                records,
                rumours: vec![rumour(&self.bench.size, new, Liveness::Alive)],
                ..self.bench.frame(1)
            };
            let give = |bench: &mut Bench| bench.give(Event::Frame(Box::new(frame)));
            all.push(self.bench.spend(AFTER, give));
        }
        let (time, sent) = self.beyond(&all);
        self.rows.add(Metric::ReplacementTime, time);
        self.rows.add(Metric::ReplacementSent, sent);
    }

    /// One zone is lost at once.
    fn zone(&mut self) {
        let zones = self.bench.size.zones;
        let victims: Vec<usize> = (4..self.victim).filter(|at| at % zones == 1 % zones).collect();
        let spent = self.lose(&victims);
        let (time, sent) = self.beyond(&[spent]);
        self.rows.add(Metric::ZoneTime, time);
        self.rows.add(Metric::ZoneViews, spent.views as f64);
        self.rows.add(Metric::ZoneSent, sent / KILO);
    }
}

/// Rumours arrive in full frames, a millisecond apart.
fn spread_over(bench: &mut Bench, delay: Duration, rumours: &[Rumour]) {
    for (number, part) in rumours.chunks(RUMOURS).enumerate() {
        let frame = Frame { rumours: part.to_vec(), ..bench.frame(2) };
        let delay = delay + Duration::from_millis(number as u64);
        bench.at(delay, Event::Frame(Box::new(frame)));
    }
}

/// Owners of the services of the first index.
fn owners(view: &View) -> usize {
    let versions = view.indexes.get(index_name(0).as_str());
    let shards = versions.map_or(&[][..], |versions| &versions[0].shards);
    let services = shards.iter().filter_map(|shard| view.service(&shard.service));
    let owners = services.filter_map(|service| service.owner());
    let names: Set<&str> = owners.map(|owner| &*owner.peer.name).collect();
    names.len()
}

/// Services of the instance that owns the most.
fn most(view: &View) -> usize {
    let mut counts: Map<&str, usize> = Map::default();
    for owner in view.services.values().filter_map(|service| service.owner()) {
        *counts.entry(&owner.peer.name).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
}
