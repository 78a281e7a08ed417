//! Full listings of the publication, withdrawals that are held back, and fleets whose instances are
//! not published.

use std::time::Duration;

use ladder_core::control::settings::{Listing, Placement, Timing};
use ladder_core::control::{Action, Event, Machine, Settings};
use ladder_core::schema::bounds::PROTOCOL;
use ladder_core::schema::catalogue::Urgency;
use ladder_core::schema::publication::{
    Branch, Kind, Page, Record, Route, Routing, State, record::Body,
};
use ladder_core::schema::wire::Frame;
use ladder_core::time::Instant;

use crate::fixtures;

/// Number of servers of the service.
const SERVER_COUNT: u64 = 20;

/// A single control machine without a published list of instances, which counts those that it
/// receives frames from.
pub(crate) struct ObservingInstance {
    pub(crate) machine: Machine,
    pub(crate) now: Instant,
    log: Vec<Action>,
}

fn server(number: u64) -> Body {
    fixtures::server(&format!("docks-{number}"), "docks", 1, State::Live)
}

/// Routes and all servers, with one revision for each record.
fn all_records() -> Vec<Record> {
    let servers = (1..=SERVER_COUNT).map(|number| fixtures::record(number + 1, server(number)));
    [fixtures::record(1, fixtures::routes(1))].into_iter().chain(servers).collect()
}

fn server_tombstone(number: u64, revision: u64) -> Record {
    fixtures::record(revision, fixtures::tombstone(Kind::Server, &format!("docks-{number}")))
}

impl ObservingInstance {
    fn new() -> Self {
        Self::in_zone("trindade", false)
    }

    /// An instance in a zone; with `near`, peers near the servers aggregate the parts of sweeps.
    pub(crate) fn in_zone(zone: &str, near: bool) -> Self {
        Self::with_name("entry-1", zone, near)
    }

    /// An instance with a name, in a zone; with `near`, peers near the servers aggregate the parts
    /// of sweeps.
    pub(crate) fn with_name(name: &str, zone: &str, near: bool) -> Self {
        let now = Instant::from_millis(0);
        let settings = Settings::builder(name, &fixtures::address(name))
            .fleet("porto")
            .zone(zone)
            .near(near)
            .placement(Placement::Direct)
            .listing(Listing::Observed)
            .seeds(["127.0.0.1:10007"])
            .timing(Timing::default())
            .build();
        let mut instance = Self { machine: Machine::new(settings, now), now, log: Vec::new() };
        instance.handle(Event::Tick);
        instance
    }

    /// An instance that has read all published records.
    fn with_all_records() -> Self {
        let mut instance = Self::new();
        instance.receive_full_listing(all_records());
        instance
    }

    fn handle(&mut self, event: Event) {
        self.machine.handle(self.now, event, &mut self.log);
    }

    /// The platform sends these records as a full listing.
    pub(crate) fn receive_full_listing(&mut self, records: Vec<Record>) {
        let head = records.iter().map(|record| record.revision).max().unwrap_or(0);
        self.handle(Event::Page(Page { head, records, whole: true, ..Page::default() }));
    }

    /// The platform answers a watch with these records, which are all changes up to now.
    fn receive_changes(&mut self, records: Vec<Record>) {
        let head = records.iter().map(|record| record.revision).max().unwrap_or(0);
        self.handle(Event::Page(Page { head, records, current: true, ..Page::default() }));
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.machine.next_wake() <= end {
            self.now = self.now.max(self.machine.next_wake());
            self.handle(Event::Tick);
        }
        self.now = end;
    }

    fn server_count(&self) -> usize {
        self.machine.view().service("docks").map_or(0, |service| service.servers.len())
    }

    /// This instance's share of the first server's connections.
    fn first_server_share(&self) -> u32 {
        let view = self.machine.view();
        view.service("docks").map_or(0, |service| service.servers[0].share)
    }

    /// A frame of another instance arrives, from the same zone.
    fn receive_frame(&mut self, name: &str) {
        self.receive_frame_from(name, "trindade");
    }

    pub(crate) fn receive_frame_from(&mut self, name: &str, zone: &str) {
        self.handle(Event::Frame(Box::new(Frame {
            protocol: PROTOCOL,
            fleet: "porto".to_owned(),
            from: name.to_owned(),
            incarnation: 1,
            address: fixtures::address(name),
            zone: zone.to_owned(),
            ..Frame::default()
        })));
    }

    /// Revision given in the last read of the platform.
    fn last_requested_revision(&self) -> u64 {
        let mut requested = self.log.iter().rev().filter_map(|action| match action {
            Action::Watch(read) => Some(read.after),
            _ => None,
        });
        requested.next().expect("a read was started")
    }
}

/// All instances start at once. The platform's full listing contains every record, so an instance
/// becomes ready with it once its search for a peer that is ready is over, instead of waiting for
/// peers that wait as well.
#[test]
fn full_listing_makes_instance_ready_without_peers() {
    let mut instance = ObservingInstance::new();
    assert!(!instance.machine.view().ready);
    instance.receive_full_listing(all_records());
    instance.advance(200);
    assert!(instance.machine.view().ready);
    assert_eq!(instance.server_count(), 20);
}

/// The platform has dropped its change history while an instance was not reading. A server that
/// left meanwhile is detected only because the full listing does not contain it; work sent to it
/// would be lost.
#[test]
fn server_missing_from_full_listing_is_removed() {
    let mut instance = ObservingInstance::with_all_records();
    instance.handle(Event::WatchExpired);
    assert_eq!(instance.last_requested_revision(), 0, "all records are read again");
    let mut records = all_records();
    records.remove(5);
    records.push(fixtures::record(90, fixtures::routes(2)));
    instance.receive_full_listing(records);
    assert_eq!(instance.server_count(), 19);
}

/// Withdrawals, the situation in which they arrive, and the number of servers left at once and
/// later.
struct Case {
    name: &'static str,
    /// Whether the platform failed to answer before the withdrawals.
    after_outage: bool,
    withdrawn: u64,
    /// Number of servers that register again half a second later.
    returning: u64,
    at_once: usize,
    later: usize,
}

/// After an outage, the platform withdraws servers that could not reach it; or it withdraws many
/// servers at once. If these withdrawals took effect, all sweeps would fail although the servers
/// are healthy. The servers stay in use for the time that registering again takes, and those that
/// do not return are then removed. A single withdrawal in normal operation takes effect at once.
#[test]
fn doubtful_withdrawals_are_held_back() {
    let case = |name, after_outage, withdrawn, returning, at_once, later| Case {
        name,
        after_outage,
        withdrawn,
        returning,
        at_once,
        later,
    };
    let cases = [
        case("one server", false, 1, 0, 19, 19),
        case("a few servers", false, 3, 0, 17, 17),
        case("many servers that return", false, 18, 18, 20, 20),
        case("many servers of which some return", false, 18, 10, 20, 12),
        case("one server after an outage", true, 1, 0, 20, 19),
        case("all servers after an outage", true, 20, 20, 20, 20),
    ];
    for case in cases {
        let mut instance = ObservingInstance::with_all_records();
        if case.after_outage {
            instance.advance(1000);
            instance.handle(Event::WatchFailed);
            instance.advance(1000);
        }
        instance.receive_changes(
            (1..=case.withdrawn).map(|number| server_tombstone(number, 100 + number)).collect(),
        );
        assert_eq!(instance.server_count(), case.at_once, "{}: at once", case.name);
        instance.advance(500);
        if case.returning > 0 {
            let returning =
                (1..=case.returning).map(|number| fixtures::record(200 + number, server(number)));
            instance.receive_changes(returning.collect());
        }
        instance.advance(2500);
        assert_eq!(instance.server_count(), case.later, "{}: later", case.name);
    }
}

/// The platform does not publish instances. Each instance counts those that it has recently
/// received frames from and takes its share of three quarters of a server's connections. At its
/// start it takes only two: after a crash of all instances, the servers still count the connections
/// of the dead ones and reset those beyond their limit.
#[test]
fn observed_instances_divide_the_connections() {
    let mut instance = ObservingInstance::with_all_records();
    assert_eq!(instance.first_server_share(), 2, "at the start");
    for number in 2..=4 {
        instance.receive_frame(&format!("entry-{number}"));
    }
    instance.advance(3000);
    assert_eq!(instance.first_server_share(), 5, "three quarters of 25 among four");
    instance.advance(10_000);
    assert_eq!(instance.first_server_share(), 5, "silent instances still count");
}

/// Where peers aggregate the parts of sweeps, the instances near a part's servers make most of its
/// calls. With equal shares of what a catalogue entry grants the whole fleet, half of it went to
/// instances that never call the service: of 224 requests in two seconds of lost answers, 65 were
/// late instead of 43.
#[test]
fn instances_near_the_servers_get_larger_shares() {
    struct Case {
        zone: &'static str,
        near: bool,
        parts: &'static [&'static str],
        sharer_count: u32,
        share: u32,
    }
    // The servers are in zone campanha, as are two of the other instances; the other two are in
    // sao-bento.
    let sweep_parts = &["docks"][..];
    let case =
        |zone, near, parts, sharer_count, share| Case { zone, near, parts, sharer_count, share };
    let cases = [
        case("campanha", false, sweep_parts, 5, 4),
        case("campanha", true, &[], 5, 4),
        // Three near instances have weight four and two far ones have weight one, in total 14.
        case("campanha", true, sweep_parts, 4, 5),
        case("trindade", true, sweep_parts, 11, 2),
    ];
    for case in cases {
        let mut instance = ObservingInstance::in_zone(case.zone, case.near);
        instance.receive_full_listing(all_records());
        for (name, zone) in
            [("2", "campanha"), ("3", "campanha"), ("4", "sao-bento"), ("5", "sao-bento")]
        {
            instance.receive_frame_from(&format!("entry-{name}"), zone);
        }
        let Body::Routing(routing) = fixtures::routes(2) else {
            unreachable!("the fixture is routes");
        };
        let parts = case.parts.iter().map(|part| (*part).to_owned()).collect();
        let branch = Branch { service: "docks".to_owned(), weight: 1.0 };
        let sweeps = !case.parts.is_empty();
        let route = Route {
            name: "sweep".to_owned(),
            host: "porto.example".to_owned(),
            prefix: "/".to_owned(),
            urgency: Urgency::Elevated.into(),
            parts,
            branches: if sweeps { Vec::new() } else { vec![branch] },
            top: 3,
            floor_permille: 500,
            timeout_ms: 600,
            attempts: 2,
            ..Route::default()
        };
        let routing = Routing { routes: vec![route], ..routing };
        instance.receive_changes(vec![fixtures::record(100, Body::Routing(routing))]);
        instance.advance(6000);
        let view = instance.machine.view();
        let service = view.service("docks").expect("the service");
        let actual = (service.sharer_count, instance.first_server_share());
        assert_eq!(actual, (case.sharer_count, case.share), "{} {}", case.zone, case.near);
    }
}

/// An instance starts its graceful stop, but its callers keep sending requests for some seconds,
/// until the load balancer notices. All these requests would be refused if the instance no longer
/// considered itself an owner of the services.
#[test]
fn leaving_instance_still_owns_services_for_its_callers() {
    let mut instance = ObservingInstance::with_all_records();
    instance.handle(Event::Drain);
    instance.advance(3000);
    let view = instance.machine.view();
    let service = view.service("docks").expect("the service");
    assert!(service.owner().is_some_and(|owner| owner.local));
}

/// When the settings name other seeds while the instance runs, it asks them.
#[test]
fn changed_seeds_are_asked() {
    let mut instance = ObservingInstance::with_all_records();
    instance.log.clear();
    instance.handle(Event::Seeds(vec!["127.0.0.1:10009".into()]));
    instance.advance(2000);
    let asks_new_seed =
        |action: &Action| matches!(action, Action::Send { to, .. } if **to == *"127.0.0.1:10009");
    assert!(instance.log.iter().any(asks_new_seed));
}

/// After a power loss of all instances, the first one that restarts finds no running seed. It then
/// knew no other instance for a second, until the next digest, and opened connections to all
/// servers alone. Unanswered seeds are therefore asked again sooner, with a growing interval.
#[test]
fn unanswered_seeds_are_retried_sooner() {
    let mut instance = ObservingInstance::new();
    instance.handle(Event::Seeds(vec!["127.0.0.1:10009".into()]));
    let mut probes_per_step = Vec::new();
    for _ in 0..40 {
        instance.log.clear();
        instance.advance(100);
        let to_seed = |action: &&Action| {
            matches!(action, Action::Send { to, frame }
                if **to == *"127.0.0.1:10009" && !frame.probes.is_empty())
        };
        probes_per_step.push(instance.log.iter().filter(to_seed).count());
    }
    let in_first_second: usize = probes_per_step[..10].iter().sum();
    let in_two_seconds_later: usize = probes_per_step[20..].iter().sum();
    assert!((3..=4).contains(&in_first_second), "in the first second: {probes_per_step:?}");
    assert!(
        (2..=3).contains(&in_two_seconds_later),
        "in the third and fourth second: {probes_per_step:?}"
    );
}

/// Sweeps are handed over to settled instances only: one that has just started may lack the routes,
/// and one that has died answers nothing.
#[test]
fn only_settled_instances_are_neighbours() {
    let mut instance = ObservingInstance::with_all_records();
    let names = |instance: &ObservingInstance| -> Vec<String> {
        let neighbours = instance.machine.view().neighbours.iter();
        neighbours.map(|neighbour| neighbour.peer.name.to_string()).collect()
    };
    instance.receive_frame("entry-7");
    instance.advance(100);
    instance.receive_frame("entry-2");
    assert_eq!(names(&instance), ["entry-2", "entry-7"], "both count as older than this instance");
    instance.advance(5000);
    assert!(names(&instance).is_empty(), "silent for 5 s");
    instance.receive_frame("entry-9");
    instance.advance(500);
    assert!(names(&instance).is_empty(), "just started");
}
