//! The control thread: the control machine, the watch of the platform and the operators' HTTP
//! interface.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use ladder_core::control::settings::{Listing, Placement, Settings, Timing};
use ladder_core::control::state_change::{PlatformChange, StateChange};
use ladder_core::control::store::Refusal;
use ladder_core::control::{Action, Event, Machine};
use ladder_core::time::Instant;
use ladder_core::view::View;
use ladder_core::{gather, leaf};
use ladder_schema::settings;
use slog::{debug, error, warn};

use super::dialect::Publication;
use super::{Shared, admin};
use crate::driver::{self, ActionExecutor, Driver, Inbox};
use crate::http::responses::Unwritten;
use crate::{http, log};

impl driver::Machine for Machine {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        Machine::handle(self, now, event, actions);
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

/// Carries out the actions of the control machine.
struct ControlExecutor {
    shared: Shared,
    publication: Box<dyn Publication>,
}

impl ControlExecutor {
    /// Publishes a view to the gathering and the leaf machine.
    fn publish(&self, view: Arc<View>) {
        if view.ready {
            self.shared.ready.set_initialised(true);
        }
        if let Some(routing) = &view.routing {
            self.shared.caller_bounds.set(routing.bounds);
        }
        self.shared.gather.send(gather::Event::View(Arc::clone(&view)));
        self.shared.leaf.send(leaf::Event::View(view));
    }

    /// Logs a refused record, and counts it unless it has been reported before.
    fn report_refusal(&self, refusal: &Refusal, repeated_after: Option<Duration>) {
        if repeated_after.is_none() {
            self.shared.metrics.record_refused(refusal.key.kind, refusal.reason);
        }
        warn!(self.shared.log, "published record refused"; "record" => %refusal.key,
            "revision" => refusal.revision, "version" => refusal.version,
            "reason" => refusal.reason, "detail" => &refusal.detail,
            "refused_for_ms" => repeated_after.map(log::whole_millis));
    }
}

impl ActionExecutor<Machine> for ControlExecutor {
    fn execute(&mut self, _now: Instant, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Send { to, frame } => self.shared.outbound.send(&to, *frame),
                Action::Generation(generation) => self.shared.outbound.set_generation(generation),
                Action::Watch(read) => {
                    self.shared.metrics.platform_read_started(read.cause);
                    self.publication.read(read);
                }
                Action::View(view) => {
                    debug!(self.shared.log, "view in force"; "generation" => view.generation,
                        "revision" => view.revision, "ready" => view.ready);
                    self.publish(view);
                }
                Action::Refused { refusal, repeated_after } => {
                    self.report_refusal(&refusal, repeated_after);
                }
                Action::Log(state_change) => {
                    if let StateChange::Platform(PlatformChange::EraChanged { .. }) = state_change {
                        self.shared.metrics.era_changed();
                    }
                    log::state_change(&self.shared.log, &state_change);
                }
                Action::Count(count) => self.shared.metrics.count(count),
            }
        }
    }
}

/// Runs the control machine and serves operators until the process ends.
pub fn run(shared: Shared, inbox: Inbox<Machine>, listener: TcpListener) {
    let log = shared.log.clone();
    actix_rt::System::new().block_on(async move {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                error!(log, "operators' HTTP interface cannot be served"; "error" => %error);
                return;
            }
        };
        let admin_api = admin::AdminApi::new(shared.clone());
        actix_rt::spawn(http::serve(listener, Unwritten::default(), move |request| {
            admin_api.clone().handle(request)
        }));
        let publication = shared.dialect.publication(&shared);
        let driver = Driver {
            machine: Machine::new(self::settings(&shared), shared.clock.now()),
            clock: shared.clock,
            pause_threshold: shared.options.times.pause_threshold,
            executor: ControlExecutor { shared, publication },
        };
        driver.run(inbox).await;
    });
}

/// Builds the settings of the control machine.
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
        probe: times.probe_interval,
        suspect: times.suspect_after,
        dead: times.dead_after,
        digest: times.digest_interval,
        contact: times.contact_timeout,
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
        .near(shared.options.strategy.partial_aggregation)
        .gradual_startup(shared.options.strategy.gradual_startup)
        .zonal(shared.options.strategy.zonal_aggregation)
        .timing(timing)
        .seed(shared.seed())
        .build()
}
