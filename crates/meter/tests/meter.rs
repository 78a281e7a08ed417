//! Tests of the meter itself: what it counts, and in which windows.

use std::time::Duration;

use ladder_meter::{Allowance, Meter};

const ALLOWANCE: Allowance = Allowance { ratio: 0.2, slack: 3.0, window: Duration::from_secs(10) };

fn seconds(at: f64) -> Duration {
    Duration::from_secs_f64(at)
}

/// Requests and extra arrivals of one service, with the excess that the meter has to find.
struct Case {
    name: &'static str,
    requests: &'static [f64],
    extra: &'static [f64],
    /// Extra arrivals and requests of the window above the allowance.
    found: Option<(usize, usize)>,
}

/// Guards against a meter that grants more than the allowance, which would pass any fleet, and
/// against one that counts windows at fixed times only.
#[test]
fn every_window_is_held_against_the_requests_around_it() {
    let cases = [
        Case { name: "within the slack", requests: &[], extra: &[1.0, 2.0, 3.0], found: None },
        Case {
            name: "one above the slack",
            requests: &[],
            extra: &[1.0, 2.0, 3.0, 4.0],
            found: Some((4, 0)),
        },
        Case {
            name: "at the two ends of a window",
            requests: &[],
            extra: &[5.0, 5.0, 14.9, 14.9],
            found: Some((4, 0)),
        },
        Case { name: "in two windows", requests: &[], extra: &[5.0, 5.0, 15.1, 15.1], found: None },
        Case {
            name: "paid for by the requests of the window before",
            requests: &[1.0, 1.0, 1.0, 1.0, 1.0],
            extra: &[11.5, 11.5, 11.5, 10.5],
            found: None,
        },
        Case {
            name: "requests too long ago",
            requests: &[1.0, 1.0, 1.0, 1.0, 1.0],
            extra: &[21.5, 21.5, 21.5, 21.5],
            found: Some((4, 0)),
        },
    ];
    for Case { name, requests, extra, found } in cases {
        let mut meter = Meter::new(ALLOWANCE);
        requests.iter().for_each(|at| meter.record_request("docks", seconds(*at)));
        for (number, at) in extra.iter().enumerate() {
            let request = number.to_string();
            meter.record_arrival("docks", &request, seconds(0.0));
            meter.record_arrival("docks", &request, seconds(*at));
        }
        let excesses = meter.excesses();
        let first = excesses.first().map(|excess| (excess.extra, excess.requests));
        assert_eq!(first, found, "{name}");
    }
}

/// Guards against a meter that takes the parts of one request at different services for repeats.
#[test]
fn services_are_counted_apart() {
    let mut meter = Meter::new(ALLOWANCE);
    for service in ["docks-a", "docks-b", "docks-c", "docks-d", "docks-e"] {
        meter.record_arrival(service, "one", seconds(1.0));
    }
    assert_eq!((meter.extra_arrivals(), meter.excesses()), (0, Vec::new()));
}
