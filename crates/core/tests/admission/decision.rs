//! Tests of the decision at the entry instance.

use std::sync::Arc;
use std::time::Duration;

use ladder_core::admission::decision::{Outcome, Service, Sweep, decide_at, draw};
use ladder_core::admission::{Class, Decision, Share};
use ladder_core::fingerprint::Fingerprint;
use ladder_core::schema::catalogue::Urgency;
use ladder_core::time::Instant;

const TARGET: Duration = Duration::from_millis(200);
const REMAINING: Duration = Duration::from_millis(1500);

fn class() -> Class {
    Class::from(Urgency::Ordinary)
}

fn sweep<'a>(services: &'a [Service<'a>], floor: usize, draw: u64) -> Sweep<'a> {
    Sweep { class: class(), services, floor, draw, target: TARGET, remaining: REMAINING }
}

/// A sweep needs only its floor of services. If the lowest share of all services counted, one slow
/// service would have sweeps refused that can be answered without it; if the services that are
/// unusable did not count, sweeps that cannot reach their floor would be sent.
#[test]
fn share_of_the_needed_services_counts() {
    struct Case {
        name: &'static str,
        /// Reported share of each service in thousandths; `None` if its servers are unusable.
        services: [Option<u32>; 5],
        floor: usize,
        expected: u32,
    }
    let cases = [
        Case { name: "no limit", services: [Some(1000); 5], floor: 4, expected: 1000 },
        Case {
            name: "one service is limited and not needed",
            services: [Some(100), Some(1000), Some(1000), Some(1000), Some(1000)],
            floor: 4,
            expected: 1000,
        },
        Case {
            name: "one service is limited and needed",
            services: [Some(1000), Some(100), Some(1000), Some(1000), Some(1000)],
            floor: 5,
            expected: 100,
        },
        Case {
            name: "the second lowest counts",
            services: [Some(700), Some(100), Some(300), Some(1000), Some(900)],
            floor: 4,
            expected: 300,
        },
        Case {
            name: "an unusable service that is not needed",
            services: [None, Some(600), Some(1000), Some(1000), Some(1000)],
            floor: 4,
            expected: 600,
        },
        Case {
            name: "too many unusable services",
            services: [None, None, Some(1000), Some(1000), Some(1000)],
            floor: 4,
            expected: 0,
        },
    ];
    for case in cases {
        let now = Instant::from_millis(5000);
        let names: Vec<Arc<str>> = (0..5).map(|number| format!("s{number}").into()).collect();
        let mut decision = Decision::default();
        let mut services = Vec::new();
        for (name, share) in names.iter().zip(case.services) {
            let reported = Share::from_permille(share.unwrap_or(1000));
            decision.record_share(now, name, class(), reported);
            services.push(Service { name, usable: share.is_some() });
        }
        let limit = decision.limit(now, &sweep(&services, case.floor, 1));
        assert_eq!(limit.share.permille(), case.expected, "{}", case.name);
        assert_eq!(limit.service.is_some(), case.expected < 1000, "{}", case.name);
    }
}

/// A sender that is lost reports nothing more. Its last report must expire, but not at once: an
/// instance that admits few sweeps would admit all of them after each pause between two replies.
#[test]
fn reported_shares_expire() {
    struct Case {
        after_ms: u64,
        expected: std::ops::RangeInclusive<u32>,
    }
    let cases = [
        Case { after_ms: 0, expected: 20..=20 },
        Case { after_ms: 999, expected: 20..=20 },
        Case { after_ms: 1500, expected: 60..=100 },
        Case { after_ms: 2000, expected: 200..=400 },
        Case { after_ms: 2500, expected: 1000..=1000 },
    ];
    for Case { after_ms, expected } in cases {
        let name: Arc<str> = "s0".into();
        let mut decision = Decision::default();
        let reported_at = Instant::from_millis(5000);
        decision.record_share(reported_at, &name, class(), Share::MIN);
        let services = [Service { name: &name, usable: true }];
        let now = reported_at + Duration::from_millis(after_ms);
        let share = decision.limit(now, &sweep(&services, 1, 1)).share.permille();
        assert!(expected.contains(&share), "{share} after {after_ms} ms");
    }
}

/// Of the sweeps, the admitted share must be selected, each selection independent of the instance
/// and the attempt: a caller that retries elsewhere must not be refused for certain again.
#[test]
fn admitted_share_is_selected() {
    let sweeps = 20_000;
    for permille in [0, 20, 400, 950, 1000] {
        let share = Share::from_permille(permille);
        let is_admitted = |query: u64, instance: &str| {
            let draw = draw(query, Fingerprint(7), instance);
            matches!(decide_at(share, &sweep(&[], 0, draw)), Outcome::Admit { .. })
        };
        let mut admitted = [0.0, 0.0];
        for query in 0..sweeps {
            let first = is_admitted(query, "entry-1");
            admitted[0] += f64::from(first);
            admitted[1] += f64::from(!first && is_admitted(query, "entry-2"));
        }
        let refused = f64::from(sweeps as u32) - admitted[0];
        let measured = admitted[0] / f64::from(sweeps as u32);
        assert!((measured - share.fraction()).abs() < 0.02, "{permille}: {measured}");
        if refused > 0.0 {
            let again = admitted[1] / refused;
            assert!((again - share.fraction()).abs() < 0.06, "{permille} again: {again}");
        }
    }
}

/// Callers honour a delay of up to a third of their time. A longer one would be cut by each of them
/// to the same time, and so would a delay without jitter; a shorter one than the latency objective
/// brings them back into the same overload.
#[test]
fn retry_delay_suits_the_caller() {
    struct Case {
        permille: u32,
        remaining_ms: u64,
        shortest_ms: u64,
        longest_ms: u64,
    }
    let cases = [
        Case { permille: 0, remaining_ms: 1500, shortest_ms: 340, longest_ms: 500 },
        Case { permille: 500, remaining_ms: 1500, shortest_ms: 270, longest_ms: 360 },
        Case { permille: 900, remaining_ms: 1500, shortest_ms: 200, longest_ms: 250 },
        Case { permille: 0, remaining_ms: 300, shortest_ms: 90, longest_ms: 110 },
    ];
    for Case { permille, remaining_ms, shortest_ms, longest_ms } in cases {
        let remaining = Duration::from_millis(remaining_ms);
        let mut delays: Vec<Duration> = (0..1000_u64)
            .filter_map(|query| {
                let draw = draw(query, Fingerprint(7), "entry-1");
                let sweep = Sweep { remaining, ..sweep(&[], 0, draw) };
                match decide_at(Share::from_permille(permille), &sweep) {
                    Outcome::Refuse { retry_after, .. } => Some(retry_after),
                    Outcome::Admit { .. } => None,
                }
            })
            .collect();
        delays.sort_unstable();
        let (first, last) = (delays[0], delays[delays.len() - 1]);
        let allowed = Duration::from_millis(shortest_ms)..=Duration::from_millis(longest_ms);
        assert!(allowed.contains(&first), "{permille}, {remaining_ms} ms: {first:?}");
        assert!(allowed.contains(&last), "{permille}, {remaining_ms} ms: {last:?}");
        assert!(last <= remaining / 3, "{permille}, {remaining_ms} ms: {last:?}");
        let spread = last - first;
        assert!(permille == 900 || remaining_ms == 300 || spread > Duration::from_millis(60));
    }
}
