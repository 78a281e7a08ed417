//! Answers of the platform are lost for a while; changes that the platform acknowledges afterwards
//! must be applied in time.

use std::time::Duration;

use ladder_core::control::settings::Timing;

use crate::fixtures;
use crate::harness::Fleet;
use crate::simulation::{queue_limit_in_force, ready_fleet_with};

/// Maximum time after the platform's answers return until its readers must know its records.
const CONTACT: Duration = Duration::from_secs(4);
/// Maximum time after the acknowledgement of a change until it must be in force at every instance.
const APPLY: Duration = Duration::from_secs(3);

struct Case {
    name: &'static str,
    /// How long the platform's answers are lost.
    silence: Duration,
    /// Time from the return of the platform's answers to the published change.
    change_after: Duration,
}

/// Guards against readers that notice too late that the platform's answers were lost: callers were
/// refused with 404 on a route that had been in force for 3 s by the platform's acknowledgement.
/// The platform had answered no reader for 6 s. After its first failed read, each reader had
/// started another read that waits up to 4 s for new records, and that answer was lost too. Until
/// this wait and one more second had passed, no instance read from the platform, although it had
/// been back for 4 s.
///
/// Each case runs with the loss beginning at different moments of a reader's wait, in fleets of
/// readers only and in fleets with further instances that can read instead of the readers.
#[test]
fn changes_apply_in_time_after_lost_platform_answers() {
    let cases = [
        Case { name: "connections are silently lost", silence: ms(1), change_after: ms(10) },
        Case { name: "half a second", silence: ms(500), change_after: ms(900) },
        Case { name: "about one wait of a read", silence: ms(5800), change_after: ms(500) },
        Case {
            name: "longer than the longest pause between reads",
            silence: ms(30_000),
            change_after: ms(10),
        },
    ];
    let mut late_changes = Vec::new();
    let sizes = [6, 9];
    let runs = cases.iter().flat_map(|case| sizes.map(|instances| (case, instances)));
    for (&Case { name, silence, change_after }, instances) in runs {
        let timing = Timing { contact: CONTACT, ..Timing::default() };
        let late_phases = (0..10).filter(|phase| {
            let mut fleet = ready_fleet_with(instances, 4, timing);
            fleet.run(ms(phase * 500));
            fleet.start_losing_answers();
            fleet.run(silence);
            fleet.stop_losing_answers();
            fleet.run(change_after);
            fleet.publish_body(1000, fixtures::entry("gate-3", 7));
            fleet.run(CONTACT.saturating_sub(change_after).max(APPLY));
            !queue_limit_in_force(&fleet, "gate-3", 7)
        });
        late_changes.extend(
            late_phases.map(|phase| format!("{instances} instances, {name}, phase {phase}")),
        );
    }
    assert!(late_changes.is_empty(), "changes not in force in time: {late_changes:#?}");
}

/// Guards against a platform that refuses all of its readers but serves the other instances. These
/// received frames from peers without new records and read nothing themselves, so a change was in
/// force nowhere until the platform accepted its readers again.
#[test]
fn other_instances_read_when_the_platform_refuses_all_readers() {
    for phase in 0..8 {
        let mut fleet = ready_fleet_with(24, 4, Timing::default());
        fleet.run(ms(phase * 250));
        let readers = fleet.nodes.iter().filter(|(_, node)| node.machine.is_reader());
        let readers: Vec<String> = readers.map(|(name, _)| name.clone()).collect();
        assert_eq!(readers.len(), 6, "two in each of three zones");
        fleet.refuse_reads_of(&readers);
        fleet.publish_body(1000, fixtures::entry("gate-3", 7));
        let description = format!("phase {phase}: change while all readers are refused");
        fleet.run_until(&description, APPLY, |fleet| queue_limit_in_force(fleet, "gate-3", 7));
    }
}

/// While the platform answers no instance, only a limited number of instances may read from it.
#[test]
fn few_instances_read_while_the_platform_is_down() {
    let mut fleet = ready_fleet_with(72, 4, Timing::default());
    let reads = |fleet: &Fleet| fleet.nodes.values().map(|node| node.platform_reads).sum::<usize>();
    fleet.stop_platform();
    fleet.run(ms(10_000));
    let reads_before = reads(&fleet);
    fleet.run(ms(10_000));
    // At most eight instances in each of three zones read from the platform. After a failure each
    // waits at least half of the longest pause between reads: an eighth of the contact time of 4
    // s, which is 0.5 s.
    let max_reads = 8 * 3 * 20;
    let new_reads = reads(&fleet) - reads_before;
    assert!(new_reads <= max_reads, "{new_reads} reads in 10 s, at most {max_reads}");
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
