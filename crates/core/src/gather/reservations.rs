//! Asks the holder of a sweep's reservations before the sweep is refused, and answers such requests
//! of other instances.
//!
//! While a sweep waits for the holder's reply, nothing of it has been sent, so that it can be
//! refused as not run at any time.

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::wire;
use slotmap::{SlotMap, new_key_type};

use super::check::Refusal;
use super::event::{Action, CallerId};
use super::failover::MAX_WAKE_DELAY;
use super::history::Step;
use super::machine::{Machine, count};
use super::settings::Settings;
use super::sweep_admission::Arrival;
use super::timers::Timer;
use crate::admission::Share;
use crate::admission::decision::{Limit, MAX_DELAY_DIVISOR};
use crate::admission::holder::Holders;
use crate::admission::reservation::{Book, Event, Request, Response};
use crate::collections::Map;
use crate::control::hash;
use crate::count;
use crate::time::Instant;
use crate::view::Peer;

/// Longest time for which a sweep waits for the reply of its holder, which is in the same zone and
/// replies at once.
const MAX_HOLDER_WAIT: Duration = Duration::from_millis(5);
/// Part of the latency objective for which a sweep waits at most.
const TARGET_DIVISOR: u32 = 8;
/// Time for which a sweep waits again if its timer was handled late.
const EXTENSION: Duration = Duration::from_millis(1);

new_key_type! {
    /// Key of a sweep that waits for the reply of its holder.
    pub(crate) struct PendingKey;
}

/// A sweep that waits for the reply of its holder.
#[derive(Debug)]
struct Pending {
    arrival: Arrival,
    /// The limit because of which the sweep is refused unless a reservation is due.
    limit: Limit,
    /// Delay to advise if the holder advises none.
    retry_after: Duration,
    /// Longest delay that the caller honours.
    max_wait: Duration,
    /// Name of the holder.
    holder: Arc<str>,
    /// Due time of the sweep's timer in the machine's timer set.
    timer: Instant,
    /// Whether the wait was extended because the timer was handled late.
    is_extended: bool,
}

/// Reservations that this instance holds, and its sweeps that wait for other holders.
#[derive(Debug)]
pub(crate) struct Reservations {
    book: Book,
    pub(super) holders: Holders,
    pending: SlotMap<PendingKey, Pending>,
    /// Pending sweeps by query number.
    ///
    /// Invariant: contains exactly the numbers of `pending`.
    by_number: Map<u64, PendingKey>,
    /// Pending sweeps by caller.
    ///
    /// Invariant: contains exactly the callers of `pending`.
    by_caller: Map<CallerId, PendingKey>,
}

impl Reservations {
    pub(crate) fn new(settings: &Settings) -> Self {
        let seed = hash::of(&[settings.name.as_bytes()]);
        Self {
            book: Book::new(settings.reserved_percent, seed),
            holders: Holders::new(Arc::clone(&settings.name)),
            pending: SlotMap::default(),
            by_number: Map::default(),
            by_caller: Map::default(),
        }
    }

    /// Returns the number of sweeps that wait for the reply of their holder.
    pub(crate) fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of reservations that this instance holds.
    pub(crate) fn held(&self) -> usize {
        self.book.len()
    }

    fn insert(&mut self, pending: Pending) -> PendingKey {
        let (number, caller) = (pending.arrival.ids.number, pending.arrival.caller);
        let key = self.pending.insert(pending);
        self.by_number.insert(number, key);
        self.by_caller.insert(caller, key);
        key
    }

    fn remove(&mut self, key: PendingKey) -> Option<Pending> {
        let pending = self.pending.remove(key)?;
        self.by_number.remove(&pending.arrival.ids.number);
        self.by_caller.remove(&pending.arrival.caller);
        Some(pending)
    }
}

impl Machine {
    /// Handles a sweep that is not admitted: asks the holder whether a reservation is due, if there
    /// are reservations, and otherwise refuses the sweep.
    ///
    /// If no sweep at all is admitted, as when too few services have a usable server, a reservation
    /// would not help.
    pub(super) fn reserve_or_refuse(
        &mut self,
        now: Instant,
        arrival: Arrival,
        limit: Limit,
        retry_after: Duration,
        out: &mut Vec<Action>,
    ) {
        if self.settings.reserved_percent == 0 || limit.share == Share::NONE {
            self.refuse_sweep(now, arrival, &limit, retry_after, out);
            return;
        }
        let target = arrival.plan.route.as_ref().map_or(0, |route| route.spec.target_ms);
        let target = Duration::from_millis(target.into());
        let deadline = arrival.plan.terms.deadline;
        let wait = MAX_HOLDER_WAIT.min(target / TARGET_DIVISOR).min(deadline / TARGET_DIVISOR);
        let request = Request {
            fingerprint: arrival.ids.fingerprint,
            max_wait: (deadline - wait) / MAX_DELAY_DIVISOR,
            share_permille: limit.share.permille(),
            target,
        };
        let number = arrival.ids.number;
        let holder = self.reservations.holders.select(request.fingerprint).cloned();
        let holder_name = holder.as_ref().map_or(&self.settings.name, |holder| &holder.name);
        let step = Step::ReservationRequested { holder: Arc::clone(holder_name) };
        self.history.add(arrival.ids.history_id, now, step);
        let timer = now + wait;
        let pending = Pending {
            arrival,
            limit,
            retry_after,
            max_wait: request.max_wait,
            holder: Arc::clone(holder_name),
            timer,
            is_extended: false,
        };
        let key = self.reservations.insert(pending);
        self.timers.add(timer, Timer::Reservation(key));
        match holder {
            Some(to) => {
                out.push(Action::RequestReservation { to, request: request.wire(number) });
            }
            None => {
                let response = self.request_here(now, &request, out);
                self.settle_pending(now, key, response, out);
            }
        }
    }

    /// Handles requests of another instance, which are answered at once.
    pub(crate) fn handle_reservation_requests(
        &mut self,
        now: Instant,
        from: &Peer,
        incarnation: u64,
        requests: Vec<wire::ReservationRequest>,
        out: &mut Vec<Action>,
    ) {
        for request in requests {
            let query = request.query;
            let Some(request) = Request::read(&request) else {
                count(out, count::Event::Drop, Reason::PeerMalformed);
                continue;
            };
            let response = self.request_here(now, &request, out);
            let reply = response.wire(query, incarnation);
            out.push(Action::ReplyReservation { to: from.clone(), reply });
        }
    }

    /// Handles replies of a holder; those that no pending sweep waits for are dropped.
    pub(crate) fn handle_reservation_replies(
        &mut self,
        now: Instant,
        from: &str,
        replies: Vec<wire::ReservationReply>,
        out: &mut Vec<Action>,
    ) {
        for reply in replies {
            let key = self.reservations.by_number.get(&reply.query).copied();
            let key = key.filter(|_| reply.incarnation == self.settings.incarnation);
            let is_holder = |key: PendingKey| *self.reservations.pending[key].holder == *from;
            match key {
                None => count(out, count::Event::Drop, Reason::StaleAnswer),
                Some(key) if !is_holder(key) => {
                    count(out, count::Event::Drop, Reason::WrongAnswer);
                }
                Some(key) => self.settle_pending(now, key, Response::read(&reply), out),
            }
        }
    }

    /// Counts the reservations that have expired.
    pub(super) fn expire_reservations(&mut self, now: Instant, out: &mut Vec<Action>) {
        for _ in 0..self.reservations.book.expire(now) {
            out.push(Action::Reservation(Event::Expired));
        }
    }

    /// Handles the timer of a pending sweep: refuses the sweep, as its holder has not replied.
    pub(super) fn pending_timer_due(
        &mut self,
        now: Instant,
        at: Instant,
        key: PendingKey,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.reservations.pending.get_mut(key) else {
            return;
        };
        // If this process was delayed, the reply may have arrived and not been read yet.
        if now.since(at) > MAX_WAKE_DELAY && !pending.is_extended {
            pending.is_extended = true;
            pending.timer = now + EXTENSION;
            self.timers.add(pending.timer, Timer::Reservation(key));
            return;
        }
        self.refuse_pending(now, key, out);
    }

    /// Refuses the pending sweeps whose holder is the instance of this name: the link to it broke,
    /// so that no reply can arrive.
    pub(super) fn refuse_pending_at(&mut self, now: Instant, holder: &str, out: &mut Vec<Action>) {
        let pending = self.reservations.pending.iter();
        let lost = pending.filter(|(_, pending)| *pending.holder == *holder).map(|(key, _)| key);
        for key in lost.collect::<Vec<_>>() {
            self.refuse_pending(now, key, out);
        }
    }

    /// Refuses all pending sweeps at the time limit of the shutdown.
    pub(super) fn cut_pending(&mut self, now: Instant, out: &mut Vec<Action>) {
        for key in self.reservations.pending.keys().collect::<Vec<_>>() {
            if let Some(Pending { arrival, .. }) = self.remove_pending(key) {
                let refusal = Refusal::new(Reason::Draining, "the instance is shutting down");
                let Arrival { caller, request, ids, .. } = arrival;
                self.refuse(now, caller, &request, ids, (refusal, Verdict::NotRun), out);
            }
        }
    }

    /// Forgets the pending sweep of a caller that left.
    pub(super) fn leave_pending(&mut self, now: Instant, caller: CallerId, out: &mut Vec<Action>) {
        let Some(&key) = self.reservations.by_caller.get(&caller) else {
            return;
        };
        if let Some(Pending { arrival, .. }) = self.remove_pending(key) {
            self.history.add(arrival.ids.history_id, now, Step::CallerLeft);
            self.log_if_notable(arrival.ids.history_id, out);
        }
    }

    fn remove_pending(&mut self, key: PendingKey) -> Option<Pending> {
        let pending = self.reservations.remove(key)?;
        self.timers.remove(pending.timer, Timer::Reservation(key));
        Some(pending)
    }

    /// Requests a reservation from this instance's book.
    fn request_here(&mut self, now: Instant, request: &Request, out: &mut Vec<Action>) -> Response {
        self.expire_reservations(now, out);
        let response = self.reservations.book.request(now, request);
        out.push(Action::Reservation(response.event()));
        response
    }

    /// Starts or refuses a pending sweep as its holder decided.
    fn settle_pending(
        &mut self,
        now: Instant,
        key: PendingKey,
        response: Response,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.remove_pending(key) else {
            return;
        };
        let Pending { arrival, limit, retry_after, max_wait, .. } = pending;
        let step = Step::ReservationAnswered { response };
        self.history.add(arrival.ids.history_id, now, step);
        let is_expired = now >= arrival.at + arrival.plan.terms.deadline;
        if response == Response::Granted && !is_expired {
            self.start_granted(now, arrival, out);
            return;
        }
        let advised = match response.retry_after() {
            Duration::ZERO => retry_after,
            advised => advised.min(max_wait),
        };
        self.refuse_sweep(now, arrival, &limit, advised, out);
    }

    /// Starts a sweep that has waited for its holder. It is planned again, since the view may have
    /// changed in the meantime.
    fn start_granted(&mut self, now: Instant, mut arrival: Arrival, out: &mut Vec<Action>) {
        match self.plan(now, &arrival.request, arrival.ids.fingerprint) {
            Ok(plan) => {
                arrival.plan = plan;
                self.start(now, arrival, Share::ALL.permille(), out);
            }
            Err(refused) => {
                let Arrival { caller, request, ids, .. } = arrival;
                self.refuse(now, caller, &request, ids, refused, out);
            }
        }
    }

    /// Refuses a pending sweep whose holder has not replied.
    fn refuse_pending(&mut self, now: Instant, key: PendingKey, out: &mut Vec<Action>) {
        if let Some(Pending { arrival, limit, retry_after, .. }) = self.remove_pending(key) {
            self.refuse_sweep(now, arrival, &limit, retry_after, out);
        }
    }
}
