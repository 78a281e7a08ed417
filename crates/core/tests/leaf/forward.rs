//! Messages that are forwarded: attempts, extra calls, failures passed on, calls given up.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ladder_core::eligible::Mark;
use ladder_core::leaf::event::Outcome;
use ladder_core::leaf::{Action, Event, Settings};
use ladder_core::schema::call::{Message, Part, Response};
use ladder_core::schema::catalogue::{Limits, Urgency};
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::{target, wire};
use ladder_core::view::{self, Server};

use crate::bed::{Bed, Sent, cancel, limited, server, settings, work};

/// How long a call that nobody waits for may go on.
const LINGER: Duration = Duration::from_millis(200);

fn lingering() -> Settings {
    Settings::builder("porto-1", 7).seed(1).linger(Some(LINGER)).build()
}

fn limits(extra_percent: u32, count_refused: bool) -> Limits {
    Limits { queue: 100, extra_percent, count_refused, ..Limits::default() }
}

/// Work that forwards a message to servers that need hold no index version.
fn forwarded(query: u64, operation: &str) -> wire::Work {
    let forward = wire::Forward {
        message: Some(Message { method: "GET".to_owned(), ..Message::default() }),
        urgency: Urgency::Elevated.into(),
        attempts: 2,
        part: operation == "sweep",
        target_ms: 100,
        timely_us: 0,
        kind: 0,
    };
    wire::Work { forward: Some(Box::new(forward)), version: 99, ..work(query, operation) }
}

/// A bed whose service allows the extra calls.
fn bed(settings: Settings, limits: Limits) -> Bed {
    Bed::with(settings, limited(limits, vec![server(1), server(2)]))
}

/// Hands over a message and gives its first call.
fn first(bed: &mut Bed, query: u64, operation: &str) -> Sent {
    bed.log.clear();
    bed.work(forwarded(query, operation));
    bed.sent().remove(0)
}

/// A server's response with this status.
fn response(sent: &Sent, status: u32) -> Outcome {
    let response = Response { status, body: Bytes::from_static(b"x"), ..Response::default() };
    let part = |shard: &String| Part {
        shard: shard.clone(),
        response: Some(response.clone()),
        ..Part::default()
    };
    let request = &sent.request;
    Outcome::Answer(target::Answer {
        id: request.id.clone(),
        index: request.index.clone(),
        version: request.version,
        parts: request.shards.iter().map(part).collect(),
        occupancy: None,
    })
}

/// How a first call ends and what follows.
struct Case {
    name: &'static str,
    operation: &'static str,
    status: u32,
    calls: usize,
    reply: Option<(Verdict, Reason)>,
}

/// A server answers a message with a failure of its own. What may be repeated goes to the other
/// server; what may not ran, and whoever asked gets the failure as it is. A part of a sweep counts
/// only if it is a success.
#[test]
fn failures_of_servers() {
    let ran = Some((Verdict::Ran, Reason::Unspecified));
    let cases = [
        Case { name: "part", operation: "sweep", status: 200, calls: 1, reply: ran },
        Case { name: "failed part", operation: "sweep", status: 500, calls: 2, reply: None },
        Case { name: "missing part", operation: "sweep", status: 404, calls: 2, reply: None },
        Case { name: "not found", operation: "check", status: 404, calls: 1, reply: ran },
        Case { name: "failed", operation: "check", status: 500, calls: 2, reply: None },
        Case { name: "failed once", operation: "book", status: 500, calls: 1, reply: ran },
    ];
    for case in cases {
        let mut bed = bed(settings(), limits(100, false));
        let sent = first(&mut bed, 1, case.operation);
        bed.end(sent.attempt, response(&sent, case.status));
        assert_eq!(bed.sent().len(), case.calls, "{}", case.name);
        assert_eq!(bed.replies().first().copied(), case.reply, "{}", case.name);
    }
}

/// A route allows two servers. Whatever fails, a third one is not asked, and a call that is proved
/// not to have run does not count.
#[test]
fn attempts_of_a_route() {
    for (refusals, calls) in [(0, 2), (1, 3)] {
        let mut bed = bed(settings(), limits(100, false));
        for query in 0..20 {
            let sent = first(&mut bed, query, "check");
            bed.end(sent.attempt, response(&sent, 200));
        }
        bed.log.clear();
        bed.work(forwarded(100, "check"));
        let mut refused = 0;
        let seen = bed.each_sent(|bed, sent| {
            if refused < refusals {
                refused += 1;
                bed.end(sent.attempt, sent.refusal(Reason::TargetShed, 1));
                bed.advance(20);
            } else {
                bed.end(sent.attempt, Outcome::Error);
            }
        });
        assert_eq!(seen, calls, "after {refusals} refusals");
    }
}

/// Which servers a part asks, and what follows when it has none.
struct Eligible {
    name: &'static str,
    named: &'static [u8],
    leaving: &'static [u8],
    asked: &'static [u8],
}

/// A part names the servers that it may run on, chosen by the instance that its sweep came to. An asker
/// whose own view holds others for as good, or one of the named for leaving, asks no third one; if it can
/// use none of them it refuses the part at once, so that other servers are named while there is time.
#[test]
fn only_the_servers_that_a_part_names_are_asked() {
    let cases = [
        Eligible { name: "two of three", named: &[1, 3], leaving: &[], asked: &[1, 3] },
        Eligible { name: "one leaves", named: &[1, 3], leaving: &[3], asked: &[1] },
        Eligible { name: "both leave", named: &[1, 3], leaving: &[1, 3], asked: &[] },
        Eligible { name: "one is not known here", named: &[2, 9], leaving: &[], asked: &[2] },
        Eligible { name: "none is known here", named: &[8, 9], leaving: &[], asked: &[] },
        Eligible { name: "none is named", named: &[], leaving: &[], asked: &[] },
    ];
    for Eligible { name, named, leaving, asked } in cases {
        let servers =
            (1..=3).map(|number| Server { leaving: leaving.contains(&number), ..server(number) });
        let mut bed = Bed::with(settings(), limited(limits(100, false), servers.collect()));
        let mut work = forwarded(1, "sweep");
        let mark = |number: &u8| Mark::of(&server(*number).name).0;
        let servers = named.iter().map(mark).collect();
        work.portions[0].eligible = Some(wire::Eligible { servers });
        bed.work(work);
        let mut seen = BTreeSet::new();
        bed.each_sent(|bed, sent| {
            seen.insert(Arc::clone(&sent.address));
            bed.end(sent.attempt, Outcome::Error);
        });
        let asked: BTreeSet<_> = asked.iter().map(|number| server(*number).address).collect();
        assert_eq!(seen, asked, "{name}");
        if asked.is_empty() {
            assert_eq!(bed.replies(), [(Verdict::NotRun, Reason::NoServer)], "{name}");
        }
    }
}

/// Operators count a call that a server refused like any other. Sent again without being paid for,
/// the refusals of one overloaded server would break the bound that all instances share.
#[test]
fn refused_calls_are_paid_for() {
    for (count_refused, calls) in [(false, 2), (true, 1)] {
        let mut bed = bed(settings(), limits(0, count_refused));
        let sent = first(&mut bed, 1, "check");
        bed.end(sent.attempt, sent.refusal(Reason::TargetShed, 1));
        assert_eq!(bed.sent().len(), calls, "count_refused {count_refused}");
    }
}

/// A call on a connection that could not carry it never arrived: it costs no extra call.
#[test]
fn unsent_calls_are_free() {
    let mut bed = bed(settings(), limits(0, true));
    let sent = first(&mut bed, 1, "check");
    bed.end(sent.attempt, Outcome::Unsent);
    assert_eq!(bed.sent().len(), 2);
}

/// The fleet's extra calls are shared: after a quiet time an instance of ten has saved up a tenth of
/// them, and all ten together no more than one alone may.
#[test]
fn saved_calls_are_the_fleets() {
    for (sharers, saved) in [(1, 40), (10, 4)] {
        let limits = Limits { extra_burst: 40, ..limits(10, true) };
        let service = view::Service { sharers, ..limited(limits, vec![server(1), server(2)]) };
        let mut bed = Bed::with(settings(), service);
        for query in 0..500 {
            let sent = first(&mut bed, query, "check");
            bed.end(sent.attempt, response(&sent, 200));
        }
        let mut again = 0;
        for query in 1000..1100 {
            let sent = first(&mut bed, query, "check");
            bed.end(sent.attempt, sent.refusal(Reason::TargetShed, 1));
            for sent in bed.sent().split_off(1) {
                again += 1;
                bed.end(sent.attempt, response(&sent, 200));
            }
            bed.advance(100);
        }
        // A hundred first calls earn ten more.
        assert!((saved..=saved + 11).contains(&again), "{again} with {sharers}");
    }
}

/// A server stands still before any call time is learned. Without a second copy the first sweeps
/// after a start would all miss their target time.
#[test]
fn copy_before_call_times_are_learned() {
    let mut bed = bed(settings(), limits(100, true));
    for query in 0..5 {
        let sent = first(&mut bed, query, "sweep");
        bed.end(sent.attempt, response(&sent, 200));
    }
    first(&mut bed, 10, "sweep");
    bed.advance(29);
    assert_eq!(bed.sent().len(), 1);
    bed.advance(2);
    assert_eq!(bed.sent().len(), 2, "30% of the target has passed");
}

/// A caller has left while its message runs at a server that takes no cancellations. The server
/// would go on working for nobody; its connection is closed, but not before most calls would have
/// ended by themselves.
#[test]
fn unwanted_call_ends_with_its_connection() {
    let mut bed = bed(lingering(), limits(100, true));
    let sent = first(&mut bed, 1, "check");
    bed.handle(cancel(1));
    bed.advance(199);
    assert!(!bed.log.contains(&Action::Close(sent.lane)));
    bed.advance(2);
    assert!(bed.log.contains(&Action::Close(sent.lane)));
    let cancels = bed.log.iter().filter(|action| matches!(action, Action::Cancel { .. }));
    assert_eq!(cancels.count(), 0);
}

/// An unwanted call that ends in time keeps its connection.
#[test]
fn unwanted_call_that_ends_keeps_its_connection() {
    let mut bed = bed(lingering(), limits(100, true));
    let sent = first(&mut bed, 1, "check");
    bed.handle(cancel(1));
    bed.advance(50);
    bed.end(sent.attempt, response(&sent, 200));
    bed.advance(300);
    assert!(!bed.log.contains(&Action::Close(sent.lane)));
}

/// A server says in its response that it closes the connection. A message sent on it would be lost
/// and nobody could tell whether it ran.
#[test]
fn closing_connection_carries_no_other_call() {
    let mut bed = bed(settings(), limits(100, true));
    let sent = first(&mut bed, 1, "check");
    bed.handle(Event::Closed(sent.lane));
    bed.end(sent.attempt, response(&sent, 200));
    assert_eq!(bed.replies(), [(Verdict::Ran, Reason::Unspecified)]);
    for query in 2..30 {
        let next = first(&mut bed, query, "check");
        assert_ne!(next.lane, sent.lane);
        bed.end(next.attempt, response(&next, 200));
    }
}

/// One of two servers sheds most of its calls and answers the rest as fast as ever. Sent half of the
/// calls, it would eat up the extra calls of all; it gets few.
#[test]
fn shedding_server_gets_few_calls() {
    let mut bed = bed(settings(), limits(100, true));
    let mut shed = 0;
    for query in 0..300 {
        let sent = first(&mut bed, query, "check");
        bed.advance(10);
        let sheds = &*sent.address == "10.0.0.1:80" && query % 5 != 0;
        if sheds {
            shed += 1;
            bed.end(sent.attempt, sent.refusal(Reason::TargetShed, 1));
            for again in bed.sent().split_off(1) {
                bed.advance(10);
                bed.end(again.attempt, response(&again, 200));
            }
        } else {
            bed.end(sent.attempt, response(&sent, 200));
        }
    }
    assert!(shed < 60, "{shed} of 300 calls were shed");
}

/// Guards against an entry that goes on naming a server whose answers are lost.
#[test]
fn replies_name_servers_that_fail_while_others_do_not() {
    for (failing, named) in [(vec![1], vec![1]), (vec![], vec![]), (vec![1, 2], vec![])] {
        let mut bed = bed(lingering(), limits(100, false));
        let marks = |numbers: &[u8]| -> Vec<u32> {
            numbers.iter().map(|number| Mark::of(&format!("docks-{number}")).0).collect()
        };
        let mut told = Vec::new();
        for query in 0..40 {
            bed.log.clear();
            let mut work = forwarded(query, "sweep");
            let alone = query < 6 && !failing.is_empty();
            let eligible = if alone { marks(&failing) } else { marks(&[1, 2]) };
            work.portions[0].eligible = Some(wire::Eligible { servers: eligible });
            bed.work(work);
            let fails = |sent: &Sent| {
                let mut failing = failing.iter();
                failing.any(|number| *sent.address == *format!("10.0.0.{number}:80"))
            };
            bed.each_sent(|bed, sent| match fails(sent) {
                true => bed.end(sent.attempt, Outcome::Lost),
                false => bed.end(sent.attempt, response(sent, 200)),
            });
            bed.advance(60);
            bed.connect();
            told.extend(bed.log.iter().filter_map(|action| match action {
                Action::Reply { reply, .. } => Some(reply.avoid.clone()),
                _ => None,
            }));
        }
        let named = marks(&named);
        assert!(told.iter().all(|told| told.is_empty() || *told == named || failing.len() == 2));
        assert!(named.is_empty() || told.contains(&named), "{failing:?}: {told:?}");
    }
}
