//! Admits or refuses forwarded sweeps as a whole, before anything of them is sent.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::call;
use ladder_schema::outcome::{Reason, Verdict};

use super::answer;
use super::check::Refusal;
use super::event::{Action, CallerId};
use super::forward;
use super::history::Step;
use super::machine::{Machine, count};
use super::plan::Plan;
use super::query::QueryIds;
use crate::admission::decision::{self, Limit, Outcome, Service, Sweep};
use crate::admission::{Class, Share};
use crate::count;
use crate::route::Route;
use crate::time::{Instant, micros};

/// A caller's planned request of which nothing has been sent yet.
#[derive(Debug)]
pub(crate) struct Arrival {
    pub(crate) caller: CallerId,
    pub(crate) request: call::Request,
    pub(crate) ids: QueryIds,
    pub(crate) plan: Plan,
    /// When the request arrived.
    pub(crate) at: Instant,
    /// Round-trip time to the caller, if it is known.
    pub(crate) round_trip: Option<Duration>,
}

impl Machine {
    /// Starts a request, or refuses it if it is a sweep that is not admitted.
    pub(crate) fn start_if_admitted(
        &mut self,
        now: Instant,
        arrival: Arrival,
        out: &mut Vec<Action>,
    ) {
        let route = arrival.plan.route.clone().filter(|route| route.is_sweep());
        let Some(route) = route.filter(|_| self.settings.sweep_admission) else {
            self.start(now, arrival, 0, out);
            return;
        };
        let (limit, outcome) = self.decide_sweep(now, &arrival, &route);
        self.report_share(now, &route, &limit, out);
        match outcome {
            Outcome::Admit { .. } => {
                let permille = limit.share.unreserved_permille(self.settings.reserved_percent);
                self.start(now, arrival, permille, out);
            }
            Outcome::Refuse { retry_after, .. } => {
                self.reserve_or_refuse(now, arrival, limit, retry_after, out);
            }
        }
    }

    /// Refuses a sweep of which nothing has been sent, with the limit because of which it is not
    /// admitted and the delay after which the caller may retry.
    pub(crate) fn refuse_sweep(
        &mut self,
        now: Instant,
        arrival: Arrival,
        limit: &Limit,
        retry_after: Duration,
        out: &mut Vec<Action>,
    ) {
        let Arrival { caller, request, ids, plan, .. } = arrival;
        let route = plan.route.as_ref().map_or("", |route| &route.spec.name);
        let permille = limit.share.permille();
        let service = limit.service.as_deref().unwrap_or_default();
        let detail =
            format!("route {route}: {permille} of 1000 sweeps are admitted; limited by {service}");
        count(out, count::Event::Refusal, Reason::SweepLimit);
        let step = Step::Refused { detail: detail.as_str().into() };
        self.history.add(ids.history_id, now, step);
        let refusal = Refusal::new(Reason::SweepLimit, detail);
        let mut answer =
            answer::refusal_answer(&request.key, &request.index, refusal, Verdict::NotRun);
        answer.retry_after_ms =
            u32::try_from(micros(retry_after).div_ceil(1000)).unwrap_or(u32::MAX);
        self.send_answer(now, caller, ids.history_id, answer, out);
    }

    fn decide_sweep(&self, now: Instant, arrival: &Arrival, route: &Route) -> (Limit, Outcome) {
        let plan = &arrival.plan;
        let names = plan.service_shards.iter().map(|shards| &shards.service);
        let services: Vec<Service<'_>> =
            names.map(|name| Service { name, usable: self.is_usable(now, route, name) }).collect();
        let sweep = Sweep {
            class: Class::from(route.spec.urgency()),
            floor: route.floor(services.len()),
            services: &services,
            draw: decision::draw(arrival.ids.number, arrival.ids.fingerprint, &self.settings.name),
            target: Duration::from_millis(route.spec.target_ms.into()),
            remaining: plan.terms.deadline,
        };
        let limit = self.sweep_decision.limit(now, &sweep);
        let unreserved = limit.share.without_reserved(self.settings.reserved_percent);
        let outcome = decision::decide_at(unreserved, &sweep);
        (limit, outcome)
    }

    /// Returns whether some server of a service may receive a part of the route's sweeps: by the
    /// view, and by the last reports.
    fn is_usable(&self, now: Instant, route: &Route, service: &str) -> bool {
        let homes = &route.spec.homes;
        if forward::exclusion_reason(&self.view, homes, service).is_some() {
            return false;
        }
        let Some(service) = self.view.service(service) else {
            return true;
        };
        let mut servers = service.servers.iter().filter(|server| server.takes_work());
        service.servers.is_empty()
            || servers.any(|server| !self.avoided_servers.is_unusable(now, &service.name, server))
    }
}

/// Time without a limit after which the sweeps of a route count as unlimited again in the log.
const RESTORED_AFTER: Duration = Duration::from_secs(2);
/// Time without sweeps after which the state of a route is forgotten when the view changes.
const ROUTE_MEMORY: Duration = Duration::from_secs(60);

/// The share of a route's sweeps that is admitted, as last reported to the operators.
#[derive(Clone, Debug)]
pub(crate) struct ReportedShare {
    share: Share,
    /// Last time at which the route was limited.
    limited_at: Instant,
    /// Last time at which a sweep of the route arrived.
    used_at: Instant,
    /// Whether the log says that the route is limited.
    logged: bool,
}

impl Machine {
    /// Reports a change of the share of a route's sweeps that is admitted.
    fn report_share(&mut self, now: Instant, route: &Route, limit: &Limit, out: &mut Vec<Action>) {
        let is_limited = limit.share < Share::ALL;
        let name = route.spec.name.as_str();
        if !is_limited && !self.reported_shares.contains_key(name) {
            return;
        }
        let reported = self.reported_shares.entry(name.into()).or_insert(ReportedShare {
            share: Share::ALL,
            limited_at: now,
            used_at: now,
            logged: false,
        });
        reported.used_at = now;
        if is_limited {
            reported.limited_at = now;
        }
        let is_restored = !is_limited && now.since(reported.limited_at) >= RESTORED_AFTER;
        let notable = if reported.logged { is_restored } else { is_limited };
        if notable {
            reported.logged = is_limited;
        }
        if notable || reported.share != limit.share {
            reported.share = limit.share;
            out.push(Action::Share(Box::new(ShareChange {
                route: name.into(),
                share: limit.share,
                service: limit.service.clone(),
                notable,
            })));
        }
    }

    /// Forgets routes and services that are no longer in use, after a change of the view.
    pub(super) fn prune_sweep_admission(&mut self, now: Instant) {
        let view = Arc::clone(&self.view);
        self.sweep_decision.retain(|service| view.service(service).is_some());
        self.reported_shares.retain(|_, reported| now.since(reported.used_at) < ROUTE_MEMORY);
    }
}

/// A change of the share of a route's sweeps that this instance admits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareChange {
    /// Name of the route.
    pub route: Arc<str>,
    /// Share of the sweeps that is admitted now.
    pub share: Share,
    /// The service that limits the share; `None` if all sweeps are admitted.
    pub service: Option<Arc<str>>,
    /// Whether the route's sweeps were unlimited before and are limited now, or have been
    /// unlimited for some time after they were limited.
    pub notable: bool,
}
