//! The gather thread: callers' HTTP and the gathering machine.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ladder_core::collections::Map;
use ladder_core::gather::{Action, Event, Machine, Settings};
use ladder_core::time::Instant;
use ladder_core::{control, leaf};
use ladder_schema::wire::{Cancel, Frame, Work};

use super::Shared;
use super::dialect::Listeners;
use super::door::{Door, Waiting};
use crate::driver::{self, Driver, Inbox, Performer};

impl driver::Machine for Machine {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        Machine::handle(self, now, event, out);
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

/// Carries out the gathering machine's actions.
struct Performing {
    shared: Shared,
    waiting: Rc<RefCell<Waiting>>,
    /// Frames of one batch by peer address; empty between batches.
    frames: Map<Arc<str>, Frame>,
}

impl Performing {
    /// Hands work to the local leaf or adds it to its peer's frame.
    fn send(&mut self, to: &Arc<str>, work: Work) {
        if *to == self.shared.me.address {
            self.shared.leaf.tell(leaf::Event::Work {
                from: self.shared.me.clone(),
                incarnation: self.shared.incarnation,
                work,
            });
        } else {
            self.frames.entry(Arc::clone(to)).or_default().work.push(work);
        }
    }

    /// Hands a cancellation to the local leaf or adds it to its peer's frame.
    fn cancel(&mut self, to: &Arc<str>, cancel: Cancel) {
        if *to == self.shared.me.address {
            let from = Arc::clone(&self.shared.me.name);
            self.shared.leaf.tell(leaf::Event::Cancel { from, cancel });
        } else {
            self.frames.entry(Arc::clone(to)).or_default().cancels.push(cancel);
        }
    }
}

impl Performer<Machine> for Performing {
    fn perform(&mut self, _now: Instant, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Answer { caller, answer } => {
                    self.waiting.borrow_mut().answer(caller, answer);
                }
                Action::Send { to, work } => self.send(&to.address, work),
                Action::Cancel { to, cancel } => self.cancel(&to.address, cancel),
                Action::Refused(request) => {
                    self.shared.control.tell(control::Event::Asked(request));
                }
                Action::Log(account) => self.shared.lines.request(&account),
                Action::Count(count) => self.shared.metrics.count(count),
            }
        }
        for (address, frame) in self.frames.drain() {
            self.shared.outbound.send(&address, frame);
        }
    }
}

/// Runs the machine and serves callers until the process ends.
pub async fn run(shared: Shared, inbox: Inbox<Machine>, listeners: Listeners) {
    let waiting = Rc::new(RefCell::new(Waiting::default()));
    let door = Door::new(shared.clone(), Rc::clone(&waiting));
    actix_rt::spawn(shared.dialect.callers(door, listeners));
    let strategy = shared.options.strategy;
    let mut settings =
        Settings::builder(&shared.me.name, shared.incarnation).hedging(strategy.hedging);
    settings = settings.millicores(shared.options.millicores());
    if strategy.near {
        settings = settings.near(&shared.options.instance.zone);
    }
    let driver = Driver {
        machine: Machine::new(settings.build()),
        clock: shared.clock,
        pause: shared.options.times.pause,
        performer: Performing { shared, waiting, frames: Map::default() },
    };
    driver.run(inbox).await;
}
