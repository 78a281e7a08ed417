//! Connections between the simulated instances, which can go silent.

use std::collections::BTreeMap;

use ladder_core::link::{Action, ConnectionKey, Links};
use ladder_core::schema::wire::Frame;
use ladder_core::time::Instant;
use prost::Message;

use crate::fixtures;
use crate::harness::MESSAGE_DELAY;

/// A connection of one instance to another.
struct Wire {
    /// Name of the receiver.
    to: String,
    is_silent: bool,
}

enum Arrival {
    Opened,
    Frame(Vec<u8>),
}

/// Connections between the instances of a fleet.
#[derive(Default)]
pub(crate) struct Wiring {
    links: BTreeMap<String, Links>,
    names: BTreeMap<String, String>,
    wires: BTreeMap<(String, ConnectionKey), Wire>,
    arrivals: BTreeMap<(Instant, u64), (String, ConnectionKey, Arrival)>,
    sequence: u64,
    checks: BTreeMap<String, Instant>,
}

impl Wiring {
    /// Adds an instance.
    pub(crate) fn start(&mut self, now: Instant, name: &str, zone: &str, incarnation: u64) {
        let identity = Frame {
            fleet: "porto".to_owned(),
            from: name.to_owned(),
            address: fixtures::address(name),
            zone: zone.to_owned(),
            incarnation,
            generation: incarnation,
            ..Frame::default()
        };
        self.names.insert(fixtures::address(name), name.to_owned());
        self.links.insert(name.to_owned(), Links::new(now, identity));
        self.checks.insert(name.to_owned(), now);
    }

    /// Silences the open connections for which `is_affected` is true, by sender and receiver.
    pub(crate) fn silence(&mut self, is_affected: impl Fn(&str, &str) -> bool) {
        for ((from, _), wire) in &mut self.wires {
            wire.is_silent |= is_affected(from, &wire.to);
        }
    }

    pub(crate) fn send(&mut self, now: Instant, from: &str, to: &str, frame: Frame) {
        let Some(links) = self.links.get_mut(from) else { return };
        let mut actions = Vec::new();
        links.send(now, to, frame, &mut actions);
        self.execute(now, from, actions);
    }

    /// When [`Wiring::advance`] next has something to do.
    pub(crate) fn next_time(&self) -> Option<Instant> {
        let arrivals = self.arrivals.keys().next().map(|&(at, _)| at);
        self.checks.values().copied().chain(arrivals).min()
    }

    /// Does what is due, and returns the frames that reach instances, with their names.
    pub(crate) fn advance(&mut self, now: Instant) -> Vec<(String, Frame)> {
        let mut frames = Vec::new();
        while let Some(entry) = self.arrivals.first_entry().filter(|entry| entry.key().0 <= now) {
            let (from, connection, arrival) = entry.remove();
            match arrival {
                Arrival::Opened => self.opened(&from, connection),
                Arrival::Frame(bytes) => {
                    frames.extend(self.receive(now, &from, connection, &bytes));
                }
            }
        }
        let due = self.checks.iter().filter(|&(_, &at)| at <= now);
        let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            let mut actions = Vec::new();
            let next = self.links.get_mut(&name).map(|links| links.check(now, &mut actions));
            self.execute(now, &name, actions);
            self.checks.extend(next.map(|next| (name, next)));
        }
        frames
    }

    fn opened(&mut self, from: &str, connection: ConnectionKey) {
        if let Some(links) = self.links.get_mut(from) {
            links.opened(connection);
        }
    }

    fn receive(
        &mut self,
        now: Instant,
        from: &str,
        connection: ConnectionKey,
        bytes: &[u8],
    ) -> Option<(String, Frame)> {
        let wire = self.wires.get(&(from.to_owned(), connection))?;
        if wire.is_silent {
            return None;
        }
        let name = wire.to.clone();
        let frame = Frame::decode(bytes).expect("an encoded frame");
        let mut actions = Vec::new();
        let is_new = self.links.get_mut(&name)?.receive(now, &frame, &mut actions);
        self.execute(now, &name, actions);
        is_new.then_some((name, frame))
    }

    fn execute(&mut self, now: Instant, name: &str, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Open { connection, address } => {
                    let Some(to) = self.names.get(&*address).cloned() else { continue };
                    let wire = Wire { to, is_silent: false };
                    self.wires.insert((name.to_owned(), connection), wire);
                    self.schedule(now, name, connection, Arrival::Opened);
                }
                Action::Send { connection, bytes, .. } => {
                    self.schedule(now, name, connection, Arrival::Frame(bytes.to_vec()));
                }
                _ => {}
            }
        }
    }

    fn schedule(&mut self, now: Instant, name: &str, connection: ConnectionKey, arrival: Arrival) {
        self.sequence += 1;
        let at = (now + MESSAGE_DELAY, self.sequence);
        self.arrivals.insert(at, (name.to_owned(), connection, arrival));
    }
}
