//! The control thread: the control machine, the watch of the platform, operators' HTTP.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::settings::{Listing, Placement, Settings, Timing};
use ladder_core::control::{Action, Event, Machine};
use ladder_core::time::Instant;
use ladder_core::view::View;
use ladder_core::{gather, leaf};
use ladder_schema::settings;
use slog::{debug, error, warn};

use super::dialect::Publication;
use super::{Shared, admin};
use crate::driver::{self, Driver, Inbox, Performer};
use crate::{http, log};

impl driver::Machine for Machine {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        Machine::handle(self, now, event, out);
    }

    fn next_wake(&self) -> Option<Instant> {
        Some(Machine::next_wake(self))
    }

    fn tick() -> Event {
        Event::Tick
    }

    fn paused(gap: Duration) -> Event {
        Event::Paused(gap)
    }
}

/// Carries out the control machine's actions.
struct Performing {
    shared: Shared,
    publication: Box<dyn Publication>,
}

impl Performing {
    /// Publishes a view to the traffic threads.
    fn publish(&self, view: Arc<View>) {
        if view.ready {
            self.shared.ready.set_known(true);
        }
        if let Some(routing) = &view.routing {
            self.shared.bounds.set(routing.bounds);
        }
        self.shared.gather.tell(gather::Event::View(Arc::clone(&view)));
        self.shared.leaf.tell(leaf::Event::View(view));
    }
}

impl Performer<Machine> for Performing {
    fn perform(&mut self, _now: Instant, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Send { to, frame } => self.shared.outbound.send(&to, *frame),
                Action::Generation(generation) => self.shared.outbound.set_generation(generation),
                Action::Watch(read) => self.publication.read(read),
                Action::View(view) => {
                    debug!(self.shared.log, "view in force"; "generation" => view.generation,
                        "revision" => view.revision, "ready" => view.ready);
                    self.publish(view);
                }
                Action::Refused { record, revision, detail } => {
                    warn!(self.shared.log, "published record refused"; "record" => record,
                        "revision" => revision, "detail" => detail);
                }
                Action::Log(belief) => log::belief(&self.shared.log, &belief),
                Action::Count(count) => self.shared.metrics.count(count),
            }
        }
    }
}

/// Runs the thread until the process ends.
pub fn run(shared: Shared, inbox: Inbox<Machine>, listener: TcpListener) {
    let log = shared.log.clone();
    actix_rt::System::new().block_on(async move {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                error!(log, "operators cannot be served"; "error" => %error);
                return;
            }
        };
        let operators = admin::Door::new(shared.clone());
        actix_rt::spawn(http::serve(listener, move |request| operators.clone().handle(request)));
        let publication = shared.dialect.publication(&shared);
        let driver = Driver {
            machine: Machine::new(self::settings(&shared), shared.clock.now()),
            clock: shared.clock,
            pause: shared.options.times.pause,
            performer: Performing { shared, publication },
        };
        driver.run(inbox).await;
    });
}

/// Settings of the control machine.
fn settings(shared: &Shared) -> Settings {
    let instance = &shared.options.instance;
    let times = &shared.options.times;
    let placement = match shared.options.strategy.placement {
        settings::Placement::Direct => Placement::Direct,
        _ => Placement::Owner,
    };
    let listing = match shared.options.strategy.listing {
        settings::Listing::Observed => Listing::Observed,
        _ => Listing::Published,
    };
    let timing = Timing {
        probe: times.probe,
        suspect: times.suspect,
        dead: times.dead,
        digest: times.digest,
        contact: times.contact,
        ..Timing::default()
    };
    Settings::builder(&instance.name, &instance.peer_address)
        .fleet(&instance.fleet)
        .incarnation(shared.incarnation)
        .zone(&instance.zone)
        .regions(instance.zones.iter().map(|zone| (&*zone.name, &*zone.region)))
        .millicores(shared.options.millicores())
        .seeds(instance.seeds.iter().map(String::as_str))
        .placement(placement)
        .listing(listing)
        .near(shared.options.strategy.near)
        .timing(timing)
        .seed(shared.seed())
        .build()
}
