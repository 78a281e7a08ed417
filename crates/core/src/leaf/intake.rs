//! Accepts arriving work: refuses each portion (the part of a query for one service) at once or
//! queues it.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire;

use super::admission;
use super::event::Action;
use super::kinds::WorkKind;
use super::machine::{Delivery, Machine, Query};
use super::portion::{Job, Portion, PortionKey};
use super::queue::{self, Class};
use super::record::{self, Finding};
use super::reply::Refused;
use super::service::{Role, Service, ServiceId};
use super::timer::Timer;
use crate::control::hash;
use crate::count;
use crate::eligible::ServerHash;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;
use crate::view::Peer;

/// Upper limit of the time taken off the budget, so that the reply reaches the entry instance
/// before its own deadline.
const MAX_REPLY_MARGIN: Duration = Duration::from_millis(5);
/// Work that arrives within this time after a process pause may have waited in a socket buffer
/// during the whole pause.
const POST_PAUSE_WINDOW: Duration = Duration::from_millis(100);
/// Call time assumed until a service has learned one from its calls.
pub(super) const DEFAULT_CALL_TIME: Duration = Duration::from_millis(10);

impl Machine {
    /// Handles a message of work from an entry instance: queues or refuses each of its portions.
    pub(super) fn recv_work(
        &mut self,
        from: Peer,
        incarnation: u64,
        mut work: wire::Work,
        out: &mut Vec<Action>,
    ) {
        let portions = std::mem::take(&mut work.portions);
        let key = work.key.as_str().into();
        let fingerprint = Fingerprint::read(&work.fingerprint);
        let (aggregation, siblings) = (None, None);
        let mut job = Job { from, incarnation, key, fingerprint, work, aggregation, siblings };
        job.aggregation = self.begin_aggregation(&job, portions.len());
        job.siblings = self.track_siblings(&job, portions.len());
        let job = Arc::new(job);
        for portion in portions {
            self.receive_portion(&job, portion, out);
        }
    }

    /// Drops a repeated delivery; queues or refuses any other portion.
    fn receive_portion(&mut self, job: &Arc<Job>, portion: wire::Portion, out: &mut Vec<Action>) {
        let delivery = Delivery {
            from: Arc::clone(&job.from.name),
            incarnation: job.incarnation,
            query: job.work.query,
            round: job.work.round,
            service: portion.service.clone(),
        };
        if !self.recent_deliveries.insert(self.now, delivery) {
            Self::count(count::Event::Drop, Reason::RepeatedKey, out);
            self.settle_portion(job, out);
            return;
        }
        let eligible = eligible_server_hashes(&portion);
        match self.admit(job, &portion, eligible.as_deref()) {
            Ok((service, deadline)) => self.enqueue(job, portion, eligible, service, deadline),
            Err(refused) => self.refuse(job, portion.service, refused, out),
        }
    }

    /// Checks whether a portion may be queued. Returns the service and the time by which the
    /// portion must have a reply.
    fn admit(
        &mut self,
        job: &Job,
        portion: &wire::Portion,
        eligible: Option<&[ServerHash]>,
    ) -> Result<(ServiceId, Instant), Refused> {
        let id = self.service_ids.get(portion.service.as_str()).copied();
        let finding = id.and_then(|id| self.find_record(job, id));
        if finding == Some(Finding::Repeated) {
            return Err(Refused::repeated());
        }
        if self.cancelled_queries.contains(&job.query()) {
            return Err(Refused::not_run(Reason::Cancelled));
        }
        if self.draining {
            return Err(Refused::not_run(Reason::Draining));
        }
        if let Some(reason) = self.refused_as_suspect(job) {
            return Err(Refused::not_run(reason));
        }
        let id = id.filter(|id| self.services[*id].role != Role::None);
        let id = id.ok_or_else(|| Refused::not_run(self.unowned_reason()))?;
        self.services[id].last_arrival = Some(self.now);
        if job.from.name != self.settings.name {
            self.services[id].record_handover(self.now);
        }
        self.count_offered(id, job, portion);
        if finding == Some(Finding::Unproven) {
            return Err(Refused::repeated());
        }
        let deadline = self.reply_deadline(job)?;
        self.check_servers(id, &job.work, eligible, deadline)?;
        self.check_queue(id, job, deadline)?;
        self.charge_repeated_portion(id, portion)?;
        Ok((id, deadline))
    }

    /// Spends one extra call on a portion that a server may already have received through a peer
    /// that was lost or did not answer.
    ///
    /// Applies where the limits count every arrival at a server, whether or not it ran. Each such
    /// call is then an extra call. Counted as first calls, these calls earned extra calls instead
    /// of costing them: with slow instances, a service got 256 extra arrivals where 241 were
    /// allowed.
    ///
    /// A portion that a peer refused before any server received it costs nothing. Otherwise the
    /// first requests after a change that the peers do not know yet would spend the extra calls
    /// needed when the next peer is lost.
    fn charge_repeated_portion(
        &mut self,
        id: ServiceId,
        portion: &wire::Portion,
    ) -> Result<(), Refused> {
        let service = &mut self.services[id];
        let counts = portion.repeated && service.limits().count_refused;
        if counts && !service.budget.refill(self.now).spend() {
            return Err(Refused::not_run(Reason::RetryBudget));
        }
        Ok(())
    }

    /// Looks up the records of a non-idempotent portion; `None` for an idempotent one.
    fn find_record(&self, job: &Job, id: ServiceId) -> Option<Finding> {
        if !is_unrepeatable(&self.services[id], &job.work) {
            return None;
        }
        let key = record::Key { service: id, key: Arc::clone(&job.key) };
        Some(self.records.find(&key, job.work.attempt))
    }

    /// Reason to refuse work for a service of which this instance is no candidate.
    fn unowned_reason(&self) -> Reason {
        match self.view.ready {
            true => Reason::NotOwner,
            false => Reason::NotReady,
        }
    }

    /// Returns the time by which a portion that arrives now must have a reply.
    ///
    /// Work that waited in a socket buffer while the process was paused still carries the budget
    /// with which it was sent. It would run long after its entry instance has stopped waiting for
    /// it, so the length of the pause is subtracted from the budget.
    fn reply_deadline(&self, job: &Job) -> Result<Instant, Refused> {
        let budget = Duration::from_micros(job.work.budget_us);
        let margin = MAX_REPLY_MARGIN.min(budget / 20);
        let pause = self.last_pause.filter(|pause| self.now.since(pause.ended) < POST_PAUSE_WINDOW);
        let pause_length = pause.map_or(Duration::ZERO, |pause| pause.length);
        if budget.is_zero() {
            return Err(Refused::not_run(Reason::Expired));
        }
        if pause_length >= budget - margin {
            return Err(Refused::not_run(Reason::Paused));
        }
        Ok(self.now + (budget - margin - pause_length))
    }

    /// Checks that the queue has room for one more portion and that the portion can be answered by
    /// its deadline.
    fn check_queue(&mut self, id: ServiceId, job: &Job, deadline: Instant) -> Result<(), Refused> {
        let class = urgency_class(&self.services[id], &job.work);
        let service = &mut self.services[id];
        service.admission.record_arrival(self.now, class);
        let service = &self.services[id];
        let limit = service.limits().queue as usize;
        let length = service.queue.len();
        if limit > 0 && length >= limit {
            let wait = self.wait(id, length);
            return Err(Refused::not_run(Reason::QueueFull).retry_after(wait));
        }
        if !self.settings.queueing {
            return Ok(());
        }
        let Some(mean) = self.mean_call_time(id, work_kind(&job.work)) else {
            return Ok(());
        };
        let wait = self.wait(id, service.queue.ahead(class));
        let done = self.now + wait + mean;
        if done > deadline {
            let excess = done.since(deadline);
            return Err(Refused::not_run(Reason::WouldMissDeadline).retry_after(excess));
        }
        if self.settings.sweep_utilization.is_some() && job.work.admitted_permille > 0 {
            // The sweep was admitted as a whole; without this part its other parts may be wasted.
            return Ok(());
        }
        let budget = deadline.since(self.now);
        let wait = wait.max(self.head_wait(id, class));
        let fraction = admission::query_fraction(job.incarnation, job.work.query);
        let admission = &self.services[id].admission;
        match admission.admits(class, fraction, wait, budget) {
            true => Ok(()),
            false => Err(Refused::not_run(Reason::WouldMissDeadline).retry_after(wait)),
        }
    }

    /// Time that the first queued portion of an urgency class has waited so far.
    fn head_wait(&self, id: ServiceId, class: Class) -> Duration {
        let head = self.services[id].queue.head(class);
        head.map_or(Duration::ZERO, |key| self.now.since(self.portions[key].arrived))
    }

    /// Estimated time that a portion waits in the queue behind `ahead` others.
    pub(super) fn wait(&self, id: ServiceId, ahead: usize) -> Duration {
        let service = &self.services[id];
        let slots = self.usable_slots(id).max(1);
        let mean = service.call_times.all().mean().unwrap_or(DEFAULT_CALL_TIME);
        if ahead == 0 && service.in_flight < slots {
            return Duration::ZERO;
        }
        mean.mul_f64((ahead as f64 + 1.0) / f64::from(slots))
    }

    /// Creates the state of an accepted portion, queues it and sets its timers.
    fn enqueue(
        &mut self,
        job: &Arc<Job>,
        portion: wire::Portion,
        eligible: Option<Arc<[ServerHash]>>,
        id: ServiceId,
        deadline: Instant,
    ) {
        let service = &mut self.services[id];
        service.last_accepted = self.now;
        let portion = Portion {
            eligible,
            job: Arc::clone(job),
            repeated: portion.repeated,
            service: id,
            shards: portion.shards.into(),
            arrived: self.now,
            deadline,
            queue_position: None,
            unrepeatable: is_unrepeatable(service, &job.work),
            class: urgency_class(service, &job.work),
            kind: work_kind(&job.work),
            timely_at: latency_objective(self.now, &job.work),
            attempts: Vec::new(),
            tried_servers: Vec::new(),
            used_connections: Vec::new(),
            call_traces: Vec::new(),
            calls: 0,
            unsent: 0,
            failures: 0,
            proved_not_run: 0,
            may_have_run: false,
            hedged: false,
        };
        if portion.unrepeatable {
            self.records.start(self.now, portion.record(), job.work.attempt);
        }
        let fast_call = self.fast_call_time(id, work_kind(&job.work));
        self.portion_began(job);
        let key = self.portions.insert(portion);
        self.push_to_queue(key);
        self.queries.entry(job.query()).or_default().push(key);
        self.timers.push(deadline, Timer::Deadline(key));
        if self.settings.queueing && !fast_call.is_zero() {
            self.timers.push(deadline - fast_call, Timer::Late(key));
        }
    }

    /// Whether a portion is in the queue of its service, without an open call.
    pub(super) fn is_queued(&self, key: PortionKey) -> bool {
        let portion = self.portions.get(key);
        portion.is_some_and(|portion| portion.queue_position.is_some())
    }

    /// Refuses a portion that is still queued when too little time is left to answer it, so that
    /// its entry instance can use the remaining time.
    pub(super) fn refuse_if_too_late(&mut self, key: PortionKey, out: &mut Vec<Action>) {
        if self.is_queued(key) {
            let verdict = self.current_verdict(key);
            self.refuse_portion(
                key,
                Refused::with_verdict(verdict, Reason::WouldMissDeadline),
                out,
            );
        }
    }

    /// Puts a portion without an open call into the queue of its service.
    pub(super) fn push_to_queue(&mut self, key: PortionKey) {
        let portion = &mut self.portions[key];
        let (class, order_key) = match portion.timely_at {
            Some(timely_at) if self.now < timely_at => (Class::TIMED, timely_at),
            Some(_) => (Class::LATE, portion.arrived),
            None => (portion.class, queue::order_key(portion.arrived, portion.deadline)),
        };
        let service = &mut self.services[portion.service];
        portion.queue_position = Some(service.queue.push(class, order_key, key));
        let id = portion.service;
        let work = service.in_flight as usize + service.queue.len();
        service.peak.add(self.now, work.div_ceil(service.servers.len().max(1)));
        self.mark_changed(id);
    }

    /// Handles the cancellation of a query by its entry instance. Portions that are still queued
    /// are reported as not run.
    pub(super) fn handle_cancel(
        &mut self,
        from: Arc<str>,
        cancel: &wire::Cancel,
        out: &mut Vec<Action>,
    ) {
        let query = Query { from, incarnation: cancel.incarnation, number: cancel.query };
        let keys = self.queries.remove(&query).unwrap_or_default();
        self.drop_aggregations(&keys);
        self.cancelled_queries.insert(self.now, query);
        for key in keys {
            let verdict = self.current_verdict(key);
            self.refuse_portion(key, Refused::with_verdict(verdict, Reason::Cancelled), out);
        }
    }

    /// Verdict that a portion would get if it were refused now: whether it may have run at a
    /// server.
    pub(super) fn current_verdict(&self, key: PortionKey) -> Verdict {
        let portion = &self.portions[key];
        match portion.attempts.is_empty() {
            true => portion.verdict(),
            false => Verdict::MayHaveRun,
        }
    }

    /// Refuses a portion whose deadline has passed.
    pub(super) fn refuse_at_deadline(&mut self, key: PortionKey, out: &mut Vec<Action>) {
        if !self.portions.contains_key(key) {
            return;
        }
        let verdict = self.current_verdict(key);
        self.refuse_portion(key, Refused::with_verdict(verdict, Reason::Deadline), out);
    }
}

/// Hashes of the names of the servers on which a portion may run; `None` if any server of the
/// service may run it.
fn eligible_server_hashes(portion: &wire::Portion) -> Option<Arc<[ServerHash]>> {
    let eligible = portion.eligible.as_ref()?;
    Some(eligible.servers.iter().copied().map(ServerHash).collect())
}

/// Kind of work for which call times are learned: the route of a forwarded message, else the
/// operation.
pub(super) fn work_kind(work: &wire::Work) -> WorkKind {
    match &work.forward {
        Some(forward) => WorkKind(forward.kind),
        None => WorkKind(hash::of(&[work.operation.as_bytes()])),
    }
}

/// Time by which the answer to work that arrives now meets its latency objective; `None` if the
/// work has none.
fn latency_objective(now: Instant, work: &wire::Work) -> Option<Instant> {
    let collect = work.collect.map(|collect| collect.timely_us);
    let forward = work.forward.as_ref().map(|forward| forward.timely_us);
    let objective = collect.or(forward).filter(|objective| *objective > 0)?;
    Some(now + Duration::from_micros(objective))
}

/// Whether the work is non-idempotent, according to the request or the catalogue entry.
fn is_unrepeatable(service: &Service, work: &wire::Work) -> bool {
    let listed = service.entry.operations.iter();
    work.unrepeatable
        || listed
            .filter(|operation| operation.name == work.operation)
            .any(|operation| operation.unrepeatable)
}

/// Urgency class of the work: that of its route or operation, else that of the catalogue entry.
fn urgency_class(service: &Service, work: &wire::Work) -> Class {
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
