//! The gathering machine: the state machine that handles callers' requests and owners' replies.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::call;
use ladder_schema::outcome::{Reason, Verdict};
use slotmap::SlotMap;

use super::aggregator_selection::{AggregatorSelector, GroupStatus};
use super::avoid::AvoidedServers;
use super::check::{self, Refusal};
use super::event::{Action, CallerId, Event, Reception};
use super::forward::RoutePlanner;
use super::history::{Explanation, History, Step};
use super::keys::RequestKeys;
use super::peers::Peers;
use super::plan::{Plan, Planner};
use super::query::{Query, QueryIds, QueryKey};
use super::reservations::Reservations;
use super::response_time::ResponseTimes;
use super::sweep_admission::{Arrival, ReportedShare};
use super::timers::{Timer, Timers};
use super::trial::Trials;
use super::{answer, settings::Settings};
use crate::admission::Decision;
use crate::collections::Map;
use crate::count::{self, Count};
use crate::fingerprint::Fingerprint;
use crate::sample;
use crate::time::Instant;
use crate::view::View;

/// Maximum number of open queries; further requests are refused.
///
/// Otherwise, callers that wait for a stuck service would fill the memory of every instance and
/// make the other services unavailable too.
const MAX_OPEN_QUERIES: usize = 10_000;

/// Accepts callers' requests, plans them over shards, sends the portions to owners and gathers the
/// replies into answers.
///
/// Every [`Event::Call`] is answered by exactly one [`Action::Answer`] before the caller's
/// deadline, provided that the machine receives an [`Event::Tick`] at the time given by
/// [`Machine::next_wake`].
#[derive(Debug)]
pub struct Machine {
    pub(crate) settings: Settings,
    pub(crate) view: Arc<View>,
    draining: bool,
    pub(crate) planner: Planner,
    pub(crate) aggregator_selector: AggregatorSelector,
    pub(crate) avoided_servers: AvoidedServers,
    pub(crate) sweep_decision: Decision,
    /// Reported shares by the name of their route.
    pub(crate) reported_shares: Map<Arc<str>, ReportedShare>,
    route_planner: RoutePlanner,
    pub(crate) queries: SlotMap<QueryKey, Query>,
    /// Open queries by their current query number.
    ///
    /// Invariant: contains exactly the current numbers of `queries`.
    pub(crate) query_by_number: Map<u64, QueryKey>,
    /// Open queries by caller.
    ///
    /// Invariant: contains exactly the callers of `queries`.
    pub(crate) query_by_caller: Map<CallerId, QueryKey>,
    /// Queries of which portions were refused in the current event.
    ///
    /// Invariant: empty between events.
    pub(super) refused_queries: Vec<QueryKey>,
    /// The query number that was assigned last.
    last_number: u64,
    pub(crate) request_keys: RequestKeys,
    pub(crate) peers: Peers,
    pub(crate) reservations: Reservations,
    pub(crate) timers: Timers,
    pub(crate) history: History,
    pub(crate) response_times: ResponseTimes,
    pub(super) trials: Trials,
}

impl Machine {
    /// Creates a machine that refuses every request as not ready until it receives its first view.
    pub fn new(settings: Settings) -> Self {
        Self {
            history: History::new(settings.history_capacity),
            peers: Peers::new(Arc::clone(&settings.name)),
            reservations: Reservations::new(&settings),
            settings,
            view: Arc::default(),
            draining: false,
            planner: Planner::default(),
            aggregator_selector: AggregatorSelector::default(),
            avoided_servers: AvoidedServers::default(),
            sweep_decision: Decision::default(),
            reported_shares: Map::default(),
            route_planner: RoutePlanner::default(),
            queries: SlotMap::default(),
            query_by_number: Map::default(),
            query_by_caller: Map::default(),
            refused_queries: Vec::new(),
            last_number: 0,
            request_keys: RequestKeys::default(),
            timers: Timers::default(),
            response_times: ResponseTimes::default(),
            trials: Trials::default(),
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        if let Event::CallerLeft(caller) = event {
            self.response_times.discard(caller);
            self.handle_caller_left(now, caller, out);
        }
        self.expire_reservations(now, out);
        // Expired queries end before the event is handled, so that nothing is sent for a query
        // whose deadline passed while the machine was not woken.
        let reason = match event {
            Event::Paused(_) => Reason::Paused,
            _ => Reason::Deadline,
        };
        self.finish_expired(now, reason, out);
        match event {
            Event::Call { caller, request, reception } => {
                self.handle_call(now, caller, request, reception, out);
            }
            Event::Written { caller, at, transfer } => {
                self.handle_written(caller, at, transfer, out);
            }
            Event::Replies { from, replies } => self.handle_replies(now, &from, replies, out),
            Event::Pending { from, pending } => self.handle_pending(now, &from, &pending),
            Event::ReservationRequests { from, incarnation, requests } => {
                self.handle_reservation_requests(now, &from, incarnation, requests, out);
            }
            Event::ReservationReplies { from, replies } => {
                self.handle_reservation_replies(now, &from, replies, out);
            }
            Event::LinkDown(name) => self.link_down(now, &name, out),
            Event::View(view) => self.adopt_view(now, view, out),
            Event::Paused(_) => {
                self.peers.restart_silence_clocks(now);
                self.response_times.pause_ended(now);
            }
            Event::Drain => self.draining = true,
            Event::Cut => {
                self.draining = true;
                self.finish_all(now, out);
            }
            Event::CallerLeft(_) | Event::Tick => {}
        }
        self.serve_timers(now, out);
    }

    /// Returns when the machine needs an [`Event::Tick`]; `None` if no timer is set.
    pub fn next_wake(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Returns the number of open queries, which have not been answered yet.
    pub fn open(&self) -> usize {
        self.queries.len() + self.reservations.pending()
    }

    /// Returns the number of reservations that this instance holds for callers that retry.
    pub fn reservations(&self) -> usize {
        self.reservations.held()
    }

    /// Returns the steps of the most recent query with this request key, if the query is among the
    /// last ones that `Builder::history` keeps.
    pub fn explain(&self, key: &str) -> Option<&Explanation> {
        self.history.find(key)
    }

    /// Returns the instances that aggregate the parts of sweeps, by group and entry zone; empty
    /// without partial aggregation.
    pub fn aggregators(&self) -> Vec<GroupStatus> {
        let Some(zone) = &self.settings.zone else {
            return Vec::new();
        };
        self.aggregator_selector.status(&self.view, self.settings.local_instance(zone))
    }

    /// Assigns a new query number.
    pub(crate) fn next_query_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn handle_call(
        &mut self,
        now: Instant,
        caller: CallerId,
        request: call::Request,
        reception: Reception,
        out: &mut Vec<Action>,
    ) {
        let number = self.next_query_number();
        let history_id = self.history.begin(&request.key, number);
        let attempt = request.attempt.max(1);
        let fingerprint = Fingerprint::of(&request);
        self.history.add(history_id, now, Step::Arrived { attempt, fingerprint });
        let ids = QueryIds { number, history_id, fingerprint };
        match self.admit(now, &request, fingerprint) {
            Ok(plan) => {
                let at = reception.received_at.map_or(now, |received_at| received_at.min(now));
                let round_trip = reception.round_trip;
                let arrival = Arrival { caller, request, ids, plan, at, round_trip };
                self.start_if_admitted(now, arrival, out);
            }
            Err(refused) => self.refuse(now, caller, &request, ids, refused, out),
        }
    }

    /// Refuses a request of which nothing has been sent, with the verdict on an earlier request
    /// with the same key.
    pub(crate) fn refuse(
        &mut self,
        now: Instant,
        caller: CallerId,
        request: &call::Request,
        ids: QueryIds,
        (refusal, verdict): (Refusal, Verdict),
        out: &mut Vec<Action>,
    ) {
        count(out, count::Event::Refusal, refusal.reason);
        if refusal.reason == Reason::Quarantined {
            out.push(Action::Refused(ids.fingerprint));
        }
        let detail = refusal.detail.as_str().into();
        self.history.add(ids.history_id, now, Step::Refused { detail });
        let answer = answer::refusal_answer(&request.key, &request.index, refusal, verdict);
        self.send_answer(now, caller, ids.history_id, answer, out);
    }

    /// Plans a new request, or returns why it is refused and the verdict on an earlier request with
    /// the same key.
    fn admit(
        &mut self,
        now: Instant,
        request: &call::Request,
        fingerprint: Fingerprint,
    ) -> Result<Plan, (Refusal, Verdict)> {
        let refuse = |refusal| (refusal, Verdict::NotRun);
        check::check_request(request).map_err(refuse)?;
        if self.draining {
            let refusal = Refusal::new(Reason::Draining, "the instance is shutting down");
            return Err(refuse(refusal));
        }
        self.check_ready()?;
        if self.open() >= MAX_OPEN_QUERIES {
            let detail = format!("{MAX_OPEN_QUERIES} requests are open here");
            return Err(refuse(Refusal::new(Reason::QueueFull, detail)));
        }
        self.plan(now, request, fingerprint)
    }

    fn check_ready(&self) -> Result<(), (Refusal, Verdict)> {
        if self.view.ready {
            return Ok(());
        }
        let refusal = Refusal::new(Reason::NotReady, "the instance has no catalogue yet");
        Err((refusal, Verdict::NotRun))
    }

    /// Plans a request with the present view, or returns why it is refused and the verdict on an
    /// earlier request with the same key.
    pub(crate) fn plan(
        &mut self,
        now: Instant,
        request: &call::Request,
        fingerprint: Fingerprint,
    ) -> Result<Plan, (Refusal, Verdict)> {
        let refuse = |refusal| (refusal, Verdict::NotRun);
        self.check_ready()?;
        self.check_quarantined(now, fingerprint).map_err(refuse)?;
        let plan = match &request.message {
            Some(message) => self.route_planner.plan(&self.view, request, message),
            None => self.planner.first_plan(&self.view, request),
        };
        let mut plan = plan.map_err(refuse)?;
        if plan.terms.unrepeatable
            && let Some(verdict) = self.request_keys.get(&request.key)
        {
            let detail = format!("key: {}; a request with it was taken here", request.key);
            return Err((Refusal::new(Reason::RepeatedKey, detail), verdict));
        }
        self.check_suspected(now, fingerprint, &mut plan).map_err(refuse)?;
        Ok(plan)
    }

    /// Starts a request; `admitted_permille` is the share of the sweeps of its route that are
    /// admitted, or 0 if its admission was not decided.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        arrival: Arrival,
        admitted_permille: u32,
        out: &mut Vec<Action>,
    ) {
        let Arrival { caller, request, ids, plan, at, round_trip } = arrival;
        if plan.terms.unrepeatable {
            self.request_keys.start(&request.key);
        }
        if let Some(route) = &plan.route {
            let step = Step::Routed {
                route: route.spec.name.as_str().into(),
                deadline: plan.terms.deadline,
                target: Duration::from_millis(route.spec.target_ms.into()),
                attempts: route.spec.attempts,
                idempotent: !plan.terms.unrepeatable,
            };
            self.history.add(ids.history_id, now, step);
        }
        let reserve = self.response_times.reserve(round_trip);
        let mut query = Query::new(at, caller, request, ids, plan, reserve);
        query.admitted_permille = admitted_permille;
        let timer = query.timer;
        let key = self.queries.insert(query);
        self.query_by_number.insert(ids.number, key);
        self.query_by_caller.insert(caller, key);
        self.timers.add(timer, Timer::Query(key));
        self.send_all(now, key, None, out);
        self.finish_if_settled(now, key, out);
    }

    fn handle_caller_left(&mut self, now: Instant, caller: CallerId, out: &mut Vec<Action>) {
        self.leave_pending(now, caller, out);
        let Some(&key) = self.query_by_caller.get(&caller) else {
            return;
        };
        self.cancel_query(key, out);
        let Some(query) = self.remove_query(key) else {
            return;
        };
        self.history.add(query.history_id, now, Step::CallerLeft);
        self.log_if_notable(query.history_id, out);
        if query.terms.unrepeatable {
            self.request_keys.end(&query.request.key, answer::query_verdict(&query));
        }
    }

    /// Answers a caller and completes the query's history.
    pub(crate) fn send_answer(
        &mut self,
        now: Instant,
        caller: CallerId,
        history_id: u64,
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
        self.history.add(history_id, now, step);
        self.log_if_notable(history_id, out);
        out.push(Action::Answer { caller, answer });
    }

    /// Logs the history of a query unless all shards were covered at the first attempt and in
    /// time; of such plain queries only those in the log sample are logged.
    pub(super) fn log_if_notable(&self, history_id: u64, out: &mut Vec<Action>) {
        let explanation = self.history.get(history_id);
        let should_log = |explanation: &&Explanation| {
            !explanation.is_plain() || sample::contains(&explanation.key)
        };
        if let Some(explanation) = explanation.filter(should_log) {
            out.push(Action::Log(Box::new(explanation.clone())));
        }
    }
}

/// Appends an action that increments a counter.
pub(crate) fn count(out: &mut Vec<Action>, event: count::Event, reason: Reason) {
    out.push(Action::Count(Count { event, reason }));
}
