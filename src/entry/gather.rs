//! The gather thread: the gathering machine and the callers' HTTP interface.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ladder_core::collections::Map;
use ladder_core::gather::{Action, Event, Machine, Settings};
use ladder_core::time::Instant;
use ladder_core::{control, leaf};
use ladder_schema::wire::{Cancel, Frame, ReservationReply, ReservationRequest, Work};

use super::Shared;
use super::dialect::Listeners;
use super::gateway::{Gateway, WaitingCallers};
use crate::driver::{self, ActionExecutor, Driver, Inbox};
use crate::log;

impl driver::Machine for Machine {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        Machine::handle(self, now, event, actions);
    }

    fn next_wake(&self) -> Option<Instant> {
        Machine::next_wake(self)
    }

    fn tick() -> Event {
        Event::Tick
    }

    fn paused(gap: Duration) -> Event {
        Event::Paused(gap)
    }
}

/// Carries out the actions of the gathering machine.
struct GatherExecutor {
    shared: Shared,
    waiting: Rc<RefCell<WaitingCallers>>,
    /// Frames to send at the end of the current batch of actions, by peer address; empty between
    /// batches.
    frames: Map<Arc<str>, Frame>,
}

impl GatherExecutor {
    /// Passes work to the local leaf machine, or adds it to the frame for its peer.
    fn send(&mut self, to: &Arc<str>, work: Work) {
        if *to == self.shared.local_peer.address {
            self.shared.leaf.send(leaf::Event::Work {
                from: self.shared.local_peer.clone(),
                incarnation: self.shared.incarnation,
                work,
            });
        } else {
            self.frames.entry(Arc::clone(to)).or_default().work.push(work);
        }
    }

    /// Passes a cancellation to the local leaf machine, or adds it to the frame for its peer.
    fn cancel(&mut self, to: &Arc<str>, cancel: Cancel) {
        if *to == self.shared.local_peer.address {
            let from = Arc::clone(&self.shared.local_peer.name);
            self.shared.leaf.send(leaf::Event::Cancel { from, cancel });
        } else {
            self.frames.entry(Arc::clone(to)).or_default().cancels.push(cancel);
        }
    }

    /// Adds a request for a reservation to the frame for its holder.
    fn request_reservation(&mut self, holder: &Arc<str>, request: ReservationRequest) {
        let frame = self.frames.entry(Arc::clone(holder)).or_default();
        frame.reservation_requests.push(request);
    }

    /// Adds a reply to a request for a reservation to the frame for the instance that sent it.
    fn reply_reservation(&mut self, to: &Arc<str>, reply: ReservationReply) {
        self.frames.entry(Arc::clone(to)).or_default().reservation_replies.push(reply);
    }
}

impl ActionExecutor<Machine> for GatherExecutor {
    fn execute(&mut self, _now: Instant, actions: &mut Vec<Action>) {
        let mut explanations = Vec::new();
        for action in actions.drain(..) {
            match action {
                Action::Answer { caller, answer } => {
                    self.waiting.borrow_mut().answer(caller, answer);
                }
                Action::Send { to, work } => self.send(&to.address, work),
                Action::Cancel { to, cancel } => self.cancel(&to.address, cancel),
                Action::RequestReservation { to, request } => {
                    self.request_reservation(&to.address, request);
                }
                Action::ReplyReservation { to, reply } => {
                    self.reply_reservation(&to.address, reply);
                }
                Action::Reservation(event) => self.shared.metrics.reservation(event),
                Action::Refused(request) => {
                    self.shared.control.send(control::Event::Asked(request));
                }
                Action::Share(change) => {
                    self.shared.metrics.admissible_share(&change);
                    log::share_change(&self.shared.log, &change);
                }
                Action::Log(explanation) => explanations.push(explanation),
                Action::Written(response) => {
                    self.shared.metrics.response(&response);
                    self.shared.request_log.response(&response);
                }
                Action::Count(count) => self.shared.metrics.count(count),
            }
        }
        for (address, frame) in self.frames.drain() {
            self.shared.outbound.send(&address, frame);
        }
        if !explanations.is_empty() {
            let log = self.shared.request_log.clone();
            // A separate task runs after the tasks that write the answers of this batch: the lines
            // of a wide sweep take milliseconds of a small processor.
            actix_rt::spawn(async move {
                explanations.iter().for_each(|explanation| log.request(explanation));
            });
        }
    }
}

/// Runs the gathering machine and serves callers until the process ends.
pub async fn run(shared: Shared, inbox: Inbox<Machine>, listeners: Listeners) {
    let waiting = Rc::new(RefCell::new(WaitingCallers::default()));
    let gateway = Gateway::new(shared.clone(), Rc::clone(&waiting));
    actix_rt::spawn(shared.dialect.callers(gateway, listeners));
    let strategy = shared.options.strategy;
    let mut settings =
        Settings::builder(&shared.local_peer.name, shared.incarnation).hedging(strategy.hedging);
    settings = settings.millicores(shared.options.millicores());
    settings = settings.sweep_admission(shared.options.admission.sweeps);
    settings = settings.reserved_percent(shared.options.admission.reserved_percent);
    if strategy.partial_aggregation {
        settings = settings.near(&shared.options.instance.zone).zonal(strategy.zonal_aggregation);
    }
    let driver = Driver {
        machine: Machine::new(settings.build()),
        clock: shared.clock,
        pause_threshold: shared.options.times.pause_threshold,
        executor: GatherExecutor { shared, waiting, frames: Map::default() },
    };
    driver.run(inbox).await;
}
