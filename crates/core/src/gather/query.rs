//! The state of one query.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::call;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::publication::Index;
use slotmap::new_key_type;

use super::event::Caller;
use super::peers::PeerKey;
use super::plan::{Plan, Share, Terms};
use crate::eligible::Mark;
use crate::fingerprint::Fingerprint;
use crate::route::Route;
use crate::time::{Instant, micros};

new_key_type! {
    /// An open query.
    pub(crate) struct QueryKey;
}

/// How far a sending of a portion has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Progress {
    /// The owner owes a reply.
    Open,
    /// The owner is silent; the portion may have gone elsewhere too, but its reply is awaited.
    Overdue,
    /// The link broke: a reply is still taken, but none is awaited.
    Lost,
    /// A reply was taken.
    Ended,
}

/// One sending of a portion.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sending {
    /// Number of the work message in the query; the reply repeats it.
    pub(crate) round: u32,
    /// The owner.
    pub(crate) peer: PeerKey,
    /// When it was sent.
    pub(crate) at: Instant,
    /// How far it has come.
    pub(crate) progress: Progress,
    /// A peer is to collect it with others.
    pub(crate) collected: bool,
    /// That peer said that it still collects.
    pub(crate) spoke: bool,
}

impl Sending {
    /// A peer holds it with others and has not said that it still collects.
    pub(crate) fn owes_word(&self) -> bool {
        self.collected && self.progress == Progress::Open && !self.spoke
    }
}

/// What became of a portion.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum State {
    /// A reply is awaited.
    Open,
    /// Exactly one part for each of its shards, in their order, all from one reply.
    Covered(Vec<call::Part>),
    /// No reply is awaited.
    Refused(Reason),
}

/// The part of a query that one service answers.
#[derive(Clone, Debug)]
pub(crate) struct Portion {
    /// The service and its shards.
    pub(crate) share: Arc<Share>,
    /// What became of it.
    pub(crate) state: State,
    /// All sendings, oldest first.
    ///
    /// Invariant: of an unrepeatable query all but the last ended with proof that they did not run.
    pub(crate) sendings: Vec<Sending>,
    /// Servers that it may run on, of a sweep.
    ///
    /// Invariant: unchanged from the first sending that may have run.
    pub(crate) eligible: Vec<Mark>,
    /// Servers that an asker could not use.
    pub(crate) passed: Vec<Mark>,
    /// Some sending ended without proof that it did not run.
    pub(crate) exposed: bool,
    /// An owner said that it ran without giving the parts.
    pub(crate) ran: bool,
    /// A reply does not rule out that a server got it, whether it ran there or not.
    pub(crate) reached: bool,
}

impl Portion {
    fn new(share: Arc<Share>) -> Self {
        Self {
            share,
            state: State::Open,
            sendings: Vec::new(),
            eligible: Vec::new(),
            passed: Vec::new(),
            exposed: false,
            ran: false,
            reached: false,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Some owner that is neither silent nor lost owes a reply.
    pub(crate) fn is_relied_on(&self) -> bool {
        let mut sendings = self.sendings.iter();
        sendings.any(|sending| sending.progress == Progress::Open)
    }

    /// Some sending may still bring a reply that is worth waiting for.
    pub(crate) fn is_awaited(&self) -> bool {
        self.sendings
            .iter()
            .any(|sending| matches!(sending.progress, Progress::Open | Progress::Overdue))
    }

    /// Whether a sending before the one of this round may have reached a server.
    pub(crate) fn is_repeated(&self, round: u32) -> bool {
        let mut before = self.sendings.iter().filter(|sending| sending.round != round);
        self.reached || before.any(|sending| sending.progress != Progress::Ended)
    }

    /// Whether the portion ran, as far as is proved.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.ran || matches!(self.state, State::Covered(_)) {
            return Verdict::Ran;
        }
        let unsettled = |sending: &Sending| sending.progress != Progress::Ended;
        if self.exposed || self.sendings.iter().any(unsettled) {
            return Verdict::MayHaveRun;
        }
        Verdict::NotRun
    }
}

/// How a query is named.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Name {
    /// In messages to owners.
    pub(crate) number: u64,
    /// In the history.
    pub(crate) account: u64,
    /// By what is asked and by whom.
    pub(crate) fingerprint: Fingerprint,
}

/// An open query.
#[derive(Debug)]
pub(crate) struct Query {
    /// Whom to answer.
    pub(crate) caller: Caller,
    /// What was asked.
    pub(crate) request: call::Request,
    /// Number of the query in messages to owners; a restart on another version takes a new one.
    pub(crate) number: u64,
    /// Number of its account.
    pub(crate) account: u64,
    /// What is asked and by whom.
    pub(crate) fingerprint: Fingerprint,
    /// The pinned version. Every part is drawn from it.
    pub(crate) index: Arc<Index>,
    /// The terms.
    pub(crate) terms: Terms,
    /// The route of a forwarded message.
    pub(crate) route: Option<Arc<Route>>,
    /// One portion per service, in order of the services' names.
    ///
    /// Invariant: the shards of the portions and those of `missing` are the asked set, each once.
    pub(crate) portions: Vec<Portion>,
    /// Asked shards that no portion covers.
    pub(crate) missing: Vec<call::Missing>,
    /// From then on it answers with nearly everything; `answer_at` unless it prefers time.
    pub(crate) timely_at: Instant,
    /// When it answers with what it has; before the caller's deadline.
    pub(crate) answer_at: Instant,
    /// The caller's deadline.
    pub(crate) deadline: Instant,
    /// Its timer in the machine's set.
    pub(crate) timer: Instant,
    /// Work messages sent under `number`.
    pub(crate) rounds: u32,
    /// How often portions were sent again or twice, over all versions; portions that go out
    /// together count once.
    pub(crate) extra_calls: u32,
    /// Portions that are open.
    ///
    /// Invariant: the number of `portions` with `is_open`.
    pub(crate) open: usize,
    /// Asked shards.
    pub(crate) asked: usize,
    /// Shards of the portions that are open.
    pub(crate) awaited: usize,
    /// Shards covered.
    pub(crate) covered: usize,
    /// Longest time to come back that a refusal advised, in milliseconds.
    pub(crate) retry_after_ms: u32,
    /// Versions given up because a server no longer serves them.
    pub(crate) retired: Vec<u64>,
    /// Something of it may have run under a version that was given up.
    pub(crate) exposed: bool,
    /// It can only be refused: what is out is taken back.
    pub(crate) withdrawn: bool,
}

/// Time kept for the answer itself and for a late wake.
const MARGIN: Duration = Duration::from_millis(2);
/// A timely query may answer with nearly everything after this share of its deadline.
const TIMELY_PERCENT: u64 = 60;
/// Shards it may then leave out, in percent of the asked ones.
const LATE_PERCENT: usize = 5;

/// Least time kept for an answer's way to a caller, and its share of the time at hand, in percent.
///
/// Nobody says how far away a caller is. Some milliseconds lie in every way through a balancer, and
/// operators who grant more time mostly do so because callers are further away. With 5 ms, sweeps with
/// a target of 50 ms and callers 3 ms away came 2 to 3 ms late; 9 ms raised what a loaded day is worth
/// by 0.04 there and changed nothing for callers 1 ms away.
const WAY_BACK: (Duration, u32) = (Duration::from_millis(9), 8);

/// Time kept for an answer's way to its caller out of the time that the caller has.
fn way_back(span: Duration) -> Duration {
    WAY_BACK.0 + span * WAY_BACK.1 / 100
}

/// When a forwarded sweep answers with its route's floor.
fn timely(now: Instant, route: &Route, answer_at: Instant) -> Instant {
    if route.spec.target_ms == 0 {
        return answer_at;
    }
    let target = Duration::from_millis(route.spec.target_ms.into());
    (now + (target - way_back(target).min(target / 2))).min(answer_at)
}

impl Query {
    /// A query that has sent nothing yet.
    pub(crate) fn new(
        now: Instant,
        caller: Caller,
        request: call::Request,
        name: Name,
        plan: Plan,
    ) -> Self {
        let terms = plan.terms;
        let deadline = now + terms.deadline;
        let margin = plan.route.as_ref().map_or(MARGIN, |_| way_back(terms.deadline));
        let answer_at = deadline - margin.min(terms.deadline / 4);
        let share = micros(terms.deadline) * TIMELY_PERCENT / 100;
        let usual = now + Duration::from_micros(share);
        let timely_at = plan.route.as_ref().map_or(usual, |route| timely(now, route, answer_at));
        let mut query = Self {
            caller,
            request,
            number: name.number,
            account: name.account,
            fingerprint: name.fingerprint,
            index: Arc::clone(&plan.index),
            terms,
            route: plan.route.clone(),
            portions: Vec::new(),
            missing: Vec::new(),
            timely_at,
            answer_at,
            deadline,
            timer: answer_at,
            rounds: 0,
            extra_calls: 0,
            open: 0,
            asked: 0,
            awaited: 0,
            covered: 0,
            retry_after_ms: 0,
            retired: Vec::new(),
            exposed: false,
            withdrawn: false,
        };
        query.adopt(plan);
        query.timer = query.timely_at;
        query
    }

    /// It prefers to answer now with what it has.
    ///
    /// Until `timely_at` every query waits for all its shards, so that an answer is not needlessly
    /// partial. From then on a query that prefers time answers once nearly all shards are settled: what is still out by then is a straggler that mostly misses the deadline too.
    ///
    /// A sweep that is forwarded answers then with the floor of its route or more: a late answer is
    /// worth a fraction of one that lacks a part.
    pub(crate) fn is_enough(&self, now: Instant) -> bool {
        if let Some(route) = &self.route {
            return now >= self.timely_at && self.covered >= route.floor(self.asked);
        }
        let few = self.awaited * 100 <= self.asked * LATE_PERCENT;
        now >= self.timely_at && few && self.covered > 0
    }

    /// So many parts are lost that the rest cannot reach the floor of its route.
    ///
    /// Whoever asked can come back at once instead of waiting for an answer that will be none.
    pub(crate) fn is_hopeless(&self) -> bool {
        let short = |route: &Arc<Route>| {
            route.is_sweep() && self.covered + self.awaited < route.floor(self.asked)
        };
        self.route.as_ref().is_some_and(short)
    }

    /// Takes the portions of a plan in place of its present ones.
    pub(crate) fn adopt(&mut self, plan: Plan) {
        self.index = plan.index;
        self.missing = plan.missing;
        self.terms.unrepeatable |= plan.terms.unrepeatable;
        self.terms.complete |= plan.terms.complete;
        if self.terms.complete || self.terms.unrepeatable {
            self.timely_at = self.answer_at;
        }
        self.portions = plan.shares.iter().cloned().map(Portion::new).collect();
        self.open = self.portions.len();
        let portions = self.portions.iter();
        self.awaited = portions.map(|portion| portion.share.shards.len()).sum();
        self.asked = self.awaited + self.missing.len();
        self.covered = 0;
        self.rounds = 0;
    }

    /// Ends the wait for a portion; `state` says what became of it.
    pub(crate) fn close(&mut self, position: usize, state: State) {
        let portion = &mut self.portions[position];
        let shards = portion.share.shards.len();
        if portion.is_open() {
            self.open -= 1;
            self.awaited -= shards;
        }
        if matches!(state, State::Covered(_)) {
            self.covered += shards;
        }
        portion.state = state;
    }

    /// Position of the portion of a service.
    pub(crate) fn portion(&self, service: &str) -> Option<usize> {
        self.portions.binary_search_by(|portion| (*portion.share.service).cmp(service)).ok()
    }

    /// Nothing of it can have run so far.
    pub(crate) fn is_untouched(&self) -> bool {
        let untouched = |portion: &Portion| portion.verdict() == Verdict::NotRun;
        !self.exposed && self.portions.iter().all(untouched)
    }

    /// Owners that may still hold something of it, each once, in order of sending.
    pub(crate) fn holders(&self) -> Vec<PeerKey> {
        let mut holders = Vec::new();
        let sendings = self.portions.iter().flat_map(|portion| &portion.sendings);
        for sending in sendings.filter(|sending| sending.progress != Progress::Ended) {
            if !holders.contains(&sending.peer) {
                holders.push(sending.peer);
            }
        }
        holders
    }
}
