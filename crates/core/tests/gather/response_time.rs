//! Tests of when sweeps are answered so that their responses reach the callers in time.

use std::time::Duration;

use ladder_core::gather::event::CallerId;
use ladder_core::gather::{Action, Event, ResponseTime};
use ladder_core::time::Instant;

use crate::forward::{HOST, harness_with, message, reply, routing};
use crate::harness::{Harness, sent_work};

/// Target time of the route of all sweeps here.
const TARGET: Duration = Duration::from_millis(100);
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
        self.callers += 1;
        let caller = CallerId(self.callers);
        let arrived = self.harness.now;
        let request = message(HOST, "/docks/all");
        let round_trip = Some(self.round_trip);
        let sent = self.harness.deliver(Event::Call { caller, request, round_trip });
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
        let response = self.written(caller, self.harness.now);
        let reaches = self.harness.now.since(arrived) + self.round_trip;
        let late = reaches.saturating_sub(TARGET);
        assert_eq!((response.wake, response.write, response.late), (wake, write, late));
        self.harness.now = arrived + Duration::from_secs(1);
        Ended { waited, late }
    }

    fn written(&mut self, caller: CallerId, at: Instant) -> ResponseTime {
        let out = self.harness.deliver(Event::Written { caller, at });
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
}

/// Guards against responses that miss the target although the sweep was answered before it: the
/// timer, the merging and the writing take longer on a slow instance than a constant allows for.
#[test]
fn responses_of_slow_instances_reach_callers_by_the_target() {
    let cases = [
        DelayCase { name: "quick, near callers", round_trip: 2, wake: 0, write: 1 },
        DelayCase { name: "slow writes", round_trip: 6, wake: 0, write: 25 },
        DelayCase { name: "late timers", round_trip: 6, wake: 12, write: 3 },
        DelayCase { name: "both", round_trip: 6, wake: 8, write: 16 },
        DelayCase { name: "far callers", round_trip: 16, wake: 1, write: 5 },
    ];
    for DelayCase { name, round_trip, wake, write } in cases {
        let mut sweeps = Sweeps::new(ms(round_trip));
        sweeps.play(ms(wake), ms(write));
        for _ in 0..20 {
            let ended = sweeps.play(ms(wake), ms(write));
            assert_eq!(ended.late, Duration::ZERO, "{name}: answered after {:?}", ended.waited);
        }
    }
}
