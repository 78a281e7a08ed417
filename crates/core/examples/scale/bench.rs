//! Test bench that drives one control machine and simulates its peers and the platform.

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

/// Interval between two probes from a peer that probes this instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two digests from peers.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of a frame between two instances.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Number of instances that probe this instance; it probes as many itself.
const PROBING_PEERS: usize = 3;

/// Processor time, frames and bytes that the machine used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cost {
    pub(crate) time: Duration,
    pub(crate) frames: u64,
    pub(crate) sent: u64,
    pub(crate) received: u64,
    pub(crate) views: u64,
}

/// Control machine with simulated peers, which answer its probes and send it probes and digests.
pub(crate) struct Bench {
    pub(crate) size: Size,
    pub(crate) machine: Machine,
    pub(crate) now: Instant,
    pub(crate) cost: Cost,
    pub(crate) view: Option<Arc<View>>,
    /// Records that the peers have; their digests are calculated from this store.
    pub(crate) peers: Store,
    /// Instances that no longer answer probes and send no digests.
    pub(crate) dead: Set<usize>,
    random: Random,
    queue: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
}

impl Bench {
    /// Creates the bench for instance 0 of a fleet.
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
            cost: Cost::default(),
            view: None,
            peers: Store::default(),
            dead: Set::default(),
            random: Random::new(11),
            queue: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Returns a frame from a peer without content.
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

    /// Returns a random peer that is not dead; never this instance.
    pub(crate) fn peer(&mut self) -> usize {
        loop {
            let peer = 1 + self.random.below(self.size.instances - 1);
            if !self.dead.contains(&peer) {
                return peer;
            }
        }
    }

    /// Adds records to the store of the simulated peers.
    pub(crate) fn publish(&mut self, records: &[Record]) {
        for record in records {
            self.peers.apply(record);
        }
    }

    pub(crate) fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    pub(crate) fn page(&mut self, records: Vec<Record>, head: u64) {
        self.handle(Event::Page(Page { head, records, ..Page::default() }));
    }

    /// Passes an event to the machine at once and simulates the replies to its actions.
    pub(crate) fn handle(&mut self, event: Event) {
        if let Event::Frame(frame) = &event {
            self.cost.received += frame.encoded_len() as u64;
        }
        let mut out = Vec::new();
        let before = std::time::Instant::now();
        self.machine.handle(self.now, event, &mut out);
        self.cost.time += before.elapsed();
        for action in out {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, frame } => self.count_sent(&to, *frame),
            Action::Watch(read) => {
                let head = self.peers.revision();
                let page = Page { head, records: Vec::new(), ..Page::default() };
                self.schedule(read.wait.max(NETWORK_DELAY), Event::Page(page));
            }
            Action::View(view) => {
                self.cost.views += 1;
                self.view = Some(view);
            }
            Action::Log(_) | Action::Generation(_) => {}
            Action::Refused { refusal, .. } => {
                panic!("{} was refused: {}", refusal.key, refusal.detail)
            }
            Action::Count(_) => {}
        }
    }

    fn count_sent(&mut self, to: &str, frame: Frame) {
        self.cost.frames += 1;
        self.cost.sent += frame.encoded_len() as u64;
        if frame.probes.is_empty() {
            return;
        }
        let number = (1..self.size.instances).find(|&number| instance_address(number) == *to);
        if let Some(number) = number.filter(|number| !self.dead.contains(number)) {
            let answer = Frame { acknowledgements: frame.probes, ..self.frame(number) };
            self.schedule(NETWORK_DELAY, Event::Frame(Box::new(answer)));
        }
    }

    /// Advances the virtual clock by `span` while the peers send probes and digests at their
    /// intervals.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        self.schedule_probes(span);
        self.schedule_digests(span);
        loop {
            let wake_time = self.machine.next_wake();
            let next_event_time = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next_time = next_event_time
                .map_or(wake_time, |next_event_time| next_event_time.min(wake_time))
                .max(self.now);
            if next_time > end {
                break;
            }
            self.now = next_time;
            let event = match self.queue.first_entry() {
                Some(entry) if entry.key().0 <= next_time => entry.remove(),
                _ => Event::Tick,
            };
            self.handle(event);
        }
        self.now = end;
    }

    fn schedule_probes(&mut self, span: Duration) {
        let count = micros(span) / micros(PROBE_INTERVAL);
        for round in 0..count {
            for probing_peer in 1..=PROBING_PEERS.min(self.size.instances - 1) {
                let mut frame = self.frame(probing_peer);
                frame.probes.push(Probe { number: round });
                let delay = PROBE_INTERVAL * round as u32 + NETWORK_DELAY * probing_peer as u32;
                self.schedule(delay, Event::Frame(Box::new(frame)));
            }
        }
    }

    fn schedule_digests(&mut self, span: Duration) {
        let count = micros(span) / micros(DIGEST_INTERVAL);
        for round in 0..count {
            let peer = self.peer();
            let mut frame = self.frame(peer);
            frame.probes.push(Probe { number: round });
            frame.digest = Some(self.peers.digest(true));
            let delay = DIGEST_INTERVAL * round as u32 + DIGEST_INTERVAL / 2;
            self.schedule(delay, Event::Frame(Box::new(frame)));
        }
    }

    /// Returns the cost of a closure together with the given span of virtual time after it.
    pub(crate) fn cost_of(&mut self, span: Duration, act: impl FnOnce(&mut Self)) -> Cost {
        self.cost = Cost::default();
        act(self);
        self.run(span);
        self.cost
    }
}
