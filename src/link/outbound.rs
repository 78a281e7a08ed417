//! Sends frames to peers, over one connection per peer.

use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread;

use ladder_core::collections::Map;
use ladder_core::link::{Action, Cause, ConnectionKey, Links, Part};
use ladder_core::time::Instant;
use ladder_schema::bounds;
use ladder_schema::outcome::Reason;
use ladder_schema::wire::Frame;
use slog::{Logger, info};

use super::connection::{Connection, Event};
use super::{Cut, Identity};
use crate::clock::Clock;
use crate::log::whole_millis;
use crate::metrics::{Metrics, PeerConnection};

/// What the link uses of its process.
#[derive(Clone)]
pub struct Context {
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics in which frames and connections are counted.
    pub metrics: Metrics,
    /// Addresses of peers whose frames a failure test drops.
    pub cut: Cut,
    /// Logger of this instance.
    pub log: Logger,
}

/// Callback that receives the address of a peer whose connection broke.
pub type OnDisconnect = Arc<dyn Fn(&str) + Send + Sync>;

/// Sends frames to peers; all clones share the connections.
#[derive(Clone)]
pub struct Outbound {
    shared: Arc<Mutex<Shared>>,
    context: Context,
}

impl Outbound {
    /// Creates a link without connections. A connection is opened by the first frame to its peer.
    /// [`Outbound::run`] has to run on a thread of its own.
    pub fn new(identity: Identity, context: Context, on_disconnect: OnDisconnect) -> Self {
        let links = Links::new(context.clock.now(), identity_frame(identity));
        let (reports, events) = mpsc::channel();
        let shared = Shared {
            context: context.clone(),
            links,
            connections: Map::default(),
            events,
            reports,
            on_disconnect,
            actions: Vec::new(),
        };
        Self { shared: Arc::new(Mutex::new(shared)), context }
    }

    /// Sets the generation that is written into every later frame.
    pub fn set_generation(&self, generation: u64) {
        self.update(|links, _, _| links.set_generation(generation));
    }

    /// Fills in the sender and sends the frame to the peer at `address`. A frame that carries more
    /// than gossip is sent again if its connection proves silent.
    pub fn send(&self, address: &str, frame: Frame) {
        if self.context.cut.contains(address) {
            self.context.metrics.dropped(Reason::LinkCut);
            return;
        }
        self.update(|links, now, actions| links.send(now, address, frame, actions));
    }

    /// Notes a frame of a peer. Returns `false` if the frame was received before and has to be
    /// dropped.
    pub fn receive(&self, frame: &Frame) -> bool {
        let is_new = self.update(|links, now, actions| links.receive(now, frame, actions));
        if !is_new {
            self.context.metrics.dropped(Reason::FrameRepeated);
        }
        is_new
    }

    /// Confirms frames and replaces silent connections, as they are due, until the process ends.
    pub fn run(&self) {
        loop {
            let next = self.update(Links::check);
            thread::sleep(next.since(self.context.clock.now()));
        }
    }

    fn update<T>(&self, change: impl FnOnce(&mut Links, Instant, &mut Vec<Action>) -> T) -> T {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        shared.update(change)
    }
}

/// The links and the sockets of their connections.
struct Shared {
    context: Context,
    links: Links,
    /// Invariant: contains exactly the connections that `links` has opened and not closed, except
    /// for those whose end has not been noted yet.
    connections: Map<ConnectionKey, Connection>,
    /// What has happened to connections since the last update.
    events: mpsc::Receiver<(ConnectionKey, Event)>,
    reports: mpsc::Sender<(ConnectionKey, Event)>,
    on_disconnect: OnDisconnect,
    actions: Vec<Action>,
}

impl Shared {
    fn update<T>(&mut self, change: impl FnOnce(&mut Links, Instant, &mut Vec<Action>) -> T) -> T {
        let now = self.context.clock.now();
        while let Ok((connection, event)) = self.events.try_recv() {
            match event {
                Event::Opened => self.links.opened(connection),
                Event::Broken => self.remove_broken(now, connection),
            }
        }
        let mut actions = std::mem::take(&mut self.actions);
        let result = change(&mut self.links, now, &mut actions);
        actions.drain(..).for_each(|action| self.execute(action));
        self.actions = actions;
        result
    }

    fn remove_broken(&mut self, now: Instant, connection: ConnectionKey) {
        self.links.broken(now, connection);
        if let Some(connection) = self.connections.remove(&connection) {
            connection.close();
            self.context.metrics.peer_connection(PeerConnection::Broken);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Open { connection, address } => self.open(connection, address),
            Action::Close(connection) => {
                if let Some(connection) = self.connections.remove(&connection) {
                    connection.close();
                }
            }
            Action::Send { connection, part, bytes } => self.send(connection, part, &bytes),
            Action::Replaced { address, cause, silence, sent_again } => {
                let event = replacement_event(cause);
                self.context.metrics.peer_connection(event);
                self.context.metrics.peer_silence(silence);
                info!(self.context.log, "peer connection replaced"; "peer" => &*address,
                    "cause" => event.name(), "silent_ms" => whole_millis(silence),
                    "sent_again" => sent_again);
            }
            Action::Verified => self.context.metrics.peer_connection(PeerConnection::Verified),
            Action::Unopened => self.context.metrics.peer_connection(PeerConnection::Unopened),
        }
    }

    fn open(&mut self, key: ConnectionKey, address: Arc<str>) {
        self.context.metrics.peer_connection(PeerConnection::Dialled);
        let (reports, on_disconnect) = (self.reports.clone(), Arc::clone(&self.on_disconnect));
        let peer = Arc::clone(&address);
        let opened = Connection::open(address, move |event| {
            let _ = reports.send((key, event));
            if event == Event::Broken {
                on_disconnect(&peer);
            }
        });
        match opened {
            Ok(connection) => drop(self.connections.insert(key, connection)),
            Err(_) => drop(self.reports.send((key, Event::Broken))),
        }
    }

    fn send(&self, key: ConnectionKey, part: Part, bytes: &[u8]) {
        let connection = self.connections.get(&key);
        if connection.is_some_and(|one| self.context.cut.contains(&one.address)) {
            self.context.metrics.dropped(Reason::LinkCut);
            return;
        }
        self.context.metrics.sent(part_name(part), bytes.len());
        if !connection.is_some_and(|connection| connection.send(bytes)) {
            self.context.metrics.dropped(Reason::LinkFull);
        }
    }
}

/// A frame that contains only its sender.
fn identity_frame(identity: Identity) -> Frame {
    Frame {
        protocol: bounds::PROTOCOL,
        fleet: identity.fleet,
        from: identity.name,
        incarnation: identity.incarnation,
        generation: identity.incarnation,
        address: identity.address,
        zone: identity.zone,
        ..Frame::default()
    }
}

const fn replacement_event(cause: Cause) -> PeerConnection {
    match cause {
        Cause::Silent => PeerConnection::Silent,
        Cause::Unverified => PeerConnection::Unverified,
        Cause::Requested => PeerConnection::Requested,
    }
}

/// Name of the part in metrics.
const fn part_name(part: Part) -> &'static str {
    match part {
        Part::Traffic => "traffic",
        Part::Control => "control",
        Part::Confirmation => "confirmation",
        Part::Repeated => "repeated",
    }
}
