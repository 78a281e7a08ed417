//! The gathering machine.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::call;
use ladder_schema::outcome::{Reason, Verdict};
use slotmap::SlotMap;

use super::avoid::Avoid;
use super::check::{self, Refusal};
use super::event::{Action, Caller, Event};
use super::forward::Forwarder;
use super::history::{Explanation, History, Step};
use super::keys::Keys;
use super::near::Near;
use super::peers::Peers;
use super::plan::{Plan, Planner};
use super::query::{Name, Query, QueryKey};
use super::timers::{Timer, Timers};
use super::{answer, settings::Settings};
use crate::collections::Map;
use crate::count::{self, Count};
use crate::fingerprint::Fingerprint;
use crate::sample;
use crate::time::Instant;
use crate::view::View;

/// Queries open at once; more are refused.
///
/// Callers that wait for a stuck service would otherwise fill the memory of every instance and take
/// the other services with it.
const OPEN_QUERIES: usize = 10_000;

/// Takes callers' requests, plans them over shards, gathers the answers.
///
/// Every [`Event::Call`] is answered by exactly one [`Action::Answer`] before the caller's
/// deadline, if the machine is woken when it asks for it.
#[derive(Debug)]
pub struct Machine {
    pub(crate) settings: Settings,
    pub(crate) view: Arc<View>,
    draining: bool,
    pub(crate) planner: Planner,
    pub(crate) near: Near,
    pub(crate) avoid: Avoid,
    forwarder: Forwarder,
    pub(crate) queries: SlotMap<QueryKey, Query>,
    /// Invariant: holds exactly the present numbers of `queries`.
    pub(crate) numbers: Map<u64, QueryKey>,
    /// Invariant: holds exactly the callers of `queries`.
    pub(crate) callers: Map<Caller, QueryKey>,
    /// The last query number given out.
    last_number: u64,
    pub(crate) keys: Keys,
    pub(crate) peers: Peers,
    pub(crate) timers: Timers,
    pub(crate) history: History,
}

impl Machine {
    /// A machine that refuses everything as not ready until its first view.
    pub fn new(settings: Settings) -> Self {
        Self {
            history: History::new(settings.history),
            peers: Peers::new(Arc::clone(&settings.name)),
            settings,
            view: Arc::default(),
            draining: false,
            planner: Planner::default(),
            near: Near::default(),
            avoid: Avoid::default(),
            forwarder: Forwarder::default(),
            queries: SlotMap::default(),
            numbers: Map::default(),
            callers: Map::default(),
            last_number: 0,
            keys: Keys::default(),
            timers: Timers::default(),
        }
    }

    /// Takes an event and appends what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        if let Event::Gone(caller) = event {
            self.gone(now, caller, out);
        }
        // Whatever the event would make the machine send, nothing is sent for a query whose
        // deadline passed while nobody woke the machine.
        let reason = match event {
            Event::Paused(_) => Reason::Paused,
            _ => Reason::Deadline,
        };
        self.expire(now, reason, out);
        match event {
            Event::Call { caller, request } => self.call(now, caller, request, out),
            Event::Replies { from, replies } => self.replies(now, &from, replies, out),
            Event::Pending { from, pending } => self.pending(now, &from, &pending),
            Event::LinkDown(name) => self.link_down(now, &name, out),
            Event::View(view) => self.adopt(now, view, out),
            Event::Paused(_) => self.peers.restart_clocks(now),
            Event::Drain => self.draining = true,
            Event::Cut => {
                self.draining = true;
                self.cut(now, out);
            }
            Event::Gone(_) | Event::Tick => {}
        }
        self.wake(now, out);
    }

    /// When the machine wants an [`Event::Tick`].
    pub fn next_wake(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Number of open queries.
    pub fn open(&self) -> usize {
        self.queries.len()
    }

    /// What happened to the last query with this request key, if it is among the last few hundred.
    pub fn explain(&self, key: &str) -> Option<&Explanation> {
        self.history.find(key)
    }

    /// Takes a new query number.
    pub(crate) fn number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn call(
        &mut self,
        now: Instant,
        caller: Caller,
        request: call::Request,
        out: &mut Vec<Action>,
    ) {
        let number = self.number();
        let account = self.history.begin(&request.key, number);
        let attempt = request.attempt.max(1);
        let fingerprint = Fingerprint::of(&request);
        self.history.add(account, now, Step::Arrived { attempt, fingerprint });
        match self.admit(&request, fingerprint) {
            Ok(plan) => {
                let name = Name { number, account, fingerprint };
                self.start(now, caller, request, name, plan, out);
            }
            Err((refusal, verdict)) => {
                count(out, count::Event::Refusal, refusal.reason);
                if refusal.reason == Reason::Quarantined {
                    out.push(Action::Refused(fingerprint));
                }
                let detail = refusal.detail.as_str().into();
                self.history.add(account, now, Step::Refused { detail });
                let answer = answer::refusal(&request.key, &request.index, refusal, verdict);
                self.answer(now, caller, account, answer, out);
            }
        }
    }

    /// Plans a request, or says why it is refused and whether an earlier one with its key ran.
    fn admit(
        &mut self,
        request: &call::Request,
        fingerprint: Fingerprint,
    ) -> Result<Plan, (Refusal, Verdict)> {
        let refuse = |refusal| (refusal, Verdict::NotRun);
        check::check(request).map_err(refuse)?;
        if self.draining {
            let refusal = Refusal::new(Reason::Draining, "the instance is shutting down");
            return Err(refuse(refusal));
        }
        if !self.view.ready {
            let refusal = Refusal::new(Reason::NotReady, "the instance has no catalogue yet");
            return Err(refuse(refusal));
        }
        if self.queries.len() >= OPEN_QUERIES {
            let detail = format!("{OPEN_QUERIES} requests are open here");
            return Err(refuse(Refusal::new(Reason::QueueFull, detail)));
        }
        if self.view.quarantine.refused.contains(&fingerprint) {
            let detail = format!("fingerprint: {fingerprint}; servers ended under such requests");
            return Err(refuse(Refusal::new(Reason::Quarantined, detail)));
        }
        let plan = match &request.message {
            Some(message) => self.forwarder.plan(&self.view, request, message),
            None => self.planner.first(&self.view, request),
        };
        let plan = plan.map_err(refuse)?;
        if plan.terms.unrepeatable
            && let Some(verdict) = self.keys.get(&request.key)
        {
            let detail = format!("key: {}; a request with it was taken here", request.key);
            return Err((Refusal::new(Reason::RepeatedKey, detail), verdict));
        }
        Ok(plan)
    }

    fn start(
        &mut self,
        now: Instant,
        caller: Caller,
        request: call::Request,
        name: Name,
        plan: Plan,
        out: &mut Vec<Action>,
    ) {
        if plan.terms.unrepeatable {
            self.keys.start(&request.key);
        }
        if let Some(route) = &plan.route {
            let step = Step::Routed {
                route: route.spec.name.as_str().into(),
                deadline: plan.terms.deadline,
                target: Duration::from_millis(route.spec.target_ms.into()),
            };
            self.history.add(name.account, now, step);
        }
        let query = Query::new(now, caller, request, name, plan);
        let timer = query.timer;
        let key = self.queries.insert(query);
        self.numbers.insert(name.number, key);
        self.callers.insert(caller, key);
        self.timers.add(timer, Timer::Query(key));
        self.send_all(now, key, None, out);
        self.finish_if_settled(now, key, out);
    }

    fn gone(&mut self, now: Instant, caller: Caller, out: &mut Vec<Action>) {
        let Some(&key) = self.callers.get(&caller) else {
            return;
        };
        self.cancel(key, out);
        let Some(query) = self.remove(key) else {
            return;
        };
        self.history.add(query.account, now, Step::Gone);
        self.log(query.account, out);
        if query.terms.unrepeatable {
            self.keys.end(&query.request.key, answer::verdict(&query));
        }
    }

    /// Answers a caller and closes the account.
    pub(crate) fn answer(
        &mut self,
        now: Instant,
        caller: Caller,
        account: u64,
        mut answer: call::Answer,
        out: &mut Vec<Action>,
    ) {
        answer.instance = self.settings.name.to_string();
        let step = Step::Answered {
            verdict: answer.verdict(),
            reason: answer.reason(),
            covered: answer.covered.len() as u32,
            missing: answer.missing.len() as u32,
        };
        self.history.add(account, now, step);
        self.log(account, out);
        out.push(Action::Answer { caller, answer });
    }

    /// Logs an account that tells of anything but a plain answer, and of the others those that the
    /// sample names.
    fn log(&self, account: u64, out: &mut Vec<Action>) {
        let account = self.history.get(account);
        let worth = |account: &&Explanation| !account.is_plain() || sample::contains(&account.key);
        if let Some(account) = account.filter(worth) {
            out.push(Action::Log(Box::new(account.clone())));
        }
    }
}

/// Asks for a step of a counter.
pub(crate) fn count(out: &mut Vec<Action>, event: count::Event, reason: Reason) {
    out.push(Action::Count(Count { event, reason }));
}
