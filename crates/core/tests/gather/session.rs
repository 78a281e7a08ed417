//! Drives the machine and writes down what it is told and what it asks for.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use ladder_core::count::{self, Count};
use ladder_core::gather::event::Caller;
use ladder_core::gather::{Action, Event, Machine, Settings, status};
use ladder_core::schema::call::{Answer, Missing, Part, Request};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::{Reply, Work};
use ladder_core::time::Instant;

use crate::fleet::{Fleet, INDEX, SELF};

/// Incarnation of the instance under test.
pub(crate) const INCARNATION: u64 = 42;

/// A machine with the record of its session.
pub(crate) struct Session {
    pub(crate) machine: Machine,
    pub(crate) now: Instant,
    /// One line for each event and action.
    pub(crate) log: String,
    callers: u64,
}

impl Session {
    /// A machine that has taken the view of `fleet`.
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let mut session = Self::with(Settings::builder(SELF, INCARNATION).build());
        session.give(Event::View(fleet.view()));
        session
    }

    /// A machine without a view.
    pub(crate) fn with(settings: Settings) -> Self {
        Self {
            machine: Machine::new(settings),
            now: Instant::from_millis(1000),
            log: String::new(),
            callers: 0,
        }
    }

    /// Hands in an event now.
    pub(crate) fn give(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.line('>', &event_line(&event));
        self.machine.handle(self.now, event, &mut out);
        for action in &out {
            self.line('<', &action_line(action));
        }
        out
    }

    /// Lets time pass, waking the machine whenever it asks for it.
    pub(crate) fn pass(&mut self, millis: u64) -> Vec<Action> {
        let end = self.now + Duration::from_millis(millis);
        let mut out = Vec::new();
        while let Some(at) = self.machine.next_wake().filter(|&at| at <= end) {
            self.now = at.max(self.now);
            out.extend(self.give(Event::Tick));
        }
        self.now = end;
        out
    }

    /// Calls with a new caller.
    pub(crate) fn call(&mut self, request: Request) -> Vec<Action> {
        self.callers += 1;
        let caller = Caller(self.callers);
        self.give(Event::Call { caller, request })
    }

    /// A peer replies.
    pub(crate) fn reply(&mut self, from: &str, reply: Reply) -> Vec<Action> {
        self.give(Event::Replies { from: from.into(), replies: vec![reply] })
    }

    pub(crate) fn link_down(&mut self, name: &str) -> Vec<Action> {
        self.give(Event::LinkDown(name.into()))
    }

    fn line(&mut self, side: char, text: &str) {
        let millis = self.now.as_micros() as f64 / 1000.0 - 1000.0;
        writeln!(self.log, "{millis:>9.3} {side} {text}").expect("a string takes any text");
    }
}

/// A session of the usual fleet with one request under way, and the work that was sent for it.
pub(crate) fn asked(operation: &str, shards: &[&str]) -> (Session, Vec<(Arc<str>, Work)>) {
    let mut session = Session::new(&Fleet::default());
    let sent = works(&session.call(request("k1", operation, shards)));
    (session, sent)
}

pub(crate) fn request(key: &str, operation: &str, shards: &[&str]) -> Request {
    Request {
        key: key.to_owned(),
        index: INDEX.to_owned(),
        operation: operation.to_owned(),
        shards: shards.iter().map(|&shard| shard.to_owned()).collect(),
        ..Request::default()
    }
}

/// The work messages with their receivers.
pub(crate) fn works(actions: &[Action]) -> Vec<(Arc<str>, Work)> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send { to, work } => Some((to.name.clone(), work.clone())),
        _ => None,
    });
    sends.collect()
}

/// The count of a reply that is dropped.
pub(crate) fn dropped(reason: Reason) -> Action {
    Action::Count(Count { event: count::Event::Drop, reason })
}

/// The only answer.
pub(crate) fn answer(actions: &[Action]) -> Answer {
    let mut answers = answers(actions);
    assert_eq!(answers.len(), 1, "one answer in {actions:?}");
    answers.remove(0)
}

pub(crate) fn answers(actions: &[Action]) -> Vec<Answer> {
    let answers = actions.iter().filter_map(|action| match action {
        Action::Answer { answer, .. } => Some(answer.clone()),
        _ => None,
    });
    answers.collect()
}

/// The reply that covers the portion of `service` in `work`.
pub(crate) fn covered(work: &Work, service: &str) -> Reply {
    let portion = work.portions.iter().find(|portion| portion.service == service);
    let shards = &portion.expect("the work has a portion of the service").shards;
    let part = |shard: &String| Part {
        shard: shard.clone(),
        body: format!("{shard}@{}", work.version),
        response: None,
    };
    Reply {
        verdict: Verdict::Ran.into(),
        parts: shards.iter().map(part).collect(),
        calls: 1,
        ..refused(work, service, Reason::Unspecified)
    }
}

/// The reply that refuses it with proof that it did not run.
pub(crate) fn refused(work: &Work, service: &str, reason: Reason) -> Reply {
    Reply {
        query: work.query,
        round: work.round,
        incarnation: INCARNATION,
        service: service.to_owned(),
        verdict: Verdict::NotRun.into(),
        reason: reason.into(),
        version: work.version,
        ..Reply::default()
    }
}

/// Shards with reasons, as `a:QUEUE_FULL`.
pub(crate) fn missing(answer: &Answer) -> String {
    let missing = answer.missing.iter().map(missing_text);
    missing.collect::<Vec<_>>().join(" ")
}

fn missing_text(missing: &Missing) -> String {
    let (reason, verdict) = (missing.reason(), missing.verdict());
    format!("{}:{}/{}", missing.shard, short(reason), verdict_text(verdict))
}

fn short(reason: Reason) -> &'static str {
    reason.as_str_name().trim_start_matches("REASON_")
}

fn verdict_text(verdict: Verdict) -> &'static str {
    verdict.as_str_name().trim_start_matches("VERDICT_")
}

fn event_line(event: &Event) -> String {
    match event {
        Event::Call { caller: Caller(caller), request } => {
            let Request { key, attempt, index, operation, shards, deadline_ms, .. } = request;
            let asked = format!("{index}/{operation} shards={shards:?} deadline={deadline_ms}");
            format!("call #{caller} {key} attempt={attempt} {asked}")
        }
        Event::Gone(caller) => format!("gone #{}", caller.0),
        Event::Replies { from, replies } => {
            let replies = replies.iter().map(reply_text);
            format!("from {from}: {}", replies.collect::<Vec<_>>().join("; "))
        }
        Event::Pending { from, pending } => {
            format!("{from} still collects q{} r{}", pending.query, pending.round)
        }
        Event::LinkDown(name) => format!("link down {name}"),
        Event::View(view) => format!("view, {} services", view.services.len()),
        Event::Paused(gap) => format!("paused {gap:?}"),
        Event::Drain => "drain".to_owned(),
        Event::Tick => "tick".to_owned(),
        Event::Cut => "cut".to_owned(),
    }
}

fn reply_text(reply: &Reply) -> String {
    let Reply { query, round, service, version, parts, .. } = reply;
    let (verdict, reason) = (verdict_text(reply.verdict()), short(reply.reason()));
    let parts = parts_text(parts);
    format!("q{query} r{round} {service} {verdict} {reason} v{version} [{parts}]")
}

fn parts_text(parts: &[Part]) -> String {
    let parts = parts.iter().map(|part| format!("{}={}", part.shard, part.body));
    parts.collect::<Vec<_>>().join(" ")
}

fn action_line(action: &Action) -> String {
    match action {
        Action::Answer { caller, answer } => {
            format!("answer #{} {}", caller.0, answer_text(answer))
        }
        Action::Send { to, work } => format!("send {} {}", to.name, work_text(work)),
        Action::Cancel { to, cancel } => format!("cancel {} q{}", to.name, cancel.query),
        Action::Log(account) => format!("log {} steps of {}", account.steps.len(), account.key),
        Action::Refused(request) => format!("refuse {request}"),
        Action::Count(count) => format!("count {:?} {}", count.event, short(count.reason)),
    }
}

fn work_text(work: &Work) -> String {
    let portions = work.portions.iter();
    let portions =
        portions.map(|portion| format!("{}[{}]", portion.service, portion.shards.join(" ")));
    let portions = portions.collect::<Vec<_>>().join(" ");
    let Work { query, round, key, attempt, index, operation, version, .. } = work;
    let Work { budget_us, extra_calls, .. } = work;
    let once = if work.unrepeatable { " once" } else { "" };
    let asked = format!("attempt={attempt} {index}/{operation} v{version} {portions}");
    format!("q{query} r{round} {key} {asked} budget={budget_us}us extra={extra_calls}{once}")
}

fn answer_text(answer: &Answer) -> String {
    let Answer { key, version, retry_after_ms, instance, .. } = answer;
    let (verdict, reason) = (verdict_text(answer.verdict()), short(answer.reason()));
    let (covered, missing) = (answer.covered.join(" "), missing(answer));
    let parts = parts_text(&answer.parts);
    let content = format!("covered=[{covered}] missing=[{missing}] parts=[{parts}]");
    let status = status(answer);
    format!(
        "{status} {key} {verdict} {reason} v{version} {content} retry={retry_after_ms} {instance}"
    )
}
