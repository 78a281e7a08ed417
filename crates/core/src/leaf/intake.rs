//! Arrival of work: what is refused at once and what is queued.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire;

use super::admission;
use super::event::Action;
use super::kinds::Kind;
use super::machine::{Delivery, Machine, Query};
use super::portion::{Job, Portion, PortionKey};
use super::queue::{self, Class};
use super::record::{self, Finding};
use super::reply::Refused;
use super::service::{Rank, Service, ServiceId};
use super::timer::Timer;
use crate::control::hash;
use crate::count;
use crate::eligible::Mark;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use crate::view::Peer;

/// Longest time kept back so that the reply is at the entry before the entry's deadline.
const MARGIN: Duration = Duration::from_millis(5);
/// Work that arrives this soon after a suspension may have waited in a socket buffer throughout.
const AFTER_GAP: Duration = Duration::from_millis(100);
/// Call time assumed before one is learned.
pub(super) const UNLEARNED: Duration = Duration::from_millis(10);

impl Machine {
    pub(super) fn work(
        &mut self,
        from: Peer,
        incarnation: u64,
        mut work: wire::Work,
        out: &mut Vec<Action>,
    ) {
        let portions = std::mem::take(&mut work.portions);
        let key = work.key.as_str().into();
        let fingerprint = Fingerprint::read(&work.fingerprint);
        let (collection, siblings) = (None, None);
        let mut job = Job { from, incarnation, key, fingerprint, work, collection, siblings };
        job.collection = self.begin_collection(&job, portions.len());
        job.siblings = self.begin_siblings(&job, portions.len());
        let job = Arc::new(job);
        for portion in portions {
            self.arrive(&job, portion, out);
        }
    }

    fn arrive(&mut self, job: &Arc<Job>, portion: wire::Portion, out: &mut Vec<Action>) {
        let delivery = Delivery {
            from: Arc::clone(&job.from.name),
            incarnation: job.incarnation,
            query: job.work.query,
            round: job.work.round,
            service: portion.service.clone(),
        };
        if !self.deliveries.insert(self.now, delivery) {
            Self::count(count::Event::Drop, Reason::RepeatedKey, out);
            self.settle_collected(job, out);
            return;
        }
        let eligible = eligible(&portion);
        match self.admit(job, &portion, eligible.as_deref()) {
            Ok((service, deadline)) => self.enqueue(job, portion, eligible, service, deadline),
            Err(refused) => self.refuse(job, portion.service, refused, out),
        }
    }

    /// Decides whether a portion is queued, and until when it must have been replied to.
    fn admit(
        &mut self,
        job: &Job,
        portion: &wire::Portion,
        eligible: Option<&[Mark]>,
    ) -> Result<(ServiceId, Instant), Refused> {
        let id = self.service_ids.get(portion.service.as_str()).copied();
        let finding = id.and_then(|id| self.finding(job, id));
        if finding == Some(Finding::Repeated) {
            return Err(Refused::repeated());
        }
        if self.cancelled.contains(&job.query()) {
            return Err(Refused::because(Reason::Cancelled));
        }
        if self.draining {
            return Err(Refused::because(Reason::Draining));
        }
        if job.fingerprint.is_some_and(|one| self.view.quarantine.refused.contains(&one)) {
            return Err(Refused::because(Reason::Quarantined));
        }
        let id = id.filter(|id| self.services[*id].rank != Rank::None);
        let id = id.ok_or_else(|| Refused::because(self.unknown()))?;
        self.services[id].wanted = Some(self.now);
        if job.from.name != self.settings.name {
            self.services[id].asked(self.now);
        }
        if finding == Some(Finding::Unproven) {
            return Err(Refused::repeated());
        }
        let deadline = self.deadline_of(job)?;
        self.outlook(id, &job.work, eligible, deadline)?;
        self.room(id, job, deadline)?;
        self.pay_again(id, portion)?;
        Ok((id, deadline))
    }

    /// Pays for a portion that a server may have got already, through a peer that was lost or silent.
    ///
    /// Where arrivals count and not runs, each such call is an extra one. Taken for first calls they
    /// earned extra calls in place of costing them: on a day of slow instances a service got 256 extra
    /// arrivals of 241 that it may have. What a peer refused before any server got it costs nothing:
    /// else the first requests after a change, which peers do not know yet, spend what the next loss
    /// of a peer needs.
    fn pay_again(&mut self, id: ServiceId, portion: &wire::Portion) -> Result<(), Refused> {
        let service = &mut self.services[id];
        let counts = portion.repeated && service.limits().count_refused;
        if counts && !service.budget.at(self.now).spend() {
            return Err(Refused::because(Reason::RetryBudget));
        }
        Ok(())
    }

    /// What the records say of an unrepeatable portion; `None` for a repeatable one.
    fn finding(&self, job: &Job, id: ServiceId) -> Option<Finding> {
        if !unrepeatable(&self.services[id], &job.work) {
            return None;
        }
        let name = record::Name { service: id, key: Arc::clone(&job.key) };
        Some(self.records.find(&name, job.work.attempt))
    }

    fn unknown(&self) -> Reason {
        match self.view.ready {
            true => Reason::NotOwner,
            false => Reason::NotReady,
        }
    }

    /// When a portion that arrives now must have been replied to.
    ///
    /// Work that waited in a socket buffer while the process was suspended arrives with the budget
    /// it was sent with. It would run long after its entry has given it up; the length of the
    /// suspension is therefore taken off.
    fn deadline_of(&self, job: &Job) -> Result<Instant, Refused> {
        let budget = Duration::from_micros(job.work.budget_us);
        let margin = MARGIN.min(budget / 20);
        let gap = self.gap.filter(|gap| self.now.since(gap.ended) < AFTER_GAP);
        let lost = gap.map_or(Duration::ZERO, |gap| gap.length);
        if budget.is_zero() {
            return Err(Refused::because(Reason::Expired));
        }
        if lost >= budget - margin {
            return Err(Refused::because(Reason::Paused));
        }
        Ok(self.now + (budget - margin - lost))
    }

    /// Whether the queue has room for one more and it can be done in time.
    fn room(&mut self, id: ServiceId, job: &Job, deadline: Instant) -> Result<(), Refused> {
        let class = class(&self.services[id], &job.work);
        let service = &mut self.services[id];
        service.admission.offered(self.now, class);
        let service = &self.services[id];
        let limit = service.limits().queue as usize;
        let length = service.queue.len();
        if limit > 0 && length >= limit {
            let wait = self.wait(id, length);
            return Err(Refused::because(Reason::QueueFull).come_back(wait));
        }
        if !self.settings.queueing {
            return Ok(());
        }
        let Some(mean) = self.mean(id, kind(&job.work)) else {
            return Ok(());
        };
        let wait = self.wait(id, service.queue.ahead(class));
        let done = self.now + wait + mean;
        if done > deadline {
            let excess = done.since(deadline);
            return Err(Refused::because(Reason::WouldMissDeadline).come_back(excess));
        }
        let budget = deadline.since(self.now);
        let wait = wait.max(self.waited(id, class));
        let number = admission::number(job.incarnation, job.work.query);
        let admission = &self.services[id].admission;
        match admission.admits(class, number, wait, budget) {
            true => Ok(()),
            false => Err(Refused::because(Reason::WouldMissDeadline).come_back(wait)),
        }
    }

    /// How long the first waiting portion of a class has waited.
    fn waited(&self, id: ServiceId, class: Class) -> Duration {
        let head = self.services[id].queue.head(class);
        head.map_or(Duration::ZERO, |key| self.now.since(self.portions[key].arrived))
    }

    /// How long a portion waits behind `ahead` others.
    pub(super) fn wait(&self, id: ServiceId, ahead: usize) -> Duration {
        let service = &self.services[id];
        let slots = self.usable_slots(id).max(1);
        let mean = service.kinds.all().mean().unwrap_or(UNLEARNED);
        if ahead == 0 && service.in_flight < slots {
            return Duration::ZERO;
        }
        mean.mul_f64((ahead as f64 + 1.0) / f64::from(slots))
    }

    fn enqueue(
        &mut self,
        job: &Arc<Job>,
        portion: wire::Portion,
        eligible: Option<Arc<[Mark]>>,
        id: ServiceId,
        deadline: Instant,
    ) {
        let service = &mut self.services[id];
        service.last_work = self.now;
        let portion = Portion {
            eligible,
            job: Arc::clone(job),
            repeated: portion.repeated,
            service: id,
            shards: portion.shards.into(),
            arrived: self.now,
            deadline,
            place: None,
            unrepeatable: unrepeatable(service, &job.work),
            class: class(service, &job.work),
            kind: kind(&job.work),
            timely_at: timely(self.now, &job.work),
            attempts: Vec::new(),
            tried: Vec::new(),
            trials: Vec::new(),
            calls: 0,
            failures: 0,
            spared: 0,
            may_have_run: false,
            hedged: false,
        };
        if portion.unrepeatable {
            self.records.start(self.now, portion.record(), job.work.attempt);
        }
        let fast = self.fast(id, kind(&job.work));
        self.portion_began(job);
        let key = self.portions.insert(portion);
        self.queue(key);
        self.queries.entry(job.query()).or_default().push(key);
        self.timers.push(deadline, Timer::Deadline(key));
        if self.settings.queueing && !fast.is_zero() {
            self.timers.push(deadline - fast, Timer::Late(key));
        }
    }

    /// Whether a portion is in the queue.
    pub(super) fn waits(&self, key: PortionKey) -> bool {
        let portion = self.portions.get(key);
        portion.is_some_and(|portion| portion.place.is_some())
    }

    /// A portion that waits now cannot be done any more; its entry may use the time that is left.
    pub(super) fn late(&mut self, key: PortionKey, out: &mut Vec<Action>) {
        if self.waits(key) {
            let verdict = self.standing(key);
            self.finish(key, Refused::with(verdict, Reason::WouldMissDeadline), out);
        }
    }

    /// Puts a portion without an open call into its service's queue.
    pub(super) fn queue(&mut self, key: PortionKey) {
        let portion = &mut self.portions[key];
        let (class, turn) = match portion.timely_at {
            Some(timely_at) if self.now < timely_at => (Class::TIMED, timely_at),
            Some(_) => (Class::LATE, portion.arrived),
            None => (portion.class, queue::turn(portion.arrived, portion.deadline)),
        };
        let service = &mut self.services[portion.service];
        portion.place = Some(service.queue.push(class, turn, key));
        let id = portion.service;
        let work = service.in_flight as usize + service.queue.len();
        service.peak.add(self.now, work.div_ceil(service.servers.len().max(1)));
        self.mark(id);
    }

    /// An entry gives a query up. Queued portions are proved not to run.
    pub(super) fn cancel(&mut self, from: Arc<str>, cancel: &wire::Cancel, out: &mut Vec<Action>) {
        let query = Query { from, incarnation: cancel.incarnation, number: cancel.query };
        let keys = self.queries.remove(&query).unwrap_or_default();
        self.drop_collections(&keys);
        self.cancelled.insert(self.now, query);
        for key in keys {
            let verdict = self.standing(key);
            self.finish(key, Refused::with(verdict, Reason::Cancelled), out);
        }
    }

    /// Verdict of a portion if it were given up now.
    pub(super) fn standing(&self, key: PortionKey) -> Verdict {
        let portion = &self.portions[key];
        match portion.attempts.is_empty() {
            true => portion.verdict(),
            false => Verdict::MayHaveRun,
        }
    }

    /// The time for a portion is up.
    pub(super) fn deadline(&mut self, key: PortionKey, out: &mut Vec<Action>) {
        if !self.portions.contains_key(key) {
            return;
        }
        let verdict = self.standing(key);
        self.finish(key, Refused::with(verdict, Reason::Deadline), out);
    }
}

/// The servers that a portion may run on; `None`: any.
fn eligible(portion: &wire::Portion) -> Option<Arc<[Mark]>> {
    let eligible = portion.eligible.as_ref()?;
    Some(eligible.servers.iter().copied().map(Mark).collect())
}

fn kind(work: &wire::Work) -> Kind {
    match &work.forward {
        Some(forward) => Kind(forward.kind),
        None => Kind(hash::of(&[work.operation.as_bytes()])),
    }
}

/// When the answer to work that arrives now must be there to be worth its full price.
fn timely(now: Instant, work: &wire::Work) -> Option<Instant> {
    let collect = work.collect.map(|collect| collect.timely_us);
    let forward = work.forward.as_ref().map(|forward| forward.timely_us);
    let span = collect.or(forward).filter(|span| *span > 0)?;
    Some(now + Duration::from_micros(span))
}

fn unrepeatable(service: &Service, work: &wire::Work) -> bool {
    let listed = service.entry.operations.iter();
    work.unrepeatable
        || listed
            .filter(|operation| operation.name == work.operation)
            .any(|operation| operation.unrepeatable)
}

/// The operation's urgency, else the entry's.
fn class(service: &Service, work: &wire::Work) -> Class {
    use ladder_schema::catalogue::Urgency;

    if let Some(forward) = &work.forward {
        return forward.urgency().into();
    }
    let mut operations = service.entry.operations.iter();
    let operation = operations.find(|operation| operation.name == work.operation);
    match operation.map(ladder_schema::catalogue::Operation::urgency) {
        None | Some(Urgency::Unspecified) => service.entry.urgency().into(),
        Some(urgency) => urgency.into(),
    }
}
