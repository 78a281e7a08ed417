//! The leaf thread: the leaf machine and its connections to servers.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::collections::Map;
use ladder_core::control::quarantine::Incarnation;
use ladder_core::leaf::{Action, Event, Machine, Settings};
use ladder_core::time::Instant;
use ladder_core::view::Peer;
use ladder_core::{control, gather};
use ladder_schema::settings;
use ladder_schema::wire::{Frame, Reply};

use super::Shared;
use super::dialect::{Reports, Servers, Spans};
use crate::driver::{self, Driver, Inbox, Performer};
use crate::log;

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

/// Carries out the leaf machine's actions.
struct Performing {
    shared: Shared,
    servers: Box<dyn Servers>,
    /// Replies of one batch to the local gathering machine; empty between batches.
    local: Vec<Reply>,
    /// Frames of one batch by peer address; empty between batches.
    frames: Map<Arc<str>, Frame>,
}

impl Performing {
    /// Keeps a reply for the end of the batch.
    fn reply(&mut self, to: &Peer, reply: Reply) {
        if to.address == self.shared.me.address {
            self.local.push(reply);
        } else {
            self.frames.entry(Arc::clone(&to.address)).or_default().replies.push(reply);
        }
    }

    /// Sends what the batch has gathered.
    fn flush(&mut self) {
        if !self.local.is_empty() {
            let from = Arc::clone(&self.shared.me.name);
            let replies = std::mem::take(&mut self.local);
            self.shared.gather.tell(gather::Event::Replies { from, replies });
        }
        for (address, frame) in self.frames.drain() {
            self.shared.outbound.send(&address, frame);
        }
    }
}

impl Performer<Machine> for Performing {
    fn perform(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Open { lane, address, server } => {
                    self.servers.open(lane, &address, &server);
                }
                Action::Close(lane) => self.servers.close(lane),
                Action::Send { lane, attempt, request, timeout } => {
                    self.servers.send(lane, attempt, request, now + timeout);
                }
                Action::Cancel { lane, id } => self.servers.cancel(lane, &id),
                Action::Probe { lane, server } => self.servers.probe(lane, server),
                Action::Reply { to, reply } => self.reply(&to, reply),
                Action::Pending { to, pending } => {
                    self.frames.entry(to.address).or_default().pending.push(pending);
                }
                Action::Log(trace) => self.shared.lines.trace(&trace),
                Action::Server { name, suspect, failure_rate } => {
                    log::server(&self.shared.log, &name, suspect, failure_rate);
                }
                Action::Crashed { server, incarnation, at, requests } => {
                    self.shared.lines.crashed(&server, incarnation, &requests);
                    let incarnation = Incarnation { server, number: incarnation };
                    self.shared.control.tell(control::Event::Crashed { incarnation, at, requests });
                }
                Action::Refuted { server, incarnation } => {
                    let incarnation = Incarnation { server, number: incarnation };
                    self.shared.control.tell(control::Event::Refuted(incarnation));
                }
                Action::Cleared(request) => {
                    self.shared.control.tell(control::Event::Cleared(request));
                }
                Action::Count(count) => self.shared.metrics.count(count),
            }
        }
        self.flush();
    }
}

/// How long a call that nobody waits for may go on where servers take no cancellations: most end
/// within it and their connections live on; a server that works half a second for a caller that has
/// left works in vain.
const LINGER: Duration = Duration::from_millis(250);

/// Runs the machine until the process ends.
pub async fn run(shared: Shared, inbox: Inbox<Machine>) {
    let strategy = shared.options.strategy;
    let settings = Settings::builder(&shared.me.name, shared.incarnation)
        .selection(strategy.selection)
        .hedging(strategy.hedging)
        .queueing(strategy.queueing)
        .probing(shared.dialect.probes())
        .linger((!shared.dialect.cancels()).then_some(LINGER))
        .by_need(strategy.listing == settings::Listing::Observed)
        .zone(&shared.options.instance.zone)
        .seed(shared.seed())
        .build();
    let reports = Reports {
        spans: Spans::default(),
        leaf: shared.leaf.clone(),
        control: shared.control.clone(),
        clock: shared.clock,
    };
    let servers = shared.dialect.servers(reports);
    let driver = Driver {
        machine: Machine::new(settings),
        clock: shared.clock,
        pause: shared.options.times.pause,
        performer: Performing { shared, servers, local: Vec::new(), frames: Map::default() },
    };
    driver.run(inbox).await;
}
