//! Connections between simulated instances.

use std::collections::{BTreeMap, VecDeque};

use ladder_core::link::ConnectionKey;

/// Identifies a connection: the instance, the incarnation of its process, and the process's key.
pub(super) type WireKey = (usize, u64, ConnectionKey);

/// A connection between two instances, in one direction.
pub(super) struct Wire {
    to: usize,
    is_silent: bool,
    /// Whether the process that opened the connection has closed it or has ended.
    is_closed: bool,
    frames: VecDeque<Vec<u8>>,
}

impl Wire {
    /// Whether frames are on the way.
    pub(super) fn has_frames(&self) -> bool {
        !self.frames.is_empty()
    }

    pub(super) const fn is_open(&self) -> bool {
        !self.is_closed
    }

    /// Whether frames that are sent now arrive.
    pub(super) const fn is_working(&self) -> bool {
        !self.is_closed && !self.is_silent
    }

    /// Loses what is on the way and all that is sent later.
    fn silence(&mut self) {
        self.is_silent = true;
        self.frames.clear();
    }
}

/// All connections between the instances. What is on the way on a closed one still arrives.
#[derive(Default)]
pub(super) struct Wires(BTreeMap<WireKey, Wire>);

impl Wires {
    pub(super) fn open(&mut self, key: WireKey, to: usize) {
        let wire = Wire { to, is_silent: false, is_closed: false, frames: VecDeque::new() };
        self.0.insert(key, wire);
    }

    pub(super) fn close(&mut self, key: WireKey) {
        if let Some(wire) = self.0.get_mut(&key) {
            wire.is_closed = true;
        }
    }

    /// Closes the connections that an instance has opened.
    pub(super) fn close_all_of(&mut self, instance: usize) {
        let wires = self.0.iter_mut().filter(|((from, ..), _)| *from == instance);
        wires.for_each(|(_, wire)| wire.is_closed = true);
    }

    pub(super) fn send(&mut self, key: WireKey, bytes: Vec<u8>) {
        if let Some(wire) = self.0.get_mut(&key).filter(|wire| !wire.is_silent) {
            wire.frames.push_back(bytes);
        }
    }

    /// Takes the oldest frame on the way, with its receiver.
    pub(super) fn take_frame(&mut self, key: WireKey) -> Option<(usize, Vec<u8>)> {
        let wire = self.0.get_mut(&key)?;
        Some((wire.to, wire.frames.pop_front()?))
    }

    pub(super) fn silence(&mut self, key: WireKey) {
        if let Some(wire) = self.0.get_mut(&key) {
            wire.silence();
        }
    }

    /// Removes a connection with what is on the way; returns its receiver.
    pub(super) fn remove(&mut self, key: WireKey) -> Option<usize> {
        self.0.remove(&key).map(|wire| wire.to)
    }

    /// Removes the closed connections on which nothing is on the way.
    pub(super) fn remove_finished(&mut self) {
        self.0.retain(|_, wire| wire.is_open() || wire.has_frames());
    }

    /// Selects one of the connections that meet a condition, modulo their count.
    pub(super) fn select(&self, which: u8, condition: impl Fn(&Wire) -> bool) -> Option<WireKey> {
        let matching = self.0.iter().filter(|(_, wire)| condition(wire));
        let keys: Vec<WireKey> = matching.map(|(key, _)| *key).collect();
        keys.get(usize::from(which) % keys.len().max(1)).copied()
    }

    /// All connections.
    pub(super) fn keys(&self) -> Vec<WireKey> {
        self.0.keys().copied().collect()
    }

    /// Number of frames on the way.
    pub(super) fn frame_count(&self, key: WireKey) -> usize {
        self.0.get(&key).map_or(0, |wire| wire.frames.len())
    }

    /// Connections to an instance.
    pub(super) fn keys_to(&self, instance: usize) -> Vec<WireKey> {
        let wires = self.0.iter().filter(|(_, wire)| wire.to == instance);
        wires.map(|(key, _)| *key).collect()
    }
}
