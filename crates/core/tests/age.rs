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
    let frame = |story, incarnation, sent_us, received_us, age_us| Frame {
        story,
        incarnation,
        sent_us,
        received_us,
        age_us,
    };
    let frames = [
        frame("the first shows the way", 1, 1_000, 501_000, 0),
        frame("a slower one waited", 1, 2_000, 502_400, 400),
        frame("a faster one sets the way", 1, 3_000, 502_800, 0),
        frame("and is compared with", 1, 4_000, 504_000, 200),
        frame("read after a suspension", 1, 5_000, 30_504_800, 30_000_000),
        frame("a restarted sender has another clock", 2, 10, 31_000_000, 0),
        frame("which is compared with itself", 2, 20, 31_000_510, 500),
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
    ladder_property::check(20_000).with_type::<(u64, u64, u64, u64)>().for_each(
        |(sent, received, sent_later, received_later)| {
            let mut gauges = Gauges::default();
            gauges.age(Arc::from("a"), 1, *sent, Instant::from_micros(*received));
            gauges.age(Arc::from("a"), 1, *sent_later, Instant::from_micros(*received_later));
        },
    );
}
