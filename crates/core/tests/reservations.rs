//! Tests of the reservations that a holder keeps for callers that retry.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ladder_core::admission::decision::{self, Service, Sweep};
use ladder_core::admission::holder::Holders;
use ladder_core::admission::reservation::{Book, CAPACITY, Event, Request, Response};
use ladder_core::admission::{self, Capacity, Class, Decision, Share};
use ladder_core::control::hash::Random;
use ladder_core::fingerprint::Fingerprint;
use ladder_core::time::Instant;
use ladder_core::view::{Neighbour, Peer};

/// Latency objective of the sweeps.
const TARGET: Duration = Duration::from_millis(200);
/// Longest wait of the callers.
const MAX_WAIT: Duration = Duration::from_millis(800);
/// Percentage at which a share of 1000 gives every request a reservation.
const ALL: u32 = 50;

fn start() -> Instant {
    Instant::from_millis(10_000)
}

fn request(fingerprint: u128) -> Request {
    Request {
        fingerprint: Fingerprint(fingerprint),
        max_wait: MAX_WAIT,
        share_permille: 1000,
        target: TARGET,
    }
}

/// A request for which no reservation can be made, because its caller can't wait.
fn last_request(fingerprint: u128) -> Request {
    Request { max_wait: Duration::ZERO, ..request(fingerprint) }
}

/// A return of a caller, relative to the time at which it was advised to retry.
struct Return {
    /// Position among the case's first requests.
    of: usize,
    fingerprint: u128,
    offset_ms: i64,
    is_granted: bool,
}

struct Case {
    description: &'static str,
    /// Fingerprints of the first requests, which all get a reservation.
    first: &'static [u128],
    returns: &'static [Return],
    expired: usize,
}

const fn ret(of: usize, fingerprint: u128, offset_ms: i64, is_granted: bool) -> Return {
    Return { of, fingerprint, offset_ms, is_granted }
}

const CASES: &[Case] = &[
    Case {
        description: "a caller that returns at its time is admitted, once",
        first: &[1],
        returns: &[ret(0, 1, 0, true), ret(0, 1, 1, false)],
        expired: 0,
    },
    Case {
        description: "a caller may return slightly early",
        first: &[1],
        returns: &[ret(0, 1, -25, true)],
        expired: 0,
    },
    Case {
        description: "a caller that returns long before its time is not admitted, but keeps its reservation",
        first: &[1],
        returns: &[ret(0, 1, -27, false), ret(0, 1, 0, true)],
        expired: 0,
    },
    Case {
        description: "a reservation is valid for one latency objective",
        first: &[1],
        returns: &[ret(0, 1, 199, true)],
        expired: 0,
    },
    Case {
        description: "a reservation that was not used in its time expires",
        first: &[1],
        returns: &[ret(0, 1, 201, false)],
        expired: 1,
    },
    Case {
        description: "a reservation serves only equal requests",
        first: &[1],
        returns: &[ret(0, 0, 0, false), ret(0, 2, 0, false), ret(0, 1, 0, true)],
        expired: 0,
    },
    Case {
        description: "callers with equal requests have a reservation each",
        first: &[1, 1],
        returns: &[ret(0, 1, 0, true), ret(1, 1, 0, true), ret(1, 1, 1, false)],
        expired: 0,
    },
];

/// Guards against callers that retry when they are told to and are refused again, and against
/// reservations that admit more sweeps than were reserved.
#[test]
fn reservation_admits_one_equal_request_in_its_time() {
    for Case { description, first, returns, expired } in CASES {
        let mut book = Book::new(ALL, 1 << 63);
        let mut due = Vec::new();
        for fingerprint in *first {
            let response = book.request(start(), &request(*fingerprint));
            assert!(matches!(response, Response::Reserved { .. }), "{description}: {response:?}");
            due.push(start() + response.retry_after());
        }
        let mut returns: Vec<_> = returns.iter().collect();
        let at = |ret: &Return| {
            let offset = Duration::from_millis(ret.offset_ms.unsigned_abs());
            if ret.offset_ms < 0 { due[ret.of] - offset } else { due[ret.of] + offset }
        };
        returns.sort_by_key(|ret| at(ret));
        let mut removed = 0;
        for ret in returns {
            removed += book.expire(at(ret));
            let response = book.request(at(ret), &last_request(ret.fingerprint));
            let is_granted = response == Response::Granted;
            assert_eq!(is_granted, ret.is_granted, "{description}: {response:?}");
        }
        assert_eq!(removed, *expired, "{description}");
    }
}

/// Guards against memory that grows with the overload: a book holds a bounded number of
/// reservations, and has room again when they expire.
#[test]
fn full_book_makes_no_reservation() {
    let mut book = Book::new(ALL, 0);
    let events = |book: &mut Book, now| {
        let responses = (0..5000).map(|number| book.request(now, &request(number)).event());
        let made = responses.filter(|event| *event == Event::Made);
        made.count()
    };
    assert_eq!(events(&mut book, start()), CAPACITY);
    assert_eq!(book.len(), CAPACITY);
    let later = start() + MAX_WAIT + TARGET;
    assert_eq!(book.expire(later), CAPACITY);
    assert!(book.is_empty());
    assert_eq!(events(&mut book, later), CAPACITY);
}

/// Guards against callers that are all told to retry at the same time, which makes the next
/// overload: the reservations of any second are spread over the whole range of waits.
#[test]
fn advised_times_are_spread_evenly() {
    for seed in [0, 1 << 40, u64::MAX] {
        let mut book = Book::new(ALL, seed);
        let mut by_tenth = [0; 10];
        for number in 0..100 {
            let delay = book.request(start(), &request(number)).retry_after();
            assert!((TARGET..=MAX_WAIT).contains(&delay), "{delay:?}");
            let tenth = (delay - TARGET).as_micros() * 10 / (MAX_WAIT - TARGET).as_micros();
            by_tenth[(tenth as usize).min(9)] += 1;
        }
        assert!(by_tenth.iter().all(|count| (9..=11).contains(count)), "{by_tenth:?}");
    }
}

/// A share that can be served, and how many of 1000 refused sweeps get a reservation.
struct Fraction {
    reserved_percent: u32,
    share_permille: u32,
    reserved: usize,
}

/// Guards against reservations that take more than their share of the servers, so that the sweeps
/// admitted on arrival and those with a reservation together overload them.
#[test]
fn reserved_fraction_follows_the_share() {
    let fraction = |reserved_percent, share_permille, reserved| Fraction {
        reserved_percent,
        share_permille,
        reserved,
    };
    let fractions = [
        fraction(0, 500, 0),
        fraction(30, 0, 0),
        // 0.15 of all sweeps over the 0.65 that are not admitted on arrival.
        fraction(30, 500, 230),
        fraction(50, 500, 333),
        fraction(30, 1000, 1000),
        fraction(30, 5000, 1000),
    ];
    for Fraction { reserved_percent, share_permille, reserved } in fractions {
        let mut book = Book::new(reserved_percent, 0);
        let made = (0..1000).filter(|number| {
            let request = Request { share_permille, ..request(*number) };
            book.request(start(), &request).event() == Event::Made
        });
        let made = made.count();
        assert!(made.abs_diff(reserved) <= 1, "{reserved_percent}% {share_permille}: {made}");
    }
}

/// A share that can be served, and what follows for the sweeps without a reservation.
struct OnArrival {
    reserved_percent: u32,
    share_permille: u32,
    /// Thousandths of all sweeps that are admitted on arrival.
    admitted: u32,
    /// Thousandths of the sweeps without a reservation that are admitted on arrival.
    counted: u32,
}

/// Guards against servers that are not fully used because a sweep with a reservation is counted for
/// itself and also among the sweeps for which the others stand, and against reservations while all
/// sweeps can be served.
#[test]
fn share_on_arrival_leaves_the_reserved_share() {
    let case = |reserved_percent, share_permille, admitted, counted| OnArrival {
        reserved_percent,
        share_permille,
        admitted,
        counted,
    };
    let cases = [
        case(0, 500, 500, 500),
        case(30, 1000, 1000, 1000),
        // 0.35 of all sweeps, of the 0.85 that have no reservation.
        case(30, 500, 350, 412),
        case(50, 999, 499, 997),
        case(50, 20, 10, 10),
        case(50, 1, 0, 1),
    ];
    for OnArrival { reserved_percent, share_permille, admitted, counted } in cases {
        let share = Share::from_permille(share_permille);
        let case = format!("{reserved_percent}% of {share_permille}");
        assert_eq!(share.without_reserved(reserved_percent).permille(), admitted, "{case}");
        assert_eq!(share.unreserved_permille(reserved_percent), counted, "{case}");
    }
}

/// A reservation as the property sees it: its fingerprint, and from when to when it is valid.
type Known = (Fingerprint, Instant, Instant);

#[test]
fn grants_never_exceed_reservations() {
    let steps = bolero::generator::produce::<Vec<[u8; 4]>>().with().len(0usize..200);
    ladder_property::check(1500).with_generator(steps).for_each(|steps: &Vec<[u8; 4]>| {
        let mut book = Book::new(ALL, 0);
        let mut now = start();
        let mut known: Vec<Known> = Vec::new();
        let mut allowed = 0.0;
        for [fingerprint, wait, share, gap] in steps {
            now = now + Duration::from_millis(u64::from(*gap) * 2);
            let before = known.len();
            known.retain(|(_, _, until)| *until > now);
            let expired = before - known.len();
            assert_eq!(book.expire(now), expired);
            allowed += expired as f64;
            let request = Request {
                fingerprint: Fingerprint((fingerprint % 3).into()),
                max_wait: Duration::from_millis(u64::from(*wait) * 4),
                share_permille: u32::from(*share) * 4,
                target: TARGET,
            };
            let reserved = f64::from(request.share_permille.min(1000)) / 2000.0;
            allowed += reserved / (1.0 - reserved);
            apply(&mut book, now, request, &mut known, &mut allowed);
            assert_eq!(book.len(), known.len());
            assert!(book.len() <= CAPACITY);
        }
    });
}

/// Makes a request and compares the response with the reservations that are known.
fn apply(
    book: &mut Book,
    now: Instant,
    request: Request,
    known: &mut Vec<Known>,
    allowed: &mut f64,
) {
    let is_due = |known: &Known| known.0 == request.fingerprint && known.1 <= now;
    match book.request(now, &request) {
        Response::Granted => {
            let due = known.iter().enumerate().filter(|(_, known)| is_due(known));
            let (first, _) = due.min_by_key(|(_, known)| known.1).expect("a reservation is due");
            known.remove(first);
        }
        Response::Reserved { retry_after } => {
            assert!(!known.iter().any(is_due), "a due reservation is used");
            assert!(retry_after <= request.max_wait);
            *allowed -= 1.0;
            assert!(*allowed > -1e-6, "more reservations than the share allows");
            let at = now + retry_after;
            known.push((request.fingerprint, at - request.target / 8, at + request.target));
        }
        Response::Refused { .. } => assert!(!known.iter().any(is_due)),
    }
}

/// Guards against callers that return to another instance of the zone, which looks for their
/// reservation at another holder.
///
/// Each instance knows itself and the others. Without one of them, only what it held changes.
#[test]
fn instances_of_a_zone_agree_on_the_holder() {
    let names = ["e1", "e2", "e3"];
    let neighbour = |name: &str, zone: &str| Neighbour {
        peer: Peer { name: name.into(), address: name.into() },
        zone: zone.into(),
        millicores: 0,
    };
    let holders = |own: &str, members: &[&str]| {
        let others = members.iter().filter(|name| **name != own);
        let mut neighbours: Vec<_> = others.map(|name| neighbour(name, "near")).collect();
        neighbours.push(neighbour("e9", "far"));
        let mut holders = Holders::new(own.into());
        holders.update("near", &neighbours);
        holders
    };
    let select = |own: &str, members: &[&str], fingerprint| {
        let selected = holders(own, members).select(Fingerprint(fingerprint)).cloned();
        selected.map_or_else(|| own.to_owned(), |peer| peer.name.to_string())
    };
    let mut held = [0; 3];
    for fingerprint in 0..300 {
        let selected = select("e1", &names, fingerprint);
        assert!(names.iter().all(|own| select(own, &names, fingerprint) == selected));
        if selected != "e3" {
            assert_eq!(select("e2", &["e1", "e2"], fingerprint), selected);
        }
        let position = names.iter().position(|name| *name == selected);
        held[position.expect("a member of the zone")] += 1;
    }
    assert!(held.iter().all(|held| (70..130).contains(held)), "{held:?}");
}

/// Urgency class of the sweeps.
const CLASS: Class = Class::ALL[1];
/// Slots of the servers.
const SLOTS: f64 = 2.0;
/// Time for which a sweep occupies a slot.
const WORK: Duration = Duration::from_millis(20);
/// Time from a sweep to its reply.
const REPLY_TIME: Duration = Duration::from_millis(50);
/// Sweeps per second that the servers can answer.
const CAPACITY_PER_SECOND: f64 = 100.0;
/// Seconds before the figures of a load are counted, and seconds in which they are counted.
const SECONDS: (u64, u64) = (5, 30);

/// Sweeps from callers that retry once, at the advised time.
struct Load {
    description: &'static str,
    reserved_percent: u32,
    /// Sweeps of new callers per second.
    new_per_second: f64,
    /// Percentage of the refused callers that return.
    returning_percent: u64,
    /// Least fraction of the returning callers that must be admitted.
    returning_admitted: f64,
}

/// Figures of a load in the counted seconds.
#[derive(Debug, Default)]
struct Outcome {
    offered: f64,
    admitted: f64,
    returning: f64,
    returning_admitted: f64,
    reserved: f64,
    reserved_admitted: f64,
    /// Admitted sweeps of the second with the most.
    most_in_a_second: f64,
}

/// A caller that returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Returning {
    at: Instant,
    number: u64,
    is_reserved: bool,
}

/// An entry instance, the sender to one service and the holder of the reservations.
struct Simulation {
    decision: Decision,
    capacity: Capacity,
    book: Book,
    random: Random,
    reserved_percent: u32,
    service: Arc<str>,
    /// Shares that the sender reported, with the times at which they arrive.
    reports: VecDeque<(Instant, Share)>,
}

impl Simulation {
    fn new(reserved_percent: u32) -> Self {
        Self {
            decision: Decision::default(),
            capacity: Capacity::default(),
            book: Book::new(reserved_percent, 0),
            random: Random::new(7),
            reserved_percent,
            service: "s1".into(),
            reports: VecDeque::new(),
        }
    }

    /// Offers a sweep; `None` if it is admitted.
    fn offer(&mut self, now: Instant, number: u64) -> Option<Response> {
        while let Some((_, share)) = self.reports.pop_front_if(|(at, _)| *at <= now) {
            self.decision.record_share(now, &self.service, CLASS, share);
        }
        let services = [Service { name: &self.service, usable: true }];
        let sweep = Sweep {
            class: CLASS,
            services: &services,
            floor: 1,
            draw: self.random.next(),
            target: TARGET,
            remaining: MAX_WAIT * 3,
        };
        let share = self.decision.limit(now, &sweep).share;
        let fresh = share.without_reserved(self.reserved_percent);
        if matches!(decision::decide_at(fresh, &sweep), decision::Outcome::Admit { .. }) {
            self.serve(now, share.unreserved_permille(self.reserved_percent));
            return None;
        }
        let request = Request { share_permille: share.permille(), ..request(number.into()) };
        let response = self.book.request(now, &request);
        if response == Response::Granted {
            self.serve(now, Share::ALL.permille());
            return None;
        }
        Some(response)
    }

    /// Counts an admitted sweep at the sender, whose reply reports the share.
    fn serve(&mut self, now: Instant, admitted_permille: u32) {
        let weight = admission::weight(admitted_permille);
        self.capacity.record_sweep(now, CLASS, weight, WORK);
        let share = self.capacity.shares(now, SLOTS)[CLASS.index()];
        self.reports.push_back((now + REPLY_TIME, share));
    }
}

fn simulate(load: &Load) -> Outcome {
    let mut simulation = Simulation::new(load.reserved_percent);
    let mut outcome = Outcome::default();
    let mut returning: BTreeSet<Returning> = BTreeSet::new();
    let mut by_second = vec![0.0; (SECONDS.0 + SECONDS.1 + 2) as usize];
    let gap = Duration::from_secs_f64(1.0 / load.new_per_second);
    let mut next_new = Instant::default();
    for number in 0.. {
        while let Some(caller) = returning.first().copied().filter(|caller| caller.at <= next_new) {
            returning.pop_first();
            let is_admitted = simulation.offer(caller.at, caller.number).is_none();
            if caller.at >= Instant::from_millis(SECONDS.0 * 1000) {
                outcome.offered += 1.0;
                outcome.returning += 1.0;
                outcome.returning_admitted += f64::from(u8::from(is_admitted));
                outcome.reserved += f64::from(u8::from(caller.is_reserved));
                outcome.reserved_admitted += f64::from(u8::from(is_admitted && caller.is_reserved));
            }
            by_second[caller.at.as_micros() as usize / 1_000_000] +=
                f64::from(u8::from(is_admitted));
        }
        let now = next_new;
        next_new = now + gap;
        if now >= Instant::from_millis((SECONDS.0 + SECONDS.1) * 1000) {
            break;
        }
        let response = simulation.offer(now, number);
        outcome.offered += f64::from(u8::from(now >= Instant::from_millis(SECONDS.0 * 1000)));
        match response {
            None => by_second[now.as_micros() as usize / 1_000_000] += 1.0,
            Some(_) if number % 100 >= load.returning_percent => {}
            Some(response) => {
                let is_reserved = matches!(response, Response::Reserved { .. });
                returning.insert(Returning {
                    at: now + response.retry_after(),
                    number,
                    is_reserved,
                });
            }
        }
    }
    let counted = &by_second[SECONDS.0 as usize..(SECONDS.0 + SECONDS.1) as usize];
    outcome.admitted = counted.iter().sum();
    outcome.most_in_a_second = counted.iter().copied().fold(0.0, f64::max);
    outcome
}

/// Guards against callers that retry when they are told to and are mostly refused again, and
/// against an overload by those that are admitted on arrival together with those that return.
///
/// Without reservations, a caller that returns at twice the capacity is admitted like any other,
/// in half of the cases. A caller with a reservation must always be admitted.
#[test]
fn returning_callers_are_admitted_within_the_capacity() {
    let loads = [
        Load {
            description: "no reservations",
            reserved_percent: 0,
            new_per_second: 133.0,
            returning_percent: 100,
            returning_admitted: 0.4,
        },
        Load {
            description: "new and returning sweeps together are twice the capacity",
            reserved_percent: 30,
            new_per_second: 121.0,
            returning_percent: 100,
            returning_admitted: 0.7,
        },
        Load {
            description: "new sweeps alone are twice the capacity",
            reserved_percent: 50,
            new_per_second: 200.0,
            returning_percent: 100,
            returning_admitted: 0.4,
        },
        Load {
            description: "half of the refused callers return",
            reserved_percent: 30,
            new_per_second: 150.0,
            returning_percent: 50,
            returning_admitted: 0.7,
        },
        Load {
            description: "no refused caller returns",
            reserved_percent: 30,
            new_per_second: 200.0,
            returning_percent: 0,
            returning_admitted: 0.0,
        },
    ];
    for load in loads {
        let outcome = simulate(&load);
        let admitted = outcome.returning_admitted / outcome.returning.max(1.0);
        assert!(admitted >= load.returning_admitted, "{}: {admitted}", load.description);
        let capacity = CAPACITY_PER_SECOND * SECONDS.1 as f64;
        assert!(outcome.admitted <= capacity * 1.03, "{}: {outcome:?}", load.description);
        let least = capacity * (0.97 - f64::from(load.reserved_percent) / 100.0);
        assert!(outcome.admitted >= least, "{}: {outcome:?}", load.description);
        let most = CAPACITY_PER_SECOND * 1.25;
        assert!(outcome.most_in_a_second <= most, "{}: {outcome:?}", load.description);
        assert_eq!(outcome.reserved, outcome.reserved_admitted, "{}", load.description);
    }
}
