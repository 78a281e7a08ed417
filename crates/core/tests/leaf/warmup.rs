//! Servers that warm up and bear few requests a second, over all instances.

use std::sync::Arc;
use std::time::Duration;

use bolero::TypeGenerator;
use ladder_core::collections::Map;
use ladder_core::leaf::warmup::{RATE_WINDOW, WarmupLimit};
use ladder_core::leaf::{Event, Settings};
use ladder_core::schema::catalogue::Limits;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::time::Instant;
use ladder_core::view::{Candidate, Neighbour, Server, Service, View};

use crate::bed::{Bed, limited, peer, server, settings, work};
use crate::open::{End, Open};

const BOUND: WarmupLimit = WarmupLimit { rate: 12, max: 23 };

fn names(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("porto-{at}")).collect()
}

fn part(bound: WarmupLimit, server: &str, own: &str, fleet: &[String]) -> u32 {
    bound.quota(server, own, fleet.iter().map(String::as_str))
}

/// Guards against parts that together are more than a server bears.
#[test]
fn parts_of_all_instances_are_half_of_the_bound() {
    for count in [1, 7, 9, 66, 195, 3700] {
        let fleet = names(count);
        for (bound, all) in [(BOUND, 11), (WarmupLimit { rate: 4, max: 11 }, 4)] {
            for server in ["docks-1", "docks-2"] {
                let parts = fleet.iter().map(|own| part(bound, server, own, &fleet));
                assert_eq!(parts.sum::<u32>(), all, "{count} instances, {server}");
            }
        }
    }
}

/// Guards against a bound that is broken because instances know different others.
#[test]
fn parts_of_instances_that_differ_stay_within_the_bound() {
    for count in [7, 66, 195] {
        let fleet = names(count);
        for unknown in [1, 2, count / 8, count / 4] {
            let mut sum = 0;
            for (at, own) in fleet.iter().enumerate() {
                // Each has not heard of some others, and of other ones than its neighbours.
                let known = (0..count - unknown).map(|step| match step {
                    0 => own.as_str(),
                    step => fleet[(at + unknown + step) % count].as_str(),
                });
                sum += BOUND.quota("docks-1", own, known);
            }
            assert!(sum <= BOUND.max, "{sum} of {count} that miss {unknown}");
        }
    }
}

/// Guards against a bound that holds for each instance and not for all of them.
#[test]
fn instances_together_keep_to_the_bound() {
    for count in [7, 66, 195] {
        for unknown in [0, 1, count / 8] {
            let fleet = names(count);
            let mut all = Vec::new();
            for (at, own) in fleet.iter().enumerate() {
                let others =
                    || (1..count - unknown).map(|step| &fleet[(at + unknown + step) % count]);
                let warm = Place { warmup: [0, 0], ..COLD };
                let settings = Settings::builder(own, 7).seed(1).build();
                let mut bed = Bed::cold(settings, limited(Limits::default(), vec![]));
                bed.handle(warm.view_among(others().cloned()));
                bed.connect();
                bed.advance(4000);
                bed.handle(COLD.view_among(others().cloned()));
                bed.connect();
                let sent = flood(&mut bed, 300);
                all.extend(sent.get("10.0.0.1:80").into_iter().flatten().copied());
            }
            let most = most_in_a_second(&all);
            let bound = if unknown == 0 { BOUND.max / 2 } else { BOUND.max };
            assert!(most > 0 && most <= bound as usize, "{most} of {count} that miss {unknown}");
        }
    }
}

/// Guards against a part that stays as it was when the instance knew nobody.
#[test]
fn part_shrinks_as_others_become_known() {
    let long = Place { warmup: [30_000, 0], others: 0, ..COLD };
    let mut bed = Bed::cold(settings(), limited(Limits::default(), vec![]));
    let (Event::View(alone), Event::View(joined)) =
        (long.view(), Place { others: 2, ..long }.view())
    else {
        panic!("views");
    };
    bed.handle(Event::View(Arc::clone(&alone)));
    bed.connect();
    bed.advance(4000);
    // Views share the services that did not change.
    let neighbours = Arc::clone(&joined.neighbours);
    bed.handle(Event::View(Arc::new(View { neighbours, ..View::clone(&alone) })));
    let fleet: Vec<String> = (1..=3).map(|at| format!("porto-{at}")).collect();
    let own = part(BOUND, "docks-1", "porto-1", &fleet) as usize;
    let sent = flood(&mut bed, 2000);
    assert_eq!(most_in_a_second(&sent["10.0.0.1:80"]), own);
}

/// How the servers of a case are found.
#[derive(Clone, Copy)]
struct Place {
    /// Milliseconds for which each server warms up, as published.
    warmup: [u64; 2],
    evacuated: bool,
    scarce: bool,
    /// Other instances.
    others: usize,
}

const COLD: Place = Place { warmup: [3000, 0], evacuated: false, scarce: false, others: 2 };

impl Place {
    fn view(self) -> Event {
        self.view_among((2..self.others + 2).map(|at| format!("porto-{at}")))
    }

    /// The view of an instance that knows these others.
    fn view_among(self, others: impl Iterator<Item = String>) -> Event {
        let limits = Limits {
            queue: 100,
            extra_percent: 20,
            warmup_rate: BOUND.rate,
            warmup_most: BOUND.max,
            warmup_ms: 3000,
            ..Limits::default()
        };
        let servers = [1, 2].map(|number| Server {
            warmup: Duration::from_millis(self.warmup[usize::from(number) - 1]),
            evacuated: self.evacuated && number == 1,
            ..server(number)
        });
        let candidates = vec![Candidate { peer: peer("porto-1"), live: true, local: true }];
        let service =
            Service { candidates, scarce: self.scarce, ..limited(limits, servers.to_vec()) };
        let mut view = View { ready: true, ..View::default() };
        view.insert(service);
        let neighbour = |name: String| Neighbour {
            peer: peer(&name),
            zone: "trindade".into(),
            millicores: 1000,
        };
        view.neighbours = others.map(neighbour).collect();
        Event::View(Arc::new(view))
    }

    /// A machine that knows the others, with both servers warm, and then as this place says.
    fn bed(self) -> Bed {
        let mut bed = Bed::cold(settings(), limited(Limits::default(), vec![]));
        bed.handle(Place { warmup: [0, 0], evacuated: false, ..self }.view());
        bed.connect();
        bed.advance(4000);
        bed.handle(self.view());
        bed.connect();
        bed
    }
}

/// Requests a second that each server gets of a machine that has more to send.
fn flood(bed: &mut Bed, millis: u64) -> Map<String, Vec<Instant>> {
    let mut sent: Map<String, Vec<Instant>> = Map::default();
    for step in 0..millis / 10 {
        bed.log.clear();
        bed.work(work(1_000_000 * bed.now.as_micros() + step, "sweep"));
        bed.each_sent(|bed, call| {
            sent.entry(call.address.to_string()).or_default().push(bed.now);
            bed.answer(call);
        });
        bed.advance(10);
        bed.connect();
    }
    sent
}

fn most_in_a_second(times: &[Instant]) -> usize {
    let window = |at: &Instant| {
        let within = |other: &&Instant| **other >= *at && other.since(*at) < Duration::from_secs(1);
        times.iter().filter(within).count()
    };
    times.iter().map(window).max().unwrap_or(0)
}

struct Case {
    name: &'static str,
    place: Place,
    /// Requests in any one second at the first server while it warms up.
    most: usize,
}

/// Guards against sending a cold server more than its share, and against never sending it more.
#[test]
fn cold_server_gets_its_part_and_then_all() {
    let fleet: Vec<String> = (1..=3).map(|at| format!("porto-{at}")).collect();
    let own = part(BOUND, "docks-1", "porto-1", &fleet) as usize;
    let cases = [
        Case { name: "each for itself", place: COLD, most: own },
        Case { name: "one for all", place: Place { scarce: true, ..COLD }, most: 5 },
        Case { name: "alone", place: Place { others: 0, ..COLD }, most: 11 },
    ];
    for Case { name, place, most } in cases {
        let mut bed = place.bed();
        let cold = flood(&mut bed, 2950);
        assert_eq!(most_in_a_second(&cold["10.0.0.1:80"]), most, "{name}: cold");
        assert!(most_in_a_second(&cold["10.0.0.2:80"]) > 25, "{name}: the other one is warm");
        bed.advance(100);
        let warm = flood(&mut bed, 2000);
        assert!(most_in_a_second(&warm["10.0.0.1:80"]) > 25, "{name}: warm");
    }
}

/// Guards against overloading the servers of a zone that comes back, which may be cold.
#[test]
fn servers_of_a_zone_that_comes_back_count_as_cold() {
    let evacuated = Place { warmup: [0, 0], evacuated: true, others: 0, ..COLD };
    let mut bed = evacuated.bed();
    let before = flood(&mut bed, 1000);
    assert!(!before.contains_key("10.0.0.1:80"));
    bed.handle(Place { evacuated: false, ..evacuated }.view());
    bed.connect();
    let cold = flood(&mut bed, 2900);
    assert_eq!(most_in_a_second(&cold["10.0.0.1:80"]), 11);
    bed.advance(200);
    let warm = flood(&mut bed, 1000);
    assert!(most_in_a_second(&warm["10.0.0.1:80"]) > 25);
}

/// Guards against an instance that has just started and takes itself for the only one.
#[test]
fn starting_instance_leaves_cold_servers_alone() {
    let mut bed = Bed::cold(settings(), limited(Limits::default(), vec![]));
    bed.handle(Place { others: 0, ..COLD }.view());
    bed.connect();
    let sent = flood(&mut bed, 2900);
    assert!(!sent.contains_key("10.0.0.1:80"));
}

/// Guards against forgetting the rest of the fleet as soon as a partition hides it.
#[test]
fn part_does_not_grow_when_others_vanish() {
    let mut bed = Place { others: 60, ..COLD }.bed();
    let before =
        flood(&mut bed, 1000).get("10.0.0.1:80").map_or(0, |times| most_in_a_second(times));
    bed.handle(Place { others: 0, ..COLD }.view());
    let after = flood(&mut bed, 1000).get("10.0.0.1:80").map_or(0, |times| most_in_a_second(times));
    assert!(after <= before.max(1), "{after} after {before}");
}

/// Guards against holding work that no server can take in time.
#[test]
fn work_beyond_what_cold_servers_bear_is_refused() {
    let mut bed = Place { warmup: [30_000, 30_000], others: 60, scarce: true, ..COLD }.bed();
    let mut refused = 0;
    for query in 0..30 {
        bed.log.clear();
        bed.work(work(query, "sweep"));
        bed.each_sent(Bed::answer);
        refused += bed
            .replies()
            .iter()
            .filter(|one| **one == (Verdict::NotRun, Reason::WarmingUp))
            .count();
    }
    assert_eq!(refused, 30 - 10, "five for each of two servers");
    assert!(bed.retry_after() > 0);
}

/// Something that happens while a server warms up.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Step {
    Work(u8),
    End(u8, End),
    Wait(u8),
    Cold(bool),
    Evacuated(bool),
    Connect,
}

/// Guards against an order of events in which a cold server gets more than an instance's part.
#[test]
fn any_order_of_events_keeps_to_the_part() {
    let fleet: Vec<String> = (1..=3).map(|at| format!("porto-{at}")).collect();
    let own = part(BOUND, "docks-1", "porto-1", &fleet) as usize;
    ladder_property::check(200)
        .with_generator(bolero::produce::<Vec<Step>>().with().len(0_usize..=120))
        .for_each(|steps| {
            let mut place = Place { warmup: [0, 0], ..COLD };
            let mut bed = place.bed();
            let (mut sent, mut open) = (Vec::new(), Open::default());
            // From when on the first server is cold by all that was said.
            let mut cold_until = bed.now;
            for (number, step) in (1_u64..).zip(steps) {
                open.note(&bed);
                bed.log.clear();
                match *step {
                    Step::Work(count) => (0..u64::from(count % 16))
                        .for_each(|at| bed.work(work(1000 * number + at, "sweep"))),
                    Step::Wait(tens) => bed.advance(u64::from(tens) * 4),
                    Step::Connect => bed.connect(),
                    Step::Cold(cold) => {
                        place.warmup[0] = if cold { 3000 } else { 0 };
                        bed.handle(place.view());
                    }
                    Step::Evacuated(evacuated) => {
                        place.evacuated = evacuated;
                        bed.handle(place.view());
                    }
                    Step::End(at, end) => open.end(&mut bed, at, end),
                }
                let taken = open.take(&bed);
                let cold = taken.iter().filter(|address| &***address == "10.0.0.1:80");
                sent.extend(cold.filter(|_| bed.now < cold_until).map(|_| bed.now));
                match *step {
                    Step::Cold(true) => cold_until = cold_until.max(bed.now + RATE_WINDOW * 2),
                    Step::Cold(false) => cold_until = bed.now,
                    _ => {}
                }
            }
            assert!(most_in_a_second(&sent) <= own, "{sent:?}, part {own}");
        });
}
