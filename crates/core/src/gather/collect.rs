//! Has peers collect the far parts of sweeps, and takes what they collected.
//!
//! What it buys is bytes between zones: one merged message crosses in place of a response of each
//! part. What it costs is a dependence on one more instance for those parts, so a peer has to speak
//! when the sweep's target comes, and what it holds is asked for from here if it does not.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire::{Collect, Pending, Reply};

use super::event::Action;
use super::failover::LATE;
use super::machine::Machine;
use super::peers::PeerKey;
use super::query::{Progress, Query, QueryKey, Sending, State};
use super::reply::{self, Place};
use super::timers::Timer;
use crate::collections::{Map, Set};
use crate::time::{Instant, micros};
use crate::view::Peer;

/// Taken for the time on the ways to a peer and back until it is learned.
const ASSUMED_WAY: Duration = Duration::from_millis(2);
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
    pub(super) fn collectors(&mut self, now: Instant, key: QueryKey) -> Map<Arc<str>, Peer> {
        let query = &self.queries[key];
        let (Some(zone), Some(route)) = (&self.settings.zone, &query.route) else {
            return Map::default();
        };
        let message = query.request.message.as_ref();
        let small = message.is_some_and(|message| message.body.len() <= BODY_BYTES);
        if !small || !route.is_sweep() || query.terms.unrepeatable {
            return Map::default();
        }
        let found = self.near.collectors(now, &self.view, zone, &query.index, &self.peers);
        let by_service = |(peer, services): (Peer, Arc<Set<Arc<str>>>)| {
            let services: Vec<Arc<str>> = services.iter().cloned().collect();
            services.into_iter().map(move |service| (service, peer.clone()))
        };
        found.into_iter().flat_map(by_service).collect()
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

    /// When peers that collect parts of a query must have spoken.
    pub(super) fn speak_at(&self, query: &Query) -> Option<Instant> {
        let at = (query.timely_at + SPEAK).min(query.answer_at);
        let mut portions = query.portions.iter().filter(|portion| portion.is_open());
        let awaited = portions.any(|portion| portion.sendings.iter().any(|one| self.owes(one)));
        awaited.then_some(at)
    }

    /// A peer holds what was sent and has not said that it still collects.
    fn owes(&self, sending: &Sending) -> bool {
        let remote = self.peers.get(sending.peer).is_some_and(|state| !state.local);
        sending.collected && remote && sending.progress == Progress::Open && !sending.spoke
    }

    /// Asks from here for what peers hold that did not speak in time; `at` is when they had to.
    ///
    /// It must not wait for the silence that is learned from reply times: those of sweeps are near
    /// the target themselves, and four of them are beyond many a deadline.
    pub(super) fn unspoken(
        &mut self,
        now: Instant,
        at: Instant,
        key: QueryKey,
        out: &mut Vec<Action>,
    ) -> bool {
        let query = &self.queries[key];
        let mut peers: Map<PeerKey, Vec<usize>> = Map::default();
        for (position, portion) in query.portions.iter().enumerate() {
            let open = portion.sendings.iter().filter(|one| portion.is_open() && self.owes(one));
            open.for_each(|sending| peers.entry(sending.peer).or_default().push(position));
        }
        if peers.is_empty() {
            return true;
        }
        if now.since(at) > LATE {
            // This process itself did not run: the peers' words may wait unread.
            return false;
        }
        let mut peers: Vec<(PeerKey, Vec<usize>)> = peers.into_iter().collect();
        peers.sort_unstable();
        for (peer, portions) in peers {
            self.peers.silence(peer, now);
            self.leave_silent(now, key, peer, &portions, out);
        }
        true
    }

    /// Wakes a query at another time.
    pub(super) fn set_timer(&mut self, key: QueryKey, at: Instant) {
        let query = &mut self.queries[key];
        self.timers.remove(query.timer, Timer::Query(key));
        query.timer = at;
        self.timers.add(at, Timer::Query(key));
    }
}

/// How a peer is to collect the parts of a query; `way` is what the ways to it and back take.
pub(super) fn terms(now: Instant, query: &Query, way: Option<Duration>) -> Option<Collect> {
    let top = query.route.as_ref()?.spec.top;
    let left = query.timely_at.since(now);
    let kept = way.unwrap_or(ASSUMED_WAY) + QUEUES;
    Some(Collect { top, timely_us: micros(left - kept.min(left / 2)) })
}
