//! One catalogue change through control machines that are joined by queues.

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
/// Time of a frame from one machine to the next.
const HOP: Duration = Duration::from_millis(1);
/// The same when the receiver builds a large view before its answers go out.
const SLOW_HOP: Duration = Duration::from_millis(230);
const SETTLE: Duration = Duration::from_secs(15);
const WINDOW: Duration = Duration::from_secs(8);
/// Hops counted as push; digests come later.
const PUSH: u32 = 30;
const CHANGES: u32 = 20;

pub(crate) fn measure() -> Vec<Row> {
    let quick = SIZES.iter().flat_map(|size| one(Part::Spread, HOP, size));
    let slow = SIZES[2..].iter();
    let slow = slow.flat_map(|size| one(Part::SlowSpread, SLOW_HOP, size));
    quick.chain(slow).collect()
}

fn one(part: Part, hop: Duration, size: &Size) -> Vec<Row> {
    let mut fleet = Fleet::new(*size, hop);
    fleet.run(SETTLE);
    let idle = fleet.window(|_| {});
    let mut half = Vec::new();
    let mut all = Vec::new();
    let mut missed = Vec::new();
    let mut copies = Vec::new();
    let mut sent = Vec::new();
    let mut asked = Vec::new();
    for change in 0..CHANGES {
        let window = fleet.window(|fleet| fleet.change(change));
        let mut hops = fleet.hops();
        hops.sort_unstable();
        half.push(hops[hops.len() / 2] as f64);
        all.push(hops[hops.len() - 1] as f64);
        let late = size.instances - hops.len();
        missed.push(100.0 * late as f64 / size.instances as f64);
        copies.push(fleet.copies as f64 / size.instances as f64);
        sent.push(window.bytes - idle.bytes);
        asked.push(window.asked);
    }
    let seconds = WINDOW.as_secs_f64();
    let instances = size.instances as f64;
    let missed_mean = missed.iter().sum::<f64>() / f64::from(CHANGES);
    let row = |metric, value| Row::new(part, *size, metric, value);
    vec![
        row(Metric::IdleFrames, idle.frames / seconds / instances),
        row(Metric::IdleSent, idle.bytes / seconds / instances),
        row(Metric::HopsHalf, median(half)),
        row(Metric::HopsAll, median(all)),
        row(Metric::Copies, median(copies)),
        row(Metric::Missed, missed_mean),
        row(Metric::ChangeSent, median(sent) / instances),
        row(Metric::BucketsAsked, median(asked) / instances),
    ]
}

#[derive(Clone, Copy, Default)]
struct Window {
    frames: f64,
    bytes: f64,
    /// Frames that ask for buckets that differ.
    asked: f64,
}

struct Fleet {
    hop: Duration,
    now: Instant,
    machines: Vec<Machine>,
    places: BTreeMap<String, usize>,
    queue: BTreeMap<(Instant, u64), (usize, Event)>,
    sequence: u64,
    publisher: Publisher,
    records: Vec<Record>,
    window: Window,
    /// Revision of the change at hand and when it was published.
    change: (u64, Instant),
    /// When each instance first had the change in force.
    reached: Vec<Option<Instant>>,
    /// Frames that carried the change.
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
            places: (0..size.instances).map(|number| (instance_address(number), number)).collect(),
            queue: BTreeMap::new(),
            sequence: 0,
            publisher,
            records,
            window: Window::default(),
            change: (u64::MAX, now),
            reached: vec![None; size.instances],
            copies: 0,
        };
        (0..size.instances).for_each(|number| fleet.give(number, Event::Tick));
        fleet
    }

    /// The platform tells one reader of a change.
    fn change(&mut self, number: u32) {
        let record = self.publisher.record(fleet::entry(0, 2000 + number));
        self.change = (record.revision, self.now);
        self.reached.fill(None);
        self.copies = 0;
        let page = Page { head: record.revision, records: vec![record], ..Page::default() };
        let first = number as usize % self.machines.len();
        self.give(first, Event::Page(page));
    }

    /// Hops of the instances that push reached.
    fn hops(&self) -> Vec<u64> {
        let reached = self.reached.iter().flatten();
        let spans = reached.map(|at| at.since(self.change.1));
        let pushed = spans.filter(|span| *span <= self.hop * PUSH);
        pushed.map(|span| micros(span) / micros(self.hop)).collect()
    }

    fn window(&mut self, act: impl FnOnce(&mut Self)) -> Window {
        self.window = Window::default();
        act(self);
        self.run(WINDOW);
        self.window
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let wakes = self.machines.iter().map(Machine::next_wake);
            let wake = wakes.min().unwrap_or(end);
            let first = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next = first.map_or(wake, |first| first.min(wake)).max(self.now);
            if next > end {
                break;
            }
            self.now = next;
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
            self.give(number, event);
        }
        for number in 0..self.machines.len() {
            if self.machines[number].next_wake() <= self.now {
                self.give(number, Event::Tick);
            }
        }
    }

    fn give(&mut self, number: usize, event: Event) {
        let mut out = Vec::new();
        self.machines[number].handle(self.now, event, &mut out);
        for action in out {
            self.act(number, action);
        }
    }

    fn act(&mut self, number: usize, action: Action) {
        match action {
            Action::Send { to, frame } => {
                self.window.frames += 1.0;
                self.window.bytes += frame.encoded_len() as f64;
                let revision = self.change.0;
                let carries = frame.records.iter().any(|record| record.revision == revision);
                self.copies += u64::from(carries);
                let to = self.places[&*to];
                self.window.asked += f64::from(u8::from(!frame.wanted.is_empty()));
                self.at(to, self.hop, Event::Frame(frame));
            }
            Action::Watch(read) => {
                let first = read.after == 0;
                let records = if first { self.records.clone() } else { Vec::new() };
                let page = Page { head: self.publisher.revision, records, ..Page::default() };
                let delay = if first { self.hop } else { read.wait.max(self.hop) };
                self.at(number, delay, Event::Page(page));
            }
            Action::View(view) => {
                let reached = &mut self.reached[number];
                if view.revision >= self.change.0 && reached.is_none() {
                    *reached = Some(self.now);
                }
            }
            Action::Refused { .. } | Action::Log(_) | Action::Generation(_) | Action::Count(_) => {}
        }
    }

    fn at(&mut self, number: usize, delay: Duration, event: Event) {
        self.sequence += 1;
        let at = (self.now + delay, self.sequence);
        self.queue.insert(at, (number, event));
    }
}
