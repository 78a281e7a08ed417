//! Measures how a catalogue change spreads through control machines that are connected by simulated
//! links.

use std::collections::BTreeMap;
use std::time::Duration;

use ladder_core::control::{Action, Event, Machine, Settings};
use ladder_core::schema::publication::{Page, Record};
use ladder_core::time::{Instant, micros};
use prost::Message;

use crate::fleet::{self, Publisher, Size, instance_address, instance_name};
use crate::random::median;
use crate::table::{Metric, Part, Row};

const SIZES: [Size; 4] = [
    fleet::size(9, 106, 3),
    fleet::size(24, 106, 3),
    fleet::size(72, 106, 3),
    fleet::size(200, 106, 3),
];
/// Delay of a frame from one machine to the next.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Delay of a frame if the receiver creates a large view before it sends its own frames.
const SLOW_NETWORK_DELAY: Duration = Duration::from_millis(230);
/// Virtual time from the start of a fleet until it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(15);
/// Virtual time during which frames are counted.
const WINDOW_LENGTH: Duration = Duration::from_secs(8);
/// Number of hops within which an instance counts as reached by forwarding; digests arrive later.
const MAX_FORWARD_HOPS: u32 = 30;
/// Number of measured changes.
const CHANGES: u32 = 20;

pub(crate) fn measure() -> Vec<Row> {
    let quick = SIZES.iter().flat_map(|size| measure_spread(Part::Spread, NETWORK_DELAY, size));
    let slow = SIZES[2..].iter();
    let slow = slow.flat_map(|size| measure_spread(Part::SlowSpread, SLOW_NETWORK_DELAY, size));
    quick.chain(slow).collect()
}

fn measure_spread(part: Part, hop: Duration, size: &Size) -> Vec<Row> {
    let mut fleet = Fleet::new(*size, hop);
    fleet.run(SETTLE_TIME);
    let idle = fleet.run_window(|_| {});
    let mut hops_to_half = Vec::new();
    let mut hops_to_all = Vec::new();
    let mut missed_percent = Vec::new();
    let mut copies = Vec::new();
    let mut sent_bytes = Vec::new();
    let mut bucket_requests = Vec::new();
    for change in 0..CHANGES {
        let window = fleet.run_window(|fleet| fleet.publish_change(change));
        let mut hops = fleet.forward_hops();
        hops.sort_unstable();
        hops_to_half.push(hops[hops.len() / 2] as f64);
        hops_to_all.push(hops[hops.len() - 1] as f64);
        let unreached = size.instances - hops.len();
        missed_percent.push(100.0 * unreached as f64 / size.instances as f64);
        copies.push(fleet.copies as f64 / size.instances as f64);
        sent_bytes.push(window.bytes - idle.bytes);
        bucket_requests.push(window.bucket_requests);
    }
    let seconds = WINDOW_LENGTH.as_secs_f64();
    let instances = size.instances as f64;
    let missed_mean = missed_percent.iter().sum::<f64>() / f64::from(CHANGES);
    let row = |metric, value| Row::new(part, *size, metric, value);
    vec![
        row(Metric::IdleFrames, idle.frames / seconds / instances),
        row(Metric::IdleSent, idle.bytes / seconds / instances),
        row(Metric::HopsHalf, median(hops_to_half)),
        row(Metric::HopsAll, median(hops_to_all)),
        row(Metric::Copies, median(copies)),
        row(Metric::Missed, missed_mean),
        row(Metric::ChangeSent, median(sent_bytes) / instances),
        row(Metric::BucketsAsked, median(bucket_requests) / instances),
    ]
}

#[derive(Clone, Copy, Default)]
struct Window {
    frames: f64,
    bytes: f64,
    /// Number of frames that request digest buckets that differ.
    bucket_requests: f64,
}

struct Fleet {
    hop: Duration,
    now: Instant,
    machines: Vec<Machine>,
    numbers_by_address: BTreeMap<String, usize>,
    queue: BTreeMap<(Instant, u64), (usize, Event)>,
    sequence: u64,
    publisher: Publisher,
    records: Vec<Record>,
    window: Window,
    /// Revision of the current change, and the time of its publication.
    change: (u64, Instant),
    /// Time at which each instance first applied the change.
    applied_at: Vec<Option<Instant>>,
    /// Number of frames that contained the change.
    copies: u64,
}

impl Fleet {
    fn new(size: Size, hop: Duration) -> Self {
        let now = Instant::from_millis(1000);
        let mut publisher = Publisher::default();
        let records = publisher.all(&size);
        let machine = |number: usize| {
            let settings = Settings::builder(&instance_name(number), &instance_address(number))
                .fleet("fleet")
                .zone(&size.zone(number))
                .seed(number as u64)
                .build();
            Machine::new(settings, now)
        };
        let mut fleet = Self {
            hop,
            now,
            machines: (0..size.instances).map(machine).collect(),
            numbers_by_address: (0..size.instances)
                .map(|number| (instance_address(number), number))
                .collect(),
            queue: BTreeMap::new(),
            sequence: 0,
            publisher,
            records,
            window: Window::default(),
            change: (u64::MAX, now),
            applied_at: vec![None; size.instances],
            copies: 0,
        };
        (0..size.instances).for_each(|number| fleet.handle(number, Event::Tick));
        fleet
    }

    /// Publishes a change; one platform reader receives it from the platform.
    fn publish_change(&mut self, number: u32) {
        let record = self.publisher.record(fleet::entry(0, 2000 + number));
        self.change = (record.revision, self.now);
        self.applied_at.fill(None);
        self.copies = 0;
        let page = Page { head: record.revision, records: vec![record], ..Page::default() };
        let first = number as usize % self.machines.len();
        self.handle(first, Event::Page(page));
    }

    /// Returns the number of hops to each instance that forwarding reached.
    fn forward_hops(&self) -> Vec<u64> {
        let applied_at = self.applied_at.iter().flatten();
        let spans = applied_at.map(|at| at.since(self.change.1));
        let forwarded = spans.filter(|span| *span <= self.hop * MAX_FORWARD_HOPS);
        forwarded.map(|span| micros(span) / micros(self.hop)).collect()
    }

    fn run_window(&mut self, act: impl FnOnce(&mut Self)) -> Window {
        self.window = Window::default();
        act(self);
        self.run(WINDOW_LENGTH);
        self.window
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let wake_times = self.machines.iter().map(Machine::next_wake);
            let wake_time = wake_times.min().unwrap_or(end);
            let next_event_time = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next_time = next_event_time
                .map_or(wake_time, |next_event_time| next_event_time.min(wake_time))
                .max(self.now);
            if next_time > end {
                break;
            }
            self.now = next_time;
            self.step();
        }
        self.now = end;
    }

    fn step(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (number, event) = entry.remove();
            self.handle(number, event);
        }
        for number in 0..self.machines.len() {
            if self.machines[number].next_wake() <= self.now {
                self.handle(number, Event::Tick);
            }
        }
    }

    fn handle(&mut self, number: usize, event: Event) {
        let mut out = Vec::new();
        self.machines[number].handle(self.now, event, &mut out);
        for action in out {
            self.perform(number, action);
        }
    }

    fn perform(&mut self, number: usize, action: Action) {
        match action {
            Action::Send { to, frame } => {
                self.window.frames += 1.0;
                self.window.bytes += frame.encoded_len() as f64;
                let revision = self.change.0;
                let contains_change =
                    frame.records.iter().any(|record| record.revision == revision);
                self.copies += u64::from(contains_change);
                let to = self.numbers_by_address[&*to];
                self.window.bucket_requests += f64::from(u8::from(!frame.wanted.is_empty()));
                self.schedule(to, self.hop, Event::Frame(frame));
            }
            Action::Watch(read) => {
                let is_first_read = read.after == 0;
                let records = if is_first_read { self.records.clone() } else { Vec::new() };
                let page = Page { head: self.publisher.revision, records, ..Page::default() };
                let delay = if is_first_read { self.hop } else { read.wait.max(self.hop) };
                self.schedule(number, delay, Event::Page(page));
            }
            Action::View(view) => {
                let applied_at = &mut self.applied_at[number];
                if view.revision >= self.change.0 && applied_at.is_none() {
                    *applied_at = Some(self.now);
                }
            }
            Action::Refused { .. } | Action::Log(_) | Action::Generation(_) | Action::Count(_) => {}
        }
    }

    fn schedule(&mut self, number: usize, delay: Duration, event: Event) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.queue.insert(key, (number, event));
    }
}
