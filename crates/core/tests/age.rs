//! How long frames lay in buffers.

use std::sync::Arc;

use ladder_core::age::Gauges;
use ladder_core::time::Instant;

struct Frame {
    story: &'static str,
    incarnation: u64,
    sent_us: u64,
    received_us: u64,
    age_us: u64,
}

/// Work for callers that gave up long ago runs at targets and takes their slots.
///
/// A process is suspended for 30 s; peers' frames wait in its socket; it wakes and reads them. The
/// cause is that their budgets are relative and count from the reading: their age has to be seen.
#[test]
fn frames_that_waited_show_their_age() {
    let frames = [
        Frame {
            story: "the first shows the way",
            incarnation: 1,
            sent_us: 1_000,
            received_us: 501_000,
            age_us: 0,
        },
        Frame {
            story: "a slower one waited",
            incarnation: 1,
            sent_us: 2_000,
            received_us: 502_400,
            age_us: 400,
        },
        Frame {
            story: "a faster one sets the way",
            incarnation: 1,
            sent_us: 3_000,
            received_us: 502_800,
            age_us: 0,
        },
        Frame {
            story: "and is compared with",
            incarnation: 1,
            sent_us: 4_000,
            received_us: 504_000,
            age_us: 200,
        },
        Frame {
            story: "read after a suspension",
            incarnation: 1,
            sent_us: 5_000,
            received_us: 30_504_800,
            age_us: 30_000_000,
        },
        Frame {
            story: "a restarted sender has another clock",
            incarnation: 2,
            sent_us: 10,
            received_us: 31_000_000,
            age_us: 0,
        },
        Frame {
            story: "which is compared with itself",
            incarnation: 2,
            sent_us: 20,
            received_us: 31_000_510,
            age_us: 500,
        },
    ];
    let mut gauges = Gauges::default();
    for frame in frames {
        let now = Instant::from_micros(frame.received_us);
        let age = gauges.age(Arc::from("a"), frame.incarnation, frame.sent_us, now);
        assert_eq!(age, frame.age_us, "{}", frame.story);
    }
}

#[test]
fn senders_are_told_apart() {
    let mut gauges = Gauges::default();
    assert_eq!(gauges.age(Arc::from("a"), 1, 0, Instant::from_micros(900)), 0);
    assert_eq!(gauges.age(Arc::from("b"), 1, 0, Instant::from_micros(5_000)), 0);
    assert_eq!(gauges.age(Arc::from("a"), 1, 0, Instant::from_micros(1_000)), 100);
}

#[test]
fn clocks_of_any_value_give_an_age() {
    bolero::check!().with_iterations(20_000).with_type::<(u64, u64, u64, u64)>().for_each(
        |(sent, received, sent_later, received_later)| {
            let mut gauges = Gauges::default();
            gauges.age(Arc::from("a"), 1, *sent, Instant::from_micros(*received));
            gauges.age(Arc::from("a"), 1, *sent_later, Instant::from_micros(*received_later));
        },
    );
}
