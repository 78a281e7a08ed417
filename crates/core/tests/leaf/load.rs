//! Load that follows from faults: half of a service's servers are slow or gone, and the rest is asked
//! for a little more than it can do.
//!
//! The figures are those of a deployment whose parts have two servers of two slots each: sweeps of
//! 28 ms with a target of 200 ms and of 9 ms with one of 80 ms. With one server of two left, 74 and 24 of
//! them a second are 2.3 slots of work for 2 slots.

use std::collections::BTreeMap;
use std::time::Duration;

use ladder_core::leaf::Settings;
use ladder_core::leaf::event::{Action, Event, Outcome};
use ladder_core::schema::call::Message;
use ladder_core::schema::catalogue::Limits;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::target;
use ladder_core::schema::wire;
use ladder_core::time::Instant;
use ladder_core::view::{Server, Service};

use crate::bed::{Bed, Sent, limited, peer, server, service, settings, view, work};

/// A kind of sweep.
#[derive(Clone, Copy)]
struct Sweep {
    kind: u64,
    work_ms: u64,
    timely_ms: u64,
}

const LARGE: Sweep = Sweep { kind: 1, work_ms: 28, timely_ms: 170 };
const SMALL: Sweep = Sweep { kind: 2, work_ms: 9, timely_ms: 65 };

impl Sweep {
    fn work(self, query: u64) -> wire::Work {
        let forward = wire::Forward {
            message: Some(Message::default()),
            attempts: 2,
            part: true,
            target_ms: u32::try_from(self.timely_ms).expect("few"),
            timely_us: self.timely_ms * 1000,
            kind: self.kind,
            ..wire::Forward::default()
        };
        let budget_us = 3_000_000;
        wire::Work { forward: Some(Box::new(forward)), budget_us, ..work(query, "sweep") }
    }
}

fn bed() -> Bed {
    let limits = Limits { queue: 1000, extra_percent: 20, ..Limits::default() };
    Bed::with(settings(), limited(limits, vec![server(1), server(2)]))
}

/// A call under way, when it ends, and what of.
struct Running {
    due: Instant,
    sent: Sent,
}

/// Work given to a bed whose servers take as long as told.
struct Drive {
    bed: Bed,
    /// Times the usual work that each server takes, by address.
    pace: fn(&str) -> u64,
    running: Vec<Running>,
    arrived: BTreeMap<String, (Sweep, Instant)>,
    /// Answered by the time that it had, by kind.
    timely: BTreeMap<u64, u64>,
}

impl Drive {
    fn new(pace: fn(&str) -> u64) -> Self {
        let (running, arrived, timely) = Default::default();
        Self { bed: bed(), pace, running, arrived, timely }
    }

    fn take_sent(&mut self) {
        for sent in self.bed.sent() {
            let (sweep, _) = self.arrived[&sent.request.key];
            let work = Duration::from_millis(sweep.work_ms * (self.pace)(&sent.address));
            self.running.push(Running { due: self.bed.now + work, sent });
        }
        self.bed.log.clear();
    }

    fn arrive(&mut self, query: u64, sweep: Sweep) {
        let work = sweep.work(query);
        self.arrived.insert(work.key.clone(), (sweep, self.bed.now));
        self.bed.work(work);
        self.take_sent();
    }

    /// Lets a millisecond pass.
    fn step(&mut self) {
        self.bed.advance(1);
        self.take_sent();
        let now = self.bed.now;
        let done: Vec<Running> = self.running.extract_if(.., |call| call.due <= now).collect();
        for call in done {
            let (sweep, since) = self.arrived[&call.sent.request.key];
            let first = now.since(since) <= Duration::from_millis(sweep.timely_ms);
            self.bed.answer(&call.sent);
            let answered = self.bed.replies().contains(&(Verdict::Ran, Reason::Unspecified));
            *self.timely.entry(sweep.kind).or_default() += u64::from(first && answered);
            self.take_sent();
        }
    }
}

/// Parts of sweeps a second for eight seconds: large ones and a third as many small ones.
fn drive(large: u64, pace: fn(&str) -> u64) -> (f64, f64) {
    let mut drive = Drive::new(pace);
    let mut query = 0;
    let mut given = [0_u64; 2];
    for millis in 0..8000_u64 {
        let due = |rate: u64| (millis + 1) * rate / 1000 - millis * rate / 1000;
        for (at, sweep, rate) in [(0, LARGE, large), (1, SMALL, large / 3)] {
            for _ in 0..due(rate) {
                query += 1;
                given[at] += 1;
                drive.arrive(query, sweep);
            }
        }
        drive.step();
    }
    let share = |at: usize, kind: u64| {
        drive.timely.get(&kind).copied().unwrap_or(0) as f64 / given[at] as f64
    };
    (share(0, LARGE.kind), share(1, SMALL.kind))
}

/// One server of two takes eleven times as long, and more is asked than the other one can do. In order
/// of arrival everything waited a little too long: of eight seconds hardly any part was in time, and
/// small sweeps waited behind large ones. What can't be in time any more goes last, so that the rest
/// is; goodput falls by the excess and not to nothing.
#[test]
fn goodput_holds_in_overload() {
    struct Case {
        name: &'static str,
        large: u64,
        pace: fn(&str) -> u64,
        /// Least part of the large and of the small sweeps that is in time.
        least: (f64, f64),
    }
    let even = |_: &str| 1;
    let slow = |address: &str| if address == "10.0.0.1:80" { 11 } else { 1 };
    let cases = [
        Case { name: "half of the slots", large: 62, pace: even, least: (0.99, 0.99) },
        Case { name: "all but a tenth", large: 112, pace: even, least: (0.98, 0.98) },
        Case { name: "a slow server", large: 56, pace: slow, least: (0.9, 0.9) },
        Case { name: "a tenth too much", large: 74, pace: slow, least: (0.6, 0.6) },
        Case { name: "twice too much", large: 250, pace: even, least: (0.3, 0.3) },
    ];
    for case in cases {
        let (large, small) = drive(case.large, case.pace);
        assert!(large >= case.least.0, "{}: large {large:.3}", case.name);
        assert!(small >= case.least.1, "{}: small {small:.3}", case.name);
    }
}

/// Nobody publishes the instances, and each of them holds few connections of a server. Opened ahead,
/// those of nine instances held the slots of every server for a tenth of a second after all had been
/// lost at once.
#[test]
fn connections_by_need() {
    let settings = Settings::builder("porto-1", 7).seed(1).by_need(true).build();
    let mut bed = Bed::with(settings, service(vec![server(1), server(2)]));
    assert_eq!(bed.opened.len(), 2, "one each, ahead");
    for query in 0..8 {
        bed.work(work(query, "sweep"));
    }
    bed.connect();
    assert_eq!(bed.opened.len(), 8, "slots and spare, by need");
    let calls = bed.sent();
    bed.answer_all(calls);
    bed.each_sent(Bed::answer);
    for _ in 0..12 {
        bed.advance(1000);
    }
    assert_eq!(bed.opened.len(), 2, "and no longer than that");
}

/// With as many calls as it has slots, each slot of a server stands idle for the way there and back
/// after every call: a tenth of what it can do with calls of ten milliseconds, and in overload a tenth
/// of the sweeps. While work waits, a server that moves on holds one call more; one that stands still
/// doesn't, as the call would wait with the others.
#[test]
fn one_call_more_while_work_waits() {
    let settings = Settings::builder("porto-1", 7).seed(1).by_need(true).hedging(false).build();
    let mut bed = Bed::with(settings, service(vec![server(1)]));
    bed.teach(100, 10);
    for query in 1000..1006 {
        bed.work(work(query, "sweep"));
    }
    bed.connect();
    let calls = bed.sent();
    assert_eq!(calls.len(), 3, "two slots and one more");
    bed.advance(11);
    bed.log.clear();
    bed.answer(&calls[0]);
    assert_eq!(bed.sent().len(), 0, "the oldest call is older than calls are: no more than slots");
    bed.answer(&calls[1]);
    assert_eq!(bed.sent().len(), 1, "but the slots are used");
}

/// Peers that collect fall silent, and the parts that they held are sent to another instance. Each is
/// one call more at a server that may have it already; taken for first calls they earned extra calls
/// instead of costing them, and a service got 256 extra arrivals of 241 that it may have.
#[test]
fn work_sent_again_is_paid_for() {
    let limits =
        Limits { queue: 1000, extra_percent: 20, count_refused: true, ..Limits::default() };
    let mut bed = Bed::with(settings(), limited(limits, vec![server(1), server(2)]));
    let mut give = |queries: std::ops::Range<u64>, repeated: bool| {
        bed.log.clear();
        for query in queries {
            let mut work = LARGE.work(query);
            work.portions[0].repeated = repeated;
            // Refused by a peer before it went to any server, it counts as a first call.
            work.extra_calls = 1;
            bed.work(work);
            bed.advance(10);
            let calls = bed.sent();
            calls.last().into_iter().for_each(|sent| bed.answer(sent));
        }
        let refused = (Verdict::NotRun, Reason::RetryBudget);
        let refused = bed.replies().iter().filter(|reply| **reply == refused).count();
        (bed.machine.status(bed.now)[0].budget, refused)
    };
    assert_eq!(give(0..50, false), (10, 0), "first calls earn a fifth each, ten at most");
    assert_eq!(give(50..54, true), (6, 0), "calls made again cost one each");
    assert_eq!(give(54..66, true), (0, 6), "and are not made beyond that");
    assert_eq!(give(66..76, false), (2, 0));
}

/// A server starts again under its name. Its old process had lost its power, so nothing on the old
/// connections ever says that it is gone: calls waited there to their deadline, and a late entry of
/// the old start must not bring back what was known of it.
#[test]
fn restarted_server_is_another_one() {
    let born = |incarnation| Server { incarnation, ..server(1) };
    let mut bed = Bed::with(settings(), service(vec![born(5)]));
    let sweep = bed.ask(1, "sweep");
    let book = bed.ask(2, "book");
    bed.log.clear();
    bed.handle(view(service(vec![born(6)])));
    assert_eq!(bed.replies(), [(Verdict::MayHaveRun, Reason::TargetLost)], "the booking");
    bed.connect();
    let again = bed.sent();
    assert_eq!(again.len(), 1, "the sweep goes out again: {again:?}");
    assert_ne!(again[0].lane, sweep.lane);
    bed.log.clear();
    bed.handle(view(service(vec![Server { leaving: true, ..born(5) }])));
    bed.end(again[0].attempt, again[0].answer());
    assert_eq!(bed.replies(), [(Verdict::Ran, Reason::Unspecified)]);
    let after = bed.ask(3, "sweep");
    assert!(!after.request.key.is_empty(), "the old start's leaving says nothing of the new one");
    let late = Outcome::Answer(crate::bed::answer(&book.request, str::to_owned));
    bed.log.clear();
    bed.end(book.attempt, late);
    assert!(bed.replies().is_empty(), "nothing of the old process counts any more");
}

/// Sweeps over 90 shards ended at their target with one or two parts missing: a server stood still for a
/// moment and its call got no second copy. By the lines of those calls their asker had two extra calls
/// left, the part of one of sixty instances, and two are kept for retries: it could never send a copy,
/// though it made all calls of the service. Who asks for all has the part of one of few.
#[test]
fn asker_of_many_affords_second_copies() {
    struct Case {
        scarce: bool,
        /// Who hands the work over.
        from: &'static str,
        calls: usize,
    }
    let cases = [
        Case { scarce: true, from: "porto-2", calls: 2 },
        Case { scarce: true, from: "porto-1", calls: 1 },
        Case { scarce: false, from: "porto-2", calls: 1 },
    ];
    for Case { scarce, from, calls } in cases {
        let limits = Limits {
            queue: 1000,
            extra_percent: 20,
            count_refused: true,
            extra_burst: 166,
            extra_window_ms: 10_000,
            ..Limits::default()
        };
        let listed = limited(limits, vec![server(1), server(2)]);
        let mut bed = Bed::with(settings(), Service { sharers: 60, scarce, ..listed });
        let give = |bed: &mut Bed, query: u64| {
            let work = LARGE.work(query);
            bed.handle(Event::Work { from: peer(from), incarnation: 9, work });
        };
        for query in 0..60 {
            bed.log.clear();
            give(&mut bed, query);
            bed.advance(10);
            let sent = bed.sent();
            bed.answer(&sent[0]);
        }
        bed.log.clear();
        give(&mut bed, 100);
        bed.advance(100);
        assert_eq!(bed.sent().len(), calls, "scarce {scarce}, from {from}");
    }
}

/// An instance hands its parts to the one that asks for all; that one is lost, again and again. What
/// it takes back must be paid for, but it makes no first calls that would earn it: with what it
/// started with it stood two losses, and refused the parts of every later one.
#[test]
fn paying_comes_back_with_time() {
    struct Case {
        sharers: u32,
        window_ms: u32,
        /// Parts of the second loss that are paid for, of four.
        paid: usize,
    }
    let cases = [
        Case { sharers: 9, window_ms: 10_000, paid: 1 },
        Case { sharers: 3, window_ms: 10_000, paid: 3 },
        Case { sharers: 9, window_ms: 0, paid: 0 },
    ];
    for Case { sharers, window_ms, paid } in cases {
        let limits = Limits {
            queue: 1000,
            extra_percent: 20,
            count_refused: true,
            extra_burst: 58,
            extra_window_ms: window_ms,
            ..Limits::default()
        };
        let listed = limited(limits, vec![server(1), server(2)]);
        let mut bed = Bed::with(settings(), Service { sharers, ..listed });
        let lose = |bed: &mut Bed, queries: std::ops::Range<u64>| {
            bed.log.clear();
            for query in queries {
                let mut work = LARGE.work(query);
                work.portions[0].repeated = true;
                bed.work(work);
                bed.advance(10);
                let calls = bed.sent();
                calls.last().into_iter().for_each(|sent| bed.answer(sent));
            }
            let refused = (Verdict::NotRun, Reason::RetryBudget);
            bed.replies().iter().filter(|reply| **reply == refused).count()
        };
        assert!(lose(&mut bed, 0..4) <= 2, "{sharers}: two are paid for from the start");
        bed.advance(10_000);
        assert_eq!(4 - lose(&mut bed, 4..8), paid, "{sharers} in {window_ms} ms");
    }
}

/// All servers are busy, so every call is slow, and each slow call was copied: the copies took the
/// slots that other calls waited for. A copy helps where one server stands still and another is free;
/// without any copies a fleet that is hardly busy loses more than a busy one gains.
#[test]
fn no_copies_where_servers_are_busy() {
    struct Case {
        /// Work that each answer says its server holds besides it, over two slots.
        waiting: u32,
        copied: bool,
    }
    let cases = [
        Case { waiting: 0, copied: true },
        Case { waiting: 1, copied: true },
        Case { waiting: 2, copied: false },
        Case { waiting: 12, copied: false },
    ];
    for Case { waiting, copied } in cases {
        let mut bed = bed();
        let answered = |bed: &mut Bed, sent: &Sent| {
            let occupancy = target::Occupancy { running: 1, waiting, slots: 2 };
            match sent.answer() {
                Outcome::Answer(answer) => {
                    let answer = target::Answer { occupancy: Some(occupancy), ..answer };
                    bed.end(sent.attempt, Outcome::Answer(answer));
                }
                _ => panic!("an answer"),
            }
        };
        for query in 0..60 {
            bed.log.clear();
            bed.work(LARGE.work(query));
            bed.advance(28);
            let sent = bed.sent().remove(0);
            answered(&mut bed, &sent);
        }
        bed.log.clear();
        bed.work(LARGE.work(100));
        bed.advance(100);
        assert_eq!(bed.sent().len(), 1 + usize::from(copied), "{waiting} of 2 slots");
    }
}

/// After a start a busy server is known as one by its first answers: with a mean that begins at nothing
/// some twenty answers were needed, and until then every instance asked every server for itself.
#[test]
fn load_is_known_from_the_first_answers() {
    let mut bed = bed();
    bed.work(LARGE.work(1));
    let sent = bed.sent().remove(0);
    let occupancy = target::Occupancy { running: 2, waiting: 1, slots: 2 };
    let Outcome::Answer(answer) = sent.answer() else { panic!("an answer") };
    bed.log.clear();
    bed.end(sent.attempt, Outcome::Answer(target::Answer { occupancy: Some(occupancy), ..answer }));
    let told = bed.log.iter().find_map(|action| match action {
        Action::Reply { reply, .. } => Some(reply.busy_permille),
        _ => None,
    });
    assert_eq!(told, Some(1000), "two calls besides it in two slots");
}
