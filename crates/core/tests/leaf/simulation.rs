//! Reference simulation of the machine's environment for the property test: calls, connections,
//! request keys and deadlines while any events arrive.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ladder_core::leaf::Action;
use ladder_core::leaf::event::{AttemptKey, ConnectionKey, Outcome};
use ladder_core::schema::outcome::Verdict;
use ladder_core::schema::{target, wire};
use ladder_core::time::Instant;
use ladder_core::view::Server;

/// State of a connection in the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    Opening,
    Idle,
    Busy,
    Control,
}

/// An open call in the simulation.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) connection: ConnectionKey,
    pub(crate) address: Arc<str>,
    pub(crate) request: target::Request,
}

/// One delivery of a portion in the simulation.
#[derive(Clone, Debug)]
struct Delivery {
    end: Instant,
    /// Time by which the reply must be sent: `end` plus the process pauses since the delivery.
    reply_by: Instant,
    replies: u32,
    /// Number of calls that are not proved not to have run, open ones included.
    may_have_run: u32,
}

/// Reference simulation of the machine's environment. Each action of the machine is checked against
/// the simulation.
#[derive(Debug, Default)]
pub(crate) struct Simulation {
    pub(crate) now: Instant,
    pub(crate) connections: BTreeMap<ConnectionKey, (Arc<str>, ConnectionState)>,
    pub(crate) calls: BTreeMap<AttemptKey, Call>,
    pub(crate) servers: Vec<Server>,
    /// Deliveries by payload; the payload names query and round.
    deliveries: BTreeMap<String, Delivery>,
    /// For each non-idempotent request key, number of calls that are not proved not to have run.
    calls_by_key: BTreeMap<String, u32>,
    pub(crate) replies: usize,
}

impl Simulation {
    /// Creates a simulation with these servers and without connections or calls.
    pub(crate) fn new(now: Instant, servers: Vec<Server>) -> Self {
        Self { now, servers, ..Self::default() }
    }

    /// Advances the clock by a process pause; replies may be later by the pause.
    pub(crate) fn pause(&mut self, pause_length: Duration) {
        self.now = self.now + pause_length;
        for delivery in self.deliveries.values_mut() {
            delivery.reply_by = delivery.reply_by + pause_length;
        }
    }

    /// Records work that is about to be delivered; a second delivery of the same portion must get
    /// no second reply.
    pub(crate) fn deliver(&mut self, work: &wire::Work) {
        let end = self.now + Duration::from_micros(work.budget_us);
        self.deliveries.entry(work.payload.clone()).or_insert(Delivery {
            end,
            reply_by: end,
            replies: 0,
            may_have_run: 0,
        });
    }

    /// Records the end of a call that is about to be reported to the machine.
    pub(crate) fn end_call(&mut self, attempt: AttemptKey, outcome: &Outcome) -> Call {
        let call = self.calls.remove(&attempt).expect("an open call ends");
        match outcome {
            Outcome::Answer(_) | Outcome::Refusal(_) => {
                self.set_state(call.connection, ConnectionState::Idle);
            }
            _ => {
                self.connections.remove(&call.connection);
            }
        }
        if matches!(outcome, Outcome::Refusal(_) | Outcome::Unsent) {
            let delivery = self.deliveries.get_mut(&call.request.payload);
            delivery.expect("a known delivery").may_have_run -= 1;
            if call.request.operation == "book" {
                *self.calls_by_key.get_mut(&call.request.key).expect("a sent key") -= 1;
            }
        }
        call
    }

    pub(crate) fn set_state(&mut self, connection: ConnectionKey, state: ConnectionState) {
        self.connections.get_mut(&connection).expect("an open connection").1 = state;
    }

    pub(crate) fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Open { connection, address, .. } => self.check_open(*connection, address),
                Action::Close(connection) => self.check_close(*connection),
                Action::Send { connection, attempt, request, .. } => {
                    self.check_send(*connection, *attempt, request);
                }
                Action::Cancel { connection, .. } | Action::Probe { connection, .. } => {
                    self.occupy(*connection);
                }
                Action::Reply { reply, .. } => self.check_reply(reply),
                Action::Log(_)
                | Action::Crashed { .. }
                | Action::Refuted { .. }
                | Action::Cleared { .. }
                | Action::Connection(_)
                | Action::Pending { .. }
                | Action::Server { .. }
                | Action::Count(_) => {}
            }
        }
    }

    /// Asserts that every delivery has exactly one reply.
    pub(crate) fn check_all_replied(&self) {
        for (payload, delivery) in &self.deliveries {
            assert_eq!(delivery.replies, 1, "replies to {payload}");
        }
    }

    fn server(&self, address: &str) -> Option<&Server> {
        self.servers.iter().find(|server| &*server.address == address)
    }

    fn check_open(&mut self, connection: ConnectionKey, address: &Arc<str>) {
        let open = self.connections.values().filter(|(other, _)| other == address).count();
        let share = self.server(address).expect("a listed server").share;
        assert!(open < share as usize, "connections beyond the share");
        self.connections.insert(connection, (Arc::clone(address), ConnectionState::Opening));
    }

    fn check_close(&mut self, connection: ConnectionKey) {
        let (_, state) =
            self.connections.remove(&connection).expect("only an open connection is closed");
        assert_ne!(state, ConnectionState::Busy, "a closed connection carries a call");
    }

    fn occupy(&mut self, connection: ConnectionKey) {
        let (_, state) =
            self.connections.get(&connection).expect("only an open connection is used");
        assert_eq!(*state, ConnectionState::Idle, "a connection carries one request at a time");
        self.set_state(connection, ConnectionState::Control);
    }

    fn check_send(
        &mut self,
        connection: ConnectionKey,
        attempt: AttemptKey,
        request: &target::Request,
    ) {
        self.occupy(connection);
        self.set_state(connection, ConnectionState::Busy);
        let address = Arc::clone(&self.connections[&connection].0);
        let server = self.server(&address).expect("a listed server");
        assert!(!server.leaving, "work for a leaving server");
        let slots = server.slots as usize;
        let open_calls = self.calls.values().filter(|call| call.address == address).count();
        assert!(open_calls < slots, "calls beyond the slots");
        let delivery = self.deliveries.get_mut(&request.payload).expect("a known delivery");
        assert_eq!(delivery.replies, 0, "a call is sent after the reply");
        assert!(self.now < delivery.end, "a call is sent after the deadline");
        delivery.may_have_run += 1;
        if request.operation == "book" {
            let sent = self.calls_by_key.entry(request.key.clone()).or_default();
            assert_eq!(*sent, 0, "an unrepeatable request is sent twice");
            *sent += 1;
        }
        self.calls.insert(attempt, Call { connection, address, request: request.clone() });
    }

    fn check_reply(&mut self, reply: &wire::Reply) {
        let payload = payload(reply.query, reply.round);
        let delivery = self.deliveries.get_mut(&payload).expect("a known delivery");
        delivery.replies += 1;
        self.replies += 1;
        assert_eq!(delivery.replies, 1, "a second reply to {payload}");
        assert!(self.now <= delivery.reply_by, "a late reply to {payload}");
        match reply.verdict() {
            Verdict::NotRun => assert_eq!(delivery.may_have_run, 0, "{payload} may have run"),
            Verdict::Ran => {
                let has_own_answer = reply.parts.iter().all(|part| part.body == payload);
                assert!(has_own_answer, "{payload} gets the answer to another request");
                assert!(!reply.parts.is_empty());
            }
            _ => {}
        }
    }
}

/// Payload of the requests of a delivery.
pub(crate) fn payload(query: u64, round: u32) -> String {
    format!("{query}/{round}")
}
