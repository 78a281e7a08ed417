//! Parts of sweeps that peers collect near their servers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ladder_core::collections::Map;
use ladder_core::eligible::Mark;
use ladder_core::gather::{Action, Event, Settings};
use ladder_core::route::Table;
use ladder_core::schema::call::{Message, Request, Response};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::publication::{Branch, Route, Routing};
use ladder_core::schema::wire::{Pending, Portion, Reply, Work};
use ladder_core::view::{Candidate, Neighbour, Server, Service, View};

use crate::fleet::{SELF, peer};
use crate::forward;
use crate::session::{INCARNATION, Session, answer, answers, dropped, works};

/// Zone of the instance under test.
pub(crate) const HERE: &str = "trindade";
/// Version of the routes.
const VERSION: u64 = 7;

/// What a case's view holds.
#[derive(Clone)]
pub(crate) struct Place {
    /// Zones of the servers of each part.
    pub(crate) parts: Vec<Vec<&'static str>>,
    /// Settled peers with their zones.
    pub(crate) peers: Vec<(&'static str, &'static str)>,
    /// Thousandths of a processor core of each of them, and of this instance.
    pub(crate) millicores: Map<&'static str, u32>,
    pub(crate) version: u64,
    pub(crate) unrepeatable: bool,
    /// The servers' connections don't suffice for every instance.
    pub(crate) scarce: bool,
    /// Zone to whose servers nothing may be sent.
    pub(crate) evacuated: &'static str,
    /// Regions whose servers may get the routes' messages; none: all.
    pub(crate) homes: Vec<&'static str>,
}

impl Default for Place {
    /// Six parts, three of them without a server here, and a peer in each zone.
    fn default() -> Self {
        let near = vec![vec!["campanha", HERE]; 3];
        let far = vec![vec!["campanha", "sao-bento"]; 3];
        Self {
            parts: [near, far].concat(),
            peers: vec![("e2", "campanha"), ("e3", "sao-bento"), ("e4", HERE)],
            millicores: Map::default(),
            version: VERSION,
            unrepeatable: false,
            scarce: false,
            evacuated: "",
            homes: Vec::new(),
        }
    }
}

fn names(parts: usize) -> Vec<String> {
    (1..=parts).map(|number| format!("s{number}")).collect()
}

fn service(name: &str, zones: &[&str], place: &Place) -> Service {
    let scarce = place.scarce;
    let server = |(number, zone): (usize, &&str)| Server {
        name: format!("{name}-{number}").into(),
        address: "127.0.0.1:9".into(),
        zone: (*zone).into(),
        incarnation: 1,
        leaving: false,
        evacuated: **zone == *place.evacuated,
        warmup: Duration::ZERO,
        slots: 2,
        share: 4,
        holdings: Vec::new(),
    };
    Service {
        name: name.into(),
        entry: Arc::default(),
        servers: zones.iter().enumerate().map(server).collect(),
        candidates: vec![Candidate { peer: peer(SELF), live: true, local: true }],
        sharers: 1,
        scarce,
        spare: !scarce,
    }
}

impl Place {
    fn view(&self) -> Event {
        let mut view = View { generation: 1, ready: true, ..View::default() };
        let parts = names(self.parts.len());
        for (name, zones) in parts.iter().zip(&self.parts) {
            view.insert(service(name, zones, self));
        }
        let base = |name: &str, prefix: &str| Route {
            name: name.to_owned(),
            host: "porto.example".to_owned(),
            prefix: prefix.to_owned(),
            timeout_ms: 600,
            target_ms: 100,
            attempts: 2,
            unrepeatable: self.unrepeatable,
            homes: self.homes.iter().map(|home| (*home).to_owned()).collect(),
            ..Route::default()
        };
        let single = vec![Branch { service: "s1".to_owned(), weight: 1.0 }];
        let routing = Routing {
            version: self.version,
            routes: vec![
                Route { parts, top: 3, floor_permille: 500, ..base("sweep", "/docks/") },
                Route { branches: single, ..base("single", "/permit/") },
            ],
            ..Routing::default()
        };
        view.routing = Some(Arc::new(Table::new(&routing)));
        let neighbour = |&(name, zone): &(&str, &str)| Neighbour {
            peer: peer(name),
            zone: zone.into(),
            millicores: self.millicores.get(name).copied().unwrap_or(0),
        };
        view.neighbours = self.peers.iter().map(neighbour).collect();
        let regions = [(HERE, "north"), ("campanha", "south"), ("sao-bento", "south")];
        let regions = regions.map(|(zone, region)| (zone.into(), region.into()));
        view.regions = Arc::new(regions.into_iter().collect());
        Event::View(Arc::new(view))
    }

    pub(crate) fn session(&self) -> Session {
        let own = self.millicores.get(SELF).copied().unwrap_or(1000);
        let settings = Settings::builder(SELF, INCARNATION).near(HERE).millicores(own).build();
        let mut session = Session::with(settings);
        session.give(self.view());
        session
    }
}

pub(crate) fn message(key: &str, target: &str, body: usize) -> Request {
    let message = Message {
        method: "GET".to_owned(),
        host: "porto.example".to_owned(),
        target: target.to_owned(),
        body: Bytes::from(vec![b'x'; body]),
        ..Message::default()
    };
    let message = Some(Box::new(message));
    Request { key: key.to_owned(), deadline_ms: 400, message, ..Request::default() }
}

fn sweep(key: &str) -> Request {
    message(key, "/docks/all", 0)
}

/// Parts that go to peers, by peer, for one sweep.
fn collectors(actions: &[Action]) -> Vec<(Arc<str>, Vec<String>)> {
    let works = works(actions).into_iter().filter(|(to, _)| **to != *SELF);
    let parts = works.map(|(to, work)| {
        assert!(work.collect.is_some(), "what goes to {to} is collected");
        (to, work.portions.into_iter().map(|portion| portion.service).collect())
    });
    parts.collect()
}

/// A sweep under way: what goes to the peer, and what stays.
fn started(session: &mut Session, key: &str) -> (Arc<str>, Work, Work) {
    let works = works(&session.call(sweep(key)));
    let (near, far): (Vec<_>, Vec<_>) = works.into_iter().partition(|(to, _)| **to == *SELF);
    let [(_, here)] = &near[..] else {
        panic!("one message to itself: {near:?}");
    };
    let [(to, there)] = &far[..] else {
        panic!("one message to a peer: {far:?}");
    };
    (Arc::clone(to), there.clone(), here.clone())
}

/// The reply that covers a part with records of these bytes.
fn reply(work: &Work, service: &str, bytes: &[u8]) -> Reply {
    forward::reply(work, service, &forward::records(bytes))
}

/// The replies to all portions of the work, merged into the first.
fn merged(work: &Work, bytes: &[u8]) -> Vec<Reply> {
    let count = work.portions.len() as u32;
    let replies = work.portions.iter().enumerate().map(|(at, portion)| {
        let bytes = if at == 0 { bytes } else { &[] };
        let merged = if at == 0 { count } else { 0 };
        Reply { merged, ..reply(work, &portion.service, bytes) }
    });
    replies.collect()
}

pub(crate) fn refused(work: &Work, service: &str, reason: Reason) -> Reply {
    let (verdict, reason) = (Verdict::NotRun.into(), reason.into());
    Reply { verdict, reason, parts: Vec::new(), ..reply(work, service, &[]) }
}

pub(crate) fn tell(session: &mut Session, from: &str, replies: Vec<Reply>) -> Vec<Action> {
    session.give(Event::Replies { from: from.into(), replies })
}

/// Each near part answers with one record of this byte.
fn tell_near(session: &mut Session, work: &Work, byte: u8) -> Vec<Action> {
    let replies = work.portions.iter().map(|portion| reply(work, &portion.service, &[byte]));
    let replies = replies.collect();
    tell(session, SELF, replies)
}

/// The first byte of each record of an answer.
fn records(response: Option<Response>) -> Vec<u8> {
    let body = response.expect("a response").body;
    body.chunks_exact(16).map(|record| record[0]).collect()
}

/// Who is to collect what.
struct Division {
    story: &'static str,
    place: Place,
    request: Request,
    /// Parts that go to peers, of three sweeps one after the other.
    parts: &'static [(&'static str, &'static [&'static str])],
}

fn parts(parts: Vec<Vec<&'static str>>) -> Place {
    Place { parts, ..Place::default() }
}

fn divided(
    story: &'static str,
    place: Place,
    parts: &'static [(&'static str, &'static [&'static str])],
) -> Division {
    Division { story, place, request: sweep("k"), parts }
}

fn divisions() -> Vec<Division> {
    const FIRST: &[&str] = &["s1", "s2", "s3"];
    const FAR: &[&str] = &["s4", "s5", "s6"];
    const ALL: &[&str] = &["s1", "s2", "s3", "s4", "s5", "s6"];
    const FOUR: &[&str] = &["s1", "s2", "s3", "s4"];
    let all_far = vec![vec!["campanha"]; 6];
    let split = [vec![vec!["campanha"]; 3], vec![vec!["sao-bento"]; 3]].concat();
    let uneven = [vec![vec!["campanha"]; 4], vec![vec!["sao-bento"]; 2]].concat();
    let two = vec![("e2", "campanha"), ("e3", "campanha")];
    let one_zone = Place { peers: two.clone(), ..Place::default() };
    let two_groups = Place { peers: two, ..parts(vec![vec!["campanha"]; 6]) };
    vec![
        divided("zones are as good as each other", Place::default(), &[("e2", FAR); 3]),
        divided("peers are, too", one_zone, &[("e2", FAR); 3]),
        divided(
            "the peers of groups take turns",
            two_groups,
            &[("e3", ALL), ("e2", ALL), ("e3", ALL)],
        ),
        divided("no server here", parts(all_far), &[("e2", ALL); 3]),
        divided(
            "two zones have three each",
            parts(split),
            &[("e2", FIRST), ("e3", FAR), ("e2", FIRST), ("e3", FAR), ("e2", FIRST), ("e3", FAR)],
        ),
        divided("the rest is too little", parts(uneven), &[("e2", FOUR); 3]),
    ]
}

/// What stays with the instance that the caller reached.
fn undivided() -> Vec<Division> {
    let near = parts(vec![vec![HERE, "campanha"]; 6]);
    let few = parts(vec![vec!["campanha"]; 2]);
    let alone = Place { peers: vec![("e4", HERE)], ..Place::default() };
    let once = Place { unrepeatable: true, ..Place::default() };
    let asks = |story, request| Division { request, ..divided(story, Place::default(), &[]) };
    vec![
        divided("all here", near, &[]),
        divided("few parts", few, &[]),
        divided("nobody there", alone, &[]),
        divided("may not be repeated", once, &[]),
        asks("one server", message("k", "/permit/1", 0)),
        asks("a long body", message("k", "/docks/all", 16 * 1024 + 1)),
    ]
}

/// Requests and responses of the parts without a server in the caller's zone all cross between
/// zones. One peer that stands near their servers collects them, where there are many in turn with
/// others; what gains nothing is asked for from here.
#[test]
fn who_collects() {
    for case in divisions().into_iter().chain(undivided()) {
        let mut session = case.place.session();
        let mut parts = Vec::new();
        for number in 0..3 {
            let request = Request { key: format!("k{number}"), ..case.request.clone() };
            let mut collected = collectors(&session.call(request));
            collected.sort();
            parts.extend(collected);
        }
        let parts = parts.iter().map(|(to, parts)| (&**to, parts.iter().map(String::as_str)));
        let parts = parts.map(|(to, parts)| (to, parts.collect()));
        let parts: Vec<(&str, Vec<&str>)> = parts.collect();
        let expected = case.parts.iter().map(|(to, parts)| (*to, parts.to_vec()));
        assert_eq!(parts, expected.collect::<Vec<_>>(), "{}", case.story);
    }
}

/// Every instance asks for itself and sees a part of what the servers hold: their queues fill unseen
/// while others are free. Where servers say that they are busy, each group of parts is asked for by one
/// instance near them for all sweeps, whoever else could; once they are idle, everyone asks again.
#[test]
fn busy_servers_are_asked_by_one_instance() {
    let mut session = parts(vec![vec![HERE, "campanha"]; 6]).session();
    let mut hear = |permille: u32, id: &str| {
        for number in 0..40 {
            let actions = session.call(sweep(&format!("{id}-{number}")));
            for (to, work) in works(&actions) {
                let replies = work.portions.iter().map(|portion| Reply {
                    busy_permille: permille,
                    ..reply(&work, &portion.service, &[1])
                });
                let replies = replies.collect();
                tell(&mut session, &to, replies);
            }
            session.pass(10);
        }
        let ask = |number| collectors(&session.call(sweep(&format!("{id}-then-{number}"))));
        let asked: Vec<_> = (0..3).map(ask).collect();
        assert!(asked.iter().all(|one| *one == asked[0]), "the same for all sweeps: {asked:?}");
        asked[0].iter().map(|(_, parts)| parts.len()).collect::<Vec<_>>()
    };
    assert_eq!(hear(150, "idle"), [0; 0], "all have servers here");
    assert_eq!(hear(900, "busy"), [3, 3], "each group at one peer");
    assert_eq!(hear(150, "idle again"), [0; 0]);
}

/// Without the setting everything is asked for from here.
#[test]
fn nothing_is_collected_unasked() {
    let mut session = Session::with(Settings::builder(SELF, INCARNATION).build());
    session.give(Place::default().view());
    assert!(collectors(&session.call(sweep("k"))).is_empty());
}

/// The answer holds the greatest records of all parts, those of a collection from its first reply,
/// and names all parts' signatures.
#[test]
fn collection_enters_the_answer() {
    let mut session = Place::default().session();
    let (to, there, here) = started(&mut session, "k");
    let collect = there.collect.expect("terms");
    assert_eq!(collect.top, 3);
    // Target 100 ms, of which the way to the caller and the way back from the peer are kept.
    assert!((70_000..80_000).contains(&collect.timely_us), "{collect:?}");
    assert!(here.collect.is_none());
    assert!(answers(&tell(&mut session, &to, merged(&there, &[9, 5, 4]))).is_empty());
    let answer = answer(&tell_near(&mut session, &here, 6));
    assert_eq!((answer.stamps.len(), answer.missing.len()), (6, 0));
    assert_eq!(records(answer.response), [9, 6, 6]);
}

/// The target comes while a collection enters: all its parts count, or an answer would name some
/// parts and hold the records of others.
#[test]
fn collection_enters_whole() {
    let mut session = Place::default().session();
    let (to, there, here) = started(&mut session, "k");
    let near = here.portions.iter().take(2);
    let near = near.map(|portion| reply(&here, &portion.service, &[1])).collect();
    tell(&mut session, SELF, near);
    session.pass(90);
    let answer = answer(&tell(&mut session, &to, merged(&there, &[9, 8, 7])));
    assert_eq!((answer.stamps.len(), answer.missing.len()), (5, 1));
    assert_eq!(records(answer.response), [9, 8, 7]);
}

/// One part of a collection was answered from here meanwhile, or the collection is not what it says
/// that it is. Its records cannot be told apart: it must not enter, and its parts that are still open
/// are asked for again.
#[test]
fn collection_that_does_not_fit_is_dropped_whole() {
    struct Case {
        story: &'static str,
        /// The peer refuses the first part, which is then answered from here.
        first_is_here: bool,
        spoil: fn(&mut Vec<Reply>),
        asked_again: usize,
    }
    let case = |story, spoil, asked_again| Case { story, first_is_here: false, spoil, asked_again };
    let cases = [
        Case { first_is_here: true, ..case("one is here", |_| {}, 2) },
        case("cut short", |replies| drop(replies.pop()), 2),
        case("a part twice", |replies| replies[2] = replies[1].clone(), 2),
        case("another version", |replies| replies[1].version += 1, 2),
        case("another query", |replies| replies[2].query += 1, 3),
        case("refused within", |replies| replies[1].reason = Reason::TargetShed.into(), 2),
    ];
    for case in cases {
        let mut session = Place::default().session();
        let (to, there, _) = started(&mut session, "k");
        let mut replies = merged(&there, &[9, 8, 7]);
        if case.first_is_here {
            let first = there.portions[0].service.clone();
            let refusal = refused(&there, &first, Reason::NoServer);
            let (_, again) = works(&tell(&mut session, &to, vec![refusal])).remove(0);
            tell(&mut session, SELF, vec![reply(&again, &first, &[2])]);
        }
        (case.spoil)(&mut replies);
        let actions = tell(&mut session, &to, replies);
        let again: usize = works(&actions).iter().map(|(_, work)| work.portions.len()).sum();
        assert_eq!(again, case.asked_again, "{}", case.story);
        assert!(actions.contains(&dropped(Reason::StaleAnswer)), "{}", case.story);
        assert!(answers(&actions).is_empty(), "{}", case.story);
    }
}

/// Zones far apart: a collection sent back just before the target would arrive after it. How long
/// the way takes is learned from what peers say they held it for.
#[test]
fn collection_is_wanted_early_enough_for_its_way() {
    let one = Place { peers: vec![("e2", "campanha")], ..Place::default() };
    let mut session = one.session();
    let timely = |work: &Work| work.collect.expect("terms").timely_us;
    let (to, there, here) = started(&mut session, "k0");
    let unknown = timely(&there);
    session.pass(30);
    let mut replies = merged(&there, &[9]);
    replies[0].held_us = 16_000;
    tell(&mut session, &to, replies);
    tell_near(&mut session, &here, 1);
    let known = timely(&started(&mut session, "k1").1);
    // 14 ms on the way in place of the 4 assumed, and 2 for queues.
    assert_eq!((unknown, known), (79_000, 67_000));
}

/// What ends a peer's part in a sweep.
#[derive(Clone, Copy, Debug)]
enum End {
    Refuses(Reason),
    LinkDown,
    Silent,
}

/// A peer refuses, dies, or stands still. Its parts are asked for from here, so that the sweep has
/// its floor soon after its target at the latest.
#[test]
fn parts_at_a_lost_peer_are_asked_for_from_here() {
    let cases = [
        End::Refuses(Reason::Draining),
        End::Refuses(Reason::NotReady),
        End::Refuses(Reason::NoServer),
        End::LinkDown,
        End::Silent,
    ];
    for end in cases {
        let mut session = Place::default().session();
        let (to, there, here) = started(&mut session, "k");
        // Two of three near parts are there: below the floor of three.
        let near = here.portions.iter().take(2);
        let near = near.map(|portion| reply(&here, &portion.service, &[1])).collect();
        tell(&mut session, SELF, near);
        let actions = match end {
            End::Refuses(reason) => {
                let portions = there.portions.iter();
                let refusals = portions.map(|portion| refused(&there, &portion.service, reason));
                let refusals = refusals.collect();
                tell(&mut session, &to, refusals)
            }
            End::LinkDown => session.link_down(&to),
            End::Silent => session.pass(99),
        };
        let again = works(&actions);
        assert!(again.iter().all(|(to, work)| **to == *SELF && work.collect.is_none()), "{end:?}");
        let services = again.iter().flat_map(|(_, work)| &work.portions);
        assert_eq!(services.count(), 3, "{end:?}");
        // The lost peer may have asked both servers that the route allows: who asks now is told to keep
        // to the same two.
        let portions = again.iter().flat_map(|(_, work)| &work.portions);
        for portion in portions {
            let first = there.portions.iter().find(|first| first.service == portion.service);
            let first = first.and_then(|first| first.eligible.clone());
            assert_eq!(first.as_ref().map(|first| first.servers.len()), Some(2), "{end:?}");
            assert_eq!(portion.eligible, first, "{end:?}");
        }
        for (_, work) in &again {
            let portions = work.portions.iter();
            let replies = portions.map(|portion| reply(work, &portion.service, &[5])).collect();
            tell(&mut session, SELF, replies);
        }
        session.pass(100);
        assert_eq!(session.machine.open(), 0, "{end:?}");
    }
}

/// Instances differ in their processors, and the hash gave most parts of every sweep to those with an
/// eighth of a core: its answers lay unread there, the calls counted as slow and got second copies, and
/// small sweeps came late. Who has a whole core asks for what four others could, and only then they.
#[test]
fn askers_are_chosen_by_their_processors() {
    let weak = ["e2", "e3", "e5", "e6", "e7", "e8"];
    let zone = |at: usize| ["campanha", "sao-bento"][at % 2];
    let mut peers: Vec<_> = weak.iter().enumerate().map(|(at, name)| (*name, zone(at))).collect();
    peers.push(("e9", "campanha"));
    let mut millicores: Map<&str, u32> = weak.iter().map(|name| (*name, 250)).collect();
    millicores.extend([("e9", 1000), (SELF, 250)]);
    // 36 parts in groups of six.
    let parts = vec![vec!["campanha", "sao-bento"]; 36];
    let place = Place { parts, peers, millicores, scarce: true, ..Place::default() };
    let mut session = place.session();
    let mut groups: Map<Arc<str>, usize> = Map::default();
    for (to, work) in works(&session.call(sweep("k"))) {
        *groups.entry(to).or_default() += work.portions.len() / 6;
    }
    let strong = groups.remove("e9").unwrap_or_default();
    assert!((3..=4).contains(&strong), "{strong} of six groups at the strong one, {groups:?}");
    assert!(groups.values().all(|groups| *groups == 1), "{groups:?}");
}

/// Whether a part's servers are chosen anew after its first asker is done with it.
struct Again {
    name: &'static str,
    end: End,
    verdict: Verdict,
    /// The third server, which the first choice left out, is named.
    third: bool,
}

/// Both servers that a part may run on are out of reach for its asker. Named again, they would be all
/// that the next asker may try, while the third one is idle. Once one of them may have run it, they stay.
#[test]
fn servers_that_an_asker_can_not_use_are_passed_over() {
    let unused = |reason| End::Refuses(reason);
    let cases = [
        Again {
            name: "gone",
            end: unused(Reason::NoServer),
            verdict: Verdict::NotRun,
            third: true,
        },
        Again {
            name: "unreachable",
            end: unused(Reason::ConnectFailed),
            verdict: Verdict::NotRun,
            third: true,
        },
        Again {
            name: "one may have run",
            end: unused(Reason::NoServer),
            verdict: Verdict::MayHaveRun,
            third: false,
        },
        Again { name: "lost", end: End::LinkDown, verdict: Verdict::NotRun, third: false },
    ];
    for Again { name, end, verdict, third } in cases {
        let parts = vec![vec!["campanha", "sao-bento", "sao-bento"]; 3];
        let place = Place { parts, ..Place::default() };
        let mut session = place.session();
        let first = works(&session.call(sweep("k"))).remove(0);
        let actions = match end {
            End::Refuses(reason) => {
                let refusal = |service| Reply {
                    verdict: verdict.into(),
                    ..refused(&first.1, service, reason)
                };
                let portions = first.1.portions.iter();
                let refusals = portions.map(|portion| refusal(&portion.service)).collect();
                tell(&mut session, &first.0, refusals)
            }
            _ => session.link_down(&first.0),
        };
        let again = works(&actions);
        assert!(!again.is_empty(), "{name}");
        for portion in again.iter().flat_map(|(_, work)| &work.portions) {
            let before = first.1.portions.iter().find(|one| one.service == portion.service);
            let servers = |portion: &Portion| portion.eligible.clone().unwrap_or_default().servers;
            let (before, now) = (servers(before.expect("the same part")), servers(portion));
            let all =
                (1..=3).map(|number| Mark::of(&format!("{}-{}", portion.service, number - 1)).0);
            let left_out = all.into_iter().find(|mark| !before.contains(mark));
            assert_eq!(left_out.is_some_and(|mark| now.contains(&mark)), third, "{name}");
            assert!(third || now == before, "{name}");
            assert_eq!(now.len(), 2, "{name}");
        }
    }
}

/// Servers take fewer connections than there are instances, and the one that asks them for all is lost
/// or leaves. Were every instance to ask from here then, each would open connections that only the
/// next asker needs; all of them give the parts to that one.
#[test]
fn next_asker_follows_where_connections_are_few() {
    for end in [End::Refuses(Reason::Draining), End::LinkDown, End::Silent] {
        let parts = vec![vec!["campanha", "sao-bento"]; 3];
        let peers = vec![("e2", "campanha"), ("e3", "sao-bento"), ("e4", "campanha")];
        let place = Place { parts, peers, scarce: true, ..Place::default() };
        let mut session = place.session();
        let works = works(&session.call(sweep("k")));
        assert!(works.iter().all(|(to, _)| **to != *SELF), "the servers stand elsewhere");
        let (first, work) = &works[0];
        let lost = match end {
            End::Refuses(reason) => {
                let portions = work.portions.iter();
                let refusals = portions.map(|portion| refused(work, &portion.service, reason));
                let refusals = refusals.collect();
                tell(&mut session, first, refusals)
            }
            End::LinkDown => session.link_down(first),
            End::Silent => session.pass(99),
        };
        let again = self::works(&lost);
        let services = again.iter().flat_map(|(_, work)| &work.portions);
        assert!(services.count() >= work.portions.len(), "{end:?}: asked for again");
        let next = |to: &Arc<str>| **to != *SELF && to != first;
        assert!(again.iter().all(|(to, _)| next(to)), "{end:?}: by the next asker");
    }
}

/// A peer that was silent collects nothing for a while; with all of them silent nobody does.
#[test]
fn silent_peers_are_passed_over() {
    let mut session = Place::default().session();
    let first = started(&mut session, "k1").0;
    session.pass(99);
    for key in ["k2", "k3"] {
        assert_ne!(started(&mut session, key).0, first);
    }
    session.pass(99);
    assert!(collectors(&session.call(sweep("k4"))).is_empty());
    session.pass(2500);
    assert!(!collectors(&session.call(sweep("k5"))).is_empty());
}

/// Many servers are down and a peer says that it still collects: it lives. To ask the servers from
/// here too would cost each of them a second call.
#[test]
fn peer_that_still_collects_is_waited_for() {
    let mut session = Place::default().session();
    let (to, there, _) = started(&mut session, "k");
    session.pass(80);
    let (query, round) = (there.query, there.round);
    let pending = Pending { query, round, incarnation: INCARNATION };
    session.give(Event::Pending { from: to, pending });
    assert!(works(&session.pass(100)).is_empty());
}

/// Some parts come back, late and just when the peer had to speak; the word about the rest is the
/// next thing in the same frame. The rest must not be asked for from here: six requests of one day
/// ran on three servers of a shard of which their routes allow two.
#[test]
fn reply_is_a_word_too() {
    let mut session = Place::default().session();
    let (to, there, _) = started(&mut session, "k");
    session.pass(80);
    session.now = session.now + std::time::Duration::from_millis(20);
    let first = &there.portions[0].service;
    let actions = tell(&mut session, &to, vec![reply(&there, first, &[1])]);
    assert!(works(&actions).is_empty());
    assert!(works(&session.pass(100)).is_empty());
}

/// Words of another peer, of another life or of another round do not count for it.
#[test]
fn word_of_another_does_not_count() {
    struct Case {
        story: &'static str,
        from: Option<&'static str>,
        change: fn(&mut Pending),
    }
    let cases = [
        Case { story: "another peer", from: Some("e4"), change: |_| {} },
        Case { story: "another life", from: None, change: |pending| pending.incarnation += 1 },
        Case { story: "another round", from: None, change: |pending| pending.round += 1 },
        Case { story: "another query", from: None, change: |pending| pending.query += 1 },
    ];
    for case in cases {
        let mut session = Place::default().session();
        let (to, there, _) = started(&mut session, "k");
        session.pass(80);
        let (query, round) = (there.query, there.round);
        let mut pending = Pending { query, round, incarnation: INCARNATION };
        (case.change)(&mut pending);
        let from = case.from.map_or(to, Arc::from);
        session.give(Event::Pending { from, pending });
        assert!(!works(&session.pass(30)).is_empty(), "{}", case.story);
    }
}

/// This process itself stood still over the target: the peer's word may wait unread, and proves
/// nothing against it until there was time to read it.
#[test]
fn own_pause_is_not_held_against_a_peer() {
    let mut session = Place::default().session();
    let (to, there, here) = started(&mut session, "k");
    session.now = session.now + std::time::Duration::from_millis(150);
    assert!(works(&session.give(Event::Tick)).is_empty());
    tell_near(&mut session, &here, 1);
    let late = tell(&mut session, &to, merged(&there, &[9]));
    assert!(works(&late).is_empty());
    assert_eq!(session.machine.open(), 0);
}

/// Guards against a peer that is asked for parts of which it may use no server.
#[test]
fn parts_go_to_peers_near_servers_that_may_be_used() {
    for (evacuated, asked) in [("campanha", "e3"), ("sao-bento", "e2")] {
        let place = Place { evacuated, ..Place::default() };
        let mut session = place.session();
        for number in 0..6 {
            let (to, there, _) = started(&mut session, &format!("sweep-{number}"));
            assert_eq!(&*to, asked, "{evacuated} is evacuated");
            for portion in &there.portions {
                let eligible = portion.eligible.as_ref().expect("a choice of servers");
                let usable = if evacuated == "campanha" { 2 } else { 1 };
                let first = Mark::of(&format!("{}-{}", portion.service, usable - 1)).0;
                assert!(eligible.servers.contains(&first), "{evacuated}: {eligible:?}");
            }
        }
    }
}

/// Guards against naming servers for a part that lose its answer while another one would not.
///
/// The load: half of the servers lose a part of their answers, and most parts have a replica that loses none.
#[test]
fn servers_to_avoid_are_chosen_last() {
    let place = Place { parts: vec![vec!["campanha", HERE, "sao-bento"]; 6], ..Place::default() };
    let mut session = place.session();
    let chosen = |work: &Work, service: &str| {
        let portion = work.portions.iter().find(|portion| portion.service == service);
        portion.and_then(|portion| portion.eligible.clone()).expect("a choice").servers
    };
    let avoid: Vec<u32> = ["s1-0", "s1-1"].map(|name| Mark::of(name).0).to_vec();
    let [(_, first)] = &works(&session.call(sweep("first")))[..] else {
        panic!("all parts are asked for here");
    };
    assert!(chosen(first, "s1").contains(&Mark::of("s1-1").0), "near and not known to fail");
    let replies = first.portions.iter().map(|portion| {
        let avoid = if portion.service == "s1" { avoid.clone() } else { Vec::new() };
        Reply { avoid, ..reply(first, &portion.service, &[1]) }
    });
    let replies = replies.collect();
    tell(&mut session, SELF, replies);
    let [(_, second)] = &works(&session.call(sweep("second")))[..] else {
        panic!("all parts are asked for here");
    };
    assert_eq!(chosen(second, "s1")[0], Mark::of("s1-2").0);
    assert!(chosen(second, "s2").contains(&Mark::of("s2-1").0), "told of one service only");
    session.pass(2500);
    let [(_, third)] = &works(&session.call(sweep("third")))[..] else {
        panic!("all parts are asked for here");
    };
    assert!(chosen(third, "s1").contains(&Mark::of("s1-1").0), "what was told is too old");
}
