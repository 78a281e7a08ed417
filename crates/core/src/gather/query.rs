//! State of one query and of its portions (sub-requests to single services).

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::call;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::publication::Index;
use slotmap::new_key_type;

use super::event::CallerId;
use super::peers::PeerKey;
use super::plan::{Plan, ServiceShards, Terms};
use super::response_time::ResponseReserve;
use crate::eligible::ServerHash;
use crate::fingerprint::Fingerprint;
use crate::route::Route;
use crate::time::{Instant, micros};

new_key_type! {
    /// Key of an open query.
    pub(crate) struct QueryKey;
}

/// Progress of one sending of a portion to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Progress {
    /// The owner has not replied yet, and its reply is relied on.
    Open,
    /// The owner is silent. The portion may also have been sent elsewhere, but the owner's reply
    /// is still awaited.
    Overdue,
    /// The link to the owner broke: a reply is still accepted, but not awaited.
    Lost,
    /// A reply to the sending was accepted.
    Answered,
}

/// One sending of a portion to an instance; a portion may be sent to several instances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sending {
    /// Number of the work message within the query; the reply repeats it.
    pub(crate) round: u32,
    /// The instance that the portion was sent to.
    pub(crate) peer: PeerKey,
    /// When the portion was sent.
    pub(crate) at: Instant,
    /// Progress of this sending of the portion.
    pub(crate) progress: Progress,
    /// Whether the peer is to aggregate the portion with others.
    pub(crate) is_aggregated: bool,
    /// Whether the peer that aggregates the portion has reported that it is still working on it.
    pub(crate) has_reported: bool,
}

impl Sending {
    /// Returns whether a peer is aggregating the portion and has not yet reported that it still
    /// does.
    pub(crate) fn owes_report(&self) -> bool {
        self.is_aggregated && self.progress == Progress::Open && !self.has_reported
    }
}

/// Outcome of a portion of a query.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PortionState {
    /// A reply to the portion is awaited.
    Open,
    /// The portion is covered: exactly one part for each of its shards, in their order, all from
    /// one reply.
    Covered(Vec<call::Part>),
    /// The portion was refused or failed for this reason, and no reply is awaited.
    Refused(Reason),
}

/// The last refusal of a portion that may be sent again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused {
    /// Reason of the refusal.
    pub(crate) reason: Reason,
    /// When the refusal arrived.
    pub(crate) at: Instant,
    /// Whether the refusal proves that no server received the portion through its sender.
    pub(crate) is_before_call: bool,
}

/// The sub-request of a query to one service.
#[derive(Clone, Debug)]
pub(crate) struct Portion {
    /// The service and its requested shards.
    pub(crate) requested: Arc<ServiceShards>,
    /// Outcome of the portion.
    pub(crate) state: PortionState,
    /// All sendings of the portion, oldest first.
    ///
    /// Invariant: of a non-idempotent query, all sendings except the last were answered with proof
    /// that they did not run.
    pub(crate) sendings: Vec<Sending>,
    /// Servers on which the portion of a sweep may run.
    ///
    /// Invariant: unchanged once a server may have received the portion.
    pub(crate) eligible: Vec<ServerHash>,
    /// Servers that an instance reported as unusable for this portion.
    pub(crate) unusable: Vec<ServerHash>,
    /// The last refusal, while the portion has not been sent again.
    pub(crate) refused: Option<Refused>,
    /// Whether some sending was answered without proof that it did not run.
    pub(crate) may_have_run: bool,
    /// Whether an owner replied that the portion ran, but did not return the parts.
    pub(crate) ran: bool,
    /// Whether some reply leaves it possible that a server received the portion, even if it did
    /// not run there.
    pub(crate) may_have_reached_server: bool,
}

impl Portion {
    fn new(requested: Arc<ServiceShards>) -> Self {
        Self {
            requested,
            state: PortionState::Open,
            sendings: Vec::new(),
            eligible: Vec::new(),
            unusable: Vec::new(),
            refused: None,
            may_have_run: false,
            ran: false,
            may_have_reached_server: false,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.state == PortionState::Open
    }

    /// Returns whether a reply is due from an owner that is neither silent nor lost.
    pub(crate) fn has_reliable_sending(&self) -> bool {
        let mut sendings = self.sendings.iter();
        sendings.any(|sending| sending.progress == Progress::Open)
    }

    /// Returns whether some sending may still produce a reply that is worth waiting for.
    pub(crate) fn awaits_reply(&self) -> bool {
        self.sendings
            .iter()
            .any(|sending| matches!(sending.progress, Progress::Open | Progress::Overdue))
    }

    /// Returns whether a sending other than that of `round` may have reached a server.
    pub(crate) fn is_repeated(&self, round: u32) -> bool {
        let mut before = self.sendings.iter().filter(|sending| sending.round != round);
        self.may_have_reached_server || before.any(|sending| sending.progress != Progress::Answered)
    }

    /// Returns whether it is proved that no server received the portion.
    pub(crate) fn is_proved_unreceived(&self) -> bool {
        let mut sendings = self.sendings.iter();
        !self.may_have_reached_server
            && sendings.all(|sending| sending.progress == Progress::Answered)
    }

    /// Returns whether the portion ran, as far as that is proved.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.ran || matches!(self.state, PortionState::Covered(_)) {
            return Verdict::Ran;
        }
        let is_unanswered = |sending: &Sending| sending.progress != Progress::Answered;
        if self.may_have_run || self.sendings.iter().any(is_unanswered) {
            return Verdict::MayHaveRun;
        }
        Verdict::NotRun
    }
}

/// Identifiers of a query in messages, in the history and by content.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueryIds {
    /// Number of the query in messages to owners.
    pub(crate) number: u64,
    /// Identifier of the query's history.
    pub(crate) history_id: u64,
    /// Fingerprint of the request's content and user.
    pub(crate) fingerprint: Fingerprint,
}

/// A query that has not been answered yet.
#[derive(Debug)]
pub(crate) struct Query {
    /// The caller that has to be answered.
    pub(crate) caller: CallerId,
    /// When the request arrived.
    pub(crate) arrived_at: Instant,
    /// Round-trip time to the caller, if it is known.
    pub(crate) caller_round_trip: Option<Duration>,
    /// The caller's request.
    pub(crate) request: call::Request,
    /// Number of the query in messages to owners; a restart on another index version assigns a new
    /// number.
    pub(crate) number: u64,
    /// Identifier of the query's history.
    pub(crate) history_id: u64,
    /// Fingerprint of the request's content and user.
    pub(crate) fingerprint: Fingerprint,
    /// The pinned index version, from which all parts of the answer are taken.
    pub(crate) index: Arc<Index>,
    /// Terms under which the query runs.
    pub(crate) terms: Terms,
    /// Route of a forwarded message; `None` for other requests.
    pub(crate) route: Option<Arc<Route>>,
    /// One portion per service, sorted by the services' names.
    ///
    /// Invariant: the shards of the portions and those of `missing` together are the requested
    /// shards, each once.
    pub(crate) portions: Vec<Portion>,
    /// Requested shards that are unavailable and belong to no portion.
    pub(crate) missing: Vec<call::Missing>,
    /// From this time on the query answers with nearly all shards; equal to `answer_at` if the
    /// query prefers completeness.
    pub(crate) timely_at: Instant,
    /// When the query answers with the replies received so far; before the caller's deadline.
    pub(crate) answer_at: Instant,
    /// The caller's deadline.
    pub(crate) deadline: Instant,
    /// Due time of the query's timer in the machine's timer set.
    pub(crate) timer: Instant,
    /// Due time of the timer that is being served; `None` outside of timer events.
    pub(crate) served_timer: Option<Instant>,
    /// Number of work messages sent under the query's current number.
    pub(crate) rounds: u32,
    /// How often portions were sent again or hedged, over all index versions; portions that are
    /// sent together count once, and those that no server has received do not count.
    pub(crate) extra_calls: u32,
    /// Number of open portions.
    ///
    /// Invariant: equals the number of `portions` with `is_open`.
    pub(crate) open_portions: usize,
    /// Number of shards that the caller requested.
    pub(crate) requested_shards: usize,
    /// Number of requested shards whose portion is still open.
    pub(crate) open_shards: usize,
    /// Number of requested shards that valid replies cover.
    pub(crate) covered_shards: usize,
    /// Longest retry delay that any refusal of a portion advised, in milliseconds.
    pub(crate) retry_after_ms: u32,
    /// Index versions that the query abandoned because a server no longer serves them.
    pub(crate) retired_versions: Vec<u64>,
    /// Whether some portion may have run under an index version that the query abandoned.
    pub(crate) earlier_version_may_have_run: bool,
    /// Whether the query can only be refused and its open portions have been cancelled.
    pub(crate) withdrawn: bool,
    /// Thousandths of the sweeps of the route that were admitted when this one was; 0 if its
    /// admission was not decided.
    pub(crate) admitted_permille: u32,
}

/// Least time reserved for sending the answer to a request that names its shards itself.
const ANSWER_MARGIN: Duration = Duration::from_millis(2);
/// Percentage of the deadline after which a query that prefers timeliness may answer with nearly
/// all shards.
const TIMELY_DEADLINE_PERCENT: u64 = 60;
/// Largest percentage of the requested shards that such an early answer may leave out.
const MAX_MISSING_PERCENT: usize = 5;

/// Returns when a forwarded sweep answers if its route's floor is reached.
fn sweep_timely_at(
    now: Instant,
    route: &Route,
    answer_at: Instant,
    reserve: ResponseReserve,
) -> Instant {
    if route.spec.target_ms == 0 {
        return answer_at;
    }
    let target = Duration::from_millis(route.spec.target_ms.into());
    (now + (target - reserve.before_target(target))).min(answer_at)
}

impl Query {
    /// Creates a query for a planned request; no portion has been sent yet.
    pub(crate) fn new(
        now: Instant,
        caller: CallerId,
        request: call::Request,
        ids: QueryIds,
        plan: Plan,
        reserve: ResponseReserve,
    ) -> Self {
        let terms = plan.terms;
        let deadline = now + terms.deadline;
        let margin = match &plan.route {
            Some(_) => reserve.before_deadline(terms.deadline),
            None => ANSWER_MARGIN.max(reserve.delay()).min(terms.deadline / 4),
        };
        let answer_at = deadline - margin;
        let timely_us = micros(terms.deadline) * TIMELY_DEADLINE_PERCENT / 100;
        let default_timely_at = now + Duration::from_micros(timely_us);
        let timely_at = plan
            .route
            .as_ref()
            .map_or(default_timely_at, |route| sweep_timely_at(now, route, answer_at, reserve));
        let mut query = Self {
            caller,
            arrived_at: now,
            caller_round_trip: reserve.round_trip(),
            request,
            number: ids.number,
            history_id: ids.history_id,
            fingerprint: ids.fingerprint,
            index: Arc::clone(&plan.index),
            terms,
            route: plan.route.clone(),
            portions: Vec::new(),
            missing: Vec::new(),
            timely_at,
            answer_at,
            deadline,
            timer: answer_at,
            served_timer: None,
            rounds: 0,
            extra_calls: 0,
            open_portions: 0,
            requested_shards: 0,
            open_shards: 0,
            covered_shards: 0,
            retry_after_ms: 0,
            retired_versions: Vec::new(),
            earlier_version_may_have_run: false,
            withdrawn: false,
            admitted_permille: 0,
        };
        query.adopt_plan(plan);
        query.timer = query.timely_at;
        query
    }

    /// Returns whether the query should answer now with the covered shards.
    ///
    /// Until `timely_at`, every query waits for all its shards, so that no answer is partial
    /// without need. From then on, a query that prefers timeliness answers once nearly all shards
    /// are settled: the replies that are still open are stragglers, which mostly miss the deadline
    /// too.
    ///
    /// From then on, a forwarded sweep answers once the floor of its route is covered: a late
    /// answer has a fraction of the value of an answer that lacks a part.
    pub(crate) fn has_enough(&self, now: Instant) -> bool {
        if let Some(route) = &self.route {
            return now >= self.timely_at
                && self.covered_shards >= route.floor(self.requested_shards);
        }
        let few_missing = self.open_shards * 100 <= self.requested_shards * MAX_MISSING_PERCENT;
        now >= self.timely_at && few_missing && self.covered_shards > 0
    }

    /// Returns since when the query that is answered now had to be answered.
    pub(crate) fn due_at(&self, now: Instant) -> Instant {
        self.served_timer.unwrap_or(self.timer).min(now)
    }

    /// Returns whether the covered and open shards together cannot reach the floor of the route.
    ///
    /// Such a query is refused early, so that its caller can retry immediately instead of waiting.
    pub(crate) fn is_floor_unreachable(&self) -> bool {
        let is_below_floor = |route: &Arc<Route>| {
            route.is_sweep()
                && self.covered_shards + self.open_shards < route.floor(self.requested_shards)
        };
        self.route.as_ref().is_some_and(is_below_floor)
    }

    /// Replaces the query's portions with those of a plan.
    pub(crate) fn adopt_plan(&mut self, plan: Plan) {
        self.index = plan.index;
        self.missing = plan.missing;
        self.terms.unrepeatable |= plan.terms.unrepeatable;
        self.terms.complete |= plan.terms.complete;
        if self.terms.complete || self.terms.unrepeatable {
            self.timely_at = self.answer_at;
        }
        self.portions = plan.service_shards.iter().cloned().map(Portion::new).collect();
        self.open_portions = self.portions.len();
        let portions = self.portions.iter();
        self.open_shards = portions.map(|portion| portion.requested.shards.len()).sum();
        self.requested_shards = self.open_shards + self.missing.len();
        self.covered_shards = 0;
        self.rounds = 0;
    }

    /// Closes a portion with its outcome `state`, and updates the counts of shards.
    pub(crate) fn close_portion(&mut self, position: usize, state: PortionState) {
        let portion = &mut self.portions[position];
        let shards = portion.requested.shards.len();
        if portion.is_open() {
            self.open_portions -= 1;
            self.open_shards -= shards;
        }
        if matches!(state, PortionState::Covered(_)) {
            self.covered_shards += shards;
        }
        portion.state = state;
    }

    /// Returns the position of the portion for a service, if the query has one.
    pub(crate) fn portion_of_service(&self, service: &str) -> Option<usize> {
        self.portions.binary_search_by(|portion| (*portion.requested.service).cmp(service)).ok()
    }

    /// Returns whether it is proved that nothing of the query has run so far.
    pub(crate) fn is_proved_not_run(&self) -> bool {
        let is_not_run = |portion: &Portion| portion.verdict() == Verdict::NotRun;
        !self.earlier_version_may_have_run && self.portions.iter().all(is_not_run)
    }

    /// Returns the peers that may still hold portions of the query, each once, in order of
    /// sending.
    pub(crate) fn unanswered_peers(&self) -> Vec<PeerKey> {
        let mut unanswered_peers = Vec::new();
        let sendings = self.portions.iter().flat_map(|portion| &portion.sendings);
        for sending in sendings.filter(|sending| sending.progress != Progress::Answered) {
            if !unanswered_peers.contains(&sending.peer) {
                unanswered_peers.push(sending.peer);
            }
        }
        unanswered_peers
    }
}
