//! Tests of reservations for callers whose sweeps were refused and that retry at the advised time.

mod property;

use std::sync::Arc;
use std::time::Duration;

use ladder_core::admission::Share;
use ladder_core::admission::holder::Holders;
use ladder_core::admission::reservation;
use ladder_core::fingerprint::Fingerprint;
use ladder_core::gather::event::CallerId;
use ladder_core::gather::{Action, Event, Machine, Settings};
use ladder_core::schema::call::Request;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::wire::{ReservationReply, ReservationRequest};
use ladder_core::view::{Quarantine, View};

use crate::fleet::{SELF, peer};
use crate::forward;
use crate::harness::{Harness, INCARNATION, answers, drop_count, only_answer, sent_work};
use crate::partial_aggregation::{LOCAL_ZONE, ViewFixture, message};

/// The other instance of the local zone.
const HOLDER: &str = "e4";
/// An instance of another zone.
const STRANGER: &str = "e2";

/// Six parts whose servers are in the local zone, so that this instance sends all of them itself.
fn fixture() -> ViewFixture {
    ViewFixture { parts: vec![vec![LOCAL_ZONE]; 6], ..ViewFixture::default() }
}

/// The same without another instance in the local zone.
fn fixture_without_holder() -> ViewFixture {
    ViewFixture { peers: vec![(STRANGER, "campanha")], ..fixture() }
}

fn view(fixture: &ViewFixture) -> View {
    match fixture.view() {
        Event::View(view) => View::clone(&view),
        event => panic!("a view: {event:?}"),
    }
}

fn settings(reserved_percent: u32) -> Settings {
    let settings = Settings::builder(SELF, INCARNATION).near(LOCAL_ZONE);
    settings.sweep_admission(true).reserved_percent(reserved_percent).build()
}

/// Creates a harness in which the senders have reported that this share of the sweeps can be
/// served.
fn harness_at(fixture: &ViewFixture, reserved_percent: u32, share_permille: u32) -> Harness {
    let mut harness = Harness::with(settings(reserved_percent));
    harness.deliver(fixture.view());
    let (to, work) = sent_work(&harness.call(message("first", "/docks/all", 0))).remove(0);
    for portion in &work.portions {
        let mut reply = forward::reply(&work, &portion.service, &[]);
        reply.admissible_permille = share_permille + 1;
        harness.reply(&to, reply);
    }
    harness
}

/// Returns a sweep whose reservations `holder` holds, and which differs from other ones by `number`.
fn sweep_held_by(holder: &str, number: usize) -> Request {
    let mut holders = Holders::new(SELF.into());
    holders.update(LOCAL_ZONE, &view(&fixture()).neighbours);
    let sweeps = (1..).map(|body| message(&format!("k{body}"), "/docks/all", body));
    let mut held = sweeps.filter(|sweep| {
        let selected = holders.select(Fingerprint::of(sweep));
        selected.map_or(SELF, |peer| &peer.name) == holder
    });
    held.nth(number).expect("each instance holds some")
}

fn reservation_requests(actions: &[Action]) -> Vec<(Arc<str>, ReservationRequest)> {
    let requests = actions.iter().filter_map(|action| match action {
        Action::RequestReservation { to, request } => Some((to.name.clone(), request.clone())),
        _ => None,
    });
    requests.collect()
}

fn reservation_replies(actions: &[Action]) -> Vec<ReservationReply> {
    let replies = actions.iter().filter_map(|action| match action {
        Action::ReplyReservation { reply, .. } => Some(*reply),
        _ => None,
    });
    replies.collect()
}

/// What happens while a sweep waits for the reply of its holder.
#[derive(Clone, Copy)]
enum Step {
    /// A reply of this instance to an incarnation arrives.
    Reply(&'static str, u64, Decision),
    /// The time passes, in milliseconds.
    Wait(u64),
    /// The time passes without a tick, in milliseconds, as in a process that does not run.
    Freeze(u64),
    Paused,
    LinkDown(&'static str),
    Leave,
    Drain,
    Cut,
    /// A view without the holder.
    HolderGone,
    /// A view without routes.
    RoutesGone,
    /// A view in which the sweep is quarantined.
    Quarantine,
}

#[derive(Clone, Copy)]
enum Decision {
    Granted,
    Reserved,
    Refused,
}

/// Delay that the replies of the tests advise, in milliseconds.
const ADVISED_MS: u32 = 111;

fn decision(query: u64, incarnation: u64, decision: Decision) -> ReservationReply {
    let granted = matches!(decision, Decision::Granted);
    ReservationReply {
        query,
        incarnation,
        granted,
        retry_after_ms: if granted { 0 } else { ADVISED_MS },
        reserved: matches!(decision, Decision::Reserved),
    }
}

/// How a sweep that has waited ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// All its parts are sent.
    Started,
    /// It is refused as not run, with the delay of the holder.
    RefusedByHolder,
    /// It is refused as not run, with the delay of this instance's own decision.
    RefusedHere,
    /// It is refused as not run for another reason.
    RefusedAs(Reason),
    /// Nothing is sent to the caller, who has left.
    Left,
    /// It still waits.
    Waiting,
}

struct Case {
    description: &'static str,
    steps: &'static [Step],
    end: End,
    /// Reasons of dropped replies.
    dropped: &'static [Reason],
}

const GRANT: Step = Step::Reply(HOLDER, INCARNATION, Decision::Granted);

const CASES: &[Case] = &[
    Case {
        description: "a due reservation starts the sweep",
        steps: &[GRANT],
        end: End::Started,
        dropped: &[],
    },
    Case {
        description: "a new reservation refuses the sweep with its time",
        steps: &[Step::Reply(HOLDER, INCARNATION, Decision::Reserved)],
        end: End::RefusedByHolder,
        dropped: &[],
    },
    Case {
        description: "a full book refuses the sweep with a time to retry",
        steps: &[Step::Reply(HOLDER, INCARNATION, Decision::Refused)],
        end: End::RefusedByHolder,
        dropped: &[],
    },
    Case {
        description: "a sweep waits for its holder",
        steps: &[Step::Wait(4)],
        end: End::Waiting,
        dropped: &[],
    },
    Case {
        description: "a silent holder delays the refusal by 5 ms",
        steps: &[Step::Wait(5)],
        end: End::RefusedHere,
        dropped: &[],
    },
    Case {
        description: "a broken link to the holder refuses the sweep at once",
        steps: &[Step::LinkDown(HOLDER)],
        end: End::RefusedHere,
        dropped: &[],
    },
    Case {
        description: "a broken link to another instance changes nothing",
        steps: &[Step::LinkDown(STRANGER), GRANT],
        end: End::Started,
        dropped: &[],
    },
    Case {
        description: "a late reply does not start a refused sweep",
        steps: &[Step::Wait(5), GRANT],
        end: End::RefusedHere,
        dropped: &[Reason::StaleAnswer],
    },
    Case {
        description: "a repeated reply does not start the sweep again",
        steps: &[GRANT, GRANT],
        end: End::Started,
        dropped: &[Reason::StaleAnswer],
    },
    Case {
        description: "a reply to an earlier incarnation is not for this sweep",
        steps: &[Step::Reply(HOLDER, INCARNATION - 1, Decision::Granted), Step::Wait(5)],
        end: End::RefusedHere,
        dropped: &[Reason::StaleAnswer],
    },
    Case {
        description: "only the holder grants a reservation",
        steps: &[Step::Reply(STRANGER, INCARNATION, Decision::Granted), Step::Wait(5)],
        end: End::RefusedHere,
        dropped: &[Reason::WrongAnswer],
    },
    Case {
        description: "nothing is sent for a caller that has left",
        steps: &[Step::Leave, GRANT, Step::Wait(10)],
        end: End::Left,
        dropped: &[Reason::StaleAnswer],
    },
    Case {
        description: "a draining instance finishes the sweep as an open request",
        steps: &[Step::Drain, GRANT],
        end: End::Started,
        dropped: &[],
    },
    Case {
        description: "a draining instance does not wait longer",
        steps: &[Step::Drain, Step::Wait(5)],
        end: End::RefusedHere,
        dropped: &[],
    },
    Case {
        description: "the time limit of the shutdown ends the wait",
        steps: &[Step::Drain, Step::Cut, GRANT],
        end: End::RefusedAs(Reason::Draining),
        dropped: &[Reason::StaleAnswer],
    },
    Case {
        description: "a holder that is no member any more may still reply",
        steps: &[Step::HolderGone, GRANT],
        end: End::Started,
        dropped: &[],
    },
    Case {
        description: "a holder that is no member any more may also be silent",
        steps: &[Step::HolderGone, Step::Wait(5)],
        end: End::RefusedHere,
        dropped: &[],
    },
    Case {
        description: "a sweep whose route is withdrawn is not sent",
        steps: &[Step::RoutesGone, GRANT],
        end: End::RefusedAs(Reason::NotReady),
        dropped: &[],
    },
    Case {
        description: "a sweep that is quarantined is not sent",
        steps: &[Step::Quarantine, GRANT],
        end: End::RefusedAs(Reason::Quarantined),
        dropped: &[],
    },
    Case {
        description: "a process that did not run looks for the reply before it refuses",
        steps: &[Step::Freeze(50), Step::Wait(0), GRANT],
        end: End::Started,
        dropped: &[],
    },
    Case {
        description: "a process that did not run waits only once more",
        steps: &[Step::Freeze(50), Step::Wait(0), Step::Freeze(50), Step::Wait(0)],
        end: End::RefusedHere,
        dropped: &[],
    },
    Case {
        description: "a sweep is not sent after a pause beyond its deadline",
        steps: &[Step::Freeze(2000), Step::Paused, GRANT],
        end: End::RefusedHere,
        dropped: &[],
    },
];

/// Applies a step to a harness in which the query `query` of the last caller waits.
fn apply(harness: &mut Harness, step: Step, request: &Request, query: u64) -> Vec<Action> {
    let known = view(&fixture());
    match step {
        Step::Reply(from, incarnation, response) => {
            let replies = vec![decision(query, incarnation, response)];
            harness.deliver(Event::ReservationReplies { from: from.into(), replies })
        }
        Step::Wait(millis) => harness.advance(millis),
        Step::Freeze(millis) => {
            harness.now = harness.now + Duration::from_millis(millis);
            Vec::new()
        }
        Step::Paused => harness.deliver(Event::Paused(Duration::from_secs(2))),
        Step::LinkDown(name) => harness.link_down(name),
        Step::Leave => harness.deliver(Event::CallerLeft(CallerId(2))),
        Step::Drain => harness.deliver(Event::Drain),
        Step::Cut => harness.deliver(Event::Cut),
        Step::HolderGone => harness.deliver(fixture_without_holder().view()),
        Step::RoutesGone => harness.deliver(Event::View(Arc::new(View { routing: None, ..known }))),
        Step::Quarantine => {
            let refused = [Fingerprint::of(request)].into_iter().collect();
            let quarantine = Arc::new(Quarantine { refused, ..Quarantine::default() });
            harness.deliver(Event::View(Arc::new(View { quarantine, ..known })))
        }
    }
}

/// Returns how a sweep ended, given all actions after its request.
fn end(machine: &Machine, own_delay_ms: u32, out: &[Action]) -> End {
    let sent = sent_work(out);
    let answers = answers(out);
    match (&answers[..], sent.is_empty(), machine.open()) {
        ([], false, 1) => {
            assert!(sent.iter().all(|(_, work)| work.admitted_permille == 1000), "{sent:?}");
            let portions = sent.iter().map(|(_, work)| work.portions.len());
            assert_eq!(portions.sum::<usize>(), 6);
            End::Started
        }
        ([], true, 0) => End::Left,
        ([], true, 1) => End::Waiting,
        ([answer], true, 0) => {
            assert_eq!(answer.verdict(), Verdict::NotRun);
            match (answer.reason(), answer.retry_after_ms) {
                (Reason::SweepLimit, ADVISED_MS) => End::RefusedByHolder,
                (Reason::SweepLimit, delay) if delay == own_delay_ms => End::RefusedHere,
                (reason, _) => End::RefusedAs(reason),
            }
        }
        state => panic!("{state:?}"),
    }
}

/// Returns the delay that this instance advises without a reply of the holder.
fn own_delay_ms(request: &Request) -> u32 {
    let mut harness = harness_at(&fixture(), 50, 1);
    harness.call(request.clone());
    only_answer(&harness.advance(5)).retry_after_ms
}

/// Guards against sweeps that hang, run twice or are refused with a wrong verdict because of their
/// holder: it is lost, silent or late, replies to an earlier incarnation, or the caller, the view or
/// this instance changes during the wait.
#[test]
fn sweep_that_waits_for_its_holder_starts_or_is_refused_as_not_run() {
    for Case { description, steps, end: expected, dropped } in CASES {
        // A share of 1 permille admits nothing on arrival.
        let mut harness = harness_at(&fixture(), 50, 1);
        let request = sweep_held_by(HOLDER, 0);
        let mut out = harness.call(request.clone());
        let requests = reservation_requests(&out);
        let [(to, reservation_request)] = &requests[..] else {
            panic!("{description}: one request: {requests:?}");
        };
        assert_eq!(**to, *HOLDER, "{description}");
        assert_eq!(harness.machine.open(), 1, "{description}: a pending sweep is open");
        for step in *steps {
            out.extend(apply(&mut harness, *step, &request, reservation_request.query));
        }
        let end = end(&harness.machine, own_delay_ms(&request), &out);
        assert_eq!(end, *expected, "{description}: {out:?}");
        for reason in [Reason::StaleAnswer, Reason::WrongAnswer] {
            let count = out.iter().filter(|action| **action == drop_count(reason)).count();
            let expected = dropped.iter().filter(|dropped| **dropped == reason).count();
            assert_eq!(count, expected, "{description}: dropped as {reason:?}");
        }
    }
}

fn reservation_events(actions: &[Action]) -> Vec<reservation::Event> {
    let events = actions.iter().filter_map(|action| match action {
        Action::Reservation(event) => Some(*event),
        _ => None,
    });
    events.collect()
}

/// Builds the request of another instance for its query `query`; its share gives every request a
/// reservation.
fn reservation_request(query: u64, fingerprint: u128) -> ReservationRequest {
    ReservationRequest {
        query,
        fingerprint: Fingerprint(fingerprint).bytes().into(),
        max_wait_ms: 300,
        share_permille: 1000,
        target_ms: 100,
    }
}

fn request_reservations(harness: &mut Harness, requests: Vec<ReservationRequest>) -> Vec<Action> {
    harness.deliver(Event::ReservationRequests { from: peer(HOLDER), incarnation: 9, requests })
}

/// Guards against returning callers that the holder does not recognise, or that it takes for each
/// other: two callers send equal requests, and both are refused and return.
#[test]
fn holder_grants_each_equal_request_once() {
    let mut harness = Harness::with(settings(50));
    let requests = vec![reservation_request(1, 5), reservation_request(2, 5)];
    let out = request_reservations(&mut harness, requests);
    let replies = reservation_replies(&out);
    assert_eq!(reservation_events(&out), [reservation::Event::Made; 2]);
    assert_eq!(harness.machine.reservations(), 2);
    for (reply, query) in replies.iter().zip([1, 2]) {
        assert_eq!((reply.query, reply.incarnation), (query, 9));
        assert!(reply.reserved && !reply.granted);
        assert!((100..=300).contains(&reply.retry_after_ms), "{reply:?}");
    }
    let latest = replies.iter().map(|reply| reply.retry_after_ms).max().unwrap_or_default();
    let earliest = replies.iter().map(|reply| reply.retry_after_ms).min().unwrap_or_default();
    harness.advance(earliest.into());
    let first = request_reservations(&mut harness, vec![reservation_request(3, 5)]);
    assert!(reservation_replies(&first)[0].granted);
    harness.advance(u64::from(latest - earliest));
    let second = request_reservations(&mut harness, vec![reservation_request(4, 5)]);
    assert!(reservation_replies(&second)[0].granted);
    let third = request_reservations(&mut harness, vec![reservation_request(5, 5)]);
    assert!(!reservation_replies(&third)[0].granted);
}

/// Guards against reservations that are never forgotten, and against a count of them that does not
/// show that callers do not return.
#[test]
fn unused_reservation_expires_and_is_counted() {
    let mut harness = Harness::with(settings(50));
    let out = request_reservations(&mut harness, vec![reservation_request(1, 5)]);
    let retry_after = u64::from(reservation_replies(&out)[0].retry_after_ms);
    harness.now = harness.now + Duration::from_millis(retry_after + 99);
    assert_eq!(reservation_events(&harness.deliver(Event::Tick)), []);
    harness.now = harness.now + Duration::from_millis(2);
    let out = harness.deliver(Event::Tick);
    assert_eq!(reservation_events(&out), [reservation::Event::Expired]);
    assert_eq!(harness.machine.reservations(), 0);
}

/// Guards against a panic or a wrong reservation because of a request without a fingerprint.
#[test]
fn malformed_reservation_request_is_dropped() {
    let mut harness = Harness::with(settings(50));
    let request =
        ReservationRequest { fingerprint: vec![1, 2].into(), ..reservation_request(1, 5) };
    let out = request_reservations(&mut harness, vec![request]);
    assert_eq!(out, [drop_count(Reason::PeerMalformed)]);
}

/// Guards against callers that return at the advised time and are refused again because the
/// instance that they reach is itself the holder.
#[test]
fn holder_admits_its_own_returning_sweeps() {
    let mut harness = harness_at(&fixture_without_holder(), 50, 900);
    let mut returning: Vec<(u64, Request)> = Vec::new();
    for number in 0..40 {
        let request = message(&format!("k{number}"), "/docks/all", number);
        let out = harness.call(request.clone());
        assert_eq!(reservation_requests(&out), [], "no message to itself");
        if reservation_events(&out).contains(&reservation::Event::Made) {
            let answer = only_answer(&out);
            assert_eq!((answer.verdict(), answer.reason()), (Verdict::NotRun, Reason::SweepLimit));
            returning.push((answer.retry_after_ms.into(), request));
        }
    }
    assert!(returning.len() > 10, "{} reservations", returning.len());
    returning.sort_by_key(|(retry_after, _)| *retry_after);
    let start = harness.now;
    let mut claimed = 0;
    for (retry_after, request) in returning {
        let at = start + Duration::from_millis(retry_after);
        harness.advance(at.since(harness.now).as_millis() as u64);
        let out = harness.call(request);
        assert!(!sent_work(&out).is_empty(), "a returning caller is admitted: {out:?}");
        claimed += reservation_events(&out).len();
    }
    assert!(claimed > 0, "some of them by a reservation");
}

/// Guards against a reservation that outlives the view in which it was made: its holder leaves, so
/// that the returning sweep has another holder, which has to decide without it.
#[test]
fn reservation_at_a_holder_that_left_is_lost() {
    let mut harness = harness_at(&fixture(), 50, 1);
    let request = sweep_held_by(HOLDER, 0);
    let asked = reservation_requests(&harness.call(request.clone()));
    let query = asked[0].1.query;
    let reserved = decision(query, INCARNATION, Decision::Reserved);
    let reply = Event::ReservationReplies { from: HOLDER.into(), replies: vec![reserved] };
    assert_eq!(only_answer(&harness.deliver(reply)).retry_after_ms, ADVISED_MS);
    harness.deliver(fixture_without_holder().view());
    harness.advance(ADVISED_MS.into());
    let out = harness.call(request);
    assert_eq!(reservation_requests(&out), []);
    assert_eq!(only_answer(&out).reason(), Reason::SweepLimit);
}

/// A setting with a share that can be served, and what becomes of new sweeps.
struct Admission {
    reserved_percent: u32,
    share_permille: u32,
    /// Least and most admitted sweeps of 400.
    admitted: (usize, usize),
    /// Whether those that are not admitted ask for a reservation.
    asks: bool,
}

/// Guards against reservations in addition to what the servers can serve, against messages while
/// nothing is refused, and against any effect without the setting. If too few services have a
/// usable server, no reservation helps and the sweep is refused at once.
#[test]
fn reserved_share_is_not_for_new_sweeps() {
    let admission = |reserved_percent, share_permille, admitted, asks| Admission {
        reserved_percent,
        share_permille,
        admitted,
        asks,
    };
    let cases = [
        admission(0, 1000, (400, 400), false),
        admission(50, 1000, (400, 400), false),
        admission(0, 500, (160, 240), false),
        admission(50, 500, (60, 140), true),
        admission(20, 500, (120, 200), true),
        admission(50, 0, (0, 0), false),
    ];
    for Admission { reserved_percent, share_permille, admitted, asks } in cases {
        let mut harness = harness_at(&fixture(), reserved_percent, share_permille);
        let (mut started, mut asked) = (0, 0);
        for number in 0..400 {
            let request = message(&format!("k{number}"), "/docks/all", number);
            let out = harness.call(request);
            let sent = sent_work(&out);
            started += usize::from(!sent.is_empty());
            let counted =
                Share::from_permille(share_permille).unreserved_permille(reserved_percent);
            assert!(sent.iter().all(|(_, work)| work.admitted_permille == counted), "{sent:?}");
            let events = reservation_events(&out).len();
            asked += reservation_requests(&out).len() + events.min(1);
        }
        let case = format!("{reserved_percent}% of {share_permille}");
        assert!((admitted.0..=admitted.1).contains(&started), "{case}: {started}");
        let expected = if asks { 400 - started } else { 0 };
        assert_eq!(asked, expected, "{case}");
    }
}

/// Guards against memory that grows with sweeps that wait: they count as open requests, of which an
/// instance has a limited number.
#[test]
fn pending_sweeps_count_as_open_requests() {
    let mut harness = harness_at(&fixture(), 50, 1);
    let request = sweep_held_by(HOLDER, 0);
    for number in 0..10_000 {
        let out = harness.call(Request { key: format!("k{number}"), ..request.clone() });
        assert_eq!(reservation_requests(&out).len(), 1, "request {number}");
    }
    assert_eq!(harness.machine.open(), 10_000);
    let out = harness.call(request);
    assert_eq!(only_answer(&out).reason(), Reason::QueueFull);
    harness.advance(5);
    assert_eq!(harness.machine.open(), 0);
}
