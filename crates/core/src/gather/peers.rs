//! What this instance learned of the peers it sends work to.
//!
//! A peer with open work from which nothing arrives is held silent long before the membership can
//! tell that it died. The limit is learned from its own reply times.

use std::sync::Arc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::quantile::Quantile;
use crate::collections::Map;
use crate::time::Instant;
use crate::view::Peer;

new_key_type! {
    /// A peer that work was sent to.
    pub(crate) struct PeerKey;
}

/// Silence below this is never held against a peer: a scheduler on a busy machine takes as long.
const LEAST_SILENCE: Duration = Duration::from_millis(30);
/// How many times its 99th percentile reply time a peer may stay silent.
const SILENCE_FACTOR: u32 = 4;
/// Taken for the 99th percentile before enough replies were seen.
const ASSUMED_P99: Duration = Duration::from_millis(50);
/// How long a silent peer gets no work but probes; by then the membership has decided.
const SILENT_FOR: Duration = Duration::from_secs(2);
/// Between probes of a silent peer.
const PROBE_EVERY: Duration = Duration::from_millis(250);

/// What is known of one peer.
#[derive(Debug)]
pub(crate) struct State {
    /// The peer.
    pub(crate) peer: Peer,
    /// It is this very instance. Its leaf lives and dies with this machine: silence of it is that
    /// of its servers, and says nothing of this instance's links either.
    pub(crate) local: bool,
    /// Sendings of portions that are open there and relied on.
    open: u32,
    /// Since when it owes something; `None` exactly when `open` is zero.
    waiting: Option<Instant>,
    /// It gets no work but probes until then.
    silent_until: Option<Instant>,
    /// When it may be probed next.
    probe_at: Instant,
    /// Its timer in the machine's set, if one is there.
    pub(crate) timer: Option<Instant>,
    times: Quantile,
    /// Mean time on the ways there and back, queues included; `None` until something was collected.
    pub(crate) way: Option<Duration>,
}

impl State {
    /// Silence that is held against it.
    pub(crate) fn limit(&self) -> Duration {
        let p99 = self.times.p99().unwrap_or(ASSUMED_P99);
        LEAST_SILENCE.max(p99 * SILENCE_FACTOR)
    }

    /// When its silence becomes too long; `None` while it owes nothing.
    pub(crate) fn overdue_at(&self) -> Option<Instant> {
        Some(self.waiting? + self.limit())
    }

    /// It has been waited for longer than half its limit.
    fn is_doubtful(&self, now: Instant) -> bool {
        self.waiting.is_some_and(|since| now.since(since) >= self.limit() / 2)
    }

    /// It gets no work but probes.
    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        self.silent_until.is_some_and(|until| now < until)
    }
}

/// All peers that work was sent to.
#[derive(Debug)]
pub(crate) struct Peers {
    /// Name of this instance.
    own: Arc<str>,
    states: SlotMap<PeerKey, State>,
    /// Invariant: holds exactly the keys of `states`.
    keys: Map<Arc<str>, PeerKey>,
}

impl Peers {
    /// No peers yet; `own` is the name of this instance.
    pub(crate) fn new(own: Arc<str>) -> Self {
        Self { own, states: SlotMap::default(), keys: Map::default() }
    }

    /// The key of a peer, new if need be.
    pub(crate) fn key(&mut self, peer: &Peer) -> PeerKey {
        if let Some(&key) = self.keys.get(&peer.name) {
            self.states[key].peer = peer.clone();
            return key;
        }
        let key = self.states.insert(State {
            peer: peer.clone(),
            local: peer.name == self.own,
            open: 0,
            waiting: None,
            silent_until: None,
            probe_at: Instant::default(),
            timer: None,
            times: Quantile::default(),
            way: None,
        });
        self.keys.insert(Arc::clone(&peer.name), key);
        key
    }

    /// The key of the peer of this name.
    pub(crate) fn find(&self, name: &str) -> Option<PeerKey> {
        self.keys.get(name).copied()
    }

    /// What is known of a peer.
    pub(crate) fn get(&self, key: PeerKey) -> Option<&State> {
        self.states.get(key)
    }

    /// As [`Peers::get`], to change it.
    pub(crate) fn get_mut(&mut self, key: PeerKey) -> Option<&mut State> {
        self.states.get_mut(key)
    }

    /// Portions were sent to it.
    pub(crate) fn sent(&mut self, key: PeerKey, now: Instant, portions: u32) {
        let state = &mut self.states[key];
        state.open += portions;
        state.waiting.get_or_insert(now);
    }

    /// A portion there is answered or no longer relied on.
    pub(crate) fn ended(&mut self, key: PeerKey) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        state.open = state.open.saturating_sub(1);
        if state.open == 0 {
            state.waiting = None;
        }
    }

    /// Anything arrived from it: it is not silent.
    pub(crate) fn heard(&mut self, key: PeerKey, now: Instant) {
        let state = &mut self.states[key];
        state.silent_until = None;
        if state.open > 0 {
            state.waiting = Some(now);
        }
    }

    /// It took `time` to reply.
    pub(crate) fn learn(&mut self, key: PeerKey, time: Duration) {
        self.states[key].times.add(time);
    }

    /// The ways there and back took `time` together.
    pub(crate) fn learn_way(&mut self, key: PeerKey, time: Duration) {
        let way = &mut self.states[key].way;
        *way = Some(way.map_or(time, |mean| (mean * 7 + time) / 8));
    }

    /// It gets no work but probes for a while.
    pub(crate) fn silence(&mut self, key: PeerKey, now: Instant) {
        let state = &mut self.states[key];
        state.silent_until = Some(now + SILENT_FOR);
        state.probe_at = now + PROBE_EVERY;
    }

    /// Whether the peer of this name gets no work but probes.
    pub(crate) fn is_silent(&self, name: &str, now: Instant) -> bool {
        self.find(name).is_some_and(|key| self.states[key].is_silent(now))
    }

    /// Whether any peer gets no work but probes.
    pub(crate) fn any_silent(&self, now: Instant) -> bool {
        self.states.values().any(|state| state.is_silent(now))
    }

    /// Whether a silent peer may be probed now; if so the next probe is put off.
    pub(crate) fn take_probe(&mut self, name: &str, now: Instant) -> bool {
        let Some(&key) = self.keys.get(name) else {
            return false;
        };
        let state = &mut self.states[key];
        if !state.is_silent(now) || now < state.probe_at {
            return false;
        }
        state.probe_at = now + PROBE_EVERY;
        true
    }

    /// Whether the silence of many peers at once says that the fault lies here.
    ///
    /// The failure: this instance's own network or processor stalls, all peers seem silent, and
    /// every open portion of every query is sent a second time just when the fleet is under strain.
    /// It shows as more than half of the peers with open work in doubt together, two at least.
    /// Failover waits then; the membership and broken links still trigger it.
    pub(crate) fn is_flood(&self, now: Instant) -> bool {
        let waiting = self.states.values().filter(|state| state.open > 0 && !state.local);
        let (mut all, mut doubtful) = (0, 0);
        for state in waiting {
            all += 1;
            doubtful += usize::from(state.is_doubtful(now));
        }
        doubtful >= 2 && 2 * doubtful > all
    }

    /// Counts every silence from now on: time in which this process did not run proves nothing.
    pub(crate) fn restart_clocks(&mut self, now: Instant) {
        for state in self.states.values_mut() {
            if state.waiting.is_some() {
                state.waiting = Some(now);
            }
        }
    }

    /// Counts a peer's silence from now on.
    pub(crate) fn restart_clock(&mut self, key: PeerKey, now: Instant) {
        if let Some(state) = self.states.get_mut(key)
            && state.waiting.is_some()
        {
            state.waiting = Some(now);
        }
    }

    /// Forgets peers that owe nothing and for which `keep` is false.
    pub(crate) fn prune(&mut self, keep: impl Fn(&str) -> bool) {
        self.states
            .retain(|_, state| state.open > 0 || state.timer.is_some() || keep(&state.peer.name));
        let states = &self.states;
        self.keys.retain(|_, key| states.contains_key(*key));
    }
}
