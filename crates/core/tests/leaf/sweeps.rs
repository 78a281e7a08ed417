//! Tests of the share of sweeps that a sender reports.

use std::time::Duration;

use ladder_core::leaf::Settings;
use ladder_core::leaf::event::{Action, Outcome};
use ladder_core::schema::catalogue::Limits;
use ladder_core::schema::outcome::{Reason, Verdict};
use ladder_core::schema::target;
use ladder_core::schema::wire;
use ladder_core::view::Service;

use crate::harness::{Harness, limited, server};
use crate::overload::{LARGE, Running};

/// In overload each service refuses single portions. Portions of a sweep that was admitted as a
/// whole must be excepted: the sweep would lack them, and the work of its other parts be wasted.
#[test]
fn portions_of_admitted_sweeps_are_not_refused() {
    struct Case {
        utilization: Option<f64>,
        admitted_permille: u32,
        refused: bool,
    }
    let cases = [
        Case { utilization: None, admitted_permille: 0, refused: true },
        Case { utilization: None, admitted_permille: 500, refused: true },
        Case { utilization: Some(0.85), admitted_permille: 0, refused: true },
        Case { utilization: Some(0.85), admitted_permille: 500, refused: false },
    ];
    for Case { utilization, admitted_permille, refused } in cases {
        let limits = Limits { queue: 1000, ..Limits::default() };
        let settings =
            Settings::builder("porto-1", 7).seed(1).sweep_utilization(utilization).build();
        let mut harness = Harness::connected(settings, limited(limits, vec![server(1), server(2)]));
        harness.learn_call_times(60, 28);
        harness.log.clear();
        for query in 1000..1250 {
            harness.deliver_work(wire::Work { admitted_permille, ..LARGE.work(query) });
        }
        let refusal = (Verdict::NotRun, Reason::WouldMissDeadline);
        let refusals = harness.replies().iter().filter(|reply| **reply == refusal).count();
        assert_eq!(refusals > 0, refused, "{utilization:?}, {admitted_permille}: {refusals}");
    }
}

/// Starts the calls that were sent. Beside `foreign` calls of other instances at its server, a call
/// waits in proportion to the calls present beyond the two slots.
fn start_calls(harness: &mut Harness, running: &mut Vec<Running>, foreign: u32) {
    for sent in harness.sent() {
        let at_server = |other: &&Running| other.sent.address == sent.address;
        let present = running.iter().filter(at_server).count() as u32 + 1 + foreign;
        let work = Duration::from_millis(LARGE.work_ms).mul_f64(f64::from(present.max(2)) / 2.0);
        running.push(Running { due: harness.now + work, sent });
    }
    harness.log.clear();
}

/// Load of other instances in a test case.
#[derive(Clone)]
struct Sharing {
    name: &'static str,
    utilization: Option<f64>,
    /// Number of calls of other instances that each server runs or keeps waiting.
    foreign: u32,
    sharer_count: u32,
    /// Time between two sweeps of 28 ms: with 6 ms they take 4.7 of the four slots.
    interval_ms: u64,
    /// Number of calls in the fourth second that take 1.5 s.
    slow_calls: usize,
    /// Expected share in thousandths.
    expected: std::ops::RangeInclusive<u32>,
}

/// Offers sweeps for five seconds, and returns the share reported last, in thousandths.
fn reported_share(sharing: &Sharing) -> u32 {
    let settings = Settings::builder("porto-1", 7)
        .seed(1)
        .hedging(false)
        .sweep_utilization(sharing.utilization)
        .build();
    let limits = Limits { queue: 1000, ..Limits::default() };
    let listed = limited(limits, vec![server(1), server(2)]);
    let listed = Service { sharer_count: sharing.sharer_count, ..listed };
    let mut harness = Harness::connected(settings, listed);
    let mut running: Vec<Running> = Vec::new();
    let mut share = 1000;
    let mut query = 0;
    for millis in 0..5000_u64 {
        if millis % sharing.interval_ms == 0 {
            query += 1;
            harness.deliver_work(wire::Work { admitted_permille: 1000, ..LARGE.work(query) });
        }
        harness.advance(1);
        let now = harness.now;
        start_calls(&mut harness, &mut running, sharing.foreign);
        if millis == 3000 {
            let delayed = running.iter_mut().take(sharing.slow_calls);
            delayed.for_each(|call| call.due = call.due + Duration::from_millis(1500));
        }
        for call in running.extract_if(.., |call| call.due <= now).collect::<Vec<_>>() {
            let Outcome::Answer(answer) = call.sent.answer() else { panic!("an answer") };
            let at_server = |other: &&Running| other.sent.address == call.sent.address;
            let own = running.iter().filter(at_server).count() as u32 + 1;
            let present = own + sharing.foreign;
            let occupancy = target::Occupancy {
                running: present.min(2),
                waiting: present.saturating_sub(2),
                slots: 2,
            };
            let answer = target::Answer { occupancy: Some(occupancy), ..answer };
            harness.end_call(call.sent.attempt, Outcome::Answer(answer));
            let replies = harness.log.iter().filter_map(|action| match action {
                Action::Reply { reply, .. } => Some(reply.admissible_permille),
                _ => None,
            });
            for reported in replies {
                share = if reported == 0 { 1000 } else { reported - 1 };
            }
            start_calls(&mut harness, &mut running, sharing.foreign);
        }
    }
    share
}

/// Instances that send to the same servers must together not admit more than these can do, and none
/// may be displaced by another that came before it.
#[test]
fn share_accounts_for_other_instances() {
    let case = Sharing {
        name: "alone",
        utilization: Some(0.85),
        foreign: 0,
        sharer_count: 4,
        interval_ms: 6,
        slow_calls: 0,
        expected: 690..=800,
    };
    let cases = [
        Sharing { name: "half occupied", foreign: 1, expected: 250..=350, ..case.clone() },
        Sharing {
            name: "all occupied: an equal part",
            foreign: 6,
            expected: 150..=230,
            ..case.clone()
        },
        Sharing {
            name: "all occupied, two senders",
            foreign: 2,
            sharer_count: 2,
            expected: 320..=420,
            ..case.clone()
        },
        Sharing {
            name: "no setting",
            utilization: None,
            foreign: 2,
            expected: 1000..=1000,
            ..case.clone()
        },
        Sharing {
            name: "a few slow calls in ordinary load",
            interval_ms: 10,
            slow_calls: 4,
            expected: 1000..=1000,
            ..case.clone()
        },
        case,
    ];
    for sharing in cases {
        let share = reported_share(&sharing);
        assert!(sharing.expected.contains(&share), "{}: {share}", sharing.name);
    }
}
