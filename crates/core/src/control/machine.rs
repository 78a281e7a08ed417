//! The control machine: turns frames, platform pages and time into views.

use std::sync::Arc;

use ladder_schema::outcome::Reason;
use ladder_schema::publication::{Kind, Page, Record};
use ladder_schema::wire::{Digest, Frame, Liveness, Probe, Rumour};

use super::hash::Random;
use super::membership::{Life, Member, Membership};
use super::project::Projection;
use super::reader::{self, Reader};
use super::settings::Settings;
use super::spread::{self, News};
use super::store::{Key, Outcome, Refusal, Store};
use super::{Action, Event};
use crate::collections::Set;
use crate::count::{self, Count};
use crate::time::{Instant, micros};
use crate::view::View;

/// Random peers that news is sent to at once.
const FANOUT: usize = 4;
/// Random peers that hear rumours at each probe, besides the neighbours.
const GOSSIP: usize = 2;
/// Peers told directly of the own leaving.
const FAREWELLS: usize = 32;
/// Peers asked at once by an instance that knows nothing.
const START_PEERS: usize = 2;
/// How long a start waits for a peer's answer once the platform has answered or failed.
const START_WAIT: std::time::Duration = std::time::Duration::from_secs(1);

/// What one instance knows of the fleet and the publication.
///
/// # Start
///
/// An instance that starts with nothing reads the platform once and asks seeds and listed peers. It
/// is ready when it knows a catalogue entry and an index, the platform has answered or failed, and
/// a peer has answered, none is known, or [`START_WAIT`] has passed. If no source answers, it never
/// becomes ready and callers are refused with `REASON_NOT_READY`; it goes on asking.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    store: Store,
    membership: Membership,
    reader: Reader,
    projection: Projection,
    random: Random,
    started: Instant,
    next_probe: Instant,
    next_digest: Instant,
    /// Number of the last probe sent.
    probe: u64,
    /// Numbers of probes sent with a digest before the first answer.
    asked: Set<u64>,
    /// A peer has answered a digest.
    peer_answered: bool,
    /// The store has changed since the last view.
    store_changed: bool,
}

impl Machine {
    /// A machine that knows nothing but its settings.
    pub fn new(settings: Settings, now: Instant) -> Self {
        let mut random = Random::new(settings.seed);
        let offset = |span, random: &mut Random| {
            now + std::time::Duration::from_micros(random.below(micros(span)))
        };
        Self {
            store: Store::default(),
            membership: Membership::new(&settings, now),
            reader: Reader::new(now, settings.timing.digest, &mut random),
            projection: Projection::default(),
            started: now,
            next_probe: offset(settings.timing.probe, &mut random),
            next_digest: now,
            probe: 0,
            asked: Set::default(),
            peer_answered: false,
            store_changed: true,
            random,
            settings,
        }
    }

    /// Takes in an event and appends what follows from it.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Frame(frame) => self.frame(now, *frame, out),
            Event::Page(page) => self.page(now, &page, out),
            Event::WatchFailed => self.reader.failed(now, &mut self.random),
            Event::LinkDown(name) => self.membership.link_down(now, &name),
            Event::ServerLeaving {
                server,
                incarnation,
            } => self.server_leaving(now, &server, incarnation, out),
            Event::Paused(_) => self.paused(now, out),
            Event::Drain => self.drain(now, out),
            Event::Tick => {}
        }
        self.advance(now, out);
    }

    /// When the machine wants an [`Event::Tick`], unless another event comes first.
    pub fn next_wake(&self) -> Instant {
        let mut wake = self.next_probe.min(self.next_digest);
        let read = self.reader.next_wake(self.is_reader(), self.read_timing());
        if let Some(read) = read {
            wake = wake.min(read);
        }
        wake
    }

    /// This instance as a member.
    pub const fn own(&self) -> &Member {
        self.membership.own()
    }

    /// All other members with liveness, incarnation and what they rest on.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members()
    }

    /// Whether an instance may be given work, in the view of this one.
    pub fn standing(&self, name: &str) -> Liveness {
        self.membership.standing(name)
    }

    /// Records in force with their revision, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = (&Key, &Arc<Record>)> {
        self.store.records()
    }

    /// Refused records with the reason.
    pub fn refused(&self) -> impl Iterator<Item = &Refusal> {
        self.store.refused()
    }

    /// The last view, with owner and candidates of each service.
    pub const fn view(&self) -> &Arc<View> {
        self.projection.view()
    }

    /// Whether this instance is one of those that watch the platform.
    pub fn is_reader(&self) -> bool {
        let own = self.membership.own();
        let zone = &own.zone;
        let alive = |member: &&Member| member.liveness == Liveness::Alive && member.zone == *zone;
        let others = self.membership.members().filter(alive);
        own.liveness == Liveness::Alive
            && reader::chosen(&own.name, others.map(|member| &*member.name))
    }

    const fn read_timing(&self) -> reader::Timing {
        reader::Timing {
            digest: self.settings.timing.digest,
            watch: self.settings.timing.watch,
        }
    }

    fn advance(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now >= self.next_probe {
            self.next_probe = now + self.settings.timing.probe;
            self.membership.tick(now);
            self.probe_neighbours(out);
            self.gossip(out);
        }
        if now >= self.next_digest {
            self.next_digest = now + self.settings.timing.digest;
            self.exchange(out);
        }
        let is_reader = self.is_reader();
        let timing = self.read_timing();
        if let Some(read) = self.reader.poll(now, is_reader, timing, &mut self.random) {
            out.push(Action::Watch {
                after: read.after,
                wait: read.wait,
            });
        }
        self.project(now, out);
    }

    fn project(&mut self, now: Instant, out: &mut Vec<Action>) {
        let ready = self.projection.view().ready || self.may_serve(now);
        let became_ready = ready != self.projection.view().ready;
        let members_changed = self.membership.take_changed();
        if !std::mem::take(&mut self.store_changed) && !members_changed && !became_ready {
            return;
        }
        let (settings, membership) = (&self.settings, &self.membership);
        let projection = &mut self.projection;
        if let Some(view) = projection.refresh(&self.store, membership, settings, ready) {
            out.push(Action::View(view));
        }
    }

    fn may_serve(&self, now: Instant) -> bool {
        let known = self.store.entries().next().is_some() && self.store.indexes().next().is_some();
        let alone = self.settings.seeds.is_empty() && self.membership.members().next().is_none();
        let waited = now.since(self.started) >= START_WAIT;
        known && self.reader.tried() && (self.peer_answered || alone || waited)
    }

    fn page(&mut self, now: Instant, page: &Page, out: &mut Vec<Action>) {
        let last = page.records.iter().map(|record| record.revision).max();
        self.reader.answered(now, last, page.head);
        let news = self.apply(now, &page.records, out);
        self.tell(&news, "", out);
    }

    /// Applies records and returns those that were news.
    fn apply(&mut self, now: Instant, records: &[Record], out: &mut Vec<Action>) -> News {
        let mut news = News::default();
        let mut instances_changed = false;
        for record in records {
            match self.store.apply(record) {
                Outcome::Applied => {
                    instances_changed |= Key::of(record).kind == Kind::Instance;
                    news.records.push(record.clone());
                }
                Outcome::Known => {}
                Outcome::Stale => out.push(drop_count(Reason::StaleRevision)),
                Outcome::Refused(refusal) => {
                    out.push(drop_count(Reason::BadRecord));
                    out.push(Action::Refused {
                        record: refusal.key.to_string(),
                        revision: refusal.revision,
                        detail: refusal.detail,
                    });
                }
            }
        }
        self.store_changed |= !news.records.is_empty();
        if instances_changed {
            self.membership.publish(now, self.store.instances());
        }
        news
    }

    fn server_leaving(&mut self, now: Instant, name: &str, at: u64, out: &mut Vec<Action>) {
        let departure = ladder_schema::wire::Departure {
            server: name.to_owned(),
            incarnation: at,
        };
        let news = self.depart(now, vec![departure]);
        self.tell(&news, "", out);
    }

    fn depart(&mut self, _now: Instant, seen: Vec<ladder_schema::wire::Departure>) -> News {
        let mut news = News::default();
        for departure in seen {
            if self.store.depart(&departure.server, departure.incarnation) {
                news.departures.push(departure);
            }
        }
        self.store_changed |= !news.departures.is_empty();
        news
    }

    fn paused(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.membership.resumed(now);
        self.reader.resumed(now);
        for to in self.peers(FANOUT) {
            self.ask(&to, out);
        }
    }

    fn drain(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.membership.leave(now);
        for to in self.peers(FAREWELLS) {
            let frame = self.blank();
            let rumours = vec![self.membership.own().as_rumour()];
            send(&to, Frame { rumours, ..frame }, out);
        }
    }

    fn frame(&mut self, now: Instant, frame: Frame, out: &mut Vec<Action>) {
        let mut reply = self.blank();
        match self.membership.heard(now, &frame) {
            Life::Ignored if frame.from == *self.settings.name => return,
            Life::Ignored | Life::Known => {}
            Life::Joined => reply.rumours = self.membership.doubts(),
            Life::Doubted(rumour) => reply.rumours.push(rumour),
        }
        for rumour in &frame.rumours {
            self.membership.rumour(now, rumour);
        }
        self.acknowledged(&frame.acknowledgements);
        let mut news = self.apply(now, &frame.records, out);
        news.departures = self.depart(now, frame.departures).departures;
        self.tell(&news, &frame.address, out);
        if let Some(digest) = &frame.digest {
            self.reader.heard_digest(now);
            self.compare(&frame.address, digest, &mut reply, out);
        }
        self.supply(&frame.address, &frame.wanted, out);
        reply.acknowledgements = frame.probes;
        self.answer(&frame.address, reply, out);
    }

    fn acknowledged(&mut self, acknowledgements: &[Probe]) {
        if acknowledgements
            .iter()
            .any(|probe| self.asked.contains(&probe.number))
        {
            self.peer_answered = true;
            self.asked.clear();
        }
    }

    /// Sends a peer our records of the buckets in which its digest differs, and asks for its own
    /// unless it has none.
    fn compare(&mut self, to: &str, digest: &Digest, reply: &mut Frame, out: &mut Vec<Action>) {
        let differing = self.store.differing(digest);
        self.supply(to, &differing, out);
        let holds = |at: &u32| {
            digest
                .buckets
                .get(*at as usize)
                .is_none_or(|&hash| hash != 0)
        };
        reply.wanted = differing.into_iter().filter(holds).collect();
    }

    fn supply(&self, to: &str, buckets: &[u32], out: &mut Vec<Action>) {
        if buckets.is_empty() {
            return;
        }
        let records = self.store.records_of(buckets);
        let records = records.iter().map(|record| Record::clone(record)).collect();
        let departures = self.store.departures_of(buckets);
        let news = News {
            records,
            departures,
        };
        for part in news.parts() {
            send(&to.into(), part.into_frame(self.blank()), out);
        }
    }

    fn answer(&mut self, to: &str, mut reply: Frame, out: &mut Vec<Action>) {
        let worth = !reply.acknowledgements.is_empty()
            || !reply.rumours.is_empty()
            || !reply.wanted.is_empty();
        if worth && !to.is_empty() {
            reply.rumours.extend(self.membership.take_rumours());
            send(&to.into(), reply, out);
        }
    }

    fn probe_neighbours(&mut self, out: &mut Vec<Action>) {
        let neighbours = self.membership.neighbours();
        let addresses: Vec<Arc<str>> = neighbours.map(|member| member.address.clone()).collect();
        for to in addresses {
            self.probe += 1;
            let frame = Frame {
                probes: vec![Probe { number: self.probe }],
                rumours: self.membership.take_rumours(),
                ..self.blank()
            };
            send(&to, frame, out);
        }
    }

    /// Neighbours alone would pass a rumour on only a few places of the ring at a time.
    fn gossip(&mut self, out: &mut Vec<Action>) {
        if !self.membership.has_rumours() {
            return;
        }
        for to in self.peers(GOSSIP) {
            let rumours: Vec<Rumour> = self.membership.take_rumours();
            if !rumours.is_empty() {
                let frame = self.blank();
                send(&to, Frame { rumours, ..frame }, out);
            }
        }
    }

    /// Compares digests with a random peer, with a lost one and, while unanswered, with seeds.
    fn exchange(&mut self, out: &mut Vec<Action>) {
        let count = if self.peer_answered { 1 } else { START_PEERS };
        let mut targets = self.peers(count);
        let lost = self.membership.lost().map(|member| member.address.clone());
        let lost: Vec<Arc<str>> = lost.collect();
        targets.extend(self.random.pick(&lost, 1));
        if !self.peer_answered || targets.is_empty() {
            let seeds = self.settings.seeds.iter();
            let seeds: Vec<_> = seeds
                .filter(|seed| **seed != self.settings.address)
                .collect();
            let picked = self.random.pick(&seeds, START_PEERS);
            targets.extend(picked.into_iter().map(Arc::clone));
        }
        targets.sort();
        targets.dedup();
        for to in targets {
            self.ask(&to, out);
        }
    }

    fn ask(&mut self, to: &Arc<str>, out: &mut Vec<Action>) {
        self.probe += 1;
        if !self.peer_answered {
            self.asked.insert(self.probe);
        }
        let frame = Frame {
            probes: vec![Probe { number: self.probe }],
            rumours: self.membership.take_rumours(),
            digest: Some(self.store.digest()),
            ..self.blank()
        };
        send(to, frame, out);
    }

    /// Sends news to a few peers, who pass on what is news to them. More than one frame of it is
    /// left to digests, as most of it is known to most peers.
    fn tell(&mut self, news: &News, except: &str, out: &mut Vec<Action>) {
        if news.is_empty() {
            return;
        }
        let mut parts = news.parts();
        let small = parts.len() == 1;
        let mut targets = self.peers(FANOUT + 1);
        targets.retain(|to| **to != *except);
        targets.truncate(FANOUT);
        let Some(part) = parts.pop().filter(|_| small) else {
            targets.iter().for_each(|to| self.ask(to, out));
            return;
        };
        for to in targets {
            send(&to, part.clone().into_frame(self.blank()), out);
        }
    }

    /// Addresses of random members that may be sent to.
    fn peers(&mut self, count: usize) -> Vec<Arc<str>> {
        let reachable = self.membership.reachable();
        let addresses = reachable.map(|member| Arc::clone(&member.address));
        let addresses: Vec<_> = addresses.filter(|to| !to.is_empty()).collect();
        self.random.pick(&addresses, count)
    }

    fn blank(&self) -> Frame {
        spread::blank(&self.settings)
    }
}

fn send(to: &Arc<str>, frame: Frame, out: &mut Vec<Action>) {
    out.push(Action::Send {
        to: Arc::clone(to),
        frame: Box::new(frame),
    });
}

const fn drop_count(reason: Reason) -> Action {
    Action::Count(Count {
        event: count::Event::Drop,
        reason,
    })
}
