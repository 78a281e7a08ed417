//! Listings of all that is published, and withdrawals that are doubted.

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

use crate::publish;

/// Servers of the service.
const SERVERS: u64 = 20;

/// One instance that counts its fleet by itself.
pub(crate) struct Lone {
    pub(crate) machine: Machine,
    pub(crate) now: Instant,
    log: Vec<Action>,
}

fn server(number: u64) -> Body {
    publish::server(&format!("docks-{number}"), "docks", 1, State::Live)
}

/// Routes of one version that lead to one service.
fn routes(version: u64) -> Body {
    let Body::Entry(entry) = publish::entry("docks", 10) else {
        unreachable!("an entry");
    };
    Body::Routing(Routing {
        version,
        entries: vec![entry],
        bounds: Some(ladder_core::schema::publication::Bounds {
            header_bytes: 1,
            body_bytes: 1,
            header_ms: 1,
            idle_ms: 1,
        }),
        ..Routing::default()
    })
}

/// Routes and all servers, one revision each.
fn all() -> Vec<Record> {
    let servers = (1..=SERVERS).map(|number| publish::record(number + 1, server(number)));
    [publish::record(1, routes(1))].into_iter().chain(servers).collect()
}

fn withdrawn(number: u64, revision: u64) -> Record {
    publish::record(revision, publish::tombstone(Kind::Server, &format!("docks-{number}")))
}

impl Lone {
    fn new() -> Self {
        Self::within("trindade", false)
    }

    /// One that stands in `zone`; with `near`, peers collect the parts of sweeps.
    pub(crate) fn within(zone: &str, near: bool) -> Self {
        Self::named("entry-1", zone, near)
    }

    /// The same under another name.
    pub(crate) fn named(name: &str, zone: &str, near: bool) -> Self {
        let now = Instant::from_millis(0);
        let settings = Settings::builder(name, &publish::address(name))
            .fleet("porto")
            .zone(zone)
            .near(near)
            .placement(Placement::Direct)
            .listing(Listing::Observed)
            .seeds(["127.0.0.1:10007"])
            .timing(Timing::default())
            .build();
        let mut lone = Self { machine: Machine::new(settings, now), now, log: Vec::new() };
        lone.give(Event::Tick);
        lone
    }

    /// One that has read all that is published.
    fn informed() -> Self {
        let mut lone = Self::new();
        lone.list(all());
        lone
    }

    fn give(&mut self, event: Event) {
        self.machine.handle(self.now, event, &mut self.log);
    }

    /// The platform lists these records as all there are.
    pub(crate) fn list(&mut self, records: Vec<Record>) {
        let head = records.iter().map(|record| record.revision).max().unwrap_or(0);
        self.give(Event::Page(Page { head, records, whole: true, ..Page::default() }));
    }

    /// The platform answers a watch.
    fn news(&mut self, records: Vec<Record>) {
        let head = records.iter().map(|record| record.revision).max().unwrap_or(0);
        self.give(Event::Page(Page { head, records, current: true, ..Page::default() }));
    }

    pub(crate) fn pass(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.machine.next_wake() <= end {
            self.now = self.now.max(self.machine.next_wake());
            self.give(Event::Tick);
        }
        self.now = end;
    }

    fn servers(&self) -> usize {
        self.machine.view().service("docks").map_or(0, |service| service.servers.len())
    }

    /// Connections that it may hold to the first server.
    fn share(&self) -> u32 {
        let view = self.machine.view();
        view.service("docks").map_or(0, |service| service.servers[0].share)
    }

    /// Another instance makes itself known.
    fn hear(&mut self, name: &str) {
        self.hear_from(name, "trindade");
    }

    pub(crate) fn hear_from(&mut self, name: &str, zone: &str) {
        self.give(Event::Frame(Box::new(Frame {
            protocol: PROTOCOL,
            fleet: "porto".to_owned(),
            from: name.to_owned(),
            incarnation: 1,
            address: publish::address(name),
            zone: zone.to_owned(),
            ..Frame::default()
        })));
    }

    /// The last revision asked for.
    fn asked_after(&self) -> u64 {
        let mut asked = self.log.iter().rev().filter_map(|action| match action {
            Action::Watch(read) => Some(read.after),
            _ => None,
        });
        asked.next().expect("a read")
    }
}

/// An instance starts, and so do all others. What the platform lists is all there is to know, so it
/// serves at once and does not wait for peers that wait for it.
#[test]
fn whole_listing_makes_ready() {
    let mut lone = Lone::new();
    assert!(!lone.machine.view().ready);
    lone.list(all());
    assert!(lone.machine.view().ready);
    assert_eq!(lone.servers(), 20);
}

/// The platform has forgotten its history while an instance did not listen. What left meanwhile
/// shows only by not being listed; work sent there would be lost.
#[test]
fn unlisted_server_is_gone() {
    let mut lone = Lone::informed();
    lone.give(Event::WatchExpired);
    assert_eq!(lone.asked_after(), 0, "all is read again");
    let mut records = all();
    records.remove(5);
    records.push(publish::record(90, routes(2)));
    lone.list(records);
    assert_eq!(lone.servers(), 19);
}

/// What is withdrawn, in which situation, and how many servers are left at once and later.
struct Case {
    name: &'static str,
    /// The platform did not answer before.
    outage: bool,
    withdrawn: u64,
    /// Servers that register again half a second later.
    back: u64,
    at_once: usize,
    later: usize,
}

/// The platform was away and withdraws servers that could not reach it, or withdraws many at one
/// stroke. All sweeps would fail although the servers are well. They stay in use for the moments in
/// which they register again; one that does not is gone. A single one in quiet times is gone at once.
#[test]
fn doubted_withdrawals() {
    let case = |name, outage, withdrawn, back, at_once, later| Case {
        name,
        outage,
        withdrawn,
        back,
        at_once,
        later,
    };
    let cases = [
        case("a single one", false, 1, 0, 19, 19),
        case("some", false, 3, 0, 17, 17),
        case("many that come back", false, 18, 18, 20, 20),
        case("many of which some come back", false, 18, 10, 20, 12),
        case("a single one after an outage", true, 1, 0, 20, 19),
        case("all after an outage", true, 20, 20, 20, 20),
    ];
    for case in cases {
        let mut lone = Lone::informed();
        if case.outage {
            lone.pass(1000);
            lone.give(Event::WatchFailed);
            lone.pass(1000);
        }
        lone.news((1..=case.withdrawn).map(|number| withdrawn(number, 100 + number)).collect());
        assert_eq!(lone.servers(), case.at_once, "{}: at once", case.name);
        lone.pass(500);
        if case.back > 0 {
            let back = (1..=case.back).map(|number| publish::record(200 + number, server(number)));
            lone.news(back.collect());
        }
        lone.pass(2500);
        assert_eq!(lone.servers(), case.later, "{}: later", case.name);
    }
}

/// Nobody publishes the instances. Each counts those that it has heard of lately and takes its part
/// of three quarters of a server's connections, and only two at its start: after a loss of all instances the
/// servers still count the connections of the dead, and reset what goes beyond their limit.
#[test]
fn observed_shares() {
    let mut lone = Lone::informed();
    assert_eq!(lone.share(), 2, "at the start");
    for number in 2..=4 {
        lone.hear(&format!("entry-{number}"));
    }
    lone.pass(3000);
    assert_eq!(lone.share(), 5, "three quarters of 25 among four");
    lone.pass(10_000);
    assert_eq!(lone.share(), 5, "those that fell silent still count");
}

/// Where peers collect the parts of sweeps, those near a part's servers make most of its calls. With
/// equal parts of what the fleet may spend on a service, half of it lay with instances that never
/// ask: of 224 requests in two seconds of lost answers 65 came late in place of 43.
#[test]
fn instances_near_the_servers_take_more() {
    struct Case {
        zone: &'static str,
        near: bool,
        parts: &'static [&'static str],
        sharers: u32,
        share: u32,
    }
    // The servers stand in campanha, as do two other instances; two more in sao-bento.
    let swept = &["docks"][..];
    let case = |zone, near, parts, sharers, share| Case { zone, near, parts, sharers, share };
    let cases = [
        case("campanha", false, swept, 5, 4),
        case("campanha", true, &[], 5, 4),
        // Three near ones take four parts each, two far ones one: of 14 parts.
        case("campanha", true, swept, 4, 5),
        case("trindade", true, swept, 11, 2),
    ];
    for case in cases {
        let mut lone = Lone::within(case.zone, case.near);
        lone.list(all());
        for (name, zone) in
            [("2", "campanha"), ("3", "campanha"), ("4", "sao-bento"), ("5", "sao-bento")]
        {
            lone.hear_from(&format!("entry-{name}"), zone);
        }
        let Body::Routing(routing) = routes(2) else {
            unreachable!("routes");
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
        lone.news(vec![publish::record(100, Body::Routing(routing))]);
        lone.pass(6000);
        let view = lone.machine.view();
        let service = view.service("docks").expect("the service");
        let taken = (service.sharers, lone.share());
        assert_eq!(taken, (case.sharers, case.share), "{} {}", case.zone, case.near);
    }
}

/// An instance is told to stop. Its callers come until the balancer has noticed, some seconds later;
/// they would all be refused if it no longer held itself for one that may work on their requests.
#[test]
fn leaving_instance_works_for_its_own_callers() {
    let mut lone = Lone::informed();
    lone.give(Event::Drain);
    lone.pass(3000);
    let view = lone.machine.view();
    let service = view.service("docks").expect("the service");
    assert!(service.owner().is_some_and(|owner| owner.local));
}

/// Settings name other seeds while the instance runs: it asks them.
#[test]
fn other_seeds_are_asked() {
    let mut lone = Lone::informed();
    lone.log.clear();
    lone.give(Event::Seeds(vec!["127.0.0.1:10009".into()]));
    lone.pass(2000);
    let asked =
        |action: &Action| matches!(action, Action::Send { to, .. } if **to == *"127.0.0.1:10009");
    assert!(lone.log.iter().any(asked));
}

/// All instances lose their power. Whoever is back first finds no seed that is back, and knew of no
/// other instance for the second until it asked again: it opened connections to all servers by itself.
/// Seeds that do not answer are asked sooner, and less and less often.
#[test]
fn silent_seeds_are_asked_sooner() {
    let mut lone = Lone::new();
    lone.give(Event::Seeds(vec!["127.0.0.1:10009".into()]));
    let mut asked = Vec::new();
    for _ in 0..40 {
        lone.log.clear();
        lone.pass(100);
        let to_seed = |action: &&Action| {
            matches!(action, Action::Send { to, frame }
                if **to == *"127.0.0.1:10009" && !frame.probes.is_empty())
        };
        asked.push(lone.log.iter().filter(to_seed).count());
    }
    let first: usize = asked[..10].iter().sum();
    let later: usize = asked[20..].iter().sum();
    assert!((3..=4).contains(&first), "in the first second: {asked:?}");
    assert!((2..=3).contains(&later), "in two seconds after two: {asked:?}");
}

/// Sweeps are handed over to settled instances only: one that has just started may not know the
/// routes, and one that has died answers nothing.
#[test]
fn settled_instances_are_neighbours() {
    let mut lone = Lone::informed();
    let names = |lone: &Lone| -> Vec<String> {
        let neighbours = lone.machine.view().neighbours.iter();
        neighbours.map(|neighbour| neighbour.peer.name.to_string()).collect()
    };
    lone.hear("entry-7");
    lone.pass(100);
    lone.hear("entry-2");
    assert_eq!(names(&lone), ["entry-2", "entry-7"], "older than itself, as far as it knows");
    lone.pass(5000);
    assert!(names(&lone).is_empty(), "silent for 5 s");
    lone.hear("entry-9");
    lone.pass(500);
    assert!(names(&lone).is_empty(), "just started");
}
