//! Moves portions (sub-requests to single services) away from owners that are lost or silent.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::Reason;

use super::event::Action;
use super::history::Step;
use super::machine::{Machine, count};
use super::peers::PeerKey;
use super::query::{Portion, Progress, Query, QueryKey, Sending};
use super::reply_handling::may_send_again;
use super::timers::Timer;
use crate::collections::{Map, Set};
use crate::count;
use crate::time::Instant;
use crate::view::{Peer, View};

/// Longest delay of a silence timer that still allows a conclusion about the peer. If the timer is
/// handled later, this process itself was delayed, and replies may have arrived and not been read
/// yet.
pub(super) const MAX_WAKE_DELAY: Duration = Duration::from_millis(10);
/// A portion is moved because of silence only if it has been open for at least the query's
/// deadline divided by this number. Without this limit, before reply times are known, an operation
/// that takes seconds would be sent to every candidate within the first fractions of a second.
const SILENCE_DEADLINE_DIVISOR: u32 = 16;

/// Kind of evidence that the owner of a portion is lost, by increasing certainty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnerLoss {
    /// Nothing arrived from the owner for longer than its silence limit; it may still reply.
    Silent,
    /// The membership does not consider the owner alive: it is dead, or it is leaving and finishes
    /// its open work.
    NotLive,
    /// The link to the owner broke, so that no reply can arrive on it.
    LinkBroken,
}

impl Machine {
    /// Handles a broken link to a peer: moves the peer's open portions.
    pub(crate) fn link_down(&mut self, now: Instant, name: &str, out: &mut Vec<Action>) {
        self.refuse_pending_at(now, name, out);
        let Some(peer) = self.peers.find(name) else {
            return;
        };
        self.peers.mark_silent(peer, now);
        self.fail_over_peer(now, peer, OwnerLoss::LinkBroken, out);
    }

    /// Puts a new view into effect: ends quarantined queries and moves portions away from owners
    /// that are no longer alive.
    pub(crate) fn adopt_view(&mut self, now: Instant, view: Arc<View>, out: &mut Vec<Action>) {
        let old_view = std::mem::replace(&mut self.view, view);
        self.planner.clear();
        let view = Arc::clone(&self.view);
        if !Arc::ptr_eq(&old_view.quarantine, &view.quarantine) {
            self.finish_quarantined(now, out);
        }
        self.aggregator_selector.reset_for_view(&view);
        if let Some(zone) = &self.settings.zone {
            self.reservations.holders.update(zone, &view.neighbours);
        }
        self.avoided_servers.retain(|service| view.service(service).is_some());
        self.prune_sweep_admission(now);
        let mut live: Map<&str, bool> = Map::default();
        let candidates = view.services.values().flat_map(|service| &service.candidates);
        for candidate in candidates {
            *live.entry(&candidate.peer.name).or_default() |= candidate.live;
        }
        let mut lost: Vec<&str> =
            live.iter().filter(|&(_, &live)| !live).map(|(&name, _)| name).collect();
        lost.sort_unstable();
        for name in lost {
            if let Some(peer) = self.peers.find(name) {
                self.fail_over_peer(now, peer, OwnerLoss::NotLive, out);
            }
        }
        let neighbours = view.neighbours.iter();
        let neighbour_names: Set<&str> =
            neighbours.map(|neighbour| &*neighbour.peer.name).collect();
        self.peers.prune(|name| live.contains_key(name) || neighbour_names.contains(name));
    }

    /// Handles a peer's silence timer: moves the peer's portions if its silence limit has passed.
    pub(crate) fn peer_timer_due(
        &mut self,
        now: Instant,
        at: Instant,
        key: PeerKey,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.peers.get_mut(key) else {
            return;
        };
        state.timer = None;
        let Some(overdue) = state.overdue_at() else {
            return;
        };
        if now.since(at) > MAX_WAKE_DELAY {
            self.peers.restart_silence_clocks(now);
        } else if overdue <= now
            && (self.peers.is_local_fault_likely(now) || !self.has_long_open_portion(now, key))
        {
            self.defer_decision(now, key);
            return;
        } else if overdue <= now {
            self.peers.mark_silent(key, now);
            self.fail_over_peer(now, key, OwnerLoss::Silent, out);
            self.peers.restart_silence_clock(key, now);
        }
        self.arm_silence_timer(now, key);
    }

    /// Returns whether some portion has been open at a peer for long, relative to the query's
    /// deadline.
    fn has_long_open_portion(&self, now: Instant, peer: PeerKey) -> bool {
        self.queries.values().any(|query| {
            let portions = query.portions.iter();
            let mut sendings = portions.flat_map(|portion| &portion.sendings);
            sendings.any(|sending| is_unreliable(now, query, sending, peer, OwnerLoss::Silent))
        })
    }

    /// Checks a peer again after half its silence limit; its silence clock keeps running.
    fn defer_decision(&mut self, now: Instant, key: PeerKey) {
        if let Some(state) = self.peers.get_mut(key) {
            let at = now + state.silence_limit() / 2;
            state.timer = Some(at);
            self.timers.add(at, Timer::Peer(key));
        }
    }

    /// Moves the open portions of all queries from a peer to the next candidates, where permitted.
    fn fail_over_peer(
        &mut self,
        now: Instant,
        peer: PeerKey,
        loss: OwnerLoss,
        out: &mut Vec<Action>,
    ) {
        let keys: Vec<QueryKey> = self.queries.keys().collect();
        for key in keys {
            let portions = self.unreliable_portions(now, key, peer, loss);
            if portions.is_empty() {
                continue;
            }
            self.fail_over_portions(now, key, peer, &portions, loss, out);
            self.finish_if_settled(now, key, out);
        }
    }

    /// Returns the positions of a query's portions whose reply from `peer` can no longer be relied
    /// on.
    fn unreliable_portions(
        &self,
        now: Instant,
        key: QueryKey,
        peer: PeerKey,
        loss: OwnerLoss,
    ) -> Vec<usize> {
        let query = &self.queries[key];
        if query.terms.runs_once() && loss != OwnerLoss::LinkBroken {
            // Work that runs once must not be sent elsewhere, and an owner that is leaving
            // finishes its open work.
            return Vec::new();
        }
        let is_affected = |portion: &Portion| {
            let mut sendings = portion.sendings.iter();
            portion.is_open()
                && sendings.any(|sending| is_unreliable(now, query, sending, peer, loss))
        };
        let portions = query.portions.iter().enumerate();
        portions.filter(|(_, portion)| is_affected(portion)).map(|(position, _)| position).collect()
    }

    /// Moves portions of one query from a peer to the next candidates, where permitted.
    pub(super) fn fail_over_portions(
        &mut self,
        now: Instant,
        key: QueryKey,
        peer: PeerKey,
        portions: &[usize],
        loss: OwnerLoss,
        out: &mut Vec<Action>,
    ) {
        self.record_loss(now, key, peer, portions);
        let mut destinations = Vec::new();
        for &position in portions {
            let next = self.next_after_loss(now, key, position);
            if next.is_some() || loss == OwnerLoss::LinkBroken {
                self.stop_relying_on(key, position, peer, loss);
            }
            if self.queries[key].portions[position].has_reliable_sending() {
                continue;
            }
            match (next, loss) {
                (Some(next), _) => destinations.push((position, next)),
                (None, OwnerLoss::LinkBroken)
                    if !self.queries[key].portions[position].awaits_reply() =>
                {
                    self.refuse_portion(key, position, Reason::OwnerLost, out);
                }
                (None, _) => {}
            }
        }
        for _ in &destinations {
            count(out, count::Event::Retry, Reason::OwnerLost);
        }
        self.send(now, key, destinations, Some(Reason::OwnerLost), out);
    }

    fn record_loss(&mut self, now: Instant, key: QueryKey, peer: PeerKey, portions: &[usize]) {
        let Some(state) = self.peers.get(peer) else {
            return;
        };
        let step =
            Step::OwnerLost { owner: state.peer.name.clone(), portions: portions.len() as u32 };
        self.history.add(self.queries[key].history_id, now, step);
    }

    /// Selects the receiver of a portion whose owner is lost; `None` if the portion must not be
    /// sent again or there is no other candidate.
    fn next_after_loss(&mut self, now: Instant, key: QueryKey, position: usize) -> Option<Peer> {
        let query = &self.queries[key];
        let portion = &query.portions[position];
        let is_ended = query.withdrawn || now >= query.answer_at;
        if is_ended || !may_send_again(query.terms, portion) {
            return None;
        }
        self.next_peer(now, key, position)
    }

    /// Marks the sendings of a portion to `peer` as lost or overdue, so that the query no longer
    /// relies on them.
    fn stop_relying_on(&mut self, key: QueryKey, position: usize, peer: PeerKey, loss: OwnerLoss) {
        let portion = &mut self.queries[key].portions[position];
        let sendings = portion.sendings.iter_mut();
        for sending in sendings.filter(|sending| sending.peer == peer) {
            if sending.progress == Progress::Open {
                self.peers.record_closed(peer);
            }
            sending.progress = match (sending.progress, loss) {
                (Progress::Open | Progress::Overdue, OwnerLoss::LinkBroken) => Progress::Lost,
                (Progress::Open, _) => Progress::Overdue,
                (progress, _) => progress,
            };
        }
    }
}

/// Returns whether a sending went to `peer` and can no longer be relied on after a loss of this
/// kind.
fn is_unreliable(
    now: Instant,
    query: &Query,
    sending: &Sending,
    peer: PeerKey,
    loss: OwnerLoss,
) -> bool {
    let is_lost = match loss {
        OwnerLoss::Silent => {
            // A partial aggregator has to report by the sweep's target time, and its reply is not
            // due earlier.
            let open_for = now.since(sending.at);
            let open = sending.progress == Progress::Open && !sending.is_aggregated;
            open && open_for >= query.terms.deadline / SILENCE_DEADLINE_DIVISOR
        }
        OwnerLoss::NotLive => sending.progress == Progress::Open,
        OwnerLoss::LinkBroken => sending.progress <= Progress::Overdue,
    };
    sending.peer == peer && is_lost
}
