//! Moves work away from owners that are lost or silent.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::Reason;

use super::event::Action;
use super::history::Step;
use super::machine::{Machine, count};
use super::peers::PeerKey;
use super::query::{Portion, Progress, Query, QueryKey, Sending};
use super::take::may_send_again;
use super::timers::Timer;
use crate::collections::{Map, Set};
use crate::count;
use crate::time::Instant;
use crate::view::{Peer, View};

/// A silence timer served later than this after its time says nothing of the peer: this process
/// itself did not run, and replies may wait unread.
pub(super) const LATE: Duration = Duration::from_millis(10);
/// Work that has been out for less than this share of its query's deadline is not moved because of
/// silence: before reply times are learned, an operation that takes seconds would else be sent to
/// every candidate within its first fractions of a second.
const PATIENCE: u32 = 16;

/// How sure it is that an owner is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// Nothing arrived from it for too long; it may still answer.
    Silent,
    /// The membership does not hold it live: it is dead, or leaves and finishes what it has.
    Unlisted,
    /// Its link broke.
    Certain,
}

impl Machine {
    /// The link to a peer broke.
    pub(crate) fn link_down(&mut self, now: Instant, name: &str, out: &mut Vec<Action>) {
        let Some(peer) = self.peers.find(name) else {
            return;
        };
        self.peers.silence(peer, now);
        self.leave(now, peer, Loss::Certain, out);
    }

    /// A new view is in force.
    pub(crate) fn adopt(&mut self, now: Instant, view: Arc<View>, out: &mut Vec<Action>) {
        let before = std::mem::replace(&mut self.view, view);
        self.planner.forget();
        let view = Arc::clone(&self.view);
        if !Arc::ptr_eq(&before.quarantine, &view.quarantine) {
            self.stop_refused(now, out);
        }
        self.near.forget(&view);
        self.avoid.retain(|service| view.service(service).is_some());
        let mut live: Map<&str, bool> = Map::default();
        let candidates = view.services.values().flat_map(|service| &service.candidates);
        for candidate in candidates {
            *live.entry(&candidate.peer.name).or_default() |= candidate.live;
        }
        let mut gone: Vec<&str> =
            live.iter().filter(|&(_, &live)| !live).map(|(&name, _)| name).collect();
        gone.sort_unstable();
        for name in gone {
            if let Some(peer) = self.peers.find(name) {
                self.leave(now, peer, Loss::Unlisted, out);
            }
        }
        let neighbours = view.neighbours.iter();
        let near: Set<&str> = neighbours.map(|neighbour| &*neighbour.peer.name).collect();
        self.peers.prune(|name| live.contains_key(name) || near.contains(name));
    }

    /// A peer may have been silent for too long.
    pub(crate) fn peer_due(
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
        if now.since(at) > LATE {
            self.peers.restart_clocks(now);
        } else if overdue <= now && (self.peers.is_flood(now) || !self.is_impatient(now, key)) {
            self.look_again(now, key);
            return;
        } else if overdue <= now {
            self.peers.silence(key, now);
            self.leave(now, key, Loss::Silent, out);
            self.peers.restart_clock(key, now);
        }
        self.watch(now, key);
    }

    /// Something has been out at a peer for long, by its own deadline.
    fn is_impatient(&self, now: Instant, peer: PeerKey) -> bool {
        self.queries.values().any(|query| {
            let portions = query.portions.iter();
            let mut sendings = portions.flat_map(|portion| &portion.sendings);
            sendings.any(|sending| relies(now, query, sending, peer, Loss::Silent))
        })
    }

    /// Puts a decision off; the silence goes on counting.
    fn look_again(&mut self, now: Instant, key: PeerKey) {
        if let Some(state) = self.peers.get_mut(key) {
            let at = now + state.limit() / 2;
            state.timer = Some(at);
            self.timers.add(at, Timer::Peer(key));
        }
    }

    /// Moves what is open at a peer to the next candidates, where it may be moved.
    fn leave(&mut self, now: Instant, peer: PeerKey, loss: Loss, out: &mut Vec<Action>) {
        let keys: Vec<QueryKey> = self.queries.keys().collect();
        for key in keys {
            let portions = self.held_by(now, key, peer, loss);
            if portions.is_empty() {
                continue;
            }
            self.leave_query(now, key, peer, &portions, loss, out);
            self.finish_if_settled(now, key, out);
        }
    }

    /// Portions of a query whose reply from `peer` can no longer be relied on.
    fn held_by(&self, now: Instant, key: QueryKey, peer: PeerKey, loss: Loss) -> Vec<usize> {
        let query = &self.queries[key];
        if query.terms.unrepeatable && loss != Loss::Certain {
            // It may not go elsewhere, and an owner that is leaving finishes what it holds.
            return Vec::new();
        }
        let held = |portion: &Portion| {
            let mut sendings = portion.sendings.iter();
            portion.is_open() && sendings.any(|sending| relies(now, query, sending, peer, loss))
        };
        let portions = query.portions.iter().enumerate();
        portions.filter(|(_, portion)| held(portion)).map(|(position, _)| position).collect()
    }

    /// Moves portions of one query to the next candidates, where they may be moved.
    pub(super) fn leave_query(
        &mut self,
        now: Instant,
        key: QueryKey,
        peer: PeerKey,
        portions: &[usize],
        loss: Loss,
        out: &mut Vec<Action>,
    ) {
        self.note_loss(now, key, peer, portions);
        let mut targets = Vec::new();
        for &position in portions {
            let next = self.next_after_loss(now, key, position);
            if next.is_some() || loss == Loss::Certain {
                self.give_up(key, position, peer, loss);
            }
            if self.queries[key].portions[position].is_relied_on() {
                continue;
            }
            match (next, loss) {
                (Some(next), _) => targets.push((position, next)),
                (None, Loss::Certain) if !self.queries[key].portions[position].is_awaited() => {
                    self.settle(key, position, Reason::OwnerLost, out);
                }
                (None, _) => {}
            }
        }
        for _ in &targets {
            count(out, count::Event::Retry, Reason::OwnerLost);
        }
        self.send(now, key, targets, Some(Reason::OwnerLost), out);
    }

    fn note_loss(&mut self, now: Instant, key: QueryKey, peer: PeerKey, portions: &[usize]) {
        let Some(state) = self.peers.get(peer) else {
            return;
        };
        let step = Step::Lost { owner: state.peer.name.clone(), portions: portions.len() as u32 };
        self.history.add(self.queries[key].account, now, step);
    }

    /// Where a portion goes after its owner is lost; `None` if it may not go or has nowhere to.
    fn next_after_loss(&mut self, now: Instant, key: QueryKey, position: usize) -> Option<Peer> {
        let query = &self.queries[key];
        let portion = &query.portions[position];
        let over = query.withdrawn || now >= query.answer_at;
        if over || !may_send_again(query.terms.unrepeatable, portion) {
            return None;
        }
        self.next_peer(now, key, position)
    }

    /// Stops relying on the sendings of a portion to `peer`.
    fn give_up(&mut self, key: QueryKey, position: usize, peer: PeerKey, loss: Loss) {
        let portion = &mut self.queries[key].portions[position];
        let sendings = portion.sendings.iter_mut();
        for sending in sendings.filter(|sending| sending.peer == peer) {
            if sending.progress == Progress::Open {
                self.peers.ended(peer);
            }
            sending.progress = match (sending.progress, loss) {
                (Progress::Open | Progress::Overdue, Loss::Certain) => Progress::Lost,
                (Progress::Open, _) => Progress::Overdue,
                (progress, _) => progress,
            };
        }
    }
}

/// The query relies on a sending to `peer` that this loss makes unreliable.
fn relies(now: Instant, query: &Query, sending: &Sending, peer: PeerKey, loss: Loss) -> bool {
    let lost = match loss {
        Loss::Silent => {
            // A collecting peer has a time to speak at, and no reply of it is due before.
            let out_for = now.since(sending.at);
            let open = sending.progress == Progress::Open && !sending.collected;
            open && out_for >= query.terms.deadline / PATIENCE
        }
        Loss::Unlisted => sending.progress == Progress::Open,
        Loss::Certain => sending.progress <= Progress::Overdue,
    };
    sending.peer == peer && lost
}
