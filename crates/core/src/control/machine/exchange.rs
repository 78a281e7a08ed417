//! Frames to and from peers.

use std::sync::Arc;

use ladder_schema::publication::Record;
use ladder_schema::wire::{Departure, Digest, Frame, Probe, Rumour};

use super::{DEFERRALS, FANOUT, FEW_BUCKETS, FIRST_READ, GOSSIP, Machine, START_PEERS, UNDER_WAY};
use crate::control::Action;
use crate::control::belief::Belief;
use crate::control::membership::{Life, Member};
use crate::control::spread::{self, News};
use crate::time::Instant;

/// Where a peer is reached.
#[derive(Clone, Debug)]
pub(super) struct Contact {
    address: Arc<str>,
    /// It stands in another zone, as far as is known.
    far: bool,
}

impl Contact {
    pub(super) fn send(&self, frame: Frame, out: &mut Vec<Action>) {
        send(&self.address, frame, out);
    }
}

impl Machine {
    pub(super) fn frame(&mut self, now: Instant, frame: Frame, out: &mut Vec<Action>) {
        let mut reply = Frame::default();
        match self.membership.heard(now, &frame) {
            Life::Ignored if frame.from == *self.settings.name => return,
            Life::Ignored | Life::Known => {}
            Life::Joined => reply.rumours = self.membership.doubts(),
            Life::Doubted(rumour) | Life::Outlived(rumour) => reply.rumours.push(rumour),
        }
        let generation = self.membership.own().generation;
        for rumour in &frame.rumours {
            self.membership.rumour(now, rumour);
        }
        let raised = self.membership.own().generation;
        if raised != generation {
            out.push(Action::Log(Belief::Outlived { before: generation, now: raised }));
            out.push(Action::Generation(raised));
        }
        self.reader.heard_age(now, frame.platform_age_ms);
        self.acknowledged(&frame.acknowledgements);
        let tells = !(frame.crashes.is_empty() && frame.quarantines.is_empty());
        if tells {
            self.update_quarantine(now, &frame.from, out, |held| held.merge(now, &frame));
        }
        let mut news = self.apply(now, &frame.records, out);
        news.departures = self.depart(frame.departures).departures;
        self.note(&news, &frame.from, out);
        self.tell(now, &news, &frame.address, out);
        if let Some(digest) = &frame.digest {
            self.reader.heard_digest(now);
            reply.digest = self.store.is_vague(digest).then(|| self.digest());
            if digest.quarantine != self.quarantine.digest() {
                // By the digest the peer finds out whether it holds more. One that has told all that it holds
                // needs none: full, both would answer each other without end.
                if !tells {
                    reply.digest.get_or_insert_with(|| self.summary());
                }
                self.quarantine.write(now, &mut reply);
            }
            self.compare(now, &frame.address, digest, &mut reply, out);
        }
        self.supply(&frame.address, &frame.wanted, out);
        if !frame.details.is_empty() {
            reply.wanted_parts = self.store.differing_parts(&frame.details);
            self.supply_parts(&frame.address, &reply.wanted_parts, out);
        }
        self.supply_parts(&frame.address, &frame.wanted_parts, out);
        reply.acknowledgements = frame.probes;
        let far = self.membership.is_far(&frame.zone);
        self.answer(&frame.address, far, reply, out);
    }

    /// Hashes of all that this instance holds.
    fn digest(&self) -> Digest {
        Digest { quarantine: self.quarantine.digest(), ..self.store.digest() }
    }

    /// One hash of all records beside that of the quarantine.
    fn summary(&self) -> Digest {
        Digest { quarantine: self.quarantine.digest(), ..self.store.summary() }
    }

    fn acknowledged(&mut self, acknowledgements: &[Probe]) {
        if acknowledgements.iter().any(|probe| self.asked.contains(&probe.number)) {
            self.peer_answered = true;
            self.asked.clear();
        }
    }

    /// Sends a peer our records of the buckets in which its digest differs, and asks for its own
    /// unless it has none. Of large buckets that it has too, it first gets the hashes of the parts,
    /// and answers with what differs.
    fn compare(
        &mut self,
        now: Instant,
        to: &str,
        digest: &Digest,
        reply: &mut Frame,
        out: &mut Vec<Action>,
    ) {
        let differing = self.store.differing(digest);
        if self.is_under_way(now, differing.len()) {
            return;
        }
        let holds = |at: &u32| digest.buckets.get(*at as usize).is_none_or(|&hash| hash != 0);
        let (held, missing): (Vec<u32>, Vec<u32>) = differing.iter().partition(|at| holds(at));
        if self.store.is_large() {
            reply.details = self.store.details(&held);
            self.supply(to, &missing, out);
            return;
        }
        self.supply(to, &differing, out);
        reply.wanted = held;
    }

    /// Whether a small difference is most likely a change that is just being passed on. Sending
    /// whole buckets for it would cost far more than the change; a few digests later it is not.
    fn is_under_way(&mut self, now: Instant, differing: usize) -> bool {
        let recent = now.since(self.store_changed_at) < UNDER_WAY;
        let few = (1..=FEW_BUCKETS).contains(&differing);
        if recent && few && self.deferred < DEFERRALS {
            self.deferred += 1;
            return true;
        }
        self.deferred = 0;
        false
    }

    fn supply(&self, to: &str, buckets: &[u32], out: &mut Vec<Action>) {
        if buckets.is_empty() {
            return;
        }
        let records = self.store.records_of(buckets);
        let departures = self.store.departures_of(buckets);
        self.supply_all(to, &records, departures, out);
    }

    fn supply_parts(&self, to: &str, parts: &[u32], out: &mut Vec<Action>) {
        if parts.is_empty() {
            return;
        }
        let records = self.store.records_of_parts(parts);
        let departures = self.store.departures_of_parts(parts);
        self.supply_all(to, &records, departures, out);
    }

    fn supply_all(
        &self,
        to: &str,
        records: &[Arc<Record>],
        departures: Vec<Departure>,
        out: &mut Vec<Action>,
    ) {
        let records = records.iter().map(|record| Record::clone(record)).collect();
        let news = News { records, departures };
        for part in news.parts() {
            send(&to.into(), part.into_frame(self.blank()), out);
        }
    }

    fn answer(&mut self, to: &str, far: bool, mut reply: Frame, out: &mut Vec<Action>) {
        let worth = !reply.acknowledgements.is_empty()
            || !reply.rumours.is_empty()
            || !reply.wanted.is_empty()
            || !reply.details.is_empty()
            || !reply.wanted_parts.is_empty()
            || !reply.quarantines.is_empty()
            || !reply.crashes.is_empty()
            || reply.digest.is_some();
        if worth && !to.is_empty() {
            reply.rumours.extend(self.membership.take_rumours(far));
            send(&to.into(), self.signed(reply), out);
        }
    }

    pub(super) fn probe_neighbours(&mut self, out: &mut Vec<Action>) {
        let neighbours = self.membership.neighbours();
        let contacts: Vec<Contact> = neighbours.map(|member| self.contact(member)).collect();
        for to in contacts {
            self.probe += 1;
            let frame = Frame {
                probes: vec![Probe { number: self.probe }],
                rumours: self.membership.take_rumours(to.far),
                ..self.blank()
            };
            to.send(frame, out);
        }
    }

    /// Neighbours alone would pass a rumour on only a few places of the ring at a time.
    pub(super) fn gossip(&mut self, out: &mut Vec<Action>) {
        if self.membership.has_rumours(false) {
            let targets = self.near_peers(GOSSIP);
            self.tell_rumours(&targets, out);
        }
        if self.membership.has_rumours(true) {
            let targets = self.peers(1);
            self.tell_rumours(&targets, out);
        }
    }

    fn tell_rumours(&mut self, targets: &[Contact], out: &mut Vec<Action>) {
        for to in targets {
            let rumours: Vec<Rumour> = self.membership.take_rumours(to.far);
            if !rumours.is_empty() {
                let frame = self.blank();
                to.send(Frame { rumours, ..frame }, out);
            }
        }
    }

    /// Compares digests with a random peer, with a lost one and, while unanswered, with seeds.
    pub(super) fn exchange(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut targets = match self.peer_answered {
            true => self.peers(1),
            false => self.near_peers(START_PEERS),
        };
        let lost: Vec<Contact> =
            self.membership.lost().map(|member| self.contact(member)).collect();
        targets.extend(self.random.pick(&lost, 1));
        if !self.peer_answered || targets.is_empty() {
            let seeds = self.settings.seeds.iter();
            let seeds: Vec<_> = seeds.filter(|seed| **seed != self.settings.address).collect();
            let picked = self.random.pick(&seeds, START_PEERS);
            let contact = |seed: &Arc<str>| Contact { address: Arc::clone(seed), far: true };
            targets.extend(picked.into_iter().map(contact));
        }
        targets.sort_by(|one, other| one.address.cmp(&other.address));
        targets.dedup_by(|one, other| one.address == other.address);
        for to in targets {
            self.ask(now, &to, out);
        }
    }

    /// Tells a peer what this instance holds, so that both learn what the other holds more.
    ///
    /// An instance that starts asks the platform and peers at the same moment. It tells peers what it
    /// holds when the platform has answered: before, each would send it the whole publication.
    pub(super) fn ask(&mut self, now: Instant, to: &Contact, out: &mut Vec<Action>) {
        self.probe += 1;
        let digest = match self.peer_answered {
            true => Some(self.summary()),
            false if self.reader.tried() || now.since(self.started) >= FIRST_READ => {
                self.asked.insert(self.probe);
                Some(self.digest())
            }
            false => None,
        };
        let frame = Frame {
            probes: vec![Probe { number: self.probe }],
            rumours: self.membership.take_rumours(to.far),
            digest,
            ..self.blank()
        };
        to.send(frame, out);
    }

    /// Sends news to a few peers, who pass on what is news to them. More than one frame of it is
    /// left to digests, as most of it is known to most peers.
    pub(super) fn tell(&mut self, now: Instant, news: &News, except: &str, out: &mut Vec<Action>) {
        if news.is_empty() {
            return;
        }
        let mut parts = news.parts();
        let small = parts.len() == 1;
        let mut targets = self.near_peers(FANOUT + 1);
        targets.retain(|to| *to.address != *except);
        targets.truncate(FANOUT);
        let Some(part) = parts.pop().filter(|_| small) else {
            targets.iter().for_each(|to| self.ask(now, to, out));
            return;
        };
        for to in targets {
            to.send(part.clone().into_frame(self.blank()), out);
        }
    }

    /// Random members that may be sent to.
    pub(super) fn peers(&mut self, count: usize) -> Vec<Contact> {
        let contacts: Vec<Contact> = self.contacts().collect();
        self.random.pick(&contacts, count)
    }

    /// The same, of this instance's zone as far as there are that many.
    ///
    /// Each zone has readers of its own, so news rarely has to cross, and what crosses is paid for by
    /// the byte. A zone whose readers hear nothing learns of it by digests.
    pub(super) fn near_peers(&mut self, count: usize) -> Vec<Contact> {
        let (far, near): (Vec<_>, Vec<_>) = self.contacts().partition(|contact| contact.far);
        let mut picked = self.random.pick(&near, count);
        let left = count - picked.len();
        picked.extend(self.random.pick(&far, left));
        picked
    }

    fn contacts(&self) -> impl Iterator<Item = Contact> {
        let reachable = self.membership.reachable();
        reachable.filter(|member| !member.address.is_empty()).map(|member| self.contact(member))
    }

    fn contact(&self, member: &Member) -> Contact {
        let far = self.membership.is_far(&member.zone);
        Contact { address: Arc::clone(&member.address), far }
    }

    pub(super) fn blank(&self) -> Frame {
        self.signed(Frame::default())
    }

    fn signed(&self, frame: Frame) -> Frame {
        spread::signed(&self.settings, self.membership.own().generation, frame)
    }
}

fn send(to: &Arc<str>, frame: Frame, out: &mut Vec<Action>) {
    out.push(Action::Send { to: Arc::clone(to), frame: Box::new(frame) });
}
