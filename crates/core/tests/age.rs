//! Tests of the age estimate of received frames.

use std::sync::Arc;

use ladder_core::age::ClockOffsets;
use ladder_core::time::Instant;

struct Frame {
    description: &'static str,
    incarnation: u64,
    sent_us: u64,
    received_us: u64,
    age_us: u64,
}

/// Guards against running work that its caller gave up long ago. A process is paused for 30 s while
/// frames of its peers wait in its socket, and then reads them. The frames' budgets are relative
/// and would count from the reading, so their age must be detected.
#[test]
fn frames_read_after_a_pause_have_the_age_of_the_pause() {
    let frame = |description, incarnation, sent_us, received_us, age_us| Frame {
        description,
        incarnation,
        sent_us,
        received_us,
        age_us,
    };
    let frames = [
        frame("the first frame is the reference", 1, 1_000, 501_000, 0),
        frame("a slower frame waited", 1, 2_000, 502_400, 400),
        frame("a faster frame is the new reference", 1, 3_000, 502_800, 0),
        frame("the next frame is compared with the faster one", 1, 4_000, 504_000, 200),
        frame("read after a process pause", 1, 5_000, 30_504_800, 30_000_000),
        frame("a restarted sender has another clock", 2, 10, 31_000_000, 0),
        frame("the new clock is its own reference", 2, 20, 31_000_510, 500),
    ];
    let mut clocks = ClockOffsets::default();
    for frame in frames {
        let now = Instant::from_micros(frame.received_us);
        let age = clocks.age(Arc::from("a"), frame.incarnation, frame.sent_us, now);
        assert_eq!(age, frame.age_us, "{}", frame.description);
    }
}

#[test]
fn each_sender_has_its_own_clock_difference() {
    let mut clocks = ClockOffsets::default();
    assert_eq!(clocks.age(Arc::from("a"), 1, 0, Instant::from_micros(900)), 0);
    assert_eq!(clocks.age(Arc::from("b"), 1, 0, Instant::from_micros(5_000)), 0);
    assert_eq!(clocks.age(Arc::from("a"), 1, 0, Instant::from_micros(1_000)), 100);
}

#[test]
fn any_clock_values_give_an_age_without_overflow() {
    ladder_property::check(20_000).with_type::<(u64, u64, u64, u64)>().for_each(
        |(sent, received, sent_later, received_later)| {
            let mut clocks = ClockOffsets::default();
            clocks.age(Arc::from("a"), 1, *sent, Instant::from_micros(*received));
            clocks.age(Arc::from("a"), 1, *sent_later, Instant::from_micros(*received_later));
        },
    );
}
