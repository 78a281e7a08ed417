//! Tests of the share that a sender reports.

use std::time::Duration;

use ladder_core::admission::{Capacity, Class, Share, weight};
use ladder_core::time::Instant;

const WORK: Duration = Duration::from_millis(20);

/// Offers sweeps of one class at a steady rate for five seconds, of which `admitted` thousandths
/// arrive, and returns the reported share of that class in thousandths.
fn steady_share(sweeps_per_s: u64, admitted: u32, slots: f64) -> u32 {
    let mut capacity = Capacity::default();
    let arriving = sweeps_per_s * u64::from(admitted) / 1000;
    let class = Class::ALL[2];
    let mut share = Share::ALL;
    for number in 0..5 * arriving {
        let now = Instant::from_micros(1_000_000 + number * 1_000_000 / arriving);
        capacity.record_sweep(now, class, weight(admitted), WORK);
        share = capacity.shares(now, slots)[2];
    }
    share.permille()
}

/// The share must follow from the offered sweeps, also while most of them are refused. If only the
/// received ones counted, the share would grow as soon as sweeps are refused, and oscillate.
#[test]
fn share_follows_from_offered_sweeps() {
    struct Case {
        sweeps_per_s: u64,
        admitted: u32,
        expected: std::ops::RangeInclusive<u32>,
    }
    let cases = [
        Case { sweeps_per_s: 175, admitted: 1000, expected: 1000..=1000 },
        Case { sweeps_per_s: 500, admitted: 1000, expected: 480..=530 },
        Case { sweeps_per_s: 500, admitted: 500, expected: 480..=530 },
        Case { sweeps_per_s: 5000, admitted: 50, expected: 48..=54 },
        // An instance of an earlier build sends 0 and admits all.
        Case { sweeps_per_s: 50_000, admitted: 20, expected: 20..=20 },
    ];
    for Case { sweeps_per_s, admitted, expected } in cases {
        let share = steady_share(sweeps_per_s, admitted, 5.1);
        assert!(expected.contains(&share), "{sweeps_per_s}/s, {admitted}: {share}");
    }
    assert!((weight(0) - 1.0).abs() < 1e-9, "a peer without sweep admission admits all");
}

/// Limits must not start in ordinary load: with a few sweeps a second their count varies by more
/// than the distance to the capacity, a short burst fits into the queue, and a pause of one server
/// ends before its slots are missed.
#[test]
fn ordinary_load_is_not_limited() {
    struct Case {
        name: &'static str,
        /// Sweeps per second, and their number in a burst after five seconds.
        sweeps_per_s: u64,
        burst: u64,
        work: Duration,
        slots: f64,
        /// Slots that are missing for 0.25 s from the fifth second on.
        missing: f64,
    }
    let case = Case { name: "", sweeps_per_s: 178, burst: 0, work: WORK, slots: 5.1, missing: 0.0 };
    let cases = [
        Case { name: "seven tenths", sweeps_per_s: 210, ..case },
        Case { name: "a burst of 70 ms of work", burst: 21, ..case },
        Case { name: "a pause of one of three servers", sweeps_per_s: 210, missing: 1.7, ..case },
        Case {
            name: "few long sweeps",
            sweeps_per_s: 1,
            burst: 1,
            work: Duration::from_millis(900),
            slots: 1.7,
            ..case
        },
    ];
    for case in cases {
        let mut capacity = Capacity::default();
        for millis in 0..10_000_u64 {
            let now = Instant::from_millis(1000 + millis);
            let due = (millis + 1) * case.sweeps_per_s / 1000 - millis * case.sweeps_per_s / 1000;
            let burst = if millis == 5000 { case.burst } else { 0 };
            for _ in 0..due + burst {
                capacity.record_sweep(now, Class::ALL[2], 1.0, case.work);
            }
            let is_paused = (5000..5250).contains(&millis);
            let slots = if is_paused { case.slots - case.missing } else { case.slots };
            let share = capacity.shares(now, slots)[2];
            assert_eq!(share, Share::ALL, "{} at {millis} ms", case.name);
        }
    }
}

/// Work whose admission is not decided occupies slots too. If it were not counted, sweeps would be
/// admitted for slots that single requests occupy.
#[test]
fn other_work_reduces_the_share() {
    let mut capacity = Capacity::default();
    let mut share = Share::ALL;
    for millis in 0..5000 {
        let now = Instant::from_millis(1000 + millis);
        if millis % 5 == 0 {
            capacity.record_sweep(now, Class::ALL[2], 1.0, WORK);
            capacity.record_other(now, Duration::from_millis(15));
        }
        share = capacity.shares(now, 5.0)[2];
    }
    // Sweeps offer 4 slots of work, other requests take 3 of the 5 slots.
    assert!((480..=520).contains(&share.permille()), "{share:?}");
}

/// At any load, a share below 2% would hide the end of an overload, and a less urgent class must
/// never be admitted more often than a more urgent one.
#[test]
fn share_stays_in_range_and_follows_urgency() {
    let steps = bolero::produce::<Vec<(u8, u8, u16, u8)>>().with().len(0_usize..=300);
    let mut limited = 0_u32;
    ladder_property::check(1000).with_generator(steps).for_each(|steps| {
        let mut capacity = Capacity::default();
        let mut now = Instant::from_millis(1000);
        for (millis, class, permille, slots) in steps {
            // Up to 15 ms, so that there are enough sweeps for a limit to start.
            now = now + Duration::from_millis(u64::from(*millis % 16));
            let class = Class::ALL[usize::from(*class) % Class::ALL.len()];
            let weight = weight(u32::from(*permille) % 1500);
            capacity.record_sweep(now, class, weight, Duration::from_millis(u64::from(*millis)));
            if permille % 7 == 0 {
                capacity.record_other(now, WORK);
            }
            let shares = capacity.shares(now, f64::from(*slots) / 16.0);
            limited += u32::from(shares[2] < Share::ALL);
            for share in shares {
                assert!((Share::MIN..=Share::ALL).contains(&share), "{shares:?}");
            }
            assert!(shares.is_sorted_by(|urgent, other| urgent >= other), "{shares:?}");
        }
    });
    assert!(limited > 1000, "limited at {limited} steps");
}
