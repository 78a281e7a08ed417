//! The platform's answers are lost for a while; what it acknowledges afterwards comes into force.

use std::time::Duration;

use ladder_core::control::settings::Timing;

use crate::concert::{fleet_of, in_force};
use crate::harness::Fleet;
use crate::publish;

/// From the return of the platform's answers until its readers have to know what it holds.
const CONTACT: Duration = Duration::from_secs(4);
/// From the acknowledgement of a change until it has to be in force everywhere.
const APPLY: Duration = Duration::from_secs(3);

struct Case {
    name: &'static str,
    /// How long answers are lost.
    silence: Duration,
    /// From the answers' return to the change.
    change: Duration,
}

/// Callers were refused with 404 on a route that had been in force for 3 s by the platform's own
/// acknowledgement. The platform had answered nobody for six seconds. After its first failed read each
/// reader asked again for news, to wait up to 4 s, and that answer was lost with the others; until the
/// wait and a second of patience were over nobody asked the platform, which had been back for 4 s.
/// Proved by the platform's account of calls: one of each reader early in the silence, none after it
/// until all readers came back within half a second.
///
/// Each case plays with the silence beginning at any moment of a reader's wait, in fleets with instances
/// that stand in for the readers and in fleets of readers alone.
#[test]
fn lost_answers_are_found_out_in_time() {
    let cases = [
        Case { name: "connections fall silent", silence: ms(1), change: ms(10) },
        Case { name: "half a second", silence: ms(500), change: ms(900) },
        Case { name: "one wait", silence: ms(5800), change: ms(500) },
        Case { name: "longer than any pause grows", silence: ms(30_000), change: ms(10) },
    ];
    let mut late = Vec::new();
    let sizes = [6, 9];
    let plays = cases.iter().flat_map(|case| sizes.map(|instances| (case, instances)));
    for (&Case { name, silence, change }, instances) in plays {
        let timing = Timing { contact: CONTACT, ..Timing::default() };
        let phases = (0..10).filter(|phase| {
            let mut fleet = fleet_of(instances, 4, timing);
            fleet.run(ms(phase * 500));
            fleet.lose_answers();
            fleet.run(silence);
            fleet.return_answers();
            fleet.run(change);
            fleet.put(1000, publish::entry("gate-3", 7));
            fleet.run(CONTACT.saturating_sub(change).max(APPLY));
            !in_force(&fleet, "gate-3", 7)
        });
        late.extend(phases.map(|phase| format!("{instances} instances, {name}, phase {phase}")));
    }
    assert!(late.is_empty(), "changes not in force in time: {late:#?}");
}

/// The platform turns all of its readers away and serves whoever else asks, as it may. The others heard
/// from their peers, who had nothing to tell, and asked nothing: a change was in force nowhere until the
/// platform took its readers back. Found by asking where else nobody asks a platform that answers.
#[test]
fn others_ask_when_the_readers_are_refused() {
    for phase in 0..8 {
        let mut fleet = fleet_of(24, 4, Timing::default());
        fleet.run(ms(phase * 250));
        let readers = fleet.nodes.iter().filter(|(_, node)| node.machine.is_reader());
        let readers: Vec<String> = readers.map(|(name, _)| name.clone()).collect();
        assert_eq!(readers.len(), 6, "two in each of three zones");
        fleet.refuse(&readers);
        fleet.put(1000, publish::entry("gate-3", 7));
        let what = format!("phase {phase}: a change while all readers are refused");
        fleet.until(&what, APPLY, |fleet| in_force(fleet, "gate-3", 7));
    }
}

/// The same must not make all instances ask while the platform answers nobody.
#[test]
fn few_ask_a_platform_that_is_down() {
    let mut fleet = fleet_of(72, 4, Timing::default());
    let reads = |fleet: &Fleet| fleet.nodes.values().map(|node| node.reads).sum::<usize>();
    fleet.silence_platform();
    fleet.run(ms(10_000));
    let before = reads(&fleet);
    fleet.run(ms(10_000));
    // Eight in each of three zones, each at most once in half of the longest pause, an eighth of 4 s.
    let most = 8 * 3 * 20;
    let asked = reads(&fleet) - before;
    assert!(asked <= most, "{asked} reads in 10 s, at most {most}");
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
