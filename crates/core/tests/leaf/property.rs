//! Property test: any order of events keeps the invariants of the leaf machine.

use std::sync::Arc;
use std::time::Duration;

use bolero::TypeGenerator;
use ladder_core::leaf::event::{AttemptKey, ConnectionKey, Outcome};
use ladder_core::leaf::{Event, Machine, Settings};
use ladder_core::schema::outcome::Reason;
use ladder_core::schema::{target, wire};
use ladder_core::time::Instant;
use ladder_core::view::Server;

use crate::harness;
use crate::simulation::{Call, ConnectionState, Simulation, payload};

/// Outcome of a call.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum End {
    Answer,
    OtherRequest,
    OtherVersion,
    Shed,
    Cancelled,
    Retired,
    Error,
    Lost,
    Unsent,
}

/// One step of a random session. Numbers select among what currently exists.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Step {
    Work { query: u8, round: u8, operation: u8, attempt: u8, budget: u8 },
    Cancel { query: u8 },
    Connect(u8),
    Drop(u8),
    End(u8, End),
    Load { server: u8, cold: bool },
    Share(u8, u8),
    Slots(u8, u8),
    Leave(u8),
    Pause(u8),
    Wait(u8),
    Drain,
}

struct Run {
    machine: Machine,
    simulation: Simulation,
}

impl Run {
    fn new() -> Self {
        let settings = Settings::builder("porto-1", 7).seed(3).build();
        let servers = vec![harness::server(1), harness::server(2), harness::server(3)];
        let simulation = Simulation::new(Instant::from_millis(1000), servers);
        let mut run = Self { machine: Machine::new(settings), simulation };
        run.publish();
        run.teach();
        run
    }

    /// Answers enough sweeps of 5 ms for call times to be learned and for a budget for hedged
    /// calls.
    fn teach(&mut self) {
        for number in 0..100 {
            self.step(Step::Connect(number));
            self.deliver(100 + u64::from(number), 0, "sweep", 1, 200);
            self.wait(Duration::from_millis(5));
            self.step(Step::End(0, End::Answer));
        }
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.machine.handle(self.simulation.now, event, &mut out);
        self.simulation.check(&out);
    }

    fn publish(&mut self) {
        let servers = self.simulation.servers.clone();
        self.handle(harness::view(harness::service(servers)));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Work { query, round, operation, attempt, budget } => {
                self.deliver_work(query, round, operation, attempt, budget);
            }
            Step::Cancel { query } => self.handle(harness::cancel(u64::from(query % 16))),
            Step::Connect(which) => self.complete_connection(which),
            Step::Drop(which) => self.close_connection(which),
            Step::End(which, end) => self.end_call(which, end),
            Step::Load { server, cold } => self.load(server, cold),
            Step::Share(which, share) => self.update(which, |s| s.share = u32::from(share % 8)),
            Step::Slots(which, slots) => self.update(which, |s| s.slots = 1 + u32::from(slots % 3)),
            Step::Leave(which) => self.update(which, |s| s.leaving = true),
            Step::Pause(steps) => self.pause(steps),
            Step::Wait(steps) => self.wait(Duration::from_millis(u64::from(steps))),
            Step::Drain => self.handle(Event::Drain),
        }
    }

    fn deliver_work(&mut self, query: u8, round: u8, operation: u8, attempt: u8, budget: u8) {
        let operation = ["sweep", "check", "rounds", "book"][usize::from(operation % 4)];
        let (query, round) = (u64::from(query % 16), u32::from(round % 3));
        self.deliver(query, round, operation, attempt % 3, budget);
    }

    fn deliver(&mut self, query: u64, round: u32, operation: &str, attempt: u8, budget: u8) {
        let work = wire::Work {
            round,
            key: format!("key-{}", query % 8),
            attempt: attempt.into(),
            budget_us: u64::from(budget) * 2000,
            payload: payload(query, round),
            ..harness::work(query, operation)
        };
        self.simulation.deliver(&work);
        self.handle(Event::Work { from: harness::peer("porto-2"), incarnation: 9, work });
    }

    fn complete_connection(&mut self, which: u8) {
        let is_pending = |state: &ConnectionState| {
            matches!(state, ConnectionState::Opening | ConnectionState::Control)
        };
        if let Some(connection) = self.pick_connection(which, is_pending) {
            self.simulation.set_state(connection, ConnectionState::Idle);
            self.handle(Event::Opened(connection));
        }
    }

    fn close_connection(&mut self, which: u8) {
        if let Some(connection) =
            self.pick_connection(which, |state| *state != ConnectionState::Busy)
        {
            self.simulation.connections.remove(&connection);
            self.handle(Event::Closed(connection));
        }
    }

    fn pick_connection(
        &self,
        which: u8,
        predicate: impl Fn(&ConnectionState) -> bool,
    ) -> Option<ConnectionKey> {
        let connections =
            self.simulation.connections.iter().filter(|(_, (_, state))| predicate(state));
        let connections: Vec<ConnectionKey> =
            connections.map(|(connection, _)| *connection).collect();
        connections.get(usize::from(which) % connections.len().max(1)).copied()
    }

    fn end_call(&mut self, which: u8, end: End) {
        let calls: Vec<AttemptKey> = self.simulation.calls.keys().copied().collect();
        let Some(attempt) = calls.get(usize::from(which) % calls.len().max(1)).copied() else {
            return;
        };
        let outcome = outcome(&self.simulation.calls[&attempt], end);
        let call = self.simulation.end_call(attempt, &outcome);
        self.handle(Event::Ended { attempt, outcome });
        assert!(!self.simulation.calls.values().any(|other| other.request.id == call.request.id));
    }

    fn load(&mut self, which: u8, cold: bool) {
        let server = &self.simulation.servers[usize::from(which % 3)];
        let load =
            target::Load { cold, incarnation: server.incarnation, ..target::Load::default() };
        let server = Arc::clone(&server.name);
        self.handle(Event::Load { server, load: Some(load) });
    }

    fn update(&mut self, which: u8, change: impl Fn(&mut Server)) {
        change(&mut self.simulation.servers[usize::from(which % 3)]);
        self.publish();
    }

    fn pause(&mut self, steps: u8) {
        let pause_length = Duration::from_millis(u64::from(steps) * 4);
        self.simulation.pause(pause_length);
        self.handle(Event::Paused(pause_length));
    }

    fn wait(&mut self, span: Duration) {
        let end = self.simulation.now + span;
        while let Some(at) = self.machine.next_wake().filter(|at| *at <= end) {
            self.simulation.now = self.simulation.now.max(at);
            self.handle(Event::Tick);
        }
        self.simulation.now = end;
    }
}

fn outcome(call: &Call, end: End) -> Outcome {
    let request = &call.request;
    let refusal = |reason| harness::refusal(request, reason, 3);
    let answer = harness::answer(request, |_| request.payload.clone());
    match end {
        End::Answer => Outcome::Answer(answer),
        End::OtherRequest => {
            let id = "porto-1.6.1".into();
            Outcome::Answer(target::Answer { id, parts: Vec::new(), ..answer })
        }
        End::OtherVersion => Outcome::Answer(target::Answer { version: 2, ..answer }),
        End::Shed => refusal(Reason::TargetShed),
        End::Cancelled => refusal(Reason::Cancelled),
        End::Retired => refusal(Reason::VersionRetired),
        End::Error => Outcome::Error,
        End::Lost => Outcome::Lost,
        End::Unsent => Outcome::Unsent,
    }
}

#[test]
fn any_order_of_events_keeps_the_invariants() {
    ladder_property::check_short(500, 4096)
        .with_generator(bolero::produce::<Vec<Step>>().with().len(0_usize..=400))
        .for_each(|steps| {
            let mut run = Run::new();
            for step in steps {
                run.step(*step);
            }
            run.wait(Duration::from_secs(61));
            assert_eq!(run.machine.open(), 0);
            run.simulation.check_all_replied();
        });
}

/// Guards against a property test that passes without testing: its sessions must reach answered
/// calls.
#[test]
fn random_sessions_reach_answered_calls() {
    let mut run = Run::new();
    for number in 0..200_u8 {
        run.step(Step::Connect(number));
        run.deliver_work(number, number / 16, number, 1, 200);
        run.step(Step::End(number, End::Answer));
    }
    run.wait(Duration::from_secs(1));
    assert!(run.simulation.replies > 30, "{} replies", run.simulation.replies);
}
