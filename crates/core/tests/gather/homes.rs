//! Routes whose messages may go to some regions only.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::eligible::Mark;
use ladder_core::gather::{Action, Event, Settings};
use ladder_core::route::Table;
use ladder_core::schema::call::{Message, Request};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::publication::{Branch, Route, Routing};
use ladder_core::schema::wire::{Reply, Work};
use ladder_core::view::{Candidate, Neighbour, Server, Service, View};

use crate::fleet::{SELF, peer};
use crate::forward;
use crate::session::{INCARNATION, Session, answer, works};

/// Zone of the instance under test, in the region `north`; `far` is in `south`.
const HERE: &str = "near";
const PARTS: [&str; 6] = ["s1", "s2", "s3", "s4", "s5", "s6"];

struct Case {
    name: &'static str,
    homes: &'static [&'static str],
    /// Zones of the servers of each part.
    zones: &'static [&'static str],
    /// Zones whose servers may be asked; none: the request is refused.
    asked: &'static [&'static str],
    /// Peers that may get parts of it.
    peers: &'static [&'static str],
}

fn server(service: &str, zone: &str) -> Server {
    Server {
        name: format!("{service}-{zone}").into(),
        address: "127.0.0.1:9".into(),
        zone: zone.into(),
        incarnation: 1,
        leaving: false,
        evacuated: false,
        warmup: Duration::ZERO,
        slots: 2,
        share: 4,
        holdings: Vec::new(),
    }
}

fn view(case: &Case, scarce: bool) -> View {
    let mut view = View { generation: 1, ready: true, ..View::default() };
    for name in PARTS {
        view.insert(Service {
            name: name.into(),
            entry: Arc::default(),
            servers: case.zones.iter().map(|zone| server(name, zone)).collect(),
            candidates: vec![Candidate { peer: peer(SELF), live: true, local: true }],
            sharers: 1,
            scarce,
            spare: !scarce,
        });
    }
    let base = |name: &str, prefix: &str| Route {
        name: name.to_owned(),
        host: "porto.example".to_owned(),
        prefix: prefix.to_owned(),
        timeout_ms: 600,
        target_ms: 100,
        attempts: 2,
        homes: case.homes.iter().map(|home| (*home).to_owned()).collect(),
        ..Route::default()
    };
    let parts = PARTS.map(str::to_owned).to_vec();
    let single = vec![Branch { service: "s1".to_owned(), weight: 1.0 }];
    let routing = Routing {
        version: 7,
        routes: vec![
            Route { parts, top: 3, floor_permille: 500, ..base("sweep", "/docks/") },
            Route { branches: single, ..base("single", "/permit/") },
        ],
        ..Routing::default()
    };
    view.routing = Some(Arc::new(Table::new(&routing)));
    let neighbour = |(name, zone): (&str, &str)| Neighbour {
        peer: peer(name),
        zone: zone.into(),
        millicores: 1000,
    };
    view.neighbours = [("e2", "near"), ("e3", "far"), ("e4", "far")].map(neighbour).into();
    let regions = [("near", "north"), ("far", "south")];
    view.regions =
        Arc::new(regions.map(|(zone, region)| (zone.into(), region.into())).into_iter().collect());
    view
}

fn request(target: &str, number: usize) -> Request {
    let message = Message {
        method: "GET".to_owned(),
        host: "porto.example".to_owned(),
        target: target.to_owned(),
        ..Message::default()
    };
    let key = format!("{target}-{number}");
    Request { key, deadline_ms: 400, message: Some(Box::new(message)), ..Request::default() }
}

/// Checks what goes out; gives it.
fn check(case: &Case, actions: &[Action]) -> Vec<(Arc<str>, Work)> {
    let works = works(actions);
    for (to, work) in &works {
        assert!(**to == *SELF || case.peers.contains(&&**to), "{}: sent to {to}", case.name);
        for portion in &work.portions {
            let zones = case.zones.iter().filter(|zone| !case.asked.contains(*zone));
            let abroad = zones.map(|zone| Mark::of(&format!("{}-{zone}", portion.service)).0);
            let eligible = portion.eligible.as_ref().expect("servers are chosen");
            assert!(!eligible.servers.is_empty(), "{}", case.name);
            for mark in abroad {
                assert!(!eligible.servers.contains(&mark), "{}: {eligible:?}", case.name);
            }
        }
    }
    works
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "here",
            homes: &["north"],
            zones: &["near", "far"],
            asked: &["near"],
            peers: &["e2"],
        },
        Case {
            name: "passed on",
            homes: &["south"],
            zones: &["near", "far"],
            asked: &["far"],
            peers: &["e3", "e4"],
        },
        Case {
            name: "both",
            homes: &["north", "south"],
            zones: &["near", "far"],
            asked: &["near", "far"],
            peers: &["e2", "e3", "e4"],
        },
        Case {
            name: "no server there",
            homes: &["south"],
            zones: &["near"],
            asked: &[],
            peers: &[],
        },
        Case {
            name: "unknown region",
            homes: &["west"],
            zones: &["near", "far"],
            asked: &[],
            peers: &[],
        },
    ]
}

/// Guards against sending messages or their bodies out of the regions where they may go.
#[test]
fn messages_stay_in_their_homes() {
    for case in cases() {
        for (target, scarce) in [("/docks/1", false), ("/docks/1", true), ("/permit/1", false)] {
            let settings = Settings::builder(SELF, INCARNATION).near(HERE).millicores(1000).build();
            let mut session = Session::with(settings);
            session.give(Event::View(Arc::new(view(&case, scarce))));
            for number in 0..8 {
                let actions = session.call(request(target, number));
                if case.asked.is_empty() {
                    let answer = answer(&actions);
                    let refused = (answer.verdict(), answer.reason());
                    assert_eq!(refused, (Verdict::NotRun, Reason::NoHome), "{}", case.name);
                    assert!(works(&actions).is_empty());
                    continue;
                }
                for (to, work) in check(&case, &actions) {
                    let lost = |portion: &ladder_core::schema::wire::Portion| Reply {
                        verdict: Verdict::NotRun.into(),
                        reason: Reason::ConnectFailed.into(),
                        parts: Vec::new(),
                        ..forward::reply(&work, &portion.service, b"")
                    };
                    let replies = work.portions.iter().map(lost).collect();
                    check(&case, &session.give(Event::Replies { from: to, replies }));
                }
            }
        }
    }
}
