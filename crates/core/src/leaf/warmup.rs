//! Limits the requests that a server gets while it warms up.
//!
//! Servers that have just started, or whose availability zone was evacuated, can take only a few
//! requests per second from the whole fleet until they are warm. No instance sees what the others
//! send. Each instance therefore computes its own quota from the instances that it knows. The
//! quotas together stay within half of the limit; the other half allows for instances whose lists
//! of known instances differ.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::catalogue::Limits;

use super::machine::Machine;
use super::server::{Server, ServerKey};
use super::service::Sender;
use crate::control::hash;
use crate::remembered;
use crate::time::Instant;

/// Window in which the requests to a server that warms up are counted. The window is slightly
/// longer than the one second of the limit, because requests take different times to reach the
/// server.
pub const RATE_WINDOW: Duration = Duration::from_millis(1050);
/// Maximum number of instances that may send to a server for other instances at the same time while
/// the fleet changes.
const MAX_FLEET_SENDERS: u32 = 4;
/// Time after its start during which an instance does not know yet how many other instances there
/// are.
const FLEET_DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// Limit of the requests that a server may get from the whole fleet while it warms up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupLimit {
    /// Target rate of requests to a server that warms up, per second over the whole fleet.
    pub rate: u32,
    /// Maximum number of requests that a server may get from the whole fleet in any one second
    /// while it warms up.
    pub max: u32,
}

impl WarmupLimit {
    /// Returns the warm-up limit of a service; `None` if its servers need none.
    pub fn of(limits: &Limits) -> Option<Self> {
        let limit = Self { rate: limits.warmup_rate, max: limits.warmup_most };
        (limit.rate > 0 && limit.max > 0).then_some(limit)
    }

    /// Number of requests per window that the instance `own` may send when every instance sends to
    /// the server itself.
    ///
    /// Invariant: for all instances with the same list, the quotas sum to no more than half of
    /// `max`.
    pub fn quota<'a>(self, server: &str, own: &str, fleet: impl Iterator<Item = &'a str>) -> u32 {
        let score = |name: &str| hash::of(&[server.as_bytes(), name.as_bytes()]);
        let own = score(own);
        let (mut count, mut rank) = (0, 0);
        for name in fleet {
            count += 1;
            rank += u32::from(score(name) < own);
        }
        let divisible = self.rate.min(self.max / 2);
        let count = count.max(1);
        divisible / count + u32::from(rank < divisible % count)
    }

    /// Number of requests per window that an instance may send when it sends to the server for all
    /// other instances.
    pub const fn fleet_sender_quota(self) -> u32 {
        self.max / MAX_FLEET_SENDERS
    }
}

/// The instances among which a warm-up limit is divided.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownInstances {
    /// All instances, including this one.
    instances: remembered::Instances,
    /// Time at which the first list of instances arrived.
    started: Option<Instant>,
}

impl KnownInstances {
    /// Records the instances known now. Returns whether the list among which limits are divided has
    /// changed.
    pub(super) fn observe<'a>(
        &mut self,
        now: Instant,
        names: impl Iterator<Item = &'a Arc<str>>,
    ) -> bool {
        self.started.get_or_insert(now);
        self.instances.observe(now, names.cloned().collect())
    }

    /// Whether this instance has run long enough to know the other instances.
    pub(super) fn knows_fleet(&self, now: Instant) -> bool {
        self.started.is_some_and(|at| now.since(at) >= FLEET_DISCOVERY_TIME)
    }

    /// Names of the instances among which limits are divided.
    fn names(&self) -> impl Iterator<Item = &str> {
        self.instances.names()
    }
}

/// Warm-up state of one server at this instance, and the requests that this instance sent
/// meanwhile.
#[derive(Clone, Debug, Default)]
pub(super) struct Warmup {
    /// Remaining warm-up time as last published.
    published: Duration,
    /// Time at which the warm-up of the server ends.
    until: Instant,
    /// Requests that this instance may send in each window while every instance sends to the server
    /// itself.
    ///
    /// Invariant: while the server warms up, the quota is computed from the current list of
    /// instances.
    quota: u32,
    /// Send times of the requests within the last window of the warm-up, oldest first.
    sent: VecDeque<Instant>,
}

impl Warmup {
    /// Records the published remaining warm-up time. The end of the warm-up moves only when the
    /// published value changes.
    pub(super) fn update_published(&mut self, now: Instant, left: Duration) {
        if left != self.published {
            self.published = left;
            self.until = now + left;
        }
    }

    /// Restarts the warm-up: the server may have become cold while it got no requests.
    pub(super) fn restart(&mut self, now: Instant, span: Duration) {
        self.until = self.until.max(now + span);
    }

    /// Whether the warm-up of the server has ended.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Records that a request to a server that warms up is sent now.
    pub(super) fn record_request(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|at| now.since(*at) >= RATE_WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Returns the time from which one more request may be sent with a quota of `quota` requests
    /// per window.
    pub(super) fn next_request_at(&self, quota: u32) -> Instant {
        let quota = quota as usize;
        let count = self.sent.len();
        match count.checked_sub(quota).and_then(|at| self.sent.get(at)) {
            _ if quota == 0 => self.until,
            Some(oldest) => (*oldest + RATE_WINDOW).min(self.until),
            None => Instant::default(),
        }
    }
}

impl Machine {
    /// Returns the time from which the warm-up of a server allows one more request from this
    /// instance.
    pub(super) fn next_warmup_request_at(&self, key: ServerKey) -> Instant {
        let server = &self.servers[key];
        let service = &self.services[server.service];
        if server.warmup.is_over(self.now) {
            return Instant::default();
        }
        let Some(limit) = WarmupLimit::of(&service.limits()) else {
            return Instant::default();
        };
        let quota = match service.sender() {
            _ if !self.known_instances.knows_fleet(self.now) => 0,
            Some(Sender::ForAll) if !self.may_warm_up(server) => 0,
            Some(Sender::ForAll) => limit.fleet_sender_quota(),
            Some(Sender::ForItself) => server.warmup.quota,
            None => 0,
        };
        server.warmup.next_request_at(quota)
    }

    /// Whether this instance may send requests to a server that warms up while it sends for other
    /// instances.
    ///
    /// With zonal aggregation, one instance of each zone sends to a server, and the limit would
    /// have to be divided among all of them and their successors; with five zones and a limit of
    /// eight requests, none of them would get one. Only the instances of the server's own zone
    /// warm it up. They are as many as the instances that send for the whole fleet without zonal
    /// aggregation, so the quota of each is the same.
    fn may_warm_up(&self, server: &Server) -> bool {
        !self.is_sent_zonally(server.service) || server.zone == self.settings.zone
    }

    /// Records a request to a server that warms up and schedules a dispatch for the time when the
    /// next request is allowed.
    pub(super) fn record_warmup_request(&mut self, key: ServerKey) {
        if self.servers[key].warmup.is_over(self.now) {
            return;
        }
        self.servers[key].warmup.record_request(self.now);
        let at = self.next_warmup_request_at(key);
        self.schedule_dispatch(self.servers[key].service, at);
    }

    /// Computes the warm-up quota of a listed server and schedules a dispatch for the end of its
    /// warm-up.
    pub(super) fn update_warmup_quota(&mut self, key: ServerKey) {
        let server = &mut self.servers[key];
        let Some(limit) = WarmupLimit::of(&self.services[server.service].limits()) else {
            return;
        };
        if !server.warmup.is_over(self.now) {
            let names = self.known_instances.names();
            server.warmup.quota = limit.quota(&server.name, &self.settings.name, names);
            let (service, until) = (server.service, server.warmup.until);
            self.schedule_dispatch(service, until);
        }
    }

    /// Recomputes the warm-up quotas of all servers after the list of instances has changed.
    pub(super) fn update_warmup_quotas(&mut self) {
        let keys: Vec<ServerKey> = self.servers.keys().collect();
        keys.into_iter().for_each(|key| self.update_warmup_quota(key));
    }
}
