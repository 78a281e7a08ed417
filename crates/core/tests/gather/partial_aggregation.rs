//! Tests of parts of sweeps that peers aggregate near the servers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ladder_core::collections::Map;
use ladder_core::control::placement::LimitPart;
use ladder_core::count::{self, Count};
use ladder_core::eligible::ServerHash;
use ladder_core::gather::{Action, Event, Settings};
use ladder_core::route::Table;
use ladder_core::schema::call::{Message, Request, Response};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::publication::{Branch, Route, Routing};
use ladder_core::schema::wire::{Pending, Portion, Reply, Work};
use ladder_core::view::{Candidate, Neighbour, Server, Service, View};

use crate::fleet::{SELF, peer};
use crate::forward;
use crate::harness::{Harness, INCARNATION, answers, drop_count, only_answer, sent_work};

/// Zone of the instance under test.
pub(crate) const LOCAL_ZONE: &str = "trindade";
/// Version of the routing table.
const VERSION: u64 = 7;

/// Contents of the view in a test case.
#[derive(Clone)]
pub(crate) struct ViewFixture {
    /// Zones of the servers of each part.
    pub(crate) parts: Vec<Vec<&'static str>>,
    /// Names of the peers, each with its zone.
    pub(crate) peers: Vec<(&'static str, &'static str)>,
    /// Processor capacity of the peers and of this instance, in thousandths of a core.
    pub(crate) millicores: Map<&'static str, u32>,
    pub(crate) version: u64,
    pub(crate) unrepeatable: bool,
    /// Whether the servers have too few connections for every instance to call them.
    pub(crate) has_few_connections: bool,
    /// Zone that is evacuated, so that nothing may be sent to its servers.
    pub(crate) evacuated: &'static str,
    /// Regions to whose servers the routes' messages may be sent; if empty, all regions.
    pub(crate) homes: Vec<&'static str>,
    /// Whether each zone with servers of a group has an aggregator of its own.
    pub(crate) is_zonal: bool,
}

impl Default for ViewFixture {
    /// Six parts, three of them without a server in the local zone, and a peer in each zone.
    fn default() -> Self {
        let near = vec![vec!["campanha", LOCAL_ZONE]; 3];
        let far = vec![vec!["campanha", "sao-bento"]; 3];
        Self {
            parts: [near, far].concat(),
            peers: vec![("e2", "campanha"), ("e3", "sao-bento"), ("e4", LOCAL_ZONE)],
            millicores: Map::default(),
            version: VERSION,
            unrepeatable: false,
            has_few_connections: false,
            evacuated: "",
            homes: Vec::new(),
            is_zonal: false,
        }
    }
}

fn service_names(parts: usize) -> Vec<String> {
    (1..=parts).map(|number| format!("s{number}")).collect()
}

fn service(name: &str, zones: &[&str], fixture: &ViewFixture) -> Service {
    let has_few_connections = fixture.has_few_connections;
    let server = |(number, zone): (usize, &&str)| Server {
        name: format!("{name}-{number}").into(),
        address: "127.0.0.1:9".into(),
        zone: (*zone).into(),
        incarnation: 1,
        leaving: false,
        evacuated: **zone == *fixture.evacuated,
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
        sharer_count: 1,
        limit_part: LimitPart::default(),
        has_few_connections,
        keeps_idle_connection: !has_few_connections,
    }
}

impl ViewFixture {
    pub(crate) fn view(&self) -> Event {
        let mut view = View { generation: 1, ready: true, ..View::default() };
        let parts = service_names(self.parts.len());
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
        let regions = [(LOCAL_ZONE, "north"), ("campanha", "south"), ("sao-bento", "south")];
        let regions = regions.map(|(zone, region)| (zone.into(), region.into()));
        view.regions = Arc::new(regions.into_iter().collect());
        Event::View(Arc::new(view))
    }

    pub(crate) fn harness(&self) -> Harness {
        let own = self.millicores.get(SELF).copied().unwrap_or(1000);
        let settings = Settings::builder(SELF, INCARNATION).near(LOCAL_ZONE).millicores(own);
        let mut harness = Harness::with(settings.zonal(self.is_zonal).build());
        harness.deliver(self.view());
        harness
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

pub(crate) fn sweep(key: &str) -> Request {
    message(key, "/docks/all", 0)
}

/// Returns the parts of one sweep that are sent to peers, by peer.
fn parts_at_peers(actions: &[Action]) -> Vec<(Arc<str>, Vec<String>)> {
    let works = sent_work(actions).into_iter().filter(|(to, _)| **to != *SELF);
    let parts = works.map(|(to, work)| {
        assert!(work.collect.is_some(), "work for {to} must be aggregated");
        (to, work.portions.into_iter().map(|portion| portion.service).collect())
    });
    parts.collect()
}

/// Starts a sweep; returns the peer that aggregates, its work message and this instance's own work
/// message.
fn start_sweep(harness: &mut Harness, key: &str) -> (Arc<str>, Work, Work) {
    let works = sent_work(&harness.call(sweep(key)));
    let (near, far): (Vec<_>, Vec<_>) = works.into_iter().partition(|(to, _)| **to == *SELF);
    let [(_, local)] = &near[..] else {
        panic!("one message to this instance: {near:?}");
    };
    let [(to, remote)] = &far[..] else {
        panic!("one message to a peer: {far:?}");
    };
    (Arc::clone(to), remote.clone(), local.clone())
}

/// Builds the reply that covers a part with records of these bytes.
pub(crate) fn reply(work: &Work, service: &str, bytes: &[u8]) -> Reply {
    forward::reply(work, service, &forward::records(bytes))
}

/// Builds the replies to all portions of a work message, with the records merged into the first
/// one.
fn merged(work: &Work, bytes: &[u8]) -> Vec<Reply> {
    let count = work.portions.len() as u32;
    let replies = work.portions.iter().enumerate().map(|(at, portion)| {
        let bytes = if at == 0 { bytes } else { &[] };
        let merged = if at == 0 { count } else { 0 };
        Reply { merged, ..reply(work, &portion.service, bytes) }
    });
    replies.collect()
}

pub(crate) fn refusal_reply(work: &Work, service: &str, reason: Reason) -> Reply {
    let (verdict, reason) = (Verdict::NotRun.into(), reason.into());
    Reply { verdict, reason, parts: Vec::new(), ..reply(work, service, &[]) }
}

pub(crate) fn deliver_replies(
    harness: &mut Harness,
    from: &str,
    replies: Vec<Reply>,
) -> Vec<Action> {
    harness.deliver(Event::Replies { from: from.into(), replies })
}

/// Covers each part of the local work message with one record of this byte.
fn answer_local_parts(harness: &mut Harness, work: &Work, byte: u8) -> Vec<Action> {
    let replies = work.portions.iter().map(|portion| reply(work, &portion.service, &[byte]));
    let replies = replies.collect();
    deliver_replies(harness, SELF, replies)
}

/// Returns the first byte of each record of a response.
fn records(response: Option<Response>) -> Vec<u8> {
    let body = response.expect("a response").body;
    body.chunks_exact(16).map(|record| record[0]).collect()
}

/// A sweep with the peers that must receive its parts.
struct AssignmentCase {
    name: &'static str,
    fixture: ViewFixture,
    request: Request,
    /// Parts that must be sent to peers, by peer, over three consecutive sweeps.
    parts: &'static [(&'static str, &'static [&'static str])],
}

fn with_parts(parts: Vec<Vec<&'static str>>) -> ViewFixture {
    ViewFixture { parts, ..ViewFixture::default() }
}

fn assignment(
    name: &'static str,
    fixture: ViewFixture,
    parts: &'static [(&'static str, &'static [&'static str])],
) -> AssignmentCase {
    AssignmentCase { name, fixture, request: sweep("k"), parts }
}

fn assigned_cases() -> Vec<AssignmentCase> {
    const FIRST_THREE: &[&str] = &["s1", "s2", "s3"];
    const LAST_THREE: &[&str] = &["s4", "s5", "s6"];
    const ALL_PARTS: &[&str] = &["s1", "s2", "s3", "s4", "s5", "s6"];
    const FIRST_FOUR: &[&str] = &["s1", "s2", "s3", "s4"];
    let all_far = vec![vec!["campanha"]; 6];
    let split = [vec![vec!["campanha"]; 3], vec![vec!["sao-bento"]; 3]].concat();
    let uneven = [vec![vec!["campanha"]; 4], vec![vec!["sao-bento"]; 2]].concat();
    let two_peers = vec![("e2", "campanha"), ("e3", "campanha")];
    let one_zone = ViewFixture { peers: two_peers.clone(), ..ViewFixture::default() };
    let two_groups = ViewFixture { peers: two_peers, ..with_parts(vec![vec!["campanha"]; 6]) };
    vec![
        assignment(
            "parts without a local server go to one peer",
            ViewFixture::default(),
            &[("e2", LAST_THREE); 3],
        ),
        assignment("two peers in one zone", one_zone, &[("e2", LAST_THREE); 3]),
        assignment(
            "the peers of two groups alternate",
            two_groups,
            &[("e3", ALL_PARTS), ("e2", ALL_PARTS), ("e3", ALL_PARTS)],
        ),
        assignment("no server here", with_parts(all_far), &[("e2", ALL_PARTS); 3]),
        assignment(
            "two zones have three each",
            with_parts(split),
            &[
                ("e2", FIRST_THREE),
                ("e3", LAST_THREE),
                ("e2", FIRST_THREE),
                ("e3", LAST_THREE),
                ("e2", FIRST_THREE),
                ("e3", LAST_THREE),
            ],
        ),
        assignment("two remaining parts are too few", with_parts(uneven), &[("e2", FIRST_FOUR); 3]),
    ]
}

/// Returns the cases in which this instance must call all servers itself.
fn unassigned_cases() -> Vec<AssignmentCase> {
    let near = with_parts(vec![vec![LOCAL_ZONE, "campanha"]; 6]);
    let few = with_parts(vec![vec!["campanha"]; 2]);
    let peers_only_in_local_zone =
        ViewFixture { peers: vec![("e4", LOCAL_ZONE)], ..ViewFixture::default() };
    let non_idempotent = ViewFixture { unrepeatable: true, ..ViewFixture::default() };
    let local_request =
        |name, request| AssignmentCase { request, ..assignment(name, ViewFixture::default(), &[]) };
    vec![
        assignment("all servers here", near, &[]),
        assignment("few parts", few, &[]),
        assignment("no peer in the zones of the servers", peers_only_in_local_zone, &[]),
        assignment("non-idempotent", non_idempotent, &[]),
        local_request("one service", message("k", "/permit/1", 0)),
        local_request("a long body", message("k", "/docks/all", 16 * 1024 + 1)),
    ]
}

/// Guards against sending the requests and responses of many parts between zones. One peer near
/// the servers must aggregate the parts that have no server in the local zone, several peers in
/// turn if possible; where this saves nothing, this instance must call the servers itself.
#[test]
fn remote_parts_go_to_nearby_aggregators() {
    for case in assigned_cases().into_iter().chain(unassigned_cases()) {
        let mut harness = case.fixture.harness();
        let mut parts = Vec::new();
        for number in 0..3 {
            let request = Request { key: format!("k{number}"), ..case.request.clone() };
            let mut at_peers = parts_at_peers(&harness.call(request));
            at_peers.sort();
            parts.extend(at_peers);
        }
        let parts = parts.iter().map(|(to, parts)| (&**to, parts.iter().map(String::as_str)));
        let parts = parts.map(|(to, parts)| (to, parts.collect()));
        let parts: Vec<(&str, Vec<&str>)> = parts.collect();
        let expected = case.parts.iter().map(|(to, parts)| (*to, parts.to_vec()));
        assert_eq!(parts, expected.collect::<Vec<_>>(), "{}", case.name);
    }
}

/// Guards against queues that fill unnoticed because every instance sees only a part of a server's
/// load. Once replies report that servers are busy, one instance near them must call each group's
/// servers for all sweeps; once the servers are idle, every instance must call them itself again.
#[test]
fn busy_servers_are_called_by_one_instance() {
    let mut harness = with_parts(vec![vec![LOCAL_ZONE, "campanha"]; 6]).harness();
    let mut parts_at_utilization = |permille: u32, id: &str| {
        for number in 0..40 {
            let actions = harness.call(sweep(&format!("{id}-{number}")));
            for (to, work) in sent_work(&actions) {
                let replies = work.portions.iter().map(|portion| Reply {
                    busy_permille: permille,
                    ..reply(&work, &portion.service, &[1])
                });
                let replies = replies.collect();
                deliver_replies(&mut harness, &to, replies);
            }
            harness.advance(10);
        }
        let next_sweep =
            |number| parts_at_peers(&harness.call(sweep(&format!("{id}-then-{number}"))));
        let assignments: Vec<_> = (0..3).map(next_sweep).collect();
        assert!(
            assignments.iter().all(|one| *one == assignments[0]),
            "the same assignment for all sweeps: {assignments:?}"
        );
        assignments[0].iter().map(|(_, parts)| parts.len()).collect::<Vec<_>>()
    };
    assert_eq!(parts_at_utilization(150, "idle"), [0; 0], "all have servers here");
    assert_eq!(parts_at_utilization(900, "busy"), [3, 3], "each group at one peer");
    assert_eq!(parts_at_utilization(150, "idle again"), [0; 0]);
}

/// Without the setting `near`, this instance must call all servers itself.
#[test]
fn aggregation_is_off_by_default() {
    let mut harness = Harness::with(Settings::builder(SELF, INCARNATION).build());
    harness.deliver(ViewFixture::default().view());
    assert!(parts_at_peers(&harness.call(sweep("k"))).is_empty());
}

/// The answer must contain the greatest records of all parts, with the records of an aggregation
/// taken from its first reply, and the signatures of all parts.
#[test]
fn aggregated_records_are_merged_into_answer() {
    let mut harness = ViewFixture::default().harness();
    let (to, remote, local) = start_sweep(&mut harness, "k");
    let collect = remote.collect.expect("terms");
    assert_eq!(collect.top, 3);
    // The target of 100 ms minus the times reserved for the answer's transfer to the caller and
    // for the reply's transfer from the peer.
    assert!((70_000..80_000).contains(&collect.timely_us), "{collect:?}");
    assert!(local.collect.is_none());
    assert!(answers(&deliver_replies(&mut harness, &to, merged(&remote, &[9, 5, 4]))).is_empty());
    let answer = only_answer(&answer_local_parts(&mut harness, &local, 6));
    assert_eq!((answer.stamps.len(), answer.missing.len()), (6, 0));
    assert_eq!(records(answer.response), [9, 6, 6]);
}

/// Guards against an answer that lists some parts and contains the records of others: if the
/// target time passes while the replies of an aggregation are handled, all of its parts must be
/// accepted.
#[test]
fn aggregation_at_target_time_is_accepted_whole() {
    let mut harness = ViewFixture::default().harness();
    let (to, remote, local) = start_sweep(&mut harness, "k");
    let near = local.portions.iter().take(2);
    let near = near.map(|portion| reply(&local, &portion.service, &[1])).collect();
    deliver_replies(&mut harness, SELF, near);
    harness.advance(90);
    let answer = only_answer(&deliver_replies(&mut harness, &to, merged(&remote, &[9, 8, 7])));
    assert_eq!((answer.stamps.len(), answer.missing.len()), (5, 1));
    assert_eq!(records(answer.response), [9, 8, 7]);
}

/// Guards against accepting merged records that cannot be separated, when one part of an
/// aggregation was already answered locally or the aggregation is inconsistent. All of its replies
/// must be dropped, and its open parts must be sent again.
#[test]
fn inconsistent_aggregation_is_dropped_whole() {
    struct Case {
        name: &'static str,
        /// The peer refuses the first part, which is then answered locally.
        first_answered_locally: bool,
        corrupt: fn(&mut Vec<Reply>),
        sent_again: usize,
    }
    let case = |name, corrupt, sent_again| Case {
        name,
        first_answered_locally: false,
        corrupt,
        sent_again,
    };
    let cases = [
        Case { first_answered_locally: true, ..case("one part was answered here", |_| {}, 2) },
        case("the last reply is cut off", |replies| drop(replies.pop()), 2),
        case("a part occurs twice", |replies| replies[2] = replies[1].clone(), 2),
        case("another version", |replies| replies[1].version += 1, 2),
        case("another query", |replies| replies[2].query += 1, 3),
        case("one part is refused", |replies| replies[1].reason = Reason::TargetShed.into(), 2),
    ];
    for case in cases {
        let mut harness = ViewFixture::default().harness();
        let (to, remote, _) = start_sweep(&mut harness, "k");
        let mut replies = merged(&remote, &[9, 8, 7]);
        if case.first_answered_locally {
            let first = remote.portions[0].service.clone();
            let refusal = refusal_reply(&remote, &first, Reason::NoServer);
            let (_, again) =
                sent_work(&deliver_replies(&mut harness, &to, vec![refusal])).remove(0);
            deliver_replies(&mut harness, SELF, vec![reply(&again, &first, &[2])]);
        }
        (case.corrupt)(&mut replies);
        let actions = deliver_replies(&mut harness, &to, replies);
        let again: usize = sent_work(&actions).iter().map(|(_, work)| work.portions.len()).sum();
        assert_eq!(again, case.sent_again, "{}", case.name);
        assert!(actions.contains(&drop_count(Reason::StaleAnswer)), "{}", case.name);
        assert!(answers(&actions).is_empty(), "{}", case.name);
    }
}

/// Guards against aggregations that arrive after the target time because the peer is in a distant
/// zone. The round-trip time must be learned from the time for which peers report that they held
/// the parts.
#[test]
fn aggregation_deadline_allows_for_round_trip() {
    let fixture = ViewFixture { peers: vec![("e2", "campanha")], ..ViewFixture::default() };
    let mut harness = fixture.harness();
    let timely = |work: &Work| work.collect.expect("terms").timely_us;
    let (to, remote, local) = start_sweep(&mut harness, "k0");
    let unknown = timely(&remote);
    harness.advance(30);
    let mut replies = merged(&remote, &[9]);
    replies[0].held_us = 16_000;
    deliver_replies(&mut harness, &to, replies);
    answer_local_parts(&mut harness, &local, 1);
    let known = timely(&start_sweep(&mut harness, "k1").1);
    // 14 ms of round-trip time and 2 ms for queues, in place of an assumed total of 4 ms.
    assert_eq!((unknown, known), (79_000, 67_000));
}

/// How a partial aggregator fails.
#[derive(Clone, Copy, Debug)]
enum AggregatorFailure {
    Refuses(Reason),
    LinkDown,
    Silent,
}

/// If a partial aggregator refuses, dies or does not respond, this instance must call the servers
/// of its parts itself, so that the sweep reaches its floor soon after its target time at the
/// latest.
#[test]
fn parts_of_lost_aggregator_are_sent_locally() {
    let cases = [
        AggregatorFailure::Refuses(Reason::Draining),
        AggregatorFailure::Refuses(Reason::NotReady),
        AggregatorFailure::Refuses(Reason::NoServer),
        AggregatorFailure::LinkDown,
        AggregatorFailure::Silent,
    ];
    for failure in cases {
        let mut harness = ViewFixture::default().harness();
        let (to, remote, local) = start_sweep(&mut harness, "k");
        // Two of three local parts are covered, which is below the floor of three.
        let near = local.portions.iter().take(2);
        let near = near.map(|portion| reply(&local, &portion.service, &[1])).collect();
        deliver_replies(&mut harness, SELF, near);
        let actions = match failure {
            AggregatorFailure::Refuses(reason) => {
                let portions = remote.portions.iter();
                let refusals =
                    portions.map(|portion| refusal_reply(&remote, &portion.service, reason));
                let refusals = refusals.collect();
                deliver_replies(&mut harness, &to, refusals)
            }
            AggregatorFailure::LinkDown => harness.link_down(&to),
            AggregatorFailure::Silent => harness.advance(99),
        };
        let again = sent_work(&actions);
        assert!(
            again.iter().all(|(to, work)| **to == *SELF && work.collect.is_none()),
            "{failure:?}"
        );
        let services = again.iter().flat_map(|(_, work)| &work.portions);
        assert_eq!(services.count(), 3, "{failure:?}");
        // The lost peer may have called both servers that the route allows: the next instance must
        // be restricted to the same two.
        let portions = again.iter().flat_map(|(_, work)| &work.portions);
        for portion in portions {
            let first = remote.portions.iter().find(|first| first.service == portion.service);
            let first = first.and_then(|first| first.eligible.clone());
            assert_eq!(first.as_ref().map(|first| first.servers.len()), Some(2), "{failure:?}");
            assert_eq!(portion.eligible, first, "{failure:?}");
        }
        for (_, work) in &again {
            let portions = work.portions.iter();
            let replies = portions.map(|portion| reply(work, &portion.service, &[5])).collect();
            deliver_replies(&mut harness, SELF, replies);
        }
        harness.advance(100);
        assert_eq!(harness.machine.open(), 0, "{failure:?}");
    }
}

/// Guards against assigning most parts to instances with an eighth of a core, by hash alone:
/// replies remained unread there, calls were counted as slow and hedged, and small sweeps were
/// late. An instance with a whole core must receive about as many groups as four weak ones.
#[test]
fn groups_are_assigned_by_processor_capacity() {
    let weak = ["e2", "e3", "e5", "e6", "e7", "e8"];
    let zone = |at: usize| ["campanha", "sao-bento"][at % 2];
    let mut peers: Vec<_> = weak.iter().enumerate().map(|(at, name)| (*name, zone(at))).collect();
    peers.push(("e9", "campanha"));
    let mut millicores: Map<&str, u32> = weak.iter().map(|name| (*name, 250)).collect();
    millicores.extend([("e9", 1000), (SELF, 250)]);
    // 36 parts, which are divided into groups of six.
    let parts = vec![vec!["campanha", "sao-bento"]; 36];
    let fixture = ViewFixture {
        parts,
        peers,
        millicores,
        has_few_connections: true,
        ..ViewFixture::default()
    };
    let mut harness = fixture.harness();
    let mut groups: Map<Arc<str>, usize> = Map::default();
    for (to, work) in sent_work(&harness.call(sweep("k"))) {
        *groups.entry(to).or_default() += work.portions.len() / 6;
    }
    let strong = groups.remove("e9").unwrap_or_default();
    assert!((3..=4).contains(&strong), "{strong} of six groups at the strong instance, {groups:?}");
    assert!(groups.values().all(|groups| *groups == 1), "{groups:?}");
}

/// Whether the servers of a part are selected again after its first aggregator refused it or was
/// lost.
struct ReselectionCase {
    name: &'static str,
    failure: AggregatorFailure,
    verdict: Verdict,
    /// Number of calls that the aggregator made for the part.
    calls: u32,
    /// Whether the third server, which the first selection left out, must be selected.
    expects_third: bool,
}

fn reselection_cases() -> [ReselectionCase; 5] {
    let unused = |reason| AggregatorFailure::Refuses(reason);
    [
        ReselectionCase {
            name: "gone",
            failure: unused(Reason::NoServer),
            verdict: Verdict::NotRun,
            calls: 0,
            expects_third: true,
        },
        ReselectionCase {
            name: "unreachable",
            failure: unused(Reason::ConnectFailed),
            verdict: Verdict::NotRun,
            calls: 0,
            expects_third: true,
        },
        ReselectionCase {
            name: "one may have run",
            failure: unused(Reason::NoServer),
            verdict: Verdict::MayHaveRun,
            calls: 1,
            expects_third: false,
        },
        ReselectionCase {
            name: "a server received it",
            failure: unused(Reason::NoServer),
            verdict: Verdict::NotRun,
            calls: 1,
            expects_third: false,
        },
        ReselectionCase {
            name: "lost",
            failure: AggregatorFailure::LinkDown,
            verdict: Verdict::NotRun,
            calls: 0,
            expects_third: false,
        },
    ]
}

fn is_reselection(action: &Action) -> bool {
    matches!(action, Action::Count(Count { event: count::Event::Reselection, .. }))
}

/// Both servers selected for a part are unreachable for its aggregator. Guards against selecting
/// the same two for the next instance while the third server is idle, and against a part on three
/// servers: once one of them may have received the part, the selection must stay.
#[test]
fn unusable_servers_are_replaced_if_nothing_ran() {
    for ReselectionCase { name, failure, verdict, calls, expects_third } in reselection_cases() {
        let parts = vec![vec!["campanha", "sao-bento", "sao-bento"]; 3];
        let fixture = ViewFixture { parts, ..ViewFixture::default() };
        let mut harness = fixture.harness();
        let first = sent_work(&harness.call(sweep("k"))).remove(0);
        let actions = match failure {
            AggregatorFailure::Refuses(reason) => {
                let refusal = |service| Reply {
                    verdict: verdict.into(),
                    calls,
                    ..refusal_reply(&first.1, service, reason)
                };
                let portions = first.1.portions.iter();
                let refusals = portions.map(|portion| refusal(&portion.service)).collect();
                deliver_replies(&mut harness, &first.0, refusals)
            }
            _ => harness.link_down(&first.0),
        };
        let again = sent_work(&actions);
        assert!(!again.is_empty(), "{name}");
        let portions = again.iter().map(|(_, work)| work.portions.len()).sum::<usize>();
        let reselections = actions.iter().filter(|action| is_reselection(action)).count();
        assert_eq!(reselections, if expects_third { portions } else { 0 }, "{name}");
        for portion in again.iter().flat_map(|(_, work)| &work.portions) {
            let before = first.1.portions.iter().find(|one| one.service == portion.service);
            let servers = |portion: &Portion| portion.eligible.clone().unwrap_or_default().servers;
            let (before, now) = (servers(before.expect("the same part")), servers(portion));
            let all = (1..=3)
                .map(|number| ServerHash::of(&format!("{}-{}", portion.service, number - 1)).0);
            let left_out = all.into_iter().find(|hash| !before.contains(hash));
            assert_eq!(left_out.is_some_and(|hash| now.contains(&hash)), expects_third, "{name}");
            assert!(expects_third || now == before, "{name}");
            assert_eq!(now.len(), 2, "{name}");
        }
    }
}

/// Guards against a part on other servers because its sweep is planned again: a sweep that is refused
/// because of its version is not.
#[test]
fn sweep_is_not_restarted_on_another_version() {
    let mut harness = ViewFixture::default().harness();
    let (to, remote, _) = start_sweep(&mut harness, "k");
    let refuse =
        |portion: &Portion| refusal_reply(&remote, &portion.service, Reason::VersionRetired);
    let refusals = remote.portions.iter().map(refuse).collect();
    assert_eq!(sent_work(&deliver_replies(&mut harness, &to, refusals)), []);
}

/// The servers accept fewer connections than there are instances, and the instance that calls them
/// for all is lost or leaves. Guards against every instance calling them itself and opening
/// connections that the next aggregator needs: all parts must go to that one.
#[test]
fn scarce_connections_keep_parts_at_one_aggregator() {
    for failure in [
        AggregatorFailure::Refuses(Reason::Draining),
        AggregatorFailure::LinkDown,
        AggregatorFailure::Silent,
    ] {
        let parts = vec![vec!["campanha", "sao-bento"]; 3];
        let peers = vec![("e2", "campanha"), ("e3", "sao-bento"), ("e4", "campanha")];
        let fixture =
            ViewFixture { parts, peers, has_few_connections: true, ..ViewFixture::default() };
        let mut harness = fixture.harness();
        let works = sent_work(&harness.call(sweep("k")));
        assert!(works.iter().all(|(to, _)| **to != *SELF), "no server is in the local zone");
        let (first, work) = &works[0];
        let lost = match failure {
            AggregatorFailure::Refuses(reason) => {
                let portions = work.portions.iter();
                let refusals =
                    portions.map(|portion| refusal_reply(work, &portion.service, reason));
                let refusals = refusals.collect();
                deliver_replies(&mut harness, first, refusals)
            }
            AggregatorFailure::LinkDown => harness.link_down(first),
            AggregatorFailure::Silent => harness.advance(99),
        };
        let again = self::sent_work(&lost);
        let services = again.iter().flat_map(|(_, work)| &work.portions);
        assert!(services.count() >= work.portions.len(), "{failure:?}: sent again");
        let next = |to: &Arc<str>| **to != *SELF && to != first;
        assert!(again.iter().all(|(to, _)| next(to)), "{failure:?}: by the next aggregator");
    }
}

/// A silent peer must not be assigned parts for some time; if all peers are silent, none is
/// assigned any.
#[test]
fn silent_peers_get_no_parts() {
    let mut harness = ViewFixture::default().harness();
    let first = start_sweep(&mut harness, "k1").0;
    harness.advance(99);
    for key in ["k2", "k3"] {
        assert_ne!(start_sweep(&mut harness, key).0, first);
    }
    harness.advance(99);
    assert!(parts_at_peers(&harness.call(sweep("k4"))).is_empty());
    harness.advance(2500);
    assert!(!parts_at_peers(&harness.call(sweep("k5"))).is_empty());
}

/// Guards against a second call to each server when many servers are down and a peer reports that
/// it is still aggregating, which shows that it is alive.
#[test]
fn progress_report_keeps_parts_at_peer() {
    let mut harness = ViewFixture::default().harness();
    let (to, remote, _) = start_sweep(&mut harness, "k");
    harness.advance(80);
    let (query, round) = (remote.query, remote.round);
    let pending = Pending { query, round, incarnation: INCARNATION };
    harness.deliver(Event::Pending { from: to, pending });
    assert!(sent_work(&harness.advance(100)).is_empty());
}

/// Guards against sending the remaining parts again when some replies of a partial aggregator
/// arrive just as its progress report is due, with the report on the others next in the same
/// frame. This caused six requests in one test day to run on three servers of a shard although
/// their routes allow two.
#[test]
fn reply_counts_as_progress_report() {
    let mut harness = ViewFixture::default().harness();
    let (to, remote, _) = start_sweep(&mut harness, "k");
    harness.advance(80);
    harness.now = harness.now + std::time::Duration::from_millis(20);
    let first = &remote.portions[0].service;
    let actions = deliver_replies(&mut harness, &to, vec![reply(&remote, first, &[1])]);
    assert!(sent_work(&actions).is_empty());
    assert!(sent_work(&harness.advance(100)).is_empty());
}

/// Progress reports of another peer, incarnation, round or query must be ignored.
#[test]
fn unrelated_progress_report_is_ignored() {
    struct Case {
        name: &'static str,
        from: Option<&'static str>,
        change: fn(&mut Pending),
    }
    let cases = [
        Case { name: "another peer", from: Some("e4"), change: |_| {} },
        Case {
            name: "another incarnation",
            from: None,
            change: |pending| pending.incarnation += 1,
        },
        Case { name: "another round", from: None, change: |pending| pending.round += 1 },
        Case { name: "another query", from: None, change: |pending| pending.query += 1 },
    ];
    for case in cases {
        let mut harness = ViewFixture::default().harness();
        let (to, remote, _) = start_sweep(&mut harness, "k");
        harness.advance(80);
        let (query, round) = (remote.query, remote.round);
        let mut pending = Pending { query, round, incarnation: INCARNATION };
        (case.change)(&mut pending);
        let from = case.from.map_or(to, Arc::from);
        harness.deliver(Event::Pending { from, pending });
        assert!(!sent_work(&harness.advance(30)).is_empty(), "{}", case.name);
    }
}

/// Guards against considering a peer lost because this process was paused over the target time:
/// the peer's report may not have been read yet, and must be allowed time to be read.
#[test]
fn own_pause_does_not_mark_peer_lost() {
    let mut harness = ViewFixture::default().harness();
    let (to, remote, local) = start_sweep(&mut harness, "k");
    harness.now = harness.now + std::time::Duration::from_millis(150);
    assert!(sent_work(&harness.deliver(Event::Tick)).is_empty());
    answer_local_parts(&mut harness, &local, 1);
    let late = deliver_replies(&mut harness, &to, merged(&remote, &[9]));
    assert!(sent_work(&late).is_empty());
    assert_eq!(harness.machine.open(), 0);
}

/// Guards against assigning parts to a peer that may use none of their servers.
#[test]
fn parts_go_to_peers_near_usable_servers() {
    for (evacuated, expected_peer) in [("campanha", "e3"), ("sao-bento", "e2")] {
        let fixture = ViewFixture { evacuated, ..ViewFixture::default() };
        let mut harness = fixture.harness();
        for number in 0..6 {
            let (to, remote, _) = start_sweep(&mut harness, &format!("sweep-{number}"));
            assert_eq!(&*to, expected_peer, "{evacuated} is evacuated");
            for portion in &remote.portions {
                let eligible = portion.eligible.as_ref().expect("a choice of servers");
                let usable = if evacuated == "campanha" { 2 } else { 1 };
                let first = ServerHash::of(&format!("{}-{}", portion.service, usable - 1)).0;
                assert!(eligible.servers.contains(&first), "{evacuated}: {eligible:?}");
            }
        }
    }
}

/// Guards against selecting servers that lose a part's response while another server would not.
///
/// The load: half of the servers lose some of their responses, and most parts have a replica that
/// loses none.
#[test]
fn reported_failing_servers_are_chosen_last() {
    let fixture = ViewFixture {
        parts: vec![vec!["campanha", LOCAL_ZONE, "sao-bento"]; 6],
        ..ViewFixture::default()
    };
    let mut harness = fixture.harness();
    let chosen = |work: &Work, service: &str| {
        let portion = work.portions.iter().find(|portion| portion.service == service);
        portion.and_then(|portion| portion.eligible.clone()).expect("a choice").servers
    };
    let avoid: Vec<u32> = ["s1-0", "s1-1"].map(|name| ServerHash::of(name).0).to_vec();
    let [(_, first)] = &sent_work(&harness.call(sweep("first")))[..] else {
        panic!("all servers are called from here");
    };
    assert!(
        chosen(first, "s1").contains(&ServerHash::of("s1-1").0),
        "near and not reported as failing"
    );
    let replies = first.portions.iter().map(|portion| {
        let avoid = if portion.service == "s1" { avoid.clone() } else { Vec::new() };
        Reply { avoid, ..reply(first, &portion.service, &[1]) }
    });
    let replies = replies.collect();
    deliver_replies(&mut harness, SELF, replies);
    let [(_, second)] = &sent_work(&harness.call(sweep("second")))[..] else {
        panic!("all servers are called from here");
    };
    assert_eq!(chosen(second, "s1")[0], ServerHash::of("s1-2").0);
    assert!(
        chosen(second, "s2").contains(&ServerHash::of("s2-1").0),
        "the report concerns one service only"
    );
    harness.advance(2500);
    let [(_, third)] = &sent_work(&harness.call(sweep("third")))[..] else {
        panic!("all servers are called from here");
    };
    assert!(chosen(third, "s1").contains(&ServerHash::of("s1-1").0), "the report has expired");
}
