//! Has peers collect the far parts of sweeps, and takes what they collected.
//!
//! What it buys is bytes between zones: one merged message crosses in place of a response of each
//! part. What it costs is a dependence on one more instance for those parts, so a peer has to speak
//! when the sweep's target comes, and what it holds is asked for from here if it does not.

use std::collections::BTreeMap;
use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire::{Collect, Pending, Reply};

use super::event::Action;
use super::failover::{LATE, Loss};
use super::machine::Machine;
use super::near::Collector;
use super::peers::PeerKey;
use super::query::{Query, QueryKey, State};
use super::reply::{self, Place};
use crate::collections::Set;
use crate::time::{Instant, micros};
use crate::view::Peer;

/// Taken for the time on the ways to a peer and back until it is learned.
pub(super) const ASSUMED_WAY: Duration = Duration::from_millis(2);
/// Kept beside it for the peer's own queues.
const QUEUES: Duration = Duration::from_millis(2);
/// How long after a sweep's target the word of a peer may still come that had to speak before it.
///
/// Only a lost peer says nothing, and what it holds is late by then anyway. With 4 ms, peers on a
/// quarter of a core were taken for lost eight times on a day of slow servers, and their parts ran
/// at more servers than the routes allow.
const SPEAK: Duration = Duration::from_millis(15);
/// Requests with a longer body are not sent between instances as well.
const BODY_BYTES: usize = 16 * 1024;

impl Machine {
    /// Who collects which services of a query in place of this instance.
    pub(super) fn collectors(&mut self, now: Instant, key: QueryKey) -> Vec<Collector> {
        let query = &self.queries[key];
        let (Some(zone), Some(route)) = (&self.settings.zone, &query.route) else {
            return Vec::new();
        };
        let message = query.request.message.as_ref();
        let small = message.is_some_and(|message| message.body.len() <= BODY_BYTES);
        if !small || !route.is_sweep() || query.terms.unrepeatable {
            return Vec::new();
        }
        let own = self.settings.own(zone);
        let mut collectors = self.near.collectors(now, &self.view, own, &query.index, &self.peers);
        let homes = &route.spec.homes;
        collectors.retain(|one| self.is_home(homes, &one.peer.name));
        collectors
    }

    /// Whether messages of a route with these homes may go to another instance.
    fn is_home(&self, homes: &[String], peer: &str) -> bool {
        let zone = self.near.zone(peer);
        homes.is_empty() || zone.is_some_and(|zone| self.view.is_home(homes, zone))
    }

    /// Where a portion goes after whoever had it is lost or refuses.
    ///
    /// Where few ask a service's servers for all, that is the next of them. Asked for from here, the
    /// parts of a lost asker would make every instance open connections that the servers don't have.
    pub(super) fn next_peer(&mut self, now: Instant, key: QueryKey, at: usize) -> Option<Peer> {
        let query = &self.queries[key];
        let portion = &query.portions[at];
        let peers = &self.peers;
        let passed = |name: &str| {
            let peer = peers.find(name);
            let tried = portion.sendings.iter().any(|sending| Some(sending.peer) == peer);
            tried || peers.is_silent(name, now)
        };
        let homes = query.route.as_ref().map_or(&[][..], |route| &route.spec.homes);
        let abroad: Set<&str> = match homes {
            [] => Set::default(),
            homes => {
                let names = self.view.neighbours.iter().map(|one| &*one.peer.name);
                names.filter(|name| !self.is_home(homes, name)).collect()
            }
        };
        let passed = |name: &str| passed(name) || abroad.contains(name);
        if let (Some(zone), Some(route)) = (&self.settings.zone, &query.route)
            && route.is_sweep()
        {
            let own = self.settings.own(zone);
            let service = &portion.share.service;
            let next = self.near.next(&self.view, own, &query.index, service, passed);
            if let Some(next) = next {
                return Some(next.clone());
            }
        }
        self.choose(now, &portion.share.service, &portion.sendings)
            .map(|candidate| candidate.peer.clone())
    }

    /// Takes replies that enter together: their records are merged into the first one's part.
    ///
    /// If one of them does not enter, its records cannot be told from the others', and an answer
    /// would name parts that its records are not of: then none enters, and what is still open is
    /// asked for again.
    pub(super) fn collected(
        &mut self,
        now: Instant,
        peer: PeerKey,
        replies: Vec<Reply>,
        out: &mut Vec<Action>,
    ) -> Result<(), Reason> {
        let first = replies.first().ok_or(Reason::WrongAnswer)?;
        if first.incarnation != self.settings.incarnation {
            return Err(Reason::StaleAnswer);
        }
        let key = *self.numbers.get(&first.query).ok_or(Reason::StaleAnswer)?;
        let query = &self.queries[key];
        let (number, incarnation) = (first.query, first.incarnation);
        let same = |reply: &&Reply| (reply.query, reply.incarnation) == (number, incarnation);
        let places = replies.iter().map(|reply| reply::place(query, peer, reply));
        let places: Vec<Option<Place>> = places.map(Result::ok).collect();
        let enters = |(place, reply): (&Option<Place>, &Reply)| {
            let open = place.is_some_and(|place| query.portions[place.portion].is_open());
            open && reply.verdict() == Verdict::Ran && reply.reason() == Reason::Unspecified
        };
        let distinct: Set<usize> = places.iter().flatten().map(|place| place.portion).collect();
        let whole = distinct.len() == first.merged as usize
            && replies.len() == first.merged as usize
            && replies.iter().all(|reply| same(&reply))
            && places.iter().zip(&replies).all(enters);
        for (place, reply) in places.into_iter().zip(replies) {
            match (place, whole) {
                (Some(place), true) => {
                    self.close(now, key, place, &reply);
                    let query = &mut self.queries[key];
                    let parts = reply::in_order(query, place.portion, reply.parts);
                    query.close(place.portion, State::Covered(parts));
                }
                (Some(place), false) => self.without(now, key, place, &reply, out),
                (None, _) => {}
            }
        }
        self.finish_if_settled(now, key, out);
        if whole { Ok(()) } else { Err(Reason::StaleAnswer) }
    }

    /// A valid reply whose records are of no use.
    fn without(
        &mut self,
        now: Instant,
        key: QueryKey,
        place: Place,
        reply: &Reply,
        out: &mut Vec<Action>,
    ) {
        let (verdict, reason) = (Verdict::MayHaveRun.into(), Reason::OwnerLost.into());
        let reply = Reply { verdict, reason, parts: Vec::new(), ..reply.clone() };
        self.close(now, key, place, &reply);
        if self.queries[key].portions[place.portion].is_open() {
            self.refused(now, key, place.portion, &reply, out);
        }
    }

    /// A peer still collects some parts: it lives, and is waited for.
    pub(super) fn pending(&mut self, now: Instant, from: &str, pending: &Pending) {
        let Some(peer) = self.peers.find(from) else {
            return;
        };
        self.peers.heard(peer, now);
        if pending.incarnation != self.settings.incarnation {
            return;
        }
        if let Some(&key) = self.numbers.get(&pending.query) {
            self.spoke(key, peer, pending.round);
        }
    }

    /// A peer said something of what it was sent in one message: it holds the rest of it too.
    pub(super) fn spoke(&mut self, key: QueryKey, peer: PeerKey, round: u32) {
        let portions = self.queries[key].portions.iter_mut();
        for sending in portions.flat_map(|portion| &mut portion.sendings) {
            sending.spoke |= sending.peer == peer && sending.round == round;
        }
    }

    /// Peers that collect open parts of a query and have not spoken, with these parts.
    fn unspoken(&self, key: QueryKey) -> BTreeMap<PeerKey, Vec<usize>> {
        let mut peers: BTreeMap<PeerKey, Vec<usize>> = BTreeMap::new();
        let portions = self.queries[key].portions.iter().enumerate();
        for (position, portion) in portions.filter(|(_, portion)| portion.is_open()) {
            for sending in portion.sendings.iter().filter(|sending| sending.owes_word()) {
                peers.entry(sending.peer).or_default().push(position);
            }
        }
        peers
    }

    /// Asks from here for what peers hold that had to speak by now; says when to look again.
    ///
    /// It must not wait for the silence that is learned from reply times: those of sweeps are near
    /// the target themselves, and four of them are beyond many a deadline.
    pub(super) fn hear_collectors(
        &mut self,
        now: Instant,
        key: QueryKey,
        out: &mut Vec<Action>,
    ) -> Instant {
        let query = &self.queries[key];
        let (due, answer_at) = (query.timer, query.answer_at);
        let speak_at = (query.timely_at + SPEAK).min(answer_at);
        let unspoken = self.unspoken(key);
        if unspoken.is_empty() {
            return answer_at;
        }
        if due < speak_at {
            return speak_at;
        }
        if now.since(due) > LATE {
            // This process itself did not run: the peers' words may wait unread.
            return (now + LATE).min(answer_at);
        }
        for (peer, portions) in unspoken {
            self.peers.silence(peer, now);
            self.leave_query(now, key, peer, &portions, Loss::Silent, out);
        }
        answer_at
    }
}

/// How a peer is to collect the parts of a query; `way` is what the ways to it and back take.
pub(super) fn terms(now: Instant, query: &Query, way: Option<Duration>) -> Option<Collect> {
    let top = query.route.as_ref()?.spec.top;
    let left = query.timely_at.since(now);
    let kept = way.unwrap_or(ASSUMED_WAY) + QUEUES;
    Some(Collect { top, timely_us: micros(left - kept.min(left / 2)) })
}
