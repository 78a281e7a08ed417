//! Requests that end the servers that run them: what instances together hold of them.
//!
//! The pattern: one request is at every server that ends; others happen to be beside it.

use std::time::Duration;

use bolero::TypeGenerator;
use ladder_core::collections::Set;
use ladder_core::control::Event;
use ladder_core::control::quarantine::{Incarnation, MEMORY, REQUESTS, Standing};
use ladder_core::control::settings::Timing;
use ladder_core::fingerprint::Fingerprint;
use ladder_core::view::Quarantine;

use crate::concert::fleet_of;
use ladder_core::time::Instant;

use crate::harness::Fleet;

/// From the third end until the request has to be refused everywhere.
const CONTACT: Duration = Duration::from_secs(4);

const POISON: Fingerprint = Fingerprint(1);
const BESIDE: Fingerprint = Fingerprint(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn name(number: usize) -> String {
    format!("entry-{number}")
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation { server: format!("docks-{number}").into(), number: 1 }
}

fn crashed(number: u64, requests: &[Fingerprint]) -> Event {
    Event::Crashed {
        incarnation: incarnation(number),
        at: Instant::default(),
        requests: requests.to_vec(),
    }
}

fn refuses(fleet: &Fleet, name: &str, request: Fingerprint) -> bool {
    fleet.nodes[name].machine.view().quarantine.refused.contains(&request)
}

fn refused_everywhere(fleet: &Fleet, request: Fingerprint) -> bool {
    fleet.nodes.keys().all(|name| refuses(fleet, name, request))
}

fn refused_nowhere(fleet: &Fleet, request: Fingerprint) -> bool {
    !fleet.nodes.keys().any(|name| refuses(fleet, name, request))
}

/// A fleet that has settled.
fn fleet(instances: usize) -> Fleet {
    let mut fleet = fleet_of(instances, 4, Timing { contact: CONTACT, ..Timing::default() });
    fleet.run(ms(2000));
    fleet
}

/// Ends three servers under the poison request, each seen by another instance.
fn end_three(fleet: &mut Fleet, seen_by: [usize; 3]) {
    for (number, at) in (0..).zip(seen_by) {
        fleet.give(&name(at), crashed(number, &[POISON]));
    }
}

/// Guards against a request that ends servers and comes again at instances that have not seen it.
#[test]
fn request_that_ended_three_servers_is_refused_at_all_instances() {
    for instances in [3, 9, 60] {
        for seen_by in [[0, 0, 0], [0, 1, 2]] {
            let mut fleet = fleet(instances);
            end_three(&mut fleet, seen_by);
            let what = format!("{instances} instances refuse what {seen_by:?} saw");
            fleet.until(&what, CONTACT, |fleet| refused_everywhere(fleet, POISON));
        }
    }
}

/// Guards against a poison request that comes to instances that were cut off or have just started.
#[test]
fn instances_that_start_or_return_learn_what_is_refused() {
    let mut fleet = fleet(9);
    fleet.island = [name(7), name(8)].into();
    end_three(&mut fleet, [0, 1, 2]);
    fleet.until("the others refuse it", CONTACT, |fleet| {
        (0..7).all(|at| refuses(fleet, &name(at), POISON))
    });
    assert!((7..9).all(|at| !refuses(&fleet, &name(at), POISON)), "the cut holds");
    fleet.island.clear();
    fleet.until("those that were cut off too", CONTACT, |fleet| refused_everywhere(fleet, POISON));
    for at in 0..8 {
        fleet.kill(&name(at), true);
    }
    fleet.seeds = vec![crate::publish::address(&name(8))];
    fleet.incarnation = 2;
    for at in 0..4 {
        fleet.start(&name(at), "trindade");
    }
    fleet.until("those that start learn it", CONTACT, |fleet| refused_everywhere(fleet, POISON));
}

/// What is said of some ends, and whether the poison request is refused then; the one beside it never is.
struct Case {
    name: &'static str,
    events: Vec<Event>,
    poison: bool,
}

fn alone(range: std::ops::Range<u64>) -> impl Iterator<Item = Event> {
    range.map(|number| crashed(number, &[POISON]))
}

fn together(range: std::ops::Range<u64>) -> impl Iterator<Item = Event> {
    range.map(|number| crashed(number, &[POISON, BESIDE]))
}

fn case(name: &'static str, events: impl IntoIterator<Item = Event>, poison: bool) -> Case {
    Case { name, events: events.into_iter().collect(), poison }
}

fn cases() -> Vec<Case> {
    let cleared = |request| [Event::Cleared(request)];
    vec![
        case("two servers only", alone(0..2), false),
        case("the same server seen by all", (0..5).flat_map(|_| alone(0..1)), false),
        case("both at each", together(0..9), false),
        case("both, and one is answered", together(0..9).chain(cleared(BESIDE)), true),
        case("three alone, others together", alone(0..3).chain(together(3..9)), true),
        case("the other is said to be there later", alone(0..2).chain(together(0..3)), false),
        case("answered before", cleared(POISON).into_iter().chain(alone(0..9)), false),
        case("answered after", alone(0..9).chain(cleared(POISON)), false),
        case("a server incarnations", alone(0..3).chain([Event::Refuted(incarnation(1))]), false),
    ]
}

/// Guards against refusing what was only beside a poison request.
#[test]
fn only_what_ended_servers_alone_is_refused() {
    for Case { name: case, events, poison } in cases() {
        let mut fleet = fleet(3);
        for (at, event) in events.into_iter().enumerate() {
            fleet.give(&name(at % 3), event);
            fleet.run(ms(20));
        }
        fleet.run(CONTACT);
        let expected = match poison {
            true => refused_everywhere(&fleet, POISON),
            false => refused_nowhere(&fleet, POISON),
        };
        assert!(expected, "{case}: the poison one");
        assert!(refused_nowhere(&fleet, BESIDE), "{case}: the one beside it");
    }
}

/// Guards against refusals that never end, and against such that end while the request keeps coming.
#[test]
fn refusals_end_when_nobody_asks_any_more() {
    let mut fleet = fleet(3);
    end_three(&mut fleet, [0, 1, 2]);
    for _ in 0..3 {
        fleet.run(MEMORY / 2);
        fleet.give(&name(1), Event::Asked(POISON));
        assert!(refuses(&fleet, &name(1), POISON), "while it is asked for");
    }
    fleet.run(MEMORY * 2);
    assert!(refused_nowhere(&fleet, POISON));
}

/// Guards against a flood of poison requests: unbounded tables, and peers that tell each other the same for ever.
#[test]
fn what_is_held_is_bounded() {
    let mut fleet = fleet(3);
    let sent = |fleet: &Fleet| fleet.nodes.values().map(|node| node.sent).sum::<usize>();
    let before = sent(&fleet);
    fleet.run(ms(5000));
    let quiet = sent(&fleet) - before;
    for request in 0..2 * REQUESTS as u64 {
        for number in 0..3 {
            let requests = [Fingerprint(u128::from(request) + 10)];
            fleet.give(&name(0), crashed(request * 3 + number, &requests));
        }
        fleet.run(ms(5));
    }
    fleet.run(ms(1000));
    let before = sent(&fleet);
    fleet.run(ms(5000));
    let told = sent(&fleet) - before;
    assert!(told <= 2 * quiet, "{told} frames in 5 s, {quiet} before");
    for node in fleet.nodes.values() {
        assert!(node.machine.quarantined().count() <= 2 * REQUESTS);
        assert!(node.machine.view().quarantine.ended.len() <= 64);
    }
}

/// Something that an instance sees. Numbers choose among what there is.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Seen {
    Crashed {
        server: u8,
        first: u8,
        second: u8,
    },
    Refuted {
        server: u8,
    },
    Cleared {
        request: u8,
    },
    Asked {
        request: u8,
    },
    /// Nobody hears this instance until the next one.
    Alone,
    Wait(u8),
}

fn request(number: u8) -> Fingerprint {
    Fingerprint(u128::from(number % 4))
}

/// Guards against instances that hold different requests refused, and against refusing answered ones.
#[test]
fn any_order_of_news_leads_to_the_same_quarantine() {
    ladder_property::check(60)
        .with_generator(bolero::produce::<Vec<(u8, Seen)>>().with().len(0_usize..=40))
        .for_each(|seen| {
            let mut fleet = fleet(3);
            let mut cleared: Set<Fingerprint> = Set::default();
            for (at, seen) in seen {
                let at = name(usize::from(at % 3));
                let event = match *seen {
                    Seen::Crashed { server, first, second } => {
                        let requests = [request(first), request(second)];
                        let incarnation = incarnation(u64::from(server % 8));
                        Event::Crashed { incarnation, at: fleet.now, requests: requests.to_vec() }
                    }
                    Seen::Refuted { server } => Event::Refuted(incarnation(u64::from(server % 8))),
                    Seen::Cleared { request: number } => {
                        cleared.insert(request(number));
                        Event::Cleared(request(number))
                    }
                    Seen::Asked { request: number } => Event::Asked(request(number)),
                    Seen::Alone => {
                        fleet.island = [at].into();
                        continue;
                    }
                    Seen::Wait(steps) => {
                        fleet.run(ms(u64::from(steps)));
                        continue;
                    }
                };
                fleet.give(&at, event);
            }
            fleet.island.clear();
            fleet.run(ms(20_000));
            let held = |at: usize| {
                let view = fleet.nodes[&name(at)].machine.view();
                let mut held = Quarantine::clone(&view.quarantine);
                // Each instance dates an end by the age at which it heard of it.
                held.ended.values_mut().for_each(|end| end.at = Instant::default());
                held
            };
            for at in 0..3 {
                assert_eq!(held(at), held(0), "instance {at}");
                assert!(held(at).refused.is_disjoint(&cleared), "an answered request is refused");
            }
            let entries = fleet.nodes[&name(0)].machine.quarantined();
            let standing = entries.filter(|(_, entry)| entry.standing == Standing::Quarantined);
            assert_eq!(standing.count(), held(0).refused.len());
        });
}
