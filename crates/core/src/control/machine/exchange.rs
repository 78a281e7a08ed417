//! Processing of frames from peers, and sending of frames to peers.

use std::sync::Arc;

use ladder_schema::outcome::Reason;
use ladder_schema::publication::Record;
use ladder_schema::wire::{Departure, Digest, Frame, Liveness, Probe, Rumour};

use super::{
    BROADCAST_FANOUT, DEFERRABLE_BUCKETS, DIGESTS_PER_SEED_CONTACT, FIRST_READ_WAIT, GOSSIP_FANOUT,
    MAX_INTRODUCED_MEMBERS, Machine, PROPAGATION_TIME, START_FANOUT,
    records::{self, Origin},
};
use crate::collections::Set;
use crate::control::Action;
use crate::control::broadcast::{self, PendingChanges};
use crate::control::exchanges::Difference;
use crate::control::membership::{FrameEffect, Member};
use crate::control::state_change::StateChange;
use crate::control::store;
use crate::time::Instant;

/// Address of a peer, and whether the peer is in another zone.
#[derive(Clone, Debug)]
pub(super) struct Contact {
    address: Arc<str>,
    /// Whether the peer is in another zone, as far as this instance knows.
    in_other_zone: bool,
}

impl Contact {
    pub(super) fn send(&self, frame: Frame, out: &mut Vec<Action>) {
        send(&self.address, frame, out);
    }
}

impl Machine {
    pub(super) fn handle_frame(&mut self, now: Instant, mut frame: Frame, out: &mut Vec<Action>) {
        let mut reply = Frame::default();
        match self.membership.receive_frame(now, &frame) {
            FrameEffect::Ignored if frame.from == *self.settings.name => return,
            FrameEffect::Ignored | FrameEffect::NoChange => {}
            FrameEffect::NewMember => {
                reply.rumours = self.membership.not_alive_updates();
                // A starting instance sends its first digest only after a read of the platform.
                if frame.digest.is_none() {
                    self.quarantine.write_to_frame(now, &mut reply);
                }
            }
            FrameEffect::MustRefute(u) | FrameEffect::StaleGeneration(u) => reply.rumours.push(u),
        }
        let generation = self.membership.own().generation;
        reply.members = self.exchange_members(now, &frame);
        for rumour in &frame.rumours {
            self.membership.apply_update(now, rumour);
        }
        let new_generation = self.membership.own().generation;
        if new_generation != generation {
            out.push(Action::Log(StateChange::GenerationRaised {
                before: generation,
                now: new_generation,
            }));
            out.push(Action::Generation(new_generation));
        }
        self.handle_acknowledgements(&frame);
        let reports_quarantine = !(frame.crashes.is_empty() && frame.quarantines.is_empty());
        if reports_quarantine {
            self.update_quarantine(now, &frame.from, out, |quarantine| {
                quarantine.merge(now, &frame)
            });
        }
        let era = frame.digest.as_ref().map_or(0, |digest| digest.era);
        self.learn_era(now, era, &frame.from, out);
        let routes_before = self.route_version();
        let mut changes = self.apply(now, &frame.records, &frame.from, out);
        let departures = std::mem::take(&mut frame.departures);
        changes.departures = self.apply_departures(departures).departures;
        self.log_records(now, &changes, Origin { from: &frame.from, routes_before }, out);
        self.broadcast(now, &changes, &frame.address, out);
        self.compare_records(now, &frame);
        if let Some(digest) = &frame.digest {
            self.handle_digest(now, &frame.address, digest, reports_quarantine, &mut reply, out);
        }
        self.send_buckets(&frame.address, &frame.wanted, out);
        if !frame.details.is_empty() {
            reply.wanted_parts = self.store.differing_parts(&frame.details);
            self.send_parts(&frame.address, &reply.wanted_parts, out);
        }
        self.send_parts(&frame.address, &frame.wanted_parts, out);
        reply.acknowledgements = frame.probes;
        let in_other_zone = self.membership.is_in_other_zone(&frame.zone);
        self.send_reply(&frame.address, in_other_zone, reply, out);
    }

    /// Answers a digest with the records and quarantine entries that differ. `reports_quarantine`: the
    /// frame of the digest contains the peer's whole quarantine.
    fn handle_digest(
        &mut self,
        now: Instant,
        address: &str,
        digest: &Digest,
        reports_quarantine: bool,
        reply: &mut Frame,
        out: &mut Vec<Action>,
    ) {
        let may_exchange = self.may_exchange_records(now, digest);
        let over_contents = store::hashes_contents(digest);
        let lacks_buckets = may_exchange && self.store.lacks_buckets(digest);
        reply.digest = lacks_buckets.then(|| self.digest(over_contents));
        if digest.quarantine != self.quarantine.digest() {
            // From this digest the peer learns whether its quarantine has more entries. A peer that
            // has already sent its whole quarantine gets no digest: two full quarantines would answer
            // each other endlessly.
            if !reports_quarantine {
                reply.digest.get_or_insert_with(|| self.total_digest());
            }
            self.quarantine.write_to_frame(now, reply);
        }
        if may_exchange {
            self.answer_digest(now, address, digest, reply, out);
        }
    }

    /// Takes the members that a peer introduces, and returns those to introduce to it, if it asks.
    fn exchange_members(&mut self, now: Instant, frame: &Frame) -> Vec<Rumour> {
        self.membership.introduce(now, &frame.members);
        match frame.wants_members {
            true => self.known_members(&frame.from),
            false => Vec::new(),
        }
    }

    /// Live members for a peer that has just started: all of them, or as many random ones as one
    /// frame may carry.
    fn known_members(&mut self, receiver: &str) -> Vec<Rumour> {
        let is_live = |member: &&Member| {
            member.liveness == Liveness::Alive
                && !member.address.is_empty()
                && *member.name != *receiver
        };
        let live = self.membership.members().filter(is_live);
        let live: Vec<Rumour> = live.map(Member::to_gossip_update).collect();
        match live.len() {
            0..=MAX_INTRODUCED_MEMBERS => live,
            _ => self.random.pick(&live, MAX_INTRODUCED_MEMBERS),
        }
    }

    /// Digest of all records and of the quarantine, with one hash per bucket of records.
    fn digest(&self, over_contents: bool) -> Digest {
        self.complete_digest(self.store.digest(over_contents))
    }

    /// Digest of all records and of the quarantine, without hashes of buckets.
    fn total_digest(&self) -> Digest {
        self.complete_digest(self.store.total_digest())
    }

    /// Adds to a digest of the records what this instance knows besides.
    fn complete_digest(&self, records: Digest) -> Digest {
        // A record that is held back was read but is not among the records.
        let revision = if self.deferrals.len() == 0 { self.reader.cursor() } else { 0 };
        Digest { quarantine: self.quarantine.digest(), era: self.era, revision, ..records }
    }

    fn handle_acknowledgements(&mut self, frame: &Frame) {
        let is_unanswered = |probe: &Probe| self.unanswered_probes.contains(&probe.number);
        if frame.acknowledgements.iter().any(is_unanswered) {
            self.peer_answered = true;
            if frame.ready {
                self.seeks_ready_peer_until = None;
            }
            if self.seeks_ready_peer_until.is_none() {
                self.unanswered_probes.clear();
            }
        }
    }

    /// Whether records that differ from those of a peer's digest may be exchanged now. While a change
    /// spreads, most differences go away by themselves and do not count.
    fn may_exchange_records(&mut self, now: Instant, digest: &Digest) -> bool {
        let is_spreading = now.since(self.store_changed_at) < PROPAGATION_TIME;
        if is_spreading || self.store.equals(digest) {
            return true;
        }
        let peer = match store::hashes_contents(digest) {
            true => digest.whole_contents,
            false => digest.whole,
        };
        self.exchanges.begin(now, Difference { peer, own: self.store.contents_hash() })
    }

    /// Sends a peer the records of the buckets in which its digest differs, and requests the peer's
    /// records of those buckets, except of buckets that are empty at the peer.
    ///
    /// If the store is large, the peer first gets the hashes of the parts of the differing buckets
    /// that are not empty at the peer, and answers with the parts that differ.
    fn answer_digest(
        &mut self,
        now: Instant,
        address: &str,
        digest: &Digest,
        reply: &mut Frame,
        out: &mut Vec<Action>,
    ) {
        let differing_buckets = self.store.differing_buckets(digest);
        if self.is_still_spreading(now, differing_buckets.len()) {
            out.push(records::count_drop(Reason::StillSpreading));
            return;
        }
        let peer_hashes = store::bucket_hashes(digest);
        let peer_has_records =
            |bucket: &u32| peer_hashes.get(*bucket as usize).is_none_or(|&hash| hash != 0);
        let (shared, missing_at_peer): (Vec<u32>, Vec<u32>) =
            differing_buckets.iter().partition(|bucket| peer_has_records(bucket));
        if self.store.is_large() {
            reply.details = self.store.details(&shared, !digest.contents.is_empty());
            self.send_buckets(address, &missing_at_peer, out);
            return;
        }
        self.send_buckets(address, &differing_buckets, out);
        reply.wanted = shared;
    }

    /// Whether a small difference is most likely a change that is still spreading. Sending whole
    /// buckets for such a change would cost far more than the change itself.
    ///
    /// While records change all the time, some change is always spreading. An instance that has
    /// missed one is told apart by the time for which it has agreed with no peer.
    fn is_still_spreading(&self, now: Instant, differing_buckets: usize) -> bool {
        let is_recent = |since: Instant| now.since(since) < PROPAGATION_TIME;
        let few_differ = (1..=DEFERRABLE_BUCKETS).contains(&differing_buckets);
        few_differ && is_recent(self.store_changed_at) && self.differs_since.is_none_or(is_recent)
    }

    /// Compares the own records with those of a frame's sender, if the frame tells of them. After
    /// the first difference, the next digest follows as soon as the difference counts as a loss.
    fn compare_records(&mut self, now: Instant, frame: &Frame) {
        let differs = match &frame.digest {
            Some(digest) => !self.store.equals(digest),
            None if frame.records_hash == 0 => return,
            None => frame.records_hash != self.store.contents_hash(),
        };
        if !differs {
            self.differs_since = None;
            self.note_peer_reads(now, frame);
        } else if self.differs_since.is_none() {
            self.differs_since = Some(now);
            self.next_digest_at = self.next_digest_at.min(now + PROPAGATION_TIME);
        }
    }

    /// Takes over what a peer that has the same records knows of the platform's answers.
    fn note_peer_reads(&mut self, now: Instant, frame: &Frame) {
        self.reader.note_peer_platform_age(now, frame.platform_age_ms);
        if let Some(digest) = frame.digest.as_ref().filter(|digest| digest.era == self.era) {
            self.reader.note_peer_cursor(digest.era, digest.revision);
        }
    }

    fn send_buckets(&self, address: &str, buckets: &[u32], out: &mut Vec<Action>) {
        if buckets.is_empty() {
            return;
        }
        let records = self.store.records_of(buckets);
        let departures = self.store.departures_of(buckets);
        self.send_records(address, records, departures, out);
    }

    fn send_parts(&self, address: &str, parts: &[u32], out: &mut Vec<Action>) {
        if parts.is_empty() {
            return;
        }
        let records = self.store.records_of_parts(parts);
        let departures = self.store.departures_of_parts(parts);
        self.send_records(address, records, departures, out);
    }

    fn send_records(
        &self,
        address: &str,
        records: Vec<Record>,
        departures: Vec<Departure>,
        out: &mut Vec<Action>,
    ) {
        let changes = PendingChanges { records, departures };
        for chunk in changes.to_chunks() {
            send(&address.into(), chunk.into_frame(self.own_frame()), out);
        }
    }

    fn send_reply(
        &mut self,
        address: &str,
        in_other_zone: bool,
        mut reply: Frame,
        out: &mut Vec<Action>,
    ) {
        let has_content = !reply.acknowledgements.is_empty()
            || !reply.rumours.is_empty()
            || !reply.members.is_empty()
            || !reply.wanted.is_empty()
            || !reply.details.is_empty()
            || !reply.wanted_parts.is_empty()
            || !reply.quarantines.is_empty()
            || !reply.crashes.is_empty()
            || reply.digest.is_some();
        if has_content && !address.is_empty() {
            reply.ready = self.view().ready;
            reply.rumours.extend(self.membership.take_gossip(in_other_zone));
            send(&address.into(), self.with_sender(reply), out);
        }
    }

    pub(super) fn probe_members(&mut self, out: &mut Vec<Action>) {
        let targets = self.membership.probe_targets();
        let contacts: Vec<Contact> = targets.map(|member| self.contact(member)).collect();
        for peer in contacts {
            self.last_probe_number += 1;
            let frame = Frame {
                probes: vec![Probe { number: self.last_probe_number }],
                rumours: self.membership.take_gossip(peer.in_other_zone),
                ..self.own_frame()
            };
            peer.send(frame, out);
        }
    }

    /// Sends gossip updates to random peers; probes of ring successors alone would carry an
    /// update only a few positions along the ring at a time.
    pub(super) fn gossip(&mut self, out: &mut Vec<Action>) {
        if self.membership.has_gossip(false) {
            let peers = self.random_near_peers(GOSSIP_FANOUT);
            self.send_gossip(&peers, out);
        }
        if self.membership.has_gossip(true) {
            let peers = self.random_peers(1);
            self.send_gossip(&peers, out);
        }
    }

    fn send_gossip(&mut self, peers: &[Contact], out: &mut Vec<Action>) {
        for peer in peers {
            let updates: Vec<Rumour> = self.membership.take_gossip(peer.in_other_zone);
            if !updates.is_empty() {
                let frame = self.own_frame();
                peer.send(Frame { rumours: updates, ..frame }, out);
            }
        }
    }

    /// Sends digests to a random peer and to a member considered dead, and also to seeds while no
    /// peer has answered. Once peers have answered, only seeds that are no reachable member are
    /// asked, now and then: they may be on the other side of a former network partition.
    pub(super) fn compare_digests(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut peers = match self.peer_answered {
            true => self.random_peers(1),
            false => self.random_near_peers(START_FANOUT),
        };
        let dead_members: Vec<Contact> =
            self.membership.dead().map(|member| self.contact(member)).collect();
        peers.extend(self.random.pick(&dead_members, 1));
        if !self.peer_answered || peers.is_empty() {
            let seeds: Vec<_> = self.other_seeds().collect();
            peers.extend(self.random.pick(&seeds, START_FANOUT));
        } else {
            let seeds = self.unreached_seeds();
            if !seeds.is_empty() && self.random.below(DIGESTS_PER_SEED_CONTACT) == 0 {
                peers.extend(self.random.pick(&seeds, 1));
            }
        }
        peers.sort_by(|one, other| one.address.cmp(&other.address));
        peers.dedup_by(|one, other| one.address == other.address);
        for peer in peers {
            self.send_digest(now, &peer, out);
        }
    }

    /// Seeds whose address is not that of a reachable member.
    fn unreached_seeds(&self) -> Vec<Contact> {
        let members: Set<&str> =
            self.membership.reachable().map(|member| &*member.address).collect();
        self.other_seeds().filter(|seed| !members.contains(&*seed.address)).collect()
    }

    /// All seeds but this instance itself.
    fn other_seeds(&self) -> impl Iterator<Item = Contact> {
        let seeds = self.settings.seeds.iter();
        let others = seeds.filter(|seed| **seed != self.settings.address);
        others.map(|seed| Contact { address: Arc::clone(seed), in_other_zone: true })
    }

    /// Sends a peer a digest of this instance's records, so that each learns which records the
    /// other lacks.
    ///
    /// A starting instance asks the platform and peers at the same moment, but sends its digest
    /// only after the platform has answered or failed, or after a bounded wait. If it sent the
    /// digest of its empty store before, each peer would send it the whole publication.
    pub(super) fn send_digest(&mut self, now: Instant, peer: &Contact, out: &mut Vec<Action>) {
        self.last_probe_number += 1;
        let digest = match self.peer_answered {
            true => Some(self.total_digest()),
            false if self.reader.tried() || now.since(self.started_at) >= FIRST_READ_WAIT => {
                self.unanswered_probes.insert(self.last_probe_number);
                Some(self.digest(false))
            }
            false => None,
        };
        let frame = Frame {
            probes: vec![Probe { number: self.last_probe_number }],
            rumours: self.membership.take_gossip(peer.in_other_zone),
            digest,
            wants_members: self.settings.starts_gradually() && !self.peer_answered,
            ..self.own_frame()
        };
        peer.send(frame, out);
    }

    /// Sends changes to a few peers, which forward those that are new to them. Changes that need
    /// more than one frame are left to digests, because most peers already have most of them.
    pub(super) fn broadcast(
        &mut self,
        now: Instant,
        changes: &PendingChanges,
        except_address: &str,
        out: &mut Vec<Action>,
    ) {
        if changes.is_empty() {
            return;
        }
        let mut chunks = changes.to_chunks();
        let fits_one_frame = chunks.len() == 1;
        let mut peers = self.random_near_peers(BROADCAST_FANOUT + 1);
        peers.retain(|peer| *peer.address != *except_address);
        peers.truncate(BROADCAST_FANOUT);
        let Some(chunk) = chunks.pop().filter(|_| fits_one_frame) else {
            peers.iter().for_each(|peer| self.send_digest(now, peer, out));
            return;
        };
        for peer in peers {
            peer.send(chunk.clone().into_frame(self.own_frame()), out);
        }
    }

    /// Random members that frames may be sent to.
    pub(super) fn random_peers(&mut self, count: usize) -> Vec<Contact> {
        let contacts: Vec<Contact> = self.contacts().collect();
        self.random.pick(&contacts, count)
    }

    /// Random members that frames may be sent to, preferably of this instance's zone.
    ///
    /// Each zone has platform readers of its own, so changes rarely have to cross zones, and
    /// traffic between zones is billed by the byte. A zone whose readers receive nothing is brought
    /// up to date by digests.
    pub(super) fn random_near_peers(&mut self, count: usize) -> Vec<Contact> {
        let (distant, near): (Vec<_>, Vec<_>) =
            self.contacts().partition(|contact| contact.in_other_zone);
        let mut picked = self.random.pick(&near, count);
        let missing = count - picked.len();
        picked.extend(self.random.pick(&distant, missing));
        picked
    }

    fn contacts(&self) -> impl Iterator<Item = Contact> {
        let reachable = self.membership.reachable();
        reachable.filter(|member| !member.address.is_empty()).map(|member| self.contact(member))
    }

    fn contact(&self, member: &Member) -> Contact {
        let in_other_zone = self.membership.is_in_other_zone(&member.zone);
        Contact { address: Arc::clone(&member.address), in_other_zone }
    }

    pub(super) fn own_frame(&self) -> Frame {
        self.with_sender(Frame::default())
    }

    fn with_sender(&self, frame: Frame) -> Frame {
        broadcast::with_sender(&self.settings, self.membership.own().generation, frame)
    }
}

fn send(to: &Arc<str>, frame: Frame, out: &mut Vec<Action>) {
    out.push(Action::Send { to: Arc::clone(to), frame: Box::new(frame) });
}
