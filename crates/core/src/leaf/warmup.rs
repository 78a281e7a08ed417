//! How many requests a server gets while it warms up.
//!
//! Servers that have just started, or whose availability zone was evacuated, bear few requests a second
//! until they are warm, over the whole fleet. No instance sees what the others send, so each has a part
//! that follows from the instances that it knows: together the parts stay within half of the bound, and
//! the other half covers instances that know others than these.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ladder_schema::catalogue::Limits;

use super::machine::Machine;
use super::server::ServerKey;
use super::service::Asker;
use crate::control::hash;
use crate::time::Instant;

/// Window of the bound; a little longer than the second that is meant, as requests may be on their way
/// for different times.
pub const WINDOW: Duration = Duration::from_millis(1050);
/// Instances that may ask for all at the same time, as the fleet changes.
const ASKERS: u32 = 4;
/// How long after its start an instance does not know how many others there are.
const SETTLING: Duration = Duration::from_secs(3);
/// How long a larger fleet is remembered: the rest of it may be behind a partition.
const MEMORY: Duration = Duration::from_secs(600);

/// What a server bears while it warms up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Requests a second that it is meant to get.
    pub rate: u32,
    /// Requests that it may get in any one second at most.
    pub most: u32,
}

impl Bound {
    /// Of a service; `None` if its servers bear any number.
    pub fn of(limits: &Limits) -> Option<Self> {
        let bound = Self { rate: limits.warmup_rate, most: limits.warmup_most };
        (bound.rate > 0 && bound.most > 0).then_some(bound)
    }

    /// The part of an instance where every instance asks the server itself.
    ///
    /// Invariant: over all instances of one list the parts sum to no more than half of `most`.
    pub fn part<'a>(self, server: &str, own: &str, fleet: impl Iterator<Item = &'a str>) -> u32 {
        let score = |name: &str| hash::of(&[server.as_bytes(), name.as_bytes()]);
        let own = score(own);
        let (mut count, mut before) = (0, 0);
        for name in fleet {
            count += 1;
            before += u32::from(score(name) < own);
        }
        let shared = self.rate.min(self.most / 2);
        let count = count.max(1);
        shared / count + u32::from(before < shared % count)
    }

    /// The part of an instance that asks the server for all others.
    pub const fn asker_part(self) -> u32 {
        self.most / ASKERS
    }
}

/// The instances among which a bound is divided.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    /// The largest list of late, this instance among it.
    names: Vec<Arc<str>>,
    /// When it was last seen.
    seen: Instant,
    started: Option<Instant>,
}

impl Fleet {
    /// Records which instances there are; whether others count from now on.
    pub(super) fn see<'a>(
        &mut self,
        now: Instant,
        names: impl Iterator<Item = &'a Arc<str>>,
    ) -> bool {
        self.started.get_or_insert(now);
        let names: Vec<Arc<str>> = names.cloned().collect();
        if names.len() < self.names.len() && now.since(self.seen) < MEMORY {
            return false;
        }
        self.seen = now;
        let differs = names != self.names;
        self.names = names;
        differs
    }

    /// The others are known, as far as they can be.
    pub(super) fn is_settled(&self, now: Instant) -> bool {
        self.started.is_some_and(|at| now.since(at) >= SETTLING)
    }

    fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(|name| &**name)
    }
}

/// What one instance knows of one server's warm-up, and what it sent meanwhile.
#[derive(Clone, Debug, Default)]
pub(super) struct Warmup {
    /// What was last published of the time left.
    published: Duration,
    until: Instant,
    /// Requests that this instance may send in each window while every instance asks for itself.
    ///
    /// Invariant: of the fleet that counts now, while the server warms up.
    part: u32,
    /// When requests were sent within the last window while it warmed up, oldest first.
    sent: VecDeque<Instant>,
}

impl Warmup {
    /// Records the time left as published; only a change says something new.
    pub(super) fn publish(&mut self, now: Instant, left: Duration) {
        if left != self.published {
            self.published = left;
            self.until = now + left;
        }
    }

    /// Starts a warm-up anew: the server may have become cold while nothing was sent to it.
    pub(super) fn restart(&mut self, now: Instant, span: Duration) {
        self.until = self.until.max(now + span);
    }

    pub(super) fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// A request is sent.
    pub(super) fn send(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// From when on one more request may be sent, of so many in each window.
    pub(super) fn next(&self, part: u32) -> Instant {
        let part = part as usize;
        let kept = self.sent.len();
        match kept.checked_sub(part).and_then(|at| self.sent.get(at)) {
            _ if part == 0 => self.until,
            Some(oldest) => (*oldest + WINDOW).min(self.until),
            None => Instant::default(),
        }
    }
}

impl Machine {
    /// From when on a server may get one more request of this instance, as far as its warm-up goes.
    pub(super) fn warm_at(&self, key: ServerKey) -> Instant {
        let server = &self.servers[key];
        let service = &self.services[server.service];
        if server.warmup.is_over(self.now) {
            return Instant::default();
        }
        let Some(bound) = Bound::of(&service.limits()) else {
            return Instant::default();
        };
        let part = match service.asks() {
            _ if !self.fleet.is_settled(self.now) => 0,
            Some(Asker::ForAll) => bound.asker_part(),
            Some(Asker::ForItself) => server.warmup.part,
            None => 0,
        };
        server.warmup.next(part)
    }

    /// A request is sent to a server, which counts while it warms up.
    pub(super) fn warm(&mut self, key: ServerKey) {
        if self.servers[key].warmup.is_over(self.now) {
            return;
        }
        self.servers[key].warmup.send(self.now);
        let at = self.warm_at(key);
        self.pump_at(self.servers[key].service, at);
    }

    /// Prepares the warm-up of a server as it is listed, and a look at what waits at its end.
    pub(super) fn plan_warmup(&mut self, key: ServerKey) {
        let server = &mut self.servers[key];
        let Some(bound) = Bound::of(&self.services[server.service].limits()) else {
            return;
        };
        if !server.warmup.is_over(self.now) {
            let names = self.fleet.names();
            server.warmup.part = bound.part(&server.name, &self.settings.name, names);
            let (service, until) = (server.service, server.warmup.until);
            self.pump_at(service, until);
        }
    }

    /// Other instances count: divides anew what servers that warm up may get.
    pub(super) fn plan_warmups(&mut self) {
        let keys: Vec<ServerKey> = self.servers.keys().collect();
        keys.into_iter().for_each(|key| self.plan_warmup(key));
    }
}
