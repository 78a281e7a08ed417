//! Has peers aggregate the remote parts of sweeps, and takes the merged replies.
//!
//! Partial aggregation saves traffic between zones: one merged message is transferred instead of a
//! response for each part. In return, those parts depend on one more instance. A peer therefore
//! has to report progress by the sweep's target time; if it does not, this instance requests the
//! peer's parts again itself.

use std::collections::BTreeMap;
use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire::{Collect, Pending, Reply};

use super::aggregator_selection::PartialAggregator;
use super::event::Action;
use super::failover::{MAX_WAKE_DELAY, OwnerLoss};
use super::machine::Machine;
use super::peers::PeerKey;
use super::query::{PortionState, Query, QueryKey};
use super::reply::{self, SendingLocation};
use crate::collections::Set;
use crate::time::{Instant, micros};
use crate::view::Peer;

/// Round-trip time to a peer that is assumed until it has been measured.
pub(super) const ASSUMED_ROUND_TRIP: Duration = Duration::from_millis(2);
/// Time reserved, in addition to the round trip, for the peer's own queues.
const PEER_QUEUEING_TIME: Duration = Duration::from_millis(2);
/// Time after a sweep's target time within which the progress report of a partial aggregator is
/// still accepted.
///
/// Only a lost peer sends no report, and its parts are late by then in any case. With 4 ms, peers
/// on a quarter of a core were wrongly considered lost eight times during one test day with slow
/// servers, and their parts ran at more servers than the routes allow.
const PROGRESS_REPORT_GRACE: Duration = Duration::from_millis(15);
/// Longest message body, in bytes, that is sent between instances: sweeps with a longer body are
/// not delegated to partial aggregators.
const MAX_AGGREGATED_BODY_BYTES: usize = 16 * 1024;

impl Machine {
    /// Selects the peers that aggregate portions of a query for this instance, with the services
    /// that each peer handles.
    pub(super) fn partial_aggregators(
        &mut self,
        now: Instant,
        key: QueryKey,
    ) -> Vec<PartialAggregator> {
        let query = &self.queries[key];
        let (Some(zone), Some(route)) = (&self.settings.zone, &query.route) else {
            return Vec::new();
        };
        let message = query.request.message.as_ref();
        let is_small =
            message.is_some_and(|message| message.body.len() <= MAX_AGGREGATED_BODY_BYTES);
        if !is_small || !route.is_sweep() || query.terms.unrepeatable {
            return Vec::new();
        }
        let local_instance = self.settings.local_instance(zone);
        let mut aggregators = self.aggregator_selector.assign(
            now,
            &self.view,
            local_instance,
            &query.index,
            &self.peers,
        );
        let homes = &route.spec.homes;
        aggregators.retain(|one| self.peer_may_receive(homes, &one.peer.name));
        aggregators
    }

    /// Returns whether messages of a route that is restricted to the regions `homes` may be sent
    /// to a peer, by the peer's zone.
    fn peer_may_receive(&self, homes: &[String], peer: &str) -> bool {
        let zone = self.aggregator_selector.zone(peer);
        homes.is_empty() || zone.is_some_and(|zone| self.view.is_home(homes, zone))
    }

    /// Selects the instance that a portion is sent to after its previous receiver was lost or
    /// refused it.
    ///
    /// If a service's servers have too few connections for every instance, one instance calls them
    /// for all, and the portion goes to the next candidate for that role. If every instance sent
    /// the parts of a lost aggregator itself, each would open connections that the servers do not
    /// have.
    pub(super) fn next_peer(
        &mut self,
        now: Instant,
        key: QueryKey,
        position: usize,
    ) -> Option<Peer> {
        let query = &self.queries[key];
        let portion = &query.portions[position];
        let peers = &self.peers;
        let is_skipped = |name: &str| {
            let peer = peers.find(name);
            let was_sent = portion.sendings.iter().any(|sending| Some(sending.peer) == peer);
            was_sent || peers.is_silent(name, now)
        };
        let homes = query.route.as_ref().map_or(&[][..], |route| &route.spec.homes);
        let outside_home_regions: Set<&str> = match homes {
            [] => Set::default(),
            homes => {
                let names = self.view.neighbours.iter().map(|one| &*one.peer.name);
                names.filter(|name| !self.peer_may_receive(homes, name)).collect()
            }
        };
        let is_skipped = |name: &str| is_skipped(name) || outside_home_regions.contains(name);
        if let (Some(zone), Some(route)) = (&self.settings.zone, &query.route)
            && route.is_sweep()
        {
            let local_instance = self.settings.local_instance(zone);
            let service = &portion.requested.service;
            let next = self.aggregator_selector.next(
                &self.view,
                local_instance,
                &query.index,
                service,
                is_skipped,
            );
            if let Some(next) = next {
                return Some(next.clone());
            }
        }
        self.choose_owner(now, &portion.requested.service, &portion.sendings)
            .map(|candidate| candidate.peer.clone())
    }

    /// Takes replies whose records were merged into the part of the first reply; they are accepted
    /// or rejected together.
    ///
    /// If one of the replies is not acceptable, its records cannot be separated from the others,
    /// and an answer would contain records of parts that it does not name. In this case no reply
    /// is accepted, and the portions that are still open are sent again.
    pub(super) fn handle_merged_replies(
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
        let key = *self.query_by_number.get(&first.query).ok_or(Reason::StaleAnswer)?;
        let query = &self.queries[key];
        let (number, incarnation) = (first.query, first.incarnation);
        let is_same_query =
            |reply: &&Reply| (reply.query, reply.incarnation) == (number, incarnation);
        let locations = replies.iter().map(|reply| reply::match_sending(query, peer, reply));
        let locations: Vec<Option<SendingLocation>> = locations.map(Result::ok).collect();
        let is_acceptable = |(location, reply): (&Option<SendingLocation>, &Reply)| {
            let open = location.is_some_and(|location| query.portions[location.portion].is_open());
            open && reply.verdict() == Verdict::Ran && reply.reason() == Reason::Unspecified
        };
        let distinct: Set<usize> =
            locations.iter().flatten().map(|location| location.portion).collect();
        let is_complete = distinct.len() == first.merged as usize
            && replies.len() == first.merged as usize
            && replies.iter().all(|reply| is_same_query(&reply))
            && locations.iter().zip(&replies).all(is_acceptable);
        for (location, reply) in locations.into_iter().zip(replies) {
            match (location, is_complete) {
                (Some(location), true) => {
                    self.record_reply(now, key, location, &reply);
                    let query = &mut self.queries[key];
                    let parts = reply::in_order(query, location.portion, reply.parts);
                    query.close_portion(location.portion, PortionState::Covered(parts));
                }
                (Some(location), false) => self.drop_records(now, key, location, &reply, out),
                (None, _) => {}
            }
        }
        self.finish_if_settled(now, key, out);
        if is_complete { Ok(()) } else { Err(Reason::StaleAnswer) }
    }

    /// Takes a valid reply without its records, which cannot be used, and sends the portion again
    /// if it is still open.
    fn drop_records(
        &mut self,
        now: Instant,
        key: QueryKey,
        location: SendingLocation,
        reply: &Reply,
        out: &mut Vec<Action>,
    ) {
        let (verdict, reason) = (Verdict::MayHaveRun.into(), Reason::OwnerLost.into());
        let reply = Reply { verdict, reason, parts: Vec::new(), ..reply.clone() };
        self.record_reply(now, key, location, &reply);
        if self.queries[key].portions[location.portion].is_open() {
            self.handle_refusal(now, key, location.portion, &reply, out);
        }
    }

    /// Takes a peer's report that it still aggregates some parts: the peer is alive, and this
    /// instance keeps waiting for it.
    pub(super) fn handle_pending(&mut self, now: Instant, from: &str, pending: &Pending) {
        let Some(peer) = self.peers.find(from) else {
            return;
        };
        self.peers.record_message(peer, now);
        if pending.incarnation != self.settings.incarnation {
            return;
        }
        if let Some(&key) = self.query_by_number.get(&pending.query) {
            self.mark_round_reported(key, peer, pending.round);
        }
    }

    /// Marks all portions of one work message as reported on: a peer that reported on one of them
    /// also received the others.
    pub(super) fn mark_round_reported(&mut self, key: QueryKey, peer: PeerKey, round: u32) {
        let portions = self.queries[key].portions.iter_mut();
        for sending in portions.flat_map(|portion| &mut portion.sendings) {
            sending.has_reported |= sending.peer == peer && sending.round == round;
        }
    }

    /// Returns the peers that aggregate open portions of a query and have not reported yet, each
    /// with the positions of these portions.
    fn unreported_portions(&self, key: QueryKey) -> BTreeMap<PeerKey, Vec<usize>> {
        let mut peers: BTreeMap<PeerKey, Vec<usize>> = BTreeMap::new();
        let portions = self.queries[key].portions.iter().enumerate();
        for (position, portion) in portions.filter(|(_, portion)| portion.is_open()) {
            for sending in portion.sendings.iter().filter(|sending| sending.owes_report()) {
                peers.entry(sending.peer).or_default().push(position);
            }
        }
        peers
    }

    /// Sends portions again whose partial aggregator should have reported by now; returns when to
    /// check again.
    ///
    /// The peer's silence limit, which is derived from its reply times, would be too long here:
    /// the reply times of sweeps are close to the target time, and four times that exceeds many
    /// deadlines.
    pub(super) fn check_aggregators(
        &mut self,
        now: Instant,
        key: QueryKey,
        out: &mut Vec<Action>,
    ) -> Instant {
        let query = &self.queries[key];
        let (wake_at, answer_at) = (query.timer, query.answer_at);
        let report_due_at = (query.timely_at + PROGRESS_REPORT_GRACE).min(answer_at);
        let unreported_portions = self.unreported_portions(key);
        if unreported_portions.is_empty() {
            return answer_at;
        }
        if wake_at < report_due_at {
            return report_due_at;
        }
        if now.since(wake_at) > MAX_WAKE_DELAY {
            // This process itself was delayed: reports of peers may have arrived and not been read
            // yet.
            return (now + MAX_WAKE_DELAY).min(answer_at);
        }
        for (peer, portions) in unreported_portions {
            self.peers.mark_silent(peer, now);
            self.fail_over_portions(now, key, peer, &portions, OwnerLoss::Silent, out);
        }
        answer_at
    }
}

/// Builds the terms under which a peer aggregates the parts of a query; `round_trip` is the
/// round-trip time to the peer.
pub(super) fn aggregation_terms(
    now: Instant,
    query: &Query,
    round_trip: Option<Duration>,
) -> Option<Collect> {
    let top = query.route.as_ref()?.spec.top;
    let left = query.timely_at.since(now);
    let reserved = round_trip.unwrap_or(ASSUMED_ROUND_TRIP) + PEER_QUEUEING_TIME;
    Some(Collect { top, timely_us: micros(left - reserved.min(left / 2)) })
}
