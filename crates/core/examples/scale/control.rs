//! Measures the cost of the control machine.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::collections::{Map, Set};
use ladder_core::control::store::Store;
use ladder_core::control::{Event, placement};
use ladder_core::schema::publication::Record;
use ladder_core::schema::wire::{Frame, Liveness, Rumour};
use ladder_core::view::View;
use ladder_core::{gather, leaf};

use crate::bench::{Bench, Cost};
use crate::fleet::{self, Publisher, Size, index_name, instance_address, instance_name};
use crate::memory::{self, Publication};
use crate::random::median;
use crate::table::{Metric, Part, Row};

/// Number of repeats of each event.
const REPEATS: usize = 5;
/// Virtual time after an event in which all its consequences happen.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Number of records in one page while memory is measured.
const PAGE_RECORDS: usize = 8000;
/// Number of gossip updates in one frame, as the machine sends them.
const RUMOURS_PER_FRAME: usize = 16;
const KILO: f64 = 1000.0;

/// Returns all figures of the control machine at one fleet size.
pub(crate) fn measure(size: &Size) -> Vec<Row> {
    let mut rows = Rows { size: *size, rows: Vec::new() };
    measure_memory(size, &mut rows);
    measure_ranking(size, &mut rows);
    let mut publisher = Publisher::default();
    let mut bench = start(size, &mut publisher, &mut rows);
    let idle = idle(&mut bench, &mut rows);
    let mut measure = Measure { bench, publisher, idle, rows, last_lost: size.instances };
    measure.measure_changes();
    measure.measure_bucket();
    measure.measure_views();
    measure.measure_failures();
    measure.measure_replacements();
    measure.measure_zone_loss();
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

/// Measures the memory of the records alone; runs in its own process.
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

/// Measures the memory of a machine that has loaded the publication. The records arrive in several
/// pages, so that the records of a page in transit add little memory.
fn measure_memory(size: &Size, rows: &mut Rows) {
    let publication = Publication::new(size);
    rows.add(Metric::Records, publication.records as f64);
    rows.add(Metric::PageBytes, publication.bytes.len() as f64 / KILO);
    rows.add(Metric::LargestRecord, publication.largest_bytes as f64 / KILO);
    let before = memory::resident();
    let before_peak = memory::peak();
    let mut bench = Bench::new(*size);
    let mut records = publication.decode();
    loop {
        let page: Vec<Record> = records.by_ref().take(PAGE_RECORDS).collect();
        if page.is_empty() {
            break;
        }
        bench.page(page, publication.revision);
    }
    bench.run(SETTLE_TIME);
    rows.add(Metric::Memory, memory::resident() - before);
    rows.add(Metric::PeakMemory, memory::peak() - before_peak);
}

fn start(size: &Size, publisher: &mut Publisher, rows: &mut Rows) -> Bench {
    let records = publisher.all(size);
    let mut bench = Bench::new(*size);
    bench.publish(&records);
    bench.handle(Event::Tick);
    bench.cost = Cost::default();
    bench.page(records, publisher.revision);
    rows.add(Metric::StartTime, milliseconds(bench.cost.time));
    measure_introduction(&mut bench, rows);
    bench.run(SETTLE_TIME * 2);
    bench
}

/// Measures the time to rank the published instances for one service.
fn measure_ranking(size: &Size, rows: &mut Rows) {
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

/// Measures the first frame of a listed peer, and the first gossip updates about the incarnations
/// of the peers: sixteen in one frame, as the machine sends them, then all others in a second
/// frame.
fn measure_introduction(bench: &mut Bench, rows: &mut Rows) {
    bench.cost = Cost::default();
    let first = bench.frame(bench.size.instances - 1);
    bench.handle(Event::Frame(Box::new(first)));
    rows.add(Metric::FirstFrame, milliseconds(bench.cost.time));
    let rumours: Vec<Rumour> = (1..bench.size.instances)
        .map(|number| rumour(&bench.size, number, Liveness::Alive))
        .collect();
    let (first, rest) = rumours.split_at(RUMOURS_PER_FRAME.min(rumours.len()));
    bench.cost = Cost::default();
    send_rumours(bench, first.to_vec());
    rows.add(Metric::StartRumours, milliseconds(bench.cost.time));
    send_rumours(bench, rest.to_vec());
}

fn send_rumours(bench: &mut Bench, rumours: Vec<Rumour>) {
    let frame = Frame { rumours, ..bench.frame(1) };
    bench.handle(Event::Frame(Box::new(frame)));
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

/// Measures the cost without changes: processor time in microseconds per second, frames and bytes
/// per second.
fn idle(bench: &mut Bench, rows: &mut Rows) -> Cost {
    let mut costs: Vec<Cost> = (0..REPEATS).map(|_| bench.cost_of(SETTLE_TIME, |_| {})).collect();
    costs.sort_by_key(|cost| cost.time);
    let median_cost = costs[REPEATS / 2];
    let seconds = SETTLE_TIME.as_secs_f64();
    let time = median_cost.time.as_secs_f64() * 1e6 / seconds;
    rows.add(Metric::IdleTime, time);
    rows.add(Metric::IdleFrames, median_cost.frames as f64 / seconds);
    rows.add(Metric::IdleSent, median_cost.sent as f64 / seconds);
    rows.add(Metric::IdleReceived, median_cost.received as f64 / seconds);
    median_cost
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * KILO
}

struct Measure {
    bench: Bench,
    publisher: Publisher,
    /// Cost of the machine during `SETTLE_TIME` without changes.
    idle: Cost,
    rows: Rows,
    /// Number of the instance lost last; the next one lost has the number below.
    last_lost: usize,
}

impl Measure {
    /// Returns the median processor time in milliseconds and the median number of bytes sent, each
    /// above the cost without changes.
    fn cost_above_idle(&self, costs: &[Cost]) -> (f64, f64) {
        let time = |cost: &Cost| milliseconds(cost.time) - milliseconds(self.idle.time);
        let sent = |cost: &Cost| cost.sent as f64 - self.idle.sent as f64;
        let times = costs.iter().map(time).collect();
        let sent = costs.iter().map(sent).collect();
        (median(times), median(sent))
    }

    fn measure_changes(&mut self) {
        let mut costs = Vec::new();
        let mut copy_times = Vec::new();
        for repeat in 0..REPEATS {
            let service = repeat % self.bench.size.services();
            let body = fleet::entry(service, 2000 + repeat as u32);
            let record = self.publisher.record(body);
            self.bench.publish(std::slice::from_ref(&record));
            let peer = self.bench.peer();
            let mut frame = self.bench.frame(peer);
            frame.records.push(record);
            let copy = frame.clone();
            let handle_frame = |bench: &mut Bench| bench.handle(Event::Frame(Box::new(frame)));
            costs.push(self.bench.cost_of(SETTLE_TIME, handle_frame));
            self.bench.cost = Cost::default();
            self.bench.handle(Event::Frame(Box::new(copy)));
            copy_times.push(milliseconds(self.bench.cost.time) * KILO);
        }
        let (time, sent) = self.cost_above_idle(&costs);
        self.rows.add(Metric::ChangeTime, time);
        self.rows.add(Metric::ChangeCopyTime, median(copy_times));
        self.rows.add(Metric::ChangeSent, sent);
    }

    /// Measures a digest of a peer that differs in one bucket.
    fn measure_bucket(&mut self) {
        let mut times = Vec::new();
        let mut sent = Vec::new();
        for repeat in 0..REPEATS {
            let mut frame = self.bench.frame(2);
            let mut digest = self.bench.peers.digest(true);
            digest.contents[repeat] ^= 1;
            frame.digest = Some(digest);
            self.bench.cost = Cost::default();
            self.bench.handle(Event::Frame(Box::new(frame)));
            times.push(milliseconds(self.bench.cost.time));
            sent.push(self.bench.cost.sent as f64 / KILO);
        }
        self.rows.add(Metric::BucketTime, median(times));
        self.rows.add(Metric::BucketSent, median(sent));
    }

    /// Measures the time in which the gather and leaf machines apply a view, and counts the owners
    /// in the view.
    fn measure_views(&mut self) {
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
        self.rows.add(Metric::OwnersPerQuery, owner_count(&view) as f64);
        self.rows.add(Metric::MostServicesOwned, most_services_owned(&view) as f64);
    }

    /// Measures an instance failure: peers report the instance as suspected, and as dead one second
    /// later.
    fn measure_failures(&mut self) {
        let mut costs = Vec::new();
        for _ in 0..REPEATS.min(self.bench.size.instances / 4) {
            self.last_lost -= 1;
            costs.push(self.lose(&[self.last_lost]));
        }
        let (time, sent) = self.cost_above_idle(&costs);
        self.rows.add(Metric::FailureTime, time);
        self.rows.add(Metric::FailureSent, sent);
    }

    fn lose(&mut self, lost_instances: &[usize]) -> Cost {
        let size = self.bench.size;
        let rumours = |liveness| {
            let lost_rumours = lost_instances.iter().map(|&number| rumour(&size, number, liveness));
            lost_rumours.collect::<Vec<_>>()
        };
        let suspect = rumours(Liveness::Suspect);
        let dead = rumours(Liveness::Dead);
        self.bench.dead.extend(lost_instances);
        self.bench.cost_of(SETTLE_TIME, |bench| {
            schedule_rumours(bench, Duration::ZERO, &suspect);
            schedule_rumours(bench, Duration::from_secs(1), &dead);
        })
    }

    /// Measures a replacement: the platform lists a successor in place of an instance, and the
    /// successor becomes live.
    fn measure_replacements(&mut self) {
        let mut costs = Vec::new();
        for _ in 0..REPEATS.min(self.bench.size.instances / 4) {
            self.last_lost -= 1;
            self.bench.dead.insert(self.last_lost);
            let successor = self.last_lost + 2 * self.bench.size.instances;
            let withdrawal = self.publisher.record(fleet::withdrawn(self.last_lost));
            let body = fleet::instance(&self.bench.size, successor);
            let records = vec![withdrawal, self.publisher.record(body)];
            self.bench.publish(&records);
            let frame = Frame {
                records,
                rumours: vec![rumour(&self.bench.size, successor, Liveness::Alive)],
                ..self.bench.frame(1)
            };
            let handle_frame = |bench: &mut Bench| bench.handle(Event::Frame(Box::new(frame)));
            costs.push(self.bench.cost_of(SETTLE_TIME, handle_frame));
        }
        let (time, sent) = self.cost_above_idle(&costs);
        self.rows.add(Metric::ReplacementTime, time);
        self.rows.add(Metric::ReplacementSent, sent);
    }

    /// Measures the loss of all instances of one zone at once.
    fn measure_zone_loss(&mut self) {
        let zones = self.bench.size.zones;
        let lost_instances: Vec<usize> =
            (4..self.last_lost).filter(|number| number % zones == 1 % zones).collect();
        let cost = self.lose(&lost_instances);
        let (time, sent) = self.cost_above_idle(&[cost]);
        self.rows.add(Metric::ZoneTime, time);
        self.rows.add(Metric::ZoneViews, cost.views as f64);
        self.rows.add(Metric::ZoneSent, sent / KILO);
    }
}

/// Schedules gossip updates in full frames that arrive one millisecond apart.
fn schedule_rumours(bench: &mut Bench, delay: Duration, rumours: &[Rumour]) {
    for (number, rumours_of_frame) in rumours.chunks(RUMOURS_PER_FRAME).enumerate() {
        let frame = Frame { rumours: rumours_of_frame.to_vec(), ..bench.frame(2) };
        let delay = delay + Duration::from_millis(number as u64);
        bench.schedule(delay, Event::Frame(Box::new(frame)));
    }
}

/// Returns the number of owners of the services of the first index.
fn owner_count(view: &View) -> usize {
    let versions = view.indexes.get(index_name(0).as_str());
    let shards = versions.map_or(&[][..], |versions| &versions[0].shards);
    let services = shards.iter().filter_map(|shard| view.service(&shard.service));
    let owners = services.filter_map(|service| service.owner());
    let names: Set<&str> = owners.map(|owner| &*owner.peer.name).collect();
    names.len()
}

/// Returns the number of services of the instance that owns the most.
fn most_services_owned(view: &View) -> usize {
    let mut counts: Map<&str, usize> = Map::default();
    for owner in view.services.values().filter_map(|service| service.owner()) {
        *counts.entry(&owner.peer.name).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
}
