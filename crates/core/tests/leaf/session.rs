//! Snapshot test of a whole session.

use std::fmt::Write;
use std::time::Duration;

use ladder_core::leaf::event::{ConnectionKey, Outcome};
use ladder_core::leaf::{Action, Event};
use ladder_core::schema::outcome::Reason;
use ladder_core::schema::{target, wire};

use crate::harness::{Harness, SentCall, server, service, settings, work};

/// Writes the machine's actions as text; connections are numbered in order of opening.
struct SessionLog {
    harness: Harness,
    text: String,
    connections: Vec<ConnectionKey>,
}

impl SessionLog {
    fn record(&mut self, label: &str) {
        let _ = writeln!(self.text, "{:>7} {label}", self.harness.now.as_micros() / 1000);
        let actions: Vec<Action> = self.harness.log.drain(..).collect();
        // A connection's events follow from the other lines.
        let is_shown = |action: &&Action| !matches!(action, Action::Connection(_));
        for action in actions.iter().filter(is_shown) {
            let line = self.line(action);
            let _ = writeln!(self.text, "          {line}");
        }
        self.harness.log = actions;
    }

    fn line(&mut self, action: &Action) -> String {
        match action {
            Action::Open { connection, address, .. } => {
                self.connections.push(*connection);
                format!("open connection {} to {address}", self.nth(*connection))
            }
            Action::Close(connection) => format!("close connection {}", self.nth(*connection)),
            Action::Send { connection, request, timeout, .. } => {
                let target::Request { id, operation, index, version, shards, key, .. } = request;
                let (connection, timeout) = (self.nth(*connection), timeout.as_micros());
                let asked = format!("{operation} {index}@{version} {shards:?} for {key}");
                format!("send {id} on connection {connection}: {asked}, timeout {timeout} us")
            }
            Action::Cancel { connection, id } => {
                format!("cancel {id} on connection {}", self.nth(*connection))
            }
            Action::Probe { connection, server } => {
                format!("request load report of {server} on connection {}", self.nth(*connection))
            }
            Action::Pending { to, pending } => {
                format!(
                    "notify {} that query {} round {} is open",
                    to.name, pending.query, pending.round
                )
            }
            Action::Reply { to, reply } => {
                let wire::Reply { query, round, calls, retry_after_ms, .. } = reply;
                let (verdict, reason, parts) = (reply.verdict(), reply.reason(), reply.parts.len());
                let summary = format!("query {query} round {round} {verdict:?} {reason:?}");
                let details =
                    format!("{parts} parts, {calls} calls, retry after {retry_after_ms} ms");
                format!("reply to {}: {summary}, {details}", to.name)
            }
            Action::Log(trace) => {
                let results = trace.calls.iter().map(|call| match call.end {
                    Some(end) => format!("{:?} at {} {:?}", call.cause, call.server, end.verdict),
                    None => format!("{:?} at {} open", call.cause, call.server),
                });
                let calls = results.collect::<Vec<_>>().join(", ");
                format!("log {} {:?} {:?}: {calls}", trace.id, trace.verdict, trace.reason)
            }
            Action::Server { name, suspect, .. } => format!("log {name} suspect {suspect}"),
            Action::Crashed { server, incarnation, requests, .. } => {
                format!(
                    "server {server}, incarnation {incarnation}, crashed while running {requests:?}"
                )
            }
            Action::Refuted { server, incarnation } => {
                format!("server {server}, incarnation {incarnation}, answered")
            }
            Action::Cleared { request, .. } => format!("clear {request}"),
            Action::Connection(event) => format!("count connection {event:?}"),
            Action::Count(count) => format!("count {:?} {:?}", count.event, count.reason),
        }
    }

    /// Number of a connection in order of opening, from 1.
    fn nth(&self, connection: ConnectionKey) -> usize {
        let place = self.connections.iter().position(|other| *other == connection);
        place.map_or(0, |place| place + 1)
    }

    /// Advances the clock, delivers an event and returns the calls sent because of the event.
    fn step(&mut self, millis: u64, label: &str, event: Event) -> Vec<SentCall> {
        self.harness.log.clear();
        self.harness.advance(millis);
        if !self.harness.log.is_empty() {
            self.record("time passes");
        }
        self.harness.log.clear();
        self.harness.handle(event);
        self.record(label);
        self.harness.sent()
    }

    fn end_call(
        &mut self,
        millis: u64,
        label: &str,
        sent: &SentCall,
        outcome: Outcome,
    ) -> Vec<SentCall> {
        let attempt = sent.attempt;
        self.step(millis, label, Event::Ended { attempt, outcome })
    }

    fn deliver_work(&mut self, query: u64, operation: &str) -> Vec<SentCall> {
        let event = Event::Work {
            from: crate::harness::peer("porto-2"),
            incarnation: 9,
            work: work(query, operation),
        };
        self.step(1, &format!("work {query}: {operation}"), event)
    }
}

/// Guards against unintended changes of any action over a whole session. A sweep gets a hedged call
/// and a reply, and the slow first call is cancelled. A booking is refused by a shedding server,
/// runs on the other server and is lost; the caller's second attempt is not run. A drain lets the
/// last sweep finish.
#[test]
fn session_with_hedged_sweep_lost_booking_and_drain() {
    let mut session = SessionLog {
        harness: Harness::unconnected(settings(), service(vec![server(1), server(2)])),
        text: String::new(),
        connections: Vec::new(),
    };
    session.record("view");
    session.harness.connect();
    session.harness.learn_call_times(100, 10);
    session.harness.now = session.harness.now + Duration::from_millis(1);
    hedged_sweep(&mut session);
    lost_booking(&mut session);
    let last = session.deliver_work(3, "sweep");
    session.step(1, "drain", Event::Drain);
    session.deliver_work(4, "sweep");
    session.end_call(9, "answer", &last[0], last[0].answer());
    assert_eq!(session.harness.machine.open(), 0);
    insta::assert_snapshot!(session.text);
}

fn hedged_sweep(session: &mut SessionLog) {
    let first = session.deliver_work(1, "sweep");
    session.harness.log.clear();
    session.harness.advance(12);
    session.record("the call is slow");
    let hedged = session.harness.sent();
    session.end_call(8, "the hedged call is answered", &hedged[0], hedged[0].answer());
    let refused = first[0].refusal(Reason::Cancelled, 0);
    session.end_call(1, "the first call is cancelled", &first[0], refused);
}

fn lost_booking(session: &mut SessionLog) {
    let first = session.deliver_work(2, "book");
    let shed_refusal = first[0].refusal(Reason::TargetShed, 50);
    let second = session.end_call(1, "the server sheds", &first[0], shed_refusal);
    session.end_call(5, "the connection breaks", &second[0], Outcome::Lost);
    let mut second_attempt = work(20, "book");
    second_attempt.key = "key-2".into();
    second_attempt.attempt = 2;
    let event =
        Event::Work { from: crate::harness::peer("porto-3"), incarnation: 4, work: second_attempt };
    session.step(5, "the caller retries through another entry instance", event);
}
