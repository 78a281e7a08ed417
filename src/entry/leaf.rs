//! The leaf thread: the leaf machine and its connections to servers.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::collections::Map;
use ladder_core::control::quarantine::{Cause, Incarnation};
use ladder_core::leaf::{Action, Event, Machine, Settings};
use ladder_core::time::Instant;
use ladder_core::view::Peer;
use ladder_core::{control, gather};
use ladder_schema::settings;
use ladder_schema::wire::{Frame, Reply};

use super::Shared;
use super::dialect::{Reports, Servers, Timeouts};
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

/// Carries out the actions of the leaf machine.
struct LeafExecutor {
    shared: Shared,
    servers: Box<dyn Servers>,
    /// Replies to the local gathering machine, sent at the end of the current batch of actions;
    /// empty between batches.
    local_replies: Vec<Reply>,
    /// Frames to send at the end of the current batch of actions, by peer address; empty between
    /// batches.
    frames: Map<Arc<str>, Frame>,
}

impl LeafExecutor {
    /// Stores a reply until the end of the current batch of actions.
    fn queue_reply(&mut self, to: &Peer, reply: Reply) {
        if to.address == self.shared.local_peer.address {
            self.local_replies.push(reply);
        } else {
            self.frames.entry(Arc::clone(&to.address)).or_default().replies.push(reply);
        }
    }

    /// Sends the replies and frames that the current batch of actions has collected.
    fn flush(&mut self) {
        if !self.local_replies.is_empty() {
            let from = Arc::clone(&self.shared.local_peer.name);
            let replies = std::mem::take(&mut self.local_replies);
            self.shared.gather.send(gather::Event::Replies { from, replies });
        }
        for (address, frame) in self.frames.drain() {
            self.shared.outbound.send(&address, frame);
        }
    }
}

impl ActionExecutor<Machine> for LeafExecutor {
    fn execute(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut traces = Vec::new();
        for action in actions.drain(..) {
            match action {
                Action::Open { connection, address, server } => {
                    self.servers.open(connection, &address, &server);
                }
                Action::Close(connection) => self.servers.close(connection),
                Action::Send { connection, attempt, request, timeout } => {
                    self.servers.send(connection, attempt, request, now + timeout);
                }
                Action::Cancel { connection, id } => self.servers.cancel(connection, &id),
                Action::Probe { connection, server } => self.servers.probe(connection, server),
                Action::Reply { to, reply } => self.queue_reply(&to, reply),
                Action::Pending { to, pending } => {
                    self.frames.entry(to.address).or_default().pending.push(pending);
                }
                Action::Log(trace) => traces.push(trace),
                Action::Server { name, suspect, failure_rate } => {
                    log::server_standing(&self.shared.log, &name, suspect, failure_rate);
                }
                Action::Crashed { server, incarnation, at, requests, trials } => {
                    self.shared.request_log.crashed(&server, incarnation, &requests);
                    let incarnation = Incarnation { server, number: incarnation };
                    self.shared.control.send(control::Event::Crashed {
                        incarnation,
                        at,
                        requests,
                        trials,
                    });
                }
                Action::Refuted { server, incarnation } => {
                    let incarnation = Incarnation { server, number: incarnation };
                    self.shared.control.send(control::Event::Refuted(incarnation));
                }
                Action::Cleared { request, cause, response } => {
                    log::request_cleared(&self.shared.log, request, cause, response.as_ref());
                    self.shared.control.send(match cause {
                        Cause::Errors => control::Event::ClearedByErrors(request),
                        _ => control::Event::Cleared(request),
                    });
                }
                Action::Connection(event) => self.shared.metrics.connection(event),
                Action::Count(count) => self.shared.metrics.count(count),
            }
        }
        self.flush();
        traces.iter().for_each(|trace| self.shared.request_log.trace(trace));
    }
}

/// How long a call whose caller has left may continue if servers accept no cancellations. Most
/// calls end within this time, and their connections can be reused. The limit keeps a server from
/// working much longer, such as half a second, on a result that no caller waits for.
const ABANDONED_CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Runs the leaf machine until the process ends.
pub async fn run(shared: Shared, inbox: Inbox<Machine>) {
    let strategy = shared.options.strategy;
    let admission = shared.options.admission;
    let sweep_utilization =
        admission.sweeps.then(|| f64::from(admission.target_utilization_percent) / 100.0);
    let settings = Settings::builder(&shared.local_peer.name, shared.incarnation)
        .selection(strategy.selection)
        .hedging(strategy.hedging)
        .queueing(strategy.queueing)
        .probing(shared.dialect.probes())
        .linger((!shared.dialect.cancels()).then_some(ABANDONED_CALL_TIMEOUT))
        .by_need(strategy.listing == settings::Listing::Observed)
        .gradual_startup(strategy.gradual_startup)
        .sweep_utilization(sweep_utilization)
        .zone(&shared.options.instance.zone)
        .zonal(strategy.zonal_aggregation)
        .seed(shared.seed())
        .build();
    let reports = Reports {
        timeouts: Timeouts::default(),
        leaf: shared.leaf.clone(),
        control: shared.control.clone(),
        clock: shared.clock,
    };
    let servers = shared.dialect.servers(reports);
    let driver = Driver {
        machine: Machine::new(settings),
        clock: shared.clock,
        pause_threshold: shared.options.times.pause_threshold,
        executor: LeafExecutor {
            shared,
            servers,
            local_replies: Vec::new(),
            frames: Map::default(),
        },
    };
    driver.run(inbox).await;
}
