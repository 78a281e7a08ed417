//! Test harness that drives a gathering machine and logs its events and actions.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use ladder_core::count::{self, Count};
use ladder_core::gather::event::{CallerId, Reception};
use ladder_core::gather::{Action, Event, Machine, Settings, status};
use ladder_core::schema::call::{Answer, Missing, Part, Request};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::{Reply, Work};
use ladder_core::time::Instant;

use crate::fleet::{Fleet, INDEX, SELF};

/// Incarnation of the instance under test.
pub(crate) const INCARNATION: u64 = 42;

/// A gathering machine with a log of its events and actions.
pub(crate) struct Harness {
    pub(crate) machine: Machine,
    pub(crate) now: Instant,
    /// Log with one line for each event and action.
    pub(crate) log: String,
    callers: u64,
}

impl Harness {
    /// Creates a machine that has received the view of `fleet`.
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let mut harness = Self::with(Settings::builder(SELF, INCARNATION).build());
        harness.deliver(Event::View(fleet.view()));
        harness
    }

    /// Creates a machine without a view.
    pub(crate) fn with(settings: Settings) -> Self {
        Self {
            machine: Machine::new(settings),
            now: Instant::from_millis(1000),
            log: String::new(),
            callers: 0,
        }
    }

    /// Delivers an event at the current time and returns the resulting actions.
    pub(crate) fn deliver(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.line('>', &event_line(&event));
        self.machine.handle(self.now, event, &mut out);
        for action in &out {
            self.line('<', &action_line(action));
        }
        out
    }

    /// Advances the time, delivers a tick whenever the machine requests it, and returns the
    /// resulting actions.
    pub(crate) fn advance(&mut self, millis: u64) -> Vec<Action> {
        let end = self.now + Duration::from_millis(millis);
        let mut out = Vec::new();
        while let Some(at) = self.machine.next_wake().filter(|&at| at <= end) {
            self.now = at.max(self.now);
            out.extend(self.deliver(Event::Tick));
        }
        self.now = end;
        out
    }

    /// Delivers a request from a new caller.
    pub(crate) fn call(&mut self, request: Request) -> Vec<Action> {
        self.callers += 1;
        let caller = CallerId(self.callers);
        self.deliver(Event::Call { caller, request, reception: Reception::default() })
    }

    /// Delivers a reply from a peer.
    pub(crate) fn reply(&mut self, from: &str, reply: Reply) -> Vec<Action> {
        self.deliver(Event::Replies { from: from.into(), replies: vec![reply] })
    }

    pub(crate) fn link_down(&mut self, name: &str) -> Vec<Action> {
        self.deliver(Event::LinkDown(name.into()))
    }

    fn line(&mut self, side: char, text: &str) {
        let millis = self.now.as_micros() as f64 / 1000.0 - 1000.0;
        writeln!(self.log, "{millis:>9.3} {side} {text}").expect("a string takes any text");
    }
}

/// Creates a harness for the default fleet with one request in progress; returns it with the work
/// that was sent for the request.
pub(crate) fn start_request(operation: &str, shards: &[&str]) -> (Harness, Vec<(Arc<str>, Work)>) {
    let mut harness = Harness::new(&Fleet::default());
    let sent = sent_work(&harness.call(request("k1", operation, shards)));
    (harness, sent)
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

/// Returns the work messages with their receivers.
pub(crate) fn sent_work(actions: &[Action]) -> Vec<(Arc<str>, Work)> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send { to, work } => Some((to.name.clone(), work.clone())),
        _ => None,
    });
    sends.collect()
}

/// Returns the action that counts a reply dropped for `reason`.
pub(crate) fn drop_count(reason: Reason) -> Action {
    Action::Count(Count { event: count::Event::Drop, reason })
}

/// Returns the answer among the actions, of which there must be exactly one.
pub(crate) fn only_answer(actions: &[Action]) -> Answer {
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

/// Builds the reply that covers the portion of `service` in `work`.
pub(crate) fn covering_reply(work: &Work, service: &str) -> Reply {
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
        ..refusal_reply(work, service, Reason::Unspecified)
    }
}

/// Builds the reply that refuses the portion of `service` with proof that it did not run.
pub(crate) fn refusal_reply(work: &Work, service: &str, reason: Reason) -> Reply {
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

/// Formats the missing shards with their reasons and verdicts, such as `a:QUEUE_FULL/NOT_RUN`.
pub(crate) fn missing_summary(answer: &Answer) -> String {
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
        Event::Call { caller: CallerId(caller), request, .. } => {
            let Request { key, attempt, index, operation, shards, deadline_ms, .. } = request;
            let asked = format!("{index}/{operation} shards={shards:?} deadline={deadline_ms}");
            format!("call #{caller} {key} attempt={attempt} {asked}")
        }
        Event::Written { caller, .. } => format!("written #{}", caller.0),
        Event::CallerLeft(caller) => format!("gone #{}", caller.0),
        Event::Replies { from, replies } => {
            let replies = replies.iter().map(reply_text);
            format!("from {from}: {}", replies.collect::<Vec<_>>().join("; "))
        }
        Event::Pending { from, pending } => {
            format!("{from} still collects q{} r{}", pending.query, pending.round)
        }
        Event::ReservationRequests { from, requests, .. } => {
            format!("{} requests {} reservations", from.name, requests.len())
        }
        Event::ReservationReplies { from, replies } => {
            format!("{from} replies to {} reservation requests", replies.len())
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
        Action::RequestReservation { to, request } => {
            format!("request reservation {} q{}", to.name, request.query)
        }
        Action::ReplyReservation { to, reply } => {
            format!("reply reservation {} q{}", to.name, reply.query)
        }
        Action::Reservation(event) => format!("reservation {}", event.name()),
        Action::Log(account) => format!("log {} steps of {}", account.steps.len(), account.key),
        Action::Refused(request) => format!("refuse {request}"),
        Action::Share(change) => {
            format!("share {} {}", change.route, change.share.permille())
        }
        Action::Written(response) => format!("written {:?}", response.total()),
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
    let (covered, missing) = (answer.covered.join(" "), missing_summary(answer));
    let parts = parts_text(&answer.parts);
    let content = format!("covered=[{covered}] missing=[{missing}] parts=[{parts}]");
    let status = status(answer);
    format!(
        "{status} {key} {verdict} {reason} v{version} {content} retry={retry_after_ms} {instance}"
    )
}
