//! One control machine whose peers and platform are played by the bench.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ladder_core::collections::Set;
use ladder_core::control::store::Store;
use ladder_core::control::{Action, Event, Machine, Settings};
use ladder_core::schema::bounds::PROTOCOL;
use ladder_core::schema::publication::{Page, Record};
use ladder_core::schema::wire::{Frame, Probe};
use ladder_core::time::{Instant, micros};
use ladder_core::view::View;
use prost::Message;

use crate::fleet::{Size, instance_address, instance_name};
use crate::random::Random;

/// Period of a neighbour's probes and of a peer's digest.
const PROBE: Duration = Duration::from_millis(250);
const DIGEST: Duration = Duration::from_secs(1);
const HOP: Duration = Duration::from_millis(1);
/// Instances that probe this one, as it probes three.
const PREDECESSORS: usize = 3;

/// What a machine has spent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Spent {
    pub(crate) time: Duration,
    pub(crate) frames: u64,
    pub(crate) sent: u64,
    pub(crate) received: u64,
    pub(crate) views: u64,
}

/// A machine with peers that answer its probes and send it theirs.
pub(crate) struct Bench {
    pub(crate) size: Size,
    pub(crate) machine: Machine,
    pub(crate) now: Instant,
    pub(crate) spent: Spent,
    pub(crate) view: Option<Arc<View>>,
    /// What the peers know, so that their digests agree.
    pub(crate) peers: Store,
    /// Instances that answer and ask no more.
    pub(crate) dead: Set<usize>,
    random: Random,
    queue: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
}

impl Bench {
    /// The instance 0 of a fleet.
    pub(crate) fn new(size: Size) -> Self {
        let now = Instant::from_millis(1000);
        let settings = Settings::builder(&instance_name(0), &instance_address(0))
            .fleet("fleet")
            .zone(&size.zone(0))
            .seed(7)
            .build();
        Self {
            size,
            machine: Machine::new(settings, now),
            now,
            spent: Spent::default(),
            view: None,
            peers: Store::default(),
            dead: Set::default(),
            random: Random::new(11),
            queue: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// A blank frame of a peer.
    pub(crate) fn frame(&self, number: usize) -> Frame {
        Frame {
            protocol: PROTOCOL,
            fleet: "fleet".to_owned(),
            from: instance_name(number),
            incarnation: 1,
            generation: 1,
            address: instance_address(number),
            zone: self.size.zone(number),
            ..Frame::default()
        }
    }

    /// Some live peer, never this instance.
    pub(crate) fn peer(&mut self) -> usize {
        loop {
            let peer = 1 + self.random.below(self.size.instances - 1);
            if !self.dead.contains(&peer) {
                return peer;
            }
        }
    }

    /// Tells the peers of records.
    pub(crate) fn publish(&mut self, records: &[Record]) {
        for record in records {
            self.peers.apply(record);
        }
    }

    pub(crate) fn at(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    pub(crate) fn page(&mut self, records: Vec<Record>, head: u64) {
        self.give(Event::Page(Page { head, records, ..Page::default() }));
    }

    /// Gives an event at once and plays the answers to what follows.
    pub(crate) fn give(&mut self, event: Event) {
        if let Event::Frame(frame) = &event {
            self.spent.received += frame.encoded_len() as u64;
        }
        let mut out = Vec::new();
        let before = std::time::Instant::now();
        self.machine.handle(self.now, event, &mut out);
        self.spent.time += before.elapsed();
        for action in out {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { to, frame } => self.sent(&to, *frame),
            Action::Watch(read) => {
                let head = self.peers.revision();
                let page = Page { head, records: Vec::new(), ..Page::default() };
                self.at(read.wait.max(HOP), Event::Page(page));
            }
            Action::View(view) => {
                self.spent.views += 1;
                self.view = Some(view);
            }
            Action::Log(_) | Action::Generation(_) => {}
            Action::Refused { record, detail, .. } => panic!("{record} was refused: {detail}"),
            Action::Count(_) => {}
        }
    }

    fn sent(&mut self, to: &str, frame: Frame) {
        self.spent.frames += 1;
        self.spent.sent += frame.encoded_len() as u64;
        if frame.probes.is_empty() {
            return;
        }
        let number = (1..self.size.instances).find(|&number| instance_address(number) == *to);
        if let Some(number) = number.filter(|number| !self.dead.contains(number)) {
            let answer = Frame { acknowledgements: frame.probes, ..self.frame(number) };
            self.at(HOP, Event::Frame(Box::new(answer)));
        }
    }

    /// Lets time pass with what peers send by the protocol.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        self.expect_probes(span);
        self.expect_digests(span);
        loop {
            let wake = self.machine.next_wake();
            let first = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next = first.map_or(wake, |first| first.min(wake)).max(self.now);
            if next > end {
                break;
            }
            self.now = next;
            let event = match self.queue.first_entry() {
                Some(entry) if entry.key().0 <= next => entry.remove(),
                _ => Event::Tick,
            };
            self.give(event);
        }
        self.now = end;
    }

    fn expect_probes(&mut self, span: Duration) {
        let count = micros(span) / micros(PROBE);
        for round in 0..count {
            for predecessor in 1..=PREDECESSORS.min(self.size.instances - 1) {
                let mut frame = self.frame(predecessor);
                frame.probes.push(Probe { number: round });
                let delay = PROBE * round as u32 + HOP * predecessor as u32;
                self.at(delay, Event::Frame(Box::new(frame)));
            }
        }
    }

    fn expect_digests(&mut self, span: Duration) {
        let count = micros(span) / micros(DIGEST);
        for round in 0..count {
            let peer = self.peer();
            let mut frame = self.frame(peer);
            frame.probes.push(Probe { number: round });
            frame.digest = Some(self.peers.digest());
            let delay = DIGEST * round as u32 + DIGEST / 2;
            self.at(delay, Event::Frame(Box::new(frame)));
        }
    }

    /// What a closure and the given span after it have spent.
    pub(crate) fn spend(&mut self, span: Duration, act: impl FnOnce(&mut Self)) -> Spent {
        self.spent = Spent::default();
        act(self);
        self.run(span);
        self.spent
    }
}
