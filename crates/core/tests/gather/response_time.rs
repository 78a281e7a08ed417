//! Tests of when sweeps are answered so that their responses reach the callers in time.

use std::time::Duration;

use ladder_core::gather::event::{CallerId, Reception};
use ladder_core::gather::{Action, Event, ResponseTime};
use ladder_core::schema::call::Request;
use ladder_core::time::Instant;
use ladder_property::check;

use crate::fleet::Fleet;
use crate::forward::{HOST, harness_with, message, reply, routing};
use crate::harness::{Harness, request, sent_work};

/// Target time of the route of all sweeps here.
const TARGET: Duration = ms(100);
/// How long a sweep waits for its parts before a delay was measured.
const UNMEASURED_WAIT: Duration = ms(100 - 17);

/// Largest error of the averages, which are whole nanoseconds, in the microseconds of the clock.
const ROUNDING: Duration = Duration::from_micros(1);

/// An instance that answers sweeps of which one part stays out, one after the other.
struct Sweeps {
    harness: Harness,
    /// Round-trip time to the callers.
    round_trip: Duration,
    callers: u64,
}

/// How a sweep ended.
struct Ended {
    /// Time from the arrival until the machine answered.
    waited: Duration,
    /// Time by which the response reaches its caller after the target time.
    late: Duration,
}

impl Sweeps {
    fn new(round_trip: Duration) -> Self {
        Self { harness: harness_with(Some(routing())), round_trip, callers: 100 }
    }

    /// Plays a sweep: the machine wakes `wake` late, and its response is written `write` after the
    /// answer.
    fn play(&mut self, wake: Duration, write: Duration) -> Ended {
        self.play_transfer(wake, write, Duration::ZERO)
    }

    /// Plays a sweep like [`Self::play`] whose response takes `transfer` longer to its caller than a
    /// single packet.
    fn play_transfer(&mut self, wake: Duration, write: Duration, transfer: Duration) -> Ended {
        self.callers += 1;
        let caller = CallerId(self.callers);
        let arrived = self.harness.now;
        let request = message(HOST, "/docks/all");
        let reception = Reception { received_at: Some(arrived), round_trip: Some(self.round_trip) };
        let sent = self.harness.deliver(Event::Call { caller, request, reception });
        for (from, work) in sent_work(&sent) {
            for portion in work.portions.iter().filter(|portion| portion.service != "s3") {
                self.harness.reply(&from, reply(&work, &portion.service, b""));
            }
        }
        let due = self.harness.machine.next_wake().expect("the sweep has a timer");
        self.harness.now = due + wake;
        let answered = self.harness.deliver(Event::Tick);
        assert!(answered.iter().any(|action| matches!(action, Action::Answer { .. })));
        let waited = self.harness.now.since(arrived);
        self.harness.now = self.harness.now + write;
        let response = self.written(caller, self.harness.now, transfer);
        let reaches = self.harness.now.since(arrived) + transfer + self.round_trip;
        let late = reaches.saturating_sub(TARGET);
        assert_eq!((response.wake, response.write, response.late), (wake, write, late));
        self.harness.now = arrived + Duration::from_secs(1);
        Ended { waited, late }
    }

    /// Plays a sweep during which the process is paused.
    fn play_with_pause(&mut self, pause: Duration) {
        self.callers += 1;
        let caller = CallerId(self.callers);
        let arrived = self.harness.now;
        let reception = Reception { received_at: Some(arrived), round_trip: Some(self.round_trip) };
        let request = message(HOST, "/docks/all");
        self.harness.deliver(Event::Call { caller, request, reception });
        self.harness.now = arrived + pause;
        self.harness.deliver(Event::Paused(pause));
        let transfer = Duration::ZERO;
        self.harness.deliver(Event::Written { caller, at: self.harness.now, transfer });
        self.harness.now = arrived + Duration::from_secs(1);
    }

    fn written(&mut self, caller: CallerId, at: Instant, transfer: Duration) -> ResponseTime {
        let out = self.harness.deliver(Event::Written { caller, at, transfer });
        let written = out.into_iter().find_map(|action| match action {
            Action::Written(response) => Some(*response),
            _ => None,
        });
        written.expect("the response is measured")
    }
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Delays of an instance and its callers, in milliseconds.
struct DelayCase {
    name: &'static str,
    round_trip: u64,
    wake: u64,
    write: u64,
    transfer: u64,
}

/// Guards against responses that miss the target although the sweep was answered before it: the
/// timer, the merging and the writing take longer on a slow instance than a constant allows for.
#[test]
fn responses_of_slow_instances_reach_callers_by_the_target() {
    let cases = [
        DelayCase { name: "quick, near callers", round_trip: 2, wake: 0, write: 1, transfer: 0 },
        DelayCase { name: "slow writes", round_trip: 6, wake: 0, write: 25, transfer: 0 },
        DelayCase { name: "late timers", round_trip: 6, wake: 12, write: 3, transfer: 0 },
        DelayCase { name: "both", round_trip: 6, wake: 8, write: 16, transfer: 0 },
        DelayCase { name: "slow link", round_trip: 6, wake: 0, write: 4, transfer: 15 },
        DelayCase { name: "far callers", round_trip: 16, wake: 1, write: 5, transfer: 0 },
    ];
    for DelayCase { name, round_trip, wake, write, transfer } in cases {
        let mut sweeps = Sweeps::new(ms(round_trip));
        sweeps.play_transfer(ms(wake), ms(write), ms(transfer));
        for _ in 0..20 {
            let ended = sweeps.play_transfer(ms(wake), ms(write), ms(transfer));
            assert_eq!(ended.late, Duration::ZERO, "{name}: answered after {:?}", ended.waited);
        }
    }
}

/// Guards against answers to requests that name their shards, which a slow instance writes after
/// the deadline.
#[test]
fn answers_of_slow_instances_are_written_by_the_deadline() {
    const DEADLINE_MS: u32 = 200;
    let mut harness = Harness::new(&Fleet::default());
    let mut caller = 0;
    let mut play = |write: Duration| {
        caller += 1;
        let arrived = harness.now;
        let request =
            Request { deadline_ms: DEADLINE_MS, ..request(&caller.to_string(), "sweep", &[]) };
        let (caller, reception) = (CallerId(caller), Reception::default());
        harness.deliver(Event::Call { caller, request, reception });
        while harness.machine.open() > 0 {
            harness.advance(1);
        }
        let at = harness.now + write;
        harness.deliver(Event::Written { caller, at, transfer: Duration::ZERO });
        harness.now = arrived + Duration::from_secs(2);
        at.since(arrived)
    };
    play(ms(20));
    for _ in 0..10 {
        let written = play(ms(20));
        assert!(written <= ms(DEADLINE_MS.into()), "written after {written:?}");
    }
}

/// Guards against leaving out parts for which there is time: an instance with short delays waits at
/// least as long as one that has measured nothing.
#[test]
fn quick_instances_wait_no_shorter_than_unmeasured_ones() {
    let mut sweeps = Sweeps::new(ms(6));
    assert_eq!(sweeps.play(ms(0), ms(1)).waited, UNMEASURED_WAIT);
    for sweep in 1..20 {
        let ended = sweeps.play(ms(0), ms(1));
        assert!(ended.waited >= UNMEASURED_WAIT, "sweep {sweep} waited {:?}", ended.waited);
    }
}

/// Guards against one long delay, such as that of a caller who reads slowly, that makes an instance
/// leave out parts for long.
#[test]
fn one_long_delay_is_forgotten_within_twenty_sweeps() {
    let mut sweeps = Sweeps::new(ms(6));
    for _ in 0..10 {
        sweeps.play(ms(0), ms(2));
    }
    sweeps.play(ms(0), ms(800));
    for _ in 0..20 {
        let waited = sweeps.play(ms(0), ms(2)).waited;
        assert!(waited >= TARGET / 2, "answered after {waited:?}");
    }
    let waited = sweeps.play(ms(0), ms(2)).waited;
    assert!(waited >= UNMEASURED_WAIT, "answered after {waited:?}");
}

/// Guards against a pause of the process that counts as a delay of its responses.
#[test]
fn pause_of_the_process_does_not_shorten_the_wait() {
    let mut sweeps = Sweeps::new(ms(6));
    for _ in 0..10 {
        sweeps.play(ms(0), ms(2));
    }
    let before = sweeps.play(ms(0), ms(2)).waited;
    sweeps.play_with_pause(ms(700));
    assert!(sweeps.play(ms(0), ms(2)).waited >= before);
}

/// Guards against responses that are late by more than their delay has grown since the last one, in
/// any order of delays.
#[test]
fn responses_are_late_by_no_more_than_the_last_growth_of_the_delay() {
    check(400).with_type::<(u8, Vec<(u8, u8)>)>().for_each(|(round_trip, delays)| {
        let mut sweeps = Sweeps::new(ms(u64::from(*round_trip % 17)));
        let mut last = None;
        for &(wake, write) in delays {
            // Half of the target is the most that is reserved.
            let (wake, write) = (ms(u64::from(wake % 16)), ms(u64::from(write % 16)));
            let late = sweeps.play(wake, write).late;
            let growth = last.map(|last| (wake + write).saturating_sub(last));
            if let Some(growth) = growth {
                assert!(late <= growth + ROUNDING, "late by {late:?}, growth {growth:?}");
            }
            last = Some(wake + write);
        }
    });
}
