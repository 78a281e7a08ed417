//! Golden file of a whole session.

use std::fmt::Write;
use std::time::Duration;

use ladder_core::leaf::event::{LaneKey, Outcome};
use ladder_core::leaf::{Action, Event};
use ladder_core::schema::outcome::Reason;
use ladder_core::schema::{target, wire};

use crate::bed::{Bed, Sent, server, service, settings, work};

/// Writes down what the machine does, lanes as numbers in order of opening.
struct Tape {
    bed: Bed,
    text: String,
    lanes: Vec<LaneKey>,
}

impl Tape {
    fn note(&mut self, what: &str) {
        let _ = writeln!(self.text, "{:>7} {what}", self.bed.now.as_micros() / 1000);
        let actions: Vec<Action> = self.bed.log.drain(..).collect();
        for action in &actions {
            let line = self.line(action);
            let _ = writeln!(self.text, "          {line}");
        }
        self.bed.log = actions;
    }

    fn line(&mut self, action: &Action) -> String {
        match action {
            Action::Open { lane, address, .. } => {
                self.lanes.push(*lane);
                format!("open lane {} to {address}", self.number(*lane))
            }
            Action::Close(lane) => format!("close lane {}", self.number(*lane)),
            Action::Send { lane, request, timeout, .. } => {
                let target::Request { id, operation, index, version, shards, key, .. } = request;
                let (lane, timeout) = (self.number(*lane), timeout.as_micros());
                let asked = format!("{operation} {index}@{version} {shards:?} for {key}");
                format!("send {id} on lane {lane}: {asked}, timeout {timeout} us")
            }
            Action::Cancel { lane, id } => format!("cancel {id} on lane {}", self.number(*lane)),
            Action::Probe { lane, server } => {
                format!("ask {server} for its load on lane {}", self.number(*lane))
            }
            Action::Pending { to, pending } => {
                format!("tell {} that q{} r{} is open", to.name, pending.query, pending.round)
            }
            Action::Reply { to, reply } => {
                let wire::Reply { query, round, calls, retry_after_ms, .. } = reply;
                let (verdict, reason, parts) = (reply.verdict(), reply.reason(), reply.parts.len());
                let said = format!("query {query} round {round} {verdict:?} {reason:?}");
                let rest = format!("{parts} parts, {calls} calls, come back {retry_after_ms} ms");
                format!("reply to {}: {said}, {rest}", to.name)
            }
            Action::Log(trace) => {
                let ends = trace.trials.iter().map(|trial| match trial.end {
                    Some(end) => format!("{:?} at {} {:?}", trial.cause, trial.server, end.verdict),
                    None => format!("{:?} at {} open", trial.cause, trial.server),
                });
                let calls = ends.collect::<Vec<_>>().join(", ");
                format!("log {} {:?} {:?}: {calls}", trace.id, trace.verdict, trace.reason)
            }
            Action::Server { name, suspect, .. } => format!("log {name} suspect {suspect}"),
            Action::Crashed { server, incarnation, requests, .. } => {
                format!("server {server}, incarnation {incarnation}, ended under {requests:?}")
            }
            Action::Refuted { server, incarnation } => {
                format!("server {server}, incarnation {incarnation}, lives")
            }
            Action::Cleared(request) => format!("clear {request}"),
            Action::Count(count) => format!("count {:?} {:?}", count.event, count.reason),
        }
    }

    fn number(&self, lane: LaneKey) -> usize {
        let place = self.lanes.iter().position(|other| *other == lane);
        place.map_or(0, |place| place + 1)
    }

    /// Lets time pass and hands an event over; the last calls sent are returned.
    fn step(&mut self, millis: u64, what: &str, event: Event) -> Vec<Sent> {
        self.bed.log.clear();
        self.bed.advance(millis);
        if !self.bed.log.is_empty() {
            self.note("time passes");
        }
        self.bed.log.clear();
        self.bed.handle(event);
        self.note(what);
        self.bed.sent()
    }

    fn end(&mut self, millis: u64, what: &str, sent: &Sent, outcome: Outcome) -> Vec<Sent> {
        let attempt = sent.attempt;
        self.step(millis, what, Event::Ended { attempt, outcome })
    }

    fn work(&mut self, query: u64, operation: &str) -> Vec<Sent> {
        let event = Event::Work {
            from: crate::bed::peer("porto-2"),
            incarnation: 9,
            work: work(query, operation),
        };
        self.step(1, &format!("work {query}: {operation}"), event)
    }
}

/// A sweep waits for a straggler, gets a second copy and a reply; the first call is cancelled. Then
/// a booking is refused by a shedding server, runs on the other and is lost; the caller's second
/// attempt is not run. A drain lets the last sweep finish.
#[test]
fn straggler_then_lost_booking_then_drain() {
    let mut tape = Tape {
        bed: Bed::cold(settings(), service(vec![server(1), server(2)])),
        text: String::new(),
        lanes: Vec::new(),
    };
    tape.note("view");
    tape.bed.connect();
    tape.bed.teach(100, 10);
    tape.bed.now = tape.bed.now + Duration::from_millis(1);
    straggler(&mut tape);
    booking(&mut tape);
    let last = tape.work(3, "sweep");
    tape.step(1, "drain", Event::Drain);
    tape.work(4, "sweep");
    tape.end(9, "answer", &last[0], last[0].answer());
    assert_eq!(tape.bed.machine.open(), 0);
    insta::assert_snapshot!(tape.text);
}

fn straggler(tape: &mut Tape) {
    let first = tape.work(1, "sweep");
    tape.bed.log.clear();
    tape.bed.advance(12);
    tape.note("the call is slow");
    let copy = tape.bed.sent();
    tape.end(8, "the copy is answered", &copy[0], copy[0].answer());
    let refused = first[0].refusal(Reason::Cancelled, 0);
    tape.end(1, "the first call is cancelled", &first[0], refused);
}

fn booking(tape: &mut Tape) {
    let first = tape.work(2, "book");
    let shed = first[0].refusal(Reason::TargetShed, 50);
    let second = tape.end(1, "the server sheds", &first[0], shed);
    tape.end(5, "the connection breaks", &second[0], Outcome::Lost);
    let mut again = work(20, "book");
    again.key = "key-2".into();
    again.attempt = 2;
    let event = Event::Work { from: crate::bed::peer("porto-3"), incarnation: 4, work: again };
    tape.step(5, "the caller asks again through another entry", event);
}
