//! State of the peers that this instance sends work to.
//!
//! A peer that has open work and sends nothing is marked silent long before the membership can
//! detect that it died. The time limit is derived from the peer's own reply times.

use std::sync::Arc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::quantile::QuantileEstimator;
use crate::collections::Map;
use crate::time::Instant;
use crate::view::Peer;

new_key_type! {
    /// Key of a peer that work was sent to.
    pub(crate) struct PeerKey;
}

/// Shortest silence after which a peer may be marked silent: scheduling on a busy machine can
/// delay a reply for as long.
const MIN_SILENCE_LIMIT: Duration = Duration::from_millis(30);
/// Factor of a peer's 99th percentile reply time that gives its silence limit.
const SILENCE_LIMIT_P99_FACTOR: u32 = 4;
/// Assumed 99th percentile of a peer's reply time until enough replies have arrived.
const DEFAULT_P99: Duration = Duration::from_millis(50);
/// Time for which a peer that was marked silent receives no work except probes; by then the
/// membership has decided whether the peer is alive.
const SILENT_DURATION: Duration = Duration::from_secs(2);
/// Interval between probes of a silent peer.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// State of one peer: its open portions, silence clock, probes and reply times.
#[derive(Debug)]
pub(crate) struct PeerState {
    /// Name and address of the peer.
    pub(crate) peer: Peer,
    /// Whether the peer is this instance itself. Its leaf machine runs in the same process:
    /// silence is caused by the servers, and indicates nothing about this instance's links.
    pub(crate) is_local: bool,
    /// Number of portions sent to the peer that have no reply yet and are still relied on.
    open_portions: u32,
    /// Since when nothing has arrived from the peer although replies are due; `None` exactly when
    /// `open_portions` is zero.
    waiting_since: Option<Instant>,
    /// Time until which the peer receives no work except probes.
    silent_until: Option<Instant>,
    /// Earliest time of the next probe of a silent peer.
    next_probe_at: Instant,
    /// Due time of the peer's timer in the machine's timer set, if one is set.
    pub(crate) timer: Option<Instant>,
    reply_times: QuantileEstimator,
    /// Mean round-trip time to the peer including queues; `None` until the peer has aggregated
    /// parts.
    pub(crate) round_trip: Option<Duration>,
}

impl PeerState {
    /// Returns the duration of silence after which the peer is marked silent.
    pub(crate) fn silence_limit(&self) -> Duration {
        let p99 = self.reply_times.p99().unwrap_or(DEFAULT_P99);
        MIN_SILENCE_LIMIT.max(p99 * SILENCE_LIMIT_P99_FACTOR)
    }

    /// Returns when the peer's silence exceeds its limit; `None` while no reply is due.
    pub(crate) fn overdue_at(&self) -> Option<Instant> {
        Some(self.waiting_since? + self.silence_limit())
    }

    /// Returns whether the peer has been silent for at least half its limit.
    fn is_half_overdue(&self, now: Instant) -> bool {
        self.waiting_since.is_some_and(|since| now.since(since) >= self.silence_limit() / 2)
    }

    /// Returns whether the peer is marked silent and receives no work except probes.
    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        self.silent_until.is_some_and(|until| now < until)
    }
}

/// States of all peers that work was sent to.
#[derive(Debug)]
pub(crate) struct Peers {
    /// Name of this instance.
    own_name: Arc<str>,
    states: SlotMap<PeerKey, PeerState>,
    /// Keys of the peers by name.
    ///
    /// Invariant: contains exactly the keys of `states`.
    keys: Map<Arc<str>, PeerKey>,
}

impl Peers {
    /// Creates an empty set of peers for the instance named `own_name`.
    pub(crate) fn new(own_name: Arc<str>) -> Self {
        Self { own_name, states: SlotMap::default(), keys: Map::default() }
    }

    /// Returns the key of a peer and updates its address; adds the peer if it is new.
    pub(crate) fn key(&mut self, peer: &Peer) -> PeerKey {
        if let Some(&key) = self.keys.get(&peer.name) {
            self.states[key].peer = peer.clone();
            return key;
        }
        let key = self.states.insert(PeerState {
            peer: peer.clone(),
            is_local: peer.name == self.own_name,
            open_portions: 0,
            waiting_since: None,
            silent_until: None,
            next_probe_at: Instant::default(),
            timer: None,
            reply_times: QuantileEstimator::default(),
            round_trip: None,
        });
        self.keys.insert(Arc::clone(&peer.name), key);
        key
    }

    /// Returns the key of the peer with this name.
    pub(crate) fn find(&self, name: &str) -> Option<PeerKey> {
        self.keys.get(name).copied()
    }

    /// Returns the state of a peer, if the peer is known.
    pub(crate) fn get(&self, key: PeerKey) -> Option<&PeerState> {
        self.states.get(key)
    }

    /// Returns the mutable state of a peer, if the peer is known.
    pub(crate) fn get_mut(&mut self, key: PeerKey) -> Option<&mut PeerState> {
        self.states.get_mut(key)
    }

    /// Records that portions were sent to a peer, and starts its silence clock if it is not
    /// running.
    pub(crate) fn record_sent(&mut self, key: PeerKey, now: Instant, portions: u32) {
        let state = &mut self.states[key];
        state.open_portions += portions;
        state.waiting_since.get_or_insert(now);
    }

    /// Records that a portion at a peer was answered or is no longer relied on.
    pub(crate) fn record_closed(&mut self, key: PeerKey) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        state.open_portions = state.open_portions.saturating_sub(1);
        if state.open_portions == 0 {
            state.waiting_since = None;
        }
    }

    /// Records that a message arrived from a peer: it is not silent, and its silence clock
    /// restarts.
    pub(crate) fn record_message(&mut self, key: PeerKey, now: Instant) {
        let state = &mut self.states[key];
        state.silent_until = None;
        if state.open_portions > 0 {
            state.waiting_since = Some(now);
        }
    }

    /// Records the time that a peer took to reply.
    pub(crate) fn record_reply_time(&mut self, key: PeerKey, time: Duration) {
        self.states[key].reply_times.add(time);
    }

    /// Adds a round-trip time to a peer's moving average, with a weight of one eighth.
    pub(crate) fn record_round_trip(&mut self, key: PeerKey, time: Duration) {
        let round_trip = &mut self.states[key].round_trip;
        *round_trip = Some(round_trip.map_or(time, |mean| (mean * 7 + time) / 8));
    }

    /// Marks a peer silent: it receives no work except probes for `SILENT_DURATION`.
    pub(crate) fn mark_silent(&mut self, key: PeerKey, now: Instant) {
        let state = &mut self.states[key];
        state.silent_until = Some(now + SILENT_DURATION);
        state.next_probe_at = now + PROBE_INTERVAL;
    }

    /// Returns whether the peer with this name is marked silent.
    pub(crate) fn is_silent(&self, name: &str, now: Instant) -> bool {
        self.find(name).is_some_and(|key| self.states[key].is_silent(now))
    }

    /// Returns whether any peer is marked silent.
    pub(crate) fn any_silent(&self, now: Instant) -> bool {
        self.states.values().any(|state| state.is_silent(now))
    }

    /// Returns whether a silent peer may be probed now; if so, schedules the next probe.
    pub(crate) fn take_probe(&mut self, name: &str, now: Instant) -> bool {
        let Some(&key) = self.keys.get(name) else {
            return false;
        };
        let state = &mut self.states[key];
        if !state.is_silent(now) || now < state.next_probe_at {
            return false;
        }
        state.next_probe_at = now + PROBE_INTERVAL;
        true
    }

    /// Returns whether so many peers are silent at once that a fault of this instance is the
    /// likely cause.
    ///
    /// This prevents the following failure: this instance's own network or processor stalls, all
    /// peers appear silent, and every open portion of every query is sent a second time just when
    /// the fleet is overloaded. The criterion is that at least two peers, and more than half of
    /// the peers with open portions, have been silent for half their limit. Failover because of
    /// silence then waits; the membership and broken links still trigger it.
    pub(crate) fn is_local_fault_likely(&self, now: Instant) -> bool {
        let expected =
            self.states.values().filter(|state| state.open_portions > 0 && !state.is_local);
        let (mut total, mut half_overdue) = (0, 0);
        for state in expected {
            total += 1;
            half_overdue += usize::from(state.is_half_overdue(now));
        }
        half_overdue >= 2 && 2 * half_overdue > total
    }

    /// Restarts the silence clocks of all peers: a time in which this process did not run does not
    /// count as silence.
    pub(crate) fn restart_silence_clocks(&mut self, now: Instant) {
        for state in self.states.values_mut() {
            if state.waiting_since.is_some() {
                state.waiting_since = Some(now);
            }
        }
    }

    /// Restarts the silence clock of a peer.
    pub(crate) fn restart_silence_clock(&mut self, key: PeerKey, now: Instant) {
        if let Some(state) = self.states.get_mut(key)
            && state.waiting_since.is_some()
        {
            state.waiting_since = Some(now);
        }
    }

    /// Removes peers without open portions and timer for which `keep` returns false.
    pub(crate) fn prune(&mut self, keep: impl Fn(&str) -> bool) {
        self.states.retain(|_, state| {
            state.open_portions > 0 || state.timer.is_some() || keep(&state.peer.name)
        });
        let states = &self.states;
        self.keys.retain(|_, key| states.contains_key(*key));
    }
}
