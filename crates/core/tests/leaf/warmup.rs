//! Tests of the limit on the requests that servers get from all instances while they warm up.

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

use crate::harness::{Harness, limited, peer, server, settings, work};
use crate::open_calls::{End, OpenCalls};

const LIMIT: WarmupLimit = WarmupLimit { rate: 12, max: 23 };

fn names(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("porto-{at}")).collect()
}

fn quota(limit: WarmupLimit, server: &str, own: &str, fleet: &[String]) -> u32 {
    limit.quota(server, own, fleet.iter().map(String::as_str))
}

/// Guards against quotas whose sum exceeds the limit of a server.
#[test]
fn quotas_of_all_instances_sum_to_half_of_the_limit() {
    for count in [1, 7, 9, 66, 195, 3700] {
        let fleet = names(count);
        for (limit, all) in [(LIMIT, 11), (WarmupLimit { rate: 4, max: 11 }, 4)] {
            for server in ["docks-1", "docks-2"] {
                let quotas = fleet.iter().map(|own| quota(limit, server, own, &fleet));
                assert_eq!(quotas.sum::<u32>(), all, "{count} instances, {server}");
            }
        }
    }
}

/// Guards against exceeding the limit when instances know different sets of other instances.
#[test]
fn quotas_of_instances_with_different_views_stay_within_the_limit() {
    for count in [7, 66, 195] {
        let fleet = names(count);
        for missing in [1, 2, count / 8, count / 4] {
            let mut sum = 0;
            for (at, own) in fleet.iter().enumerate() {
                // Each instance misses some others, and not the same ones as its neighbours.
                let known = (0..count - missing).map(|step| match step {
                    0 => own.as_str(),
                    step => fleet[(at + missing + step) % count].as_str(),
                });
                sum += LIMIT.quota("docks-1", own, known);
            }
            assert!(sum <= LIMIT.max, "sum {sum} of {count} instances that miss {missing}");
        }
    }
}

/// Guards against a limit that is kept by each instance alone but not by all instances together.
#[test]
fn all_instances_together_stay_within_the_limit() {
    for count in [7, 66, 195] {
        for missing in [0, 1, count / 8] {
            let fleet = names(count);
            let mut all = Vec::new();
            for (at, own) in fleet.iter().enumerate() {
                let others =
                    || (1..count - missing).map(|step| &fleet[(at + missing + step) % count]);
                let warm = Setup { warmup: [0, 0], ..COLD };
                let settings = Settings::builder(own, 7).seed(1).build();
                let mut harness =
                    Harness::unconnected(settings, limited(Limits::default(), vec![]));
                harness.handle(warm.view_among(others().cloned()));
                harness.connect();
                harness.advance(4000);
                harness.handle(COLD.view_among(others().cloned()));
                harness.connect();
                let sent = send_overload(&mut harness, 300);
                all.extend(sent.get("10.0.0.1:80").into_iter().flatten().copied());
            }
            let max = max_per_second(&all);
            let limit = if missing == 0 { LIMIT.max / 2 } else { LIMIT.max };
            assert!(
                max > 0 && max <= limit as usize,
                "{max} requests by {count} instances that miss {missing}"
            );
        }
    }
}

/// Guards against a quota that is not reduced when an instance learns of other instances.
#[test]
fn quota_shrinks_as_other_instances_become_known() {
    let long = Setup { warmup: [30_000, 0], others: 0, ..COLD };
    let mut harness = Harness::unconnected(settings(), limited(Limits::default(), vec![]));
    let (Event::View(alone), Event::View(joined)) =
        (long.view(), Setup { others: 2, ..long }.view())
    else {
        panic!("expected views");
    };
    harness.handle(Event::View(Arc::clone(&alone)));
    harness.connect();
    harness.advance(4000);
    // Consecutive views share the services that did not change.
    let neighbours = Arc::clone(&joined.neighbours);
    harness.handle(Event::View(Arc::new(View { neighbours, ..View::clone(&alone) })));
    let fleet: Vec<String> = (1..=3).map(|at| format!("porto-{at}")).collect();
    let own = quota(LIMIT, "docks-1", "porto-1", &fleet) as usize;
    let sent = send_overload(&mut harness, 2000);
    assert_eq!(max_per_second(&sent["10.0.0.1:80"]), own);
}

/// State of the servers and of the fleet in a test case.
#[derive(Clone, Copy)]
struct Setup {
    /// Remaining warm-up time of each server in milliseconds, as published.
    warmup: [u64; 2],
    evacuated: bool,
    has_few_connections: bool,
    /// Number of other instances.
    others: usize,
}

const COLD: Setup =
    Setup { warmup: [3000, 0], evacuated: false, has_few_connections: false, others: 2 };

impl Setup {
    fn view(self) -> Event {
        self.view_among((2..self.others + 2).map(|at| format!("porto-{at}")))
    }

    /// The view of an instance that knows these other instances.
    fn view_among(self, others: impl Iterator<Item = String>) -> Event {
        let limits = Limits {
            queue: 100,
            extra_percent: 20,
            warmup_rate: LIMIT.rate,
            warmup_most: LIMIT.max,
            warmup_ms: 3000,
            ..Limits::default()
        };
        let servers = [1, 2].map(|number| Server {
            warmup: Duration::from_millis(self.warmup[usize::from(number) - 1]),
            evacuated: self.evacuated && number == 1,
            ..server(number)
        });
        let candidates = vec![Candidate { peer: peer("porto-1"), live: true, local: true }];
        let service = Service {
            candidates,
            has_few_connections: self.has_few_connections,
            ..limited(limits, servers.to_vec())
        };
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

    /// A harness that knows the other instances and has seen both servers warm, and then gets this
    /// state.
    fn harness(self) -> Harness {
        let mut harness = Harness::unconnected(settings(), limited(Limits::default(), vec![]));
        harness.handle(Setup { warmup: [0, 0], evacuated: false, ..self }.view());
        harness.connect();
        harness.advance(4000);
        harness.handle(self.view());
        harness.connect();
        harness
    }
}

/// Sends more work than the servers may take and returns the send times of the requests to each
/// server, by address.
fn send_overload(harness: &mut Harness, millis: u64) -> Map<String, Vec<Instant>> {
    let mut sent: Map<String, Vec<Instant>> = Map::default();
    for step in 0..millis / 10 {
        harness.log.clear();
        harness.deliver_work(work(1_000_000 * harness.now.as_micros() + step, "sweep"));
        harness.end_each_call(|harness, call| {
            sent.entry(call.address.to_string()).or_default().push(harness.now);
            harness.answer(call);
        });
        harness.advance(10);
        harness.connect();
    }
    sent
}

/// Maximum number of requests within any one second.
fn max_per_second(times: &[Instant]) -> usize {
    let window = |at: &Instant| {
        let within = |other: &&Instant| **other >= *at && other.since(*at) < Duration::from_secs(1);
        times.iter().filter(within).count()
    };
    times.iter().map(window).max().unwrap_or(0)
}

struct Case {
    name: &'static str,
    setup: Setup,
    /// Maximum number of requests in any one second to the first server while it warms up.
    max: usize,
}

/// Guards against sending a cold server more than its quota, and against never lifting the quota.
#[test]
fn cold_server_gets_its_quota_and_a_warm_one_no_limit() {
    let fleet: Vec<String> = (1..=3).map(|at| format!("porto-{at}")).collect();
    let own = quota(LIMIT, "docks-1", "porto-1", &fleet) as usize;
    let cases = [
        Case { name: "each instance sends itself", setup: COLD, max: own },
        Case {
            name: "one instance sends for all",
            setup: Setup { has_few_connections: true, ..COLD },
            max: 5,
        },
        Case { name: "alone", setup: Setup { others: 0, ..COLD }, max: 11 },
    ];
    for Case { name, setup, max } in cases {
        let mut harness = setup.harness();
        let cold = send_overload(&mut harness, 2950);
        assert_eq!(max_per_second(&cold["10.0.0.1:80"]), max, "{name}: cold");
        assert!(max_per_second(&cold["10.0.0.2:80"]) > 25, "{name}: the other server is warm");
        harness.advance(100);
        let warm = send_overload(&mut harness, 2000);
        assert!(max_per_second(&warm["10.0.0.1:80"]) > 25, "{name}: warm");
    }
}

/// Guards against overloading the servers of a zone whose evacuation has ended, because these
/// servers may be cold.
#[test]
fn servers_count_as_cold_after_an_evacuation() {
    let evacuated = Setup { warmup: [0, 0], evacuated: true, others: 0, ..COLD };
    let mut harness = evacuated.harness();
    let before = send_overload(&mut harness, 1000);
    assert!(!before.contains_key("10.0.0.1:80"));
    harness.handle(Setup { evacuated: false, ..evacuated }.view());
    harness.connect();
    let cold = send_overload(&mut harness, 2900);
    assert_eq!(max_per_second(&cold["10.0.0.1:80"]), 11);
    harness.advance(200);
    let warm = send_overload(&mut harness, 1000);
    assert!(max_per_second(&warm["10.0.0.1:80"]) > 25);
}

/// Guards against an instance that has just started and assumes that it is the only one.
#[test]
fn starting_instance_sends_nothing_to_cold_servers() {
    let mut harness = Harness::unconnected(settings(), limited(Limits::default(), vec![]));
    harness.handle(Setup { others: 0, ..COLD }.view());
    harness.connect();
    let sent = send_overload(&mut harness, 2900);
    assert!(!sent.contains_key("10.0.0.1:80"));
}

/// Guards against dropping the other instances as soon as a network partition hides them.
#[test]
fn quota_does_not_grow_when_other_instances_vanish() {
    let mut harness = Setup { others: 60, ..COLD }.harness();
    let before = send_overload(&mut harness, 1000)
        .get("10.0.0.1:80")
        .map_or(0, |times| max_per_second(times));
    harness.handle(Setup { others: 0, ..COLD }.view());
    let after = send_overload(&mut harness, 1000)
        .get("10.0.0.1:80")
        .map_or(0, |times| max_per_second(times));
    assert!(after <= before.max(1), "{after} after {before}");
}

/// Guards against queueing work that no server can take in time.
#[test]
fn work_beyond_the_warmup_limit_is_refused() {
    let mut harness =
        Setup { warmup: [30_000, 30_000], others: 60, has_few_connections: true, ..COLD }.harness();
    let mut refused = 0;
    for query in 0..30 {
        harness.log.clear();
        harness.deliver_work(work(query, "sweep"));
        harness.end_each_call(Harness::answer);
        refused += harness
            .replies()
            .iter()
            .filter(|one| **one == (Verdict::NotRun, Reason::WarmingUp))
            .count();
    }
    assert_eq!(refused, 30 - 10, "five for each of two servers");
    assert!(harness.last_retry_after_ms() > 0);
}

/// Event during the warm-up of a server.
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

/// Guards against an order of events in which a cold server gets more than the quota of an
/// instance.
#[test]
fn no_order_of_events_exceeds_the_quota() {
    let fleet: Vec<String> = (1..=3).map(|at| format!("porto-{at}")).collect();
    let own = quota(LIMIT, "docks-1", "porto-1", &fleet) as usize;
    ladder_property::check(200)
        .with_generator(bolero::produce::<Vec<Step>>().with().len(0_usize..=120))
        .for_each(|steps| {
            let mut setup = Setup { warmup: [0, 0], ..COLD };
            let mut harness = setup.harness();
            let (mut sent, mut open) = (Vec::new(), OpenCalls::default());
            // End of the time in which the first server is cold according to all events so far.
            let mut cold_until = harness.now;
            for (number, step) in (1_u64..).zip(steps) {
                open.record_connections(&harness);
                harness.log.clear();
                match *step {
                    Step::Work(count) => (0..u64::from(count % 16))
                        .for_each(|at| harness.deliver_work(work(1000 * number + at, "sweep"))),
                    Step::Wait(tens) => harness.advance(u64::from(tens) * 4),
                    Step::Connect => harness.connect(),
                    Step::Cold(cold) => {
                        setup.warmup[0] = if cold { 3000 } else { 0 };
                        harness.handle(setup.view());
                    }
                    Step::Evacuated(evacuated) => {
                        setup.evacuated = evacuated;
                        harness.handle(setup.view());
                    }
                    Step::End(at, end) => open.end_call(&mut harness, at, end),
                }
                let taken = open.add_sent_calls(&harness);
                let cold = taken.iter().filter(|address| &***address == "10.0.0.1:80");
                sent.extend(cold.filter(|_| harness.now < cold_until).map(|_| harness.now));
                match *step {
                    Step::Cold(true) => cold_until = cold_until.max(harness.now + RATE_WINDOW * 2),
                    Step::Cold(false) => cold_until = harness.now,
                    _ => {}
                }
            }
            assert!(max_per_second(&sent) <= own, "{sent:?}, quota {own}");
        });
}
